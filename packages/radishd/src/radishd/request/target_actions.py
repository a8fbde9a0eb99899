"""Performs the actions that a target decides on, by type of action."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from radishstack import result
from radishstack import target_event as event_lib
from radishstack.connection import frame

from radishd.process import clock

if TYPE_CHECKING:
    from radishd import target as target_lib


# Each action's class is passed to ``register``, which would otherwise resolve
# the annotations and fail: only type checkers import ``TargetProcess``.
@functools.singledispatch
def perform(action: object, process: target_lib.TargetProcess) -> None:
    """Performs one action that a target decided on.

    Args:
        action: The action.
        process: The process that provides sockets and clocks.
    """
    raise TypeError(f"unknown action {action!r}")


@perform.register(event_lib.Dispatch)
def _dispatch(
    action: event_lib.Dispatch, process: target_lib.TargetProcess
) -> None:
    serving = process.servings[action.attempt.attempt_id]
    serving.heard_at_ms = clock.now_ms()
    if action.stalled_ms:
        labels = {"service": action.attempt.service}
        process.metrics.stalled.inc(labels)
        process.metrics.stall_ms.add(labels, action.stalled_ms)
    process.tasks.start_soon(process.run_attempt, action.attempt, serving)


@perform.register(event_lib.Reject)
def _refuse(
    action: event_lib.Reject, process: target_lib.TargetProcess
) -> None:
    process.metrics.refusals.inc({"code": str(action.failure.code.number)})
    serving = process.servings.get(action.attempt_id)
    if serving is not None:
        serving.reject(action.failure, process.load())
    process.drop(action.attempt_id)


@perform.register(event_lib.Join)
def _join(action: event_lib.Join, process: target_lib.TargetProcess) -> None:
    if action.attempt_id == action.owner_id:
        return
    joining = process.servings.pop(action.attempt_id, None)
    owner = process.servings.get(action.owner_id)
    if joining is None:
        return
    if owner is None or not owner.run.whole:
        failure = result.Failure(
            result.ANSWER_NOT_KEPT,
            "this key ran, and its answer was too large to keep",
        )
        joining.reject(failure, process.load())
        process.owners.pop(action.attempt_id, None)
        return
    process.owners[action.attempt_id] = action.owner_id
    for reader in list(joining.run.readers):
        owner.attach(reader, 0)
    owner.flush(process.load())


@perform.register(event_lib.AskPriorHomes)
def _ask_priors(
    action: event_lib.AskPriorHomes, process: target_lib.TargetProcess
) -> None:
    process.tasks.start_soon(process.ask_prior_homes, action)


@perform.register(event_lib.AnswerSeal)
def _answer_seal(
    action: event_lib.AnswerSeal, process: target_lib.TargetProcess
) -> None:
    writer, stream = process.seals.pop(action.seal_id)
    writer.write(frame.encode(stream, frame.Sealed(int(action.answer))))


@perform.register(event_lib.StartLoad)
def _start_load(
    action: event_lib.StartLoad, process: target_lib.TargetProcess
) -> None:
    process.tasks.start_soon(process.run_load, action)


@perform.register(event_lib.StartUnload)
def _start_unload(
    action: event_lib.StartUnload, process: target_lib.TargetProcess
) -> None:
    process.tasks.start_soon(process.run_unload, action)


@perform.register(event_lib.Abort)
def _abort(action: event_lib.Abort, process: target_lib.TargetProcess) -> None:
    serving = process.servings.get(action.attempt_id)
    if serving is not None:
        serving.failure = action.failure
        serving.scope.cancel()


@perform.register(event_lib.DropAnswers)
def _forget(
    action: event_lib.DropAnswers, process: target_lib.TargetProcess
) -> None:
    for attempt_id in action.attempt_ids:
        process.drop(attempt_id)
