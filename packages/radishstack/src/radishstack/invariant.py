"""Invariants that stay on in production."""

from radishstack import result


class InvariantBrokenError(Exception):
    """A promise of the system would be broken by going on.

    Attributes:
        code: The numbered result code of the promise.
        detail: What was about to happen.
    """

    def __init__(self, code: result.Code, detail: str) -> None:
        """Keeps the code beside the message."""
        super().__init__(f"{code.number} {code.name}: {detail}")
        self.code = code
        self.detail = detail


def require(holds: bool, code: result.Code, detail: str) -> None:
    """Raises unless a promise holds.

    Args:
        holds: Whether the promise holds.
        code: The result code that names the promise.
        detail: What was about to happen, for the log line.

    Raises:
        InvariantBrokenError: If the promise does not hold.
    """
    if not holds:
        raise InvariantBrokenError(code, detail)
