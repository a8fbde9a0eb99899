"""Requests that end the targets that run them."""

from radishd import gateway as gateway_lib
from standins import platform_engine

from tests.fleet import fixtures

Fault = platform_engine.Fault
POISON = b"a body that ends whatever runs it"


def _crash_on_poison(seen: platform_engine.Seen) -> Fault:
    return Fault.CRASH if seen.body == POISON else Fault.NONE


def _breaks(gateway: gateway_lib.Gateway, *, ended: bool) -> int:
    """Returns how many targets broke off, by whether they had ended."""
    wanted = "yes" if ended else "no"
    samples = gateway.metrics.crashes.get_all()
    return sum(
        round(count) for labels, count in samples if labels["ended"] == wanted
    )


def test_a_target_that_ended_is_told_from_one_that_lost_an_answer() -> None:
    """An operator sees 502 and cannot tell a crash from a broken connection.

    Both break the answer off; what ended refuses connections afterwards. The
    log gave the same line for the two, ``sends=["i-...:lost"]``.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=2) as fleet:
            gateway = fleet.gateway
            for target in fleet.targets.values():
                target.fault = lambda seen: Fault.RESET_AFTER_RUN
            await fleet.call("/book/1", body=b"a booking")
            await fleet.until(
                lambda: _breaks(gateway, ended=False) == 1, "one is looked into"
            )
            assert not _breaks(gateway, ended=True)
            for target in fleet.targets.values():
                target.fault = _crash_on_poison
            answer = await fleet.call("/book/1", body=POISON)
            assert answer.status == 502, answer
            await fleet.until(
                lambda: _breaks(gateway, ended=True) == 1, "one has ended"
            )

    fixtures.run(play)
