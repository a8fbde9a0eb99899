"""How long a target may be silent, without I/O."""

import dataclasses

from radishstack.process import roster
from radishstack.request import silence
from radishstack.version import route_table

NOW_MS = 10_000
ROUTE = route_table.Route(
    name="r",
    host="h",
    path_prefix="/",
    repeat=route_table.Repeat.ONCE,
    streams=True,
    resumable=True,
    timeout_ms=20_000,
    objective_ms=1_000,
    gap_objective_ms=300,
    priority=0,
    max_targets=2,
    shares=(),
)


def _allowed_ms(health: roster.Health, *, begun: bool = True) -> float:
    return silence.allowed_ms(ROUTE, health, begun=begun, now_ms=NOW_MS)


def test_a_quiet_engine_is_left_before_the_pause_is_late() -> None:
    """No stream of it goes on, and none has paused before."""
    assert _allowed_ms(roster.Health()) == 240


def test_a_pause_of_one_stream_is_no_reason_to_leave() -> None:
    """Load pattern: an engine reads a prompt, its other streams go on."""
    health = roster.Health()
    health.record_progress(20, NOW_MS - 100)
    assert _allowed_ms(health) == 960


def test_pauses_that_are_usual_at_an_engine_are_waited_for() -> None:
    """Learned from its streams, and forgotten as they get shorter."""
    health = roster.Health()
    health.record_progress(500, NOW_MS - 2_000)
    assert _allowed_ms(health) == 750
    for _ in range(100):
        health.record_progress(20, NOW_MS - 1_000)
    assert _allowed_ms(health) == 240


def test_before_the_first_event_the_objective_counts() -> None:
    """Whatever pauses its streams make later."""
    health = roster.Health()
    health.record_progress(500, NOW_MS)
    assert _allowed_ms(health, begun=False) == 750
    short = dataclasses.replace(ROUTE, objective_ms=100)
    allowed_ms = silence.allowed_ms(short, health, begun=False, now_ms=NOW_MS)
    assert allowed_ms == silence.MIN_SILENCE_MS
