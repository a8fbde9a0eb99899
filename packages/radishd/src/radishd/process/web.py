"""Uvicorn servers whose life the daemon decides."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import MutableMapping
from typing import Any

import anyio
import uvicorn
from uvicorn.protocols.http import httptools_impl

Scope = MutableMapping[str, Any]
Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]

START_POLL_S = 0.005
# The date header of answers is exact to the second.
DATE_REFRESH_S = 1.0
MS_PER_S = 1_000


class Server(uvicorn.Server):
    """A server that leaves signals to the process and does not exit it."""

    _exit_requested: anyio.Event | None = None
    _should_exit = False

    @property
    def should_exit(self) -> bool:
        """Whether it is to end."""
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
        """Waits until it is to end, and renews the date of answers.

        The library looks ten times a second whether it is to end; the four
        servers of a gateway would wake an idle process forty times a second.
        """
        self._exit_requested = anyio.Event()
        while not await self.on_tick(0):
            with anyio.move_on_after(DATE_REFRESH_S):
                await self._exit_requested.wait()


TARGET = "radishstack.target"


async def reply(
    send: Send, status: int, headers: list[tuple[bytes, bytes]], body: bytes
) -> None:
    """Sends a whole answer.

    Args:
        send: Where it goes.
        status: Its HTTP status.
        headers: Its headers, the length included.
        body: Its body.
    """
    await send(
        {"type": "http.response.start", "status": status, "headers": headers}
    )
    await send({"type": "http.response.body", "body": body})


class ForwardingProtocol(httptools_impl.HttpToolsProtocol):
    """Keeps the request target as the caller sent it, and drops trailers.

    ASGI splits the target into a path and a query; put together again, an
    empty query or an unusual escape would reach the target changed. The
    library adds trailers to the headers: a caller would set headers behind a
    body that are checked before it.
    """

    _headers_complete = False

    def on_message_begin(self) -> None:
        """Begins a request."""
        self._headers_complete = False
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        """Ends the head of a request."""
        self._headers_complete = True
        super().on_headers_complete()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header; a trailer is dropped."""
        if not self._headers_complete:
            super().on_header(name, value)

    def on_url(self, url: bytes) -> None:
        """Takes a piece of the request target."""
        super().on_url(url)
        self.scope[TARGET] = self.url


def make_server(app: App, host: str, port: int, **options: Any) -> Server:
    """Makes a server that has not started.

    Args:
        app: The ASGI application.
        host: IP number to listen on.
        port: Port to listen on.
        **options: Further options of ``uvicorn.Config``.

    Returns:
        The server.
    """
    options.setdefault("http", "httptools")
    config = uvicorn.Config(
        app,
        host=host,
        port=port,
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
    return Server(config)


async def serve(
    server: Server,
    *,
    task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Runs a server until it is told to exit or cancelled.

    Args:
        server: The server.
        task_status: Told once it listens.
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


def set_idle_timeout(server: Server, timeout_ms: int) -> None:
    """Changes how long idle connections of callers are kept.

    Connections that are open take the new time with their next request.

    Args:
        server: The server.
        timeout_ms: The time.
    """
    timeout_s = timeout_ms / MS_PER_S
    server.config.timeout_keep_alive = timeout_s
    for connection in server.server_state.connections:
        connection.timeout_keep_alive = timeout_s
