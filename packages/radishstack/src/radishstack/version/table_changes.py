"""Describes the differences between two route tables for operators."""

import collections
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
from typing import Any

from radishstack.version import client_account
from radishstack.version import route_table

# Maximum differences kept for one version. A version that adds thousands of
# routes would otherwise use megabytes in every gateway until it restarts.
MAX_DETAILS = 100


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A version that one process applied.

    Attributes:
        version: The version.
        before: The version that it replaced, 0 if it is the first.
        at_ms: Wall-clock time at which the process applied it.
        details: One line for each difference.
    """

    version: int
    before: int
    at_ms: int
    details: tuple[str, ...]


def describe(
    before: route_table.RouteTable, after: route_table.RouteTable
) -> tuple[str, ...]:
    """Describes the differences between two versions.

    Args:
        before: The older version.
        after: The newer version.

    Returns:
        One line for each added, removed or changed route, service, limit and
        account, for example ``route r-chat: timeout_ms 400 to 300``. Above
        ``MAX_DETAILS`` lines, the last one counts the omitted changes.
    """
    lines = (
        *_entry_changes("route", _routes(before), _routes(after)),
        *_entry_changes("service", before.services, after.services),
        *_field_changes("limits", before.limits, after.limits),
        *_entry_changes("account", _accounts(before), _accounts(after)),
        *_key_changes(before, after),
    )
    omitted_count = len(lines) - MAX_DETAILS
    if omitted_count > 0:
        return (*lines[:MAX_DETAILS], f"{omitted_count} further changes")
    return lines


def _routes(table: route_table.RouteTable) -> dict[str, route_table.Route]:
    return {
        route.name: route
        for routes in table.routes.values()
        for route in routes
    }


def _accounts(
    table: route_table.RouteTable,
) -> Mapping[str, client_account.ClientAccount]:
    return {} if table.accounts is None else table.accounts.accounts


def _key_changes(
    before: route_table.RouteTable, after: route_table.RouteTable
) -> Iterator[str]:
    """Counts the added and removed keys of accounts without revealing them."""
    old, new = _owners(before), _owners(after)
    if old == new:
        return
    gained = collections.Counter(name for _, name in new.items() - old.items())
    lost = collections.Counter(name for _, name in old.items() - new.items())
    for name in sorted(gained | lost):
        yield (
            f"account {name}: keys {gained[name]} added, {lost[name]} removed"
        )


def _owners(table: route_table.RouteTable) -> Mapping[bytes, str]:
    return {} if table.accounts is None else table.accounts.names_by_digest


def _entry_changes(
    noun: str, before: Mapping[str, Any], after: Mapping[str, Any]
) -> Iterator[str]:
    for name in sorted(before.keys() | after.keys()):
        if name not in after:
            yield f"{noun} {name} removed"
        elif name not in before:
            yield f"{noun} {name} added"
        else:
            yield from _field_changes(
                f"{noun} {name}", before[name], after[name]
            )


def _field_changes(title: str, before: Any, after: Any) -> Iterator[str]:
    for field in dataclasses.fields(after):
        old, new = getattr(before, field.name), getattr(after, field.name)
        if old != new:
            yield f"{title}: {field.name} {_text(old)} to {_text(new)}"


def _text(value: Any) -> str:
    if isinstance(value, tuple):
        return ", ".join(map(_text, value)) or "none"
    if isinstance(value, route_table.WeightedService):
        return f"{value.service} at {value.weight:g}"
    return str(value)
