"""How long a dependency may have been away, from the calls made to it."""


class Availability:
    """When a dependency was last heard, and whether it has failed since."""

    def __init__(self) -> None:
        """Starts never having heard it."""
        self._heard_at_ms = 0
        self._failed = False

    def failed(self) -> None:
        """Notes a call that was refused or not answered in time."""
        self._failed = True

    def broke_off(self, now_ms: int) -> None:
        """Notes a call that ended with its connection.

        The first one shows that the dependency, or its host, was there until
        now: a single waiting call that is cut off is no outage. In a row they
        are one, which began with the first.
        """
        if not self._failed:
            self._heard_at_ms = now_ms
        self._failed = True

    def answered(self, now_ms: int) -> int:
        """Notes an answer.

        Returns:
            How long it may have been away at most, in ms; 0 if no call has
            failed since the answer before.
        """
        away_ms = now_ms - self._heard_at_ms if self._failed else 0
        self._heard_at_ms = now_ms
        self._failed = False
        return away_ms
