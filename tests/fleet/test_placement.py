"""Tests the choice of targets for requests and loads, without I/O."""

import dataclasses
import random

from radishstack.process import placement as placement_lib
from radishstack.process import roster as roster_lib

ADAPTER = "base/a1"
NOW_MS = 100_000


def _roster(count: int, *, slots: int = 8) -> roster_lib.Roster:
    roster = roster_lib.Roster(2_500)
    for number in range(count):
        roster.upsert(
            roster_lib.Listing(
                instance=f"i{number}",
                service="llm",
                address=f"10.0.0.{number}:80",
                failure_domain="north",
                leaving=False,
                slot_count=slots,
            )
        )
    return roster


def _placement(
    roster: roster_lib.Roster, **residents: dict[str, int]
) -> placement_lib.Placement:
    placement = placement_lib.Placement(random.Random(1), "north")
    for name, member in roster.members.items():
        held = {"base": 1} | residents.get(name, {})
        placement.handle_update(
            member.listing.address,
            placement_lib.View(name, NOW_MS, 0, 0, held, frozenset()),
        )
    return placement


def _choose(
    placement: placement_lib.Placement,
    roster: roster_lib.Roster,
    now_ms: int = NOW_MS,
) -> placement_lib.Choice:
    usable = roster.usable("llm", now_ms)
    return placement.choose(ADAPTER, usable, now_ms)


def test_a_holder_is_preferred_to_a_load() -> None:
    """A load would delay the caller by a quarter of a second."""
    roster = _roster(4)
    placement = _placement(roster, i2={ADAPTER: 1})
    choice = _choose(placement, roster)
    assert choice.send is roster.members["i2"] and choice.load is None


def test_every_gateway_picks_the_same_home_without_messages() -> None:
    """One load then serves the callers of all gateways."""
    roster = _roster(6)
    homes = {_choose(_placement(roster), roster).load.listing.instance}
    for seed in range(5):
        placement = _placement(roster)
        placement._random = random.Random(seed)
        homes.add(_choose(placement, roster).load.listing.instance)
    assert len(homes) == 1


def test_a_load_under_way_is_shared() -> None:
    """Requests wait for a target that is already loading, not for the home."""
    roster = _roster(6)
    placement = _placement(roster)
    home = _choose(placement, roster).load
    other = next(one for one in roster.members.values() if one is not home)
    placement.views[other.listing.address].pending = frozenset({ADAPTER})
    assert _choose(placement, roster).load is other


def test_a_busy_holder_gets_a_second_copy_beside_it() -> None:
    """One adapter gets more requests than one engine can serve."""
    roster = _roster(4)
    placement = _placement(roster, i0={ADAPTER: 1})
    roster.members["i0"].listing = dataclasses.replace(
        roster.members["i0"].listing, slot_count=64
    )
    placement.views["10.0.0.0:80"].running = 55
    choice = _choose(placement, roster)
    assert choice.send is roster.members["i0"]
    assert choice.load is not None and choice.load is not choice.send


def test_no_copy_is_loaded_where_all_engines_fail() -> None:
    """Guards against fetching each adapter again while all engines fail.

    Every engine fails half of its requests for some seconds, and a copy was
    loaded at an engine that fails as often as the first one.
    """
    roster = _roster(4, slots=64)
    placement = _placement(roster, i2={ADAPTER: 1})
    for member in roster.members.values():
        member.health.failure_share = 0.45
    choice = _choose(placement, roster)
    assert choice.send is roster.members["i2"] and choice.load is None
    for name in ("i0", "i1"):
        roster.members[name].health.failure_share = 0.0
    choice = _choose(placement, roster)
    assert choice.load in (roster.members["i0"], roster.members["i1"])


def test_an_old_version_serves_only_while_the_new_one_is_loaded() -> None:
    """Guards against answers of a version that was replaced.

    A version is announced while the old one is resident, and residency was
    matched by name only.
    """
    roster = _roster(3)
    placement = _placement(roster, i0={ADAPTER: 1})
    placement.record_announcement(ADAPTER, 2, NOW_MS)
    first = _choose(placement, roster)
    assert first.send is roster.members["i0"]
    assert first.load is not None and first.load is not first.send
    later_ms = NOW_MS + placement_lib.OLD_VERSION_MS
    for view in placement.views.values():
        view.received_at_ms = later_ms
    assert _choose(placement, roster, later_ms).send is None


def test_each_of_several_announced_versions_has_its_own_grace_period() -> None:
    """Guards against answers of a version replaced twice, five seconds ago.

    A second version is announced before the first is loaded everywhere, and
    each announcement restarted the grace period of all older versions.
    """
    roster = _roster(3)
    placement = _placement(roster, i0={ADAPTER: 1})
    placement.record_announcement(ADAPTER, 2, NOW_MS)
    second_ms = NOW_MS + placement_lib.OLD_VERSION_MS - 100
    placement.record_announcement(ADAPTER, 3, second_ms)
    for view in placement.views.values():
        view.received_at_ms = second_ms
    assert _choose(placement, roster, second_ms).send is not None
    later_ms = NOW_MS + placement_lib.OLD_VERSION_MS
    for view in placement.views.values():
        view.received_at_ms = later_ms
    assert _choose(placement, roster, later_ms).send is None
    # The grace period of the version between is not over yet.
    placement.views[roster.members["i1"].listing.address].residents[ADAPTER] = 2
    assert _choose(placement, roster, later_ms).send is roster.members["i1"]


def test_an_engine_that_is_down_is_no_home() -> None:
    """Guards against waits of seconds for each new adapter after a crash.

    An engine restarts empty and its loads wait for the base model, but it was
    chosen as the first of the order without checking what it holds.
    """
    roster = _roster(4)
    placement = _placement(roster)
    home = _choose(placement, roster).load
    placement.views[home.listing.address].residents.clear()
    assert _choose(placement, roster).load is not home


def test_an_engine_with_a_stale_status_is_no_home() -> None:
    """Its engine may run, but no sidecar accepts load requests there."""
    roster = _roster(2)
    placement = _placement(roster)
    home = _choose(placement, roster).load
    placement.views[home.listing.address].received_at_ms -= 10_000
    assert _choose(placement, roster).load is not home


def test_failures_never_make_all_targets_of_a_service_unusable() -> None:
    """If every target fails, the cause is probably this process."""
    roster = _roster(2)
    for _ in range(4):
        roster.failed("i0", NOW_MS)
    usable = roster.usable("llm", NOW_MS)
    assert [one.listing.instance for one in usable] == ["i1"]
    for _ in range(4):
        roster.failed("i1", NOW_MS)
    assert len(roster.usable("llm", NOW_MS)) == 2


def test_the_later_of_two_listings_at_one_address_is_used() -> None:
    """Guards against rejected sends to a restarted target for seconds."""
    roster = _roster(1)
    old = roster.members["i0"].listing
    roster.upsert(
        roster_lib.Listing(
            instance="i9",
            service="llm",
            address=old.address,
            failure_domain="north",
            leaving=False,
            slot_count=8,
            listed_at=9,
        )
    )
    usable = roster.usable("llm", NOW_MS)
    assert [one.listing.instance for one in usable] == ["i9"]


def test_entries_that_expire_in_an_outage_are_kept_for_a_grace_period() -> None:
    """A target that is not listed again is dropped after the grace period."""
    roster = _roster(2)
    roster.outage_ended(NOW_MS, away_ms=4_000)
    assert not roster.remove("i0", NOW_MS + 100)
    assert len(roster.usable("llm", NOW_MS + 200)) == 2
    assert roster.drop_expired(NOW_MS + 2_499) == []
    assert roster.drop_expired(NOW_MS + 2_500) == ["i0"]
    assert roster.remove("i1", NOW_MS + 9_000)


def test_a_plain_target_that_does_not_answer_is_avoided() -> None:
    """Guards against timeouts of a third of all calls to a service.

    A target stops answering while its connections stay open, and only errors
    counted against a target.
    """
    roster = _roster(3)
    placement = _placement(roster)
    unresponsive = roster.members["i1"]
    unresponsive.health.unanswered["request"] = NOW_MS - 600
    for _ in range(30):
        usable = roster.usable("llm", NOW_MS)
        chosen = placement.choose_plain(usable, NOW_MS)
        assert chosen is not unresponsive


def test_an_adapter_held_on_a_frozen_vm_is_loaded_elsewhere() -> None:
    """Guards against seconds of requests lost to a frozen VM.

    Engine and sidecar freeze together while the engine is still listed with its
    adapters, and the list was used for longer than a load elsewhere takes.
    """
    roster = _roster(3)
    placement = _placement(roster, i0={ADAPTER: 1})
    now_ms = NOW_MS + placement_lib.STALE_MS + 1
    for address, view in placement.views.items():
        if address != "10.0.0.0:80":
            view.received_at_ms = now_ms
    choice = _choose(placement, roster, now_ms)
    assert choice.send is None
    assert choice.load is not None
    assert choice.load is not roster.members["i0"]


def test_a_long_update_interval_does_not_make_a_status_stale() -> None:
    """Guards against fetching adapters twice because idle engines look frozen.

    A sidecar updates an idle gateway once a second, and a status was stale
    after 700 ms without an update.
    """
    roster = _roster(3)
    placement = _placement(roster, i0={ADAPTER: 1})
    view = placement.views["10.0.0.0:80"]
    view.next_ms = 1_000
    now_ms = NOW_MS + 1_900
    choice = _choose(placement, roster, now_ms)
    assert choice.send is roster.members["i0"]
    assert placement.has_fresh_status(roster.members["i0"], now_ms)
    # Two updates are missing.
    now_ms = NOW_MS + 2_100
    assert not placement.has_fresh_status(roster.members["i0"], now_ms)


def test_an_adapter_held_between_two_updates_is_loaded_there_again() -> None:
    """The load there takes a tenth of the time and needs no fetch."""
    roster = _roster(4)
    placement = _placement(roster)
    first = _choose(placement, roster).load
    other = next(one for one in roster.members.values() if one is not first)
    name, address = other.listing.instance, other.listing.address
    view = placement_lib.View(
        name, NOW_MS, 0, 0, {"base": 1}, frozenset(), recent=(ADAPTER,)
    )
    placement.handle_update(address, view)
    assert _choose(placement, roster).load is other


def test_an_engine_that_ignores_a_load_request_becomes_stale_soon() -> None:
    """Guards against waits of seconds for a load on a frozen VM.

    An idle gateway, which gets an update once a second, requests a load at an
    engine whose VM is paused. The status was fresh until two such updates were
    missing, although a sidecar answers a load request at the active interval.
    """
    roster = _roster(3)
    placement = _placement(roster)
    member = roster.members["i0"]
    placement.views["10.0.0.0:80"].next_ms = 1_000
    placement.note_demand_sent(member, NOW_MS + 100)
    placement.note_demand_sent(member, NOW_MS + 500)
    assert placement.has_fresh_status(member, NOW_MS + 800)
    assert not placement.has_fresh_status(member, NOW_MS + 801)
    placement.handle_update(
        "10.0.0.0:80",
        placement_lib.View("i0", NOW_MS + 802, 0, 0, {}, frozenset()),
    )
    assert placement.has_fresh_status(member, NOW_MS + 900)


def test_an_announced_base_version_does_not_block_running_engines() -> None:
    """Guards against rejecting all requests without an adapter for good.

    New base weights are announced while running engines keep theirs, and
    requests waited for the announced version.
    """
    roster = _roster(2)
    placement = _placement(roster)
    placement.record_announcement("base", 2, NOW_MS)
    usable = roster.usable("llm", NOW_MS)
    late_ms = NOW_MS + 600
    choice = placement.choose("base", usable, late_ms)
    assert choice.send is not None


def test_an_adapter_is_loaded_again_where_it_was_held() -> None:
    """Many adapters get rare requests.

    The engine that held an adapter has it in memory, while its rendezvous home
    would fetch it from the weight store.
    """
    roster = _roster(6)
    placement = _placement(roster)
    home = _choose(placement, roster).load
    other = next(one for one in roster.members.values() if one is not home)
    address = other.listing.address
    view = placement.views[address]
    held = view.residents | {ADAPTER: 1}
    name = other.listing.instance
    for residents in (held, view.residents):
        placement.handle_update(
            address,
            placement_lib.View(name, NOW_MS, 0, 0, residents, frozenset()),
        )
    assert _choose(placement, roster).load is other


def test_the_first_engine_to_restart_is_not_overloaded() -> None:
    """Guards against serving hardly any request ten seconds after a power cut.

    All engines restart, and every adapter was loaded at the first one with a
    base model, whatever its number of requests.
    """
    roster = _roster(4, slots=64)
    placement = _placement(roster)
    for address, view in placement.views.items():
        if address != "10.0.0.0:80":
            view.residents.clear()
    assert _choose(placement, roster).load is roster.members["i0"]
    placement.views["10.0.0.0:80"].running = 70
    choice = _choose(placement, roster)
    assert choice.load is None and choice.send is None
    assert choice.full_for_ms > 0


def test_an_overloaded_holder_takes_no_more() -> None:
    """Its requests wait until another engine has loaded the adapter."""
    roster = _roster(4, slots=64)
    placement = _placement(roster, i0={ADAPTER: 1})
    placement.views["10.0.0.0:80"].running = 70
    choice = _choose(placement, roster)
    assert choice.send is None
    assert choice.load is not None
    assert choice.load is not roster.members["i0"]


def test_ended_requests_do_not_count_as_load() -> None:
    """Guards against treating an idle engine as overloaded.

    Hundreds of short requests are answered between two updates of its sidecar,
    and each send since the update counted as a running request.
    """
    roster = _roster(1, slots=8)
    placement = _placement(roster, i0={ADAPTER: 1})
    member = roster.members["i0"]
    view = placement.views[member.listing.address]
    view.running, view.own_in_flight = 3, 3
    member.health.in_flight = 3
    for _ in range(500):
        assert _choose(placement, roster).send is member
        member.health.in_flight += 1
        member.health.in_flight -= 1
    member.health.in_flight = 60
    assert _choose(placement, roster).send is None
