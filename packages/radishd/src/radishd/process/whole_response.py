"""Reads whole responses with httpcore, bounded in size and time."""

import dataclasses

import anyio
import httpcore

from radishd.process import response_bounds

Headers = list[tuple[bytes, bytes]]


@dataclasses.dataclass(frozen=True, slots=True)
class WholeResponse:
    """A complete response; header names are as they were received."""

    status: int
    headers: Headers
    content: bytes


async def request(
    pool: httpcore.AsyncConnectionPool,
    method: str,
    url: str,
    *,
    headers: dict[str, str],
    content: bytes,
    timeout_s: float,
) -> WholeResponse:
    """Sends a request and reads its response.

    Args:
        pool: Connections to the peer.
        method: HTTP method.
        url: URL.
        headers: Headers of the request.
        content: Its body.
        timeout_s: Maximum duration in total; bytes that arrive do not extend
            it.

    Raises:
        httpcore.RemoteProtocolError: If the body is too large.
        httpcore.ReadTimeout: If the response is not complete in time.
    """
    body = response_bounds.Body()
    try:
        with anyio.fail_after(timeout_s):
            async with pool.stream(
                method, url, headers=headers, content=content
            ) as response:
                async for piece in response.aiter_stream():
                    if not body.add(piece):
                        raise httpcore.RemoteProtocolError(
                            "the body is too large"
                        )
        return WholeResponse(response.status, response.headers, body.join())
    except TimeoutError as error:
        raise httpcore.ReadTimeout from error
    finally:
        body.release()
