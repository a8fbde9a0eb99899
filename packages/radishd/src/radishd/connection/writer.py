"""Batches outgoing frames of one connection into few writes."""

import anyio
import anyio.abc

MAX_PENDING_BYTES = 32 * 1024 * 1024


class Writer:
    """Queues frames and writes all pending frames in one call.

    Frames that are queued while a write is in progress are joined into the
    next write. The queue is bounded by the windows of the streams and, as a
    last resort, by ``MAX_PENDING_BYTES``.
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
            # A peer that never reads would otherwise exhaust the memory. It
            # is disconnected and can resume its runs.
            self.close()
            return
        self._wake.set()

    def close(self) -> None:
        """Makes ``run`` return once pending frames are written."""
        self.closed = True
        self._wake.set()

    async def run(self) -> None:
        """Writes until closed; propagates exceptions of the stream."""
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
