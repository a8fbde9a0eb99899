"""Unbounded responses in every form, at every reader."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib

import anyio
import httpcore
from radishd.connection import http_client
from radishd.process import response_bounds
from radishd.process import whole_response
from standins import platform_engine

from tests.fleet import fixtures

FORMS = platform_engine.ENDLESS_FORMS
Fault = platform_engine.Fault
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
# Sent and received bytes that the kernel holds for one connection, which its
# reader has not taken, and one read of the reader.
KERNEL_BYTES = 8 * 1024 * 1024
MAX_TAKEN_BYTES = response_bounds.MAX_WHOLE_BYTES + KERNEL_BYTES
DRIP_S = 0.005


class _Endless:
    """A server that sends bytes without end to each connection.

    Attributes:
        taken: Bytes that each connection has taken.
    """

    def __init__(self, first: bytes, rest: bytes, *, drips: bool) -> None:
        self._first = first
        self._rest = rest
        self._drips = drips
        self.taken: list[int] = []
        self.address = ""

    @contextlib.asynccontextmanager
    async def running(self) -> contextlib.AbstractAsyncContextManager[None]:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        try:
            yield
        finally:
            server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        number = len(self.taken)
        self.taken.append(0)
        repeats = 1 if self._drips else 65_536 // len(self._rest)
        piece = self._rest * repeats
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            await reader.read(65_536)
            writer.write(self._first)
            while self.taken[number] < platform_engine.MAX_ENDLESS_BYTES:
                writer.write(piece)
                await writer.drain()
                self.taken[number] += len(piece)
                if self._drips:
                    await asyncio.sleep(DRIP_S)
        writer.transport.abort()


Reader = Callable[[str], Awaitable[None]]


async def _connect(address: str) -> http_client.Connection:
    connection = await http_client.open_connection(address, 1_000)
    assert isinstance(connection, http_client.Connection), connection
    connection.send(REQUEST)
    return connection


async def _read_answer(address: str) -> None:
    """Reads as clients of the store, of peers and of the sidecar's engine."""
    connection = await _connect(address)
    answer = await http_client.read_answer(connection)
    if isinstance(answer, http_client.Answer):
        assert not connection.finish(), "the connection can be reused"
    else:
        assert answer.malformed, answer
    connection.close()


async def _read_rejection(address: str) -> None:
    connection = await _connect(address)
    await connection.head()
    if connection._incoming:
        await http_client.discard_body(connection)
    connection.close()


async def _skip(address: str) -> None:
    """Reads as past late second responses."""
    connection = await _connect(address)
    while not isinstance(await connection.head(), http_client.Lost):
        if await connection.skip() is not None:
            break
    connection.close()


async def _read_whole(address: str) -> None:
    """Reads as clients of the own interface."""
    async with httpcore.AsyncConnectionPool() as pool:
        with contextlib.suppress(
            httpcore.ProtocolError,
            httpcore.NetworkError,
            httpcore.TimeoutException,
        ):
            await whole_response.request(
                pool,
                "GET",
                f"http://{address}/",
                headers={},
                content=b"",
                timeout_s=3.0,
            )


READERS: tuple[Reader, ...] = (
    _read_answer,
    _read_rejection,
    _skip,
    _read_whole,
)


def test_no_reader_takes_bytes_without_end() -> None:
    """Guards against a peer that fills memory or keeps a reader for good."""

    async def play() -> None:
        for name, (first, rest) in FORMS.items():
            for reader in READERS:
                server = _Endless(first, rest, drips=False)
                async with server.running():
                    await reader(server.address)
                    taken = max(server.taken)
                    assert taken <= MAX_TAKEN_BYTES, (name, reader, taken)
                    assert response_bounds.HELD.count == 0, (name, reader)

    fixtures.run(play)


def test_a_head_without_end_is_cut_at_its_bound() -> None:
    """Guards against a head that is collected until the deadline."""

    async def play() -> None:
        for name in ("headers", "header_value", "information", "trailers"):
            first, rest = FORMS[name]
            server = _Endless(first, rest, drips=False)
            async with server.running():
                connection = await _connect(server.address)
                lost = await http_client.read_answer(connection)
                assert isinstance(lost, http_client.Lost), (name, lost)
                bodiless = connection._bodiless_bytes
                most = (
                    response_bounds.MAX_HEAD_BYTES
                    + response_bounds.PARSED_BYTES
                )
                assert bodiless <= most, (name, bodiless)
                connection.close()

    fixtures.run(play)


def test_responses_without_end_are_cut_at_their_number() -> None:
    """Guards against a queue of responses that nobody waits for."""

    async def play() -> None:
        first, rest = FORMS["responses_with_body"]
        server = _Endless(first, rest, drips=False)
        async with server.running():
            connection = await _connect(server.address)
            while connection.is_open:
                await anyio.sleep(0)
            waiting = len(connection._incoming)
            most = (
                response_bounds.MAX_WAITING_RESPONSES
                + response_bounds.PARSED_BYTES // len(rest)
            )
            assert waiting <= most + 1, waiting
            connection.close()

    fixtures.run(play)


def test_a_body_that_is_not_needed_is_not_waited_for() -> None:
    """Guards against a rejection whose body drips until the deadline."""

    async def play() -> None:
        first, rest = FORMS["body_with_length"]
        server = _Endless(first, rest, drips=True)
        async with server.running():
            connection = await _connect(server.address)
            await connection.head()
            assert not await http_client.discard_body(connection)
            connection.close()

    fixtures.run(play)


def test_memory_is_bounded_over_all_connections() -> None:
    """Guards against many endless responses at once, each within its bound."""

    async def play() -> None:
        first, rest = FORMS["body_until_close"]
        server = _Endless(first, rest, drips=False)
        most = 0

        async def watch() -> None:
            nonlocal most
            while True:
                most = max(most, response_bounds.HELD.count)
                await anyio.sleep(0)

        async with server.running(), anyio.create_task_group() as tasks:
            tasks.start_soon(watch)
            async with anyio.create_task_group() as readers:
                for _ in range(40):
                    readers.start_soon(_read_answer, server.address)
            tasks.cancel_scope.cancel()
        assert most <= 2 * response_bounds.MAX_HELD_BYTES, most
        assert response_bounds.HELD.count == 0

    fixtures.run(play)


def test_a_sound_response_of_small_chunks_is_read() -> None:
    """Guards against taking the overhead of a chunked response for a flood."""

    async def play() -> None:
        chunk = b"2;ext=1\r\nxy\r\n"
        count = 200_000
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.read(65_536)
            writer.write(head + chunk * count + b"0\r\n\r\n")
            await writer.drain()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        connection = await _connect(f"127.0.0.1:{port}")
        answer = await http_client.read_answer(connection)
        assert isinstance(answer, http_client.Answer), answer
        assert answer.body == b"xy" * count
        assert connection.finish()
        connection.close()
        server.close()

    fixtures.run(play)


def _inject(fleet: fixtures.Fleet, fault: Fault, form: str = "") -> None:
    for target in fleet.targets.values():
        target.fault = lambda request: fault
        target.endless_form = form or target.endless_form


def test_a_request_whose_target_sends_bytes_without_end_fails_soon() -> None:
    """Guards against a caller that waits while its target sends garbage.

    A request that may run once gets the answer that it may have run.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=1) as fleet:
            [target] = fleet.targets.values()
            for number, form in enumerate(FORMS):
                _inject(fleet, Fault.ENDLESS_BYTES, form)
                target.endless_bytes = 0
                answer = await fleet.call("/book/1", attempt=f"a{number:02}")
                # The first of many responses is a whole one.
                expected = 500 if form.startswith("responses") else 502
                assert answer.status == expected, (form, answer)
                assert target.endless_bytes <= MAX_TAKEN_BYTES, form
                assert response_bounds.HELD.count == 0, form

    fixtures.run(play)


def test_a_repeatable_request_goes_on_at_another_target() -> None:
    """Guards against one target that fails requests which others can serve."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=2) as fleet:
            faulty = fleet.targets["i-plain0"]
            faulty.fault = lambda request: Fault.ENDLESS_BYTES
            for number, form in enumerate(FORMS):
                faulty.endless_form = form
                answer = await fleet.call(
                    "/look/1", method="GET", attempt=f"b{number:02}"
                )
                assert answer.status == 200, (form, answer)

    fixtures.run(play)


def test_a_rejection_with_an_endless_body_remains_a_proof() -> None:
    """Guards against a rejected request that is answered as if it had run."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=1) as fleet:
            [target] = fleet.targets.values()
            _inject(fleet, Fault.ENDLESS_REJECTION)
            answer = await fleet.call("/book/1", attempt="c1")
            assert answer.status == 503, answer
            assert not target.ran
            assert target.endless_bytes <= MAX_TAKEN_BYTES

    fixtures.run(play)


def test_other_requests_end_while_many_targets_send_without_end() -> None:
    """Guards against targets that use up the memory of all callers' gateway."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=3, plain=1) as fleet:
            engines = [one for one in fleet.targets.values() if one.model]
            for engine in engines:
                engine.adapters["a1"] = 1
                engine.fault = lambda request: Fault.ENDLESS_BYTES
            most = 0
            statuses: list[int] = []

            async def flood(number: int) -> None:
                form = list(FORMS)[number % len(FORMS)]
                engines[number % len(engines)].endless_form = form
                for route in ("chat", "long"):
                    await fleet.call(f"/{route}/x", adapter="a1")

            async def watch() -> None:
                nonlocal most
                while True:
                    most = max(most, response_bounds.HELD.count)
                    await anyio.sleep(0)

            async def call() -> None:
                while True:
                    answer = await fleet.call("/book/1")
                    statuses.append(answer.status)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(watch)
                tasks.start_soon(call)
                async with anyio.create_task_group() as floods:
                    for number in range(2 * len(FORMS)):
                        floods.start_soon(flood, number)
                tasks.cancel_scope.cancel()
            assert set(statuses) == {200} and len(statuses) > 3, statuses
            assert most <= 2 * response_bounds.MAX_HELD_BYTES, most
            # A sidecar may be reading a report of its engine just now.
            await fleet.until(
                lambda: response_bounds.HELD.count == 0, "all is released"
            )

    fixtures.run(play)
