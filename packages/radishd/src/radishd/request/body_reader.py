"""Reads the body of a caller's request within its size and time limits."""

from __future__ import annotations

import anyio
from radishstack import result

from radishd.process import clock
from radishd.process import web

MS_PER_S = 1_000


async def read(receive: web.Receive, max_bytes: int) -> result.Outcome[bytes]:
    """Reads a body.

    Args:
        receive: The ASGI channel.
        max_bytes: Maximum size of the body.

    Returns:
        The body, or a failure if it is too large or the caller disconnected.
    """
    parts: list[bytes] = []
    size_bytes = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return result.Failure(result.CANCELLED, "the caller has left")
        part = message.get("body", b"")
        size_bytes += len(part)
        if size_bytes > max_bytes:
            return too_large(max_bytes)
        parts.append(part)
        if not message.get("more_body"):
            return b"".join(parts)


def too_large(max_bytes: int) -> result.Failure:
    """Returns the failure of a body over the limit."""
    return result.Failure(
        result.BODY_TOO_LARGE, f"the body may have at most {max_bytes} bytes"
    )


async def read_until(
    receive: web.Receive,
    max_bytes: int,
    deadline_at_ms: int,
    *,
    retry_after_ms: int,
) -> result.Outcome[bytes]:
    """Reads a body until a deadline.

    Args:
        receive: The ASGI channel.
        max_bytes: Maximum size of the body.
        deadline_at_ms: When its caller stops waiting, on the boot clock.
        retry_after_ms: When the caller may retry if the body came too late.

    Returns:
        The body, or a failure if it is too large or too late, or the caller
        disconnected.
    """
    left_ms = max(0, deadline_at_ms - clock.boot_ms())
    with anyio.move_on_after(left_ms / MS_PER_S):
        return await read(receive, max_bytes)
    return result.Failure(
        result.ROUTE_TIMEOUT_UNSENT,
        "the body was not received in time",
        retry_after_ms,
    )
