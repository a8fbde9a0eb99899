"""Reads the body of a caller's request within its size and time limits."""

from __future__ import annotations

import contextlib

import anyio
from radishstack import result

from radishd.process import web


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
    limit: contextlib.AbstractContextManager[anyio.CancelScope],
    *,
    retry_after_ms: int,
) -> result.Outcome[bytes]:
    """Reads a body within a time limit.

    Args:
        receive: The ASGI channel.
        max_bytes: Maximum size of the body.
        limit: Cancels the block in which the body is read.
        retry_after_ms: When the caller may retry if the body came too late.

    Returns:
        The body, or a failure if it is too large or too late, or the caller
        disconnected.
    """
    with limit:
        return await read(receive, max_bytes)
    return result.Failure(
        result.ROUTE_TIMEOUT_UNSENT,
        "the body was not received in time",
        retry_after_ms,
    )
