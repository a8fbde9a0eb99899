"""A share of the site's rate of adapter loads; soft, never needed for safety.

Over-subscription only makes the weight store slower, so a process that hears
from nobody falls back to its static share.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetSettings:
    """The weight store's allowance and how it is cut.

    Attributes:
        site_rate_per_s: Loads per second the weight store allows.
        sharers: How many target processes share it.
        burst: Loads one process may start at once after a pause.
    """

    site_rate_per_s: float = 4.0
    sharers: int = 9
    burst: float = 3.0


class LoadBudget:
    """A token bucket over one process's share."""

    def __init__(self, settings: BudgetSettings, now_ms: int) -> None:
        """Starts with a full bucket."""
        self.settings = settings
        self.rate_per_s = settings.site_rate_per_s / max(1, settings.sharers)
        self._tokens = settings.burst
        self._at_ms = now_ms

    def _refill(self, now_ms: int) -> None:
        elapsed_ms = max(0, now_ms - self._at_ms)
        self._at_ms = now_ms
        gained = elapsed_ms * self.rate_per_s / 1000.0
        self._tokens = min(self.settings.burst, self._tokens + gained)

    def set_share(self, share: float, now_ms: int) -> None:
        """Sets this process's share of the site's rate, 0 to 1."""
        self._refill(now_ms)
        self.rate_per_s = self.settings.site_rate_per_s * share

    def delay_ms(self, now_ms: int) -> int:
        """Returns how long until one more load may start."""
        self._refill(now_ms)
        if self._tokens >= 1.0:
            return 0
        return round((1.0 - self._tokens) * 1000.0 / self.rate_per_s) + 1

    def take(self, now_ms: int) -> bool:
        """Takes one load, if the budget has it."""
        self._refill(now_ms)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
