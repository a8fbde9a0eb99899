"""Clients that ignore the limits, beside ordinary callers."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import random
import socket

CROWD = 6
RECEIVE_BYTES = 65_536
_PART = b"a" * 65_536
_START = b"POST /book/x HTTP/1.1\r\nHost: shop.example\r\n"
_CHUNKED = _START + b"X-Attempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n"


@dataclasses.dataclass(frozen=True, slots=True)
class Form:
    """What each client of a crowd sends.

    Attributes:
        first: Sent once.
        repeated: Sent again and again after it, empty to send nothing more.
        reads: Whether answers are read.
        pause_s: Pause between two repetitions.
    """

    first: bytes = b""
    repeated: bytes = b""
    reads: bool = False
    pause_s: float = 0.0


FORMS = (
    Form(_START + b"X: ", _PART),
    Form(_START, b"X: y\r\n" * 10_000),
    Form(repeated=b"\r\n" * 32_768),
    Form(repeated=b"GET / HTTP/1.1\r\n\r\n" * 3_000),
    Form(repeated=b"GET /-/readyz HTTP/1.1\r\nHost: h\r\n\r\n" * 2_000),
    Form(repeated=_START + b"Content-Length: 9\r\n\r\n" + 9 * b"a", reads=True),
    Form(_CHUNKED + b"0\r\n", b"X: y\r\n" * 10_000),
    Form(_CHUNKED + b"1;", _PART),
    Form(_CHUNKED, b"10000\r\n" + _PART + b"\r\n"),
    Form(_START, b"a", pause_s=0.2),
    Form(repeated=b"\r\n", pause_s=0.2),
    Form(_CHUNKED + b"5\r\nabc"),
    Form(),
)


async def misbehave(address: tuple[str, int], form: Form) -> None:
    """Sends a form on one connection until it ends or this is cancelled.

    Args:
        address: Host and port.
        form: What to send.
    """
    loop = asyncio.get_running_loop()
    with socket.socket() as connection, contextlib.suppress(OSError):
        connection.setblocking(False)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        await loop.sock_connect(connection, address)
        reads = _discard(connection) if form.reads else _read_nothing()
        reader = asyncio.create_task(reads)
        try:
            await loop.sock_sendall(connection, form.first)
            while form.repeated:
                await loop.sock_sendall(connection, form.repeated)
                await asyncio.sleep(form.pause_s)
            await asyncio.Event().wait()
        finally:
            reader.cancel()


async def _read_nothing() -> None:
    """Leaves all answers unread."""


async def _discard(connection: socket.socket) -> None:
    loop = asyncio.get_running_loop()
    with contextlib.suppress(OSError):
        while await loop.sock_recv(connection, RECEIVE_BYTES):
            pass


async def run_crowd(
    address: tuple[str, int], source: random.Random, for_s: float
) -> None:
    """Plays clients of random forms at one port.

    Args:
        address: Host and port.
        source: Random source.
        for_s: How long.
    """
    clients = [
        asyncio.create_task(misbehave(address, source.choice(FORMS)))
        for _ in range(CROWD)
    ]
    await asyncio.sleep(for_s)
    for client in clients:
        client.cancel()
    await asyncio.gather(*clients, return_exceptions=True)
