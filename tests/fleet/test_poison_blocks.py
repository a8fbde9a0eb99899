"""Requests that crash their targets by a block that their prompts share."""

import itertools
import secrets
from typing import Any

from radishd import gateway as gateway_lib
from radishd.connection import http_client
from radishd.process import clock
from radishstack.process import incarnation
from radishstack.process import suspicion
from radishstack.request import fingerprint as fingerprint_lib
from standins import platform_engine

from tests.fleet import fixtures

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
            gateways = await fixtures.add_gateways(fleet, 3)
            runs = _crash_on_block(fleet)
            sound, poison = [], []
            for gateway in itertools.islice(itertools.cycle(gateways), 14):
                sound.append(await _call(fleet, gateway, SOUND_BLOCK))
                before = fixtures.count_aborted_responses(gateway, ended=True)
                poison.append(await _call(fleet, gateway, POISON_BLOCK))
                if any(target.ended for target in fleet.targets.values()):
                    await fleet.until(
                        lambda before=before, gateway=gateway: (
                            fixtures.count_aborted_responses(
                                gateway, ended=True
                            )
                            > before
                        ),
                        "the crash is noticed",
                    )
                    await fleet.restart_exited()
                await fixtures.wait_until_all_usable(fleet, gateways)
            assert [one.status for one in sound] == 14 * [200], sound
            assert len(runs) <= MAX_CRASHES + MAX_REPEATS, runs
            for answer in poison[-3:]:
                assert answer.status == 503, answer
                assert float(answer.headers["retry-after"]) > 0

    fixtures.run(play)


def _record(crash_count: int) -> suspicion.Record:
    """Returns evidence that the poison block crashed targets until now."""
    now_ms = clock.boot_ms()
    fingerprint, *_ = fingerprint_lib.of_shared_blocks(
        (POISON_BLOCK.partition(":")[0].encode(), b"own")
    )
    return suspicion.Record(
        fingerprint,
        tuple(
            suspicion.Observation(
                incarnation.IncarnationId(f"i-gone{number}", 1),
                now_ms - 1_000 * (crash_count - number) - 300,
                now_ms - 1_000 * (crash_count - number),
            )
            for number in range(crash_count)
        ),
        block_position=2,
    )


def test_a_request_is_checked_again_when_it_is_sent() -> None:
    """Guards against a verdict that comes while a connection is opened."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=1) as fleet:
            gateway = fleet.gateway
            runs = _crash_on_block(fleet)
            acquire = gateway.pool.acquire

            async def acquire_late(
                address: str, **options: Any
            ) -> http_client.Connection | http_client.Lost:
                connection = await acquire(address, **options)
                gateway.crash_gossip.merge([_record(3)], source="test")
                return connection

            gateway.pool.acquire = acquire_late
            answer = await _call(fleet, gateway, POISON_BLOCK)
            assert answer.status == 503 and not runs, answer
            (member,) = gateway.roster.usable("counter", clock.boot_ms())
            assert not member.health.failure_share
            sound = await _call(fleet, gateway, SOUND_BLOCK)
            assert sound.status == 200, sound

    fixtures.run(play)


def test_a_request_is_not_sent_again_after_the_crash_that_convicts_it() -> None:
    """Guards against a second send that crashes one more target."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=3) as fleet:
            gateway = fleet.gateway
            runs = _crash_on_block(fleet)
            gateway.crash_gossip.merge([_record(2)], source="test")
            answer = await fleet.call("/look/1", **_prompt(POISON_BLOCK))
            # The crash shows that it ran, so it is not rejected as not run.
            assert answer.status == 504, answer
            assert len(runs) == 1, runs

    fixtures.run(play)


def test_an_error_of_a_target_clears_no_block() -> None:
    """Guards against clearing a block by an error that read no prompt."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=1) as fleet:
            gateway = fleet.gateway
            record = _record(2)
            gateway.crash_gossip.merge([record], source="test")
            (target,) = fleet.targets.values()
            evidence = gateway.crash_gossip.evidence
            for fault, is_cleared in ((Fault.ERROR, False), (Fault.NONE, True)):
                target.fault = lambda seen, fault=fault: fault
                await _call(fleet, gateway, POISON_BLOCK)
                known = evidence.record(record.fingerprint)
                assert (not known.observations) is is_cleared, fault

    fixtures.run(play)
