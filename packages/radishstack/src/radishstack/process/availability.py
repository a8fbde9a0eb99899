"""Detects possible outages of a dependency from the calls made to it."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Outage:
    """A time in which a dependency may have been unavailable.

    Attributes:
        away_ms: How long it lasted at most.
        failed: Whether a call failed; otherwise a call was only answered late,
            or on a new connection only.
        reason: Why the first call failed, empty if none failed.
        is_doubtful: Whether the only evidence is an open connection that fell
            silent, while a call on a new one was answered at once. The
            dependency was then away for a part of that time at most, and more
            likely not at all.
    """

    away_ms: int
    failed: bool
    reason: str = ""
    is_doubtful: bool = False


class Availability:
    """The last answer of a dependency and whether a call has failed since."""

    def __init__(self) -> None:
        """Creates the state of a dependency that has not answered yet."""
        self._last_answer_at_ms = 0
        self._failed = False
        self._reason = ""

    def failed(self, reason: str = "") -> None:
        """Records a call that was rejected or not answered in time.

        Args:
            reason: Why it failed.
        """
        self._reason = self._reason or reason
        self._failed = True

    def connection_broken(self, now_ms: int) -> None:
        """Records a call whose connection broke.

        The first broken call shows that the dependency or its host was
        available until now: a single waiting call that is cut off is no outage.
        Several in a row are an outage that began with the first.
        """
        if not self._failed:
            self._last_answer_at_ms = now_ms
        self._failed = True

    def answered(
        self, now_ms: int, *, late: bool, silent: bool = False
    ) -> Outage | None:
        """Records an answer.

        Args:
            now_ms: When it arrived.
            late: Whether it took longer than the dependency itself takes.
            silent: Whether it came on a new connection at once, while an open
                one stayed silent.

        Returns:
            The outage that ended with it, or None if there was none.
        """
        away_ms, failed = now_ms - self._last_answer_at_ms, self._failed
        reason, self._reason = self._reason, ""
        self._last_answer_at_ms = now_ms
        self._failed = False
        if not (failed or late or silent):
            return None
        is_doubtful = silent and not (failed or late)
        return Outage(away_ms, failed, reason, is_doubtful)
