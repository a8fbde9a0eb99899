"""Requests that reach a gateway during its graceful shutdown."""

import dataclasses
import secrets
import time

import anyio
from radishd.connection import http_client
from standins import platform_engine
from standins import platform_site

from tests.fleet import fixtures

SHUTDOWN_MS = 5_000
LONG_MS = 60_000


async def _configure(fleet: fixtures.Fleet) -> None:
    gateway = fleet.gateway
    gateway.own = dataclasses.replace(gateway.own, shutdown_ms=SHUTDOWN_MS)
    body = fixtures.configuration(version=2)
    for one in body["routes"]:
        one["timeoutMs"] = LONG_MS
    fleet.store.put("config", "main", body)
    await fleet.until(
        lambda: gateway.table.version == 2, "the configuration is known"
    )


class _Upload:
    """A request whose body is sent in two parts, on a kept connection."""

    def __init__(self, connection: http_client.Connection) -> None:
        self._connection = connection

    @classmethod
    async def begin(
        cls, fleet: fixtures.Fleet, *, left_ms: int = LONG_MS
    ) -> "_Upload":
        """Sends the head and a part of the body."""
        connection = await http_client.open_connection(
            fleet.gateway.own.listen, 2_000
        )
        request = platform_site.request(
            "POST", "/book/1", secrets.token_hex(8), body=b"ab", left_ms=left_ms
        )
        connection.send(request[:-1])
        return cls(connection)

    async def end(self) -> fixtures.Answer:
        """Sends the rest, and reads the answer."""
        self._connection._transport.write(b"b")
        try:
            return await fixtures.read_answer(self._connection)
        finally:
            self._connection.close()


def test_requests_at_the_end_of_a_planned_stop_are_answered() -> None:
    """Guards against the exit of a gateway that cuts what it has passed on.

    One request was sent before the signal, one while the gateway still accepts.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=1) as fleet:
            await _configure(fleet)
            (target,) = fleet.targets.values()
            target.timing.work_ms = LONG_MS
            answers = []

            async def call() -> None:
                answers.append(await fleet.call("/book/1", left_ms=LONG_MS))
                assert not fleet.stopped.is_set()

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(call)
                await fleet.until(lambda: len(target.ran) == 1, "it runs")
                fleet.stop.set()
                await fleet.until(lambda: fleet.gateway.draining, "it drains")
                tasks.start_soon(call)
                await fleet.until(lambda: len(target.ran) == 2, "both run")
            for answer in answers:
                # The caller learns that it may have run.
                assert answer.status == 504 and answer.whole, answer
                assert answer.headers["connection"] == "close"

    fixtures.run(play)


def test_a_body_that_ends_late_in_a_planned_stop_is_not_passed_on() -> None:
    """Guards against a request that is taken with too little time left."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=1) as fleet:
            await _configure(fleet)
            (target,) = fleet.targets.values()
            late = await _Upload.begin(fleet)
            endless = await _Upload.begin(fleet)
            await fleet.until(
                lambda: fleet.gateway.in_flight == 2, "heads are read"
            )
            fleet.stop.set()
            await fleet.until(
                lambda: fleet.gateway.server.should_exit, "it stops accepting"
            )
            answer = await late.end()
            assert answer.status == 503 and answer.whole, answer
            assert answer.headers["connection"] == "close"
            assert float(answer.headers["retry-after"]) > 0
            assert not target.ran
            answer = await fixtures.read_answer(endless._connection)
            assert answer.status == 503 and answer.whole, answer
            assert not fleet.stopped.is_set()

    fixtures.run(play)


def test_a_short_request_is_served_late_in_a_planned_stop() -> None:
    """Guards against turning away requests that end before the exit."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=1) as fleet:
            await _configure(fleet)
            fleet.stop.set()
            await anyio.sleep(2.0)
            began_s = time.monotonic()
            upload = await _Upload.begin(fleet, left_ms=1_500)
            await fleet.until(
                lambda: fleet.gateway.server.should_exit, "it stops accepting"
            )
            answer = await upload.end()
            assert answer.status == 200 and answer.whole, answer
            assert time.monotonic() - began_s < 1.5

    fixtures.run(play)


def test_a_stream_ends_its_connection_before_the_exit() -> None:
    """Guards against a stream that looks complete at the end of the grace."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=1, plain=0) as fleet:
            await _configure(fleet)
            (engine,) = fleet.targets.values()
            engine.timing = platform_engine.Timing(event_ms=500.0)
            engine.event_count = 100
            answers = []

            async def call() -> None:
                answers.append(
                    await fleet.call("/chat/x", adapter="a1", left_ms=LONG_MS)
                )
                assert not fleet.stopped.is_set()

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(call)
                await fleet.until(lambda: bool(engine.ran), "it runs")
                fleet.stop.set()
            (answer,) = answers
            assert answer.status == 200 and not answer.whole, answer

    fixtures.run(play)
