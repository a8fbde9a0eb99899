"""Late second responses of targets, on connections that are used again."""

import collections
import dataclasses

import hypothesis
import hypothesis.strategies as st
from radishstack import invariant
from radishstack import result
from radishstack.request import attribution
from radishstack.request import forwarding
from radishstack.version import route_table
from standins import platform_engine

from tests.fleet import fixtures

MISDIRECTED = 421
UNAVAILABLE = 503
_EXAMPLES = hypothesis.settings(
    max_examples=500, derandomize=True, deadline=None, database=None
)
_ROUTE = route_table.Route(
    name="r",
    host="h",
    path_prefix="/",
    repeat=route_table.Repeat.ONCE,
    streams=False,
    resumable=False,
    timeout_ms=1_000,
    objective_ms=300,
    gap_objective_ms=0,
    priority=0,
    max_targets=1,
    shares=(route_table.WeightedService("s", 1.0),),
)


@dataclasses.dataclass(frozen=True, slots=True)
class _Step:
    """A send of an attempt on a connection, and what the target does.

    Attributes:
        attempt: Number of the attempt.
        connection: Number of the connection.
        answers_twice: Whether its response is sent again on the next request.
        echoes: Whether its responses echo the attempt id.
    """

    attempt: int
    connection: int
    answers_twice: bool
    echoes: bool


_steps = st.builds(
    _Step,
    attempt=st.integers(0, 2),
    connection=st.integers(0, 2),
    answers_twice=st.booleans(),
    echoes=st.booleans(),
)


@_EXAMPLES
@hypothesis.given(steps=st.lists(_steps, min_size=2, max_size=30))
def test_a_response_is_attributed_to_no_other_send(steps: list[_Step]) -> None:
    """Guards against a late second response that passes for a later one.

    Three attempts share three connections; a response may come once more, in
    place of the response to the next request on its connection.
    """
    sends = [forwarding.Forwarding(_ROUTE) for _ in range(3)]
    used: collections.Counter[int] = collections.Counter()
    due: dict[int, _Step] = {}
    for step in steps:
        state = sends[step.attempt]
        if step.connection in state.used_connections:
            continue
        state.record_send("i0", step.connection)
        used[step.connection] += 1
        late = due.pop(step.connection, None)
        for response in (late, step):
            if response is None:
                continue
            attributed = attribution.attribute(
                str(response.attempt) if response.echoes else None,
                str(step.attempt),
                is_first_request=used[step.connection] == 1,
            )
            if response is late:
                assert attributed is not attribution.Attribution.OWN
            elif step.echoes:
                assert attributed is attribution.Attribution.OWN
        if step.answers_twice:
            due[step.connection] = step


def test_an_attempt_uses_a_connection_once() -> None:
    """Guards against two sends of one attempt that share a connection."""
    state = forwarding.Forwarding(_ROUTE)
    state.record_send("i0", 7)
    state.ended("i0", forwarding.Outcome.MISMATCH, 500, retry_allowed=True)
    try:
        state.record_send("i0", 7)
    except invariant.InvariantBrokenError as error:
        assert error.code is result.CONNECTION_REUSED
    else:
        raise AssertionError("the connection was used again")


def _run_counts(fleet: fixtures.Fleet) -> collections.Counter[str]:
    return collections.Counter(
        attempt for target in fleet.targets.values() for attempt in target.ran
    )


def test_a_late_second_rejection_does_not_run_a_request_twice() -> None:
    """Guards against a second 421 that passes for that of the next send.

    The target has dropped the adapter and rejects the request. The adapter is
    loaded and the request sent again; the first rejection arrives once more
    while the request runs.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=1, plain=0) as fleet:
            [target] = fleet.targets.values()
            target.answers_twice = lambda request, status: status == MISDIRECTED
            for number in range(5):
                await fleet.call("/chat/x", adapter="a1", attempt=f"7{number}")
                target.adapters.pop("a1")
                attempt = f"8{number}"
                answer = await fleet.call(
                    "/chat/x", adapter="a1", attempt=attempt
                )
                assert answer.status == 200 and answer.whole, answer
                assert _run_counts(fleet)[attempt] == 1
            rejected = [one.attempt_id for one in target.seen]
            assert len(rejected) > len(set(rejected)), "none was sent again"

    fixtures.run(play)


def test_late_second_responses_of_any_status_reach_no_caller() -> None:
    """Guards against a response that reaches the next request's caller."""

    def fault_of(
        request: platform_engine.ReceivedRequest,
    ) -> platform_engine.Fault:
        number = int(request.attempt_id[1:]) % 4
        return (
            platform_engine.Fault.NONE,
            platform_engine.Fault.SHED,
            platform_engine.Fault.ERROR,
            platform_engine.Fault.PROMISE_AFTER_RUN,
        )[number]

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=1) as fleet:
            [target] = fleet.targets.values()
            target.answers_twice = lambda request, status: True
            target.fault = fault_of
            for number in range(24):
                attempt = f"9{number:02}"
                answer = await fleet.call("/book/1", attempt=attempt)
                assert answer.headers["x-attempt-id"] == attempt, answer
                ran = _run_counts(fleet)[attempt]
                assert ran == (number % 4 != 1), (number, ran)
                if answer.status == UNAVAILABLE:
                    assert not ran
                if number % 4 == 0:
                    assert answer.status == 200, answer
                    assert attempt.encode() in answer.body

    fixtures.run(play)


def test_a_rejection_without_an_id_proves_nothing_on_a_used_connection() -> (
    None
):
    """Guards against a second response that does not name its request."""
    unknown = attribution.attribute(None, "a", is_first_request=False)
    assert unknown is attribution.Attribution.UNKNOWN
    own = attribution.attribute(None, "a", is_first_request=True)
    assert own is attribution.Attribution.OWN
