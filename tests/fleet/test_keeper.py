"""The orders of one engine, without I/O."""

import dataclasses

import hypothesis
from hypothesis import stateful
import hypothesis.strategies as st
from radishstack.process import adapter_keeper
from radishstack.process import demand_table
from radishstack.process import incarnation
from radishstack.process import shared_budget

LIMIT = 4
Operation = adapter_keeper.Operation


def _report(
    residents: dict[str, int],
    in_transit: dict[str, int] | None = None,
    accepted: int = 0,
) -> adapter_keeper.Report:
    return adapter_keeper.Report(
        accepted, {"base": 1} | residents, in_transit or {}, False, 0, 0
    )


def _demand(
    *wants: str,
    uses: tuple[adapter_keeper.Use, ...] = (),
    announced: dict[str, int] | None = None,
    gateway: str = "g",
) -> adapter_keeper.Demand:
    return adapter_keeper.Demand(
        gateway=gateway,
        instance="i",
        adapter_limit=LIMIT,
        base_models=("base",),
        uses=uses,
        wants=tuple(adapter_keeper.Want(name, 0) for name in wants),
        announced=announced or {},
    )


def _full() -> dict[str, int]:
    return {f"base/a{number}": 1 for number in range(LIMIT)}


def test_an_adapter_in_use_is_never_unloaded() -> None:
    """Symptom: an engine refuses requests in the middle of a rush.

    Sequence: all places are taken and in use, another adapter is wanted.
    Cause: the least recently used adapter was evicted although it served.
    """
    keeper = adapter_keeper.Keeper()
    uses = tuple(adapter_keeper.Use(name, 1, 1) for name in _full())
    keeper.hear(_demand("base/new", uses=uses), 1_000)
    keeper.observe(_report(_full()))
    assert keeper.decide(1_500) is None


def test_the_least_asked_for_idle_adapter_makes_room() -> None:
    """Popularity decides among the idle ones."""
    keeper = adapter_keeper.Keeper()
    uses = tuple(
        adapter_keeper.Use(name, 0, 9 if name != "base/a2" else 1)
        for name in _full()
    )
    keeper.hear(_demand(uses=uses), 1_000)
    keeper.hear(_demand("base/new"), 1_400)
    keeper.observe(_report(_full()))
    order = keeper.decide(1_500)
    assert order.operation is Operation.UNLOAD and order.adapter == "base/a2"


def test_a_pause_of_the_process_is_not_learned_as_load_time() -> None:
    """Guards against rejecting all loads after the process was paused."""
    keeper = adapter_keeper.Keeper()
    names = [f"base/b{number}" for number in range(3)]
    keeper.hear(_demand(*names), 1_000)
    for number, name in enumerate(names[:2]):
        # The first load takes 30 ms; the second is in progress at the pause.
        keeper.observe(_report(dict.fromkeys(names[:number], 1)))
        order = keeper.decide(1_000 + 30 * number)
        assert order.adapter == name
        keeper.settled(order, 1_000 + 30 * number, refused=False)
    fetch_ms_before_pause = keeper.load_wait(1_040).fetch_ms
    keeper.hold(4_000)
    keeper.hear(_demand(*names), 4_000)
    keeper.observe(_report(dict.fromkeys(names[:2], 1)))
    keeper.decide(4_000)
    wait = keeper.load_wait(4_001)
    assert wait.fetch_ms == fetch_ms_before_pause == 30
    assert wait.gap_ms < 100


def test_a_gateway_that_is_gone_holds_no_adapter() -> None:
    """Its uses lapse; the engine itself protects what still runs."""
    keeper = adapter_keeper.Keeper()
    uses = tuple(adapter_keeper.Use(name, 1, 1) for name in _full())
    keeper.hear(_demand(uses=uses), 1_000)
    later_ms = 1_001 + adapter_keeper.DEMAND_MS
    keeper.hear(_demand("base/new", gateway="other"), later_ms)
    keeper.observe(_report(_full()))
    assert keeper.decide(later_ms).operation is Operation.UNLOAD


def test_no_order_without_a_new_report() -> None:
    """What an order did is read, not assumed."""
    keeper = adapter_keeper.Keeper()
    keeper.hear(_demand("base/a1", "base/a2"), 1_000)
    keeper.observe(_report({}))
    order = keeper.decide(1_000)
    keeper.settled(order, 1_001, refused=False)
    assert keeper.decide(1_002) is None
    keeper.observe(_report({}, {"base/a1": 1}, accepted=1))
    assert keeper.decide(1_003).accepted_count == 1


def test_no_order_right_after_a_standstill() -> None:
    """What was known before it is old, and another may have acted."""
    keeper = adapter_keeper.Keeper()
    keeper.hear(_demand("base/a1"), 1_000)
    keeper.hold(1_400)
    keeper.observe(_report({}))
    assert keeper.decide(1_399) is None
    assert keeper.decide(1_400) is not None


def test_a_full_engine_is_not_asked_all_the_while() -> None:
    """Symptom: a process beside a full engine takes 5 % of a core.

    Sequence: all places are in use and another adapter is wanted. Cause: the
    engine was asked 66 times a second whether a place is free, though a place
    comes free by a gateway's word that its last run has ended.
    """
    keeper = adapter_keeper.Keeper()
    uses = tuple(adapter_keeper.Use(name, 1, 1) for name in _full())
    keeper.hear(_demand("base/new", uses=uses), 1_000)
    keeper.observe(_report(_full()))
    assert keeper.decide(1_500) is None
    assert keeper.next_look_ms(1_500) == adapter_keeper.IDLE_LOOK_MS


def test_the_end_of_a_run_is_news_where_a_place_is_waited_for() -> None:
    """The word that a run has ended has its place taken at once."""
    keeper = adapter_keeper.Keeper()
    uses = tuple(adapter_keeper.Use(name, 1, 1) for name in _full())
    assert keeper.hear(_demand("base/new", uses=uses), 1_000) is False
    keeper.observe(_report(_full()))
    assert keeper.decide(1_500) is None
    ended = (adapter_keeper.Use("base/a0", 0, 1), *uses[1:])
    assert keeper.hear(_demand("base/new", uses=ended), 1_510)
    assert keeper.decide(1_511) is None
    left_ms = adapter_keeper.IDLE_MS - 1
    assert keeper.next_look_ms(1_511) == left_ms
    order = keeper.decide(1_511 + left_ms)
    assert order.operation is Operation.UNLOAD and order.adapter == "base/a0"


def test_the_end_of_a_run_is_no_news_where_nothing_waits() -> None:
    """A look for every run that ends would cost as much as a steady pace."""
    keeper = adapter_keeper.Keeper()
    uses = tuple(adapter_keeper.Use(name, 1, 1) for name in _full())
    keeper.hear(_demand(uses=uses), 1_000)
    keeper.observe(_report(_full()))
    assert keeper.decide(1_500) is None
    assert not keeper.hear(_demand(uses=uses[1:]), 1_510)


def test_adapters_that_came_and_went_between_two_words_are_told() -> None:
    """Symptom: a tenth more adapters are fetched from the weight store.

    Sequence: gateways are told of an engine once a second; adapters come and
    go there in half a second. Cause: a gateway knows only from words what an
    engine held lately and loads in a tenth of the time, and the words never
    named these.
    """
    keeper = adapter_keeper.Keeper()
    keeper.hear(_demand(), 1_000)
    keeper.observe(_report({"base/a1": 1, "base/a2": 1}))
    keeper.observe(_report({"base/a2": 1, "base/a3": 1}))
    keeper.observe(_report({"base/a2": 1, "base/a4": 1}))
    assert keeper.recently_held() == ("base/a1", "base/a3")


def test_an_overdue_load_is_looked_for_at_a_growing_pace() -> None:
    """Symptom: looks at engines double while the weight store is slow.

    Sequence: a load that takes a quarter of a second takes a whole one.
    Cause: once overdue it was looked for every 15 ms.
    """
    keeper = adapter_keeper.Keeper()
    keeper.hear(_demand("base/a1"), 1_000)
    keeper.observe(_report({}))
    keeper.settled(keeper.decide(1_000), 1_000, refused=False)
    looks = []
    now_ms = 1_000
    while now_ms < 2_000:
        keeper.observe(_report({}, {"base/a1": 0}, accepted=1))
        keeper.hear(_demand("base/a1"), now_ms)
        keeper.decide(now_ms)
        now_ms += keeper.next_look_ms(now_ms)
        looks.append(now_ms)
    assert len(looks) < 25, looks


def test_an_empty_engine_gets_its_base_model_first() -> None:
    """Adapters need it; the engine refuses them without."""
    keeper = adapter_keeper.Keeper()
    keeper.hear(_demand("base/a1"), 1_000)
    empty = adapter_keeper.Report(0, {}, {}, False, 0, 0)
    keeper.observe(empty)
    assert keeper.decide(1_000).adapter == "base"


def test_an_idle_adapter_of_an_old_version_goes() -> None:
    """It would only be refused, and its place is wanted."""
    keeper = adapter_keeper.Keeper()
    keeper.hear(_demand(announced={"base/a1": 2}), 1_000)
    keeper.observe(_report({"base/a1": 1, "base/a2": 1}))
    order = keeper.decide(1_000)
    assert order.operation is Operation.UNLOAD and order.adapter == "base/a1"


def test_a_start_that_is_over_is_never_taken_again() -> None:
    """A gateway that lags goes on naming it for seconds."""
    starts = incarnation.IncarnationTracker()
    assert starts.select("new") and starts.select("old")
    starts.refused()
    assert not starts.select("old") and starts.current == ""
    assert starts.select("new")


def test_parts_of_the_budget_add_up_to_the_whole() -> None:
    """Symptom: a failing service gets several times its load in repeats.

    Sequence: all requests fail at all gateways, unevenly loaded. Cause: each
    gateway spent the whole allowance.
    """
    ratio, extra, gateways = 0.2, 60.0, 6
    spent, requests = 0, 0
    for number in range(gateways):
        budget = shared_budget.SharedBudget(ratio, extra / gateways, 10_000)
        own = 10 * number**2
        for index in range(own):
            budget.earn(index)
        requests += own
        spent += sum(budget.spend(5_000) for _ in range(1_000))
    assert spent <= ratio * requests + extra


class KeeperMachine(stateful.RuleBasedStateMachine):
    """An engine that answers orders late, never, or at once."""

    adapters = st.sampled_from([f"base/a{number}" for number in range(8)])

    def __init__(self) -> None:
        """Starts with an empty engine."""
        super().__init__()
        self.keeper = adapter_keeper.Keeper()
        self.now_ms = 1_000
        self.residents: dict[str, int] = {}
        self.in_transit: dict[str, int] = {}
        self.accepted = 0
        self.late: list[adapter_keeper.Order] = []
        self.in_use: set[str] = set()
        self.waited_for: list[str] = []

    def _tell(self, *, sent: int) -> None:
        """The gateway's word: all that it uses and waits for."""
        uses = tuple(adapter_keeper.Use(name, 1, sent) for name in self.in_use)
        demand = _demand(*self.waited_for, uses=uses)
        self.keeper.hear(demand, self.now_ms)

    def _carry_out(self, order: adapter_keeper.Order) -> bool:
        if order.accepted_count != self.accepted:
            return False
        self.accepted += 1
        if order.operation is Operation.UNLOAD:
            self.residents.pop(order.adapter, None)
            return True
        self.in_transit[order.adapter] = 1
        return True

    @stateful.rule(adapter=adapters)
    def want(self, adapter: str) -> None:
        """A request waits for an adapter."""
        if adapter not in self.waited_for:
            self.waited_for.append(adapter)
        self._tell(sent=0)

    @stateful.rule()
    def wait_no_more(self) -> None:
        """The request that waits longest is sent or refused."""
        if self.waited_for:
            self.waited_for.pop(0)
        self._tell(sent=0)

    @stateful.rule(adapter=adapters, uses=st.booleans())
    def use(self, adapter: str, uses: bool) -> None:
        """A request begins or ends."""
        if uses:
            self.in_use.add(adapter)
        else:
            self.in_use.discard(adapter)
        self._tell(sent=1)

    @stateful.rule(answer=st.sampled_from(["at once", "lost", "late"]))
    def order(self, answer: str) -> None:
        """The process reads a report and gives an order."""
        self.keeper.observe(
            _report(dict(self.residents), dict(self.in_transit), self.accepted)
        )
        order = self.keeper.decide(self.now_ms)
        if order is None:
            return
        if order.operation is Operation.UNLOAD:
            assert order.adapter not in self.in_use
        if answer == "late":
            self.late.append(order)
        else:
            self._carry_out(order)
        self.keeper.settled(order, self.now_ms, refused=False)

    @stateful.rule()
    def late_order(self) -> None:
        """An order that had no answer is carried out after all."""
        if self.late:
            self._carry_out(self.late.pop(0))

    @stateful.rule()
    def loads_finish(self) -> None:
        """What is on its way arrives."""
        self.residents.update(self.in_transit)
        self.in_transit.clear()

    @stateful.rule(step_ms=st.integers(1, 400))
    def wait(self, step_ms: int) -> None:
        """Time passes; gateways renew their word."""
        self.now_ms += step_ms
        self._tell(sent=0)

    @stateful.invariant()
    def never_overfilled(self) -> None:
        """One adapter too many crashes the engine."""
        assert len(self.residents | self.in_transit) <= LIMIT


def test_no_order_overfills_an_engine_whatever_is_lost_or_late() -> None:
    """Orders are answered at once, lost, or carried out later."""
    settings = hypothesis.settings(
        max_examples=150,
        stateful_step_count=60,
        derandomize=True,
        deadline=None,
        database=None,
    )
    stateful.run_state_machine_as_test(KeeperMachine, settings=settings)


def test_a_load_that_nobody_waits_for_any_more_is_not_made() -> None:
    """Symptom: engines bring in adapters for callers that have left.

    Sequence: a request waits, is refused or sent elsewhere, and the gateway's
    next word does not name its adapter. Cause: load requests lapsed by time
    alone, so a load for nobody took a place from those that waited.
    """
    keeper = adapter_keeper.Keeper()
    keeper.hear(_demand("base/a1"), 1_000)
    keeper.hear(_demand(), 1_020)
    keeper.observe(_report({}))
    assert keeper.decide(1_030) is None
    assert not keeper.pending(1_030)


def test_the_adapter_that_most_wait_for_comes_first() -> None:
    """Load pattern: places are scarce, and one load can serve several."""
    keeper = adapter_keeper.Keeper()
    demand = _demand("base/a1")
    keeper.hear(demand, 1_000)
    wants = (
        adapter_keeper.Want("base/a1", 0, 1),
        adapter_keeper.Want("base/a2", 0, 4),
    )
    keeper.hear(dataclasses.replace(demand, wants=wants), 1_100)
    keeper.observe(_report({}))
    assert keeper.decide(1_110).adapter == "base/a2"


def test_one_that_waits_long_is_not_passed_over_for_ever() -> None:
    """A rare adapter waits at most as long as its rivals' callers are many."""
    keeper = adapter_keeper.Keeper()
    keeper.hear(_demand("base/rare"), 1_000)
    wants = (
        adapter_keeper.Want("base/rare", 0, 1),
        adapter_keeper.Want("base/a2", 0, 4),
    )
    keeper.hear(dataclasses.replace(_demand(), wants=wants), 1_500)
    keeper.observe(_report({}))
    assert keeper.decide(1_510).adapter == "base/rare"


def test_the_wait_for_a_load_is_learned_where_places_are_taken() -> None:
    """Symptom: under load callers wait for loads that come too late.

    Sequence: all places are in use, runs end one every 200 ms, and eight more
    adapters are wanted. Cause: the wait was worked out from the engine's best
    rate, a load every 62 ms, instead of the rate at which places fall free.
    """
    keeper = adapter_keeper.Keeper()
    now_ms, accepted = 1_000, 0
    held = _full()
    wants = tuple(f"base/n{number}" for number in range(16))
    for turn in range(8):
        uses = tuple(
            adapter_keeper.Use(name, int(place != 0), 1)
            for place, name in enumerate(held)
        )
        now_ms += 200
        open_wants = wants[turn:]
        keeper.hear(_demand(*open_wants, uses=uses), now_ms - 30)
        keeper.observe(_report(held, accepted=accepted))
        out = keeper.decide(now_ms)
        assert out.operation is Operation.UNLOAD, turn
        keeper.settled(out, now_ms, refused=False)
        del held[out.adapter]
        keeper.observe(_report(held, accepted=accepted + 1))
        order = keeper.decide(now_ms)
        keeper.settled(order, now_ms, refused=False)
        held = held | {order.adapter: 1}
        accepted += 2
        keeper.observe(_report(held, accepted=accepted))
    queued = len(wants) - 8
    expected_ms = queued * 200
    keeper.hear(_demand(*wants[8:], uses=uses), now_ms)
    wait_ms = keeper.load_wait(now_ms).wait_ms
    assert 0.7 * expected_ms <= wait_ms <= 1.3 * expected_ms, wait_ms


def _due(adapter: str, first_ms: int, last_ms: int) -> adapter_keeper.Want:
    return adapter_keeper.Want(adapter, 0, 1, first_ms, last_ms)


def test_loads_go_in_the_order_in_which_they_are_due() -> None:
    """Load pattern: two services of one fleet, with unlike objectives."""
    keeper = adapter_keeper.Keeper()
    wants = (_due("base/patient", 900, 900), _due("base/urgent", 300, 300))
    keeper.hear(dataclasses.replace(_demand(), wants=wants), 1_000)
    keeper.observe(_report({}))
    assert keeper.decide(1_010).adapter == "base/urgent"


def test_a_load_that_is_late_for_all_yields_to_one_in_time() -> None:
    """Symptom: in a rush nearly everybody is answered late.

    Sequence: more adapters are asked for than come in time. Cause: first come
    first served gives each place to the one that has waited longest, which is
    late by then.
    """
    keeper = adapter_keeper.Keeper()
    late = _due("base/late", -200, -100)
    mixed = _due("base/mixed", -200, 500)
    fresh = _due("base/fresh", 600, 600)
    demand = dataclasses.replace(_demand(), wants=(late, mixed, fresh))
    keeper.hear(demand, 1_000)
    keeper.observe(_report({}))
    order = keeper.decide(1_010)
    # One of its callers is still in time, and the first one waits longest.
    assert order.adapter == "base/mixed"
    keeper.settled(order, 1_010, refused=False)
    keeper.observe(_report({}, {"base/mixed": 1}, accepted=1))
    order = keeper.decide(1_020)
    assert order.adapter == "base/fresh"
    keeper.settled(order, 1_020, refused=False)
    in_transit = {"base/mixed": 1, "base/fresh": 1}
    keeper.observe(_report({}, in_transit, accepted=2))
    assert keeper.decide(1_030).adapter == "base/late"


def test_late_loads_that_have_no_turn_are_told_as_a_long_wait() -> None:
    """Symptom: callers are held for a second and then refused.

    Sequence: an overload lasts, so loads that are late are passed over again
    and again. Cause: their wait was worked out from the rate of all loads.
    """
    keeper = adapter_keeper.Keeper()
    late = tuple(_due(f"base/l{number}", -10, -10) for number in range(4))
    for turn in range(12):
        now_ms = 1_000 + 100 * turn
        # Each turn goes to a load that is in time.
        wants = (*late, _due(f"base/n{turn}", 600, 600))
        keeper.hear(dataclasses.replace(_demand(), wants=wants), now_ms)
        keeper.observe(_report({}, accepted=turn))
        wait = keeper.load_wait(now_ms)
        order = keeper.decide(now_ms)
        assert order.adapter == f"base/n{turn}"
        keeper.settled(order, now_ms, refused=False)
    assert wait.wait_ms > 1_500, wait
    assert wait.in_time_ms < 500, wait


def test_an_engine_without_its_base_model_is_not_taken_for_slow() -> None:
    """Symptom: after a power cut callers are refused for a second.

    Sequence: engines are empty, and load requests wait for their base model.
    Cause: the time in which no load could go on counted as the time that one
    takes.
    """
    keeper = adapter_keeper.Keeper()
    wants = tuple(_due(f"base/n{number}", 600, 600) for number in range(4))
    demand = dataclasses.replace(_demand(), wants=wants)
    empty = dataclasses.replace(_report({}), residents={})
    for now_ms in (1_000, 1_700, 2_400):
        keeper.hear(demand, now_ms)
        keeper.observe(empty)
        wait_ms = keeper.load_wait(now_ms).in_time_ms
        assert wait_ms <= len(wants) * adapter_keeper.FIRST_GAP_MS, wait_ms


def test_that_an_adapter_is_free_again_is_told() -> None:
    """Symptom: a place stays taken for a second after its last run.

    Sequence: a gateway's only request at an engine ends. Cause: with nothing
    in use it had nothing to tell, and was believed to use the adapter still.
    """
    book = demand_table.DemandTable()
    assert not book.has_news
    book.began("base/a1")
    book.take(1_000)
    book.ended("base/a1")
    assert not book.busy and book.has_news
    assert book.take(1_400) == ((), ())
    assert not book.has_news
