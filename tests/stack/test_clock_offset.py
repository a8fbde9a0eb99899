"""Times of another process, through delays and drift."""

from radishstack.connection import clock_offset

TRANSIT_MS = 2
DAY_MS = 86_400_000


def test_delayed_frame_does_not_extend_its_deadline() -> None:
    """A frame from before a freeze shows its age.

    Symptom: a call executed after its caller had given up. Sequence: a
    submission waits in the socket of a frozen process for five seconds.
    """
    offset = clock_offset.ClockOffset()
    offset.observe(1_000, 501_000 + TRANSIT_MS)
    sent_at_ms, deadline_at_ms = 2_000, 3_000
    now_ms = 502_000 + TRANSIT_MS + 5_000
    offset.observe(sent_at_ms, now_ms)
    assert offset.to_local(deadline_at_ms) < now_ms


def test_clock_drift_does_not_shorten_deadlines() -> None:
    """A peer's slow clock must not make every deadline look past.

    Symptom: refusals that grow over days until a process is restarted.
    Sequence: the smallest difference was seen on the first day; the peer's
    clock is 100 parts in a million slow, 8.6 s a day. Cause: an estimate
    that is never renewed.
    """
    offset = clock_offset.ClockOffset()
    for now_ms in range(0, 3 * DAY_MS, 30_000):
        sent_at_ms = round(now_ms * (1 - 100e-6))
        offset.observe(sent_at_ms, now_ms + TRANSIT_MS)
    deadline_at_ms = sent_at_ms + 1_000
    assert 980 <= offset.to_local(deadline_at_ms) - now_ms <= 1_010
