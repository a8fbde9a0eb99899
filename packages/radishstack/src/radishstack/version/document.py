"""The document: customers, services, adapters and targets of a deployment."""

import dataclasses
import enum
import functools
from typing import Annotated
from typing import Any

import pydantic
import pydantic.dataclasses

from radishstack.version import checks

MAX_TIMEOUT_MS = 600_000
DEFAULT_TIMEOUT_MS = 30_000
MAX_PLACEMENTS_PER_SERVICE = 64

Share = Annotated[float, pydantic.Field(ge=0.0, le=1.0)]
TimeoutMs = Annotated[int, pydantic.Field(ge=1, le=MAX_TIMEOUT_MS)]
Count = Annotated[int, pydantic.Field(ge=1, le=1_000_000)]

_CONFIG = pydantic.ConfigDict(extra="forbid")
_entity = functools.partial(
    pydantic.dataclasses.dataclass,
    frozen=True,
    slots=True,
    kw_only=True,
    config=_CONFIG,
)


class ServiceKind(enum.StrEnum):
    """Whether a service runs on model engines or plain services."""

    MODEL = "model"
    PLAIN = "plain"


class Priority(enum.StrEnum):
    """Priority class of a service, the most urgent first."""

    URGENT = "urgent"
    NORMAL = "normal"
    BACKGROUND = "background"


@_entity()
class Customer:
    """A customer, whose requests get a fair share of the targets.

    Attributes:
        name: Unique name.
        share: Weight of its fair share, relative to the other customers.
        max_in_flight: Limit on its requests at one target, queued or running.
    """

    name: checks.Name
    share: Annotated[float, pydantic.Field(gt=0.0, le=1000.0)] = 1.0
    max_in_flight: Count = 64


@_entity()
class AdapterVersion:
    """One immutable version of an adapter.

    Attributes:
        version: Number, unique within the adapter.
        source: Location in the weight store.
    """

    version: Annotated[int, pydantic.Field(ge=1)]
    source: Annotated[str, pydantic.Field(min_length=1, max_length=512)]


@_entity()
class Adapter:
    """A LoRA adapter of one service.

    Attributes:
        name: Unique name.
        service: The service that serves it.
        base_model: The base model it was trained on.
        versions: Its versions.
        current: The version for requests that name none.
    """

    name: checks.Name
    service: checks.Name
    base_model: checks.Name
    versions: Annotated[
        tuple[AdapterVersion, ...], pydantic.Field(min_length=1)
    ]
    current: int


@_entity()
class Target:
    """An engine or a plain service, behind its target process.

    Attributes:
        name: Unique name; the replacement of a VM keeps the name.
        kind: Engine or plain service.
        address: Listen address of its target process, ``ip:port``.
        failure_domain: ``region/domain``.
        base_model: The engine's base model.
    """

    name: checks.Name
    kind: checks.TargetKind
    address: checks.Address
    failure_domain: str
    base_model: checks.Name | None = None


@_entity()
class Service:
    """A service that callers send requests to.

    Attributes:
        name: Unique name.
        customer: The customer that owns it.
        kind: Model or plain.
        targets: Names of the targets that may run it.
        adapter: Adapter for requests that name only the service.
        idempotent: Whether a request may run more than once.
        priority: Priority class.
        stall_weight: Cost of waiting for an adapter load relative to waiting
            in a queue, 0 to 1.
        warm: Adapters to keep resident on their first ``warm_targets`` targets.
        warm_targets: Number of targets that keep a warm adapter resident.
        timeout_ms: Deadline of a request that names none.
        max_timeout_ms: Longest deadline that a caller may set.
        max_queued: Limit on its queued requests at one target.
        retry_window_ms: How long an idempotency key is kept after its request
            ran.
    """

    name: checks.Name
    customer: checks.Name
    kind: ServiceKind = ServiceKind.MODEL
    targets: Annotated[tuple[checks.Name, ...], pydantic.Field(min_length=1)]
    adapter: checks.Name | None = None
    idempotent: bool = True
    priority: Priority = Priority.NORMAL
    stall_weight: Share = 0.75
    warm: tuple[checks.Name, ...] = ()
    warm_targets: Annotated[int, pydantic.Field(ge=1, le=16)] = 1
    timeout_ms: TimeoutMs = DEFAULT_TIMEOUT_MS
    max_timeout_ms: TimeoutMs = MAX_TIMEOUT_MS
    max_queued: Count = 256
    retry_window_ms: Annotated[int, pydantic.Field(ge=1_000, le=3_600_000)] = (
        checks.DEFAULT_RETRY_WINDOW_MS
    )


@_entity()
class Rule:
    """Sends some of a service's requests to an adapter.

    Rules of a service are evaluated by ascending ``position``; the first match
    applies.

    Attributes:
        name: Unique name.
        service: The service it belongs to.
        position: Order among the service's rules.
        header: Lower-case request header that must equal ``equals``.
        equals: The value the header must have.
        share: Share of the remaining requests that it matches, by request id.
        adapter: The adapter that serves the matched requests.
        version: The adapter version, None for the adapter's current one.
    """

    name: checks.Name
    service: checks.Name
    position: Annotated[int, pydantic.Field(ge=0, le=10_000)]
    header: Annotated[str, pydantic.Field(pattern=r"^[a-z0-9-]+$")] | None = (
        None
    )
    equals: str | None = None
    share: Annotated[float, pydantic.Field(gt=0.0, le=1.0)] = 1.0
    adapter: checks.Name
    version: int | None = None


@_entity()
class Placement:
    """The targets of a service before a version replaced them.

    Attributes:
        targets: The former targets.
        until_version: The version that replaced them.
        until_at_ms: When that version was accepted, Unix time.
    """

    targets: tuple[checks.Name, ...]
    until_version: int
    until_at_ms: int


@_entity()
class Document:
    """The configuration of a deployment; immutable, a change creates a new one.

    Attributes:
        customers: Customers by name; the other entities are by name too.
        services: Services.
        adapters: Adapters.
        targets: Targets.
        rules: Rules.
        placements: Former targets of non-idempotent services, newest last;
            maintained by the system, not by operators.
    """

    customers: dict[checks.Name, Customer] = dataclasses.field(
        default_factory=dict
    )
    services: dict[checks.Name, Service] = dataclasses.field(
        default_factory=dict
    )
    adapters: dict[checks.Name, Adapter] = dataclasses.field(
        default_factory=dict
    )
    targets: dict[checks.Name, Target] = dataclasses.field(default_factory=dict)
    rules: dict[checks.Name, Rule] = dataclasses.field(default_factory=dict)
    placements: dict[checks.Name, tuple[Placement, ...]] = dataclasses.field(
        default_factory=dict
    )


Entity = Customer | Service | Adapter | Target | Rule

KINDS: dict[str, type] = {
    "customers": Customer,
    "services": Service,
    "adapters": Adapter,
    "targets": Target,
    "rules": Rule,
}
KIND_OF: dict[type, str] = {kind: name for name, kind in KINDS.items()}

_DOCUMENT = pydantic.TypeAdapter(Document)
_PLACEMENTS = pydantic.TypeAdapter(dict[str, tuple[Placement, ...]])


def parse(raw: object) -> Document | tuple[checks.Problem, ...]:
    """Builds a document from plain data and validates it.

    Entities may be given as lists, as the console writes them, or as
    mappings by name.

    Args:
        raw: Parsed YAML or JSON.

    Returns:
        The document, or all problems found.
    """
    if not isinstance(raw, dict):
        return (
            checks.Problem(
                "(whole)", checks.shorten(raw), "write a mapping of entities"
            ),
        )
    keyed: dict[str, object] = {}
    problems: list[checks.Problem] = []
    for kind, value in raw.items():
        keyed[kind] = _key_by_name(str(kind), value, problems)
    try:
        document = _DOCUMENT.validate_python(keyed)
    except pydantic.ValidationError as error:
        return (*problems, *checks.explain(error))
    problems.extend(check(document))
    return tuple(problems) or document


def _key_by_name(
    kind: str, value: object, problems: list[checks.Problem]
) -> object:
    if kind not in KINDS or not isinstance(value, list | tuple):
        return value
    keyed: dict[object, object] = {}
    for index, item in enumerate(value):
        name = item.get("name") if isinstance(item, dict) else None
        if not isinstance(name, str):
            problems.append(
                checks.Problem(
                    f"{kind}.{index}", checks.shorten(item), "give it a name"
                )
            )
            continue
        if name in keyed:
            problems.append(
                checks.Problem(
                    f"{kind}.{index}.name",
                    checks.shorten(name),
                    "duplicate name; use each name once",
                )
            )
        keyed[name] = item
    return keyed


def check(document: Document) -> list[checks.Problem]:
    """Checks references between entities and finds unreachable rules.

    Args:
        document: A document whose entities are each valid.

    Returns:
        All problems found.
    """
    problems: list[checks.Problem] = []
    for kind in KINDS:
        for name, entity in getattr(document, kind).items():
            if entity.name != name:
                problems.append(
                    checks.Problem(
                        f"{kind}.{name}.name",
                        checks.shorten(entity.name),
                        f"write {name}, the key it stands under",
                    )
                )
            problems.extend(check_entity(entity, document))
    problems.extend(_check_rule_order(document))
    return problems


@functools.singledispatch
def check_entity(entity: object, document: Document) -> list[checks.Problem]:
    """Checks one entity's references to others in the document."""
    del entity, document
    return []


def _dangling(path: str, name: str, kind: str) -> checks.Problem:
    return checks.Problem(
        path,
        checks.shorten(name),
        f"no such entry in {kind}; add it or name another",
    )


@check_entity.register
def _check_service(
    service: Service, document: Document
) -> list[checks.Problem]:
    path = f"services.{service.name}"
    problems = []
    if service.customer not in document.customers:
        problems.append(
            _dangling(f"{path}.customer", service.customer, "customers")
        )
    for index, name in enumerate(service.targets):
        problems.extend(
            _check_service_target(
                f"{path}.targets.{index}", service, name, document
            )
        )
    if len(set(service.targets)) != len(service.targets):
        problems.append(
            checks.Problem(
                f"{path}.targets",
                checks.shorten(service.targets),
                "name each target once",
            )
        )
    for field, name in [
        ("adapter", service.adapter),
        *((f"warm.{index}", name) for index, name in enumerate(service.warm)),
    ]:
        problems.extend(
            _check_own_adapter(f"{path}.{field}", name, service.name, document)
        )
    if service.kind is ServiceKind.PLAIN and (service.adapter or service.warm):
        problems.append(
            checks.Problem(
                f"{path}.adapter",
                checks.shorten(service.adapter),
                "a plain service has no adapters; remove it",
            )
        )
    if service.timeout_ms > service.max_timeout_ms:
        problems.append(
            checks.Problem(
                f"{path}.timeout_ms",
                checks.shorten(service.timeout_ms),
                f"write at most max_timeout_ms, {service.max_timeout_ms}",
            )
        )
    return problems


def _check_service_target(
    path: str, service: Service, name: str, document: Document
) -> list[checks.Problem]:
    target = document.targets.get(name)
    if target is None:
        return [_dangling(path, name, "targets")]
    expected_kind = (
        checks.TargetKind.ENGINE
        if service.kind is ServiceKind.MODEL
        else checks.TargetKind.PLAIN
    )
    if target.kind is not expected_kind:
        return [
            checks.Problem(
                path,
                checks.shorten(name),
                f"name a target of kind {expected_kind}",
            )
        ]
    return []


def _check_own_adapter(
    path: str, name: str | None, service: str, document: Document
) -> list[checks.Problem]:
    if name is None:
        return []
    adapter = document.adapters.get(name)
    if adapter is None:
        return [_dangling(path, name, "adapters")]
    if adapter.service != service:
        return [
            checks.Problem(
                path,
                checks.shorten(name),
                f"it belongs to service {adapter.service}; name one of "
                f"{service}",
            )
        ]
    return []


@check_entity.register
def _check_adapter(
    adapter: Adapter, document: Document
) -> list[checks.Problem]:
    path = f"adapters.{adapter.name}"
    problems = []
    versions = [entry.version for entry in adapter.versions]
    if len(set(versions)) != len(versions):
        problems.append(
            checks.Problem(
                f"{path}.versions",
                checks.shorten(versions),
                "use each number once",
            )
        )
    if adapter.current not in versions:
        problems.append(
            checks.Problem(
                f"{path}.current",
                checks.shorten(adapter.current),
                f"write one of its versions, {checks.shorten(versions)}",
            )
        )
    service = document.services.get(adapter.service)
    if service is None:
        problems.append(
            _dangling(f"{path}.service", adapter.service, "services")
        )
        return problems
    if service.kind is ServiceKind.PLAIN:
        problems.append(
            checks.Problem(
                f"{path}.service",
                checks.shorten(adapter.service),
                "name a service of kind model",
            )
        )
    for name in service.targets:
        target = document.targets.get(name)
        if target is not None and target.base_model != adapter.base_model:
            problems.append(
                checks.Problem(
                    f"{path}.base_model",
                    checks.shorten(adapter.base_model),
                    f"target {name} of its service runs {target.base_model}",
                )
            )
            break
    return problems


@check_entity.register
def _check_target(target: Target, document: Document) -> list[checks.Problem]:
    del document
    path = f"targets.{target.name}"
    if target.kind is checks.TargetKind.ENGINE and target.base_model is None:
        return [
            checks.Problem(f"{path}.base_model", "(missing)", "add this key")
        ]
    return []


@check_entity.register
def _check_rule(rule: Rule, document: Document) -> list[checks.Problem]:
    path = f"rules.{rule.name}"
    problems = []
    if rule.service not in document.services:
        problems.append(_dangling(f"{path}.service", rule.service, "services"))
    if (rule.header is None) != (rule.equals is None):
        problems.append(
            checks.Problem(
                f"{path}.header",
                checks.shorten(rule.header),
                "give both header and equals, or neither",
            )
        )
    problems.extend(
        _check_own_adapter(
            f"{path}.adapter", rule.adapter, rule.service, document
        )
    )
    adapter = document.adapters.get(rule.adapter)
    if adapter is not None and rule.version is not None:
        versions = [entry.version for entry in adapter.versions]
        if rule.version not in versions:
            problems.append(
                checks.Problem(
                    f"{path}.version",
                    checks.shorten(rule.version),
                    f"write one of {checks.shorten(versions)}",
                )
            )
    return problems


def rules_of(document: Document, service: str) -> list[Rule]:
    """Returns a service's rules in evaluation order."""
    rules = [
        rule for rule in document.rules.values() if rule.service == service
    ]
    return sorted(rules, key=lambda rule: (rule.position, rule.name))


def _check_rule_order(document: Document) -> list[checks.Problem]:
    problems = []
    by_service: dict[str, list[Rule]] = {}
    for rule in document.rules.values():
        by_service.setdefault(rule.service, []).append(rule)
    for rules in by_service.values():
        rules.sort(key=lambda rule: (rule.position, rule.name))
        covered: dict[tuple[str | None, str | None], str] = {}
        for rule in rules:
            condition = (rule.header, rule.equals)
            shadow = covered.get((None, None)) or covered.get(condition)
            if shadow is not None:
                problems.append(
                    checks.Problem(
                        f"rules.{rule.name}",
                        checks.shorten(condition),
                        f"it can never match, since {shadow} takes all of its "
                        "requests; move it before or remove it",
                    )
                )
            if rule.share >= 1.0:
                covered.setdefault(condition, rule.name)
    return problems


def to_plain(document: Document) -> dict[str, Any]:
    """Returns a document as plain data, with entities as sorted lists."""
    plain = _DOCUMENT.dump_python(document, mode="json", exclude_none=True)
    return {
        kind: [value[name] for name in sorted(value)]
        if kind in KINDS
        else value
        for kind, value in plain.items()
    }


def placements_to_plain(
    placements: dict[str, tuple[Placement, ...]],
) -> dict[str, Any]:
    """Returns former placements as plain data."""
    return _PLACEMENTS.dump_python(placements, mode="json")


def json_schema() -> dict[str, Any]:
    """Returns the JSON Schema from which the console builds its forms."""
    schema = _DOCUMENT.json_schema()
    properties = schema["properties"]
    properties.pop("placements", None)
    for kind in KINDS:
        properties[kind] = {
            "type": "array",
            "items": properties[kind]["additionalProperties"],
        }
    return schema
