"""Client side of a connection: many streams on one socket."""

import itertools

import anyio
import anyio.abc
from radishstack import result
from radishstack.connection import frame

from radishd.connection import inbox as inbox_lib
from radishd.connection import pump
from radishd.connection import writer as writer_lib
from radishd.process import clock
from radishd.process import logs
from radishd.process import settings as settings_lib

MAX_INBOX_ITEMS = 1_024
MS_PER_S = 1000.0


_WINDOW_EXCEEDED = result.Failure(
    result.FRAME_MALFORMED, "the peer sends without regard to its window"
)


class Link:
    """One connection to a target process."""

    def __init__(self, name: str, stream: anyio.abc.SocketStream) -> None:
        """Wraps a connected socket.

        Args:
            name: Name of the target.
            stream: The socket.
        """
        self.name = name
        self._stream = stream
        self.writer = writer_lib.Writer(stream)
        self.inboxes: dict[int, inbox_lib.Inbox] = {}
        self.lost = False
        self._ids = itertools.count(1)

    def open(self) -> tuple[int, inbox_lib.Inbox]:
        """Opens a stream; its id is never used again on this connection."""
        inbox = inbox_lib.Inbox()
        return self.open_with_inbox(inbox), inbox

    def open_with_inbox(self, inbox: inbox_lib.Inbox) -> int:
        """Opens a stream whose frames go to an existing inbox."""
        stream_id = next(self._ids)
        self.inboxes[stream_id] = inbox
        return stream_id

    def close(self, stream_id: int) -> None:
        """Closes a stream on both sides; its late frames are dropped.

        The peer drops a run only on this message, because its own end frame
        may have been lost with a connection.
        """
        if self.inboxes.pop(stream_id, None) is not None and not self.lost:
            self.send(stream_id, frame.Cancel())

    def send(self, stream_id: int, body: frame.Body) -> None:
        """Sends a frame."""
        self.writer.write(frame.encode(stream_id, body))

    async def run(self) -> None:
        """Runs until the connection closes, then notifies all streams."""
        try:
            failure = await pump.run(
                self._stream, self.writer, self._handle_frame
            )
            if failure is not None:
                logs.error(
                    "bad_frame",
                    failure.code,
                    target=self.name,
                    reason=failure.message,
                )
        finally:
            self.lost = True
            for inbox in self.inboxes.values():
                inbox.put(inbox_lib.LINK_LOST)

    def _handle_frame(self, received: frame.Frame) -> result.Failure | None:
        inbox = self.inboxes.get(received.stream)
        if inbox is None:
            return None
        if len(inbox) >= MAX_INBOX_ITEMS:
            return _WINDOW_EXCEEDED
        inbox.put(received.body)
        return None


class Links:
    """The connections of one process to target processes."""

    def __init__(
        self,
        tasks: anyio.abc.TaskGroup,
        *,
        process: bytes,
        connect_timeout_ms: int,
    ) -> None:
        """Starts without connections.

        Args:
            tasks: Task group that runs the connections.
            process: Identity of this process.
            connect_timeout_ms: Connect timeout.
        """
        self._tasks = tasks
        self._process = process
        self._connect_timeout_s = connect_timeout_ms / MS_PER_S
        self._links: dict[str, Link] = {}
        self._locks: dict[str, anyio.Lock] = {}
        self.version = 0

    async def get(self, name: str, address: str) -> result.Outcome[Link]:
        """Returns the connection to a target process, opening it if needed.

        Args:
            name: Name of the target.
            address: ``ip:port`` in the configuration version of the caller.

        Returns:
            The connection, or a failure that proves that nothing was sent.
        """
        link = self._links.get(address)
        if link is not None and not link.lost:
            return link
        lock = self._locks.setdefault(address, anyio.Lock())
        async with lock:
            link = self._links.get(address)
            if link is not None and not link.lost:
                return link
            return await self._connect(name, address)

    async def _connect(self, name: str, address: str) -> result.Outcome[Link]:
        host, port = settings_lib.split_address(address)
        try:
            with anyio.fail_after(self._connect_timeout_s):
                stream = await anyio.connect_tcp(host, port)
        except (OSError, TimeoutError) as error:
            return result.Failure(
                result.TARGET_UNREACHABLE, f"{name} at {address}: {error}"
            )
        link = Link(name, stream)
        self._links[address] = link
        link.send(0, frame.Hello(self._process, self.version, clock.now_ms()))
        self._tasks.start_soon(link.run)
        return link

    def open_count(self) -> int:
        """Returns how many connections are open."""
        return sum(not link.lost for link in self._links.values())
