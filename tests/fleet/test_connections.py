"""Connections of callers, more than a gateway can serve."""

import functools
import resource
from typing import Any
from unittest import mock

import anyio
from radishd import gateway as gateway_lib
from radishd.connection import http_client
from radishd.process import client_bounds
from radishd.process import web

from tests.fleet import fixtures

MAX_CONNECTIONS = 3
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


async def _answer(
    scope: web.Scope, receive: web.Receive, send: web.Send
) -> None:
    del scope, receive
    await web.reply(send, 200, [(b"content-length", b"2")], b"ok")


async def _connect(address: str) -> http_client.Connection:
    connection = await http_client.open_connection(address, 1_000)
    assert isinstance(connection, http_client.Connection), connection
    return connection


async def _ask(
    connection: http_client.Connection,
) -> http_client.Answer | http_client.Lost:
    connection.send(REQUEST)
    answer = await http_client.read_answer(connection)
    if isinstance(answer, http_client.Answer):
        connection.finish()
    return answer


def test_connections_beyond_the_maximum_are_closed_unread() -> None:
    """Guards against a process without descriptors for its targets.

    Most new connections of a region come to one gateway. Those that are open
    are served on; a new one is accepted once another one has ended.
    """

    async def play() -> None:
        refused = []
        bounds = client_bounds.ClientBounds(
            client_bounds.Limits(max_connections=MAX_CONNECTIONS),
            on_refused=refused.append,
        )
        host = "127.39.0.1"
        async with anyio.create_task_group() as tasks:
            server = web.make_server(_answer, host, fixtures.FRONT_PORT, bounds)
            await tasks.start(functools.partial(web.serve, server))
            address = f"{host}:{fixtures.FRONT_PORT}"
            opened = [await _connect(address) for _ in range(MAX_CONNECTIONS)]
            for connection in opened:
                assert isinstance(await _ask(connection), http_client.Answer)
            excess = await _connect(address)
            assert isinstance(await _ask(excess), http_client.Lost)
            assert refused == [client_bounds.Reason.TOO_MANY_CONNECTIONS]
            for connection in opened:
                assert isinstance(await _ask(connection), http_client.Answer)
            opened.pop().close()
            with anyio.fail_after(fixtures.LIMIT_S):
                while len(server.server_state.connections) == MAX_CONNECTIONS:
                    await anyio.sleep(fixtures.POLL_S)
            last = await _connect(address)
            assert isinstance(await _ask(last), http_client.Answer)
            for connection in (*opened, last):
                connection.close()
            tasks.cancel_scope.cancel()

    fixtures.run(play)


def test_an_idle_timeout_read_before_the_port_opens_is_applied() -> None:
    """Guards against a default that stays until the next configuration.

    The gateway reads its configuration while its other ports are opened.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=1) as fleet:
            configuration = fixtures.configuration(3)
            configuration["limits"]["idleTimeoutMs"] = 7_000
            fleet.store.put("config", "main", configuration)
            gateways: list[gateway_lib.Gateway] = []
            make_app, serve = gateway_lib._admin_app, web.serve

            def capture(gateway: gateway_lib.Gateway) -> web.App:
                gateways.append(gateway)
                return make_app(gateway)

            async def serve_late(server: Any, **options: Any) -> None:
                await fleet.until(
                    lambda: bool(gateways[0].table.version), "it is read"
                )
                await serve(server, **options)

            with (
                mock.patch.object(gateway_lib, "_admin_app", capture),
                mock.patch.object(web, "serve", serve_late),
            ):
                gateway = await fleet.add_gateway()
            assert gateway.table.limits.idle_timeout_ms == 7_000
            assert gateway.server.config.timeout_keep_alive == 7

    fixtures.run(play)


def test_callers_leave_descriptors_for_targets() -> None:
    """Guards against a maximum above the process's limit."""
    max_files, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    assert 0 < client_bounds.max_callers_connections() < max_files
