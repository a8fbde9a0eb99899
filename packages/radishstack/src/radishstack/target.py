"""State machine that makes all decisions of one target process on one loop.

It maps an event and a time to actions. Nothing here waits, reads a clock or
writes to a socket, so the same code runs in production, under Hypothesis and
in virtual time.
"""

import functools

from radishstack import result
from radishstack import target_admission
from radishstack import target_event as event_lib
from radishstack import target_schedule
from radishstack import target_state as state_lib
from radishstack.process import fair_queue
from radishstack.process import rendezvous
from radishstack.version import checks

TargetSettings = state_lib.TargetSettings
Actions = state_lib.Actions

_RUN_FINISHED = result.Failure(
    result.RUN_UNKNOWN, "this attempt has run and its answer is gone"
)


class Target(state_lib.TargetState):
    """The state machine of one target process."""

    def handle(self, event: event_lib.Event, now_ms: int) -> Actions:
        """Handles an event.

        Args:
            event: The event.
            now_ms: Monotonic clock, not before the time of the last event.

        Returns:
            The actions to perform, in order.
        """
        actions: Actions = []
        _handle(event, self, now_ms, actions)
        target_schedule.schedule(self, now_ms, actions)
        return actions


@functools.singledispatch
def _handle(
    event: object, target: Target, now_ms: int, actions: Actions
) -> None:
    raise TypeError(f"unknown event {event!r}")


@_handle.register
def _submitted(
    event: event_lib.Submitted, target: Target, now_ms: int, actions: Actions
) -> None:
    target_admission.submit(target, event.attempt, now_ms, actions)


@_handle.register
def _prior_homes_answered(
    event: event_lib.PriorHomesAnswered,
    target: Target,
    now_ms: int,
    actions: Actions,
) -> None:
    target_admission.handle_prior_homes_answer(target, event, now_ms, actions)


@_handle.register
def _seal_requested(
    event: event_lib.SealRequested,
    target: Target,
    now_ms: int,
    actions: Actions,
) -> None:
    service = target.service(event.key[0])
    window_ms = (
        service.retry_window_ms
        if service is not None
        else checks.DEFAULT_RETRY_WINDOW_MS
    )
    answer = target.ledger.seal(
        event.key, asker=event.asker, window_ms=window_ms, now_ms=now_ms
    )
    actions.append(event_lib.AnswerSeal(event.seal_id, answer))


@_handle.register
def _cancelled(
    event: event_lib.Cancelled, target: Target, now_ms: int, actions: Actions
) -> None:
    failure = result.Failure(result.CANCELLED, "the caller has left")
    waiting = target.queue.remove(event.attempt_id)
    if waiting is not None:
        attempt = target.attempts[event.attempt_id]
        state_lib.reject_claimed(target, attempt, failure, now_ms, actions)
        return
    running = target.running.get(event.attempt_id)
    # A half-done operation is worse than one whose response nobody reads, so a
    # request that must not run twice completes. Its response is kept for the
    # key.
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
    if not target.residency.is_latest_order(event.adapter, event.order):
        return
    backoff = target.residency.load_failed(event.adapter, now_ms)
    failure = result.Failure(
        result.LOAD_FAILED,
        f"{event.adapter} failed to load at {target.settings.name}: "
        f"{event.reason}",
        target.forecast.retry_after_ms(backoff.until_ms - now_ms),
    )
    for waiting in target.queue.waiting_for(event.adapter):
        state_lib.reject_waiting(target, waiting, failure, now_ms, actions)


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
def _engine_observed(
    event: event_lib.EngineObserved,
    target: Target,
    now_ms: int,
    actions: Actions,
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
    target.engine_up = target.settings.kind is checks.TargetKind.PLAIN
    if target.engine_up:
        return
    failure = result.Failure(
        result.TARGET_COLD,
        f"the engine of {target.settings.name} stopped answering",
        target.forecast.retry_after_ms(target_admission.COLD_RETRY_MS),
    )
    for waiting in target.queue:
        state_lib.reject_waiting(target, waiting, failure, now_ms, actions)


@_handle.register
def _adapter_reported(
    event: event_lib.AdapterReported,
    target: Target,
    now_ms: int,
    actions: Actions,
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
        target.forecast.observe_run(now_ms - running.dispatched_at_ms)
    if attempt.key:
        key = (attempt.service, attempt.key)
        if event.ran:
            target.ledger.end(key, now_ms)
        else:
            target.ledger.withdraw(key, now_ms)
    else:
        state_lib.close_attempt(target, attempt.attempt_id, _RUN_FINISHED)
    if not event.ran and running.grant is not None:
        target.residency.adapter_missing(running.grant)


@_handle.register
def _drain_requested(
    event: event_lib.DrainRequested,
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
        target_admission.SHORT_RETRY_MS,
    )
    # Queued attempts are sent to other targets at once; running ones finish
    # here.
    for waiting in target.queue:
        state_lib.reject_waiting(target, waiting, failure, now_ms, actions)


@_handle.register
def _version_activated(
    event: event_lib.VersionActivated,
    target: Target,
    now_ms: int,
    actions: Actions,
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
            adapter_version = f"{adapter.name}@{adapter.current}"
            order = rendezvous.order(adapter_version, service.targets)
            if name in order[: service.warm_targets]:
                warm.add(adapter_version)
    # With more than one adapter slot, one stays free of warm adapters, or no
    # other adapter could ever be loaded.
    keep = max(1, target.settings.slot_count - 1)
    target.warm = frozenset(sorted(warm)[:keep])


@_handle.register
def _ticked(
    event: event_lib.Ticked, target: Target, now_ms: int, actions: Actions
) -> None:
    del event
    expired_ids = target.ledger.expire(now_ms)
    if expired_ids:
        actions.append(event_lib.DropAnswers(tuple(expired_ids)))
    for waiting in target.queue:
        _expire_waiting(target, waiting, now_ms, actions)


def _expire_waiting(
    target: Target,
    waiting: fair_queue.QueuedAttempt,
    now_ms: int,
    actions: Actions,
) -> None:
    """Rejects an attempt once its deadline cannot be met, before it passes."""
    left_ms = waiting.deadline_at_ms - now_ms
    needed_ms = target.load_delay_ms(waiting.adapter, now_ms)
    if left_ms > 0 and needed_ms < left_ms:
        return
    target.queue.remove(waiting.attempt_id)
    failure = result.Failure(
        result.DEADLINE_TOO_SHORT,
        f"its deadline would pass in the queue of {target.settings.name}",
        target.forecast.retry_after_ms(
            max(needed_ms, target_admission.COLD_RETRY_MS)
        ),
    )
    attempt = target.attempts[waiting.attempt_id]
    state_lib.reject_claimed(target, attempt, failure, now_ms, actions)
