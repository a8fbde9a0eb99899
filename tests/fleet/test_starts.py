"""Targets that restart under their names."""

import dataclasses
import json
from typing import Any

from radishd.platform import wire
from radishd.process import clock
from radishstack.connection import fleet_wire
from radishstack.process import adapter_keeper
from radishstack.process import incarnation
from radishstack.process import placement as placement_lib
from radishstack.process import roster as roster_lib

from tests.fleet import fixtures

ADAPTER = "base7/a1"
NAME = "i-engine0"
TARGETS = "servers"


def _listing(**fields: Any) -> roster_lib.Listing:
    listing = roster_lib.Listing(
        instance="i1",
        service="llm",
        address="10.0.0.1:80",
        failure_domain="north",
        leaving=False,
        slot_count=8,
        listed_at=1,
        changed_at=1,
        residents={"base7": 1, ADAPTER: 1},
        born_ms=5_000,
    )
    return dataclasses.replace(listing, **fields)


def _roster(**fields: Any) -> roster_lib.Roster:
    roster = roster_lib.Roster(2_500)
    roster.upsert(_listing(**fields))
    return roster


def _usable(roster: roster_lib.Roster, service: str = "llm") -> list[str]:
    members = roster.usable(service, clock.boot_ms())
    return [member.listing.instance for member in members]


def test_a_target_that_restarts_under_its_name_gets_requests() -> None:
    """Guards against a gateway that never uses a restarted target again.

    The target replies that the requested incarnation has ended, and registers
    again under its name. The gateway stored this for the name instead of the
    incarnation.
    """
    roster = _roster()
    roster.failed("i1", 0)
    roster.ended("i1")
    assert _usable(roster) == []
    roster.upsert(_listing(born_ms=9_000, changed_at=4, residents={}))
    assert _usable(roster) == ["i1"]
    assert roster.members["i1"].health.failure_share == 0.0


def test_a_later_incarnation_may_have_an_earlier_start_time() -> None:
    """Guards against ignoring a restart after a target's clock was set back.

    The revision of an entry shows which state is later. Start times only
    distinguish incarnations. A repeated entry of the former incarnation changes
    nothing, whatever its revision.
    """
    roster = _roster(born_ms=9_000)
    roster.upsert(_listing(born_ms=2_000, changed_at=4))
    assert roster.members["i1"].listing.born_ms == 2_000
    roster.upsert(_listing(born_ms=9_000, changed_at=3))
    roster.upsert(_listing(born_ms=9_000, changed_at=7))
    assert roster.members["i1"].listing.born_ms == 2_000


def test_an_older_state_of_an_entry_changes_nothing() -> None:
    """Guards against using a draining target or an ended incarnation again.

    A peer reports what it has read, which may be older than the known state:
    the same incarnation before it was draining, or an unknown earlier one.
    """
    roster = _roster(changed_at=5, leaving=True)
    roster.upsert(_listing(changed_at=3))
    assert _usable(roster) == []
    roster.upsert(_listing(changed_at=6))
    assert _usable(roster) == ["i1"]
    roster.upsert(_listing(changed_at=4, born_ms=1_000))
    assert roster.members["i1"].listing.born_ms == 5_000


def test_a_missing_start_time_changes_nothing() -> None:
    """Guards against losing a target's health with each entry.

    An entry without a start time does not mean a new incarnation.
    """
    roster = _roster()
    member = roster.members["i1"]
    roster.ended("i1")
    roster.upsert(_listing(born_ms=0, changed_at=4))
    roster.upsert(_listing(born_ms=5_000, changed_at=5))
    assert roster.members["i1"] is member and member.gone


def test_a_target_that_changes_its_service_is_found_there() -> None:
    """Guards against requests to a target that now runs another service.

    The target restarts under its name for another service, at an address that
    another target had before. The index by service was updated only for new
    names.
    """
    roster = _roster()
    roster.upsert(_listing(instance="i2", address="10.0.0.2:80"))
    roster.upsert(
        _listing(
            born_ms=9_000, changed_at=4, service="app", address="10.0.0.2:80"
        )
    )
    assert _usable(roster) == []
    assert _usable(roster, "app") == ["i1"]


def test_status_updates_of_a_former_incarnation_are_ignored() -> None:
    """Guards against requests for adapters that an engine held before.

    The sidecar reported the adapters of the former incarnation, and the report
    still counted after the new incarnation was listed, because both have the
    same name. The list of adapters that load quickly is outdated as well.
    """
    roster = _roster()
    placement = placement_lib.Placement(fixtures.seeded(), "north")
    now_ms = clock.boot_ms()
    view = placement_lib.View(
        "i1", now_ms, 0, 0, {"base7": 1, ADAPTER: 1}, frozenset()
    )
    address = "10.0.0.1:80"
    placement.handle_update(address, dataclasses.replace(view, born_ms=5_000))
    assert placement.has_fresh_status(roster.members["i1"], now_ms)
    roster.upsert(_listing(born_ms=9_000, changed_at=4, residents={}))
    member = roster.members["i1"]
    assert not placement.has_fresh_status(member, now_ms)
    assert ADAPTER not in placement.residents(member, now_ms)
    empty = dataclasses.replace(view, born_ms=9_000, residents={"base7": 1})
    placement.handle_update(address, empty)
    assert placement.has_fresh_status(member, now_ms)
    assert ADAPTER not in placement.warm[address]


def test_adapters_of_a_former_incarnation_are_not_fast_to_load() -> None:
    """Guards against preferring loads that need a fetch after a restart.

    An engine restarts under its name between two reports. Its former adapters
    counted as still in its memory and were loaded before others, so that
    callers waited for the fetches.
    """
    keeper = adapter_keeper.Keeper()
    want = adapter_keeper.LoadRequest
    keeper.handle_update(
        adapter_keeper.Demand(
            gateway="g",
            instance=NAME,
            adapter_limit=4,
            base_models=("base7",),
            uses=(),
            wants=(want("base7/a2", 0, 2), want(ADAPTER, 0, 1)),
            announced={},
        ),
        0,
    )
    held = {"base7": 1, ADAPTER: 1}
    report = adapter_keeper.Report(7, held, {}, False, 0, 0, born_ms=5_000)
    keeper.observe(report)
    empty = dataclasses.replace(
        report, accepted_count=1, residents={"base7": 1}, born_ms=9_000
    )
    keeper.observe(empty)
    order = keeper.decide(1)
    assert order.adapter == "base7/a2"
    assert order.accepted_count == 1


def test_requests_of_a_former_incarnation_occupy_no_adapter_slot() -> None:
    """Guards against a load that waits two seconds for an unused adapter slot.

    The engine restarts while requests are running, which fail. They counted as
    in flight until the messages that reported them expired.
    """
    keeper = adapter_keeper.Keeper()
    use = adapter_keeper.Use(ADAPTER, 3, 3)
    keeper.handle_update(
        adapter_keeper.Demand("g", NAME, 4, ("base7",), (use,), (), {}), 0
    )
    report = adapter_keeper.Report(
        7, {"base7": 1, ADAPTER: 1}, {}, False, 3, 0, born_ms=5_000
    )
    keeper.observe(report)
    assert keeper.in_flight(ADAPTER, 1) == 3
    keeper.observe(dataclasses.replace(report, born_ms=9_000))
    assert keeper.in_flight(ADAPTER, 1) == 0


def test_a_name_that_was_rejected_once_gets_orders_again() -> None:
    """Guards against an engine that never gets orders after a restart.

    The engine returns under a former name. Another engine on its VM had
    rejected orders for that name, and the sidecar went on to ignore gateways
    that named it.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=1, plain=0) as fleet:
            engine = fleet.targets[NAME]
            (sidecar,) = fleet.sidecars.values()
            engine.instance = "i-other"
            engine.restart(engine.born_ms + 1_000)
            fleet.tasks.start_soon(_call_once, fleet)
            await fleet.until(
                lambda: not sidecar.instance, "the other engine refuses"
            )
            engine.instance = NAME
            engine.restart(engine.born_ms + 1_000)
            await fleet.until(
                lambda: sidecar.instance == NAME, "it is named again"
            )

    fixtures.run(play)


async def _call_once(fleet: fixtures.Fleet) -> None:
    await fleet.call("/chat/x", adapter="a1")


def test_late_failures_of_a_former_incarnation_do_not_count() -> None:
    """Guards against ejecting a target that has just restarted.

    Requests to the former incarnation fail when it ends. The last of them
    failed after the new incarnation was listed, and counted against that one.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=1, plain=0) as fleet:
            gateway = fleet.gateway
            former = gateway.roster.members[NAME]
            spec = _restart(fleet)
            fleet.store.put(TARGETS, NAME, spec)
            await fleet.until(
                lambda: (
                    gateway.roster.members[NAME].listing.born_ms == spec["born"]
                ),
                "the new start is listed",
            )
            for outcome in fixtures.BAD_OUTCOMES:
                gateway.evidence.record_outcome(former, outcome, ADAPTER)
            member = gateway.roster.members[NAME]
            assert member is not former
            assert not member.gone
            assert member.health.failure_share == 0.0
            assert not member.health.ejected_until_ms

    fixtures.run(play)


def _restart(fleet: fixtures.Fleet) -> dict[str, Any]:
    """Restarts the engine with a clock that was set back."""
    engine = fleet.targets[NAME]
    spec = json.loads(json.dumps(fleet.store.objects[TARGETS][NAME]["spec"]))
    engine.restart(engine.born_ms - 60_000)
    return spec | {"born": engine.born_ms, "models": []}


def test_a_restarted_engine_is_used_before_its_entry_changes() -> None:
    """Guards against requests for adapters that a restarted engine lost.

    The engine restarts under its name. Its sidecar observes this in the next
    report, seconds before the store's list shows it. The order of the
    incarnations that the sidecar reports is used, and an older entry changes
    nothing.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=1, plain=0) as fleet:
            gateway = fleet.gateway
            first = await fleet.call("/chat/x", adapter="a1")
            assert first.status == 200, first
            stale = fleet.store.objects[TARGETS][NAME]["spec"]
            spec = _restart(fleet)
            await fleet.until(
                lambda: (
                    gateway.roster.members[NAME].listing.born_ms == spec["born"]
                ),
                "the gateway knows of the new start",
            )
            again = await fleet.call("/chat/x", adapter="a1")
            assert again.status == 200, again
            fleet.store.put(TARGETS, NAME, stale | {"slots": 9})
            await fleet.until(
                lambda: (
                    gateway.discovery.followers[TARGETS].revision
                    >= fleet.store.revision
                ),
                "the entry was read",
            )
            assert gateway.roster.members[NAME].listing.born_ms == spec["born"]

    fixtures.run(play)


def test_a_delayed_message_does_not_restore_a_former_incarnation() -> None:
    """Guards against replacing the current incarnation by an ended one.

    Messages wait in the socket of a paused gateway while an engine restarts
    twice. After the gateway has read the list, it receives a message about the
    second incarnation, which it did not know.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=1, plain=0) as fleet:
            gateway = fleet.gateway
            member = gateway.roster.members[NAME]
            born_ms = member.listing.born_ms
            state = fleet_wire.StatusUpdate(
                instance=NAME,
                running=0,
                queued=0,
                residents={ADAPTER: 1},
                pending=frozenset(),
                peer_addresses=(),
                load_wait=adapter_keeper.LoadWait(0, 0.0),
                born_ms=born_ms - 7_000,
                former_born_ms=born_ms - 9_000,
            )
            host = member.listing.address.partition(":")[0]
            gateway.handle_datagram(state, (host, fixtures.FLEET_PORT))
            assert gateway.roster.members[NAME] is member
            now_ms = clock.boot_ms()
            assert ADAPTER not in gateway.placement.residents(member, now_ms)

    fixtures.run(play)


def test_start_times_are_integers() -> None:
    """Guards against entries with an invalid start time."""
    for born in ("1", 1.5, True, None, [1]):
        spec = {"service": "s", "address": "10.0.0.1:80", "born": born}
        assert not isinstance(wire.target("i1", spec, 1), roster_lib.Listing)


def test_an_incarnation_that_is_listed_last_is_never_lost() -> None:
    """Guards against a gateway that never uses a target after two restarts.

    The sidecar observes that the third incarnation follows the first, and
    reports it. The gateway then reads the entry that the second one wrote
    before it ended. This marked the third incarnation as ended, and its own
    entry, which arrives last, was ignored.
    """
    roster = _roster(born_ms=1_000)
    third = incarnation.IncarnationId("i1", 3_000)
    assert roster.restarted(third, 1_000) is not None
    roster.upsert(_listing(born_ms=2_000, changed_at=4))
    roster.upsert(_listing(born_ms=3_000, changed_at=5))
    assert roster.members["i1"].listing.born_ms == 3_000
    roster.upsert(_listing(born_ms=1_000, changed_at=6))
    assert roster.members["i1"].listing.born_ms == 3_000
