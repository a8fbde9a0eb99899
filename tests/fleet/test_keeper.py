"""Tests the orders for one engine, without I/O."""

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
        wants=tuple(adapter_keeper.LoadRequest(name, 0) for name in wants),
        announced=announced or {},
    )


def _full() -> dict[str, int]:
    return {f"base/a{number}": 1 for number in range(LIMIT)}


def test_an_adapter_in_use_is_never_unloaded() -> None:
    """Guards against rejected requests in a rush.

    All adapter slots are in use when another adapter is requested, and the
    least recently used one was evicted while requests ran on it.
    """
    keeper = adapter_keeper.Keeper()
    uses = tuple(adapter_keeper.Use(name, 1, 1) for name in _full())
    keeper.handle_update(_demand("base/new", uses=uses), 1_000)
    keeper.observe(_report(_full()))
    assert keeper.decide(1_500) is None


def test_the_least_popular_idle_adapter_is_evicted() -> None:
    """The idle adapter with the lowest request rate is unloaded."""
    keeper = adapter_keeper.Keeper()
    uses = tuple(
        adapter_keeper.Use(name, 0, 9 if name != "base/a2" else 1)
        for name in _full()
    )
    keeper.handle_update(_demand(uses=uses), 1_000)
    keeper.handle_update(_demand("base/new"), 1_400)
    keeper.observe(_report(_full()))
    order = keeper.decide(1_500)
    assert order.operation is Operation.UNLOAD and order.adapter == "base/a2"


def test_a_pause_of_the_process_is_not_learned_as_load_time() -> None:
    """Guards against rejecting all loads after the process was paused."""
    keeper = adapter_keeper.Keeper()
    names = [f"base/b{number}" for number in range(3)]
    keeper.handle_update(_demand(*names), 1_000)
    for number, name in enumerate(names[:2]):
        # The first load takes 30 ms; the second is in progress at the pause.
        keeper.observe(_report(dict.fromkeys(names[:number], 1)))
        order = keeper.decide(1_000 + 30 * number)
        assert order.adapter == name
        keeper.settled(order, 1_000 + 30 * number, refused=False)
    fetch_ms_before_pause = keeper.load_wait(1_040).fetch_ms
    keeper.hold(4_000)
    keeper.handle_update(_demand(*names), 4_000)
    keeper.observe(_report(dict.fromkeys(names[:2], 1)))
    keeper.decide(4_000)
    wait = keeper.load_wait(4_001)
    assert wait.fetch_ms == fetch_ms_before_pause == 30
    assert wait.gap_ms < 100


def test_uses_of_a_lost_gateway_expire() -> None:
    """The engine itself still protects runs from an unload."""
    keeper = adapter_keeper.Keeper()
    uses = tuple(adapter_keeper.Use(name, 1, 1) for name in _full())
    keeper.handle_update(_demand(uses=uses), 1_000)
    later_ms = 1_001 + adapter_keeper.USE_TTL_MS
    keeper.handle_update(_demand("base/new", gateway="other"), later_ms)
    keeper.observe(_report(_full()))
    assert keeper.decide(later_ms).operation is Operation.UNLOAD


def test_no_order_without_a_new_report() -> None:
    """The effect of an order is read from a report, not assumed."""
    keeper = adapter_keeper.Keeper()
    keeper.handle_update(_demand("base/a1", "base/a2"), 1_000)
    keeper.observe(_report({}))
    order = keeper.decide(1_000)
    keeper.settled(order, 1_001, refused=False)
    assert keeper.decide(1_002) is None
    keeper.observe(_report({}, {"base/a1": 1}, accepted=1))
    assert keeper.decide(1_003).accepted_count == 1


def test_no_order_right_after_a_process_pause() -> None:
    """State from before the pause is old, and others may have given orders."""
    keeper = adapter_keeper.Keeper()
    keeper.handle_update(_demand("base/a1"), 1_000)
    keeper.hold(1_400)
    keeper.observe(_report({}))
    assert keeper.decide(1_399) is None
    assert keeper.decide(1_400) is not None


def test_a_full_engine_is_polled_at_the_idle_interval() -> None:
    """Guards against a sidecar that uses 5 % of a core at a full engine.

    All slots are in use when another adapter is requested, and the engine was
    polled 66 times a second for a free slot. Polls are not needed: a gateway
    reports the end of the run that frees it.
    """
    keeper = adapter_keeper.Keeper()
    uses = tuple(adapter_keeper.Use(name, 1, 1) for name in _full())
    keeper.handle_update(_demand("base/new", uses=uses), 1_000)
    keeper.observe(_report(_full()))
    assert keeper.decide(1_500) is None
    assert keeper.next_poll_ms(1_500) == adapter_keeper.IDLE_POLL_MS


def test_the_end_of_a_run_wakes_the_sidecar_if_a_load_needs_a_slot() -> None:
    """A report of the end of a run leads to the next order at once."""
    keeper = adapter_keeper.Keeper()
    uses = tuple(adapter_keeper.Use(name, 1, 1) for name in _full())
    assert keeper.handle_update(_demand("base/new", uses=uses), 1_000) is False
    keeper.observe(_report(_full()))
    assert keeper.decide(1_500) is None
    ended = (adapter_keeper.Use("base/a0", 0, 1), *uses[1:])
    assert keeper.handle_update(_demand("base/new", uses=ended), 1_510)
    assert keeper.decide(1_511) is None
    left_ms = adapter_keeper.EVICTION_IDLE_MS - 1
    assert keeper.next_poll_ms(1_511) == left_ms
    order = keeper.decide(1_511 + left_ms)
    assert order.operation is Operation.UNLOAD and order.adapter == "base/a0"


def test_the_end_of_a_run_does_not_wake_the_sidecar_if_no_load_waits() -> None:
    """A poll for every ended run would cost as much as frequent polling."""
    keeper = adapter_keeper.Keeper()
    uses = tuple(adapter_keeper.Use(name, 1, 1) for name in _full())
    keeper.handle_update(_demand(uses=uses), 1_000)
    keeper.observe(_report(_full()))
    assert keeper.decide(1_500) is None
    assert not keeper.handle_update(_demand(uses=uses[1:]), 1_510)


def test_adapters_held_only_between_two_updates_are_reported() -> None:
    """Guards against a tenth more fetches from the weight store.

    Gateways get a status update once a second, while adapters are loaded and
    unloaded within half a second. Updates did not name them, so gateways did
    not load them again where that takes a tenth of the time.
    """
    keeper = adapter_keeper.Keeper()
    keeper.handle_update(_demand(), 1_000)
    keeper.observe(_report({"base/a1": 1, "base/a2": 1}))
    keeper.observe(_report({"base/a2": 1, "base/a3": 1}))
    keeper.observe(_report({"base/a2": 1, "base/a4": 1}))
    assert keeper.recently_held() == ("base/a1", "base/a3")


def test_an_overdue_load_is_polled_at_growing_intervals() -> None:
    """Guards against twice as many polls while the weight store is slow.

    A load takes a second instead of a quarter of one, and the engine was polled
    every 15 ms for the overdue load.
    """
    keeper = adapter_keeper.Keeper()
    keeper.handle_update(_demand("base/a1"), 1_000)
    keeper.observe(_report({}))
    keeper.settled(keeper.decide(1_000), 1_000, refused=False)
    polls = []
    now_ms = 1_000
    while now_ms < 2_000:
        keeper.observe(_report({}, {"base/a1": 0}, accepted=1))
        keeper.handle_update(_demand("base/a1"), now_ms)
        keeper.decide(now_ms)
        now_ms += keeper.next_poll_ms(now_ms)
        polls.append(now_ms)
    assert len(polls) < 25, polls


def test_an_empty_engine_gets_its_base_model_first() -> None:
    """The engine rejects adapters without their base model."""
    keeper = adapter_keeper.Keeper()
    keeper.handle_update(_demand("base/a1"), 1_000)
    empty = adapter_keeper.Report(0, {}, {}, False, 0, 0)
    keeper.observe(empty)
    assert keeper.decide(1_000).adapter == "base"


def test_an_idle_adapter_of_an_old_version_is_unloaded() -> None:
    """Gateways no longer use that version, and its slot is needed."""
    keeper = adapter_keeper.Keeper()
    keeper.handle_update(_demand(announced={"base/a1": 2}), 1_000)
    keeper.observe(_report({"base/a1": 1, "base/a2": 1}))
    order = keeper.decide(1_000)
    assert order.operation is Operation.UNLOAD and order.adapter == "base/a1"


def test_an_ended_incarnation_is_never_accepted_again() -> None:
    """A gateway with stale data continues to name it for seconds."""
    incarnations = incarnation.IncarnationTracker()
    assert incarnations.select("new") and incarnations.select("old")
    incarnations.refused()
    assert not incarnations.select("old") and incarnations.current == ""
    assert incarnations.select("new")


def test_shares_of_the_retry_budget_add_up_to_the_whole() -> None:
    """Guards against retries that multiply the load of a failing service.

    All requests fail at unevenly loaded gateways, and each gateway spent the
    whole retry budget.
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
    """An engine that answers orders at once, late or never."""

    adapters = st.sampled_from([f"base/a{number}" for number in range(8)])

    def __init__(self) -> None:
        """Starts with an empty engine."""
        super().__init__()
        self.keeper = adapter_keeper.Keeper()
        self.now_ms = 1_000
        self.residents: dict[str, int] = {}
        self.in_transit: dict[str, int] = {}
        self.accepted = 0
        self.delayed: list[adapter_keeper.Order] = []
        self.in_use: set[str] = set()
        self.waited_for: list[str] = []

    def _send_demand(self, *, sent: int) -> None:
        """Sends the gateway's uses and load requests to the keeper."""
        uses = tuple(adapter_keeper.Use(name, 1, sent) for name in self.in_use)
        demand = _demand(*self.waited_for, uses=uses)
        self.keeper.handle_update(demand, self.now_ms)

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
        self._send_demand(sent=0)

    @stateful.rule()
    def wait_no_more(self) -> None:
        """The request that waits longest is sent or rejected."""
        if self.waited_for:
            self.waited_for.pop(0)
        self._send_demand(sent=0)

    @stateful.rule(adapter=adapters, uses=st.booleans())
    def use(self, adapter: str, uses: bool) -> None:
        """A request begins or ends."""
        if uses:
            self.in_use.add(adapter)
        else:
            self.in_use.discard(adapter)
        self._send_demand(sent=1)

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
            self.delayed.append(order)
        else:
            self._carry_out(order)
        self.keeper.settled(order, self.now_ms, refused=False)

    @stateful.rule()
    def late_order(self) -> None:
        """The engine carries out an order that it has not answered."""
        if self.delayed:
            self._carry_out(self.delayed.pop(0))

    @stateful.rule()
    def loads_finish(self) -> None:
        """All adapters in transit become resident."""
        self.residents.update(self.in_transit)
        self.in_transit.clear()

    @stateful.rule(step_ms=st.integers(1, 400))
    def wait(self, step_ms: int) -> None:
        """Time passes and the gateway renews its demand."""
        self.now_ms += step_ms
        self._send_demand(sent=0)

    @stateful.invariant()
    def never_overfilled(self) -> None:
        """One adapter too many crashes the engine."""
        assert len(self.residents | self.in_transit) <= LIMIT


def test_no_order_overfills_an_engine_if_answers_are_lost_or_late() -> None:
    """Orders are answered at once, lost, or carried out later."""
    settings = hypothesis.settings(
        max_examples=150,
        stateful_step_count=60,
        derandomize=True,
        deadline=None,
        database=None,
    )
    stateful.run_state_machine_as_test(KeeperMachine, settings=settings)


def test_a_load_that_no_request_waits_for_is_not_ordered() -> None:
    """Guards against loads for callers that no longer wait.

    A waiting request is rejected or sent elsewhere, so the gateway's next
    demand does not name its adapter. Load requests expired only by time, so the
    load took a slot from adapters that were needed.
    """
    keeper = adapter_keeper.Keeper()
    keeper.handle_update(_demand("base/a1"), 1_000)
    keeper.handle_update(_demand(), 1_020)
    keeper.observe(_report({}))
    assert keeper.decide(1_030) is None
    assert not keeper.pending(1_030)


def test_the_adapter_with_the_most_waiting_requests_is_loaded_first() -> None:
    """Slots are scarce, and one load can serve several requests."""
    keeper = adapter_keeper.Keeper()
    demand = _demand("base/a1")
    keeper.handle_update(demand, 1_000)
    wants = (
        adapter_keeper.LoadRequest("base/a1", 0, 1),
        adapter_keeper.LoadRequest("base/a2", 0, 4),
    )
    keeper.handle_update(dataclasses.replace(demand, wants=wants), 1_100)
    keeper.observe(_report({}))
    assert keeper.decide(1_110).adapter == "base/a2"


def test_a_load_request_that_waits_long_is_not_starved() -> None:
    """Its wait is bounded by the number of requests that wait for others."""
    keeper = adapter_keeper.Keeper()
    keeper.handle_update(_demand("base/rare"), 1_000)
    wants = (
        adapter_keeper.LoadRequest("base/rare", 0, 1),
        adapter_keeper.LoadRequest("base/a2", 0, 4),
    )
    keeper.handle_update(dataclasses.replace(_demand(), wants=wants), 1_500)
    keeper.observe(_report({}))
    assert keeper.decide(1_510).adapter == "base/rare"


def test_the_load_wait_is_learned_when_all_slots_are_in_use() -> None:
    """Guards against waits for loads that come too late.

    All slots are in use, a run ends every 200 ms, and eight more adapters are
    requested. The wait was computed from the engine's highest load rate, a load
    every 62 ms, instead of the rate at which slots become free.
    """
    keeper = adapter_keeper.Keeper()
    now_ms, accepted = 1_000, 0
    held = _full()
    wants = tuple(f"base/n{number}" for number in range(16))
    for turn in range(8):
        uses = tuple(
            adapter_keeper.Use(name, int(slot != 0), 1)
            for slot, name in enumerate(held)
        )
        now_ms += 200
        open_requests = wants[turn:]
        keeper.handle_update(_demand(*open_requests, uses=uses), now_ms - 30)
        keeper.observe(_report(held, accepted=accepted))
        unload = keeper.decide(now_ms)
        assert unload.operation is Operation.UNLOAD, turn
        keeper.settled(unload, now_ms, refused=False)
        del held[unload.adapter]
        keeper.observe(_report(held, accepted=accepted + 1))
        order = keeper.decide(now_ms)
        keeper.settled(order, now_ms, refused=False)
        held = held | {order.adapter: 1}
        accepted += 2
        keeper.observe(_report(held, accepted=accepted))
    queued = len(wants) - 8
    expected_ms = queued * 200
    keeper.handle_update(_demand(*wants[8:], uses=uses), now_ms)
    wait_ms = keeper.load_wait(now_ms).wait_ms
    assert 0.7 * expected_ms <= wait_ms <= 1.3 * expected_ms, wait_ms


def _due(
    adapter: str, first_ms: int, last_ms: int
) -> adapter_keeper.LoadRequest:
    return adapter_keeper.LoadRequest(adapter, 0, 1, first_ms, last_ms)


def test_loads_are_ordered_by_due_time() -> None:
    """Two services of one fleet have different latency objectives."""
    keeper = adapter_keeper.Keeper()
    wants = (_due("base/patient", 900, 900), _due("base/urgent", 300, 300))
    keeper.handle_update(dataclasses.replace(_demand(), wants=wants), 1_000)
    keeper.observe(_report({}))
    assert keeper.decide(1_010).adapter == "base/urgent"


def test_a_load_that_is_late_for_all_yields_to_one_in_time() -> None:
    """Guards against late answers to nearly all requests in a rush.

    More adapters are requested than can be loaded in time. First come, first
    served gives each slot to the load that has waited longest and is late by
    then.
    """
    keeper = adapter_keeper.Keeper()
    late = _due("base/late", -200, -100)
    mixed = _due("base/mixed", -200, 500)
    fresh = _due("base/fresh", 600, 600)
    demand = dataclasses.replace(_demand(), wants=(late, mixed, fresh))
    keeper.handle_update(demand, 1_000)
    keeper.observe(_report({}))
    order = keeper.decide(1_010)
    # Its last caller can still be served in time, and its first caller's due
    # time is before that of ``fresh``.
    assert order.adapter == "base/mixed"
    keeper.settled(order, 1_010, refused=False)
    keeper.observe(_report({}, {"base/mixed": 1}, accepted=1))
    order = keeper.decide(1_020)
    assert order.adapter == "base/fresh"
    keeper.settled(order, 1_020, refused=False)
    in_transit = {"base/mixed": 1, "base/fresh": 1}
    keeper.observe(_report({}, in_transit, accepted=2))
    assert keeper.decide(1_030).adapter == "base/late"


def test_late_loads_that_are_always_passed_over_report_a_long_wait() -> None:
    """Guards against rejecting callers only after a wait of a second.

    In a lasting overload late loads are always passed over, and their predicted
    wait was computed from the rate of all loads.
    """
    keeper = adapter_keeper.Keeper()
    late = tuple(_due(f"base/l{number}", -10, -10) for number in range(4))
    for turn in range(12):
        now_ms = 1_000 + 100 * turn
        # Each order is for a load that is in time.
        wants = (*late, _due(f"base/n{turn}", 600, 600))
        keeper.handle_update(
            dataclasses.replace(_demand(), wants=wants), now_ms
        )
        keeper.observe(_report({}, accepted=turn))
        wait = keeper.load_wait(now_ms)
        order = keeper.decide(now_ms)
        assert order.adapter == f"base/n{turn}"
        keeper.settled(order, now_ms, refused=False)
    assert wait.wait_ms > 1_500, wait
    assert wait.in_time_ms < 500, wait


def test_time_without_a_base_model_is_not_learned_as_load_time() -> None:
    """Guards against rejecting callers for a second after a power cut.

    Engines are empty and load requests wait for the base model, and the time in
    which no load was possible counted as load time.
    """
    keeper = adapter_keeper.Keeper()
    wants = tuple(_due(f"base/n{number}", 600, 600) for number in range(4))
    demand = dataclasses.replace(_demand(), wants=wants)
    empty = dataclasses.replace(_report({}), residents={})
    for now_ms in (1_000, 1_700, 2_400):
        keeper.handle_update(demand, now_ms)
        keeper.observe(empty)
        wait_ms = keeper.load_wait(now_ms).in_time_ms
        assert wait_ms <= len(wants) * adapter_keeper.FIRST_GAP_MS, wait_ms


def test_the_end_of_the_last_use_is_reported() -> None:
    """Guards against a slot that stays in use for a second after its last run.

    A gateway's only request at an engine ends. Without uses it sent no demand,
    so the sidecar assumed that it still used the adapter.
    """
    table = demand_table.DemandTable()
    assert not table.has_update
    table.began("base/a1")
    table.take(1_000)
    table.ended("base/a1")
    assert not table.busy and table.has_update
    assert table.take(1_400) == ((), ())
    assert not table.has_update
