"""All decisions of one target process, at one place, on one loop.

Events and a time go in, actions come out. Nothing here waits, reads a clock
or writes to a socket; the same code runs in production, under Hypothesis and
in the benchmarks.
"""

import collections
import dataclasses
import functools
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
from radishstack.request import resolve
from radishstack.version import document as document_lib
from radishstack.version import holder as holder_lib
from radishstack.version import rendezvous

CLOSED_KEEP = 65_536
COLD_RETRY_MS = 1_000
LEAVING_RETRY_MS = 100
UNKNOWN_RETRY_MS = 2_000


@dataclasses.dataclass(frozen=True, slots=True)
class TargetSettings:
    """What a target process knows of its target from its settings.

    Attributes:
        name: Name of the target in the document.
        kind: Engine or plain service.
        slot_count: Adapter slots of the engine.
        max_running: Attempts that run at once.
        max_queued: Bound on queued attempts.
        max_parallel_loads: Loads the engine is asked for at once.
        quarantine_ms: How long after its start unknown keys are not run.
        first_order: Fencing number before the first order; above those of
            any earlier process in the same slot.
    """

    name: str
    kind: document_lib.TargetKind
    slot_count: int = 8
    max_running: int = 16
    max_queued: int = 512
    max_parallel_loads: int = 2
    quarantine_ms: int = document_lib.DEFAULT_RETRY_WINDOW_MS
    first_order: int = 0


@dataclasses.dataclass(slots=True)
class Running:
    """A dispatched attempt.

    Attributes:
        attempt: The attempt.
        grant: Its grant, None at a plain service.
        since_ms: When it was dispatched.
        cancelled: Whether it was told to stop.
    """

    attempt: attempt_lib.Attempt
    grant: residency_lib.Grant | None
    since_ms: int
    cancelled: bool = False


Actions = list[event_lib.Action]


class Target:
    """The state of one target process."""

    def __init__(
        self,
        settings: TargetSettings,
        *,
        now_ms: int,
        random_source: random.Random,
        budget: load_budget.BudgetSettings | None = None,
    ) -> None:
        """Starts with no configuration and an engine that was not seen.

        Args:
            settings: What the process knows of its target.
            now_ms: Monotonic clock.
            random_source: Spreads the callers' return.
            budget: The site's allowance of loads.
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
        self.engine_up = settings.kind is document_lib.TargetKind.PLAIN
        self.leaving = False
        self.attempts: dict[bytes, attempt_lib.Attempt] = {}
        self.asking: dict[bytes, attempt_lib.Attempt] = {}
        self.running: dict[bytes, Running] = {}
        self.running_by_customer: collections.Counter[str] = (
            collections.Counter()
        )
        self.closed: collections.OrderedDict[bytes, result.Failure] = (
            collections.OrderedDict()
        )
        self.warm: frozenset[str] = frozenset()

    def handle(self, event: event_lib.Event, now_ms: int) -> Actions:
        """Takes an event.

        Args:
            event: What happened.
            now_ms: Monotonic clock, not before that of the last event.

        Returns:
            What to do, in order.
        """
        actions: Actions = []
        _handle(event, self, now_ms, actions)
        _schedule(self, now_ms, actions)
        return actions

    @property
    def idle(self) -> bool:
        """Whether nothing is asked, queued or running."""
        return not (self.running or self.asking or len(self.queue))

    def report(
        self, adapter: str, process: bytes, now_ms: int
    ) -> load_lib.Load:
        """Returns this target's word on itself.

        Args:
            adapter: The adapter asked about, empty for none.
            process: Identity of this process.
            now_ms: Now.

        Returns:
            What entry daemons route by.
        """
        queued, running = len(self.queue), len(self.running)
        standing = self.residency.standing(adapter, now_ms)
        return load_lib.Load(
            residency=int(standing),
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
        """Finds the adapter that is missed least, if any may go.

        Args:
            now_ms: Now.

        Returns:
            The estimated rate of its requests and its name; no name if a
            slot is free or none may go.
        """
        if self.residency.free_slots() > 0:
            return 0.0, ""
        waited_for = set(self.queue.adapters())
        return min(
            (
                (self.popularity.value(name, now_ms), name)
                for name, slot in self.residency.slots.items()
                if slot.standing is residency_lib.Standing.RESIDENT
                and slot.grants == 0
                and name not in waited_for
                and name not in self.warm
            ),
            default=(math.inf, ""),
        )

    def blocked(self, now_ms: int) -> bool:
        """Whether no slot could be freed for another adapter now."""
        if self.residency.free_slots() > 0:
            return False
        closing = any(
            slot.standing is residency_lib.Standing.CLOSING
            for slot in self.residency.slots.values()
        )
        return not closing and not self.cheapest_victim(now_ms)[1]

    def service(self, name: str) -> document_lib.Service | None:
        """Returns a service of the held version."""
        return self.held.document.services.get(name)

    def load_delay_ms(self, adapter: str, now_ms: int) -> int:
        """Predicts when an adapter would be resident, from now."""
        standing = self.residency.standing(adapter, now_ms)
        estimate_ms = self.residency.load_estimate_ms
        if not adapter or standing is residency_lib.Standing.RESIDENT:
            return 0
        if standing is residency_lib.Standing.LOADING:
            slot = self.residency.slots[adapter]
            return max(1, round(estimate_ms - (now_ms - slot.since_ms)))
        ahead = sum(
            self.residency.standing(other, now_ms)
            is residency_lib.Standing.ABSENT
            for other in self.queue.adapters()
            if other != adapter
        )
        ahead += self.residency.loading_count()
        turns = 1 + ahead // self.settings.max_parallel_loads
        return round(turns * estimate_ms) + self.budget.delay_ms(now_ms)


@functools.singledispatch
def _handle(
    event: object, target: Target, now_ms: int, actions: Actions
) -> None:
    raise TypeError(f"unknown event {event!r}")


_RUN_IS_OVER = result.Failure(
    result.RUN_UNKNOWN, "this attempt has run and its answer is gone"
)


def _close_attempt(
    target: Target, attempt_id: bytes, failure: result.Failure
) -> None:
    """Remembers what a late copy of an attempt is answered."""
    target.closed[attempt_id] = failure
    while len(target.closed) > CLOSED_KEEP:
        target.closed.popitem(last=False)


def _refuse(
    target: Target,
    attempt: attempt_lib.Attempt,
    failure: result.Failure,
    actions: Actions,
) -> None:
    """Refuses an attempt and records it, so that a late copy cannot run."""
    invariant.require(
        attempt.attempt_id not in target.running,
        result.REFUSED_AND_RUN,
        f"refusal of running attempt {attempt.attempt_id.hex()}",
    )
    target.attempts.pop(attempt.attempt_id, None)
    _close_attempt(target, attempt.attempt_id, failure)
    actions.append(event_lib.Refuse(attempt.attempt_id, failure))


def _refuse_claimed(
    target: Target,
    attempt: attempt_lib.Attempt,
    failure: result.Failure,
    now_ms: int,
    actions: Actions,
) -> None:
    """Refuses an attempt that may own its key in the ledger."""
    if attempt.key:
        target.ledger.refuse((attempt.service, attempt.key), now_ms)
    _refuse(target, attempt, failure, actions)


@_handle.register
def _submitted(
    event: event_lib.Submitted, target: Target, now_ms: int, actions: Actions
) -> None:
    attempt = event.attempt
    known = target.closed.get(attempt.attempt_id)
    if known is not None:
        actions.append(event_lib.Refuse(attempt.attempt_id, known))
        return
    if attempt.attempt_id in target.attempts:
        actions.append(event_lib.Join(attempt.attempt_id, attempt.attempt_id))
        return
    failure = _check_assumption(target, attempt)
    if failure is not None:
        _refuse(target, attempt, failure, actions)
        return
    target.popularity.touch(attempt.adapter, now_ms)
    if attempt.key:
        _submit_keyed(target, attempt, now_ms, actions)
        return
    failure = _check_room(target, attempt, now_ms)
    if failure is not None:
        _refuse(target, attempt, failure, actions)
        return
    _enqueue(target, attempt, now_ms)


def _check_assumption(
    target: Target, attempt: attempt_lib.Attempt
) -> result.Failure | None:
    """Checks that what the entry assumed still holds here.

    Only what the attempt depends on counts, not whether anything changed
    (state-based validation). A keyed attempt that fails here proves nothing
    about its key, which another home may have run.
    """
    proof = result.Executed.UNKNOWN if attempt.key else None
    if attempt.version > target.held.version:
        return result.Failure(
            result.VERSION_BEHIND,
            f"version {attempt.version} is not in force here yet, "
            f"{target.held.version} is",
            COLD_RETRY_MS,
            proof,
        )
    service = target.service(attempt.service)
    if service is None or target.settings.name not in service.targets:
        return result.Failure(
            result.NOT_HOME if attempt.key else result.ASSUMPTION_STALE,
            f"{attempt.service} does not run here in version "
            f"{target.held.version}",
            LEAVING_RETRY_MS,
        )
    if attempt.key and target.settings.name != resolve.home_of(
        service.name, attempt.key, service.targets
    ):
        return result.Failure(
            result.NOT_HOME,
            f"another target is home of this key in version "
            f"{target.held.version}",
            LEAVING_RETRY_MS,
        )
    name, _, version_text = attempt.adapter.partition("@")
    adapter = target.held.document.adapters.get(name)
    if attempt.adapter and (
        adapter is None
        or all(str(entry.version) != version_text for entry in adapter.versions)
    ):
        return result.Failure(
            result.ASSUMPTION_STALE,
            f"{attempt.adapter} was removed by version {target.held.version}",
            LEAVING_RETRY_MS,
            proof,
        )
    return None


def _submit_keyed(
    target: Target,
    attempt: attempt_lib.Attempt,
    now_ms: int,
    actions: Actions,
) -> None:
    key = (attempt.service, attempt.key)
    judgement = target.ledger.judge(
        key,
        digest=attempt.digest,
        accepted_at_ms=attempt.accepted_at_ms,
        now_ms=now_ms,
    )
    match judgement.verdict:
        case ledger_lib.Verdict.JOIN:
            actions.append(
                event_lib.Join(attempt.attempt_id, judgement.record.attempt_id)
            )
        case ledger_lib.Verdict.CLAIM:
            _claim(target, attempt, judgement.record, now_ms, actions)
        case verdict:
            failure = _explain_verdict(target, verdict, now_ms)
            _refuse(target, attempt, failure, actions)


def _explain_verdict(
    target: Target, verdict: ledger_lib.Verdict, now_ms: int
) -> result.Failure:
    match verdict:
        case ledger_lib.Verdict.REUSED:
            return result.Failure(
                result.KEY_REUSED,
                "this Idempotency-Key was used with another body; use a new "
                "key for a new request",
            )
        case ledger_lib.Verdict.QUARANTINED:
            left_ms = target.ledger.quarantine_until_ms - now_ms
            return result.Failure(
                result.KEY_QUARANTINED,
                "the home of this key restarted within the retry window, so "
                "it cannot tell whether the key ran before",
                max(1, left_ms),
            )
        case ledger_lib.Verdict.LATE:
            return result.Failure(
                result.ATTEMPT_REFUSED,
                "a later submission of this key was refused",
                LEAVING_RETRY_MS,
                # It did not run here; whether it ran on a former home, this
                # record does not tell.
                result.Executed.UNKNOWN,
            )
        case _:
            return result.Failure(
                result.LEDGER_FULL,
                "the home of this key remembers as many keys as it can",
                target.forecast.retry_after_ms(UNKNOWN_RETRY_MS),
            )


def _claim(
    target: Target,
    attempt: attempt_lib.Attempt,
    record: ledger_lib.Record | None,
    now_ms: int,
    actions: Actions,
) -> None:
    service = target.service(attempt.service)
    priors = _prior_homes(target, attempt, record)
    state = ledger_lib.KeyState.ASKING if priors else ledger_lib.KeyState.QUEUED
    target.ledger.claim(
        (attempt.service, attempt.key),
        state=state,
        attempt_id=attempt.attempt_id,
        digest=attempt.digest,
        window_ms=service.retry_window_ms,
        now_ms=now_ms,
    )
    if priors:
        target.attempts[attempt.attempt_id] = attempt
        target.asking[attempt.attempt_id] = attempt
        actions.append(
            event_lib.AskPriors(
                attempt.attempt_id, (attempt.service, attempt.key), priors
            )
        )
        return
    _admit_claimed(target, attempt, now_ms, actions)


def _prior_homes(
    target: Target,
    attempt: attempt_lib.Attempt,
    record: ledger_lib.Record | None,
) -> tuple[str, ...]:
    """Returns the targets that may have run a key before this one."""
    placements = target.held.document.placements.get(attempt.service, ())
    homes = {
        resolve.home_of(attempt.service, attempt.key, placement.targets)
        for placement in placements
    }
    if record is not None:
        homes.update(record.sealed_for)
    homes.discard(target.settings.name)
    return tuple(sorted(homes))


def _admit_claimed(
    target: Target,
    attempt: attempt_lib.Attempt,
    now_ms: int,
    actions: Actions,
) -> None:
    failure = _check_room(target, attempt, now_ms)
    if failure is not None:
        _refuse_claimed(target, attempt, failure, now_ms, actions)
        return
    _enqueue(target, attempt, now_ms)


@_handle.register
def _priors_answered(
    event: event_lib.PriorsAnswered,
    target: Target,
    now_ms: int,
    actions: Actions,
) -> None:
    attempt = target.asking.pop(event.attempt_id, None)
    if attempt is None:
        return
    key = (attempt.service, attempt.key)
    if event.answer is ledger_lib.Sealing.SEALED:
        service = target.service(attempt.service)
        if service is not None:
            target.ledger.claim(
                key,
                state=ledger_lib.KeyState.QUEUED,
                attempt_id=attempt.attempt_id,
                digest=attempt.digest,
                window_ms=service.retry_window_ms,
                now_ms=now_ms,
            )
            _admit_claimed(target, attempt, now_ms, actions)
            return
    if event.answer is ledger_lib.Sealing.RAN:
        failure = result.Failure(
            result.ANSWER_NOT_KEPT,
            "this key ran on a former home, which keeps the answer",
        )
    else:
        failure = result.Failure(
            result.PRIOR_HOME_UNKNOWN,
            "a former home of this key does not say whether it ran",
            target.forecast.retry_after_ms(UNKNOWN_RETRY_MS),
        )
    _refuse_claimed(target, attempt, failure, now_ms, actions)


@_handle.register
def _seal_asked(
    event: event_lib.SealAsked, target: Target, now_ms: int, actions: Actions
) -> None:
    service = target.service(event.key[0])
    window_ms = (
        service.retry_window_ms
        if service is not None
        else document_lib.DEFAULT_RETRY_WINDOW_MS
    )
    answer = target.ledger.seal(
        event.key, asker=event.asker, window_ms=window_ms, now_ms=now_ms
    )
    actions.append(event_lib.AnswerSeal(event.seal_id, answer))


def _check_room(
    target: Target, attempt: attempt_lib.Attempt, now_ms: int
) -> result.Failure | None:
    """Decides whether an attempt is admitted, and if not, until when."""
    if target.leaving:
        return result.Failure(
            result.TARGET_LEAVING,
            f"{target.settings.name} is leaving",
            LEAVING_RETRY_MS,
        )
    if not target.engine_up:
        return result.Failure(
            result.TARGET_COLD,
            f"the engine of {target.settings.name} does not answer",
            target.forecast.retry_after_ms(COLD_RETRY_MS),
        )
    failure = _check_limits(target, attempt)
    if failure is not None:
        return failure
    return _check_deadline(target, attempt, now_ms)


def _check_limits(
    target: Target, attempt: attempt_lib.Attempt
) -> result.Failure | None:
    service = target.service(attempt.service)
    customer = target.held.document.customers[service.customer]
    queued, running = len(target.queue), len(target.running)
    wait_ms = target.forecast.wait_ms(queued=queued, running=running)
    retry_after_ms = target.forecast.retry_after_ms(
        wait_ms or target.forecast.run_estimate_ms
    )
    if queued >= target.settings.max_queued:
        return result.Failure(
            result.QUEUE_FULL,
            f"{queued} attempts are queued at {target.settings.name}",
            retry_after_ms,
        )
    if target.queue.count_service(service.name) >= service.max_queued:
        return result.Failure(
            result.SERVICE_LIMIT,
            f"{service.name} has {service.max_queued} attempts queued at "
            f"{target.settings.name}",
            retry_after_ms,
        )
    of_customer = (
        target.queue.count_customer(customer.name)
        + target.running_by_customer[customer.name]
    )
    if of_customer >= customer.max_in_flight:
        return result.Failure(
            result.CUSTOMER_LIMIT,
            f"{customer.name} has {customer.max_in_flight} attempts in flight "
            f"at {target.settings.name}",
            retry_after_ms,
        )
    return None


def _check_deadline(
    target: Target, attempt: attempt_lib.Attempt, now_ms: int
) -> result.Failure | None:
    left_ms = attempt.deadline_at_ms - now_ms
    standing = target.residency.standing(attempt.adapter, now_ms)
    if attempt.adapter and standing is residency_lib.Standing.FAILED:
        backoff = target.residency.backoffs[attempt.adapter]
        return result.Failure(
            result.LOAD_FAILED,
            f"{attempt.adapter} failed to load {backoff.failures} times in a "
            f"row at {target.settings.name}",
            target.forecast.retry_after_ms(backoff.until_ms - now_ms),
        )
    wait_ms = target.forecast.wait_ms(
        queued=len(target.queue), running=len(target.running)
    )
    needed_ms = max(wait_ms, target.load_delay_ms(attempt.adapter, now_ms))
    if left_ms <= 0 or needed_ms >= left_ms:
        return result.Failure(
            result.DEADLINE_TOO_SHORT,
            f"it would start after about {needed_ms} ms, {max(0, left_ms)} ms "
            "are left",
            target.forecast.retry_after_ms(max(needed_ms, COLD_RETRY_MS)),
        )
    return None


def _enqueue(target: Target, attempt: attempt_lib.Attempt, now_ms: int) -> None:
    invariant.require(
        not target.leaving,
        result.ADMITTED_WHILE_LEAVING,
        f"admission of {attempt.attempt_id.hex()}",
    )
    service = target.service(attempt.service)
    customer = target.held.document.customers[service.customer]
    target.attempts[attempt.attempt_id] = attempt
    target.queue.push(
        fair_queue.Waiting(
            attempt_id=attempt.attempt_id,
            customer=customer.name,
            share=customer.share,
            service=service.name,
            rank=attempt_lib.PRIORITY_RANK[service.priority],
            stall_weight=service.stall_weight,
            adapter=attempt.adapter,
            enqueued_at_ms=now_ms,
            deadline_at_ms=attempt.deadline_at_ms,
            stalls=bool(attempt.adapter)
            and target.residency.standing(attempt.adapter, now_ms)
            is not residency_lib.Standing.RESIDENT,
        )
    )


@_handle.register
def _cancelled(
    event: event_lib.Cancelled, target: Target, now_ms: int, actions: Actions
) -> None:
    failure = result.Failure(result.CANCELLED, "the caller has left")
    waiting = target.queue.remove(event.attempt_id)
    if waiting is not None:
        attempt = target.attempts[event.attempt_id]
        _refuse_claimed(target, attempt, failure, now_ms, actions)
        return
    running = target.running.get(event.attempt_id)
    # Half of a booking is worse than a booking nobody reads: what must not
    # run twice runs to its end, and its answer is kept for the key.
    if running is None or running.attempt.key or running.cancelled:
        return
    running.cancelled = True
    actions.append(event_lib.Abort(event.attempt_id, failure))


@_handle.register
def _loaded(
    event: event_lib.Loaded, target: Target, now_ms: int, actions: Actions
) -> None:
    del actions
    if event.incarnation == target.residency.incarnation:
        target.residency.loaded(event.adapter, event.order, now_ms)


@_handle.register
def _load_failed(
    event: event_lib.LoadFailed, target: Target, now_ms: int, actions: Actions
) -> None:
    if event.incarnation != target.residency.incarnation:
        return
    if not target.residency.awaits(event.adapter, event.order):
        return
    backoff = target.residency.load_failed(event.adapter, now_ms)
    failure = result.Failure(
        result.LOAD_FAILED,
        f"{event.adapter} failed to load at {target.settings.name}: "
        f"{event.reason}",
        target.forecast.retry_after_ms(backoff.until_ms - now_ms),
    )
    for waiting in target.queue.waiting_for(event.adapter):
        target.queue.remove(waiting.attempt_id)
        attempt = target.attempts[waiting.attempt_id]
        _refuse_claimed(target, attempt, failure, now_ms, actions)


@_handle.register
def _unloaded(
    event: event_lib.Unloaded, target: Target, now_ms: int, actions: Actions
) -> None:
    del now_ms, actions
    if event.incarnation == target.residency.incarnation:
        target.residency.unloaded(event.adapter, event.order)


@_handle.register
def _unload_failed(
    event: event_lib.UnloadFailed,
    target: Target,
    now_ms: int,
    actions: Actions,
) -> None:
    del actions
    if event.incarnation == target.residency.incarnation:
        target.residency.unload_failed(event.adapter, event.order, now_ms)


@_handle.register
def _engine_seen(
    event: event_lib.EngineSeen, target: Target, now_ms: int, actions: Actions
) -> None:
    del actions
    target.engine_up = True
    if event.incarnation != target.residency.incarnation:
        target.residency.restart(event.incarnation, now_ms)
    changed_since = any(
        slot.since_ms >= event.asked_at_ms
        for slot in target.residency.slots.values()
    )
    if not changed_since:
        target.residency.reconcile(event.resident, now_ms)


@_handle.register
def _engine_lost(
    event: event_lib.EngineLost, target: Target, now_ms: int, actions: Actions
) -> None:
    del event
    target.engine_up = target.settings.kind is document_lib.TargetKind.PLAIN
    if target.engine_up:
        return
    failure = result.Failure(
        result.TARGET_COLD,
        f"the engine of {target.settings.name} stopped answering",
        target.forecast.retry_after_ms(COLD_RETRY_MS),
    )
    for waiting in target.queue:
        target.queue.remove(waiting.attempt_id)
        attempt = target.attempts[waiting.attempt_id]
        _refuse_claimed(target, attempt, failure, now_ms, actions)


@_handle.register
def _reported(
    event: event_lib.Reported, target: Target, now_ms: int, actions: Actions
) -> None:
    del now_ms
    running = target.running.get(event.attempt_id)
    if running is None or running.attempt.adapter == event.adapter:
        return
    running.cancelled = True
    failure = result.Failure(
        result.WRONG_ADAPTER,
        f"the engine ran {event.adapter!r} instead of "
        f"{running.attempt.adapter!r}",
    )
    actions.append(event_lib.Abort(event.attempt_id, failure))


@_handle.register
def _run_ended(
    event: event_lib.RunEnded, target: Target, now_ms: int, actions: Actions
) -> None:
    del actions
    running = target.running.pop(event.attempt_id, None)
    if running is None:
        return
    attempt = running.attempt
    target.running_by_customer[attempt.customer] -= 1
    target.attempts.pop(attempt.attempt_id, None)
    if running.grant is not None:
        target.residency.release(running.grant)
    if not running.cancelled:
        target.forecast.observe_run(now_ms - running.since_ms)
    if attempt.key:
        key = (attempt.service, attempt.key)
        if event.ran:
            target.ledger.end(key, now_ms)
        else:
            target.ledger.withdraw(key, now_ms)
    else:
        _close_attempt(target, attempt.attempt_id, _RUN_IS_OVER)
    if not event.ran and running.grant is not None:
        target.residency.missing(running.grant)


@_handle.register
def _leaving_learned(
    event: event_lib.LeavingLearned,
    target: Target,
    now_ms: int,
    actions: Actions,
) -> None:
    del event
    if target.leaving:
        return
    target.leaving = True
    failure = result.Failure(
        result.TARGET_LEAVING,
        f"{target.settings.name} is leaving",
        LEAVING_RETRY_MS,
    )
    # What has not started goes elsewhere at once; what runs, ends here.
    for waiting in target.queue:
        target.queue.remove(waiting.attempt_id)
        attempt = target.attempts[waiting.attempt_id]
        _refuse_claimed(target, attempt, failure, now_ms, actions)


@_handle.register
def _version_held(
    event: event_lib.VersionHeld, target: Target, now_ms: int, actions: Actions
) -> None:
    del now_ms, actions
    if event.held.version <= target.held.version:
        return
    target.held = event.held
    name = target.settings.name
    document = event.held.document
    warm = set()
    for service in document.services.values():
        for adapter_name in service.warm:
            adapter = document.adapters[adapter_name]
            exact = f"{adapter.name}@{adapter.current}"
            order = rendezvous.order(exact, service.targets)
            if name in order[: service.warm_targets]:
                warm.add(exact)
    # One slot stays free of warm adapters, or no other could ever be loaded.
    keep = max(1, target.settings.slot_count - 1)
    target.warm = frozenset(sorted(warm)[:keep])


@_handle.register
def _ticked(
    event: event_lib.Ticked, target: Target, now_ms: int, actions: Actions
) -> None:
    del event
    forgotten = target.ledger.expire(now_ms)
    if forgotten:
        actions.append(event_lib.Forget(tuple(forgotten)))
    for waiting in target.queue:
        _expire_waiting(target, waiting, now_ms, actions)


def _expire_waiting(
    target: Target,
    waiting: fair_queue.Waiting,
    now_ms: int,
    actions: Actions,
) -> None:
    """Answers as soon as a deadline cannot be met, not when it has passed."""
    left_ms = waiting.deadline_at_ms - now_ms
    needed_ms = target.load_delay_ms(waiting.adapter, now_ms)
    if left_ms > 0 and needed_ms < left_ms:
        return
    target.queue.remove(waiting.attempt_id)
    failure = result.Failure(
        result.DEADLINE_TOO_SHORT,
        f"its deadline would pass in the queue of {target.settings.name}",
        target.forecast.retry_after_ms(max(needed_ms, COLD_RETRY_MS)),
    )
    attempt = target.attempts[waiting.attempt_id]
    _refuse_claimed(target, attempt, failure, now_ms, actions)


def _schedule(target: Target, now_ms: int, actions: Actions) -> None:
    """Dispatches what can run, then loads what is waited for."""
    if not target.engine_up:
        return
    while len(target.running) < target.settings.max_running:
        waiting = target.queue.pop(
            lambda one: _can_run(target, one, now_ms), now_ms
        )
        if waiting is None:
            break
        _dispatch(target, waiting, now_ms, actions)
    if target.settings.kind is document_lib.TargetKind.ENGINE:
        _schedule_loads(target, now_ms, actions)


def _can_run(target: Target, waiting: fair_queue.Waiting, now_ms: int) -> bool:
    if not waiting.adapter:
        return True
    standing = target.residency.standing(waiting.adapter, now_ms)
    return standing is residency_lib.Standing.RESIDENT


def _dispatch(
    target: Target,
    waiting: fair_queue.Waiting,
    now_ms: int,
    actions: Actions,
) -> None:
    attempt = target.attempts[waiting.attempt_id]
    invariant.require(
        attempt.attempt_id not in target.closed,
        result.REFUSED_AND_RUN,
        f"dispatch of refused attempt {attempt.attempt_id.hex()}",
    )
    invariant.require(
        attempt.attempt_id not in target.running,
        result.DISPATCHED_TWICE,
        f"dispatch of running attempt {attempt.attempt_id.hex()}",
    )
    grant = None
    if attempt.adapter:
        grant = target.residency.grant(attempt.adapter)
    if attempt.key:
        key = (attempt.service, attempt.key)
        target.ledger.start(key, attempt.attempt_id, now_ms)
    target.running[attempt.attempt_id] = Running(attempt, grant, now_ms)
    target.running_by_customer[attempt.customer] += 1
    stalled_ms = now_ms - waiting.enqueued_at_ms if waiting.stalls else 0
    actions.append(event_lib.Dispatch(attempt, grant, stalled_ms))


def _schedule_loads(target: Target, now_ms: int, actions: Actions) -> None:
    residency = target.residency
    if residency.loading_count() >= target.settings.max_parallel_loads:
        return
    for adapter in _wanted_adapters(target, now_ms):
        if residency.loading_count() >= target.settings.max_parallel_loads:
            return
        if residency.free_slots() <= 0:
            _make_room(target, now_ms, actions)
            continue
        if not target.budget.take(now_ms):
            return
        order = residency.begin_load(adapter, now_ms)
        actions.append(
            event_lib.StartLoad(adapter, residency.incarnation, order)
        )


def _wanted_adapters(target: Target, now_ms: int) -> list[str]:
    """Returns what to load, the most urgent first, warm ones last."""
    absent = residency_lib.Standing.ABSENT
    urgency: list[tuple[int, float, int, str]] = []
    for adapter in target.queue.adapters():
        if target.residency.standing(adapter, now_ms) is not absent:
            continue
        waiting = target.queue.waiting_for(adapter)
        rank = min(fair_queue.effective_rank(one, now_ms) for one in waiting)
        weight = sum(0.1 + one.stall_weight for one in waiting)
        urgency.append((rank, -weight, waiting[0].enqueued_at_ms, adapter))
    wanted = [adapter for *_, adapter in sorted(urgency)]
    if not target.leaving:
        wanted.extend(
            adapter
            for adapter in sorted(target.warm)
            if adapter not in wanted
            and target.residency.standing(adapter, now_ms) is absent
        )
    return wanted


def _make_room(target: Target, now_ms: int, actions: Actions) -> None:
    """Closes the adapter that is missed least, if any may go."""
    closing = sum(
        slot.standing is residency_lib.Standing.CLOSING
        for slot in target.residency.slots.values()
    )
    if closing >= target.settings.max_parallel_loads:
        return
    _, victim = target.cheapest_victim(now_ms)
    if not victim:
        return
    order = target.residency.close(victim, now_ms)
    actions.append(
        event_lib.StartUnload(victim, target.residency.incarnation, order)
    )
