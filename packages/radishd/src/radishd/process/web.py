"""Uvicorn servers whose life the daemon decides."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import MutableMapping
from typing import Any

import anyio
import uvicorn

Scope = MutableMapping[str, Any]
Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]

START_POLL_S = 0.005


class Server(uvicorn.Server):
    """A server that leaves signals to the process and does not exit it."""

    async def serve(self, sockets: Any = None) -> None:
        """Serves until ``should_exit`` is set."""
        await self._serve(sockets)


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
    config = uvicorn.Config(
        app,
        host=host,
        port=port,
        http="httptools",
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

    async def tell() -> None:
        while not server.started:
            await anyio.sleep(START_POLL_S)
        task_status.started()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(tell)
        try:
            await server.serve()
        finally:
            server.should_exit = True
            tasks.cancel_scope.cancel()
