"""Compares which requests two parsers find in the same bytes.

``python -m tests.clients.parser_comparison COUNT [SEED]`` plays more inputs.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Sequence
import dataclasses
import itertools
import random
import sys
from typing import Any
from unittest import mock

import h11
from radishd.process import client_bounds
from radishd.process import client_connection
from radishd.process import web
from uvicorn.server import ServerState

SMUGGLED = b"POST /smuggled HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"
BODIES = (b"", b"x", SMUGGLED, b"0\r\n\r\n" + SMUGGLED, b"a" * 300)
SECOND = b"GET /second HTTP/1.1\r\nHost: h\r\n\r\n"
METHODS = (b"GET", b"POST", b"PUT", b"HEAD", b"OPTIONS", b"DELETE")
TARGETS = (
    b"/first",
    b"/first?a=b&c",
    b"http://h/first",
    b"/first/%2e%2e",
    b"*",
)
HEADERS = (
    b"Connection: close\r\n",
    b"Connection: keep-alive\r\n",
    b"Connection: Upgrade\r\nUpgrade: h2c\r\n",
    b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
    b"HTTP2-Settings: AAMAAABk\r\n",
    b"Expect: 100-continue\r\n",
    b"Trailer: X\r\n",
    b"TE: trailers\r\n",
    b"X: a\r\n b\r\n",
    b"X : y\r\n",
    b"X:\r\n",
    b"X: \x00\r\n",
    b"X: a\rb\r\n",
    b"X: y\n",
    b"\x0bX: y\r\n",
)
# Framing headers by a format of the body's length. With the second value, they
# name more than one length, or none that is certain: only a refusal is right.
LENGTHS = (
    (b"Content-Length: %d\r\n", False),
    (b"content-length:%d\r\n", False),
    (b"Content-Length: %d \r\n", False),
    (b"Content-Length: %d\r\nContent-Length: %d\r\n", True),
    (b"Content-Length: %d\r\nContent-Length: 0%d1\r\n", True),
    (b"Content-Length: %d, %d\r\n", True),
    (b"Content-Length: +%d\r\n", True),
    (b"Content-Length: -%d\r\n", True),
    (b"Content-Length: 0x%d\r\n", True),
    (b"Content-Length: %d 0\r\n", True),
    (b"Content-Length : %d\r\n", True),
)
CODINGS = (
    (b"Transfer-Encoding: chunked\r\n", False),
    (b"transfer-encoding:CHUNKED\r\n", False),
    (b"Transfer-Encoding: chunked\r\nContent-Length: 3\r\n", True),
    (b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", True),
    # The port does not decode the body, and passes it on as it is.
    (b"Transfer-Encoding: gzip, chunked\r\n", False),
    (b"Transfer-Encoding: chunked, gzip\r\n", True),
    (b"Transfer-Encoding: chunked\r\nTransfer-Encoding: x\r\n", True),
    (b"Transfer-Encoding: xchunked\r\n", True),
    (b"Transfer-Encoding : chunked\r\n", True),
    (b"Transfer-Encoding: \x0bchunked\r\n", True),
)
# Chunk sizes by a format of the length, and whether they are certain.
SIZES = (
    (b"%x", True),
    (b"0%x", True),
    (b"%x;a=b", True),
    (b"%x ", False),
    (b"+%x", False),
    (b"0x%x", False),
    (b"%x\n", False),
)
TRAILERS = (b"", b"X: y\r\n", b"Content-Length: 9\r\n")


@dataclasses.dataclass(frozen=True, slots=True)
class Input:
    """Bytes of two requests.

    Attributes:
        data: The bytes.
        body: Body of the first request.
        is_certain: Whether its length is certain.
    """

    data: bytes
    body: bytes
    is_certain: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Found:
    """A request that a parser found."""

    method: bytes
    target: bytes
    body: bytes


def _choose(
    framings: Sequence[tuple[bytes, bool]], source: random.Random
) -> tuple[bytes, bool]:
    """Chooses a framing, a certain one in half of the cases."""
    if source.random() < 0.5:
        framings = [one for one in framings if not one[1]]
    return source.choice(framings)


def draw(source: random.Random) -> Input:
    """Draws an input."""
    body = source.choice(BODIES)
    head = b"%s %s HTTP/1.%d\r\nHost: h\r\n" % (
        source.choice(METHODS),
        source.choice(TARGETS),
        source.random() < 0.9,
    )
    extra = source.sample(HEADERS, source.choice((0, 0, 0, 0, 1, 2)))
    if source.random() < 0.5:
        framing, is_unsure = _choose(LENGTHS, source)
        framing = framing.replace(b"%d", b"%d" % len(body))
        framed, is_certain = body, not is_unsure
    else:
        framing, is_unsure = _choose(CODINGS, source)
        size, is_size_certain = source.choice(SIZES)
        framed = b""
        if body:
            half = len(body) // 2 if len(body) > 1 else 1
            for part in (body[:half], body[half:]):
                if part:
                    framed += size % len(part) + b"\r\n" + part + b"\r\n"
        framed += b"0\r\n" + source.choice(TRAILERS) + b"\r\n"
        is_certain = not is_unsure and (is_size_certain or not body)
    lines = [framing, *extra]
    source.shuffle(lines)
    data = head + b"".join(lines) + b"\r\n" + framed + SECOND
    return Input(data, body, is_certain)


def split(data: bytes, source: random.Random) -> list[bytes]:
    """Splits bytes at random places."""
    count = source.choice((0, 0, 1, 2, 5))
    cuts = sorted({source.randrange(1, len(data)) for _ in range(count)})
    bounds = [0, *cuts, len(data)]
    return [data[start:end] for start, end in itertools.pairwise(bounds)]


def parse_with_h11(data: bytes) -> list[Found] | None:
    """Returns the requests that h11 finds, None if it refuses one."""
    connection = h11.Connection(h11.SERVER)
    connection.receive_data(data)
    found: list[Found] = []
    request: h11.Request | None = None
    body = b""
    while True:
        try:
            event = connection.next_event()
        except h11.RemoteProtocolError:
            return None
        if isinstance(event, h11.Request):
            request, body = event, b""
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            found.append(Found(request.method, request.target, body))
            connection.send(h11.Response(status_code=200, headers=[]))
            connection.send(h11.EndOfMessage())
            if connection.our_state is not h11.DONE:
                return found
            connection.start_next_cycle()
        else:
            return found


class Port:
    """A port whose connections are fed in memory."""

    def __init__(self, *, closes: bool = False) -> None:
        """Starts without connections.

        Args:
            closes: Whether each response closes its connection.
        """
        self.found: list[Found] = []
        self._headers = [(b"content-length", b"0")]
        if closes:
            self._headers.append((b"connection", b"close"))
        server = web.make_server(self._app, "127.0.0.1", 0)
        self._config = server.config
        self._config.load()

    async def _app(
        self, scope: web.Scope, receive: web.Receive, send: web.Send
    ) -> None:
        body = b""
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                return
            body += message.get("body", b"")
            if not message.get("more_body"):
                break
        target = scope[client_connection.TARGET]
        self.found.append(Found(scope["method"].encode(), target, body))
        await web.reply(send, 200, list(self._headers), b"")

    async def parse(self, pieces: list[bytes]) -> list[Found]:
        """Returns the requests that one connection delivers."""
        self.found = []
        bounds = client_bounds.ClientBounds()
        bounds.open_count += 1
        protocol: Any = client_connection.ClientConnection(
            self._config, ServerState(), {}, bounds=bounds
        )
        transport = mock.Mock()
        transport.is_closing.return_value = False
        transport.get_write_buffer_size.return_value = 0
        transport.get_extra_info.side_effect = lambda name: (
            None if name == "socket" else ("127.0.0.1", 1)
        )
        for name in ("close", "abort", "write_eof"):
            getattr(transport, name).side_effect = lambda: setattr(
                transport.is_closing, "return_value", True
            )
        protocol.connection_made(transport)
        for piece in pieces:
            if not transport.is_closing():
                protocol.data_received(piece)
            for _ in range(4):
                await asyncio.sleep(0)
        for _ in range(20):
            await asyncio.sleep(0)
        protocol.connection_lost(None)
        await asyncio.sleep(0)
        return self.found


def judge(one: Input, found: list[Found], other: list[Found] | None) -> str:
    """Returns what is wrong with the requests found, empty if nothing is.

    Args:
        one: The input.
        found: What the port delivered.
        other: What the other parser found, None if it refused the input.
    """
    if any(b"smuggled" in request.target for request in found):
        return "a body is run as a request"
    if found and not one.is_certain and other is None:
        if found[0].body != one.body or len(found) > 1:
            return "a request of uncertain length is delivered"
    elif found and found[0].body != one.body:
        return "a body is changed"
    if len(found) > 2:
        return "more requests than were sent"
    # h11 closes a connection of HTTP/1.0, also one that is to be kept.
    common = min(len(found), len(other or ()))
    is_shorter = b"HTTP/1.0" in one.data or common == len(found)
    if other and found and (found[:common] != other[:common] or not is_shorter):
        return "the parsers disagree"
    return ""


async def compare(
    count: int, seed: int
) -> tuple[list[str], collections.Counter[str]]:
    """Compares the parsers on drawn inputs.

    Args:
        count: Number of inputs.
        seed: Seed of the inputs.

    Returns:
        The problems, and how often each kind of outcome came.
    """
    source = random.Random(seed)
    port = Port()
    problems: list[str] = []
    outcomes: collections.Counter[str] = collections.Counter()
    for _ in range(count):
        one = draw(source)
        whole = await port.parse([one.data])
        parts = await port.parse(split(one.data, source))
        other = parse_with_h11(one.data)
        problem = judge(one, whole, other)
        if not problem and parts != whole:
            problem = "the outcome depends on how bytes arrive"
        if problem:
            problems.append(f"{problem}: {one.data!r}: {whole} {parts} {other}")
        delivered = "delivered" if whole else "refused"
        refused = "refuses" if other is None else "finds"
        outcomes[f"{delivered}, h11 {refused}"] += 1
        outcomes["certain" if one.is_certain else "uncertain"] += 1
    return problems, outcomes


def main() -> int:
    """Compares as many inputs as the command line asks for."""
    seed = int(sys.argv[2]) if len(sys.argv) > 2 else 1
    problems, outcomes = asyncio.run(compare(int(sys.argv[1]), seed))
    print("\n".join(problems[:10]))
    print(dict(outcomes), f"{len(problems)} problems")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
