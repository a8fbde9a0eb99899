"""Sum over a sliding window, in bounded memory."""

import bisect


class SlidingSum:
    """Sums costs over the last window.

    Costs are grouped by time steps. Each cost counts for the length of the
    window and up to one step longer, so that the result is never too small.
    """

    __slots__ = ("_costs", "_starts_ms", "_step_ms", "_total", "_window_ms")

    def __init__(self, window_ms: int, step_ms: int = 50) -> None:
        """Starts at zero.

        Args:
            window_ms: Length of the window.
            step_ms: Length of the steps.
        """
        self._window_ms = window_ms
        self._step_ms = step_ms
        self._starts_ms: list[int] = []
        self._costs: list[float] = []
        self._total = 0.0

    def add(self, cost: float, at_ms: int) -> None:
        """Adds a cost at a time, which may be earlier than that of others."""
        start_ms = at_ms - at_ms % self._step_ms
        index = bisect.bisect_left(self._starts_ms, start_ms)
        is_known = (
            index < len(self._starts_ms) and self._starts_ms[index] == start_ms
        )
        if is_known:
            self._costs[index] += cost
        else:
            self._starts_ms.insert(index, start_ms)
            self._costs.insert(index, cost)
        self._total += cost

    def total(self, now_ms: int) -> float:
        """Returns the sum over the window that ends now."""
        expired = bisect.bisect_right(
            self._starts_ms, now_ms - self._window_ms - self._step_ms
        )
        if expired:
            del self._starts_ms[:expired]
            del self._costs[:expired]
            # Recomputed, so that rounding errors do not accumulate.
            self._total = sum(self._costs)
        return self._total

    def wait_ms(self, limit: float, now_ms: int) -> int:
        """Returns the time until the sum is at most a limit, if none is added.

        Args:
            limit: The limit.
            now_ms: Now.
        """
        total = self.total(now_ms)
        for start_ms, cost in zip(self._starts_ms, self._costs, strict=True):
            if total <= limit:
                break
            total -= cost
            expires_ms = start_ms + self._step_ms + self._window_ms
            if total <= limit:
                return max(0, expires_ms - now_ms)
        return 0
