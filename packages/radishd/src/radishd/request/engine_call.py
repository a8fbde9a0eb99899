"""Calls of a target process to its engine or plain service."""

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import dataclasses
import json

import httpcore
from radishstack import attempt as attempt_lib
from radishstack import result
from radishstack.request import event_stream

from radishd.process import store as store_lib

MS_PER_S = 1000.0
EVENT_STREAM = "text/event-stream"
DONE_EVENT = b"data: [DONE]"
EVENT_END = b"\n\n"
DATA_PREFIX = b"data:"
OK = 200
NOT_FOUND = 404
COLD_RETRY_MS = 500
MIN_SERVER_ERROR_STATUS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits of one call.

    Attributes:
        connect_ms: Timeout of the connect and of each write.
        max_answer_bytes: Maximum size of a response that is buffered.
    """

    connect_ms: int
    max_answer_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """Status and content type of a response."""

    status: int
    content_type: str


ResponsePart = Head | bytes | result.Failure
ModelCheck = Callable[[str], bool]


async def call(
    pool: httpcore.AsyncConnectionPool,
    url: str,
    attempt: attempt_lib.Attempt,
    limits: Limits,
    check_model: ModelCheck,
) -> AsyncIterator[ResponsePart]:
    """Runs an attempt and yields its response.

    Args:
        pool: Connections to the target.
        url: Its base URL.
        attempt: The attempt to run.
        limits: Limits of the call.
        check_model: Called with the model that the response names, before
            any of the response is yielded, and again if a later event names
            another one; returns whether to continue.

    Yields:
        The head, then the body in pieces; a failure is the last item.
    """
    timeout_s = limits.connect_ms / MS_PER_S
    headers = [
        (b"Content-Type", attempt.content_type.encode("latin-1")),
        (b"X-Request-Id", attempt.request_id.encode("latin-1")),
    ]
    if attempt.key:
        headers.append((b"Idempotency-Key", attempt.key.encode("latin-1")))
    try:
        async with pool.stream(
            attempt.method,
            f"{url}{attempt.path}",
            headers=headers,
            content=attempt.body,
            extensions={"timeout": {"connect": timeout_s, "write": timeout_s}},
        ) as response:
            parts = _read(response, attempt, limits, check_model)
            async with contextlib.aclosing(parts):
                async for part in parts:
                    yield part
    except store_lib.NETWORK_ERRORS as error:
        yield result.Failure(
            result.TARGET_FAILED,
            f"the target was lost: {type(error).__name__} {error}".rstrip(),
        )


def _content_type(response: httpcore.Response) -> str:
    for name, value in response.headers:
        if name.lower() == b"content-type":
            return value.decode("latin-1")
    return "application/octet-stream"


async def _read(
    response: httpcore.Response,
    attempt: attempt_lib.Attempt,
    limits: Limits,
    check_model: ModelCheck,
) -> AsyncIterator[ResponsePart]:
    head = Head(response.status, _content_type(response))
    if attempt.adapter and head.status == NOT_FOUND:
        # The engine has restarted since the dispatch and lost its adapters.
        # It rejects a model that is not loaded before it runs anything.
        yield result.Failure(
            result.TARGET_COLD,
            f"the engine does not hold {attempt.adapter} any more",
            COLD_RETRY_MS,
        )
        return
    if attempt.adapter and head.content_type.startswith(EVENT_STREAM):
        parts = _read_events(response, head, attempt, check_model)
    else:
        parts = _read_whole(response, head, attempt, limits, check_model)
    async with contextlib.aclosing(parts):
        async for part in parts:
            yield part


async def _read_whole(
    response: httpcore.Response,
    head: Head,
    attempt: attempt_lib.Attempt,
    limits: Limits,
    check_model: ModelCheck,
) -> AsyncIterator[ResponsePart]:
    pieces = []
    size_bytes = 0
    async for piece in response.aiter_stream():
        size_bytes += len(piece)
        if size_bytes > limits.max_answer_bytes:
            yield result.Failure(
                result.TARGET_FAILED,
                f"the answer is larger than {limits.max_answer_bytes} bytes",
            )
            return
        pieces.append(piece)
    body = b"".join(pieces)
    if attempt.adapter:
        if head.status >= MIN_SERVER_ERROR_STATUS:
            yield result.Failure(
                result.TARGET_FAILED,
                f"the engine answered {head.status}",
            )
            return
        if head.status == OK and not check_model(_parse_model(body)):
            return
    yield head
    yield body


async def _read_events(
    response: httpcore.Response,
    head: Head,
    attempt: attempt_lib.Attempt,
    check_model: ModelCheck,
) -> AsyncIterator[ResponsePart]:
    """Yields events as they arrive, and a failure if the end marker is missing.

    The first event is parsed for the model that ran. Later pieces are only
    searched for the adapter's name, and parsed if it does not occur.
    """
    name = json.dumps(attempt.adapter).encode()
    stream = response.aiter_stream()
    first = b""
    async for piece in stream:
        first += piece
        if EVENT_END in first:
            break
        if len(first) > event_stream.MAX_EVENT_BYTES:
            yield result.Failure(
                result.TARGET_FAILED,
                f"an event is larger than {event_stream.MAX_EVENT_BYTES} bytes",
            )
            return
    if not check_model(_parse_event_model(first)):
        return
    yield head
    yield first
    # 8 bytes more than the end marker, for the line breaks after it.
    tail = first[-len(DONE_EVENT) - 8 :]
    async for piece in stream:
        if name not in piece and not _check_piece_model(
            piece, attempt, check_model
        ):
            return
        yield piece
        tail = (tail + piece)[-len(DONE_EVENT) - 8 :]
    if DONE_EVENT not in tail:
        yield result.Failure(
            result.TARGET_FAILED,
            "the engine ended the stream in the middle",
        )


def _parse_model(body: bytes) -> str:
    try:
        value = json.loads(body)
    except (ValueError, RecursionError):
        return ""
    return str(value.get("model", "")) if isinstance(value, dict) else ""


def _parse_event_model(data: bytes) -> str:
    line = data.partition(EVENT_END)[0].strip()
    return _parse_model(line.removeprefix(DATA_PREFIX))


def _check_piece_model(
    piece: bytes, attempt: attempt_lib.Attempt, check_model: ModelCheck
) -> bool:
    """Checks a piece in which the adapter's name does not occur."""
    for event in piece.split(EVENT_END):
        line = event.strip()
        if not line.startswith(DATA_PREFIX) or line == DONE_EVENT:
            continue
        model = _parse_event_model(line)
        if model and model != attempt.adapter:
            return check_model(model)
    return True
