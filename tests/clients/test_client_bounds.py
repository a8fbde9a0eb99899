"""Clients inside the limits meet none of the bounds; others meet them."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import functools
import itertools
import os
import random
import socket

import anyio
import hypothesis
import hypothesis.strategies as st
from radishd.process import client_bounds
from radishd.process import client_connection
from radishd.process import web

from tests.fleet import fixtures as fleet_fixtures

PORT = 8_150
LIMIT_S = fleet_fixtures.LIMIT_S
LARGE_BYTES = 4 * 1024 * 1024
PHASE = client_connection.Phase
_hosts = itertools.count(1)
_random = random.Random(os.getpid() * 104_729)
_SUBNET = f"127.{_random.randint(20, 250)}.{_random.randint(0, 255)}"


class Client:
    """A raw connection to the server under test."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Wraps an open connection."""
        self.reader = reader
        self.writer = writer

    async def send(self, data: bytes) -> None:
        """Sends bytes."""
        self.writer.write(data)
        await self.writer.drain()

    async def answer(self) -> tuple[int, bytes]:
        """Reads one answer; the status is 0 if there is none."""
        try:
            head = await self.reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            return 0, b""
        lines = head.lower().split(b"\r\n")
        (length,) = (
            int(line.partition(b":")[2])
            for line in lines
            if line.startswith(b"content-length")
        )
        return int(head.split()[1]), await self.reader.readexactly(length)

    async def is_closed(self) -> bool:
        """Whether the connection ends without further bytes."""
        try:
            return not await self.reader.read(1)
        except ConnectionError:
            return True


class Server:
    """A server that answers each request with its method, path and body."""

    def __init__(self, server: web.Server, address: tuple[str, int]) -> None:
        """Wraps a server that listens."""
        self.server = server
        self.bounds = server.bounds
        self.address = address

    async def connect(self) -> Client:
        """Opens a connection."""
        return Client(*await asyncio.open_connection(*self.address))

    async def count(self, expected: int) -> None:
        """Waits until so many connections are open."""
        while len(self.server.server_state.connections) != expected:
            await anyio.sleep(fleet_fixtures.POLL_S)


async def _echo(scope: web.Scope, receive: web.Receive, send: web.Send) -> None:
    parts = [scope["method"].encode(), scope["path"].encode()]
    more = True
    while more:
        message = await receive()
        if message["type"] == "http.disconnect":
            return
        parts.append(message["body"])
        more = message["more_body"]
    body = b" ".join(parts[:2]) + b" " + b"".join(parts[2:])
    headers = [(b"content-length", b"%d" % len(body))]
    await web.reply(send, 200, headers, body)


@contextlib.asynccontextmanager
async def _serving(
    bounds: client_bounds.ClientBounds, app: web.App = _echo
) -> AsyncIterator[Server]:
    address = (f"{_SUBNET}.{next(_hosts) % 250 + 1}", PORT)
    async with anyio.create_task_group() as tasks:
        server = web.make_server(app, *address, bounds)
        await tasks.start(functools.partial(web.serve, server))
        with anyio.fail_after(LIMIT_S):
            yield Server(server, address)
        tasks.cancel_scope.cancel()


def _run(
    play: Callable[[Server], Awaitable[None]],
    app: web.App = _echo,
    account: client_bounds.Account | None = None,
    **limits: int,
) -> None:
    bounds = client_bounds.ClientBounds(
        client_bounds.Limits(**limits), account=account
    )

    async def limited() -> None:
        async with _serving(bounds, app) as server:
            await play(server)

    anyio.run(limited)


_REQUESTS = (
    (b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n", b"GET /a "),
    (
        b"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 8\r\n\r\n\r\n\r\nGET ",
        b"POST /b \r\n\r\nGET ",
    ),
    (
        b"PUT /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"6;x=y\r\na\r\n\r\nb\r\n1\r\nc\r\n0\r\nT: v\r\n\r\n",
        b"PUT /c a\r\n\r\nbc",
    ),
    (
        b"POST /d HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\n"
        b"Upgrade: h2c\r\nContent-Length: 3\r\n\r\nxyz",
        b"POST /d xyz",
    ),
    (
        b"\r\nPOST /e HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n",
        b"POST /e ",
    ),
)


def test_requests_sent_ahead_are_answered_whatever_their_parts() -> None:
    """Guards against requests that are lost, mixed or cut between two reads."""

    @hypothesis.settings(max_examples=60, deadline=None, database=None)
    @hypothesis.given(
        st.lists(st.sampled_from(_REQUESTS), min_size=1, max_size=12),
        st.lists(st.integers(0, 1_500), max_size=6),
    )
    def check(sent: list[tuple[bytes, bytes]], cuts: list[int]) -> None:
        data = b"".join(request for request, _ in sent)
        ends = sorted({0, len(data), *(cut % len(data) for cut in cuts)})

        async def play(server: Server) -> None:
            client = await server.connect()
            for start, end in itertools.pairwise(ends):
                await client.send(data[start:end])
                await anyio.sleep(0)
            for _, expected in sent:
                assert await client.answer() == (200, expected)

        _run(play)

    check()


def test_many_requests_sent_ahead_are_answered_in_order() -> None:
    """Guards against a client that waits for answers above the high water."""
    count = 3_000

    async def play(server: Server) -> None:
        client = await server.connect()
        requests = [
            b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n" % number
            for number in range(count)
        ]

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(client.send, b"".join(requests))
            for number in range(count):
                expected = b"GET /%d " % number
                assert await client.answer() == (200, expected)

    _run(play)


def test_a_part_of_a_head_may_wait_for_an_earlier_response() -> None:
    """Guards against a time limit that begins while a request waits."""
    goes_on = anyio.Event()

    async def wait(
        scope: web.Scope, receive: web.Receive, send: web.Send
    ) -> None:
        await goes_on.wait()
        await _echo(scope, receive, send)

    async def play(server: Server) -> None:
        client = await server.connect()
        request, expected = _REQUESTS[0]
        await client.send(request + request[:20])
        await server.count(1)
        [connection] = server.server.server_state.connections
        while not connection._unparsed:
            await anyio.sleep(fleet_fixtures.POLL_S)
        # The earlier response takes longer than a head may.
        connection._received_s -= 60
        goes_on.set()
        assert await client.answer() == (200, expected)
        server.server._close_expired(anyio.current_time(), 0.0)
        await client.send(request[20:])
        assert await client.answer() == (200, expected)

    _run(play, wait, header_timeout_ms=30_000)


def test_a_body_is_read_no_faster_than_it_is_parsed() -> None:
    """Guards against received bytes that pile up before they are parsed."""

    async def play(server: Server) -> None:
        client = await server.connect()
        chunk = b"8000\r\n" + 16_384 * b"\r\n" + b"\r\n"
        request = b"PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
        most_bytes = 0
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(client.send, request + 8 * chunk + b"0\r\n\r\n")
            await server.count(1)
            [connection] = server.server.server_state.connections
            while connection.cycle is None or connection.cycle.more_body:
                most_bytes = max(most_bytes, len(connection._unparsed))
                await anyio.sleep(0)
            assert (await client.answer())[0] == 200
        bound = client_bounds.HIGH_WATER_BYTES + client_bounds.READ_BYTES
        assert most_bytes <= bound, most_bytes

    _run(play)


def test_a_head_just_below_the_bound_is_served() -> None:
    """Guards against a bound that a long head inside the limits meets."""
    limit = client_bounds.Limits().max_header_bytes
    short = b"".join(b"a%d:b\r\n" % number for number in range(2_000))
    for headers in (b"X: " + (limit - 8) * b"a" + b"\r\n", short):

        async def play(server: Server, headers: bytes = headers) -> None:
            client = await server.connect()
            await client.send(b"GET / HTTP/1.1\r\n" + headers + b"\r\n")
            assert (await client.answer())[0] == 200

        _run(play)


def test_a_head_over_the_bound_is_answered_431() -> None:
    """Guards against a reset that loses the answer of a refusal."""

    async def play(server: Server) -> None:
        client = await server.connect()
        size = server.bounds.limits.max_head_bytes
        refused: list[client_bounds.Reason] = []
        server.bounds.on_refused = refused.append
        # The client reads its answer once it has sent everything.
        client.writer.transport.pause_reading()
        await client.send(b"GET / HTTP/1.1\r\nX: " + 2 * size * b"a")
        while not refused:
            await anyio.sleep(fleet_fixtures.POLL_S)
        for _ in range(4):
            await anyio.sleep(0.05)
            await client.send(size * b"a")
        client.writer.transport.resume_reading()
        assert (await client.answer())[0] == 431
        assert await client.is_closed()
        assert not server.bounds.account.held_bytes

    _run(play)


def test_a_request_read_whole_is_answered_before_a_refusal() -> None:
    """Guards against a refusal that answers for an earlier request."""

    async def play(server: Server) -> None:
        client = await server.connect()
        request, expected = _REQUESTS[1]
        await client.send(3 * request + b"nonsense\r\n\r\n")
        for _ in range(3):
            assert await client.answer() == (200, expected)
        assert (await client.answer())[0] == 400
        assert await client.is_closed()

    _run(play)


def test_a_part_of_a_request_is_refused_in_time() -> None:
    """Guards against heads and bodies that are waited for for good."""
    for part in (
        b"GET / HTTP/1.1\r\nHost:",
        b"\r\n" * 20,
        b"PUT / HTTP/1.1\r\nContent-Length: 9\r\n\r\na",
    ):

        async def play(server: Server, part: bytes = part) -> None:
            client = await server.connect()
            await client.send(part)
            assert (await client.answer())[0] == 408
            assert await client.is_closed()
            client.writer.close()
            await server.count(0)

        _run(play, header_timeout_ms=200, body_timeout_ms=200)


def test_a_slow_request_inside_the_limits_is_served() -> None:
    """Guards against time limits that a slow body or an empty line meets."""
    request, expected = _REQUESTS[1]

    async def play(server: Server) -> None:
        client = await server.connect()
        await client.send(request)
        assert await client.answer() == (200, expected)
        # Some clients send an empty line behind a body.
        await client.send(b"\r\n")
        await anyio.sleep(1.5)
        await client.send(request[:-1])
        await anyio.sleep(1.5)
        await client.send(request[-1:])
        assert await client.answer() == (200, expected)

    _run(play, header_timeout_ms=200, idle_timeout_ms=30_000)


def test_a_pause_of_this_process_is_not_the_clients_delay() -> None:
    """Guards against clients that are refused after a process pause."""

    async def play(server: Server) -> None:
        client = await server.connect()
        await client.send(b"GET / HTTP/1.1\r\n")
        [connection] = server.server.server_state.connections
        await anyio.sleep(0.1)
        server.server._close_expired(anyio.current_time() + 60, 60.0)
        await client.send(b"Host: h\r\n\r\n")
        assert (await client.answer())[0] == 200
        del connection

    _run(play, header_timeout_ms=10_000)


def test_a_client_that_reads_slowly_gets_its_whole_answer() -> None:
    """Guards against backpressure that is taken for a client that is gone."""
    body = LARGE_BYTES * b"a"

    async def large(
        scope: web.Scope, receive: web.Receive, send: web.Send
    ) -> None:
        del scope, receive
        headers = [(b"content-length", b"%d" % len(body))]
        await web.reply(send, 200, headers, body)

    async def play(server: Server) -> None:
        reader, writer = await asyncio.open_connection(
            *server.address, limit=4_096
        )
        writer.write(_REQUESTS[0][0])
        received = checks = 0
        now_s = anyio.current_time()
        while received < len(body):
            part = await reader.read(65_536)
            assert part, received
            received += len(part)
            await anyio.sleep(0)
            # Each part takes a while, all of them longer than the timeout.
            if received > checks * 65_536:
                checks += 1
                server.server._close_expired(now_s + checks / 10, 0.0)

    _run(play, large, send_timeout_ms=4_000)


def test_a_client_that_reads_nothing_is_closed() -> None:
    """Guards against answers that wait for their reader for good."""

    async def play(server: Server) -> None:
        client = await server.connect()
        request = b"PUT / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % LARGE_BYTES
        client.writer.transport.pause_reading()
        await client.send(request + LARGE_BYTES * b"a")
        await server.count(1)
        await server.count(0)
        assert not server.bounds.account.held_bytes

    _run(play, send_timeout_ms=200)


def test_an_unused_connection_gives_way_to_a_new_one() -> None:
    """Guards against places that are taken by clients that send nothing."""

    async def play(server: Server) -> None:
        used, unused = await server.connect(), await server.connect()
        await used.send(_REQUESTS[0][0])
        assert (await used.answer())[0] == 200
        refused = await server.connect()
        assert await refused.is_closed()
        for connection in server.server.server_state.connections:
            connection.restart_timeouts(-2.0)
        late = await server.connect()
        assert await unused.is_closed()
        for client in (late, used):
            await client.send(_REQUESTS[0][0])
            assert (await client.answer())[0] == 200
        assert server.bounds.open_count == 2

    _run(play, max_connections=2, idle_timeout_ms=60_000)


def test_requests_that_were_received_are_answered_at_the_end() -> None:
    """Guards against a server that stops with requests it has read."""
    began, goes_on = anyio.Event(), anyio.Event()

    async def wait(
        scope: web.Scope, receive: web.Receive, send: web.Send
    ) -> None:
        began.set()
        await goes_on.wait()
        await _echo(scope, receive, send)

    async def play(server: Server) -> None:
        client = await server.connect()
        request, expected = _REQUESTS[1]
        await client.send(4 * request)
        await began.wait()
        for connection in server.server.server_state.connections:
            connection.shutdown()
        goes_on.set()
        for _ in range(4):
            assert await client.answer() == (200, expected)
        assert await client.is_closed()

    _run(play, wait)


def test_small_requests_go_on_beside_large_ones() -> None:
    """Guards against an account that large bodies use up for everybody."""
    account = client_bounds.Account(2 * LARGE_BYTES)
    goes_on = anyio.Event()

    async def hold(
        scope: web.Scope, receive: web.Receive, send: web.Send
    ) -> None:
        if scope["path"] == "/large":
            large.append(1)
            while (await receive())["more_body"]:
                pass
            await goes_on.wait()
        await web.reply(send, 200, [(b"content-length", b"0")], b"")

    large: list[int] = []

    async def play(server: Server) -> None:
        clients = [await server.connect() for _ in range(12)]
        request = b"PUT /large HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % (
            LARGE_BYTES
        )
        async with anyio.create_task_group() as tasks:
            for client in clients:
                tasks.start_soon(client.send, request + LARGE_BYTES * b"a")
            while not account.is_low or len(large) < len(clients):
                await anyio.sleep(fleet_fixtures.POLL_S)
            connections = server.server.server_state.connections
            while not all(
                one.flow.read_paused or one._phase is PHASE.RESPONSE
                for one in connections
            ):
                await anyio.sleep(fleet_fixtures.POLL_S)
            small = await server.connect()
            for _ in range(20):
                await small.send(_REQUESTS[0][0])
                assert (await small.answer())[0] == 200
            overshoot = len(clients) * client_bounds.READ_BYTES * 4
            assert account.held_bytes < 3 * LARGE_BYTES + overshoot
            goes_on.set()
            for client in clients:
                assert (await client.answer())[0] == 200
        assert not account.held_bytes

    _run(play, hold, account)


def test_a_small_hold_may_grow_while_memory_is_low() -> None:
    """Guards against small requests that wait for large ones."""
    account = client_bounds.Account(LARGE_BYTES)
    large = client_bounds.Hold(account, lambda: None)
    large.resize(2 * LARGE_BYTES)
    large.settle()
    small = client_bounds.Hold(account, lambda: None)
    small.resize(client_bounds.SMALL_BYTES - 1)
    assert account.is_low
    assert small.may_grow()
    small.resize(client_bounds.SMALL_BYTES)
    assert not small.may_grow()


def test_large_requests_that_share_all_room_are_completed() -> None:
    """Guards against requests that wait for each other's room for good."""
    account = client_bounds.Account(LARGE_BYTES)

    async def play(server: Server) -> None:
        clients = [await server.connect() for _ in range(6)]
        request = b"PUT / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % LARGE_BYTES
        async with anyio.create_task_group() as tasks:
            for client in clients:
                tasks.start_soon(client.send, request + LARGE_BYTES * b"a")
            for client in clients:
                status, body = await client.answer()
                assert status == 200
                assert len(body) > LARGE_BYTES
        assert not account.held_bytes

    _run(play, _echo, account)


def test_responses_are_sent_without_delay() -> None:
    """Guards against small responses that wait for an acknowledgement."""

    async def play(server: Server) -> None:
        await server.connect()
        await server.count(1)
        [connection] = server.server.server_state.connections
        accepted = connection.transport.get_extra_info("socket")
        option = (socket.IPPROTO_TCP, socket.TCP_NODELAY)
        assert accepted.getsockopt(*option)

    _run(play)
