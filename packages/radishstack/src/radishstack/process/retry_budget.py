"""Limits retries to a fraction of first attempts, against retry storms."""

DEFAULT_RATIO = 0.2
DEFAULT_RESERVE = 10.0


class RetryBudget:
    """A budget that first attempts fill and retries spend.

    When a failure domain is lost, every request needs several attempts at once.
    The budget caps the additional load at a fixed fraction of the callers' own.
    """

    __slots__ = ("_ratio", "_reserve", "_tokens", "spent")

    def __init__(
        self,
        ratio: float = DEFAULT_RATIO,
        reserve: float = DEFAULT_RESERVE,
    ) -> None:
        """Creates a full budget.

        Args:
            ratio: Retries earned by one first attempt.
            reserve: Most retries that the budget holds.
        """
        self._ratio = ratio
        self._reserve = reserve
        self._tokens = reserve
        self.spent = 0

    def earn(self) -> None:
        """Counts a first attempt."""
        self._tokens = min(self._reserve, self._tokens + self._ratio)

    def spend(self) -> bool:
        """Spends one retry; returns whether the budget had one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        self.spent += 1
        return True
