"""Decodes and encodes headers of requests and responses."""

import enum

from radishstack import result
from radishstack.process import target_rate_limits
from radishstack.request import attribution
from radishstack.version import client_account

from radishd.connection import http_client
from radishd.process import header_numbers
from radishd.process import target_signals as target_signals_lib
from radishd.process import web
from radishd.request import error_body
from radishd.request import received_request

_ATTEMPT = b"x-attempt-id"
_DEADLINE = b"x-deadline-ms"
_MODEL = b"x-model"
_LAST_EVENT = b"last-event-id"
_RESUMES = b"resumes"
_INSTANCE = b"x-instance-id"
_SIGNATURE = b"x-server-signature"
_NOT_EXECUTED = b"x-not-executed"
_ENCODING = b"content-encoding"
_LEAVING = b"server-leaving"
_RATE_LIMIT = b"server-limit"
_RETRY_AFTER = b"retry-after"
_CONNECTION = b"connection"
_HOST = b"host"
_AUTHORIZATION = b"authorization"
_ACCOUNT = b"x-tenant"
_TOKEN_COUNT = b"x-token-count"
_PROMPT = b"x-prompt-prefix"
_BEARER = b"bearer"

_HOP_BY_HOP = frozenset(
    {
        _CONNECTION,
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
# Headers that gateways set for targets. If a caller could set them, it could
# take over another request's KV cache memory, slot, priority or account.
_SYSTEM_HEADERS = frozenset(
    {
        _DEADLINE,
        _AUTHORIZATION,
        _ACCOUNT,
        b"x-target-instance",
        b"x-expected-version",
        b"x-request-priority",
        b"x-hold",
        b"x-pin-ms",
        b"x-kv-backup",
        b"kv-from",
        b"kv-fetch",
    }
)
_DROPPED = _HOP_BY_HOP | _SYSTEM_HEADERS
# Headers that are forwarded even if the caller's Connection header lists them.
_UNDROPPABLE = frozenset({b"", _HOST, _ATTEMPT, _MODEL, _TOKEN_COUNT, _PROMPT})
_RESPONSE_DROPPED = _HOP_BY_HOP

HTTP_SUCCESS = range(200, 300)
HTTP_UNAUTHORIZED = 401
HTTP_MISDIRECTED = 421
HTTP_UNAVAILABLE = 503
# Callers rely on these as a guarantee that the request did not run.
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
MS_PER_S = 1_000
# Far more than the longest backoff that is followed.
_MAX_RETRY_AFTER_S = 1e9


def decode(
    scope: web.Scope,
) -> result.Outcome[received_request.ReceivedRequest]:
    """Decodes the head of a caller's request.

    Args:
        scope: The ASGI scope.

    Returns:
        The request, or why it cannot be served.
    """
    raw: list[tuple[bytes, bytes]] = scope["headers"]
    first: dict[bytes, bytes] = {}
    for name, value in raw:
        first.setdefault(name, value)
    if _ATTEMPT not in first:
        return result.Failure(result.KEY_MISSING, "the attempt has no id")
    named = {
        part.strip().lower() for part in first.get(_CONNECTION, b"").split(b",")
    }
    dropped = _DROPPED | (named - _UNDROPPABLE)
    deadline = first.get(_DEADLINE, b"").strip()
    return received_request.ReceivedRequest(
        attempt_id=first[_ATTEMPT].decode("latin-1"),
        method=scope["method"],
        target=scope["radishstack.target"],
        path=scope["path"],
        host=first.get(_HOST, b"").decode("latin-1"),
        left_ms=header_numbers.decimal(deadline) or 0,
        adapter=first.get(_MODEL, b"").decode("latin-1").strip(),
        last_event_id=first.get(_LAST_EVENT, b"").strip(),
        resumed_attempt_id=first.get(_RESUMES, b"").decode("latin-1").strip(),
        headers=tuple(pair for pair in raw if pair[0] not in dropped),
        key_digest=_key_digest(raw),
        token_count=_token_count(first.get(_TOKEN_COUNT)),
        prompt_blocks=tuple(
            part.partition(b":")[0].strip()
            for part in first.get(_PROMPT, b"").split(b",")
        ),
    )


def _key_digest(headers: list[tuple[bytes, bytes]]) -> bytes:
    """Returns the digest of the API key, or ``NO_KEY``."""
    values = [value for name, value in headers if name == _AUTHORIZATION]
    if len(values) != 1:
        return client_account.NO_KEY
    match values[0].split():
        case [scheme, key] if scheme.lower() == _BEARER:
            return client_account.digest_of(key)
    return client_account.NO_KEY


def _token_count(value: bytes | None) -> int | None:
    """Returns how many tokens a request may use, None if not stated."""
    parts = (value or b"").split(b",")
    counts = [header_numbers.decimal(part.strip()) for part in parts]
    return None if None in counts else sum(counts)


def encode(
    request: received_request.ReceivedRequest,
    body: bytes,
    *,
    instance: str,
    left_ms: int,
    version: int,
    priority: int | None,
    resume_after: bytes,
    account: str,
) -> bytes:
    """Encodes a request for a target.

    Args:
        request: The caller's request.
        body: Its whole body.
        instance: The only incarnation of the target that may run it.
        left_ms: Time until the caller's deadline.
        version: Required version of the adapter, 0 for any.
        priority: Rank among the target's requests, None for its default.
        resume_after: Last event that the caller received, if a stream resumes.
        account: Name of the client account, empty for none.
    """
    lines = [
        request.method.encode() + b" " + request.target + b" HTTP/1.1",
    ]
    for name, value in request.headers:
        if name == _LAST_EVENT and resume_after:
            continue
        lines.append(name + b": " + value)
    lines.append(b"X-Deadline-Ms: %d" % left_ms)
    lines.append(b"X-Target-Instance: " + instance.encode())
    if account:
        lines.append(b"X-Tenant: " + account.encode())
    if version:
        lines.append(b"X-Expected-Version: %d" % version)
    if priority is not None:
        lines.append(b"X-Request-Priority: %d" % priority)
    if resume_after:
        lines.append(b"Last-Event-Id: " + resume_after)
    if body or request.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


class Kind(enum.Enum):
    """Kind of a target's response.

    ``UNPROVEN_PROMISE`` is a response that a caller would take as proof that
    the request did not run, or that may belong to an earlier request.
    """

    SUCCESS = "success"
    FAILURE = "failure"
    UNPROVEN_PROMISE = "unproven_promise"
    FOREIGN = "foreign"
    SHED = "shed"
    MISMATCH = "mismatch"
    GONE = "gone"
    SPOILED = "spoiled"


def _echoed_id(head: http_client.Head) -> str | None:
    value = head.get(_ATTEMPT)
    return value.decode("latin-1") if value is not None else None


def is_foreign(head: http_client.Head, attempt_id: str) -> bool:
    """Whether a response belongs to another attempt than the one sent last."""
    return _echoed_id(head) not in (None, attempt_id)


def classify(
    head: http_client.Head,
    attempt_id: str,
    instance: str,
    *,
    is_first_request: bool,
) -> Kind:
    """Classifies a response by its status and headers.

    Args:
        head: Status and headers.
        attempt_id: The attempt that was sent.
        instance: The incarnation of the target that it was meant for.
        is_first_request: Whether its connection carried no other request.
    """
    echoed_id = _echoed_id(head)
    attributed = attribution.attribute(
        echoed_id, attempt_id, is_first_request=is_first_request
    )
    if attributed is attribution.Attribution.OTHER:
        return Kind.FOREIGN
    if attributed is attribution.Attribution.UNKNOWN:
        is_success = head.status in HTTP_SUCCESS
        return Kind.SPOILED if is_success else Kind.UNPROVEN_PROMISE
    if head.status == HTTP_MISDIRECTED:
        actual = head.get(_INSTANCE)
        if actual is not None and actual.decode("latin-1") != instance:
            return Kind.GONE
        return Kind.MISMATCH
    if head.get(_NOT_EXECUTED) is not None:
        return Kind.SHED
    if head.status in HTTP_SUCCESS:
        whole = (
            echoed_id is not None
            and head.get(_SIGNATURE) is not None
            and head.get(_ENCODING) is None
        )
        return Kind.SUCCESS if whole else Kind.SPOILED
    if head.status in NOT_EXECUTED_STATUSES:
        # If forwarded, the caller would take it as proof that nothing ran.
        return Kind.UNPROVEN_PROMISE
    return Kind.FAILURE


def target_signals(
    head: http_client.Head, instance: str
) -> target_signals_lib.TargetSignals:
    """Decodes what a response reports about its target.

    Args:
        head: Status and headers.
        instance: The incarnation that the request was meant for.
    """
    if is_other_instance(head, instance):
        # Another incarnation at that address reports its own state.
        return target_signals_lib.NO_SIGNALS
    return target_signals_lib.TargetSignals(is_leaving(head), _backoff_ms(head))


def is_other_instance(head: http_client.Head, instance: str) -> bool:
    """Whether a response names another incarnation than it was meant for."""
    actual = head.get(_INSTANCE)
    return actual is not None and actual.decode("latin-1") != instance


def is_leaving(head: http_client.Head) -> bool:
    """Whether a response reports that its target is draining."""
    return (head.get(_LEAVING) or b"").strip() == b"1"


def _backoff_ms(head: http_client.Head) -> int:
    if head.status != HTTP_UNAVAILABLE:
        return 0
    # A date, which targets do not send, counts as no value.
    value = head.get(_RETRY_AFTER) or b"0"
    retry_after_s = header_numbers.non_negative(value) or 0.0
    return round(min(retry_after_s, _MAX_RETRY_AFTER_S) * MS_PER_S)


def rate_limit_per_s(head: http_client.Head, instance: str) -> float | None:
    """Parses the rate limit that a target advertises in a response.

    Args:
        head: Status and headers.
        instance: The incarnation that the request was meant for.

    Returns:
        Requests per second from all gateways together, ``UNLIMITED_PER_S``
        without the header, None if invalid or from another incarnation.
    """
    if is_other_instance(head, instance):
        return None
    value = head.get(_RATE_LIMIT)
    if value is None:
        return target_rate_limits.UNLIMITED_PER_S
    return header_numbers.non_negative(value)


def response_headers(head: http_client.Head) -> list[tuple[bytes, bytes]]:
    """Returns the headers of a response that the caller receives."""
    return [pair for pair in head.headers if pair[0] not in _RESPONSE_DROPPED]


def failure(
    reason: result.Failure, attempt_id: str
) -> tuple[int, list[tuple[bytes, bytes]], bytes]:
    """Encodes a failure of the gateway for a caller.

    Args:
        reason: The failure.
        attempt_id: The caller's id of the attempt.

    Returns:
        Status, headers and body.
    """
    body = error_body.encode(reason)
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", b"%d" % len(body)),
    ]
    if reason.code.status == HTTP_UNAUTHORIZED:
        headers.append((b"www-authenticate", b"Bearer"))
    if attempt_id:
        headers.append((_ATTEMPT, attempt_id.encode("latin-1")))
    if reason.retry_after_ms:
        seconds = reason.retry_after_ms / MS_PER_S
        headers.append((b"retry-after", f"{seconds:.3f}".encode()))
    return reason.code.status, headers, body
