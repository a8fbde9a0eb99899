"""A target that starts again under its name."""

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


def test_a_target_that_is_back_under_its_name_gets_work() -> None:
    """A target that restarts gets no work from a gateway, for good.

    It answers that the start which was asked for is over, and registers again
    under its name. The proof was kept for the name, not for that start.
    """
    roster = _roster()
    roster.failed("i1", 0)
    roster.ended("i1")
    assert _usable(roster) == []
    roster.upsert(_listing(born_ms=9_000, changed_at=4, residents={}))
    assert _usable(roster) == ["i1"]
    assert roster.members["i1"].health.failure_share == 0.0


def test_a_later_start_may_bear_a_smaller_birth() -> None:
    """A target is taken for its former start after its clock was set back.

    The entry's revision says which state is later; births only tell starts
    apart. An entry of the former start that comes once more changes nothing,
    whichever revision it bears.
    """
    roster = _roster(born_ms=9_000)
    roster.upsert(_listing(born_ms=2_000, changed_at=4))
    assert roster.members["i1"].listing.born_ms == 2_000
    roster.upsert(_listing(born_ms=9_000, changed_at=3))
    roster.upsert(_listing(born_ms=9_000, changed_at=7))
    assert roster.members["i1"].listing.born_ms == 2_000


def test_an_older_state_of_an_entry_changes_nothing() -> None:
    """A target that leaves gets work again, or a start that is over does.

    A peer tells what it has read, which may be older than what is known here:
    the same start before it left, or one that was never heard of here.
    """
    roster = _roster(changed_at=5, leaving=True)
    roster.upsert(_listing(changed_at=3))
    assert _usable(roster) == []
    roster.upsert(_listing(changed_at=6))
    assert _usable(roster) == ["i1"]
    roster.upsert(_listing(changed_at=4, born_ms=1_000))
    assert roster.members["i1"].listing.born_ms == 5_000


def test_a_birth_that_is_not_told_changes_nothing() -> None:
    """What was seen of a target is forgotten with each of its entries.

    A writer that tells no birth, or stops telling it, is no new start.
    """
    roster = _roster()
    member = roster.members["i1"]
    roster.ended("i1")
    roster.upsert(_listing(born_ms=0, changed_at=4))
    roster.upsert(_listing(born_ms=5_000, changed_at=5))
    assert roster.members["i1"] is member and member.gone


def test_a_target_that_changes_its_service_is_found_there() -> None:
    """Requests for a service are sent to a target that has left it.

    It starts again under its name for another service, at another address,
    which another target had before. The index by service was made anew only
    for new names.
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


def test_words_on_a_former_start_are_not_believed() -> None:
    """Requests are sent to an engine for adapters that it held before.

    Its process told what the former start held; the entry of the new start
    came, and the word still counted, as it bears the same name. What the
    engine fetches fast since it held it lately is over, too.
    """
    roster = _roster()
    placement = placement_lib.Placement(fixtures.seeded(), "north")
    now_ms = clock.boot_ms()
    view = placement_lib.View(
        "i1", now_ms, 0, 0, {"base7": 1, ADAPTER: 1}, frozenset()
    )
    address = "10.0.0.1:80"
    placement.hear(address, dataclasses.replace(view, born_ms=5_000))
    assert placement.is_heard(roster.members["i1"], now_ms)
    roster.upsert(_listing(born_ms=9_000, changed_at=4, residents={}))
    member = roster.members["i1"]
    assert not placement.is_heard(member, now_ms)
    assert ADAPTER not in placement.residents(member, now_ms)
    empty = dataclasses.replace(view, born_ms=9_000, residents={"base7": 1})
    placement.hear(address, empty)
    assert placement.is_heard(member, now_ms)
    assert ADAPTER not in placement.warm[address]


def test_what_a_former_start_held_is_not_fast_to_load() -> None:
    """Callers wait for loads that are expected at once and take a fetch.

    An engine restarts between two reports under the same name. What it held
    before counted as still in its memory, and went before other loads.
    """
    keeper = adapter_keeper.Keeper()
    want = adapter_keeper.Want
    keeper.hear(
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


def test_uses_of_a_former_start_keep_no_place() -> None:
    """A load waits two seconds for the place of an adapter that nobody uses.

    The engine restarts while requests run there. They ended with it, but
    counted as in flight until the words that told them had grown old.
    """
    keeper = adapter_keeper.Keeper()
    use = adapter_keeper.Use(ADAPTER, 3, 3)
    keeper.hear(
        adapter_keeper.Demand("g", NAME, 4, ("base7",), (use,), (), {}), 0
    )
    report = adapter_keeper.Report(
        7, {"base7": 1, ADAPTER: 1}, {}, False, 3, 0, born_ms=5_000
    )
    keeper.observe(report)
    assert keeper.in_flight(ADAPTER, 1) == 3
    keeper.observe(dataclasses.replace(report, born_ms=9_000))
    assert keeper.in_flight(ADAPTER, 1) == 0


def test_a_name_that_was_refused_once_gets_orders_again() -> None:
    """An engine that is back under a former name stays empty for good.

    Another engine ran on its VM meanwhile and refused orders to the former
    name. The process beside it kept that for the name: gateways that name the
    engine which now runs were not heard.
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


def test_late_evidence_on_a_former_start_does_not_hurt_the_new_one() -> None:
    """A target that has just restarted is passed over.

    Requests of its former start fail when it ends; the last of them after the
    new start was listed, and the failure counted against that.
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


def test_a_restarted_engine_is_used_before_its_entry_tells() -> None:
    """Requests for what an engine held go there until its entry has changed.

    The engine restarts under its name; its process sees that in the next
    report, the store's list tells it seconds later. What the process saw, one
    start after the other, counts; the older entry changes nothing.
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


def test_a_late_word_does_not_bring_a_former_start_back() -> None:
    """A gateway believes a start that is over, and the one that runs is lost.

    Words wait in the socket of a gateway that stands still while an engine
    restarts twice. After it has read the list, an old word tells of the second
    start, which the gateway never knew.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=1, plain=0) as fleet:
            gateway = fleet.gateway
            member = gateway.roster.members[NAME]
            born_ms = member.listing.born_ms
            state = fleet_wire.State(
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


def test_births_are_whole_numbers() -> None:
    """An entry whose birth is none names no target."""
    for born in ("1", 1.5, True, None, [1]):
        spec = {"service": "s", "address": "10.0.0.1:80", "born": born}
        assert not isinstance(wire.target("i1", spec, 1), roster_lib.Listing)


def test_a_start_that_the_list_tells_last_is_never_lost() -> None:
    """A target that has restarted twice gets no work from a gateway, for good.

    The process beside it sees the third start follow the first, and tells;
    then the gateway reads the entry that the second one wrote before it ended.
    The third had been taken for over by that, and its own entry, which comes
    last, was passed over.
    """
    roster = _roster(born_ms=1_000)
    third = incarnation.Start("i1", 3_000)
    assert roster.restarted(third, 1_000) is not None
    roster.upsert(_listing(born_ms=2_000, changed_at=4))
    roster.upsert(_listing(born_ms=3_000, changed_at=5))
    assert roster.members["i1"].listing.born_ms == 3_000
    roster.upsert(_listing(born_ms=1_000, changed_at=6))
    assert roster.members["i1"].listing.born_ms == 3_000
