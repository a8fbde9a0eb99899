"""Configuration by the users' operator and requests by their callers."""

from collections.abc import Iterable
from typing import Any

from standins import platform_engine

HOST = "shop.example"
MODEL = "base7"
ENGINES = "engines"
PLAIN = "counter"


def route(name: str, kind: str, **fields: Any) -> dict[str, Any]:
    """Returns a route of the operator's configuration.

    Args:
        name: Name of the route, which is also its path prefix.
        kind: Route type, which determines whether requests may be repeated.
        **fields: Fields that replace or extend the defaults.
    """
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "type": kind,
        "timeoutMs": 3_000,
        "targetLatencyMs": 400,
        "priority": 0,
        "service": ENGINES,
        "maxAttempts": 1,
        **fields,
    }


def default_routes() -> list[dict[str, Any]]:
    """Returns one route of each kind."""
    return [
        route("chat", "streaming"),
        route("long", "streaming", resumable=True, maxAttempts=2),
        route("book", "non_idempotent", service=PLAIN),
        route("look", "idempotent", service=PLAIN, maxAttempts=2),
    ]


def account(name: str, *keys: str, **fields: Any) -> dict[str, Any]:
    """Returns a client account for the operator's configuration.

    Args:
        name: Name of the account.
        *keys: API keys of the account.
        **fields: Further fields.
    """
    return {"name": name, "apiKeys": list(keys), **fields}


def configuration(version: int = 1, **fields: Any) -> dict[str, Any]:
    """Returns a configuration with the default routes.

    Args:
        version: Version of the configuration.
        **fields: Fields that replace or extend the defaults.
    """
    engine = {
        "slots": 8,
        "models": [{"name": MODEL, "weightsMb": 100.0, "adapterMb": 1.0}],
        "weightsMb": 200.0,
        "adapterSlots": 4,
    }
    body = {
        "version": version,
        "routes": default_routes(),
        "services": [
            {"name": ENGINES, "maxConnections": 64, "engine": engine},
            {
                "name": PLAIN,
                "maxConnections": 64,
                "healthPath": platform_engine.HEALTH_PATH,
            },
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 65_536,
            "idleTimeoutMs": 5_000,
        },
    }
    return body | fields


def request(
    method: str,
    path: str,
    attempt: str,
    *,
    adapter: str = "",
    body: bytes = b"",
    left_ms: int = 3_000,
    further: Iterable[tuple[str, str]] = (),
) -> bytes:
    """Returns a caller's request.

    Args:
        method: HTTP method.
        path: Path and query.
        attempt: Attempt id.
        adapter: Adapter of the base model, empty for none.
        body: Request body.
        left_ms: Remaining time until the caller's deadline.
        further: Further headers.
    """
    headers = [
        ("Host", HOST),
        ("X-Attempt-Id", attempt),
        ("X-Deadline-Ms", str(left_ms)),
        ("Content-Length", str(len(body))),
    ]
    if adapter:
        headers.append(("X-Model", f"{MODEL}/{adapter}"))
    headers.extend(further)
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
