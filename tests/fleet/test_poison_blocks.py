"""Requests that crash their targets by a block that their prompts share."""

import itertools
import secrets

from radishd import gateway as gateway_lib
from standins import platform_engine

from tests.fleet import fixtures
from tests.fleet import test_crashes

Fault = platform_engine.Fault
FIRST_BLOCK = "5c1e07a2:800"
POISON_BLOCK = "91bd3f06:410"
SOUND_BLOCK = "77aa01d2:410"
# Crashes after which a block must be rejected, and how many more requests with
# it may reach targets from then on.
MAX_CRASHES = 5
MAX_REPEATS = 3


def _prompt(block: str) -> dict[str, str]:
    """Returns the header of a prompt with a block and a block of its own."""
    own = f"{secrets.token_hex(4)}:250"
    return {"x_prompt_prefix": ",".join((FIRST_BLOCK, block, own))}


def _crash_on_block(fleet: fixtures.Fleet) -> list[str]:
    """Makes the block crash any target; returns a log of its runs."""
    runs: list[str] = []

    def crash(seen: platform_engine.ReceivedRequest) -> Fault:
        if POISON_BLOCK not in seen.headers.get("x-prompt-prefix", ""):
            return Fault.NONE
        runs.append(seen.attempt_id)
        return Fault.CRASH

    for target in fleet.targets.values():
        target.fault = crash
    return runs


async def _call(
    fleet: fixtures.Fleet, gateway: gateway_lib.Gateway, block: str
) -> fixtures.Answer:
    """Sends a request that is equal to no other one in its body."""
    return await fleet.call(
        "/book/1",
        body=secrets.token_bytes(16),
        gateway=gateway,
        **_prompt(block),
    )


def test_requests_with_a_poison_prompt_block_are_rejected() -> None:
    """Guards against a prompt block that crashes one target after another.

    No two requests with it are equal, and they come through all gateways. Sound
    requests, with the same first block, come in between and are served.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=1, plain=3) as fleet:
            gateways = await test_crashes._add_gateways(fleet, 3)
            runs = _crash_on_block(fleet)
            sound, poison = [], []
            for gateway in itertools.islice(itertools.cycle(gateways), 14):
                sound.append(await _call(fleet, gateway, SOUND_BLOCK))
                before = test_crashes._count_aborted_responses(
                    gateway, ended=True
                )
                poison.append(await _call(fleet, gateway, POISON_BLOCK))
                if any(target.ended for target in fleet.targets.values()):
                    await fleet.until(
                        lambda before=before, gateway=gateway: (
                            test_crashes._count_aborted_responses(
                                gateway, ended=True
                            )
                            > before
                        ),
                        "the crash is noticed",
                    )
                    await fleet.restart_exited()
                await test_crashes._wait_until_all_usable(fleet, gateways)
            assert [one.status for one in sound] == 14 * [200], sound
            assert len(runs) <= MAX_CRASHES + MAX_REPEATS, runs
            for answer in poison[-3:]:
                assert answer.status == 503, answer
                assert float(answer.headers["retry-after"]) > 0

    fixtures.run(play)
