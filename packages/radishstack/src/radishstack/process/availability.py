"""How long a dependency may have been away, from the calls made to it."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Outage:
    """A time in which a dependency may have served nobody.

    Attributes:
        away_ms: How long it lasted at most.
        failed: Whether a call failed in it; otherwise one was only answered
            late.
    """

    away_ms: int
    failed: bool


class Availability:
    """When a dependency was last heard, and whether it has failed since."""

    def __init__(self) -> None:
        """Starts never having heard it."""
        self._last_answer_at_ms = 0
        self._failed = False

    def failed(self) -> None:
        """Notes a call that was refused or not answered in time."""
        self._failed = True

    def connection_broken(self, now_ms: int) -> None:
        """Notes a call that ended with its connection.

        The first one shows that the dependency, or its host, was there until
        now: a single waiting call that is cut off is no outage. In a row they
        are one, which began with the first.
        """
        if not self._failed:
            self._last_answer_at_ms = now_ms
        self._failed = True

    def answered(self, now_ms: int, *, late: bool) -> Outage | None:
        """Notes an answer.

        Args:
            now_ms: When it came.
            late: Whether it took longer than the dependency itself takes.

        Returns:
            The absence that ends with it, if there may have been one.
        """
        away_ms, failed = now_ms - self._last_answer_at_ms, self._failed
        self._last_answer_at_ms = now_ms
        self._failed = False
        return Outage(away_ms, failed) if failed or late else None
