"""How long a request waits for its adapter, and when it is rejected."""

import random

from radishstack import result
from radishstack.process import placement as placement_lib
from radishstack.process import roster as roster_lib
from radishstack.request import waiting as waiting_lib

NOW_MS = 10_000
NOWHERE = placement_lib.Choice(None, None)


def _member() -> roster_lib.Member:
    listing = roster_lib.Listing("i1", "llm", "a:80", "north", False, 64)
    return roster_lib.Member(listing, roster_lib.Health())


def _waiting(
    *, left_ms: int = 5_000, begun: bool = False
) -> waiting_lib.AdapterWait:
    return waiting_lib.AdapterWait(
        "base/a1",
        began_ms=NOW_MS,
        left_ms=left_ms,
        due_at_ms=NOW_MS + 800,
        begun=begun,
        random_source=random.Random(1),
    )


def test_a_wait_that_cannot_succeed_is_rejected_at_once() -> None:
    """The retry delay lies within the predicted duration of the loads."""
    full = placement_lib.Choice(None, None, full_for_ms=900)
    step = _waiting().decide(full, any_usable=True, now_ms=NOW_MS)
    assert isinstance(step, result.Failure)
    assert step.executed is result.Executed.NO
    assert 450 <= step.retry_after_ms <= 900


def test_a_started_stream_is_never_rejected() -> None:
    """Symptom: a response is cut although another target could resume it.

    Sequence: a target crashes in the middle of a resumable stream, and the
    others have queued loads. Cause: the rules for new requests were applied to
    one that can no longer be rejected.
    """
    waiting = _waiting(begun=True)
    full = placement_lib.Choice(None, None, full_for_ms=900)
    for choice in (full, NOWHERE):
        step = waiting.decide(choice, any_usable=True, now_ms=NOW_MS + 4_000)
        assert isinstance(step, waiting_lib.Wait), step


def test_a_wait_leaves_time_for_a_second_try() -> None:
    """The wait is limited to a fraction of the caller's remaining time."""
    load = placement_lib.Choice(None, _member())
    for left_ms, bound_ms in ((1_000, 450), (15_000, 6_750)):
        waiting = _waiting(left_ms=left_ms)
        before_ms = NOW_MS + bound_ms - 1
        step = waiting.decide(load, any_usable=True, now_ms=before_ms)
        assert step == waiting_lib.Wait(1)
        after_ms = NOW_MS + bound_ms
        step = waiting.decide(load, any_usable=True, now_ms=after_ms)
        assert isinstance(step, result.Failure) and step.retry_after_ms


def test_the_wait_without_status_updates_is_short() -> None:
    """After a start, the first status updates of sidecars arrive shortly."""
    waiting = _waiting()
    step = waiting.decide(NOWHERE, any_usable=True, now_ms=NOW_MS)
    assert isinstance(step, waiting_lib.Wait)
    late_ms = NOW_MS + waiting_lib.NO_STATUS_WAIT_MS
    step = waiting.decide(NOWHERE, any_usable=True, now_ms=late_ms)
    assert isinstance(step, result.Failure)
    step = _waiting().decide(NOWHERE, any_usable=False, now_ms=NOW_MS)
    assert isinstance(step, waiting_lib.NoTarget)
