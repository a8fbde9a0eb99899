"""Uvicorn servers that the daemon starts and stops."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import MutableMapping
import functools
from typing import Any

import anyio
import uvicorn

from radishd.process import acceptor
from radishd.process import client_bounds
from radishd.process import client_connection

Scope = MutableMapping[str, Any]
Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]

START_POLL_S = 0.005
# The Date header has a resolution of one second.
DATE_REFRESH_S = 1.0
MS_PER_S = 1_000
# Connections are checked against their time limits once a second. A check that
# is later than this means that the process stood still meanwhile.
MAX_CHECK_DELAY_S = 0.7


class Server(uvicorn.Server):
    """A server that installs no signal handlers and never exits the process.

    Attributes:
        bounds: Bounds on its clients.
    """

    _exit_requested: anyio.Event | None = None
    _should_exit = False

    def __init__(self, config: uvicorn.Config) -> None:
        """Creates a server that has not started.

        Args:
            config: Its configuration, see ``make_server``.
        """
        super().__init__(config)
        self.bounds: client_bounds.ClientBounds = config.http.keywords["bounds"]

    @property
    def should_exit(self) -> bool:
        """Whether the server is to stop."""
        return self._should_exit

    @should_exit.setter
    def should_exit(self, value: bool) -> None:
        self._should_exit = value
        if value and self._exit_requested is not None:
            self._exit_requested.set()

    async def serve(self, sockets: Any = None) -> None:
        """Serves until ``should_exit`` is set."""
        await self._serve(sockets)

    async def startup(self, sockets: Any = None) -> None:
        """Listens, and accepts connections within the bounds."""
        del sockets
        config = self.config
        await self.lifespan.startup()
        listener = acceptor.open_listener(
            config.host,
            config.port,
            config.backlog,
            self.bounds.limits.send_buffer_bytes,
        )
        make_protocol = functools.partial(
            config.http_protocol_class,
            config=config,
            server_state=self.server_state,
            app_state=self.lifespan.state,
        )
        self.servers = [acceptor.Acceptor(listener, make_protocol, self.bounds)]
        self.started = True

    async def main_loop(self) -> None:
        """Waits until the server is to stop; once a second, does upkeep.

        It refreshes the Date header, and closes connections of clients that
        are past a time limit.

        The main loop of Uvicorn polls ten times a second; the four servers of a
        gateway would wake an idle process forty times a second.
        """
        self._exit_requested = anyio.Event()
        checked_s = anyio.current_time()
        while not await self.on_tick(0):
            with anyio.move_on_after(DATE_REFRESH_S):
                await self._exit_requested.wait()
            now_s = anyio.current_time()
            self._close_expired(now_s, now_s - checked_s - DATE_REFRESH_S)
            checked_s = now_s

    def _close_expired(self, now_s: float, late_s: float) -> None:
        for connection in list(self.server_state.connections):
            if late_s > MAX_CHECK_DELAY_S:
                connection.restart_timeouts(late_s)
            connection.close_if_expired(now_s)


async def reply(
    send: Send, status: int, headers: list[tuple[bytes, bytes]], body: bytes
) -> None:
    """Sends a complete response.

    Args:
        send: ASGI send function.
        status: HTTP status.
        headers: Headers, including the content length.
        body: Body.
    """
    await send(
        {"type": "http.response.start", "status": status, "headers": headers}
    )
    await send({"type": "http.response.body", "body": body})


def make_server(
    app: App,
    host: str,
    port: int,
    bounds: client_bounds.ClientBounds | None = None,
    **options: Any,
) -> Server:
    """Creates a server that has not started.

    Args:
        app: The ASGI application.
        host: IP number to listen on.
        port: Port to listen on.
        bounds: Bounds on its clients, the defaults if omitted.
        **options: Further options of ``uvicorn.Config``.

    Returns:
        The server.
    """
    bounds = bounds or client_bounds.ClientBounds()
    config = uvicorn.Config(
        app,
        host=host,
        port=port,
        http=functools.partial(
            client_connection.ClientConnection, bounds=bounds
        ),
        interface="asgi3",
        log_config=None,
        ws="none",
        loop="asyncio",
        lifespan="off",
        log_level="critical",
        access_log=False,
        server_header=False,
        proxy_headers=False,
        **options,
    )
    server = Server(config)
    apply_limits(server, bounds.limits)
    return server


async def serve(
    server: Server,
    *,
    task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Runs a server until it is stopped or cancelled.

    Args:
        server: The server.
        task_status: Notified once the server listens.
    """

    async def report_started() -> None:
        while not server.started:
            await anyio.sleep(START_POLL_S)
        task_status.started()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(report_started)
        try:
            await server.serve()
        finally:
            server.should_exit = True
            tasks.cancel_scope.cancel()


def apply_limits(server: Server, limits: client_bounds.Limits) -> None:
    """Changes the limits for the clients of a server.

    The idle timeout applies to open connections after their next request.

    Args:
        server: The server.
        limits: The limits.
    """
    server.bounds.limits = limits
    timeout_s = limits.idle_timeout_ms / MS_PER_S
    server.config.timeout_keep_alive = timeout_s
    for connection in server.server_state.connections:
        connection.timeout_keep_alive = timeout_s
