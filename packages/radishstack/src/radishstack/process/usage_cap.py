"""Usage cap of a client account."""

import dataclasses
import enum


class CostUnit(enum.StrEnum):
    """Unit in which a usage cap counts costs."""

    TOKEN = "token"
    REQUEST = "request"


@dataclasses.dataclass(frozen=True, slots=True)
class UsageCap:
    """Limit on the usage of an account at all gateways together.

    Attributes:
        rate_per_s: Sustained cost per second, in units.
        burst: Cost beyond the rate within any window, in units.
        unit: Unit of the costs.
        plain_cost: Cost of a request without a token count, if the unit is
            tokens.
    """

    rate_per_s: float
    burst: float
    unit: CostUnit = CostUnit.REQUEST
    plain_cost: float = 1.0

    def __str__(self) -> str:
        """Returns the cap in human-readable form."""
        return f"{self.rate_per_s:g}/s + {self.burst:g} {self.unit}s"

    def cost(self, token_count: int | None) -> float:
        """Returns the cost of a request.

        Args:
            token_count: Prompt tokens plus maximum output tokens, None if the
                request does not state them.
        """
        if self.unit is CostUnit.REQUEST:
            return 1.0
        return self.plain_cost if token_count is None else float(token_count)

    def limit(self, window_ms: int) -> float:
        """Returns the maximum total cost within a window of this length."""
        return self.rate_per_s * window_ms / 1_000 + self.burst
