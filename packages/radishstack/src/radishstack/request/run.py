"""One run at a target process: the chunks of its response and its readers.

A run belongs to a request, not to a connection. When a connection is lost, the
run continues, and its reader resumes at the next chunk on another connection.
"""

from collections.abc import Iterator
import dataclasses

from radishstack import invariant
from radishstack import result


@dataclasses.dataclass(frozen=True, slots=True)
class RunEnd:
    """How a run ended.

    Attributes:
        status: HTTP status of the response.
        content_type: Content type of the response.
        total: Number of chunks in the response.
        failure: Why the response is incomplete, None if it is complete.
    """

    status: int
    content_type: str
    total: int
    failure: result.Failure | None = None


@dataclasses.dataclass(slots=True)
class Reader:
    """One reader's position in a run.

    Attributes:
        next_number: The next chunk to send.
        acked: The reader has acknowledged all chunks before this one.
        end_sent: Whether the end of the run was sent.
    """

    next_number: int = 0
    acked: int = 0
    end_sent: bool = False


class Run:
    """The chunks of one response, buffered for its readers."""

    __slots__ = (
        "bytes_held",
        "chunks",
        "content_type",
        "ended",
        "first_held",
        "keep_bytes",
        "overflowed",
        "readers",
        "status",
        "total",
    )

    def __init__(self, *, keep_bytes: int) -> None:
        """Initializes an empty run.

        Args:
            keep_bytes: Maximum size of a response that is kept for a later
                resubmission of its key; 0 keeps only the chunks that the
                readers have not acknowledged.
        """
        self.keep_bytes = keep_bytes
        self.chunks: list[bytes] = []
        self.first_held = 0
        self.total = 0
        self.bytes_held = 0
        self.overflowed = False
        self.status = 0
        self.content_type = ""
        self.ended: RunEnd | None = None
        self.readers: dict[object, Reader] = {}

    def append(self, payload: bytes) -> None:
        """Appends a chunk that the target produced."""
        invariant.require(
            self.ended is None,
            result.CHUNK_ORDER_BROKEN,
            "a chunk after the end",
        )
        self.chunks.append(payload)
        self.total += 1
        self.bytes_held += len(payload)

    def end(self, failure: result.Failure | None) -> None:
        """Ends the run; a second call breaks an invariant."""
        invariant.require(
            self.ended is None, result.CHUNK_ORDER_BROKEN, "a second end"
        )
        self.ended = RunEnd(self.status, self.content_type, self.total, failure)

    def attach(self, reader_id: object, next_number: int) -> bool:
        """Adds a reader that starts at a given chunk.

        Args:
            reader_id: Id of the reader, unique within the run.
            next_number: The first chunk that the reader needs.

        Returns:
            Whether all chunks that it needs are still buffered.
        """
        if not self.first_held <= next_number <= self.total:
            return False
        self.readers[reader_id] = Reader(next_number, next_number)
        return True

    def detach(self, reader_id: object) -> None:
        """Removes a reader if it is attached."""
        self.readers.pop(reader_id, None)

    def next_chunks(
        self, reader_id: object, window_chunks: int
    ) -> Iterator[tuple[int, bytes]]:
        """Yields the chunks to send to a reader now and counts them as sent.

        Args:
            reader_id: The reader.
            window_chunks: Maximum number of unacknowledged chunks.

        Yields:
            Chunk numbers and payloads, in order.
        """
        reader = self.readers[reader_id]
        limit = min(self.total, reader.acked + window_chunks)
        while reader.next_number < limit:
            number = reader.next_number
            reader.next_number += 1
            yield number, self.chunks[number - self.first_held]

    def end_is_due(self, reader_id: object) -> bool:
        """Whether a reader was sent every chunk, but not the end."""
        reader = self.readers[reader_id]
        return (
            self.ended is not None
            and not reader.end_sent
            and reader.next_number == self.total
        )

    def mark_end_sent(self, reader_id: object) -> None:
        """Records that a reader was sent the end.

        The reader stays attached until it closes its stream: the end may be
        lost with the connection, and the reader then resumes to get it.
        """
        self.readers[reader_id].end_sent = True

    def drop_chunks(self) -> None:
        """Drops the chunks of a finished run to free memory."""
        self.chunks.clear()
        self.first_held = self.total
        self.bytes_held = 0
        self.overflowed = True

    def ack(self, reader_id: object, acked: int) -> None:
        """Handles a reader's acknowledgement of chunks before ``acked``."""
        reader = self.readers.get(reader_id)
        if reader is None or not reader.acked < acked <= reader.next_number:
            return
        reader.acked = acked
        self._trim()

    def _trim(self) -> None:
        if self.bytes_held <= self.keep_bytes and not self.overflowed:
            return
        self.overflowed = True
        lowest = min(reader.acked for reader in self.readers.values())
        drop = lowest - self.first_held
        if drop <= 0:
            return
        self.bytes_held -= sum(map(len, self.chunks[:drop]))
        del self.chunks[:drop]
        self.first_held = lowest

    def backlog_chunks(self) -> int:
        """Returns how many chunks the slowest reader has not acknowledged."""
        if not self.readers:
            return self.total - self.first_held
        return self.total - min(r.acked for r in self.readers.values())

    @property
    def whole(self) -> bool:
        """Whether the response is still buffered from its first chunk."""
        return self.first_held == 0 and not self.overflowed
