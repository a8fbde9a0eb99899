"""Where requests go and where adapters are loaded, without I/O."""

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
        placement.hear(
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
    """A load would cost the caller a quarter of a second."""
    roster = _roster(4)
    placement = _placement(roster, i2={ADAPTER: 1})
    choice = _choose(placement, roster)
    assert choice.send is roster.members["i2"] and choice.load is None


def test_every_gateway_picks_the_same_home() -> None:
    """Without a message, so that one load serves the callers of all."""
    roster = _roster(6)
    homes = {_choose(_placement(roster), roster).load.listing.instance}
    for seed in range(5):
        placement = _placement(roster)
        placement._random = random.Random(seed)
        homes.add(_choose(placement, roster).load.listing.instance)
    assert len(homes) == 1


def test_a_load_under_way_is_shared() -> None:
    """Waiters join a target that is already loading, not their own home."""
    roster = _roster(6)
    placement = _placement(roster)
    home = _choose(placement, roster).load
    other = next(one for one in roster.members.values() if one is not home)
    placement.views[other.listing.address].pending = frozenset({ADAPTER})
    assert _choose(placement, roster).load is other


def test_a_busy_holder_gets_a_second_copy_beside_it() -> None:
    """Load pattern: one adapter takes more than one engine can carry."""
    roster = _roster(4)
    placement = _placement(roster, i0={ADAPTER: 1})
    roster.members["i0"].listing = dataclasses.replace(
        roster.members["i0"].listing, slot_count=64
    )
    placement.views["10.0.0.0:80"].running = 55
    choice = _choose(placement, roster)
    assert choice.send is roster.members["i0"]
    assert choice.load is not None and choice.load is not choice.send


def test_where_all_engines_fail_no_copies_are_made() -> None:
    """Symptom: each adapter is fetched once more while engines fail.

    Sequence: every engine fails half of its requests for some seconds. Cause:
    a copy was made at an engine that fails as often as the first one.
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
    """Symptom: callers get an answer of a version that was replaced.

    Sequence: a version is announced while the old one is resident. Cause:
    residency was matched by name only.
    """
    roster = _roster(3)
    placement = _placement(roster, i0={ADAPTER: 1})
    placement.announce(ADAPTER, 2, NOW_MS)
    first = _choose(placement, roster)
    assert first.send is roster.members["i0"]
    assert first.load is not None and first.load is not first.send
    later_ms = NOW_MS + placement_lib.OLD_VERSION_MS
    for view in placement.views.values():
        view.heard_at_ms = later_ms
    assert _choose(placement, roster, later_ms).send is None


def test_versions_named_in_a_row_are_each_given_their_time() -> None:
    """Symptom: callers get a version two behind, five seconds after it went.

    Sequence: a version is announced, and the next one before the first is
    everywhere. Cause: the time for which an older version still serves began
    anew with each announcement.
    """
    roster = _roster(3)
    placement = _placement(roster, i0={ADAPTER: 1})
    placement.announce(ADAPTER, 2, NOW_MS)
    second_ms = NOW_MS + placement_lib.OLD_VERSION_MS - 100
    placement.announce(ADAPTER, 3, second_ms)
    for view in placement.views.values():
        view.heard_at_ms = second_ms
    assert _choose(placement, roster, second_ms).send is not None
    later_ms = NOW_MS + placement_lib.OLD_VERSION_MS
    for view in placement.views.values():
        view.heard_at_ms = later_ms
    assert _choose(placement, roster, later_ms).send is None
    # The version between is not over yet.
    placement.views[roster.members["i1"].listing.address].residents[ADAPTER] = 2
    assert _choose(placement, roster, later_ms).send is roster.members["i1"]


def test_an_engine_that_is_down_is_no_home() -> None:
    """Symptom: every new adapter waits for seconds after a crash.

    Sequence: an engine restarts empty; loads there wait for its base model.
    Cause: it was the first of the order, and nobody looked what it holds.
    """
    roster = _roster(4)
    placement = _placement(roster)
    home = _choose(placement, roster).load
    placement.views[home.listing.address].residents.clear()
    assert _choose(placement, roster).load is not home


def test_a_silent_sidecar_is_no_home() -> None:
    """Its engine may run, but nobody there takes a wish for a load."""
    roster = _roster(2)
    placement = _placement(roster)
    home = _choose(placement, roster).load
    placement.views[home.listing.address].heard_at_ms -= 10_000
    assert _choose(placement, roster).load is not home


def test_failures_push_work_away_but_never_empty_a_service() -> None:
    """With every target in doubt, the doubt is about this process."""
    roster = _roster(2)
    for _ in range(4):
        roster.failed("i0", NOW_MS)
    usable = roster.usable("llm", NOW_MS)
    assert [one.listing.instance for one in usable] == ["i1"]
    for _ in range(4):
        roster.failed("i1", NOW_MS)
    assert len(roster.usable("llm", NOW_MS)) == 2


def test_of_two_entries_at_one_address_the_later_runs() -> None:
    """Symptom: each send to a restarted target is refused for seconds."""
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


def test_entries_that_lapse_in_an_outage_are_kept_for_a_moment() -> None:
    """And one that does not come back is then given up."""
    roster = _roster(2)
    roster.outage_ended(NOW_MS, away_ms=4_000)
    assert not roster.remove("i0", NOW_MS + 100)
    assert len(roster.usable("llm", NOW_MS + 200)) == 2
    assert roster.drop_expired(NOW_MS + 2_499) == []
    assert roster.drop_expired(NOW_MS + 2_500) == ["i0"]
    assert roster.remove("i1", NOW_MS + 9_000)


def test_a_plain_target_that_leaves_callers_waiting_is_passed_over() -> None:
    """Symptom: a third of all counter calls run into their time limit.

    Sequence: a target goes dark without a word; its connections stay open.
    Cause: only an error counted as evidence, and a dark target gives none.
    """
    roster = _roster(3)
    placement = _placement(roster)
    dark = roster.members["i1"]
    dark.health.unanswered["request"] = NOW_MS - 600
    for _ in range(30):
        usable = roster.usable("llm", NOW_MS)
        chosen = placement.plain(usable, NOW_MS)
        assert chosen is not dark


def test_a_holder_on_a_silent_vm_is_left_for_a_load_elsewhere() -> None:
    """Symptom: seconds of requests vanish into a frozen VM.

    Sequence: engine and sidecar freeze together; the engine still stands in
    the list with its adapters. Cause: what it held was believed for longer
    than it takes to load the adapter elsewhere.
    """
    roster = _roster(3)
    placement = _placement(roster, i0={ADAPTER: 1})
    now_ms = NOW_MS + placement_lib.SILENT_MS + 1
    for address, view in placement.views.items():
        if address != "10.0.0.0:80":
            view.heard_at_ms = now_ms
    choice = _choose(placement, roster, now_ms)
    assert choice.send is None
    assert choice.load is not None
    assert choice.load is not roster.members["i0"]


def test_an_engine_that_is_told_of_seldom_is_not_silent_in_between() -> None:
    """Symptom: idle engines pass for frozen, and adapters are fetched twice.

    Sequence: the process beside an engine tells a gateway that does not use
    it once a second. Cause: 700 ms without a word counted as silence.
    """
    roster = _roster(3)
    placement = _placement(roster, i0={ADAPTER: 1})
    view = placement.views["10.0.0.0:80"]
    view.next_ms = 1_000
    now_ms = NOW_MS + 1_900
    choice = _choose(placement, roster, now_ms)
    assert choice.send is roster.members["i0"]
    assert placement.is_heard(roster.members["i0"], now_ms)
    # Two promised words are missing.
    now_ms = NOW_MS + 2_100
    assert not placement.is_heard(roster.members["i0"], now_ms)


def test_what_an_engine_held_between_two_words_is_loaded_there_again() -> None:
    """It takes a tenth of the time there, and no fetch from the store."""
    roster = _roster(4)
    placement = _placement(roster)
    first = _choose(placement, roster).load
    other = next(one for one in roster.members.values() if one is not first)
    name, address = other.listing.instance, other.listing.address
    view = placement_lib.View(
        name, NOW_MS, 0, 0, {"base": 1}, frozenset(), recent=(ADAPTER,)
    )
    placement.hear(address, view)
    assert _choose(placement, roster).load is other


def test_an_engine_that_leaves_a_wish_unanswered_is_silent_soon() -> None:
    """Symptom: callers wait for seconds for a load on a frozen VM.

    Sequence: a gateway that was told of an engine once a second asks for a load
    there while its VM stands still. Cause: the engine counted as heard until
    the promised words were missing; told of a wish, its process answers at
    the pace of a user.
    """
    roster = _roster(3)
    placement = _placement(roster)
    member = roster.members["i0"]
    placement.views["10.0.0.0:80"].next_ms = 1_000
    placement.asked(member, NOW_MS + 100)
    placement.asked(member, NOW_MS + 500)
    assert placement.is_heard(member, NOW_MS + 800)
    assert not placement.is_heard(member, NOW_MS + 801)
    placement.hear(
        "10.0.0.0:80",
        placement_lib.View("i0", NOW_MS + 802, 0, 0, {}, frozenset()),
    )
    assert placement.is_heard(member, NOW_MS + 900)


def test_a_named_base_version_keeps_no_request_from_running_engines() -> None:
    """Symptom: all requests without an adapter are refused for good.

    Sequence: new weights of the base model are named; engines in place go
    on with theirs. Cause: the name was taken for a version to wait for.
    """
    roster = _roster(2)
    placement = _placement(roster)
    placement.announce("base", 2, NOW_MS)
    usable = roster.usable("llm", NOW_MS)
    late_ms = NOW_MS + 600
    choice = placement.choose("base", usable, late_ms)
    assert choice.send is not None


def test_an_adapter_returns_to_where_it_was_held() -> None:
    """Load pattern: many rare adapters, each asked for now and then.

    The engine that held it has it in memory; its rendezvous home would fetch
    it from the weight store.
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
        placement.hear(
            address,
            placement_lib.View(name, NOW_MS, 0, 0, residents, frozenset()),
        )
    assert _choose(placement, roster).load is other


def test_the_first_engine_back_does_not_get_everything() -> None:
    """Symptom: ten seconds after a power cut hardly anybody is served.

    Sequence: all engines restart; one has its base model before the others,
    and every adapter is loaded there. Cause: it was the only one able to
    load, however many requests it had already.
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
    """Another engine loads the adapter meanwhile; its callers wait for that."""
    roster = _roster(4, slots=64)
    placement = _placement(roster, i0={ADAPTER: 1})
    placement.views["10.0.0.0:80"].running = 70
    choice = _choose(placement, roster)
    assert choice.send is None
    assert choice.load is not None
    assert choice.load is not roster.members["i0"]


def test_requests_that_have_ended_are_no_load() -> None:
    """Symptom: an idle engine is said to be overloaded.

    Sequence: hundreds of short requests are sent and answered between two
    words of its sidecar. Cause: each send since the word was counted as a
    request that still runs.
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
