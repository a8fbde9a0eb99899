"""Typed operations on the document, and which of them commute.

Two operations commute when they write different fields, or the same values:
applied in either order, they give the same document. This is the type-specific
validation of "Apologizing Versus Asking Permission" (section 4): a change is
validated against the operations accepted since its base version. It is rejected
only if it conflicts with one of them, not because there are any.
"""

import dataclasses
import functools
import json
from typing import Annotated
from typing import Any
from typing import Literal

import pydantic
import pydantic.dataclasses

from radishstack.version import checks
from radishstack.version import document as document_lib

MS_PER_HOUR = 3_600_000
PLACEMENT_RETENTION_MS = 24 * MS_PER_HOUR

_operation = functools.partial(
    pydantic.dataclasses.dataclass,
    frozen=True,
    slots=True,
    kw_only=True,
    config=pydantic.ConfigDict(extra="forbid"),
)


@_operation()
class PutEntity:
    """Creates an entity or replaces all of it."""

    op: Literal["put_entity"] = "put_entity"
    kind: str
    name: str
    value: dict[str, Any]


@_operation()
class RemoveEntity:
    """Removes an entity."""

    op: Literal["remove_entity"] = "remove_entity"
    kind: str
    name: str


@_operation()
class SetField:
    """Sets one field of an existing entity."""

    op: Literal["set_field"] = "set_field"
    kind: str
    name: str
    field: str
    value: Any


@_operation()
class AddVersion:
    """Adds a version to an adapter."""

    op: Literal["add_version"] = "add_version"
    name: str
    version: int
    source: str


Operation = PutEntity | RemoveEntity | SetField | AddVersion
TaggedOperation = Annotated[Operation, pydantic.Field(discriminator="op")]

WHOLE_ENTITY = "*"
FieldKey = tuple[str, str, str]


def writes(operation: Operation) -> dict[FieldKey, str]:
    """Returns the fields that an operation writes.

    Args:
        operation: The operation.

    Returns:
        Canonical values by (kind, name, field), where the field ``*`` is the
        whole entity.
    """
    return _writes(operation)


@functools.singledispatch
def _writes(operation: object) -> dict[FieldKey, str]:
    raise TypeError(f"unknown operation {operation!r}")


def _canonical(value: object) -> str:
    return json.dumps(value, sort_keys=True, separators=(",", ":"))


@_writes.register
def _put_writes(operation: PutEntity) -> dict[FieldKey, str]:
    key = (operation.kind, operation.name, WHOLE_ENTITY)
    return {key: _canonical(operation.value)}


@_writes.register
def _remove_writes(operation: RemoveEntity) -> dict[FieldKey, str]:
    return {(operation.kind, operation.name, WHOLE_ENTITY): "removed"}


@_writes.register
def _set_writes(operation: SetField) -> dict[FieldKey, str]:
    key = (operation.kind, operation.name, operation.field)
    return {key: _canonical(operation.value)}


@_writes.register
def _add_version_writes(operation: AddVersion) -> dict[FieldKey, str]:
    key = ("adapters", operation.name, f"versions.{operation.version}")
    return {key: _canonical(operation.source)}


def find_conflict(ours: Operation, theirs: Operation) -> str | None:
    """Finds the conflict between two operations.

    Args:
        ours: The operation that is to be accepted.
        theirs: An operation accepted since our base version.

    Returns:
        The path that both write with different values, or None if they
        commute.
    """
    their_writes = writes(theirs)
    for (kind, name, field), value in writes(ours).items():
        for (
            their_kind,
            their_name,
            their_field,
        ), other in their_writes.items():
            if (kind, name) != (their_kind, their_name):
                continue
            if not _fields_overlap(field, their_field):
                continue
            if field == their_field and value == other:
                continue
            path = field if field != WHOLE_ENTITY else their_field
            suffix = "" if path == WHOLE_ENTITY else f".{path}"
            return f"{kind}.{name}{suffix}"
    return None


def _fields_overlap(ours: str, theirs: str) -> bool:
    if WHOLE_ENTITY in (ours, theirs) or ours == theirs:
        return True
    return ours.startswith(f"{theirs}.") or theirs.startswith(f"{ours}.")


ApplyResult = document_lib.Document | tuple[checks.Problem, ...]


def apply(
    document: document_lib.Document,
    operations: tuple[Operation, ...],
    *,
    version: int,
    at_ms: int,
    accepted: bool = False,
) -> ApplyResult:
    """Applies operations and validates the resulting document.

    Args:
        document: The document to apply them to; it is not modified.
        operations: The operations, in order.
        version: The version of the resulting document.
        at_ms: When the change is accepted, Unix time.
        accepted: Whether the change was accepted, and so validated, before.
            Validating 35,000 adapters again in every process would cost
            more than all of its other work.

    Returns:
        The new document, or all problems found in it.
    """
    tables = {
        kind: dict(getattr(document, kind)) for kind in document_lib.KINDS
    }
    problems: list[checks.Problem] = []
    for operation in operations:
        problem = _apply_one(operation, tables)
        if problem is not None:
            problems.append(problem)
    if problems:
        return tuple(problems)
    result = document_lib.Document(
        **tables,
        placements=_placements_after(
            document, tables["services"], version=version, at_ms=at_ms
        ),
    )
    if accepted:
        return result
    return tuple(document_lib.check(result)) or result


Tables = dict[str, dict[str, Any]]


@functools.singledispatch
def _apply_one(operation: object, tables: Tables) -> checks.Problem | None:
    raise TypeError(f"unknown operation {operation!r}")


def _build(
    kind: str, name: str, value: dict[str, Any], tables: Tables
) -> checks.Problem | None:
    path = f"{kind}.{name}"
    entity_type = document_lib.KINDS.get(kind)
    if entity_type is None:
        return checks.Problem(
            path, kind, f"name one of {', '.join(document_lib.KINDS)}"
        )
    try:
        entity = _type_adapter_for(entity_type).validate_python(value)
    except pydantic.ValidationError as error:
        first = checks.explain(error)[0]
        return dataclasses.replace(first, path=f"{path}.{first.path}")
    tables[kind][name] = entity
    return None


@functools.cache
def _type_adapter_for(entity_type: type) -> pydantic.TypeAdapter[Any]:
    return pydantic.TypeAdapter(entity_type)


@_apply_one.register
def _apply_put(operation: PutEntity, tables: Tables) -> checks.Problem | None:
    return _build(operation.kind, operation.name, operation.value, tables)


def _missing_entity(kind: str, name: str) -> checks.Problem:
    return checks.Problem(
        f"{kind}.{name}", "(missing)", "no such entry; add it first"
    )


@_apply_one.register
def _apply_remove(
    operation: RemoveEntity, tables: Tables
) -> checks.Problem | None:
    if operation.name not in tables.get(operation.kind, {}):
        return _missing_entity(operation.kind, operation.name)
    del tables[operation.kind][operation.name]
    return None


@_apply_one.register
def _apply_set(operation: SetField, tables: Tables) -> checks.Problem | None:
    entity = tables.get(operation.kind, {}).get(operation.name)
    if entity is None:
        return _missing_entity(operation.kind, operation.name)
    value = entity_to_plain(entity)
    if operation.value is None:
        value.pop(operation.field, None)
    else:
        value[operation.field] = operation.value
    return _build(operation.kind, operation.name, value, tables)


@_apply_one.register
def _apply_add_version(
    operation: AddVersion, tables: Tables
) -> checks.Problem | None:
    adapter = tables["adapters"].get(operation.name)
    if adapter is None:
        return _missing_entity("adapters", operation.name)
    added = document_lib.AdapterVersion(
        version=operation.version, source=operation.source
    )
    for entry in adapter.versions:
        if entry == added:
            return None
        if entry.version == added.version:
            return checks.Problem(
                f"adapters.{adapter.name}.versions",
                str(added.version),
                "this version exists with another source; use a new number",
            )
    versions = sorted((*adapter.versions, added), key=lambda one: one.version)
    tables["adapters"][adapter.name] = dataclasses.replace(
        adapter, versions=tuple(versions)
    )
    return None


def entity_to_plain(entity: document_lib.Entity) -> dict[str, Any]:
    """Returns one entity as plain data, without fields that are None."""
    type_adapter = _type_adapter_for(type(entity))
    return type_adapter.dump_python(entity, mode="json", exclude_none=True)


def _placements_after(
    before: document_lib.Document,
    services: dict[str, document_lib.Service],
    *,
    version: int,
    at_ms: int,
) -> dict[str, tuple[document_lib.Placement, ...]]:
    """Returns the former targets of non-idempotent services.

    An idempotency key that ran on a former target must not run again on a new
    one, so the new target has to know which targets to ask.
    """
    keep_after_ms = at_ms - PLACEMENT_RETENTION_MS
    result = {
        name: kept
        for name, entries in before.placements.items()
        if (kept := tuple(e for e in entries if e.until_at_ms > keep_after_ms))
    }
    for name, old in before.services.items():
        new = services.get(name)
        if old.idempotent or (new is not None and new.targets == old.targets):
            continue
        former = document_lib.Placement(
            targets=old.targets, until_version=version, until_at_ms=at_ms
        )
        entries = (*result.get(name, ()), former)
        result[name] = entries[-document_lib.MAX_PLACEMENTS_PER_SERVICE :]
    return result


def diff(
    before: document_lib.Document, after: document_lib.Document
) -> tuple[Operation, ...]:
    """Returns the operations that turn one document into another.

    Args:
        before: The original document.
        after: The edited document.

    Returns:
        The operations, each as narrow as possible.
    """
    operations: list[Operation] = []
    for kind in document_lib.KINDS:
        old, new = getattr(before, kind), getattr(after, kind)
        for name in sorted(old.keys() - new.keys()):
            operations.append(RemoveEntity(kind=kind, name=name))
        for name in sorted(new):
            if name not in old:
                value = entity_to_plain(new[name])
                operations.append(PutEntity(kind=kind, name=name, value=value))
            elif old[name] != new[name]:
                operations.extend(_diff_entity(kind, old[name], new[name]))
    return tuple(operations)


def _diff_entity(
    kind: str, old: document_lib.Entity, new: document_lib.Entity
) -> list[Operation]:
    operations: list[Operation] = []
    before, after = entity_to_plain(old), entity_to_plain(new)
    if isinstance(old, document_lib.Adapter):
        added = [v for v in new.versions if v not in old.versions]
        kept_all = set(old.versions) <= set(new.versions)
        numbers = {v.version for v in old.versions}
        if kept_all and not any(v.version in numbers for v in added):
            before.pop("versions"), after.pop("versions")
            operations.extend(
                AddVersion(name=new.name, version=v.version, source=v.source)
                for v in added
            )
    for field in sorted(before.keys() | after.keys()):
        if before.get(field) != after.get(field):
            operations.append(
                SetField(
                    kind=kind,
                    name=new.name,
                    field=field,
                    value=after.get(field),
                )
            )
    return operations
