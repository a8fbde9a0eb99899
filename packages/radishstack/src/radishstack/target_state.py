"""The state of a target process that its decisions share."""

import collections
import dataclasses
import math
import random

from radishstack import attempt as attempt_lib
from radishstack import invariant
from radishstack import load as load_lib
from radishstack import result
from radishstack import target_event as event_lib
from radishstack.process import fair_queue
from radishstack.process import forecast as forecast_lib
from radishstack.process import ledger as ledger_lib
from radishstack.process import load_budget
from radishstack.process import popularity as popularity_lib
from radishstack.process import residency as residency_lib
from radishstack.version import checks
from radishstack.version import document as document_lib
from radishstack.version import holder as holder_lib

MAX_CLOSED_ATTEMPTS = 65_536


@dataclasses.dataclass(frozen=True, slots=True)
class TargetSettings:
    """Settings of a target process.

    Attributes:
        name: Name of the target in the document.
        kind: Engine or plain service.
        slot_count: Adapter slots of the engine.
        max_running: Maximum number of running attempts.
        max_queued: Maximum number of queued attempts.
        max_parallel_loads: Maximum number of parallel loads at the engine.
        quarantine_ms: How long after the start unknown keys are not run.
        first_order: Initial fencing number, above those of any earlier process
            in the same slot.
    """

    name: str
    kind: checks.TargetKind
    slot_count: int = 8
    max_running: int = 16
    max_queued: int = 512
    max_parallel_loads: int = 2
    quarantine_ms: int = checks.DEFAULT_RETRY_WINDOW_MS
    first_order: int = 0


@dataclasses.dataclass(slots=True)
class Running:
    """A dispatched attempt.

    Attributes:
        attempt: The attempt.
        grant: Its grant, None at a plain service.
        dispatched_at_ms: When it was dispatched.
        cancelled: Whether its cancellation was requested.
    """

    attempt: attempt_lib.Attempt
    grant: residency_lib.Grant | None
    dispatched_at_ms: int
    cancelled: bool = False


Actions = list[event_lib.Action]


class TargetState:
    """The state of one target process.

    Attributes:
        held: The configuration version in force.
        engine_up: Whether the engine answers; always true at a plain service.
        leaving: Whether the target is draining.
        attempts: Attempts that are not closed, by id.
        awaiting_prior_homes: Attempts whose former homes have not answered yet.
        running: Dispatched attempts by id.
        closed_attempts: Failures that late copies of closed attempts are
            answered with, by attempt id.
        warm: Adapters that are kept loaded even without requests.
    """

    def __init__(
        self,
        settings: TargetSettings,
        *,
        now_ms: int,
        random_source: random.Random,
        budget: load_budget.BudgetSettings | None = None,
    ) -> None:
        """Initializes without a configuration; the engine is not up yet.

        Args:
            settings: Settings of the process.
            now_ms: Monotonic clock.
            random_source: Spreads the retries of callers.
            budget: Load budget of the site.
        """
        self.settings = settings
        self.held = holder_lib.EMPTY
        self.residency = residency_lib.Residency(settings.slot_count)
        self.queue = fair_queue.FairQueue()
        self.ledger = ledger_lib.Ledger(
            quarantine_until_ms=now_ms + settings.quarantine_ms
        )
        self.popularity = popularity_lib.Popularity()
        self.forecast = forecast_lib.Forecast(
            max_running=settings.max_running, random_source=random_source
        )
        self.budget = load_budget.LoadBudget(
            budget or load_budget.BudgetSettings(), now_ms
        )
        self.residency.order = settings.first_order
        self.engine_up = settings.kind is checks.TargetKind.PLAIN
        self.leaving = False
        self.attempts: dict[bytes, attempt_lib.Attempt] = {}
        self.awaiting_prior_homes: dict[bytes, attempt_lib.Attempt] = {}
        self.running: dict[bytes, Running] = {}
        self.running_by_customer: collections.Counter[str] = (
            collections.Counter()
        )
        self.closed_attempts: collections.OrderedDict[bytes, result.Failure] = (
            collections.OrderedDict()
        )
        self.warm: frozenset[str] = frozenset()

    @property
    def idle(self) -> bool:
        """Whether no attempt is queued, running or waiting for former homes."""
        return not (
            self.running or self.awaiting_prior_homes or len(self.queue)
        )

    def report(
        self, adapter: str, process: bytes, now_ms: int
    ) -> load_lib.Load:
        """Returns the load report that entry daemons use for routing.

        Args:
            adapter: The requested adapter, empty for none.
            process: Identity of this process.
            now_ms: Now.

        Returns:
            The report.
        """
        queued, running = len(self.queue), len(self.running)
        adapter_state = self.residency.adapter_state(adapter, now_ms)
        return load_lib.Load(
            residency=int(adapter_state),
            leaving=self.leaving or not self.engine_up,
            version=self.held.version,
            queued=queued,
            running=running,
            wait_ms=self.forecast.wait_ms(queued=queued, running=running),
            load_ms=self.load_delay_ms(adapter, now_ms),
            process=process,
            blocked=self.blocked(now_ms),
        )

    def cheapest_victim(self, now_ms: int) -> tuple[float, str]:
        """Finds the least requested adapter that may be evicted.

        Args:
            now_ms: Now.

        Returns:
            The estimated rate of its requests and its name; the name is empty
            if a slot is free or no adapter may be evicted.
        """
        if self.residency.free_slots() > 0:
            return 0.0, ""
        awaited = set(self.queue.adapters())
        return min(
            (
                (self.popularity.value(name, now_ms), name)
                for name, slot in self.residency.slots.items()
                if slot.adapter_state is residency_lib.AdapterState.RESIDENT
                and slot.grants == 0
                and name not in awaited
                and name not in self.warm
            ),
            default=(math.inf, ""),
        )

    def blocked(self, now_ms: int) -> bool:
        """Whether no slot can be freed for another adapter now."""
        if self.residency.free_slots() > 0:
            return False
        closing = any(
            slot.adapter_state is residency_lib.AdapterState.CLOSING
            for slot in self.residency.slots.values()
        )
        return not closing and not self.cheapest_victim(now_ms)[1]

    def service(self, name: str) -> document_lib.Service | None:
        """Returns a service of the version in force, None if unknown."""
        return self.held.document.services.get(name)

    def load_delay_ms(self, adapter: str, now_ms: int) -> int:
        """Predicts how long it takes until an adapter is resident."""
        adapter_state = self.residency.adapter_state(adapter, now_ms)
        estimate_ms = self.residency.load_estimate_ms
        if not adapter or adapter_state is residency_lib.AdapterState.RESIDENT:
            return 0
        if adapter_state is residency_lib.AdapterState.LOADING:
            slot = self.residency.slots[adapter]
            return max(1, round(estimate_ms - (now_ms - slot.since_ms)))
        loads_before = sum(
            self.residency.adapter_state(other, now_ms)
            is residency_lib.AdapterState.ABSENT
            for other in self.queue.adapters()
            if other != adapter
        )
        loads_before += self.residency.loading_count()
        batches = 1 + loads_before // self.settings.max_parallel_loads
        return round(batches * estimate_ms) + self.budget.delay_ms(now_ms)


def close_attempt(
    target: TargetState, attempt_id: bytes, failure: result.Failure
) -> None:
    """Stores the failure that a late copy of an attempt is answered with."""
    target.closed_attempts[attempt_id] = failure
    while len(target.closed_attempts) > MAX_CLOSED_ATTEMPTS:
        target.closed_attempts.popitem(last=False)


def reject(
    target: TargetState,
    attempt: attempt_lib.Attempt,
    failure: result.Failure,
    actions: Actions,
) -> None:
    """Rejects an attempt and records it, so that a late copy cannot run."""
    invariant.require(
        attempt.attempt_id not in target.running,
        result.REFUSED_AND_RUN,
        f"refusal of running attempt {attempt.attempt_id.hex()}",
    )
    target.attempts.pop(attempt.attempt_id, None)
    close_attempt(target, attempt.attempt_id, failure)
    actions.append(event_lib.Reject(attempt.attempt_id, failure))


def reject_claimed(
    target: TargetState,
    attempt: attempt_lib.Attempt,
    failure: result.Failure,
    now_ms: int,
    actions: Actions,
) -> None:
    """Rejects an attempt that may own its key in the ledger."""
    if attempt.key:
        target.ledger.refuse((attempt.service, attempt.key), now_ms)
    reject(target, attempt, failure, actions)


def reject_waiting(
    target: TargetState,
    waiting: fair_queue.QueuedAttempt,
    failure: result.Failure,
    now_ms: int,
    actions: Actions,
) -> None:
    """Removes an attempt from the queue and rejects it as not run."""
    target.queue.remove(waiting.attempt_id)
    attempt = target.attempts[waiting.attempt_id]
    reject_claimed(target, attempt, failure, now_ms, actions)
