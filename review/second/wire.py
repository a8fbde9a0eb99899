"""A small HTTP/1.1 reader and writer on asyncio streams."""

import asyncio
import dataclasses
import json
from typing import Any
import urllib.parse

Headers = list[tuple[str, str]]


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One request as it was received.

    Attributes:
        method: HTTP method.
        target: Path and query as sent.
        headers: Headers, names in lower case.
        body: Whole body.
    """

    method: str
    target: str
    headers: Headers
    body: bytes

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        """Query parameters."""
        return dict(urllib.parse.parse_qsl(self.target.partition("?")[2]))

    def get(self, name: str) -> str:
        """Returns the first header of a name, empty if there is none."""
        return next((v for n, v in self.headers if n == name), "")


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Headers]:
    """Reads a first line and headers.

    Raises:
        asyncio.IncompleteReadError: If the channel ends before.
    """
    data = await reader.readuntil(b"\r\n\r\n")
    first, *lines = data.decode("latin-1").split("\r\n")[:-2]
    headers = []
    for line in lines:
        name, _, value = line.partition(":")
        headers.append((name.strip().lower(), value.strip()))
    return first, headers


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Reads a body in chunks."""
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        body += (await reader.readexactly(size + 2))[:size]
        if not size:
            return body


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Reads a request, None if the channel ends before it is whole."""
    try:
        first, headers = await read_head(reader)
        method, target, _ = first.split(" ")
        named = dict(headers)
        body = b""
        if "chunked" in named.get("transfer-encoding", ""):
            body = await read_chunks(reader)
        elif "content-length" in named:
            body = await reader.readexactly(int(named["content-length"]))
    except (asyncio.IncompleteReadError, OSError):
        return None
    return Request(method, target, headers, body)


def answer(
    status: int, body: bytes = b"", headers: Headers | None = None
) -> bytes:
    """Encodes an answer with a length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers or []]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def json_answer(status: int, value: Any) -> bytes:
    """Encodes an answer with a JSON body."""
    return answer(
        status,
        json.dumps(value).encode(),
        [("Content-Type", "application/json")],
    )


async def call(
    address: str, method: str, target: str, value: Any = None
) -> tuple[int, Any]:
    """Makes one call with JSON bodies on a channel of its own."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        body = b"" if value is None else json.dumps(value).encode()
        writer.write(
            f"{method} {target} HTTP/1.1\r\nHost: {address}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
        first, headers = await read_head(reader)
        named = dict(headers)
        if "chunked" in named.get("transfer-encoding", ""):
            data = await read_chunks(reader)
        else:
            length = int(named.get("content-length", 0))
            data = await reader.readexactly(length)
        try:
            return int(first.split(" ")[1]), json.loads(data or b"null")
        except ValueError:
            return int(first.split(" ")[1]), data.decode("latin-1")
    finally:
        writer.close()
