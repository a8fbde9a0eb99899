"""Resolves a request against one configuration version."""

from collections.abc import Mapping
import dataclasses
import functools
import hashlib

import xxhash

from radishstack import result
from radishstack.process import rendezvous
from radishstack.version import document as document_lib
from radishstack.version import holder as holder_lib

MAX_KEY_CHARS = 256
MAX_CANDIDATES = 48
# Longer numbers are no valid version or time.
MAX_DIGITS = 18
_HASH_RANGE = 2**64


@dataclasses.dataclass(frozen=True, slots=True)
class Resolution:
    """The service, adapter and targets of a request, fixed once resolved.

    Attributes:
        version: The configuration version it was resolved against.
        service: The service.
        customer: The customer that the service belongs to.
        adapter: ``name@version``, empty for a plain service.
        candidates: Targets in the order to try; for a keyed request only
            its home.
        key: Idempotency key, empty if the service is idempotent.
        timeout_ms: How long the caller waits.
    """

    version: int
    service: document_lib.Service
    customer: document_lib.Customer
    adapter: str
    candidates: tuple[str, ...]
    key: str
    timeout_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingFields:
    """The fields of a request that determine where it is sent.

    Attributes:
        request_id: Unique id of the request.
        model: The ``model`` field, empty for a plain service.
        service: Service of a plain call, empty otherwise.
        key: ``Idempotency-Key``, empty if absent.
        timeout_text: ``X-Request-Timeout-Ms``, empty if absent.
        headers: All request headers by lower-case name.
    """

    request_id: str
    model: str
    service: str
    key: str
    timeout_text: str
    headers: Mapping[str, str]


def resolve(
    fields: RoutingFields, held: holder_lib.HeldVersion
) -> result.Outcome[Resolution]:
    """Resolves a request against one version.

    Args:
        fields: The routing fields of the request.
        held: The version, held until the request ends.

    Returns:
        The resolution, or why the request cannot be resolved.
    """
    document = held.document
    if fields.service:
        selection = _select_plain(fields.service, document)
    else:
        selection = _select_model(fields, document)
    if isinstance(selection, result.Failure):
        return selection
    service, adapter = selection
    timeout_ms = _parse_timeout(fields.timeout_text, service)
    if isinstance(timeout_ms, result.Failure):
        return timeout_ms
    key = _parse_key(fields.key, service)
    if isinstance(key, result.Failure):
        return key
    return Resolution(
        version=held.version,
        service=service,
        customer=document.customers[service.customer],
        adapter=adapter,
        candidates=candidates_for(service, adapter=adapter, key=key),
        key=key,
        timeout_ms=timeout_ms,
    )


def candidates_for(
    service: document_lib.Service, *, adapter: str, key: str
) -> tuple[str, ...]:
    """Orders a service's configured targets for a request.

    A keyed request has one candidate, its home. The home depends only on the
    configured targets, never on which of them are alive: another entry daemon
    may see other targets alive, but must send a resubmission of the key to the
    same ledger.

    Args:
        service: The service.
        adapter: ``name@version``, empty for a plain service.
        key: Idempotency key, empty if there is none.

    Returns:
        Target names, the preferred ones first.
    """
    if key:
        return (home_of(service.name, key, service.targets),)
    return _order(adapter or service.name, service.targets)


@functools.lru_cache(maxsize=4_096)
def _order(key: str, targets: tuple[str, ...]) -> tuple[str, ...]:
    return tuple(rendezvous.order(key, targets, MAX_CANDIDATES))


def home_of(service: str, key: str, targets: tuple[str, ...]) -> str:
    """Returns the one target that may run a key."""
    return rendezvous.first(f"{service}/{key}", targets)


def body_digest(body: bytes) -> bytes:
    """Returns a digest that detects different bodies under the same key."""
    return hashlib.sha256(body).digest()[:16]


_Selection = tuple[document_lib.Service, str]


def _select_plain(
    name: str, document: document_lib.Document
) -> result.Outcome[_Selection]:
    service = document.services.get(name)
    if service is None:
        return result.Failure(
            result.SERVICE_UNKNOWN, f"there is no service {name!r}"
        )
    if service.kind is not document_lib.ServiceKind.PLAIN:
        return result.Failure(
            result.SERVICE_KIND_WRONG,
            f"{name} is a model service; send it to /v1/chat/completions or "
            "/v1/completions",
        )
    return service, ""


def _select_model(
    fields: RoutingFields, document: document_lib.Document
) -> result.Outcome[_Selection]:
    service = document.services.get(fields.model)
    if service is not None:
        return _select_by_rule(fields, service, document)
    name, separator, version_text = fields.model.partition("@")
    adapter = document.adapters.get(name)
    if adapter is None:
        return result.Failure(
            result.MODEL_UNKNOWN,
            f"there is no service or adapter {name!r}; GET /v1/models lists "
            "them",
        )
    version = adapter.current
    if separator:
        is_number = version_text.isdecimal()
        if not is_number or len(version_text) > MAX_DIGITS:
            return _version_unknown(name, version_text)
        version = int(version_text)
    return _select_adapter(adapter, version, document)


def _select_by_rule(
    fields: RoutingFields,
    service: document_lib.Service,
    document: document_lib.Document,
) -> result.Outcome[_Selection]:
    if service.kind is not document_lib.ServiceKind.MODEL:
        return result.Failure(
            result.SERVICE_KIND_WRONG,
            f"{service.name} is a plain service; send it to "
            f"/v1/services/{service.name}/",
        )
    for rule in document_lib.rules_of(document, service.name):
        if _matches(rule, fields):
            adapter = document.adapters[rule.adapter]
            version = adapter.current if rule.version is None else rule.version
            return _select_adapter(adapter, version, document)
    if service.adapter is None:
        return result.Failure(
            result.MODEL_UNKNOWN,
            f"no rule of {service.name} matches and it has no adapter of its "
            "own; name an adapter",
        )
    adapter = document.adapters[service.adapter]
    return _select_adapter(adapter, adapter.current, document)


def _matches(rule: document_lib.Rule, fields: RoutingFields) -> bool:
    headers = fields.headers
    if rule.header is not None and headers.get(rule.header) != rule.equals:
        return False
    if rule.share >= 1.0:
        return True
    # A keyed request must match the same rules when it is sent again.
    identity = fields.key or fields.request_id
    hash_fraction = (
        xxhash.xxh3_64_intdigest(f"{rule.name}/{identity}".encode())
        / _HASH_RANGE
    )
    return hash_fraction < rule.share


def _select_adapter(
    adapter: document_lib.Adapter,
    version: int,
    document: document_lib.Document,
) -> result.Outcome[_Selection]:
    if all(entry.version != version for entry in adapter.versions):
        return _version_unknown(adapter.name, str(version))
    service = document.services[adapter.service]
    return service, f"{adapter.name}@{version}"


def _version_unknown(name: str, version_text: str) -> result.Failure:
    return result.Failure(
        result.VERSION_UNKNOWN,
        f"adapter {name} has no version {version_text!r}",
    )


def _parse_timeout(
    text: str, service: document_lib.Service
) -> result.Outcome[int]:
    if not text:
        return service.timeout_ms
    is_number = text.isascii() and text.isdecimal()
    if not is_number or len(text) > MAX_DIGITS or int(text) < 1:
        return result.Failure(
            result.TIMEOUT_INVALID,
            f"X-Request-Timeout-Ms is {text[:20]!r}; write whole milliseconds "
            f"from 1 to {service.max_timeout_ms}",
        )
    timeout_ms = int(text)
    if timeout_ms > service.max_timeout_ms:
        return result.Failure(
            result.TIMEOUT_INVALID,
            f"X-Request-Timeout-Ms is {timeout_ms}; {service.name} allows at "
            f"most {service.max_timeout_ms}",
        )
    return timeout_ms


def _parse_key(text: str, service: document_lib.Service) -> result.Outcome[str]:
    if service.idempotent:
        return ""
    if not text:
        return result.Failure(
            result.KEY_MISSING,
            f"{service.name} runs a request at most once; send an "
            "Idempotency-Key of your own",
        )
    if len(text) > MAX_KEY_CHARS or not text.isascii():
        return result.Failure(
            result.KEY_INVALID,
            f"Idempotency-Key must be ASCII of at most {MAX_KEY_CHARS} "
            "characters",
        )
    return text
