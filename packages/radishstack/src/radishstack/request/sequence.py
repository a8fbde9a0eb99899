"""Checks that a response arrives complete and in order."""

import enum

from radishstack import invariant
from radishstack import result


class Verdict(enum.Enum):
    """What to do with a chunk that arrived."""

    TAKE = "take"
    SKIP = "skip"
    GAP = "gap"


class Sequence:
    """Counts the chunks of one response across its connections."""

    __slots__ = ("expected", "total")

    def __init__(self) -> None:
        """Expects chunk 0 first."""
        self.expected = 0
        self.total: int | None = None

    def take(self, number: int) -> Verdict:
        """Checks the number of a chunk that arrived.

        Args:
            number: The chunk's number.

        Returns:
            ``TAKE`` for the next chunk; ``SKIP`` for a chunk that was accepted
            before, because a resumed connection may repeat it; ``GAP`` if a
            chunk is missing, so that the response would have a hole.
        """
        if number < self.expected:
            return Verdict.SKIP
        if number > self.expected or self.total is not None:
            return Verdict.GAP
        invariant.require(
            number == self.expected,
            result.CHUNK_ORDER_BROKEN,
            f"chunk {number}, expected {self.expected}",
        )
        self.expected += 1
        return Verdict.TAKE

    def end(self, total: int) -> bool:
        """Checks the explicit end of the response.

        Args:
            total: Number of chunks in the response.

        Returns:
            Whether all of them were accepted.
        """
        self.total = total
        return total == self.expected
