"""The offset between a peer's monotonic clock and the local one."""

WINDOW_MS = 60_000


class ClockOffset:
    """Estimates the offset between two clocks from the smallest transit time.

    A delayed frame shows a larger difference than the smallest one, so its age
    is known and its deadline is not extended. Only the last one to two windows
    are used: clocks drift by some seconds a day and a connection can last for
    days, so with an older minimum deadlines would shrink.
    """

    __slots__ = ("_previous_min_ms", "_window_min_ms", "_window_start_ms")

    def __init__(self) -> None:
        """Creates an offset without an estimate."""
        self._window_min_ms: int | None = None
        self._previous_min_ms: int | None = None
        self._window_start_ms = 0

    def observe(self, sent_at_ms: int, now_ms: int) -> None:
        """Updates the estimate with the times of a frame.

        Args:
            sent_at_ms: Send time on the peer's clock.
            now_ms: Arrival time on the local clock.
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
        """Converts a time on the peer's clock to the local clock.

        Args:
            at_ms: The time; at least one frame must have been observed.

        Returns:
            The local time. It is late by the smallest transit time and by the
            clock drift within two windows.
        """
        if self._previous_min_ms is None:
            return at_ms + self._window_min_ms
        return at_ms + min(self._window_min_ms, self._previous_min_ms)
