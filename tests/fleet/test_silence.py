"""How long a response may stall before its request is moved, without I/O."""

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


def test_a_stalled_stream_is_moved_before_the_objective_is_missed() -> None:
    """No other stream of the engine progresses, and none has stalled before."""
    assert _allowed_ms(roster.Health()) == 240


def test_a_stall_is_tolerated_while_other_streams_progress() -> None:
    """The engine prefills a prompt while its other streams progress."""
    health = roster.Health()
    health.record_progress(20, NOW_MS - 100)
    assert _allowed_ms(health) == 960


def test_the_usual_pauses_of_an_engine_are_tolerated() -> None:
    """The estimate follows the observed pauses and decays as they shorten."""
    health = roster.Health()
    health.record_progress(500, NOW_MS - 2_000)
    assert _allowed_ms(health) == 750
    for _ in range(100):
        health.record_progress(20, NOW_MS - 1_000)
    assert _allowed_ms(health) == 240


def test_the_objective_bounds_the_wait_for_the_first_event() -> None:
    """Pauses of the engine's streams are ignored before the first event."""
    health = roster.Health()
    health.record_progress(500, NOW_MS)
    assert _allowed_ms(health, begun=False) == 750
    short = dataclasses.replace(ROUTE, objective_ms=100)
    allowed_ms = silence.allowed_ms(short, health, begun=False, now_ms=NOW_MS)
    assert allowed_ms == silence.MIN_STALL_MS
