"""Minimal HTTP handling for the stand-ins, on ASGI."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import json
from typing import Any
import urllib.parse

import anyio
from radishd.process import web

JSON_TYPE = "application/json"


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One request with its complete body.

    Attributes:
        method: HTTP method.
        path: Path without the query.
        query: Query fields.
        headers: Headers by lower-case name.
        body: Request body.
        receive: ASGI receive channel, to detect a disconnect.
        send: ASGI send channel for the response.
        client: Address and port of the caller's end of the connection.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    receive: web.Receive
    send: web.Send
    client: tuple[str, int] = ("", 0)

    def json(self) -> dict[str, Any]:
        """Returns the body as a JSON object, or an empty one if it is not."""
        try:
            value = json.loads(self.body or b"{}")
        except ValueError:
            return {}
        return value if isinstance(value, dict) else {}

    async def start(
        self, status: int, content_type: str, headers: dict[str, str]
    ) -> None:
        """Sends the status line and the headers."""
        pairs = [(b"content-type", content_type.encode())]
        pairs.extend((k.encode(), v.encode()) for k, v in headers.items())
        await self.send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": pairs,
            }
        )

    async def write(self, data: bytes, *, more: bool = True) -> None:
        """Sends a part of the body."""
        await self.send(
            {"type": "http.response.body", "body": data, "more_body": more}
        )

    async def reply(
        self,
        value: object,
        *,
        status: int = 200,
        headers: dict[str, str] | None = None,
    ) -> None:
        """Sends a complete JSON response, or the bytes unchanged."""
        if isinstance(value, bytes):
            data, content_type = value, "application/octet-stream"
        else:
            data, content_type = json.dumps(value).encode(), JSON_TYPE
        await self.start(
            status,
            content_type,
            {"content-length": str(len(data)), **(headers or {})},
        )
        await self.write(data, more=False)

    async def wait_disconnected(self) -> None:
        """Waits until the caller disconnects."""
        while (await self.receive())["type"] != "http.disconnect":
            pass


Handler = Callable[[Request], Awaitable[None]]


async def read_body(receive: web.Receive) -> bytes:
    """Reads the complete body of a request."""
    parts = []
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            break
        parts.append(message.get("body", b""))
        if not message.get("more_body"):
            break
    return b"".join(parts)


def make_app(handler: Handler) -> web.App:
    """Wraps a handler of complete requests as an ASGI application."""

    async def app(
        scope: web.Scope, receive: web.Receive, send: web.Send
    ) -> None:
        if scope["type"] != "http":
            return
        query = urllib.parse.parse_qsl(scope["query_string"].decode())
        request = Request(
            method=scope["method"],
            path=urllib.parse.unquote(scope["path"]),
            query=dict(query),
            headers={k.decode(): v.decode() for k, v in scope["headers"]},
            body=await read_body(receive),
            receive=receive,
            send=send,
            client=tuple(scope["client"]),
        )
        await handler(request)

    return app


async def serve(
    app: web.App,
    host: str,
    port: int,
    *,
    task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serves an application until it is cancelled.

    Args:
        app: The application.
        host: IP address to listen on.
        port: Port to listen on.
        task_status: Notified once the port listens.
    """
    server = web.make_server(app, host, port, timeout_graceful_shutdown=1)
    await web.serve(server, task_status=task_status)
