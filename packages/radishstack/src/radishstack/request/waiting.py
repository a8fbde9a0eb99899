"""Decides how long a request waits for its adapter and when it is rejected.

``process.placement`` chooses the target that holds the adapter or loads it.
"""

import dataclasses
import random

from radishstack import result
from radishstack.process import placement as placement_lib
from radishstack.process import roster as roster_lib

# A waiting request repeats its load request, since datagrams can be lost.
LOAD_REQUEST_INTERVAL_MS = 60
# Fraction of its remaining time that a request may wait for a load. The rest
# leaves its caller time for a second try elsewhere after a rejection.
LOAD_WAIT_FRACTION = 0.45
# How long a request waits while no sidecar has sent a recent status update.
NO_STATUS_WAIT_MS = 600
# Range of the retry delay after a load was not done in time. It leaves the load
# some time to complete.
LOAD_RETRY_AFTER_MS = (150, 400)


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send the request now.

    Attributes:
        member: The target.
        version: Adapter version reported by the target, 0 if unknown.
    """

    member: roster_lib.Member
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Decide again after the next status update or a pause.

    Attributes:
        pause_ms: Longest time to wait.
    """

    pause_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class NoTarget:
    """No target of the service may receive the request."""


Step = Send | Wait | NoTarget | result.Failure


class AdapterWait:
    """A request's wait for its adapter, until it is sent or rejected."""

    def __init__(
        self,
        adapter: str,
        *,
        began_ms: int,
        left_ms: int,
        due_at_ms: int,
        begun: bool,
        random_source: random.Random,
    ) -> None:
        """Starts the wait.

        Args:
            adapter: The adapter.
            began_ms: Now.
            left_ms: Time until the caller's deadline.
            due_at_ms: When it must be sent to be answered in time.
            begun: Whether the caller has received a part of the response. Such
                a request can no longer be rejected, and a stream that was cut
                is useless unless it is resumed, so the request waits until its
                deadline.
            random_source: Spreads the retries of rejected requests, so that
                they do not arrive together again.
        """
        self._adapter = adapter
        self._began_ms = began_ms
        self._begun = begun
        self._random = random_source
        wait_ms = left_ms if begun else round(left_ms * LOAD_WAIT_FRACTION)
        self._until_ms = began_ms + wait_ms
        self._due_at_ms = due_at_ms

    def limit_until(self, at_ms: int) -> None:
        """Limits the wait to a time before the shutdown of this process."""
        if not self._begun:
            self._until_ms = min(self._until_ms, at_ms)

    def patience(self, now_ms: int) -> placement_lib.WaitLimits:
        """Returns how long the request may still wait."""
        return placement_lib.WaitLimits(
            in_time_ms=self._due_at_ms - self._began_ms,
            max_wait_ms=self._until_ms - now_ms,
            is_late=now_ms >= self._due_at_ms,
        )

    def decide(
        self, choice: placement_lib.Choice, *, any_usable: bool, now_ms: int
    ) -> Step:
        """Decides the next step.

        Args:
            choice: The target that holds the adapter, or that is to load it.
            any_usable: Whether any target may receive the request.
            now_ms: Now.
        """
        if choice.send is not None:
            return Send(choice.send, choice.version)
        if choice.full_for_ms and not self._begun:
            # The adapter would not be loaded in time. If the request is
            # rejected now, its caller retries when the queued loads are done.
            return self._reject(
                f"every target has loads for {choice.full_for_ms} ms",
                (choice.full_for_ms // 2, choice.full_for_ms),
            )
        if choice.load is None and not self._begun:
            # No sidecar has sent a recent status update. After a start or a
            # pause of this process, the updates arrive again shortly.
            status_until_ms = self._began_ms + NO_STATUS_WAIT_MS
            self._until_ms = min(self._until_ms, status_until_ms)
        if not any_usable:
            return NoTarget()
        if now_ms >= self._until_ms:
            waited_ms = now_ms - self._began_ms
            return self._reject(
                f"{self._adapter} was not loaded in {waited_ms} ms",
                LOAD_RETRY_AFTER_MS,
            )
        return Wait(min(LOAD_REQUEST_INTERVAL_MS, self._until_ms - now_ms))

    def _reject(self, message: str, bounds_ms: tuple[int, int]) -> Step:
        retry_after_ms = round(self._random.uniform(*bounds_ms))
        return result.Failure(result.ADAPTER_LOADING, message, retry_after_ms)
