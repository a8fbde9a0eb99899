"""Replays arrivals through several policies: ``python -m bench.replay``.

The shipped decisions (placement, waiting, load and unload orders) run in
virtual time against a model of the users' engines. Several gateways receive an
engine's state with a realistic lag. Baselines get the same arrivals. Limits: no
link fails, no answer is lost, and prompt caches and plain services are not
modelled. The results rank policies for queueing, rejection and placement.
"""

from collections.abc import Callable
from collections.abc import Iterable
import concurrent.futures
import dataclasses
import itertools
import math
import random
import statistics
from typing import Any

import click
from radishstack import result
from radishstack.process import adapter_keeper
from radishstack.process import demand_table
from radishstack.process import placement as placement_lib
from radishstack.process import rendezvous
from radishstack.process import roster as roster_lib
from radishstack.request import waiting as waiting_lib

from bench import batching
from bench import model
from bench import report

SERVICE = "assistants"
LINK_MS = 1.0
# Intervals of the daemons, as in ``radishd.gateway`` and ``radishd.sidecar``.
URGENT_UPDATE_DELAY_MS = 15.0
DEMAND_INTERVAL_MS = 400.0
STATUS_INTERVAL_MS = 200.0
ORDER_MS = 2.0
# Time until the platform lists a restarted engine.
DISCOVERY_LAG_MS = 1_000.0
WINDOW_MS = 2_000.0
LATE_WORTH_FRACTION = 0.3
RETRY_PAUSE_DIVISOR = 3
SHED_RETRY_MS = (30, 150)
# Cost of one fetch from the weight store, in units of request worth.
FETCH_COST = 0.32
WARM_UP_MS = 4_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class RequestKind:
    """One kind of request.

    Attributes:
        name: Name of the kind.
        rate_per_s: Requests per second.
        prompt_tokens: Mean number of prompt tokens.
        prompt_sigma: Sigma of their lognormal distribution.
        tokens: Mean number of answer tokens.
        tokens_sigma: Sigma of their lognormal distribution.
        objective_ms: Objective for the time to the first event.
        timeout_ms: How long the caller waits.
        worth: Score of an answer within the objective.
        rank: Priority in the engine, 0 is the highest.
    """

    name: str
    rate_per_s: float
    prompt_tokens: int
    prompt_sigma: float
    tokens: int
    tokens_sigma: float
    objective_ms: int
    timeout_ms: int
    worth: float
    rank: int


CHAT = RequestKind("chat", 106, 646, 0.8, 70, 1.0, 800, 5_000, 2.0, 1)
QUERY = RequestKind("query", 6.3, 646, 0.8, 70, 1.0, 1_000, 12_000, 2.0, 1)
SUMMARY = RequestKind("summary", 2.4, 9_190, 0.6, 52, 1.0, 1_000, 5_000, 5.3, 3)
KINDS = (CHAT, QUERY, SUMMARY)
# A plant has long streams, slow engines and long timeouts.
PLANT_KINDS = (
    RequestKind("inspection", 23.3, 1_460, 0.8, 171, 0.8, 800, 15_000, 1.9, 2),
    RequestKind("defects", 3.2, 1_460, 0.8, 171, 0.8, 1_000, 20_000, 1.9, 2),
    RequestKind("pinout", 13.9, 646, 0.8, 69, 1.0, 600, 8_000, 1.4, 1),
)
PLANT_SPEEDS = batching.Speeds(
    step_ms=10.1,
    step_ms_per_sequence=0.0328,
    prompt_tokens_per_ms=20.4,
    chunk_tokens=1_024,
    event_tokens=3,
    slot_count=21,
    host_cache_count=126,
    base_load_ms=1_100.0,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """A load pattern.

    Attributes:
        name: Name of the load pattern.
        engines: Number of engines.
        adapters: Number of requested adapters.
        skew: Exponent of the power law of their popularity.
        length_ms: How long requests arrive.
        factor: Multiplier of the usual request rate.
        burst: Begin, end and rate multiplier of a burst.
        shift_every_ms: Interval at which ten unpopular adapters become
            popular, 0 for never.
        restart_at_ms: When all engines restart, 0 for never.
        kinds: Kinds of requests.
        speeds: Speeds of each engine.
    """

    name: str
    engines: int
    adapters: int = 3_000
    skew: float = 1.2
    length_ms: float = 24_000.0
    factor: float = 1.0
    burst: tuple[float, float, float] = (0.0, 0.0, 1.0)
    shift_every_ms: float = 0.0
    restart_at_ms: float = 0.0
    kinds: tuple[RequestKind, ...] = KINDS
    speeds: batching.Speeds = batching.Speeds()


LOADS = {
    load.name: load
    for load in (
        Load("ordinary", 6),
        Load("two-away", 4, burst=(12_000.0, 17_000.0, 1.4)),
        Load("three-away", 3),
        Load("shift", 5, shift_every_ms=2_000.0, factor=1.15),
        Load("restart", 4, restart_at_ms=10_000.0),
        # This traffic is sized for six engines.
        Load("plant", 6, kinds=PLANT_KINDS, speeds=PLANT_SPEEDS),
        Load("plant-two-left", 2, kinds=PLANT_KINDS, speeds=PLANT_SPEEDS),
    )
}


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One request of a caller."""

    at_ms: float
    kind: RequestKind
    adapter: str
    prompt_tokens: int
    tokens: int


def _lognormal(source: random.Random, mean: float, sigma: float) -> int:
    drawn = source.lognormvariate(math.log(mean) - sigma**2 / 2, sigma)
    return max(1, round(min(drawn, 5 * mean)))


def draw_arrivals(load: Load, seed: int) -> list[Arrival]:
    """Draws arrivals, which are the same for every policy.

    Args:
        load: The load pattern.
        seed: Seed of the random sources.

    Returns:
        The arrivals in order of arrival time.
    """
    arrivals = []
    for kind in load.kinds:
        source = random.Random(f"{seed}/{load.name}/{kind.name}")
        ranks = list(range(load.adapters))
        random.Random(seed).shuffle(ranks)
        shifts = random.Random(f"{seed}/shift")
        weights = itertools.accumulate(
            1 / rank**load.skew for rank in range(1, load.adapters + 1)
        )
        cumulative = list(weights)
        at_ms, shift_ms = 0.0, load.shift_every_ms
        begin_ms, end_ms, factor = load.burst
        while True:
            rate = kind.rate_per_s * load.factor
            if begin_ms <= at_ms < end_ms:
                rate *= factor
            at_ms += source.expovariate(rate) * model.MS_PER_S
            if at_ms >= load.length_ms:
                break
            while shift_ms and at_ms >= shift_ms:
                shift_ms += load.shift_every_ms
                for rank in range(3, 13):
                    other = shifts.randrange(200, load.adapters)
                    ranks[rank], ranks[other] = ranks[other], ranks[rank]
            (picked,) = source.choices(ranks, cum_weights=cumulative)
            arrivals.append(
                Arrival(
                    at_ms,
                    kind,
                    f"{batching.BASE}/a{picked}",
                    _lognormal(source, kind.prompt_tokens, kind.prompt_sigma),
                    _lognormal(source, kind.tokens, kind.tokens_sigma),
                )
            )
    return sorted(arrivals, key=lambda one: one.at_ms)


@dataclasses.dataclass(slots=True)
class Caller:
    """A caller's request over all its attempts.

    Attributes:
        arrival: The request.
        deadline_ms: When the caller disconnects.
        retries: Remaining attempts after a rejection.
        first_ms: When it received its first event, 0 if it has not.
        ended: Whether its answer is complete.
        rejections: Number of its rejected attempts.
        failed: Whether an answer was lost or incomplete at the deadline.
    """

    arrival: Arrival
    deadline_ms: float
    retries: int = 1
    first_ms: float = 0.0
    ended: bool = False
    rejections: int = 0
    failed: bool = False

    def worth(self) -> float:
        """Returns the achieved fraction of the request's worth."""
        if not self.ended:
            return 0.0
        took_ms = self.first_ms - self.arrival.at_ms
        return (
            1.0
            if took_ms <= self.arrival.kind.objective_ms
            else LATE_WORTH_FRACTION
        )


class Sidecar:
    """A sidecar: the shipped adapter keeper, driven in virtual time."""

    def __init__(self, fleet: "Fleet", engine: batching.Engine) -> None:
        """Starts to manage the adapters of an engine."""
        self.fleet = fleet
        self.engine = engine
        self.keeper = fleet.policy.make_keeper()
        self.keeper.adapter_limit = engine.speeds.slot_count
        self.keeper.base_models = (batching.BASE,)
        self._instance = engine.instance
        self._last_sent: Any = None
        self._last_sent_at_ms = -STATUS_INTERVAL_MS
        self._reconcile_count = 0
        fleet.clock.after(0, self._reconcile)

    def handle_update(self, demand: adapter_keeper.Demand) -> None:
        """Applies the demand of a gateway."""
        if self.keeper.handle_update(demand, self.fleet.now_ms):
            self._reconcile()

    def _reconcile(self) -> None:
        self._reconcile_count += 1
        number = self._reconcile_count
        report_ = self.engine.report()
        if report_ is None or self._instance != self.engine.instance:
            self._instance = self.engine.instance
            self.keeper.restarted()
        took_ms = 0.0
        while report_ is not None:
            self.keeper.observe(report_)
            order = self.keeper.decide(self.fleet.now_ms)
            if order is None:
                break
            took_ms += ORDER_MS
            self.engine.order(order)
            self.keeper.settled(order, self.fleet.now_ms, refused=False)
            if adapter_keeper.is_base(order.adapter):
                break
            report_ = self.engine.report()
        self._send_update()
        poll_ms = self.keeper.next_poll_ms(self.fleet.now_ms)

        def again() -> None:
            if number == self._reconcile_count:
                self._reconcile()

        self.fleet.clock.after(poll_ms + took_ms, again)

    def _send_update(self) -> None:
        report_ = self.engine.report()
        if report_ is None:
            return
        now_ms = self.fleet.now_ms
        pending = self.keeper.pending(now_ms)
        current = (self._instance, dict(report_.residents))
        interval_elapsed = now_ms - self._last_sent_at_ms >= STATUS_INTERVAL_MS
        if current == self._last_sent and not interval_elapsed:
            return
        self._last_sent, self._last_sent_at_ms = current, now_ms
        load_wait = self.keeper.load_wait(now_ms)
        for gateway in self.fleet.gateways:
            self.fleet.clock.after(
                LINK_MS,
                lambda gateway=gateway: gateway.handle_update(
                    self._instance, report_, pending, load_wait
                ),
            )


@dataclasses.dataclass(slots=True)
class _WaitingRequest:
    caller: Caller
    waiting: waiting_lib.AdapterWait
    due_at_ms: int
    decision_number: int = 0
    home: roster_lib.Member | None = None


class Gateway:
    """One gateway: the shipped decisions, driven in virtual time."""

    def __init__(self, fleet: "Fleet", name: str) -> None:
        """Starts with all engines listed."""
        self.fleet = fleet
        self.name = name
        self.random = random.Random(f"{fleet.seed}/{name}")
        self.roster = roster_lib.Roster(2_500)
        self.placement = fleet.policy.make_placement(self)
        self.demand_tables: dict[str, demand_table.DemandTable] = {}
        self.waiters: dict[int, _WaitingRequest] = {}
        self._urgent_members: dict[str, roster_lib.Member] = {}
        for engine in fleet.engines:
            self.add_engine(engine)
        initial_delay_ms = self.random.uniform(0, DEMAND_INTERVAL_MS)
        fleet.clock.after(initial_delay_ms, self._send_all_updates)

    def add_engine(self, engine: batching.Engine) -> None:
        """Adds an engine that the platform lists."""
        address = f"{engine.name}:80"
        self.roster.upsert(
            roster_lib.Listing(
                engine.instance,
                SERVICE,
                address,
                "",
                False,
                engine.speeds.max_batch,
                listed_at=engine.incarnation,
            )
        )

    def _demand_table(
        self, member: roster_lib.Member
    ) -> demand_table.DemandTable:
        return self.demand_tables.setdefault(
            member.listing.address, demand_table.DemandTable()
        )

    def _send_all_updates(self) -> None:
        for member in self.roster.members.values():
            self._send_update(member)
        self.fleet.clock.after(DEMAND_INTERVAL_MS, self._send_all_updates)

    def _send_update(self, member: roster_lib.Member) -> None:
        if member.gone:
            return
        uses, load_requests = self._demand_table(member).take(self.fleet.now_ms)
        instance = member.listing.instance
        demand = adapter_keeper.Demand(
            self.name, instance, 0, (), uses, load_requests, {}
        )
        sidecar = self.fleet.sidecar_of(instance)
        if sidecar is not None:
            self.fleet.clock.after(
                LINK_MS, lambda: sidecar.handle_update(demand)
            )

    def _schedule_update(self, member: roster_lib.Member) -> None:
        if not self._urgent_members:
            self.fleet.clock.after(URGENT_UPDATE_DELAY_MS, self._send_urgent)
        self._urgent_members[member.listing.instance] = member

    def _send_urgent(self) -> None:
        members, self._urgent_members = self._urgent_members, {}
        for member in members.values():
            self._send_update(member)

    def handle_update(
        self,
        instance: str,
        report_: adapter_keeper.Report,
        pending: frozenset[str],
        load_wait: adapter_keeper.LoadWait,
    ) -> None:
        """Applies a status update of a sidecar."""
        member = self.roster.members.get(instance)
        if member is None:
            return
        address = member.listing.address
        before = self.placement.views.get(address)
        view = placement_lib.View(
            instance=instance,
            received_at_ms=self.fleet.now_ms,
            running=report_.running,
            queued=report_.queued,
            residents=dict(report_.residents),
            pending=pending,
            own_in_flight=member.health.in_flight,
            load_wait=load_wait,
        )
        self.placement.handle_update(address, view)
        if before is None or before.residents != view.residents:
            for number in list(self.waiters):
                self._decide(number)

    def submit(self, caller: Caller) -> None:
        """Starts one attempt of a caller."""
        now_ms = self.fleet.now_ms
        number = next(self.fleet.numbers)
        # The gateway keeps no state of earlier attempts.
        answer_ms = self.roster.median_latency_ms(SERVICE)
        due_at_ms = round(now_ms + caller.arrival.kind.objective_ms - answer_ms)
        waiting = waiting_lib.AdapterWait(
            caller.arrival.adapter,
            began_ms=now_ms,
            left_ms=round(caller.deadline_ms) - now_ms,
            due_at_ms=due_at_ms,
            begun=False,
            random_source=self.random,
        )
        self.waiters[number] = _WaitingRequest(caller, waiting, due_at_ms)
        self._decide(number)

    def _decide(self, number: int) -> None:
        waiter = self.waiters.get(number)
        if waiter is None:
            return
        now_ms = self.fleet.now_ms
        caller = waiter.caller
        adapter = caller.arrival.adapter
        if now_ms >= caller.deadline_ms:
            self._withdraw_load_request(waiter, adapter)
            del self.waiters[number]
            return
        usable = self.roster.usable(SERVICE, now_ms)
        choice = self.placement.choose(
            adapter, usable, now_ms, waiter.waiting.patience(round(now_ms))
        )
        self._update_load_request(waiter, choice, adapter)
        step = waiter.waiting.decide(
            choice, any_usable=bool(usable), now_ms=now_ms
        )
        waiter.decision_number += 1
        decision_number = waiter.decision_number
        if isinstance(step, waiting_lib.Wait):

            def again() -> None:
                if waiter.decision_number == decision_number:
                    self._decide(number)

            self.fleet.clock.after(step.pause_ms, again)
            return
        self._withdraw_load_request(waiter, adapter)
        del self.waiters[number]
        if isinstance(step, waiting_lib.Send):
            self._send(caller, step.member)
            return
        retry_after_ms = self.random.uniform(*SHED_RETRY_MS)
        if isinstance(step, result.Failure) and step.retry_after_ms:
            retry_after_ms = step.retry_after_ms
        self.fleet.handle_rejection(caller, retry_after_ms)

    def _update_load_request(
        self,
        waiter: _WaitingRequest,
        choice: placement_lib.Choice,
        adapter: str,
    ) -> None:
        member = choice.load
        if choice.send is not None:
            if member is not None:
                self.placement.record_load_request(member, adapter)
                if self._demand_table(member).request_copy(
                    adapter, 0, self.fleet.now_ms
                ):
                    self._schedule_update(member)
            return
        if member is waiter.home:
            return
        self._withdraw_load_request(waiter, adapter)
        waiter.home = member
        if member is not None:
            self.placement.record_load_request(member, adapter)
            if self._demand_table(member).wait(adapter, 0, waiter.due_at_ms):
                self._send_update(member)
            else:
                self._schedule_update(member)

    def _withdraw_load_request(
        self, waiter: _WaitingRequest, adapter: str
    ) -> None:
        home, waiter.home = waiter.home, None
        if home is None:
            return
        if self._demand_table(home).stop_waiting(adapter, waiter.due_at_ms):
            self._schedule_update(home)

    def _send(self, caller: Caller, member: roster_lib.Member) -> None:
        clock = self.fleet.clock
        adapter = caller.arrival.adapter
        sent_at_ms = self.fleet.now_ms
        member.health.in_flight += 1
        self._demand_table(member).began(adapter)

        def settle() -> None:
            member.health.in_flight -= 1
            idle = self._demand_table(member).ended(adapter)
            view = self.placement.view_of(member)
            if idle and view is not None and view.pending:
                self._schedule_update(member)

        def first() -> None:
            if not caller.first_ms:
                caller.first_ms = clock.now_ms + 2 * LINK_MS
            took_ms = clock.now_ms - sent_at_ms
            self.roster.answered(member.listing.instance, took_ms)

        def end() -> None:
            caller.ended = clock.now_ms <= caller.deadline_ms
            caller.failed = not caller.ended
            settle()

        def lost() -> None:
            caller.failed = True
            settle()
            now_ms = self.fleet.now_ms
            self.roster.failed(member.listing.instance, now_ms)

        sequence = batching.Sequence(
            adapter,
            caller.arrival.kind.rank,
            caller.arrival.prompt_tokens,
            caller.arrival.tokens,
            first,
            end,
            lost,
        )

        def arrive() -> None:
            engine = self.fleet.engine_at(member.listing.instance)
            if engine is not None and engine.submit(sequence):
                clock.after(caller.deadline_ms - clock.now_ms, disconnect)
                return
            settle()
            now_ms = self.fleet.now_ms
            if engine is None or not engine.up:
                self.roster.unreachable(member.listing.instance, now_ms)
            else:
                self.placement.mark_absent(member, adapter)
            self.submit(caller)

        def disconnect() -> None:
            if caller.ended or caller.failed or sequence.cancelled:
                return
            sequence.cancelled = True
            caller.failed = True
            settle()

        clock.after(LINK_MS, arrive)


class Fleet:
    """Engines, gateways and callers of one simulation."""

    def __init__(self, load: Load, policy: "Policy", seed: int) -> None:
        """Starts at time zero."""
        self.load = load
        self.policy = policy
        self.seed = seed
        self.clock = model.Clock()
        self.numbers = itertools.count()
        self.random = random.Random(f"{seed}/callers")
        self.callers: list[Caller] = []
        self.engines = [
            policy.make_engine(self.clock, f"e{number}", load.speeds)
            for number in range(load.engines)
        ]
        self.gateways: list[Gateway] = []
        self.gateways = [Gateway(self, f"g{number}") for number in range(6)]
        self.sidecars = [Sidecar(self, engine) for engine in self.engines]

    @property
    def now_ms(self) -> int:
        """The current time in whole milliseconds, as in the daemons."""
        return int(self.clock.now_ms)

    def engine_at(self, instance: str) -> batching.Engine | None:
        """Returns the engine whose current incarnation has the name."""
        for engine in self.engines:
            if engine.instance == instance:
                return engine
        return None

    def sidecar_of(self, instance: str) -> Sidecar | None:
        """Returns the sidecar of that engine."""
        for sidecar in self.sidecars:
            if sidecar.engine.instance == instance:
                return sidecar
        return None

    def handle_rejection(self, caller: Caller, retry_after_ms: float) -> None:
        """Schedules a retry by the caller, if it has any left."""
        caller.rejections += 1
        left_ms = caller.deadline_ms - self.clock.now_ms
        if not caller.retries or left_ms <= 0:
            return
        caller.retries -= 1
        pause_ms = min(retry_after_ms, left_ms / RETRY_PAUSE_DIVISOR)
        gateway = self.random.choice(self.gateways)
        self.clock.after(pause_ms, lambda: gateway.submit(caller))

    def simulate(self, arrivals: Iterable[Arrival]) -> None:
        """Simulates all arrivals and six seconds after the load ends."""
        for arrival in arrivals:
            caller = Caller(arrival, arrival.at_ms + arrival.kind.timeout_ms)
            self.callers.append(caller)
            gateway = self.random.choice(self.gateways)
            self.clock.after(
                arrival.at_ms,
                lambda gateway=gateway, caller=caller: gateway.submit(caller),
            )
        if self.load.restart_at_ms:
            self.clock.after(self.load.restart_at_ms, self._restart_all)
        self.clock.run(self.load.length_ms + 6_000.0)

    def _restart_all(self) -> None:
        for engine in self.engines:
            engine.restart(model.MS_PER_S)

            def listed(engine: batching.Engine = engine) -> None:
                for gateway in self.gateways:
                    gateway.add_engine(engine)

            self.clock.after(model.MS_PER_S + DISCOVERY_LAG_MS, listed)


@dataclasses.dataclass(frozen=True, slots=True)
class Score:
    """Scores of one simulation.

    Attributes:
        worth: Total score with the users' weights: ``whole``, ``windows`` and
            ``kind``, minus the cost of fetches.
        whole: Achieved fraction of the possible worth.
        windows: The same fraction, mean of the two worst windows.
        kind: The same fraction for the worst request kind.
        served: Fraction of requests with a complete answer.
        refused: Fraction of requests that were rejected after all attempts.
        failed: Fraction whose answer was lost or incomplete at the deadline.
        fetches: Adapters fetched from the weight store, per request.
    """

    worth: float
    whole: float
    windows: float
    kind: float
    served: float
    refused: float
    failed: float
    fetches: float


def _achieved_fraction(callers: Iterable[Caller]) -> float:
    got = due = 0.0
    for caller in callers:
        due += caller.arrival.kind.worth
        got += caller.worth() * caller.arrival.kind.worth
    return got / due if due else 1.0


def score(fleet: Fleet) -> Score:
    """Scores a simulation without its warm-up."""
    callers = [one for one in fleet.callers if one.arrival.at_ms >= WARM_UP_MS]
    windows: dict[int, list[Caller]] = {}
    kinds: dict[str, list[Caller]] = {}
    for caller in callers:
        arrival = caller.arrival
        windows.setdefault(int(arrival.at_ms // WINDOW_MS), []).append(caller)
        kinds.setdefault(arrival.kind.name, []).append(caller)
    whole = _achieved_fraction(callers)
    worst = statistics.mean(
        sorted(map(_achieved_fraction, windows.values()))[:2]
    )
    kind = min(map(_achieved_fraction, kinds.values()))
    fetches = sum(engine.fetches for engine in fleet.engines)
    due = sum(one.arrival.kind.worth for one in fleet.callers)
    worth = 0.55 * whole + 0.25 * worst + 0.2 * kind
    worth -= FETCH_COST * fetches / due
    served = sum(one.ended for one in callers) / len(callers)
    failed = sum(one.failed for one in callers) / len(callers)
    return Score(
        worth,
        whole,
        worst,
        kind,
        served,
        1 - served - failed,
        failed,
        fetches / len(fleet.callers),
    )


class _LeastLoaded(placement_lib.Placement):
    """Sends to the least loaded engine, which loads a missing adapter."""

    def choose(
        self,
        adapter: str,
        candidates: list[roster_lib.Member],
        now_ms: int,
    ) -> placement_lib.Choice:
        with_status = [
            one for one in candidates if self.view_of(one) is not None
        ]
        if not with_status:
            return placement_lib.Choice(None, None)
        member = self._pick(adapter, with_status, now_ms)
        if adapter in self.view_of(member).residents:
            return placement_lib.Choice(member, None)
        return placement_lib.Choice(None, member)

    def _pick(
        self, adapter: str, with_status: list[roster_lib.Member], now_ms: int
    ) -> roster_lib.Member:
        del adapter
        return min(with_status, key=lambda one: self._queueing_ms(one, now_ms))


class _Hashing(_LeastLoaded):
    """Sends each adapter to one engine by rendezvous hashing."""

    def _pick(
        self, adapter: str, with_status: list[roster_lib.Member], now_ms: int
    ) -> roster_lib.Member:
        del now_ms
        by_name = {one.listing.address: one for one in with_status}
        return by_name[rendezvous.first(adapter, by_name)]


class _Oracle(placement_lib.Placement):
    """Sends to the engine with the fewest requests by its current state.

    Every engine holds all adapters.
    """

    def __init__(self, gateway: Gateway) -> None:
        super().__init__(gateway.random, "")
        self._fleet = gateway.fleet

    def choose(
        self,
        adapter: str,
        candidates: list[roster_lib.Member],
        now_ms: int,
    ) -> placement_lib.Choice:
        del adapter, now_ms
        loads = {}
        for member in candidates:
            engine = self._fleet.engine_at(member.listing.instance)
            status = engine.report() if engine is not None else None
            if status is not None and status.residents:
                loads[member.listing.instance] = (
                    status.running
                    + status.queued
                    + member.health.in_flight * 0.01
                )
        if not loads:
            return placement_lib.Choice(None, None)
        best = min(candidates, key=lambda one: loads[one.listing.instance])
        return placement_lib.Choice(best, None)


class _AllAdapters(set[str]):
    """Resident adapters of an engine that holds every adapter."""

    def __contains__(self, adapter: object) -> bool:
        return bool(len(self)) or adapter == batching.BASE


class _ConstantPopularity:
    """Constant popularity, so that eviction falls back to the last use."""

    def touch(self, adapter: str, now_ms: int) -> None:
        """Ignores the use."""

    def value(self, adapter: str, now_ms: int) -> float:
        """Returns the same value for every adapter."""
        del adapter, now_ms
        return 0.0


def _lru_keeper() -> adapter_keeper.Keeper:
    keeper = adapter_keeper.Keeper()
    keeper.popularity = _ConstantPopularity()
    return keeper


def _make_full_engine(
    clock: model.Clock, name: str, speeds: batching.Speeds
) -> batching.Engine:
    engine = batching.Engine(clock, speeds, name)
    engine.residents = _AllAdapters(engine.residents)
    return engine


def _make_engine(
    clock: model.Clock, name: str, speeds: batching.Speeds
) -> batching.Engine:
    return batching.Engine(clock, speeds, name)


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """Placement, adapter keeper and engine model of a fleet."""

    name: str
    make_placement: Callable[[Gateway], placement_lib.Placement]
    make_keeper: Callable[[], adapter_keeper.Keeper] = adapter_keeper.Keeper
    make_engine: Callable[
        [model.Clock, str, batching.Speeds], batching.Engine
    ] = _make_engine


POLICIES = {
    policy.name: policy
    for policy in (
        Policy(
            "radishstack",
            lambda gateway: placement_lib.Placement(gateway.random, ""),
        ),
        Policy(
            "least-loaded-lru",
            lambda gateway: _LeastLoaded(gateway.random, ""),
            _lru_keeper,
        ),
        Policy(
            "hashing-lru",
            lambda gateway: _Hashing(gateway.random, ""),
            _lru_keeper,
        ),
        Policy("oracle", _Oracle, make_engine=_make_full_engine),
    )
}


def simulate(load_name: str, policy_name: str, seed: int) -> Score:
    """Simulates one load under one policy."""
    load = LOADS[load_name]
    fleet = Fleet(load, POLICIES[policy_name], seed)
    fleet.simulate(draw_arrivals(load, seed))
    return score(fleet)


def interval(values: list[float]) -> tuple[float, float]:
    """Returns the mean and the half-width of its 95 % confidence interval."""
    mean = statistics.mean(values)
    if len(values) < 2:
        return mean, 0.0
    return mean, 1.96 * statistics.stdev(values) / math.sqrt(len(values))


@click.command()
@click.option("--load", "loads", multiple=True, default=tuple(LOADS))
@click.option("--policy", "policies", multiple=True, default=tuple(POLICIES))
@click.option("--seeds", default=5, show_default=True)
@click.option("--jobs", default=4, show_default=True)
def main(
    loads: tuple[str, ...], policies: tuple[str, ...], seeds: int, jobs: int
) -> None:
    """Compares policies on the same arrivals."""
    rows = []
    results: dict[str, Any] = {}
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        runs = {
            (load, policy): [
                pool.submit(simulate, load, policy, seed)
                for seed in range(seeds)
            ]
            for load in loads
            for policy in policies
        }
    for load in loads:
        for policy in policies:
            scores = [one.result() for one in runs[load, policy]]
            row: list[object] = [load, policy]
            cells = {}
            for field in dataclasses.fields(Score):
                values = [getattr(one, field.name) for one in scores]
                mean, half_width = interval(values)
                cells[field.name] = {"mean": mean, "half": half_width}
                row.append(f"{mean:.3f} ±{half_width:.3f}")
            results.setdefault(load, {})[policy] = cells
            rows.append(row)
    headings = ["load", "policy"]
    headings += [field.name for field in dataclasses.fields(Score)]
    click.echo(report.table(headings, rows))
    report.save("replay", results)


if __name__ == "__main__":
    main()
