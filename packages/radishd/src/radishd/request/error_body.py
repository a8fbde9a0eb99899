"""Encodes failures as responses to callers."""

import json
import math

from radishstack import result

MS_PER_S = 1000


def encode(failure: result.Failure) -> bytes:
    """Encodes the JSON body of an error response.

    Args:
        failure: The failure.

    Returns:
        ``{"error": {"code", "type", "message", "executed",
        "retry_after_ms"}}``.
    """
    return json.dumps(
        {
            "error": {
                "code": failure.code.number,
                "type": failure.code.name,
                "message": failure.message,
                "executed": str(failure.executed),
                "retry_after_ms": failure.retry_after_ms or None,
            }
        }
    ).encode()


def headers(failure: result.Failure) -> list[tuple[bytes, bytes]]:
    """Returns the headers of an error response."""
    pairs = [(b"content-type", b"application/json")]
    if failure.retry_after_ms:
        seconds = math.ceil(failure.retry_after_ms / MS_PER_S)
        pairs.append((b"retry-after", str(seconds).encode()))
    return pairs


def encode_event(failure: result.Failure) -> bytes:
    """Encodes a failure as the last event of an interrupted stream."""
    return b"event: error\ndata: " + encode(failure) + b"\n\n"
