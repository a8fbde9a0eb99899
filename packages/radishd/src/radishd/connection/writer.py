"""Joining frames into few writes: one writer per connection."""

import anyio
import anyio.abc

MAX_PENDING_BYTES = 32 * 1024 * 1024


class Writer:
    """Collects frames and writes all that is pending in one call.

    While one write is under way further frames gather; a reader that is
    behind gets them joined. What may gather is bounded by the windows of
    the streams and, as a last resort, by ``MAX_PENDING_BYTES``.
    """

    def __init__(self, stream: anyio.abc.ByteStream) -> None:
        """Wraps a connected stream."""
        self._stream = stream
        self._pending: list[bytes] = []
        self._pending_bytes = 0
        self._wake = anyio.Event()
        self.closed = False
        self.bytes_written = 0

    def write(self, data: bytes) -> None:
        """Queues a frame; never blocks."""
        if self.closed:
            return
        self._pending.append(data)
        self._pending_bytes += len(data)
        if self._pending_bytes > MAX_PENDING_BYTES:
            # A peer that reads nothing at all would otherwise take all of
            # the memory; it is cut off and can resume its runs.
            self.close()
            return
        self._wake.set()

    def close(self) -> None:
        """Ends ``run`` once it next looks."""
        self.closed = True
        self._wake.set()

    async def run(self) -> None:
        """Writes until closed; raises what the stream raises."""
        while True:
            if not self._pending:
                if self.closed:
                    return
                self._wake = anyio.Event()
                await self._wake.wait()
                continue
            data = b"".join(self._pending)
            self._pending.clear()
            self._pending_bytes = 0
            self.bytes_written += len(data)
            await self._stream.send(data)
