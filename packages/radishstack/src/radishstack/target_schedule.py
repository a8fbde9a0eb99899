"""Decides what a target dispatches, loads and evicts next."""

from radishstack import invariant
from radishstack import result
from radishstack import target_event as event_lib
from radishstack import target_state as state_lib
from radishstack.process import fair_queue
from radishstack.process import residency as residency_lib
from radishstack.version import checks


def schedule(
    target: state_lib.TargetState, now_ms: int, actions: state_lib.Actions
) -> None:
    """Dispatches runnable attempts, then starts loads for waiting ones."""
    if not target.engine_up:
        return
    while len(target.running) < target.settings.max_running:
        waiting = target.queue.pop(
            lambda one: _can_run(target, one, now_ms), now_ms
        )
        if waiting is None:
            break
        _dispatch(target, waiting, now_ms, actions)
    if target.settings.kind is checks.TargetKind.ENGINE:
        _schedule_loads(target, now_ms, actions)


def _can_run(
    target: state_lib.TargetState,
    waiting: fair_queue.QueuedAttempt,
    now_ms: int,
) -> bool:
    if not waiting.adapter:
        return True
    adapter_state = target.residency.adapter_state(waiting.adapter, now_ms)
    return adapter_state is residency_lib.AdapterState.RESIDENT


def _dispatch(
    target: state_lib.TargetState,
    waiting: fair_queue.QueuedAttempt,
    now_ms: int,
    actions: state_lib.Actions,
) -> None:
    attempt = target.attempts[waiting.attempt_id]
    invariant.require(
        attempt.attempt_id not in target.closed_attempts,
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
    target.running[attempt.attempt_id] = state_lib.Running(
        attempt, grant, now_ms
    )
    target.running_by_customer[attempt.customer] += 1
    stalled_ms = now_ms - waiting.enqueued_at_ms if waiting.stalls else 0
    actions.append(event_lib.Dispatch(attempt, grant, stalled_ms))


def _schedule_loads(
    target: state_lib.TargetState, now_ms: int, actions: state_lib.Actions
) -> None:
    residency = target.residency
    if residency.loading_count() >= target.settings.max_parallel_loads:
        return
    for adapter in _adapters_to_load(target, now_ms):
        if residency.loading_count() >= target.settings.max_parallel_loads:
            return
        if residency.free_slots() <= 0:
            _start_eviction(target, now_ms, actions)
            continue
        if not target.budget.take(now_ms):
            return
        order = residency.begin_load(adapter, now_ms)
        actions.append(
            event_lib.StartLoad(adapter, residency.incarnation, order)
        )


def _adapters_to_load(target: state_lib.TargetState, now_ms: int) -> list[str]:
    """Returns the adapters to load, the most urgent first, warm ones last."""
    absent = residency_lib.AdapterState.ABSENT
    urgency: list[tuple[int, float, int, str]] = []
    for adapter in target.queue.adapters():
        if target.residency.adapter_state(adapter, now_ms) is not absent:
            continue
        waiting = target.queue.waiting_for(adapter)
        rank = min(fair_queue.effective_rank(one, now_ms) for one in waiting)
        weight = sum(0.1 + one.stall_weight for one in waiting)
        urgency.append((rank, -weight, waiting[0].enqueued_at_ms, adapter))
    to_load = [adapter for *_, adapter in sorted(urgency)]
    if not target.leaving:
        to_load.extend(
            adapter
            for adapter in sorted(target.warm)
            if adapter not in to_load
            and target.residency.adapter_state(adapter, now_ms) is absent
        )
    return to_load


def _start_eviction(
    target: state_lib.TargetState, now_ms: int, actions: state_lib.Actions
) -> None:
    """Starts to unload the least requested adapter, if any is evictable."""
    closing = sum(
        slot.adapter_state is residency_lib.AdapterState.CLOSING
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
