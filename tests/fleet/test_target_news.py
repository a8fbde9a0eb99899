"""What targets tell of themselves in their answers."""

from radishd import gateway as gateway_lib
from radishd.connection import http_client
from radishd.platform import front
from radishd.process import clock
from radishstack.process import incarnation
from radishstack.process import roster as roster_lib
from standins import platform_engine
from standins import platform_site

from tests.fleet import fixtures

Fault = platform_engine.Fault
TARGETS = "servers"
LEAVING_MS = 100
CALLS = 12


async def _pass(fleet: fixtures.Fleet, time_ms: int) -> None:
    """Waits until so much time has passed."""
    until_ms = clock.boot_ms() + time_ms
    await fleet.until(lambda: clock.boot_ms() > until_ms, "time passes")


async def _call(
    fleet: fixtures.Fleet, gateway: gateway_lib.Gateway
) -> list[fixtures.Answer]:
    return [
        await fleet.call("/look/1", method="GET", gateway=gateway)
        for _ in range(CALLS)
    ]


async def _hear_of_leaving(
    fleet: fixtures.Fleet, gateway: gateway_lib.Gateway
) -> platform_engine.PlatformEngine:
    """Has a target leave in an outage, and the gateway pass its word on."""
    fleet.store.faults.refuses = True
    leaver = fleet.targets["i-plain0"]
    leaver.leaving = True
    answers = await _call(fleet, gateway)
    assert any("server-leaving" in one.headers for one in answers)
    return leaver


def test_a_target_whose_answers_say_that_it_leaves_gets_no_more_work() -> None:
    """Requests came 2,103 and 2,497 ms after an engine's word that it leaves.

    2,000 ms are allowed. The store took no change from 6.5 s on, so what the
    engine registered at 7.5 s stayed unread. Its answers said
    ``Server-Leaving: 1`` from then on: a gateway passed one on at 7.68 s and
    sent to it at 9.781 s and 10.037 s all the same. The header was handed to
    callers and read by nobody.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=2) as fleet:
            gateway = await fleet.add_gateway(leaving_ms=LEAVING_MS)
            await fleet.until(lambda: not gateway.ready(), "it is up")
            leaver = await _hear_of_leaving(fleet, gateway)
            await _pass(fleet, LEAVING_MS)
            before = len(leaver.seen)
            answers = await _call(fleet, gateway)
            assert all(one.status == 200 for one in answers), answers
            assert len(leaver.seen) == before

    fixtures.run(play)


def test_no_list_brings_back_a_target_that_said_it_leaves() -> None:
    """The store returns with the state that it had before the outage.

    The entry that says ``ready`` was written before the target's word, or its
    entry lapsed and is made anew; neither takes the word back.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=2) as fleet:
            gateway = await fleet.add_gateway(leaving_ms=LEAVING_MS)
            await fleet.until(lambda: not gateway.ready(), "it is up")
            leaver = await _hear_of_leaving(fleet, gateway)
            spec = fleet.store.objects[TARGETS]["i-plain0"]["spec"]
            fleet.store.delete(TARGETS, "i-plain0")
            fleet.store.put(TARGETS, "i-plain0", spec)
            fleet.store.faults.refuses = False
            follower = gateway.discovery.followers[TARGETS]
            await fleet.until(
                lambda: (
                    follower.revision >= fleet.store.revision
                    and not follower.failing_since_ms
                ),
                "it has read the list",
            )
            await _pass(fleet, LEAVING_MS)
            before = len(leaver.seen)
            await _call(fleet, gateway)
            assert len(leaver.seen) == before

    fixtures.run(play)


def test_a_target_that_asks_for_rest_gets_it() -> None:
    """A full target turns requests away and says for how long it wants none.

    Each gateway sent on at once, so a target that had asked for minutes was
    asked again with every request. Two may still reach it.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=2) as fleet:
            full = fleet.targets["i-plain0"]
            full.fault = lambda seen: Fault.SHED
            full.backoff_s = 600.0
            answers = await _call(fleet, fleet.gateway)
            assert all(one.status == 200 for one in answers), answers
            await _pass(fleet, 500)
            before = len(full.seen)
            await _call(fleet, fleet.gateway)
            assert len(full.seen) - before <= 2

    fixtures.run(play)


def test_where_all_targets_rest_callers_are_told_how_long() -> None:
    """All targets want nothing for a while; a caller is refused at once.

    Sent on all the same, each request would be one more that they turn away.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=2) as fleet:
            for target in fleet.targets.values():
                target.fault = lambda seen: Fault.SHED
                target.backoff_s = 600.0
            await _call(fleet, fleet.gateway)
            await _pass(fleet, 500)
            before = sum(len(one.seen) for one in fleet.targets.values())
            answers = await _call(fleet, fleet.gateway)
            after = sum(len(one.seen) for one in fleet.targets.values())
            assert after - before <= 2 * len(fleet.targets)
            for answer in answers[-1:]:
                assert answer.status == 503, answer
                # Returners are spread, so that they do not meet again.
                assert 60 < float(answer.headers["retry-after"]) <= 601

    fixtures.run(play)


def test_another_start_of_a_target_is_used_again() -> None:
    """A target that left starts again under its name, and takes work."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=2) as fleet:
            gateway = await fleet.add_gateway(leaving_ms=LEAVING_MS)
            await fleet.until(lambda: not gateway.ready(), "it is up")
            leaver = await _hear_of_leaving(fleet, gateway)
            leaver.restart(leaver.born_ms + 1)
            address = fleet.store.objects[TARGETS]["i-plain0"]["spec"][
                "address"
            ]
            fleet.store.put(
                TARGETS,
                "i-plain0",
                leaver.listing(platform_site.PLAIN, address, "north"),
            )
            fleet.store.faults.refuses = False
            await fleet.until(
                lambda: len(gateway.roster.usable(platform_site.PLAIN, 0)) == 2,
                "it is used again",
            )

    fixtures.run(play)


def _member(roster: roster_lib.Roster, name: str) -> roster_lib.Member:
    listing = roster_lib.Listing(
        instance=name,
        service=platform_site.PLAIN,
        address=f"10.0.0.1:{name}",
        failure_domain="north",
        leaving=False,
        slot_count=8,
        listed_at=1,
        changed_at=1,
        born_ms=1,
    )
    member = roster.upsert(listing)
    assert member is not None
    return member


def test_a_rest_lasts_as_long_as_was_asked_for() -> None:
    """An ejection ends soon and spares the last target; a rest does neither.

    Sent on when the ejection ended, a request reached the target every other
    second of its rest.
    """
    roster = roster_lib.Roster(2_500)
    first, second = _member(roster, "1"), _member(roster, "2")
    roster.back_off(first, 30_000, 1_000)
    for now_ms in range(1_000, 31_000, 100):
        assert roster.usable(platform_site.PLAIN, now_ms) == [second]
        assert not roster.backoff_ms(platform_site.PLAIN, now_ms)
    roster.back_off(second, 5_000, 2_000)
    assert not roster.usable(platform_site.PLAIN, 3_000)
    assert roster.backoff_ms(platform_site.PLAIN, 3_000) == 4_000
    assert roster.usable(platform_site.PLAIN, 31_000) == [first, second]
    roster.back_off(first, 10 * roster_lib.MAX_BACKOFF_MS, 40_000)
    later_ms = 40_000 + roster_lib.MAX_BACKOFF_MS
    assert first in roster.usable(platform_site.PLAIN, later_ms)


def test_who_said_that_it_leaves_is_remembered_within_bounds() -> None:
    """Starts come and go for years; memory holds the newest words."""
    roster = roster_lib.Roster(2_500)
    count = 3 * roster_lib.MAX_REMEMBERED_TARGETS
    starts = [
        incarnation.IncarnationId(f"i{number}", 1) for number in range(count)
    ]
    for incarnation_id in starts:
        assert roster.mark_draining(incarnation_id)
        assert not roster.mark_draining(incarnation_id)
    remembered = [one for one in starts if roster.is_draining(one)]
    assert remembered == starts[-roster_lib.MAX_REMEMBERED_TARGETS :]
    assert not roster.is_draining(incarnation.IncarnationId(starts[-1].name, 2))


def test_an_answer_speaks_only_of_who_gave_it() -> None:
    """A start that took an address over refuses what was meant for another."""
    leaving = (b"server-leaving", b"1")
    for headers, status, expected in (
        ((leaving,), 200, front.TargetSignals(leaving=True)),
        (((b"server-leaving", b"0"),), 200, front.NO_SIGNALS),
        ((leaving, (b"x-instance-id", b"other")), 421, front.NO_SIGNALS),
        (
            ((b"retry-after", b"1.5"),),
            503,
            front.TargetSignals(backoff_ms=1_500),
        ),
        (((b"retry-after", b"1.5"),), 429, front.NO_SIGNALS),
        (((b"retry-after", b"soon"),), 503, front.NO_SIGNALS),
        (((b"retry-after", b"nan"),), 503, front.NO_SIGNALS),
        (((b"retry-after", b"-3"),), 503, front.NO_SIGNALS),
    ):
        head = http_client.Head(status, headers)
        assert front.target_signals(head, "mine") == expected, headers


def test_the_process_beside_an_engine_tells_that_it_leaves() -> None:
    """A gateway that has no answer of the engine learns of it all the same."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=2, plain=0) as fleet:
            gateway = fleet.gateway
            fleet.store.faults.refuses = True
            fleet.targets["i-engine0"].leaving = True
            await fleet.until(
                lambda: (
                    len(gateway.roster.usable(platform_site.ENGINES, 0)) == 1
                ),
                "it has been told",
            )

    fixtures.run(play)
