"""Uvicorn servers that the daemon starts and stops."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import MutableMapping
import functools
from typing import Any

import anyio
import uvicorn

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

    async def main_loop(self) -> None:
        """Waits until the server is to stop; refreshes the Date header.

        The main loop of Uvicorn polls ten times a second; the four servers of a
        gateway would wake an idle process forty times a second.
        """
        self._exit_requested = anyio.Event()
        while not await self.on_tick(0):
            with anyio.move_on_after(DATE_REFRESH_S):
                await self._exit_requested.wait()


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
