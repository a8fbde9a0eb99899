"""One run at a target process, and the streams that read it."""

import dataclasses

import anyio
from radishstack import load as load_lib
from radishstack import result
from radishstack.connection import frame
from radishstack.request import run as run_lib

from radishd.connection import writer as writer_lib

WINDOW_CHUNKS = 64

_EXECUTED_NUMBERS = {
    result.Executed.NO: 0,
    result.Executed.YES: 1,
    result.Executed.UNKNOWN: 2,
}


@dataclasses.dataclass(frozen=True, slots=True)
class ReaderId:
    """A reader's connection and stream."""

    writer: writer_lib.Writer
    stream: int


def refusal_frame(
    failure: result.Failure, load: load_lib.Load
) -> frame.Refusal:
    """Builds the frame that rejects an attempt with a failure."""
    return frame.Refusal(
        code=failure.code.number,
        message=failure.message,
        retry_after_ms=failure.retry_after_ms,
        load=load,
        executed=_EXECUTED_NUMBERS[failure.executed],
    )


class ServedRun:
    """A run and its readers on their connections."""

    def __init__(self, *, adapter: str, keep_bytes: int) -> None:
        """Initializes a run before its dispatch.

        Args:
            adapter: The adapter that it runs with, ``name@version``.
            keep_bytes: Maximum bytes of the response that are kept for its
                idempotency key.
        """
        self.run = run_lib.Run(keep_bytes=keep_bytes)
        self.adapter = adapter
        self.heads_sent: set[ReaderId] = set()
        self.head_known = False
        self.scope = anyio.CancelScope()
        self.failure: result.Failure | None = None
        self.heard_at_ms = 0
        self.orphaned_at_ms = 0
        self.kept_bytes = 0
        self._backlog_changed = anyio.Event()

    def attach(self, reader: ReaderId, next_number: int) -> bool:
        """Adds a reader; returns False if chunks it lacks were dropped."""
        attached = self.run.attach(reader, next_number)
        self._backlog_changed.set()
        return attached

    def detach(self, reader: ReaderId) -> None:
        """Removes a reader."""
        self.run.detach(reader)
        self.heads_sent.discard(reader)
        self._backlog_changed.set()

    def reject(self, failure: result.Failure, load: load_lib.Load) -> None:
        """Sends all readers a failure and removes them."""
        refusal = refusal_frame(failure, load)
        for reader in list(self.run.readers):
            reader.writer.write(frame.encode(reader.stream, refusal))
            self.detach(reader)

    def flush(self, load: load_lib.Load) -> None:
        """Sends every reader what its window allows."""
        for reader in list(self.run.readers):
            self._flush_one(reader, load)

    def _flush_one(self, reader: ReaderId, load: load_lib.Load) -> None:
        run, write = self.run, reader.writer.write
        if self.head_known and reader not in self.heads_sent:
            self.heads_sent.add(reader)
            accepted = frame.Accepted(
                run.status, run.content_type, load, self.adapter
            )
            write(frame.encode(reader.stream, accepted))
        for number, payload in run.next_chunks(reader, WINDOW_CHUNKS):
            write(frame.encode_chunk(reader.stream, number, payload))
        if run.end_is_due(reader):
            failure = run.ended.failure
            end = frame.End(
                total=run.total,
                code=failure.code.number if failure else 0,
                message=failure.message if failure else "",
            )
            write(frame.encode(reader.stream, end))
            run.mark_end_sent(reader)

    def ack(self, reader: ReaderId, acked: int, load: load_lib.Load) -> None:
        """Handles a reader's acknowledgement and sends it more."""
        self.run.ack(reader, acked)
        self._backlog_changed.set()
        if reader in self.run.readers:
            self._flush_one(reader, load)

    @property
    def is_backlogged(self) -> bool:
        """Whether the slowest reader is two windows behind."""
        return self.run.backlog_chunks() >= 2 * WINDOW_CHUNKS

    async def wait_for_readers(self) -> None:
        """Waits while the slowest reader is two windows behind.

        The target is not read meanwhile, which bounds the memory that a slow
        caller takes up and leaves other streams unaffected.
        """
        while self.is_backlogged:
            if self.run.keep_bytes and not self.run.readers:
                return
            self._backlog_changed = anyio.Event()
            await self._backlog_changed.wait()
