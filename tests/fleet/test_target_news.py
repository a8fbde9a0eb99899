"""Signals that targets send in the headers of their responses."""

from radishd import gateway as gateway_lib
from radishd.connection import http_client
from radishd.platform import front
from radishd.process import clock
from radishd.process import target_signals
from radishstack.process import incarnation
from radishstack.process import roster as roster_lib
from standins import platform_engine
from standins import platform_site

from tests.fleet import fixtures

Fault = platform_engine.Fault
TARGETS = "servers"
LEAVING_MS = 100
CALLS = 12


async def _sleep(fleet: fixtures.Fleet, time_ms: int) -> None:
    """Waits until the given time has passed."""
    until_ms = clock.boot_ms() + time_ms
    await fleet.until(lambda: clock.boot_ms() > until_ms, "time passes")


async def _send_requests(
    fleet: fixtures.Fleet, gateway: gateway_lib.Gateway
) -> list[fixtures.Answer]:
    return [
        await fleet.call("/look/1", method="GET", gateway=gateway)
        for _ in range(CALLS)
    ]


async def _drain_in_outage(
    fleet: fixtures.Fleet, gateway: gateway_lib.Gateway
) -> platform_engine.PlatformEngine:
    """Drains a target in a store outage; its responses report it."""
    fleet.store.faults.refuses = True
    draining_target = fleet.targets["i-plain0"]
    draining_target.leaving = True
    answers = await _send_requests(fleet, gateway)
    assert any("server-leaving" in one.headers for one in answers)
    return draining_target


def test_a_target_that_reports_draining_gets_no_requests() -> None:
    """Requests reached a target 2,103 and 2,497 ms after it began to drain.

    2,000 ms are allowed. The store accepted no changes, so gateways did not
    read the target's new registration. Its responses had ``Server-Leaving: 1``,
    but gateways only passed the header on to callers and kept sending requests.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=2) as fleet:
            gateway = await fleet.add_gateway(leaving_ms=LEAVING_MS)
            await fleet.until(lambda: not gateway.ready(), "it is up")
            draining_target = await _drain_in_outage(fleet, gateway)
            await _sleep(fleet, LEAVING_MS)
            before = len(draining_target.seen)
            answers = await _send_requests(fleet, gateway)
            assert all(one.status == 200 for one in answers), answers
            assert len(draining_target.seen) == before

    fixtures.run(play)


def test_a_listing_does_not_undo_reported_draining() -> None:
    """After a store outage the store has the state from before it.

    Its entry with the state ``ready`` was written before the target reported
    draining, or the entry expired and was written anew. Neither may make
    gateways use the target again.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=2) as fleet:
            gateway = await fleet.add_gateway(leaving_ms=LEAVING_MS)
            await fleet.until(lambda: not gateway.ready(), "it is up")
            draining_target = await _drain_in_outage(fleet, gateway)
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
            await _sleep(fleet, LEAVING_MS)
            before = len(draining_target.seen)
            await _send_requests(fleet, gateway)
            assert len(draining_target.seen) == before

    fixtures.run(play)


def test_a_target_in_backoff_gets_no_requests() -> None:
    """A full target rejects requests and reports how long to back off.

    Gateways ignored the time, so a target that had requested a backoff of
    minutes still received every request. Two requests may still reach it.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=2) as fleet:
            full = fleet.targets["i-plain0"]
            full.fault = lambda seen: Fault.SHED
            full.backoff_s = 600.0
            answers = await _send_requests(fleet, fleet.gateway)
            assert all(one.status == 200 for one in answers), answers
            await _sleep(fleet, 500)
            before = len(full.seen)
            await _send_requests(fleet, fleet.gateway)
            assert len(full.seen) - before <= 2

    fixtures.run(play)


def test_callers_get_retry_after_if_all_targets_are_in_backoff() -> None:
    """All targets are in backoff, so requests are rejected at once.

    Requests sent anyway would only be rejected by the targets.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=2) as fleet:
            for target in fleet.targets.values():
                target.fault = lambda seen: Fault.SHED
                target.backoff_s = 600.0
            await _send_requests(fleet, fleet.gateway)
            await _sleep(fleet, 500)
            before = sum(len(one.seen) for one in fleet.targets.values())
            answers = await _send_requests(fleet, fleet.gateway)
            after = sum(len(one.seen) for one in fleet.targets.values())
            assert after - before <= 2 * len(fleet.targets)
            for answer in answers[-1:]:
                assert answer.status == 503, answer
                # The time is randomized, to spread out retries.
                assert 60 < float(answer.headers["retry-after"]) <= 601

    fixtures.run(play)


def test_a_new_incarnation_of_a_drained_target_is_used() -> None:
    """A drained target restarts under its name and gets requests."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=2) as fleet:
            gateway = await fleet.add_gateway(leaving_ms=LEAVING_MS)
            await fleet.until(lambda: not gateway.ready(), "it is up")
            draining_target = await _drain_in_outage(fleet, gateway)
            draining_target.restart(draining_target.born_ms + 1)
            address = fleet.store.objects[TARGETS]["i-plain0"]["spec"][
                "address"
            ]
            fleet.store.put(
                TARGETS,
                "i-plain0",
                draining_target.listing(platform_site.PLAIN, address, "north"),
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


def test_a_backoff_lasts_as_long_as_requested() -> None:
    """An ejection is short and spares the last target; a backoff does neither.

    When a backoff was treated as an ejection, a request reached the target
    every other second, each time the ejection ended.
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


def test_draining_incarnations_are_remembered_within_bounds() -> None:
    """Incarnations change for years; only the newest are remembered."""
    roster = roster_lib.Roster(2_500)
    count = 3 * roster_lib.MAX_REMEMBERED_TARGETS
    incarnation_ids = [
        incarnation.IncarnationId(f"i{number}", 1) for number in range(count)
    ]
    for incarnation_id in incarnation_ids:
        assert roster.mark_draining(incarnation_id)
        assert not roster.mark_draining(incarnation_id)
    remembered = [one for one in incarnation_ids if roster.is_draining(one)]
    assert remembered == incarnation_ids[-roster_lib.MAX_REMEMBERED_TARGETS :]
    assert not roster.is_draining(
        incarnation.IncarnationId(incarnation_ids[-1].name, 2)
    )


def test_signals_apply_only_to_the_target_that_answered() -> None:
    """An incarnation at a reused address rejects requests for the former.

    The signals in this response must not apply to the former incarnation.
    """
    leaving = (b"server-leaving", b"1")
    for headers, status, expected in (
        ((leaving,), 200, target_signals.TargetSignals(leaving=True)),
        (((b"server-leaving", b"0"),), 200, target_signals.NO_SIGNALS),
        (
            (leaving, (b"x-instance-id", b"other")),
            421,
            target_signals.NO_SIGNALS,
        ),
        (
            ((b"retry-after", b"1.5"),),
            503,
            target_signals.TargetSignals(backoff_ms=1_500),
        ),
        (((b"retry-after", b"1.5"),), 429, target_signals.NO_SIGNALS),
        (((b"retry-after", b"soon"),), 503, target_signals.NO_SIGNALS),
        (((b"retry-after", b"nan"),), 503, target_signals.NO_SIGNALS),
        (((b"retry-after", b"-3"),), 503, target_signals.NO_SIGNALS),
    ):
        head = http_client.Head(status, headers)
        assert front.target_signals(head, "mine") == expected, headers


def test_a_sidecar_reports_that_its_engine_is_draining() -> None:
    """A gateway without any response of the engine also learns of it."""

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
