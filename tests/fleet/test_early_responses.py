"""Responses during an upload, and responses whose status is none."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import socket
import struct
import time

import anyio
from radishd.connection import http_client
from standins import platform_site

from tests.fleet import fixtures

# More than the kernel takes while the target reads nothing.
UPLOAD_BYTES = 24 * 1024 * 1024
RESET = struct.pack("ii", 1, 0)
FIRST_READ_BYTES = 1_024
Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def _response(attempt: str, status: str, extra: str, body: str) -> bytes:
    head = (
        f"HTTP/1.1 {status}\r\nX-Attempt-Id: {attempt}\r\n"
        f"X-Server-Signature: s.i-raw\r\n{extra}\r\n"
    )
    return (head + body).encode()


@contextlib.asynccontextmanager
async def _server(serve: Serve, host: str, port: int) -> AsyncIterator[str]:
    server = await asyncio.start_server(serve, host, port, limit=4_096)
    port = server.sockets[0].getsockname()[1]
    try:
        yield f"{host}:{port}"
    finally:
        server.close()


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    writer.transport.abort()


async def _exchange(
    serve: Serve, upload_bytes: int = UPLOAD_BYTES
) -> http_client.Answer | http_client.Lost:
    """Uploads a body, and reads the response to it."""
    async with _server(serve, "127.0.0.1", 0) as address:
        connection = await http_client.open_connection(address, 1_000)
        head = b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % upload_bytes
        connection.send(head + bytes(upload_bytes))
        with anyio.fail_after(10):
            answer = await http_client.read_answer(connection)
        connection.close()
        return answer


def _respond_early(
    response: bytes, end: Callable[..., None], pause_s: float = 0.1
) -> Serve:
    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.read(FIRST_READ_BYTES)
        writer.write(response)
        await writer.drain()
        await asyncio.sleep(pause_s)
        end(writer)

    return serve


def _finish_sending(writer: asyncio.StreamWriter) -> None:
    """Ends the response first, and resets the connection after a while."""
    writer.write_eof()
    asyncio.get_running_loop().call_later(0.1, _reset, writer)


def test_a_response_cut_during_an_upload_is_not_complete() -> None:
    """Guards against an end of the connection that passes for an end of a body.

    The target answers an upload at once, without a length, and resets the
    connection while the upload is still being written.
    """
    partial = _response("a", "200 OK", "", "only a part")

    async def play() -> None:
        for end in (_reset, _finish_sending):
            for pause_s in (0.0, 0.1):
                serve = _respond_early(partial, end, pause_s)
                answer = await _exchange(serve)
                assert isinstance(answer, http_client.Lost), (end, answer)

    fixtures.run(play)


def test_a_caller_gets_no_response_that_was_cut_during_its_upload() -> None:
    """Guards against a part of an answer that a caller takes for all of it."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        attempt = await _read_attempt_id(reader)
        writer.write(_response(attempt, "200 OK", "", "only a part"))
        await writer.drain()
        await asyncio.sleep(0.1)
        _reset(writer)

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=1) as fleet:
            body = fixtures.configuration(version=2)
            body["limits"]["maxBodyBytes"] = 2 * UPLOAD_BYTES
            fleet.store.put("config", "main", body)
            await fleet.until(
                lambda: fleet.gateway.table.version == 2, "the limit is known"
            )
            answer, _ = await _call_raw_target(
                fleet, serve, body=bytes(UPLOAD_BYTES)
            )
            assert answer.status == 502 and answer.whole, answer

    fixtures.run(play)


def test_a_whole_response_before_a_reset_counts() -> None:
    """Guards against a write error that hides the response read after it."""
    whole = _response("a", "503 Busy", "Content-Length: 4\r\n", "full")

    async def play() -> None:
        for end in (_reset, _finish_sending):
            answer = await _exchange(_respond_early(whole, end))
            assert isinstance(answer, http_client.Answer), (end, answer)
            assert answer.body == b"full"

    fixtures.run(play)


def test_the_rest_of_an_upload_precedes_the_next_request() -> None:
    """Guards against a next request where a body is still due.

    The target answers early, keeps the connection and reads on later.
    """
    whole = _response("a", "200 OK", "Content-Length: 2\r\n", "ok")
    received = bytearray()

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        received.extend(await reader.read(FIRST_READ_BYTES))
        writer.write(whole)
        await asyncio.sleep(0.2)
        while data := await reader.read(65_536):
            received.extend(data)

    async def play() -> None:
        async with _server(serve, "127.0.0.1", 0) as address:
            connection = await http_client.open_connection(address, 1_000)
            body = b"b" * UPLOAD_BYTES
            head = b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body)
            connection.send(head + body)
            answer = await http_client.read_answer(connection)
            assert isinstance(answer, http_client.Answer), answer
            upload = head + body
            if connection.finish():
                connection.send(b"GET /next HTTP/1.1\r\n\r\n")
            connection.close()
            await asyncio.sleep(0.5)
            assert upload.startswith(bytes(received[: len(upload)]))
            assert b"GET" not in received[: len(upload)]

    fixtures.run(play)


def _answer(status: str) -> Serve:
    """Returns a target that answers each request with a status."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        attempt = await _read_attempt_id(reader)
        extra = "Content-Length: 2\r\n"
        writer.write(_response(attempt, status, extra, "ok"))
        await writer.drain()

    return serve


async def _read_attempt_id(reader: asyncio.StreamReader) -> str:
    request = await reader.readuntil(b"\r\n\r\n")
    lines = request.decode("latin-1").lower().split("\r\n")
    ids = [one for one in lines if one.startswith("x-attempt-id")]
    return ids[0].partition(": ")[2] if ids else ""


async def _use_only(fleet: fixtures.Fleet, host: str) -> None:
    """Lists a raw target in place of the only one."""
    spec = dict(fleet.store.objects["servers"]["i-plain0"]["spec"])
    spec["address"] = f"{host}:{fixtures.TARGET_PORT}"
    fleet.store.put("servers", "i-raw", spec)
    fleet.store.delete("servers", "i-plain0")
    await fleet.until(
        lambda: set(fleet.gateway.roster.members) == {"i-raw"},
        "only the raw target is known",
    )


async def _call_raw_target(
    fleet: fixtures.Fleet,
    serve: Serve,
    *,
    route: str = "/book/1",
    body: bytes = b"",
) -> tuple[fixtures.Answer, float]:
    """Calls a raw target; returns the answer and how long it took."""
    host = fleet.host()
    async with _server(serve, host, fixtures.TARGET_PORT):
        await _use_only(fleet, host)
        began_s = time.monotonic()
        answer = await fleet.call(route, body=body, left_ms=2_500)
        return answer, time.monotonic() - began_s


def test_a_status_that_is_none_is_no_answer() -> None:
    """Guards against a status that is awaited, passed on, or ends the server.

    A status below 100 counted as one of an interim response, and the server
    cannot send one above 599.
    """

    async def play(status: str) -> None:
        async with fixtures.running_fleet(engines=0, plain=1) as fleet:
            answer, took_s = await _call_raw_target(fleet, _answer(status))
            assert answer.status == 502 and answer.whole, (status, answer)
            assert took_s < 1.0, status
            assert not fleet.gateway.metrics.broken.get_all(), status

    async def play_all() -> None:
        for status in ("000 None", "099 Low", "600 High", "999 Max", "0 Zero"):
            await play(status)

    fixtures.run(play_all)


def test_an_unknown_status_within_the_range_is_passed_on() -> None:
    """Guards against a server that knows only the registered statuses."""

    async def play(status: int) -> None:
        async with fixtures.running_fleet(engines=0, plain=1) as fleet:
            answer, _ = await _call_raw_target(
                fleet, _answer(f"{status} Other")
            )
            assert answer.status == status and answer.whole, answer

    async def play_all() -> None:
        for status in (299, 399, 499, 599):
            await play(status)

    fixtures.run(play_all)


def test_an_interim_response_is_no_answer() -> None:
    """Guards against a switch of protocols that nobody asked for."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=1) as fleet:
            answer, took_s = await _call_raw_target(
                fleet, _answer("101 Switching")
            )
            assert answer.status == 502 and answer.whole, answer
            assert took_s < 1.0

    fixtures.run(play)


def test_a_response_to_head_has_no_body() -> None:
    """Guards against a wait for a body that a response only describes."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        attempt = await _read_attempt_id(reader)
        extra = "Content-Length: 2\r\n"
        writer.write(_response(attempt, "200 OK", extra, ""))
        await writer.drain()
        await reader.read()

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=1) as fleet:
            host = fleet.host()
            async with _server(serve, host, fixtures.TARGET_PORT):
                await _use_only(fleet, host)
                front = fleet.gateway.own.listen.split(":")
                reader, writer = await asyncio.open_connection(*front)
                request = platform_site.request(
                    "HEAD", "/look/1", "h1", left_ms=1_000
                )
                writer.write(request)
                head = await reader.readuntil(b"\r\n\r\n")
                writer.close()
        assert head.startswith(b"HTTP/1.1 200"), head
        assert b"content-length: 2\r\n" in head.lower(), head

    fixtures.run(play)
