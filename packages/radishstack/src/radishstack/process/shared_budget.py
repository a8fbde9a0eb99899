"""A retry budget that many processes share without messages.

The limit applies to all processes together: in any window, sends beyond the
first of each request stay below a ratio of the requests plus a fixed allowance.
Each process spends the ratio of the requests that it accepted itself and an
equal share of the allowance. The sum therefore stays below the limit even if
the load is uneven or a process is cut off.
"""

import collections


class SharedBudget:
    """One process's share of the budget for one service.

    Attributes:
        ratio: Extra sends that one request earns.
        window_ms: Length of the sliding window.
        part: This process' share of the fixed allowance, which shrinks as more
            processes become known.
    """

    __slots__ = ("_requests", "_spent", "part", "ratio", "window_ms")

    def __init__(self, ratio: float, part: float, window_ms: int) -> None:
        """Creates a budget with nothing spent.

        Args:
            ratio: Extra sends that one request earns.
            part: This process' share of the fixed allowance.
            window_ms: Length of the sliding window.
        """
        self.ratio = ratio
        self.part = part
        self.window_ms = window_ms
        self._requests: collections.deque[int] = collections.deque()
        self._spent: collections.deque[int] = collections.deque()

    def _drop_old(self, now_ms: int) -> None:
        oldest_ms = now_ms - self.window_ms
        for times in (self._requests, self._spent):
            while times and times[0] < oldest_ms:
                times.popleft()

    def earn(self, now_ms: int) -> None:
        """Counts a request."""
        self._drop_old(now_ms)
        self._requests.append(now_ms)

    def can_spend(self, now_ms: int) -> bool:
        """Whether the budget allows one more extra send."""
        self._drop_old(now_ms)
        allowed = self.ratio * len(self._requests) + self.part
        return len(self._spent) + 1 <= allowed

    def spend(self, now_ms: int) -> bool:
        """Spends one extra send; returns whether the budget allowed it."""
        if not self.can_spend(now_ms):
            return False
        self._spent.append(now_ms)
        return True
