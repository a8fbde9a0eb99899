"""Limits how fast one process starts adapter loads; no safety depends on it.

The weight store serves the whole site at a bounded rate and queues loads above
it, first come first served. A static split of that rate between processes
starves the process that has the demand (``docs/design/load-budget.md``), so
each may use the whole rate. A limit on parallel loads keeps the store's queue
short; further loads wait at the target, which orders them by deadline and
priority class.
"""

import dataclasses

MS_PER_S = 1000.0


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetSettings:
    """The load rate that the weight store allows.

    Attributes:
        rate_per_s: Loads per second.
        burst: Loads that one process may start at once after an idle time.
    """

    rate_per_s: float = 4.0
    burst: float = 3.0


class LoadBudget:
    """A token bucket for adapter loads."""

    def __init__(self, settings: BudgetSettings, now_ms: int) -> None:
        """Creates a full bucket."""
        self.settings = settings
        self._tokens = settings.burst
        self._at_ms = now_ms

    def _refill(self, now_ms: int) -> None:
        elapsed_ms = max(0, now_ms - self._at_ms)
        self._at_ms = now_ms
        gained = elapsed_ms * self.settings.rate_per_s / MS_PER_S
        self._tokens = min(self.settings.burst, self._tokens + gained)

    def delay_ms(self, now_ms: int) -> int:
        """Returns how long until one more load may start."""
        self._refill(now_ms)
        if self._tokens >= 1.0:
            return 0
        missing = 1.0 - self._tokens
        return round(missing * MS_PER_S / self.settings.rate_per_s) + 1

    def take(self, now_ms: int) -> bool:
        """Takes a token for one load; returns whether there was one."""
        self._refill(now_ms)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
