"""Server side of connections to a target process."""

import functools
import itertools
from typing import TYPE_CHECKING

import anyio
import anyio.abc
from radishstack import attempt as attempt_lib
from radishstack import result
from radishstack import target_event as event_lib
from radishstack.connection import clock_offset
from radishstack.connection import frame

from radishd.connection import pump
from radishd.connection import writer as writer_lib
from radishd.process import client_bounds
from radishd.process import client_ports
from radishd.process import clock
from radishd.process import logs
from radishd.process import settings as settings_lib
from radishd.request import serving as serving_lib

if TYPE_CHECKING:
    from radishd import target as target_lib

_seal_ids = itertools.count(1)


class Connection:
    """One connection from another process."""

    def __init__(
        self,
        process: "target_lib.TargetProcess",
        stream: anyio.abc.SocketStream,
    ) -> None:
        """Wraps an accepted socket."""
        self.process = process
        self.stream = stream
        self.writer = writer_lib.Writer(stream)
        self.attempts: dict[int, bytes] = {}
        self.highest_stream = -1
        self.offset = clock_offset.ClockOffset()

    async def run(self) -> None:
        """Reads and writes until the connection closes."""
        hello = frame.Hello(
            self.process.identity,
            self.process.configuration.held.version,
            clock.now_ms(),
        )
        self.writer.write(frame.encode(0, hello))
        try:
            failure = await pump.run(
                self.stream,
                self.writer,
                self._handle_frame,
                self.process.client_ports.frames_port,
            )
            if failure is not None:
                self._report_bad_frame(failure)
        finally:
            for stream, attempt_id in list(self.attempts.items()):
                reader = serving_lib.ReaderId(self.writer, stream)
                self.process.detach_reader(attempt_id, reader, cut=True)

    def _handle_frame(self, received: frame.Frame) -> result.Failure | None:
        return _handle_frame(received.body, self, received.stream)

    def _report_bad_frame(self, failure: result.Failure) -> None:
        """Logs and counts a bad frame, which closes only its connection."""
        logs.error("bad_frame", failure.code, reason=failure.message)
        self.process.metrics.refusals.inc({"code": str(failure.code.number)})

    def open_stream(self, stream: int) -> result.Failure | None:
        """Checks the id of a new stream; ids must increase."""
        if stream <= self.highest_stream:
            return result.Failure(
                result.STREAM_REUSED, f"stream {stream} was used before"
            )
        self.highest_stream = stream
        if len(self.attempts) >= self.process.own.max_streams:
            return result.Failure(
                result.STREAMS_EXHAUSTED,
                f"{len(self.attempts)} streams are open",
            )
        return None


@functools.singledispatch
def _handle_frame(
    body: object, connection: Connection, stream: int
) -> result.Failure | None:
    return result.Failure(
        result.FRAME_MALFORMED,
        f"{type(body).__name__} on stream {stream} is not for a target",
    )


@_handle_frame.register
def _handle_hello(
    body: frame.Hello, connection: Connection, stream: int
) -> result.Failure | None:
    connection.offset.observe(body.sent_at_ms, clock.now_ms())
    return connection.open_stream(stream)


@_handle_frame.register
def _handle_submit(
    body: frame.Submit, connection: Connection, stream: int
) -> result.Failure | None:
    failure = connection.open_stream(stream)
    if failure is not None:
        return failure
    connection.offset.observe(body.sent_at_ms, clock.now_ms())
    attempt = attempt_lib.Attempt(
        attempt_id=body.attempt_id,
        request_id=body.request_id,
        version=body.version,
        service=body.service,
        customer=body.customer,
        adapter=body.adapter,
        key=body.key,
        digest=body.digest,
        accepted_at_ms=connection.offset.to_local(body.accepted_at_ms),
        deadline_at_ms=connection.offset.to_local(body.deadline_at_ms),
        method=body.method,
        path=body.path,
        content_type=body.content_type,
        body=body.body,
        streams=body.streams,
    )
    connection.attempts[stream] = body.attempt_id
    reader = serving_lib.ReaderId(connection.writer, stream)
    connection.process.submit(attempt, reader)
    return None


@_handle_frame.register
def _handle_attach(
    body: frame.Attach, connection: Connection, stream: int
) -> result.Failure | None:
    failure = connection.open_stream(stream)
    if failure is not None:
        return failure
    connection.attempts[stream] = body.attempt_id
    reader = serving_lib.ReaderId(connection.writer, stream)
    connection.process.attach(body, reader)
    return None


@_handle_frame.register
def _handle_ack(
    body: frame.Ack, connection: Connection, stream: int
) -> result.Failure | None:
    attempt_id = connection.attempts.get(stream)
    if attempt_id is None:
        return _check_closed_stream(connection, stream)
    serving = connection.process.serving_of(attempt_id)
    if serving is None:
        connection.attempts.pop(stream, None)
        return None
    reader = serving_lib.ReaderId(connection.writer, stream)
    serving.ack(reader, body.acked, connection.process.load())
    return None


@_handle_frame.register
def _handle_cancel(
    body: frame.Cancel, connection: Connection, stream: int
) -> result.Failure | None:
    del body
    attempt_id = connection.attempts.pop(stream, None)
    if attempt_id is None:
        return _check_closed_stream(connection, stream)
    reader = serving_lib.ReaderId(connection.writer, stream)
    connection.process.detach_reader(attempt_id, reader, cut=False)
    return None


@_handle_frame.register
def _handle_fetch(
    body: frame.Fetch, connection: Connection, stream: int
) -> result.Failure | None:
    del body
    failure = connection.open_stream(stream)
    if failure is not None:
        return failure
    reader = serving_lib.ReaderId(connection.writer, stream)
    connection.attempts[stream] = connection.process.serve_version(reader)
    return None


@_handle_frame.register
def _handle_seal(
    body: frame.Seal, connection: Connection, stream: int
) -> result.Failure | None:
    failure = connection.open_stream(stream)
    if failure is not None:
        return failure
    seal_id = next(_seal_ids)
    connection.process.seals[seal_id] = (connection.writer, stream)
    connection.process.handle(
        event_lib.SealRequested((body.service, body.key), body.asker, seal_id)
    )
    return None


def _check_closed_stream(
    connection: Connection, stream: int
) -> result.Failure | None:
    """Ignores a frame of a closed stream, rejects one of an unopened one."""
    if stream <= connection.highest_stream:
        return None
    return result.Failure(
        result.STREAM_UNKNOWN, f"stream {stream} was never opened"
    )


async def listen(
    process: "target_lib.TargetProcess",
    *,
    task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Accepts connections until cancelled.

    Args:
        process: The target process.
        task_status: Notified once the socket is listening.
    """
    host, port = settings_lib.split_address(process.own.listen)
    listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
    count = 0
    max_connections = min(
        process.own.max_connections,
        client_bounds.max_callers_connections(
            process.settings.clients.callers_files_fraction
        ),
    )

    async def serve(stream: anyio.abc.SocketStream) -> None:
        nonlocal count
        if count >= max_connections:
            process.client_ports.count_refused(
                client_ports.FRAMES_PORT,
                client_bounds.Reason.TOO_MANY_CONNECTIONS,
            )
            await anyio.aclose_forcefully(stream)
            return
        count += 1
        try:
            await Connection(process, stream).run()
        finally:
            count -= 1

    async with listener:
        task_status.started()
        await listener.serve(serve)
