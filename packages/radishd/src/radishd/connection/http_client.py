"""One HTTP/1.1 connection to a target or to the platform.

``httpcore`` reads no response before it has written the request body, cannot
skip a response that belongs to an earlier request, and uses several times the
CPU time for each event of a stream. This client therefore drives
``httptools``, the parser of ``uvicorn``, on an asyncio transport.
"""

import asyncio
import collections
import dataclasses
import enum
import itertools
import socket
import struct

import anyio
import httptools

from radishd.process import response_bounds

# Linux closes the connection when sent bytes stay unacknowledged for this long,
# and probes an idle connection every second. A peer behind a network partition
# is thus detected within about three seconds instead of minutes.
USER_TIMEOUT_MS = 2_500
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3
FIRST_FINAL_STATUS = 200
# With SO_LINGER on and zero seconds, closing resets the connection.
_RESET = struct.pack("ii", 1, 0)
NO_CONTENT = (204, 304)
MS_PER_S = 1_000

Headers = tuple[tuple[bytes, bytes], ...]

_numbers = itertools.count(1)


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """Status and headers of a response; header names are in lower case."""

    status: int
    headers: Headers

    def get(self, name: bytes) -> bytes | None:
        """Returns the first header of a name, or None."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


class Framing(enum.Enum):
    """How the end of a response body is marked; the values are log labels."""

    NO_BODY = "no_body"
    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"


def framing(head: Head) -> Framing:
    """Returns how the body of a response is framed."""
    if head.status in NO_CONTENT:
        return Framing.NO_BODY
    if head.get(b"transfer-encoding") is not None:
        return Framing.CHUNKED
    if head.get(b"content-length") is not None:
        return Framing.LENGTH
    return Framing.CLOSE


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """Returned in place of a response when the connection is lost.

    Attributes:
        reason: The error, for logs.
        malformed: Whether the peer sent bytes that are not a valid response.
        timed_out: Whether the connection timed out at the TCP level because
            the peer was unreachable; otherwise the peer closed it.
    """

    reason: str
    malformed: bool = False
    timed_out: bool = False


class _Incoming:
    """One response, as far as it has been parsed."""

    __slots__ = (
        "body",
        "complete",
        "head",
        "header_list",
        "keeps_alive",
    )

    def __init__(self) -> None:
        self.head: Head | None = None
        self.header_list: list[tuple[bytes, bytes]] = []
        # One buffer, as each object of a few bytes would take many times that.
        self.body = bytearray()
        self.complete = False
        self.keeps_alive = False


class Connection(asyncio.Protocol):
    """A connection that carries one request at a time.

    Attributes:
        number: Number of the connection, unique in this process.
        request_count: Number of requests that were sent on it.
        received_bytes: Number of bytes received since the last one was sent.
        tainted: Whether it must not be reused.
    """

    def __init__(self) -> None:
        """Starts unconnected; ``open_connection`` connects it."""
        self.number = next(_numbers)
        self.request_count = 0
        self.received_bytes = 0
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._incoming: collections.deque[_Incoming] = collections.deque()
        self._parsing: _Incoming | None = None
        self._lost: Lost | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._busy = False
        self._paused = False
        self._unread = response_bounds.Hold()
        # Consecutive bytes without body data, and whether the current slice had
        # any.
        self._bodiless_bytes = 0
        self._has_body = False
        self._skipped_count = 0
        self.tainted = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sets socket options that detect an unreachable peer."""
        self._transport = transport
        sock = transport.get_extra_info("socket")
        for level, option, value in (
            (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
            (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
            (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
            (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
            (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
            (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        ):
            sock.setsockopt(level, option, value)

    def data_received(self, data: bytes) -> None:
        """Parses received bytes."""
        if not self._busy:
            # No request is pending, so this is a late second response to an
            # earlier one. A reused connection would return it to the next
            # request.
            self._fail(Lost("bytes without a request", malformed=True))
            return
        for start in range(0, len(data), response_bounds.PARSED_BYTES):
            reason = self._parse(
                data[start : start + response_bounds.PARSED_BYTES]
            )
            if reason:
                self._fail(Lost(reason, malformed=True))
                return
        self._wake()

    def _parse(self, data: bytes) -> str:
        """Parses bytes; returns why they are no response, empty if they are."""
        self._has_body = False
        try:
            self._parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            return f"not an answer: {error}"
        self.received_bytes += len(data)
        self._bodiless_bytes += len(data)
        if self._has_body:
            self._bodiless_bytes = 0
        if self._bodiless_bytes > response_bounds.MAX_HEAD_BYTES:
            return f"{self._bodiless_bytes} bytes without a body"
        if len(self._incoming) > response_bounds.MAX_WAITING_RESPONSES:
            return f"{len(self._incoming)} responses to one request"
        return ""

    def on_message_begin(self) -> None:
        """Starts a response."""
        self._parsing = _Incoming()
        self._incoming.append(self._parsing)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header."""
        self._parsing.header_list.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Stores status and headers of the response."""
        incoming = self._parsing
        status = response_bounds.check_status(self._parser.get_status_code())
        incoming.head = Head(status, tuple(incoming.header_list))
        incoming.keeps_alive = self._parser.should_keep_alive()

    def on_body(self, body: bytes) -> None:
        """Adds a piece of the body."""
        self._parsing.body += body
        self._has_body = True
        self._unread.resize(self._unread.size_bytes + len(body))
        too_many = self._unread.exceeds(response_bounds.HIGH_WATER_BYTES)
        if too_many and not self._paused:
            self._paused = True
            self._transport.pause_reading()

    def on_message_complete(self) -> None:
        """Marks a response as complete and drops an informational one."""
        incoming = self._parsing
        self._parsing = None
        if incoming.head.status < FIRST_FINAL_STATUS:
            self._incoming.remove(incoming)
            return
        incoming.complete = True

    def eof_received(self) -> bool:
        """Closes the connection after the peer has closed its side."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Completes a response without a length; records why it closed."""
        parsing = self._parsing
        if (
            error is None
            and self._lost is None
            and parsing is not None
            and parsing.head is not None
            and framing(parsing.head) is Framing.CLOSE
        ):
            # A response without a length ends when the connection closes.
            # A reset sets ``error`` and is not handled here.
            parsing.complete = True
            parsing.keeps_alive = False
            self._parsing = None
        if self._lost is None:
            self._lost = Lost(
                repr(error) if error else "closed by peer",
                timed_out=isinstance(error, TimeoutError),
            )
        self._wake()

    def _fail(self, lost: Lost) -> None:
        self._lost = lost
        if self._transport is not None:
            self._transport.abort()
        self._wake()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def _wait(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    @property
    def is_open(self) -> bool:
        """Whether the connection can carry a request, as far as known."""
        return (
            self._lost is None
            and not self.tainted
            and not self._transport.is_closing()
        )

    @property
    def label(self) -> str:
        """The connection and its current request, as ``number/request``."""
        return f"{self.number}/{self.request_count}"

    @property
    def is_busy(self) -> bool:
        """Whether a request is in progress."""
        return self._busy

    def announced_keep_alive_s(self) -> int:
        """Returns the keep-alive timeout of the current response."""
        return keep_alive_s(self._incoming[0].head)

    def send(self, data: bytes) -> None:
        """Sends a whole request."""
        self._busy = True
        self._bodiless_bytes = 0
        self.received_bytes = 0
        self.request_count += 1
        self._transport.write(data)

    async def head(self) -> Head | Lost:
        """Waits for the head of the next response."""
        while True:
            if self._incoming and self._incoming[0].head is not None:
                return self._incoming[0].head
            if self._lost is not None:
                return self._lost
            await self._wait()

    async def chunk(self) -> bytes | Lost:
        """Waits for more bytes of the body.

        Returns:
            The available bytes, empty at the end of a complete response.
        """
        incoming = self._incoming[0]
        while True:
            if incoming.body:
                data = bytes(incoming.body)
                incoming.body.clear()
                self._unread.resize(self._unread.size_bytes - len(data))
                if self._paused:
                    self._paused = False
                    self._transport.resume_reading()
                return data
            if incoming.complete:
                return b""
            if self._lost is not None:
                return self._lost
            await self._wait()

    async def skip(self) -> Lost | None:
        """Reads an unneeded response to its end and drops it.

        Returns:
            Why the next response cannot be read, None if it can.
        """
        self._skipped_count += 1
        if self._skipped_count > response_bounds.MAX_WAITING_RESPONSES:
            return Lost("too many responses", malformed=True)
        while True:
            data = await self.chunk()
            if isinstance(data, Lost):
                return data
            if not data:
                self._incoming.popleft()
                self.tainted = True
                return None
            if self.received_bytes > response_bounds.MAX_WHOLE_BYTES:
                return Lost("a response too large to skip", malformed=True)

    def finish(self) -> bool:
        """Finishes a request whose response is complete.

        Returns:
            Whether the connection can carry another request.
        """
        incoming = self._incoming.popleft()
        clean = not self._incoming and self._parsing is None
        self._busy = False
        if not (incoming.keeps_alive and clean and self.is_open):
            self.close()
            return False
        return True

    def close(self) -> None:
        """Closes the connection; a request in progress is aborted."""
        if self._transport is None:
            return
        self._unread.resize(0)
        for incoming in self._incoming:
            incoming.body.clear()
        if self._lost is None:
            # The end of the connection must not pass for the end of a response
            # without a length that another task still reads.
            self._lost = Lost("closed by this process")
        if self._busy:
            # A plain close would still deliver buffered bytes to a paused or
            # partitioned peer, seconds after the caller disconnected. A reset
            # discards them.
            sock = self._transport.get_extra_info("socket")
            if sock is not None and not self._transport.is_closing():
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            self._transport.abort()
        else:
            self._transport.close()


async def open_connection(address: str, timeout_ms: float) -> Connection | Lost:
    """Opens a connection.

    Args:
        address: ``ip:port``.
        timeout_ms: Connect timeout.

    Returns:
        The connection, or why it could not be opened.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_ms / 1_000):
            _, connection = await loop.create_connection(
                Connection, host, int(port)
            )
    except TimeoutError:
        return Lost("connect timed out")
    except (OSError, OverflowError, ValueError) as error:
        # A malformed address counts as unreachable.
        return Lost(f"connect failed: {error}")
    return connection


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A complete response."""

    head: Head
    body: bytes


async def read_answer(
    connection: Connection,
    max_bytes: int = response_bounds.MAX_WHOLE_BYTES,
) -> Answer | Lost:
    """Reads a complete response that is not a stream.

    Args:
        connection: The connection.
        max_bytes: Maximum size of the body.
    """
    head = await connection.head()
    if isinstance(head, Lost):
        return head
    body = await read_body(connection, max_bytes)
    if isinstance(body, Lost):
        return body
    return Answer(head, body)


async def read_body(
    connection: Connection,
    max_bytes: int = response_bounds.MAX_WHOLE_BYTES,
) -> bytes | Lost:
    """Reads the rest of a body to its end.

    Args:
        connection: The connection.
        max_bytes: Maximum size, with its head and framing; smaller while memory
            is low.
    """
    body = response_bounds.Body(max_bytes)
    try:
        while True:
            piece = await connection.chunk()
            if isinstance(piece, Lost):
                return piece
            if not piece:
                return body.join()
            too_large = connection.received_bytes > max_bytes
            if not body.add(piece) or too_large:
                return Lost("the body is too large", malformed=True)
    finally:
        body.release()


async def discard_body(connection: Connection) -> bool:
    """Reads a body that is not needed, if it is short and ends soon.

    Returns:
        Whether it has ended, so that the connection can be reused.
    """
    timeout_s = response_bounds.DISCARD_TIMEOUT_MS / MS_PER_S
    with anyio.move_on_after(timeout_s):
        body = await read_body(connection, response_bounds.MAX_DISCARDED_BYTES)
        return not isinstance(body, Lost)
    return False


def keep_alive_s(head: Head) -> int:
    """Returns the keep-alive timeout that a peer announced, 0 if none."""
    value = head.get(b"keep-alive") or b""
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.strip().isdigit():
            return int(number[: response_bounds.MAX_SECONDS_DIGITS])
    return 0
