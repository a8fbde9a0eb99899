"""The admin port: health, readiness, metrics and status; not for callers."""

from collections.abc import Callable
import json
from typing import Any

import aioprometheus

from radishd.process import metrics as metrics_lib
from radishd.process import web

JSON_TYPE = b"application/json"


def make_app(
    metrics: metrics_lib.Metrics,
    *,
    ready: Callable[[], str],
    status: Callable[[], dict[str, Any]],
    refresh: Callable[[], None],
) -> web.App:
    """Makes the application of the admin port.

    Args:
        metrics: Metrics that ``/metrics`` renders.
        ready: Returns why the process is not ready, empty if it is.
        status: Returns the response of ``/status``.
        refresh: Called before ``/metrics`` is rendered, to set the gauges.

    Returns:
        The application.
    """

    async def app(
        scope: web.Scope, receive: web.Receive, send: web.Send
    ) -> None:
        del receive
        if scope["type"] != "http":
            return
        match scope["path"]:
            case "/healthz":
                code, content_type, body = 200, b"text/plain", b"ok\n"
            case "/readyz":
                reason = ready()
                code = 503 if reason else 200
                content_type, body = (
                    b"text/plain",
                    f"{reason or 'ok'}\n".encode(),
                )
            case "/metrics":
                refresh()
                accepts = [
                    value.decode("latin-1")
                    for name, value in scope["headers"]
                    if name == b"accept"
                ]
                body, headers = aioprometheus.render(metrics.registry, accepts)
                code, content_type = 200, headers["Content-Type"].encode()
            case "/status":
                code, content_type = 200, JSON_TYPE
                body = json.dumps(status()).encode()
            case _:
                code, content_type, body = 404, b"text/plain", b"no such path\n"
        headers = [
            (b"content-type", content_type),
            (b"content-length", str(len(body)).encode()),
        ]
        await send(
            {"type": "http.response.start", "status": code, "headers": headers}
        )
        await send({"type": "http.response.body", "body": body})

    return app


def make_readiness_app(ready: Callable[[], str]) -> web.App:
    """Makes the application that tells a balancer whether to use this VM.

    Args:
        ready: Returns why the process is not ready, empty if it is.
    """

    async def app(
        scope: web.Scope, receive: web.Receive, send: web.Send
    ) -> None:
        del scope, receive
        status = 503 if ready() else 200
        headers = [(b"content-length", b"0")]
        await web.reply(send, status, headers, b"")

    return app
