"""Request rates of adapters, with exponential decay."""

import math

DEFAULT_HALF_LIFE_MS = 60_000
FORGET_BELOW = 0.01
IDLE_WEIGHT = 0.5
SWEEP_ABOVE = 4_096


class Popularity:
    """Decayed counts of requests by adapter."""

    __slots__ = ("_decay_per_ms", "_heat")

    def __init__(self, half_life_ms: int = DEFAULT_HALF_LIFE_MS) -> None:
        """Creates an empty table.

        Args:
            half_life_ms: Time after which a count has decayed to half.
        """
        self._decay_per_ms = math.log(2) / half_life_ms
        self._heat: dict[str, tuple[float, int]] = {}

    def touch(self, adapter: str, now_ms: int) -> None:
        """Counts one request."""
        self._heat[adapter] = (self.heat(adapter, now_ms) + 1.0, now_ms)
        if len(self._heat) > SWEEP_ABOVE:
            self._sweep(now_ms)

    def heat(self, adapter: str, now_ms: int) -> float:
        """Returns the decayed count of an adapter."""
        entry = self._heat.get(adapter)
        if entry is None:
            return 0.0
        value, at_ms = entry
        return value * math.exp((at_ms - now_ms) * self._decay_per_ms)

    def value(self, adapter: str, now_ms: int) -> float:
        """Estimates the future request rate of an adapter.

        With the decayed count alone, an adapter that has become idle would be
        kept for as long as it was busy. A busy adapter without requests for
        several of its own request intervals has most likely become idle, so
        the estimate is discounted by how unlikely that idle time is.

        Args:
            adapter: ``name@version``.
            now_ms: Now.

        Returns:
            Requests per millisecond.
        """
        entry = self._heat.get(adapter)
        if entry is None:
            return 0.0
        rate = self.heat(adapter, now_ms) * self._decay_per_ms
        idle_ms = now_ms - entry[1]
        return rate * math.exp(-IDLE_WEIGHT * rate * idle_ms)

    def _sweep(self, now_ms: int) -> None:
        cold = [
            adapter
            for adapter in self._heat
            if self.heat(adapter, now_ms) < FORGET_BELOW
        ]
        for adapter in cold:
            del self._heat[adapter]
