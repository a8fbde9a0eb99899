"""Decides whether a target admits an attempt, and when to retry if not."""

from radishstack import attempt as attempt_lib
from radishstack import invariant
from radishstack import result
from radishstack import target_event as event_lib
from radishstack import target_state as state_lib
from radishstack.process import fair_queue
from radishstack.process import ledger as ledger_lib
from radishstack.process import residency as residency_lib
from radishstack.request import resolve

COLD_RETRY_MS = 1_000
SHORT_RETRY_MS = 100
UNKNOWN_RETRY_MS = 2_000


def submit(
    target: state_lib.TargetState,
    attempt: attempt_lib.Attempt,
    now_ms: int,
    actions: state_lib.Actions,
) -> None:
    """Admits an attempt, joins it to a run of the same key or rejects it.

    Args:
        target: The target.
        attempt: The attempt.
        now_ms: Now.
        actions: List that the resulting actions are appended to.
    """
    known = target.closed_attempts.get(attempt.attempt_id)
    if known is not None:
        actions.append(event_lib.Reject(attempt.attempt_id, known))
        return
    if attempt.attempt_id in target.attempts:
        actions.append(event_lib.Join(attempt.attempt_id, attempt.attempt_id))
        return
    failure = _check_assumption(target, attempt)
    if failure is not None:
        state_lib.reject(target, attempt, failure, actions)
        return
    target.popularity.touch(attempt.adapter, now_ms)
    if attempt.key:
        _submit_keyed(target, attempt, now_ms, actions)
        return
    failure = _check_capacity(target, attempt, now_ms)
    if failure is not None:
        state_lib.reject(target, attempt, failure, actions)
        return
    _enqueue(target, attempt, now_ms)


def _check_assumption(
    target: state_lib.TargetState, attempt: attempt_lib.Attempt
) -> result.Failure | None:
    """Checks that the entry daemon's assumptions hold in this version.

    The check covers only the state that the attempt depends on, not whether
    anything else changed (state-based validation). The rejection of a keyed
    attempt proves nothing about its key, which another home may have run.
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
            SHORT_RETRY_MS,
        )
    if attempt.key and target.settings.name != resolve.home_of(
        service.name, attempt.key, service.targets
    ):
        return result.Failure(
            result.NOT_HOME,
            f"another target is home of this key in version "
            f"{target.held.version}",
            SHORT_RETRY_MS,
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
            SHORT_RETRY_MS,
            proof,
        )
    return None


def _submit_keyed(
    target: state_lib.TargetState,
    attempt: attempt_lib.Attempt,
    now_ms: int,
    actions: state_lib.Actions,
) -> None:
    key = (attempt.service, attempt.key)
    decision = target.ledger.decide(
        key,
        digest=attempt.digest,
        accepted_at_ms=attempt.accepted_at_ms,
        now_ms=now_ms,
    )
    match decision.verdict:
        case ledger_lib.Verdict.JOIN:
            actions.append(
                event_lib.Join(attempt.attempt_id, decision.record.attempt_id)
            )
        case ledger_lib.Verdict.CLAIM:
            _claim(target, attempt, decision.record, now_ms, actions)
        case verdict:
            failure = _explain_verdict(target, verdict, now_ms)
            state_lib.reject(target, attempt, failure, actions)


def _explain_verdict(
    target: state_lib.TargetState, verdict: ledger_lib.Verdict, now_ms: int
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
                SHORT_RETRY_MS,
                # The key did not run here, but this record does not show
                # whether it ran on a former home.
                result.Executed.UNKNOWN,
            )
        case _:
            return result.Failure(
                result.LEDGER_FULL,
                "the home of this key remembers as many keys as it can",
                target.forecast.retry_after_ms(UNKNOWN_RETRY_MS),
            )


def _claim(
    target: state_lib.TargetState,
    attempt: attempt_lib.Attempt,
    record: ledger_lib.Record | None,
    now_ms: int,
    actions: state_lib.Actions,
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
        target.awaiting_prior_homes[attempt.attempt_id] = attempt
        actions.append(
            event_lib.AskPriorHomes(
                attempt.attempt_id, (attempt.service, attempt.key), priors
            )
        )
        return
    _admit_claimed(target, attempt, now_ms, actions)


def _prior_homes(
    target: state_lib.TargetState,
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
    target: state_lib.TargetState,
    attempt: attempt_lib.Attempt,
    now_ms: int,
    actions: state_lib.Actions,
) -> None:
    failure = _check_capacity(target, attempt, now_ms)
    if failure is not None:
        state_lib.reject_claimed(target, attempt, failure, now_ms, actions)
        return
    _enqueue(target, attempt, now_ms)


def _check_capacity(
    target: state_lib.TargetState, attempt: attempt_lib.Attempt, now_ms: int
) -> result.Failure | None:
    """Returns why an attempt is not admitted, None if it is."""
    if target.leaving:
        return result.Failure(
            result.TARGET_LEAVING,
            f"{target.settings.name} is leaving",
            SHORT_RETRY_MS,
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
    target: state_lib.TargetState, attempt: attempt_lib.Attempt
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
    in_flight = (
        target.queue.count_customer(customer.name)
        + target.running_by_customer[customer.name]
    )
    if in_flight >= customer.max_in_flight:
        return result.Failure(
            result.CUSTOMER_LIMIT,
            f"{customer.name} has {customer.max_in_flight} attempts in flight "
            f"at {target.settings.name}",
            retry_after_ms,
        )
    return None


def _check_deadline(
    target: state_lib.TargetState, attempt: attempt_lib.Attempt, now_ms: int
) -> result.Failure | None:
    left_ms = attempt.deadline_at_ms - now_ms
    adapter_state = target.residency.adapter_state(attempt.adapter, now_ms)
    if attempt.adapter and adapter_state is residency_lib.AdapterState.FAILED:
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


def _enqueue(
    target: state_lib.TargetState, attempt: attempt_lib.Attempt, now_ms: int
) -> None:
    invariant.require(
        not target.leaving,
        result.ADMITTED_WHILE_LEAVING,
        f"admission of {attempt.attempt_id.hex()}",
    )
    service = target.service(attempt.service)
    customer = target.held.document.customers[service.customer]
    target.attempts[attempt.attempt_id] = attempt
    target.queue.push(
        fair_queue.QueuedAttempt(
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
            and target.residency.adapter_state(attempt.adapter, now_ms)
            is not residency_lib.AdapterState.RESIDENT,
        )
    )


def handle_prior_homes_answer(
    target: state_lib.TargetState,
    event: event_lib.PriorHomesAnswered,
    now_ms: int,
    actions: state_lib.Actions,
) -> None:
    """Continues with a key once its former homes have answered."""
    attempt = target.awaiting_prior_homes.pop(event.attempt_id, None)
    if attempt is None:
        return
    key = (attempt.service, attempt.key)
    if event.answer is ledger_lib.SealReply.SEALED:
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
    if event.answer is ledger_lib.SealReply.RAN:
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
    state_lib.reject_claimed(target, attempt, failure, now_ms, actions)
