"""Uvicorn servers that the daemon starts and stops."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import MutableMapping
import functools
import resource
from typing import Any

import anyio
import httptools
import uvicorn
from uvicorn.protocols.http import httptools_impl

Scope = MutableMapping[str, Any]
Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]

START_POLL_S = 0.005
# The Date header has a resolution of one second.
DATE_REFRESH_S = 1.0
MS_PER_S = 1_000
# Fraction of the process's file descriptors that callers' connections may use.
# Without a bound, a gateway that gets most new connections of a region would
# have none left to reach targets, and fail requests that it has read.
MAX_CALLERS_FRACTION = 0.7


class Server(uvicorn.Server):
    """A server that installs no signal handlers and never exits the process."""

    _exit_requested: anyio.Event | None = None
    _should_exit = False

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
        """Waits until the server is to stop, and refreshes the Date header.

        The main loop of Uvicorn polls ten times a second; the four servers of a
        gateway would wake an idle process forty times a second.
        """
        self._exit_requested = anyio.Event()
        while not await self.on_tick(0):
            with anyio.move_on_after(DATE_REFRESH_S):
                await self._exit_requested.wait()


TARGET = "radishstack.target"
# Headers that offer another protocol, also as tokens of ``Connection``.
UPGRADE_HEADERS = frozenset({b"upgrade", b"http2-settings"})


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


class ForwardingProtocol(httptools_impl.HttpToolsProtocol):
    """Keeps the request target as the caller sent it, and drops trailers.

    Offers to upgrade the protocol are ignored, as clients expect that make them
    with each request. The parser takes what follows the head of such a request
    as another protocol, so that its body would be lost, or read as a request of
    its own. The request is therefore parsed again without the offer.

    ASGI splits the request target into a path and a query. Joined again, an
    empty query or an unusual escape would be changed on its way to the target.
    Uvicorn adds trailers to the headers, so a caller could set headers after
    the body although they are checked before it.
    """

    _headers_complete = False

    def __init__(
        self,
        *args: Any,
        max_connections: int,
        on_refused: Callable[[], None],
        **options: Any,
    ) -> None:
        """Creates the protocol of one connection.

        Args:
            *args: Arguments of Uvicorn's protocol.
            max_connections: Open connections beyond which new ones are refused.
            on_refused: Called for each connection that is refused.
            **options: Further arguments of Uvicorn's protocol.
        """
        super().__init__(*args, **options)
        self._max_connections = max_connections
        self._on_refused = on_refused

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Accepts a connection, or closes it unread beyond the maximum.

        Its caller may try another gateway, as nothing was read. Connections
        that are kept open are preferred: a caller that loses one comes back.
        """
        super().connection_made(transport)
        if len(self.connections) > self._max_connections:
            self._on_refused()
            transport.abort()

    def on_message_begin(self) -> None:
        """Resets the state for a new request."""
        self._headers_complete = False
        super().on_message_begin()

    def data_received(self, data: bytes) -> None:
        """Parses received bytes."""
        self._unset_keepalive_if_required()
        try:
            self._parse(data)
        except httptools.HttpParserError:
            self.send_400_response("Invalid HTTP request received.")

    def _parse(self, data: bytes) -> None:
        while True:
            try:
                self.parser.feed_data(data)
            except httptools.HttpParserUpgrade as error:
                if self.parser.get_method() == b"CONNECT":
                    self.send_400_response("CONNECT is not supported.")
                    return
                (parsed_bytes,) = error.args
                data = self._head_without_upgrade() + data[parsed_bytes:]
                self.parser = httptools.HttpRequestParser(self)
            else:
                return

    def _head_without_upgrade(self) -> bytes:
        """Returns the head of the current request without its upgrade offer."""
        version = self.parser.get_http_version().encode()
        method = self.parser.get_method()
        lines = [method + b" " + self.url + b" HTTP/" + version]
        for name, value in self.headers:
            if name in UPGRADE_HEADERS:
                continue
            if name == b"connection":
                kept = [
                    token
                    for token in value.split(b",")
                    if token.strip().lower() not in UPGRADE_HEADERS
                ]
                value = b",".join(kept)
            lines.append(name + b": " + value)
        return b"\r\n".join(lines) + b"\r\n\r\n"

    def on_headers_complete(self) -> None:
        """Marks the headers of the request as complete."""
        self._headers_complete = True
        if not self.parser.should_upgrade():
            super().on_headers_complete()

    def on_message_complete(self) -> None:
        """Marks the request as complete, unless it is parsed again."""
        if not self.parser.should_upgrade():
            super().on_message_complete()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handles a header, and drops a trailer."""
        if not self._headers_complete:
            super().on_header(name, value)

    def on_url(self, url: bytes) -> None:
        """Handles a part of the request target."""
        super().on_url(url)
        self.scope[TARGET] = self.url


def caller_protocol(
    on_refused: Callable[[], None], max_connections: int = 0
) -> Callable[..., ForwardingProtocol]:
    """Returns a factory of protocols for callers' connections.

    Args:
        on_refused: Called for each connection that is refused.
        max_connections: Open connections beyond which new ones are refused; by
            default a fraction of the process's file descriptors.
    """
    if not max_connections:
        max_files, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        max_connections = round(MAX_CALLERS_FRACTION * max_files)
    return functools.partial(
        ForwardingProtocol,
        max_connections=max_connections,
        on_refused=on_refused,
    )


def make_server(app: App, host: str, port: int, **options: Any) -> Server:
    """Creates a server that has not started.

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


def set_idle_timeout(server: Server, timeout_ms: int) -> None:
    """Changes the idle timeout of callers' connections.

    It applies to open connections after their next request.

    Args:
        server: The server.
        timeout_ms: The timeout.
    """
    timeout_s = timeout_ms / MS_PER_S
    server.config.timeout_keep_alive = timeout_s
    for connection in server.server_state.connections:
        connection.timeout_keep_alive = timeout_s
