"""Reads and writes frames on one socket."""

from collections.abc import Callable

import anyio
import anyio.abc
from radishstack import result
from radishstack.connection import frame

from radishd.connection import bounded_stream
from radishd.connection import writer as writer_lib
from radishd.process import client_bounds

RECEIVE_BYTES = 65_536
SOCKET_ERRORS = (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError)

FrameHandler = Callable[[frame.Frame], result.Failure | None]


async def run(
    stream: anyio.abc.SocketStream,
    writer: writer_lib.Writer,
    handle_frame: FrameHandler,
    bounds: client_bounds.ClientBounds | None = None,
) -> result.Failure | None:
    """Reads and writes until a connection closes.

    Args:
        stream: The connected socket; closed when this returns.
        writer: Queue of outgoing frames.
        handle_frame: Called with every frame; a failure closes the connection.
        bounds: Bounds of the port if the peer has connected to this process.

    Returns:
        What was wrong with a frame, or None if the peer closed the connection.
    """
    failure: result.Failure | None = None
    try:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_write, stream, writer)
            if bounds is None:
                failure = await _read(stream, handle_frame)
            else:
                failure = await _read_bounded(stream, handle_frame, bounds)
            tasks.cancel_scope.cancel()
    finally:
        writer.close()
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(stream)
    return failure


async def _write(
    stream: anyio.abc.SocketStream, writer: writer_lib.Writer
) -> None:
    try:
        await writer.run()
    except SOCKET_ERRORS:
        return
    finally:
        await anyio.aclose_forcefully(stream)


async def _read_bounded(
    stream: anyio.abc.SocketStream,
    handle_frame: FrameHandler,
    bounds: client_bounds.ClientBounds,
) -> result.Failure | None:
    bounded = bounded_stream.BoundedStream(stream, bounds)
    try:
        return await _read(bounded, handle_frame, bounded.record_unfinished)
    finally:
        bounded.release()


async def _read(
    stream: anyio.abc.SocketStream | bounded_stream.BoundedStream,
    handle_frame: FrameHandler,
    record_unfinished: Callable[..., None] | None = None,
) -> result.Failure | None:
    splitter = frame.Splitter()
    while True:
        try:
            data = await stream.receive(RECEIVE_BYTES)
        except (anyio.EndOfStream, TimeoutError, *SOCKET_ERRORS):
            return None
        messages = splitter.feed(data)
        if isinstance(messages, result.Failure):
            return messages
        if record_unfinished is not None:
            record_unfinished(
                splitter.buffered_bytes, has_frames=bool(messages)
            )
        for message in messages:
            decoded = frame.decode(message)
            if isinstance(decoded, result.Failure):
                return decoded
            failure = handle_frame(decoded)
            if failure is not None:
                return failure
