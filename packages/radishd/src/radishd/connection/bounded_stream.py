"""Receives the bytes of frames within the bounds of a port."""

from __future__ import annotations

import math

import anyio
import anyio.abc

from radishd.process import client_bounds

MS_PER_S = 1_000


class BoundedStream:
    """The receiving side of a connection that carries frames.

    A peer that leaves a frame unfinished would otherwise hold its bytes and
    its connection for as long as it likes. The first frame must be complete
    within the header timeout, each further one within the body timeout from its
    first byte. Idle connections stay open.
    """

    def __init__(
        self,
        stream: anyio.abc.SocketStream,
        bounds: client_bounds.ClientBounds,
    ) -> None:
        """Wraps a connected stream.

        Args:
            stream: The stream of an accepted connection.
            bounds: Bounds of the port.
        """
        # anyio reads from an accepted connection all the time until one call of
        # ``receive`` has found nothing, so that a fast peer fills its queue.
        stream._transport.pause_reading()
        self._stream = stream
        self._bounds = bounds
        self._room = anyio.Event()
        self._hold = client_bounds.Hold(bounds.account, self._wake)
        self._expires_s = (
            anyio.current_time() + bounds.limits.header_timeout_ms / MS_PER_S
        )

    def _wake(self) -> None:
        self._room.set()

    async def receive(self, max_bytes: int) -> bytes:
        """Receives bytes, once there is room for the rest of a large frame.

        Args:
            max_bytes: Maximum number of bytes.

        Raises:
            TimeoutError: If a frame was not completed in time.
            anyio.EndOfStream: If the peer has closed the connection.
            OSError: If the connection was lost.
        """
        try:
            with anyio.fail_after(self._expires_s - anyio.current_time()):
                while not self._hold.may_grow():
                    self._room = anyio.Event()
                    await self._room.wait()
                return await self._stream.receive(max_bytes)
        except TimeoutError:
            self._bounds.on_refused(client_bounds.Reason.BODY_TIMEOUT)
            raise

    def record_unfinished(self, size_bytes: int, *, has_frames: bool) -> None:
        """Records the bytes of the frame that is being received.

        Args:
            size_bytes: Number of its bytes received so far.
            has_frames: Whether frames were completed since the last call.
        """
        if has_frames:
            self._hold.release()
        if not size_bytes:
            if has_frames:
                self._expires_s = math.inf
        elif has_frames or self._expires_s == math.inf:
            self._expires_s = (
                anyio.current_time()
                + self._bounds.limits.body_timeout_ms / MS_PER_S
            )
        self._hold.resize(size_bytes)

    def release(self) -> None:
        """Gives back what the connection held."""
        self._hold.release()
