"""A small HTTP/1.1 server and client on asyncio streams."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses

REASONS = {
    200: "OK",
    201: "Created",
    202: "Accepted",
    400: "Bad Request",
    404: "Not Found",
    409: "Conflict",
    410: "Gone",
    421: "Misdirected Request",
    503: "Service Unavailable",
}


@dataclasses.dataclass(slots=True)
class Request:
    """A request that was read whole.

    Attributes:
        method: HTTP method.
        target: Path and query.
        headers: Headers by lower-case name.
        body: Its body.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class Channel:
    """One connection of a caller, as a server sees it."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Wraps an accepted connection."""
        self.reader = reader
        self.writer = writer
        self.late_extra = b""

    def is_closed(self) -> bool:
        """Whether the caller has closed the connection."""
        return self.reader.at_eof() or self.writer.is_closing()

    async def write(self, data: bytes) -> None:
        """Writes bytes."""
        self.writer.write(data)
        await self.writer.drain()

    def abort(self) -> None:
        """Resets the connection."""
        self.writer.transport.abort()


Handler = Callable[[Request, Channel], Awaitable[None]]


def encode_head(
    status: int, headers: dict[str, str], length: int | None
) -> bytes:
    """Encodes the head of a response."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def encode(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Encodes a whole response."""
    return encode_head(status, headers, len(body)) + body


def _parse_head(data: bytes) -> tuple[str, dict[str, str]]:
    first, *lines = data.decode("latin-1").split("\r\n")
    headers: dict[str, str] = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers.setdefault(name.strip().lower(), value.strip())
    return first, headers


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Reads one request; returns None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        first, headers = _parse_head(head)
        method, target, _ = first.split(" ", 2)
        length = int(headers.get("content-length") or 0)
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, headers, body)


async def serve(handler: Handler, host: str, port: int) -> asyncio.Server:
    """Serves requests, one at a time on each connection.

    Args:
        handler: Answers one request.
        host: IP number to listen on.
        port: Port to listen on.
    """

    async def accept(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        channel = Channel(reader, writer)
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (request := await read_request(reader)) is not None:
                await handler(request, channel)
        with contextlib.suppress(RuntimeError):
            writer.close()

    return await asyncio.start_server(accept, host, port)


@dataclasses.dataclass(slots=True)
class Response:
    """What a client got; ``status`` is 0 if the connection ended before."""

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool


async def _read_chunks(reader: asyncio.StreamReader, body: bytearray) -> bool:
    while True:
        size = int((await reader.readline()).split(b";")[0] or b"0", 16)
        if not size:
            return await reader.readline() == b"\r\n"
        body += await reader.readexactly(size)
        await reader.readexactly(2)


async def read_response(reader: asyncio.StreamReader) -> Response:
    """Reads one response to its end, as far as it comes."""
    body = bytearray()
    status, headers, complete = 0, {}, False
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        first, headers = _parse_head(head)
        status = int(first.split(" ")[1])
        if headers.get("transfer-encoding") == "chunked":
            complete = await _read_chunks(reader, body)
        else:
            length = int(headers.get("content-length") or 0)
            body += await reader.readexactly(length)
            complete = True
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        complete = False
    return Response(status, headers, bytes(body), complete)


class Client:
    """One kept connection of a client."""

    def __init__(self, host: str, port: int) -> None:
        """Creates a client that connects with its first request."""
        self._address = (host, port)
        self._streams: (
            tuple[asyncio.StreamReader, asyncio.StreamWriter] | None
        ) = None

    async def call(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
        timeout_s: float,
    ) -> Response:
        """Sends a request and reads its response.

        Returns:
            The response; after the timeout, one with status 0.
        """
        response = Response(0, {}, b"", False)
        try:
            async with asyncio.timeout(timeout_s):
                if self._streams is None:
                    self._streams = await asyncio.open_connection(
                        *self._address
                    )
                reader, writer = self._streams
                lines = [f"{method} {target} HTTP/1.1"]
                lines += [f"{name}: {one}" for name, one in headers.items()]
                if body:
                    lines.append(f"Content-Length: {len(body)}")
                data = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
                writer.write(data)
                response = await read_response(reader)
        except (TimeoutError, OSError):
            pass
        closes = response.headers.get("connection") == "close"
        if closes or not response.complete:
            self.close()
        return response

    def close(self) -> None:
        """Closes the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None
