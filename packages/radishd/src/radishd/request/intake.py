"""Reads and validates a request at an entry daemon before it is sent."""

import dataclasses
import json
import secrets
import urllib.parse

from radishstack import result
from radishstack.request import resolve
from radishstack.version import checks

from radishd.process import untrusted_json
from radishd.process import web
from radishd.request import body_reader

REQUEST_ID_BYTES = 8
MAX_REQUEST_ID_CHARS = 128
COMPLETION_PATHS = ("/v1/chat/completions", "/v1/completions")
SERVICE_PREFIX = "/v1/services/"
PLAIN_METHODS = ("GET", "POST", "PUT", "PATCH", "DELETE")


@dataclasses.dataclass(frozen=True, slots=True)
class Intake:
    """A caller's request, completely read and parsed.

    Attributes:
        asked: The fields that decide where it is sent.
        method: HTTP method.
        path: Path and query for the target.
        content_type: Content type of the body.
        body: The body.
        fields: The body's JSON object, empty for a plain service.
        streams: Whether the caller requests a stream of events.
    """

    asked: resolve.RoutingFields
    method: str
    path: str
    content_type: str
    body: bytes
    fields: dict[str, object]
    streams: bool


def headers_of(scope: web.Scope) -> dict[str, str]:
    """Returns the request's headers by lower-case name."""
    return {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in scope["headers"]
    }


def request_id_of(headers: dict[str, str]) -> str:
    """Returns the caller's request id, or a new one."""
    caller_id = headers.get("x-request-id", "")
    if caller_id.isascii() and caller_id.isprintable() and caller_id:
        return caller_id[:MAX_REQUEST_ID_CHARS]
    return secrets.token_hex(REQUEST_ID_BYTES)


async def read_body(
    receive: web.Receive, headers: dict[str, str], limit_bytes: int
) -> result.Outcome[bytes]:
    """Reads a body of limited size.

    Args:
        receive: The ASGI channel.
        headers: The request's headers.
        limit_bytes: Maximum size of the body.

    Returns:
        The body, or a failure if it is too large or the caller disconnected.
    """
    length = headers.get("content-length", "0")
    if length.isdecimal() and int(length) > limit_bytes:
        return body_reader.too_large(limit_bytes)
    return await body_reader.read(receive, limit_bytes)


def check_route(scope: web.Scope) -> result.Failure | None:
    """Checks method and path before the body is read."""
    path, method = scope["path"], scope["method"]
    if path in COMPLETION_PATHS:
        return None if method == "POST" else _unsupported(method, "POST")
    if path == "/v1/models":
        return None if method == "GET" else _unsupported(method, "GET")
    if path.startswith(SERVICE_PREFIX):
        if method in PLAIN_METHODS:
            return None
        return _unsupported(method, ", ".join(PLAIN_METHODS))
    return result.Failure(result.PATH_UNKNOWN, f"there is nothing at {path!r}")


def check_headers(scope: web.Scope, limit_bytes: int) -> result.Failure | None:
    """Checks the size of the header section."""
    size_bytes = sum(len(name) + len(value) for name, value in scope["headers"])
    if size_bytes <= limit_bytes:
        return None
    return result.Failure(
        result.HEADERS_TOO_LARGE,
        f"the headers have {size_bytes} bytes, at most {limit_bytes} are "
        "allowed",
    )


def _unsupported(method: str, allowed: str) -> result.Failure:
    return result.Failure(
        result.METHOD_UNSUPPORTED, f"{method} is not served here; use {allowed}"
    )


def parse(
    scope: web.Scope, headers: dict[str, str], request_id: str, body: bytes
) -> result.Outcome[Intake]:
    """Parses a request whose route is valid.

    Args:
        scope: The ASGI scope.
        headers: Its headers.
        request_id: Its id.
        body: Its body.

    Returns:
        The request, or the failure that it is rejected with.
    """
    model, service, fields, streams = "", "", {}, False
    path = scope["path"]
    if path.startswith(SERVICE_PREFIX):
        service, _, rest = path.removeprefix(SERVICE_PREFIX).partition("/")
        path = f"/{urllib.parse.quote(rest)}"
        query = scope["query_string"].decode("latin-1")
        if query:
            path = f"{path}?{query}"
    else:
        parsed = _parse_completion(body)
        if isinstance(parsed, result.Failure):
            return parsed
        fields = parsed
        model = fields["model"]
        streams = fields.get("stream", False) is True
    asked = resolve.RoutingFields(
        request_id=request_id,
        model=model,
        service=service,
        key=headers.get("idempotency-key", ""),
        timeout_text=headers.get("x-request-timeout-ms", ""),
        headers=headers,
    )
    return Intake(
        asked=asked,
        method=scope["method"],
        path=path,
        content_type=headers.get("content-type", "application/json"),
        body=body,
        fields=fields,
        streams=streams,
    )


def _parse_completion(body: bytes) -> result.Outcome[dict[str, object]]:
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError) as error:
        return result.Failure(
            result.BODY_MALFORMED, f"the body is not JSON: {str(error)[:100]}"
        )
    if untrusted_json.is_too_deep(fields):
        return result.Failure(
            result.BODY_MALFORMED,
            f"the body has more than {untrusted_json.MAX_DEPTH} levels",
        )
    if not isinstance(fields, dict):
        return result.Failure(
            result.BODY_MALFORMED, "the body must be a JSON object"
        )
    if not isinstance(fields.get("model"), str):
        return result.Failure(
            result.BODY_MALFORMED,
            "the body needs a text field model: a service, an adapter or "
            "adapter@version",
        )
    failure = _check_content(fields)
    return fields if failure is None else failure


def _check_content(fields: dict[str, object]) -> result.Failure | None:
    """Checks the types of the prompt and the messages.

    An engine that treats a number as an empty prompt responds 200 with a
    completion that the caller did not ask for.
    """
    prompt = fields.get("prompt", "")
    if not isinstance(prompt, str | list):
        return _malformed("prompt", prompt, "a text or a list")
    messages = fields.get("messages", [])
    if not isinstance(messages, list):
        return _malformed("messages", messages, "a list of messages")
    for index, message in enumerate(messages):
        path = f"messages.{index}"
        if not isinstance(message, dict):
            return _malformed(path, message, "an object with role and content")
        if not isinstance(message.get("role"), str):
            return _malformed(f"{path}.role", message.get("role"), "a text")
    return None


def _malformed(path: str, value: object, expected: str) -> result.Failure:
    return result.Failure(
        result.BODY_MALFORMED,
        f"{path} is {checks.shorten(value)}; it must be {expected}",
    )


def body_for(intake: Intake, adapter: str) -> bytes:
    """Returns the body for the target, with the exact adapter as model."""
    if not adapter:
        return intake.body
    return json.dumps({**intake.fields, "model": adapter}).encode()
