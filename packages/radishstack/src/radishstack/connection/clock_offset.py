"""The difference between a peer's monotonic clock and this one."""

WINDOW_MS = 60_000


class ClockOffset:
    """The smallest transit seen lately tells the offset of two clocks.

    A frame that was held up on its way shows a larger difference than the
    smallest, so its age is seen and its deadline is not prolonged. Clocks
    drift, some seconds in a day, and a connection may last for days; so only
    the last one to two windows count, or deadlines would shrink with it.
    """

    __slots__ = ("_previous_min_ms", "_window_min_ms", "_window_start_ms")

    def __init__(self) -> None:
        """Starts with no estimate."""
        self._window_min_ms: int | None = None
        self._previous_min_ms: int | None = None
        self._window_start_ms = 0

    def observe(self, sent_at_ms: int, now_ms: int) -> None:
        """Learns from a frame's times.

        Args:
            sent_at_ms: When it was sent, on the peer's clock.
            now_ms: When it arrived, on this one.
        """
        difference_ms = now_ms - sent_at_ms
        if (
            self._window_min_ms is None
            or now_ms - self._window_start_ms >= WINDOW_MS
        ):
            self._previous_min_ms = self._window_min_ms
            self._window_min_ms = difference_ms
            self._window_start_ms = now_ms
        self._window_min_ms = min(self._window_min_ms, difference_ms)

    def to_local(self, at_ms: int) -> int:
        """Converts a time on the peer's clock to this one.

        Args:
            at_ms: The time; a frame must have been observed before.

        Returns:
            The time here, later than it truly was by the smallest transit
            and by what the clocks drifted apart within two windows.
        """
        if self._previous_min_ms is None:
            return at_ms + self._window_min_ms
        return at_ms + min(self._window_min_ms, self._previous_min_ms)
