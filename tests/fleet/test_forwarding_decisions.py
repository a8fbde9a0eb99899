"""Decisions after a failed send, and event streams, without I/O."""

import hypothesis
import hypothesis.strategies as st
from radishstack import invariant
from radishstack import result
from radishstack.request import event_stream
from radishstack.request import forwarding
from radishstack.version import route_table

Outcome = forwarding.Outcome
Step = forwarding.Step
PROVEN = (Outcome.UNSENT, Outcome.SHED, Outcome.MISMATCH, Outcome.GONE)


def _route(**fields: object) -> route_table.Route:
    values = {
        "name": "r",
        "host": "h",
        "path_prefix": "/",
        "repeat": route_table.Repeat.ONCE,
        "streams": False,
        "resumable": False,
        "timeout_ms": 1_000,
        "objective_ms": 300,
        "gap_objective_ms": 0,
        "priority": 0,
        "max_targets": 1,
        "shares": (route_table.WeightedService("s", 1.0),),
    }
    return route_table.Route(**(values | fields))


# Examples are the same in each run and have no time limit, so that a busy
# machine does not fail the test.
_EXAMPLES = hypothesis.settings(
    max_examples=600, derandomize=True, deadline=None, database=None
)


@_EXAMPLES
@hypothesis.given(
    outcomes=st.lists(st.sampled_from(list(Outcome)), min_size=1, max_size=12),
    repeats=st.booleans(),
    targets=st.integers(1, 3),
    left_ms=st.sampled_from([10, 900]),
    retry_allowed=st.booleans(),
)
def test_a_request_that_may_have_run_is_not_sent_again(
    outcomes: list[Outcome],
    repeats: bool,
    targets: int,
    left_ms: int,
    retry_allowed: bool,
) -> None:
    """Symptom: an actuator command is executed twice.

    Sequence: any mix of rejections, connection resets and stalls. Cause: an
    outcome that does not prove that the request did not run was treated as
    proof. After such an outcome the reply must not state "not run" either.
    """
    kind = route_table.Repeat.IDEMPOTENT if repeats else route_table.Repeat.ONCE
    state = forwarding.Forwarding(_route(repeat=kind, max_targets=targets))
    may_have_run = False
    for number, outcome in enumerate(outcomes):
        assert repeats or not may_have_run
        allowed = [
            name
            for name in (f"i{number}" for number in range(14))
            if state.allows(name)
        ]
        if not allowed:
            return
        # A target that was not reached yet is the stricter case.
        fresh = [name for name in allowed if name not in state.reached]
        instance = (fresh or allowed)[0]
        if outcome is not Outcome.UNSENT:
            state.record_send(instance, number)
        step = state.ended(
            instance, outcome, left_ms, retry_allowed=retry_allowed
        )
        may_have_run = may_have_run or outcome not in PROVEN
        if step is not Step.GIVE_UP:
            assert repeats or not may_have_run
            assert len(state.reached) <= targets
            continue
        if may_have_run:
            assert state.failure.executed is not result.Executed.NO
        else:
            assert state.failure.executed is result.Executed.NO
        return


def test_a_second_send_after_a_possible_run_breaks_the_invariant() -> None:
    """The invariant holds for every caller, and its error has the code."""
    state = forwarding.Forwarding(_route())
    state.record_send("i0", 1)
    state.ended("i0", Outcome.LOST, 500, retry_allowed=True)
    try:
        state.record_send("i1", 2)
    except invariant.InvariantBrokenError as error:
        assert error.code is result.SENT_AFTER_POSSIBLE_RUN
    else:
        raise AssertionError("it was sent again")


def test_the_longest_prefix_of_the_host_wins() -> None:
    """A host is compared without its port and case."""
    table = route_table.make_table(
        1,
        [
            _route(name="all", host="a.example", path_prefix="/"),
            _route(name="x", host="a.example", path_prefix="/x/"),
            _route(name="xy", host="a.example", path_prefix="/x/y/"),
        ],
        [],
        route_table.EMPTY.limits,
    )
    assert table.find("A.example:80", "/x/y/z").name == "xy"
    assert table.find("a.example", "/x/yz").name == "x"
    assert table.find("a.example", "/z").name == "all"
    assert table.find("b.example", "/x/") is None


@_EXAMPLES
@hypothesis.given(
    cuts=st.lists(st.integers(0, 200), max_size=4),
    sizes=st.lists(st.integers(1, 30), min_size=1, max_size=40),
    count=st.integers(1, 8),
)
def test_each_event_is_passed_once_however_the_stream_is_cut(
    cuts: list[int], sizes: list[int], count: int
) -> None:
    """Symptom: a text repeats or lacks a sentence after a resumption.

    Sequence: each response is cut at some byte, and the next one resumes after
    the last complete event or repeats some. Cause: bytes were counted instead
    of events.
    """
    events = [
        f"id: {number}\ndata: {number}\n\n".encode()
        for number in range(1, count + 1)
    ]
    stream = event_stream.EventStream()
    got = b""
    for cut in [*cuts, 10_000]:
        stream.restart()
        passed = int(stream.last_id or 0)
        answer = b"".join(events[max(0, passed - 1) :])[:cut]
        position = 0
        for size in sizes * 1_000:
            if position >= len(answer):
                break
            got += stream.feed(answer[position : position + size])
            position += size
    assert got == b"".join(events)
