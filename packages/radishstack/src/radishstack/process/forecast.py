"""What a target expects: run times, waits, when callers should come back."""

import random

RUN_ESTIMATE_FIRST_MS = 500.0
RUN_ESTIMATE_WEIGHT = 0.05
RETRY_AFTER_MIN_MS = 50
RETRY_AFTER_MAX_MS = 60_000


class Forecast:
    """Estimates of one target, learned from its own runs."""

    def __init__(
        self, *, max_running: int, random_source: random.Random
    ) -> None:
        """Starts from a guess.

        Args:
            max_running: How many attempts the target runs at once.
            random_source: Spreads the callers' return.
        """
        self.max_running = max_running
        self.run_estimate_ms = RUN_ESTIMATE_FIRST_MS
        self._random = random_source

    def observe_run(self, took_ms: int) -> None:
        """Learns from a run that ended."""
        self.run_estimate_ms += RUN_ESTIMATE_WEIGHT * (
            took_ms - self.run_estimate_ms
        )

    def wait_ms(self, *, queued: int, running: int) -> int:
        """Predicts how long an attempt that queues now waits for a place."""
        ahead = queued + running - self.max_running + 1
        if ahead <= 0:
            return 0
        return round(ahead * self.run_estimate_ms / self.max_running)

    def retry_after_ms(self, base_ms: float) -> int:
        """Computes when a refused caller should come back.

        Callers that were refused together would come back together; the
        answer is drawn between half and one and a half of the base.

        Args:
            base_ms: When there should be room.

        Returns:
            Milliseconds, within sane bounds.
        """
        jittered_ms = base_ms * self._random.uniform(0.5, 1.5)
        return round(
            min(max(jittered_ms, RETRY_AFTER_MIN_MS), RETRY_AFTER_MAX_MS)
        )
