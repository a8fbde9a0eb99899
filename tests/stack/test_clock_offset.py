"""Conversion of a peer's times despite delays and clock drift."""

from radishstack.connection import clock_offset

TRANSIT_MS = 2
DAY_MS = 86_400_000


def test_delayed_frame_does_not_extend_its_deadline() -> None:
    """A frame that waited during a process pause keeps its deadline.

    Guards against running a request after its caller timed out: a submission
    waits for five seconds in the socket of a frozen process.
    """
    offset = clock_offset.ClockOffset()
    offset.observe(1_000, 501_000 + TRANSIT_MS)
    sent_at_ms, deadline_at_ms = 2_000, 3_000
    now_ms = 502_000 + TRANSIT_MS + 5_000
    offset.observe(sent_at_ms, now_ms)
    assert offset.to_local(deadline_at_ms) < now_ms


def test_clock_drift_does_not_shorten_deadlines() -> None:
    """A peer's slow clock must not make deadlines appear expired.

    Guards against rejections that increase over days until a process is
    restarted. With an estimate that is never renewed, the smallest difference
    is from the first day, and a clock that is 100 ppm slow loses 8.6 s a day.
    """
    offset = clock_offset.ClockOffset()
    for now_ms in range(0, 3 * DAY_MS, 30_000):
        sent_at_ms = round(now_ms * (1 - 100e-6))
        offset.observe(sent_at_ms, now_ms + TRANSIT_MS)
    deadline_at_ms = sent_at_ms + 1_000
    assert 980 <= offset.to_local(deadline_at_ms) - now_ms <= 1_010
