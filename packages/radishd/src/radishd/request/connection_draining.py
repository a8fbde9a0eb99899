"""Draining of callers' connections in a graceful shutdown."""

from collections.abc import Iterator
import contextlib

import anyio
from radishstack import result
from radishstack.process import graceful_shutdown

from radishd.process import clock

MS_PER_S = 1_000


class ConnectionDraining:
    """The graceful shutdown, as requests see it.

    Attributes:
        schedule: Times of the shutdown, None before it begins.
    """

    def __init__(self) -> None:
        """Starts without a shutdown."""
        self.schedule: graceful_shutdown.Schedule | None = None
        self._scopes: set[anyio.CancelScope] = set()

    def begin(self, shutdown_ms: int) -> graceful_shutdown.Schedule:
        """Begins the shutdown, and bounds the deadlines of open requests.

        Args:
            shutdown_ms: Time between the signal and the forced exit.
        """
        now_ms = clock.boot_ms()
        self.schedule = graceful_shutdown.make_schedule(now_ms, shutdown_ms)
        due_ms = self.schedule.answers_due_at_ms - now_ms
        due_s = anyio.current_time() + due_ms / MS_PER_S
        for scope in self._scopes:
            scope.deadline = min(scope.deadline, due_s)
        return self.schedule

    def exits_at_ms(self) -> int:
        """Returns when this process exits, 0 if it does not."""
        return self.schedule.exits_at_ms if self.schedule is not None else 0

    def bound(self, deadline_at_ms: int) -> int:
        """Returns a deadline before which a request is answered."""
        if self.schedule is None:
            return deadline_at_ms
        return min(deadline_at_ms, self.schedule.answers_due_at_ms)

    @contextlib.contextmanager
    def limit(self, deadline_at_ms: int) -> Iterator[anyio.CancelScope]:
        """Cancels a block at a deadline, or before the process exits."""
        left_ms = max(0, self.bound(deadline_at_ms) - clock.boot_ms())
        with anyio.move_on_after(left_ms / MS_PER_S) as scope:
            self._scopes.add(scope)
            try:
                yield scope
            finally:
                self._scopes.discard(scope)

    def rejection(
        self, deadline_at_ms: int, retry_after_ms: int
    ) -> result.Failure | None:
        """Returns why a request is not passed on, None if it is.

        Args:
            deadline_at_ms: Deadline of the request.
            retry_after_ms: When its caller may try another VM.
        """
        if self.schedule is None or self.schedule.takes(
            clock.boot_ms(), deadline_at_ms
        ):
            return None
        return result.Failure(
            result.ENTRY_DRAINING,
            "this gateway exits before the request's deadline",
            retry_after_ms,
        )
