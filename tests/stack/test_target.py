"""Regression tests for single failures of the target state machine."""

import random

from radishstack import attempt as attempt_lib
from radishstack import result
from radishstack import target as target_lib
from radishstack import target_event as event_lib
from radishstack.process import load_budget
from radishstack.request import resolve
from radishstack.version import checks
from radishstack.version import holder as holder_lib

from proofs import deployment

RETRY_WINDOW_MS = deployment.RETRY_WINDOW_MS


def _target(name: str, *, quarantine_ms: int = 0) -> target_lib.Target:
    engine = name in deployment.ENGINES
    kind = "engine" if engine else "plain"
    target = target_lib.Target(
        target_lib.TargetSettings(
            name=name,
            kind=checks.TargetKind(kind),
            slot_count=1,
            quarantine_ms=quarantine_ms,
        ),
        now_ms=0,
        random_source=random.Random(1),
        budget=load_budget.BudgetSettings(1_000.0, 100.0),
    )
    held = holder_lib.HeldVersion(1, "w1", deployment.initial_document())
    target.handle(event_lib.VersionActivated(held), 0)
    if engine:
        seen = event_lib.EngineObserved("1", frozenset(), 0)
        target.handle(seen, 0)
    return target


def _attempt(
    number: int, *, adapter: str = "", key: str = "", accepted_ms: int = 1
) -> attempt_lib.Attempt:
    return attempt_lib.Attempt(
        attempt_id=number.to_bytes(16, "big"),
        request_id=str(number),
        version=1,
        service="assist" if adapter else "book",
        customer="c1" if adapter else "c2",
        adapter=adapter,
        key=key,
        digest=b"d",
        accepted_at_ms=accepted_ms,
        deadline_at_ms=10_000,
        method="POST",
        path="/",
        content_type="",
        body=b"",
        streams=False,
    )


def _submit(
    target: target_lib.Target, attempt: attempt_lib.Attempt, now_ms: int
) -> event_lib.Action:
    return target.handle(event_lib.Submitted(attempt), now_ms)[0]


def _home_keys(name: str, count: int) -> list[str]:
    """Returns keys whose home is the given target."""
    targets = deployment.PLAIN_TARGETS[:2]
    keys = (f"k{index}" for index in range(1_000))
    mine = (k for k in keys if resolve.home_of("book", k, targets) == name)
    return [next(mine) for _ in range(count)]


def test_late_copy_of_a_refused_key_does_not_run() -> None:
    """A key that was answered with "not run" is not run by an older copy.

    Symptom: a booking is made although its caller was told that it was not.
    Sequence: a first copy is delayed in the network; a second copy is rejected
    because the customer has too many requests in flight; a run ends, so there
    is capacity again; the first copy arrives.
    """
    desk = _target("desk-1")
    keys = _home_keys("desk-1", 4)
    for number, key in enumerate(keys[:3]):
        action = _submit(desk, _attempt(number, key=key), 5)
        assert isinstance(action, event_lib.Dispatch)
    held_up = _attempt(10, key=keys[3], accepted_ms=6)
    rejected = _submit(desk, _attempt(11, key=keys[3], accepted_ms=7), 8)
    assert rejected.failure.code is result.CUSTOMER_LIMIT
    assert rejected.failure.executed is result.Executed.NO
    desk.handle(event_lib.RunEnded((0).to_bytes(16, "big")), 9)
    late = _submit(desk, held_up, 10)
    assert isinstance(late, event_lib.Reject)
    again = _submit(desk, _attempt(12, key=keys[3], accepted_ms=11), 12)
    assert isinstance(again, event_lib.Dispatch)


def test_grant_of_a_former_incarnation_is_ignored() -> None:
    """The end of an old run does not release the grant of a new one.

    Symptom: an adapter is unloaded under a running request. Sequence: an engine
    restarts and has the adapter loaded again; a request runs on it; only then
    is the end of a run from before the restart observed.
    """
    engine = _target("engine-1")
    load = _submit(engine, _attempt(1, adapter="a1@1"), 1)
    engine.handle(event_lib.Loaded("a1@1", "1", load.order), 2)
    seen = event_lib.EngineObserved("2", frozenset({"a1@1"}), 10)
    engine.handle(seen, 10)
    action = _submit(engine, _attempt(2, adapter="a1@1"), 11)
    assert isinstance(action, event_lib.Dispatch)
    engine.handle(event_lib.RunEnded((1).to_bytes(16, "big")), 12)
    assert engine.residency.slots["a1@1"].grants == 1
    other = engine.handle(event_lib.Submitted(_attempt(3, adapter="a2@1")), 13)
    assert not any(isinstance(one, event_lib.StartUnload) for one in other)


def test_load_answered_by_another_incarnation_is_ignored() -> None:
    """A load by an engine whose restart was not observed gives no grants."""
    engine = _target("engine-1")
    load = _submit(engine, _attempt(1, adapter="a1@1"), 1)
    actions = engine.handle(event_lib.Loaded("a1@1", "2", load.order), 2)
    assert actions == []
    seen = event_lib.EngineObserved("2", frozenset({"a1@1"}), 3)
    dispatched = engine.handle(seen, 3)
    assert [type(one) for one in dispatched] == [event_lib.Dispatch]
    assert dispatched[0].grant.incarnation == "2"


def test_restarted_home_answers_unknown_until_quarantine_ends() -> None:
    """An empty ledger is no proof that a key never ran."""
    desk = _target("desk-1", quarantine_ms=RETRY_WINDOW_MS)
    key = _home_keys("desk-1", 1)[0]
    early = _submit(desk, _attempt(1, key=key), 5)
    assert early.failure.code is result.KEY_QUARANTINED
    assert early.failure.executed is result.Executed.UNKNOWN
    assert early.failure.retry_after_ms == RETRY_WINDOW_MS - 5


def test_deadline_that_cannot_be_met_is_rejected_at_once() -> None:
    """A request does not wait in the queue until just before its deadline."""
    engine = _target("engine-1")
    engine.residency.load_estimate_ms = 20_000.0
    rejected = _submit(engine, _attempt(1, adapter="a1@1"), 1)
    assert rejected.failure.code is result.DEADLINE_TOO_SHORT
    assert rejected.failure.retry_after_ms > 0


def test_waiting_requests_share_one_load() -> None:
    """Waiting requests of one adapter share one load."""
    engine = _target("engine-1")
    actions = []
    for number in range(5):
        event = event_lib.Submitted(_attempt(number, adapter="a1@1"))
        actions += engine.handle(event, 1)
    assert [type(one) for one in actions] == [event_lib.StartLoad]
    done = engine.handle(event_lib.Loaded("a1@1", "1", actions[0].order), 50)
    assert [type(one) for one in done] == [event_lib.Dispatch] * 5
