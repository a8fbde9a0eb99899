"""Invariants that are also checked in production."""

from radishstack import result


class InvariantBrokenError(Exception):
    """An invariant of the system would be violated by continuing.

    Attributes:
        code: Result code of the invariant.
        detail: The operation that would violate it.
    """

    def __init__(self, code: result.Code, detail: str) -> None:
        """Builds the message from the code and the detail."""
        super().__init__(f"{code.number} {code.name}: {detail}")
        self.code = code
        self.detail = detail


def require(holds: bool, code: result.Code, detail: str) -> None:
    """Raises an error unless an invariant holds.

    Args:
        holds: Whether the invariant holds.
        code: Result code of the invariant.
        detail: The operation that would violate it, for the log line.

    Raises:
        InvariantBrokenError: If the invariant does not hold.
    """
    if not holds:
        raise InvariantBrokenError(code, detail)
