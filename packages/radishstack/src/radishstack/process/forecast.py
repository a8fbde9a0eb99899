"""Estimates of a target's run times, queue waits and retry delays."""

import random

RUN_ESTIMATE_FIRST_MS = 500.0
RUN_ESTIMATE_WEIGHT = 0.05
RETRY_AFTER_MIN_MS = 50
RETRY_AFTER_MAX_MS = 60_000


class Forecast:
    """Estimates for one target from its own runs."""

    def __init__(
        self, *, max_running: int, random_source: random.Random
    ) -> None:
        """Creates a forecast with a default run time.

        Args:
            max_running: How many attempts the target runs at once.
            random_source: Spreads the retry delays.
        """
        self.max_running = max_running
        self.run_estimate_ms = RUN_ESTIMATE_FIRST_MS
        self._random = random_source

    def observe_run(self, took_ms: int) -> None:
        """Updates the estimated run time from a run that ended."""
        self.run_estimate_ms += RUN_ESTIMATE_WEIGHT * (
            took_ms - self.run_estimate_ms
        )

    def wait_ms(self, *, queued: int, running: int) -> int:
        """Predicts how long an attempt queued now waits for a request slot."""
        ahead = queued + running - self.max_running + 1
        if ahead <= 0:
            return 0
        return round(ahead * self.run_estimate_ms / self.max_running)

    def retry_after_ms(self, base_ms: float) -> int:
        """Computes the retry delay for a rejected caller.

        The delay is jittered between 0.5 and 1.5 times the base, so that
        callers rejected together do not retry together.

        Args:
            base_ms: Expected time until there is capacity.

        Returns:
            The delay, between ``RETRY_AFTER_MIN_MS`` and
            ``RETRY_AFTER_MAX_MS``.
        """
        jittered_ms = base_ms * self._random.uniform(0.5, 1.5)
        return round(
            min(max(jittered_ms, RETRY_AFTER_MIN_MS), RETRY_AFTER_MAX_MS)
        )
