"""Tells which responses of a target ended at nearly the same time.

Load pattern: a crash closes all connections of a process within milliseconds,
while a process that drains ends its responses one by one.
"""

import collections
import dataclasses

from radishstack.process import incarnation

# Time within which the connections of a crashed process are closed, and the
# ends of its responses are read here.
CORRELATION_MS = 50
# How long an end is remembered, and the maximum number of them.
RETENTION_MS = 2_000
MAX_REMEMBERED = 4_096


@dataclasses.dataclass(frozen=True, slots=True)
class _Close:
    incarnation_id: incarnation.IncarnationId
    at_ms: int
    is_cut: bool


class ResponseCloses:
    """Recent ends of responses that may be due to a crash of their target."""

    def __init__(self) -> None:
        """Starts without ends."""
        self._closes: collections.deque[_Close] = collections.deque(
            maxlen=MAX_REMEMBERED
        )
        self._undecided: collections.Counter[incarnation.IncarnationId] = (
            collections.Counter()
        )

    def record(
        self,
        incarnation_id: incarnation.IncarnationId,
        at_ms: int,
        *,
        is_cut: bool,
    ) -> None:
        """Records the end of a response.

        Args:
            incarnation_id: The incarnation of its target.
            at_ms: When it ended.
            is_cut: Whether it is evidently incomplete; otherwise its connection
                was closed, which may be its end.
        """
        while self._closes and self._closes[0].at_ms < at_ms - RETENTION_MS:
            self._closes.popleft()
        self._closes.append(_Close(incarnation_id, at_ms, is_cut))

    def count_near(
        self,
        incarnation_id: incarnation.IncarnationId,
        at_ms: int,
        *,
        is_cut: bool,
    ) -> int:
        """Returns how many responses of an incarnation ended near a time."""
        return sum(
            one.is_cut is is_cut
            and abs(one.at_ms - at_ms) <= CORRELATION_MS
            and not one.incarnation_id.is_other(incarnation_id)
            for one in self._closes
        )

    def begin_check(self, incarnation_id: incarnation.IncarnationId) -> None:
        """Records that a response has ended, but not yet how."""
        self._undecided[incarnation_id] += 1

    def end_check(self, incarnation_id: incarnation.IncarnationId) -> None:
        """Records that it is decided how a response ended."""
        self._undecided[incarnation_id] -= 1
        if not self._undecided[incarnation_id]:
            del self._undecided[incarnation_id]

    def undecided_count(self, incarnation_id: incarnation.IncarnationId) -> int:
        """Returns how many responses of an incarnation are being checked."""
        return self._undecided[incarnation_id]
