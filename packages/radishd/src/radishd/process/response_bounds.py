"""Bounds on the bytes of responses, whatever their form.

A faulty peer may send an unbounded number of bytes: in a head, in informational
responses, in chunk extensions, or in a body.
"""

import dataclasses

# Maximum number of consecutive bytes without body data: a head with the
# informational responses before it, chunk extensions, trailers.
MAX_HEAD_BYTES = 64 * 1024
# Bytes that are parsed at once, so that a response of many small chunks, with a
# few bytes of overhead each, never comes near the maximum.
PARSED_BYTES = 8 * 1024
# Maximum size and duration of a body that is read only to reuse its connection.
# Beyond them, a new connection costs less than the rest of the body.
MAX_DISCARDED_BYTES = 16 * 1024
DISCARD_TIMEOUT_MS = 50
# Maximum size of a response that is held as a whole. A page of the store's list
# has about a megabyte.
MAX_WHOLE_BYTES = 8 * 1024 * 1024
# Maximum number of responses that wait on one connection, or are skipped before
# the one that is due: late second responses to earlier requests.
MAX_WAITING_RESPONSES = 8
# Digits of a number of seconds that are read.
MAX_SECONDS_DIGITS = 9
# Reading from a socket pauses above this many unread bytes of its responses.
HIGH_WATER_BYTES = 64 * 1024
# Response bytes in memory, over all connections, from which on memory is low: a
# quarter of the 256 MB that a process has. Reading then pauses, and a response
# that is held is cut, at a smaller size that most responses stay below.
MAX_HELD_BYTES = 64 * 1024 * 1024
LOW_MEMORY_BYTES = 16 * 1024
# Parsers let other numbers pass, which a server cannot send.
STATUSES = range(100, 600)


def check_status(status: int) -> int:
    """Returns the status of a response.

    Raises:
        ValueError: If it is none.
    """
    if status not in STATUSES:
        raise ValueError(f"{status} is no status")
    return status


@dataclasses.dataclass(slots=True)
class HeldBytes:
    """Response bytes in the memory of this process.

    Attributes:
        count: Number of bytes held now.
    """

    count: int = 0

    @property
    def is_low(self) -> bool:
        """Whether so many bytes are held that memory is low."""
        return self.count >= MAX_HELD_BYTES

    def limit(self, limit_bytes: int) -> int:
        """Returns a limit of one response, smaller while memory is low."""
        return (
            min(limit_bytes, LOW_MEMORY_BYTES) if self.is_low else limit_bytes
        )


HELD = HeldBytes()


class Hold:
    """The part of the held bytes that belongs to one response."""

    __slots__ = ("size_bytes",)

    def __init__(self) -> None:
        """Starts without bytes."""
        self.size_bytes = 0

    def resize(self, size_bytes: int) -> None:
        """Changes the number of bytes; 0 releases all."""
        HELD.count += size_bytes - self.size_bytes
        self.size_bytes = size_bytes

    def exceeds(self, limit_bytes: int) -> bool:
        """Whether the response is too large to be held."""
        return self.size_bytes > HELD.limit(limit_bytes)


class Body:
    """A body that is held as a whole."""

    def __init__(self, limit_bytes: int = MAX_WHOLE_BYTES) -> None:
        """Starts empty.

        Args:
            limit_bytes: Maximum size.
        """
        self._limit_bytes = limit_bytes
        self._pieces: list[bytes] = []
        self._hold = Hold()

    def add(self, piece: bytes) -> bool:
        """Adds a piece; returns whether the body may be held further."""
        self._pieces.append(piece)
        self._hold.resize(self._hold.size_bytes + len(piece))
        return not self._hold.exceeds(self._limit_bytes)

    def join(self) -> bytes:
        """Returns the body."""
        return b"".join(self._pieces)

    def release(self) -> None:
        """Counts the body as held no longer."""
        self._pieces.clear()
        self._hold.resize(0)
