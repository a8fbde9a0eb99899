"""Runs the shipped entry and target state machines in virtual time."""

from collections.abc import Callable
import itertools
import random

from radishstack import attempt as attempt_lib
from radishstack import result
from radishstack import target as target_lib
from radishstack import target_event as event_lib
from radishstack.process import load_budget
from radishstack.process import residency as residency_lib
from radishstack.process import retry_budget
from radishstack.process import routing
from radishstack.request import exchange as exchange_lib
from radishstack.request import resolve
from radishstack.version import holder as holder_lib

from bench import model

HOP_MS = 0.5
TICK_MS = 50.0
PROCESS = b"12345678"

Done = Callable[[], None]


class ShippedTarget:
    """A target state machine with a modelled engine."""

    def __init__(
        self,
        name: str,
        site: "Shipped",
        engine: model.Engine,
        settings: target_lib.TargetSettings,
    ) -> None:
        """Starts without resident adapters."""
        self.name = name
        self.site = site
        self.engine = engine
        self.machine = target_lib.Target(
            settings,
            now_ms=0,
            random_source=site.source,
            budget=site.budget_settings,
        )
        self.incarnation = 1
        self.leaving = False
        self.waiting: dict[bytes, tuple[float, bool]] = {}
        self.observe_engine()

    @property
    def now_ms(self) -> int:
        """The virtual time in whole milliseconds."""
        return int(self.site.clock.now_ms)

    def observe_engine(self) -> None:
        """Reports the state of the engine to the state machine."""
        resident = frozenset(
            name
            for name, slot in self.machine.residency.slots.items()
            if slot.adapter_state is residency_lib.AdapterState.RESIDENT
        )
        if self.machine.residency.incarnation != str(self.incarnation):
            resident = frozenset()
        self.feed(
            event_lib.EngineObserved(
                str(self.incarnation), resident, self.now_ms
            )
        )

    def restart_engine(self) -> None:
        """Restarts the engine without adapters and aborts its requests."""
        self.incarnation += 1
        self.engine.drop_sequences()
        for attempt_id in list(self.machine.running):
            self.site.handle_end(attempt_id, aborted=True)
            self.feed(event_lib.RunEnded(attempt_id))
        self.observe_engine()

    def feed(self, event: event_lib.Event) -> None:
        """Passes an event to the state machine and performs its actions."""
        for action in self.machine.handle(event, self.now_ms):
            self.perform(action)

    def submit(self, attempt: attempt_lib.Attempt) -> None:
        """Submits an attempt to the state machine."""
        adapter_state = self.machine.residency.adapter_state(
            attempt.adapter, self.now_ms
        )
        stalls = adapter_state is not residency_lib.AdapterState.RESIDENT
        self.waiting[attempt.attempt_id] = (self.site.clock.now_ms, stalls)
        self.feed(event_lib.Submitted(attempt))

    def perform(self, action: event_lib.Action) -> None:
        """Performs one action of the state machine."""
        match action:
            case event_lib.Dispatch(attempt=attempt):
                since_ms, stalls = self.waiting.pop(attempt.attempt_id)
                if stalls:
                    self.site.on_stall(
                        attempt.service, self.site.clock.now_ms - since_ms
                    )
                self.run(attempt)
            case event_lib.Reject(attempt_id=attempt_id, failure=failure):
                waited = self.waiting.pop(attempt_id, None)
                if waited is not None and waited[1]:
                    self.site.on_rejected_stall(
                        attempt_id, self.site.clock.now_ms - waited[0]
                    )
                load = self.machine.report("", PROCESS, self.now_ms)
                self.site.handle_rejection(self.name, attempt_id, failure, load)
            case event_lib.StartLoad():
                self.start_load(action)
            case event_lib.StartUnload():
                unloaded = event_lib.Unloaded(
                    action.adapter, action.incarnation, action.order
                )
                self.site.clock.after(2.0, lambda: self.feed(unloaded))

    def start_load(self, action: event_lib.StartLoad) -> None:
        """Fetches the weights of an adapter and loads it."""
        loaded = event_lib.Loaded(
            action.adapter, action.incarnation, action.order
        )
        install_ms = self.engine.model.install_ms
        self.site.weights.fetch(
            lambda: self.site.clock.after(install_ms, lambda: self.feed(loaded))
        )

    def run(self, attempt: attempt_lib.Attempt) -> None:
        """Runs a dispatched attempt."""
        attempt_id, incarnation = attempt.attempt_id, self.incarnation
        self.site.handle_response_start(self.name, attempt)

        def done() -> None:
            if incarnation == self.incarnation:
                self.site.handle_end(attempt_id, aborted=False)
                self.feed(event_lib.RunEnded(attempt_id))

        self.engine.run(int(attempt.path), done)


class Request:
    """One request at an entry."""

    def __init__(
        self, arrival: model.Arrival, first: Done, done: Callable[[bool], None]
    ) -> None:
        """Stores the arrival and the callbacks."""
        self.arrival = arrival
        self.first = first
        self.done = done
        self.exchange: exchange_lib.Exchange | None = None
        self.entry = 0


class Shipped:
    """Entries and targets of one site that use the shipped decisions."""

    def __init__(
        self,
        clock: model.Clock,
        weights: model.WeightStore,
        held: holder_lib.HeldVersion,
        engines: dict[str, model.Engine],
        *,
        entries: int,
        omniscient: bool,
        budget: load_budget.BudgetSettings,
        on_stall: Callable[[str, float], None],
        seed: int,
        routing_settings: routing.RoutingSettings | None = None,
    ) -> None:
        """Starts without adapters; all targets have the version activated.

        Args:
            clock: Virtual time.
            weights: The weight store.
            held: Configuration and its version.
            engines: Modelled engines by target name.
            entries: Number of entry daemons; arrivals go to them round-robin.
            omniscient: Whether entries read every target's state directly,
                without probes or delay.
            budget: Load budget of each target.
            on_stall: Called for every load stall.
            seed: Seed of the random source.
            routing_settings: Weights of the candidate ranking.
        """
        self.clock = clock
        self.weights = weights
        self.held = held
        self.omniscient = omniscient
        self.on_stall = on_stall
        self.budget_settings = budget
        self.source = random.Random(seed)
        self.routers = [
            routing.Router(routing_settings) for _ in range(entries)
        ]
        self.budgets = [retry_budget.RetryBudget() for _ in range(entries)]
        self.entry_cycle = itertools.cycle(range(entries))
        self.requests: dict[bytes, Request] = {}
        self.attempt_count = 0
        self.probes = 0
        self.rejections: dict[str, int] = {}
        self.targets = {
            name: ShippedTarget(
                name,
                self,
                engine,
                target_lib.TargetSettings(
                    name=name,
                    kind=held.document.targets[name].kind,
                    slot_count=engine.model.slot_count,
                    max_running=engine.model.max_batch,
                    quarantine_ms=0,
                ),
            )
            for name, engine in engines.items()
        }
        for target in self.targets.values():
            target.feed(event_lib.VersionActivated(held))
        self.clock.after(TICK_MS, self._tick)

    def _tick(self) -> None:
        for target in self.targets.values():
            if not target.machine.idle:
                target.feed(event_lib.Ticked())
        self.clock.after(TICK_MS, self._tick)

    def on_rejected_stall(self, attempt_id: bytes, waited_ms: float) -> None:
        """Records a load stall of a request that was then rejected."""
        request = self.requests.get(attempt_id)
        if request is not None:
            self.on_stall(request.arrival.service, waited_ms)

    def submit_request(
        self,
        arrival: model.Arrival,
        first: Done,
        done: Callable[[bool], None],
    ) -> None:
        """Submits a caller's request to the next entry."""
        request = Request(arrival, first, done)
        request.entry = next(self.entry_cycle)
        fields = resolve.RoutingFields("", arrival.adapter, "", "", "", {})
        resolution = resolve.resolve(fields, self.held)
        if isinstance(resolution, result.Failure):
            raise ValueError(resolution)
        router = self.routers[request.entry]
        now_ms = int(self.clock.now_ms)
        candidates = list(resolution.candidates)
        if self.omniscient:
            candidates = list(resolution.service.targets)
        adapter = resolution.adapter
        shortlist = router.shortlist(candidates, adapter, now_ms)
        probed = router.to_probe(shortlist, adapter, now_ms)
        if self.omniscient:
            best = min(candidates, key=lambda n: self._true_cost(n, adapter))
            self._start_exchange(request, router, resolution, [best])
            return
        for name in probed:
            self.probes += 1
            self.clock.after(
                HOP_MS, lambda name=name: self._observe(router, name, adapter)
            )
        delay_ms = 2 * HOP_MS if probed else 0.0
        self.clock.after(
            delay_ms,
            lambda: self._start_exchange(
                request, router, resolution, candidates
            ),
        )

    def _true_cost(self, name: str, adapter: str) -> tuple[float, ...]:
        """Returns the cost of a target, computed from its current state."""
        machine, now_ms = self.targets[name].machine, int(self.clock.now_ms)
        adapter_state = machine.residency.adapter_state(adapter, now_ms)
        wait_ms = machine.forecast.wait_ms(
            queued=len(machine.queue), running=len(machine.running)
        )
        if adapter_state is residency_lib.AdapterState.RESIDENT:
            return (wait_ms, 0.0, 0.0)
        if adapter_state is residency_lib.AdapterState.LOADING:
            return (wait_ms + 200.0, 0.0, 0.0)
        value, victim = machine.cheapest_victim(now_ms)
        free = machine.residency.free_slots() > 0
        no_slot_ms = 0.0 if victim or free else 2_000.0
        waiting = len(machine.queue.adapters())
        return (wait_ms + 400.0 + no_slot_ms, value, float(waiting))

    def _observe(self, router: routing.Router, name: str, adapter: str) -> None:
        now_ms = int(self.clock.now_ms)
        report = self.targets[name].machine.report(adapter, PROCESS, now_ms)
        router.observe(name, adapter, report, now_ms)

    def _start_exchange(
        self,
        request: Request,
        router: routing.Router,
        resolution: resolve.Resolution,
        candidates: list[str],
    ) -> None:
        now_ms = int(self.clock.now_ms)
        shortlist = router.shortlist(candidates, resolution.adapter, now_ms)
        ranked = router.rank(
            shortlist,
            resolution.adapter,
            resolution.service.stall_weight,
            now_ms,
        )
        request.exchange = exchange_lib.Exchange(
            resolution,
            ranked,
            self.budgets[request.entry],
            deadline_at_ms=int(request.arrival.at_ms) + resolution.timeout_ms,
        )
        self._perform_actions(request, request.exchange.start())

    def _perform_actions(
        self, request: Request, actions: exchange_lib.Actions
    ) -> None:
        for action in actions:
            match action:
                case exchange_lib.Send(target=name):
                    self._send(request, name)
                case exchange_lib.ReplyFailure():
                    request.done(False)
                case exchange_lib.Finish():
                    request.done(True)

    def _send(self, request: Request, name: str) -> None:
        self.attempt_count += 1
        resolution = request.exchange.resolution
        now_ms = int(self.clock.now_ms)
        self.routers[request.entry].sent(name, resolution.adapter, now_ms)
        attempt = attempt_lib.Attempt(
            attempt_id=self.source.randbytes(16),
            request_id="",
            version=resolution.version,
            service=resolution.service.name,
            customer=resolution.customer.name,
            adapter=resolution.adapter,
            key="",
            digest=b"",
            accepted_at_ms=now_ms,
            deadline_at_ms=request.exchange.deadline_at_ms,
            method="POST",
            # The model uses the path only for the number of tokens.
            path=str(request.arrival.tokens),
            content_type="",
            body=b"",
            streams=True,
        )
        self.requests[attempt.attempt_id] = request
        self.clock.after(HOP_MS, lambda: self.targets[name].submit(attempt))

    def handle_rejection(
        self,
        name: str,
        attempt_id: bytes,
        failure: result.Failure,
        load: object,
    ) -> None:
        """Passes a rejection to the exchange of its request."""
        request = self.requests.pop(attempt_id)
        key = failure.code.name
        self.rejections[key] = self.rejections.get(key, 0) + 1
        now_ms = int(self.clock.now_ms)
        self.routers[request.entry].observe(name, "", load, now_ms)
        event = exchange_lib.Rejected(failure)
        self.clock.after(
            HOP_MS,
            lambda: self._perform_actions(
                request, request.exchange.handle(event, now_ms)
            ),
        )

    def handle_response_start(
        self, name: str, attempt: attempt_lib.Attempt
    ) -> None:
        """Passes the start of a response to the exchange of its request."""
        request = self.requests[attempt.attempt_id]
        router = self.routers[request.entry]
        self._observe(router, name, attempt.adapter)
        event = exchange_lib.ResponseStarted(200, "", attempt.adapter)
        request.exchange.handle(event, int(self.clock.now_ms))
        request.first()

    def handle_end(self, attempt_id: bytes, *, aborted: bool) -> None:
        """Passes the end of a response to the exchange of its request."""
        request = self.requests.pop(attempt_id)
        failure = result.Failure(result.TARGET_FAILED, "") if aborted else None
        event = exchange_lib.EndArrived(0, failure)
        now_ms = int(self.clock.now_ms)
        self._perform_actions(request, request.exchange.handle(event, now_ms))
