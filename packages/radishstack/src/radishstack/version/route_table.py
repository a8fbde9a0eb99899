"""Route tables, which map requests to services.

A route table is one accepted version of the operator's routes. It is matched
by host and by the longest path prefix. A process that served a version never
serves an older one.
"""

from collections.abc import Mapping
import dataclasses
import enum
from typing import Any

from radishstack import invariant
from radishstack import result
from radishstack.version import client_account

DEFAULT_HEADER_TIMEOUT_MS = 10_000


class Repeat(enum.StrEnum):
    """Whether a request may run more than once."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """A service and its weight among the services of one route."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """One route.

    Attributes:
        name: Its name.
        host: Host it serves, in lower case.
        path_prefix: Path prefix, with a slash at both ends.
        repeat: Whether a request may run more than once.
        streams: Whether the response is a stream of events.
        resumable: Whether a stream may resume at another target.
        timeout_ms: Longest time that a caller waits.
        objective_ms: Latency objective for the response, or for the first event
            of a stream.
        gap_objective_ms: Latency objective for the time between two events.
        priority: Priority, 0 the most urgent.
        max_targets: Maximum number of targets that one attempt may be sent to.
        shares: Services that serve its requests, with weights.
        public: Whether its requests need no API key.
    """

    name: str
    host: str
    path_prefix: str
    repeat: Repeat
    streams: bool
    resumable: bool
    timeout_ms: int
    objective_ms: int
    gap_objective_ms: int
    priority: int
    max_targets: int
    shares: tuple[WeightedService, ...]
    public: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request may be sent again after it may have run."""
        if self.streams:
            return self.resumable
        return self.repeat is Repeat.IDEMPOTENT


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceSpec:
    """The configuration of one service.

    Attributes:
        name: Its name.
        max_connections: Maximum connections to one target from all callers.
        adapter_limit: Maximum adapters loaded at one target, 0 if the service
            has no adapters.
        base_models: Base models of its engines.
        health_path: Path that shows the health of its targets, empty if none.
    """

    name: str
    max_connections: int
    adapter_limit: int = 0
    base_models: tuple[str, ...] = ()
    health_path: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits on requests and on idle connections of callers."""

    max_header_bytes: int
    max_body_bytes: int
    idle_timeout_ms: int
    header_timeout_ms: int = DEFAULT_HEADER_TIMEOUT_MS


@dataclasses.dataclass(frozen=True, slots=True)
class RouteTable:
    """One accepted version of the routes.

    Attributes:
        version: Version number, 0 before the first table is received.
        routes: All routes by host, the longest prefix first.
        services: Services by name.
        limits: Limits for callers.
        accounts: Client accounts, None if requests need no API key.
    """

    version: int
    routes: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, ServiceSpec]
    limits: Limits
    accounts: client_account.Directory | None = None

    def find(self, host: str, path: str) -> Route | None:
        """Finds the route of a request.

        Args:
            host: Host header, with or without a port.
            path: Path without the query.

        Returns:
            The route with the longest matching prefix, or None.
        """
        name = host.partition(":")[0].lower()
        for route in self.routes.get(name, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def report(table: RouteTable) -> dict[str, Any]:
    """Returns a table as plain data, without the digests of API keys."""
    plain = dataclasses.asdict(dataclasses.replace(table, accounts=None))
    if table.accounts is not None:
        plain["accounts"] = {
            name: dataclasses.asdict(account)
            for name, account in table.accounts.accounts.items()
        }
    return plain


EMPTY = RouteTable(0, {}, {}, Limits(16_384, 4 * 1024 * 1024, 15_000))


def make_table(
    version: int,
    routes: list[Route],
    services: list[ServiceSpec],
    limits: Limits,
    accounts: client_account.Directory | None = None,
) -> RouteTable:
    """Creates a route table with its routes sorted for matching.

    Args:
        version: Version number.
        routes: The routes in any order.
        services: The services.
        limits: Limits for callers.
        accounts: Client accounts, None if requests need no API key.

    Returns:
        The table.
    """
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    ordered = {
        host: tuple(sorted(host_routes, key=lambda one: -len(one.path_prefix)))
        for host, host_routes in by_host.items()
    }
    return RouteTable(
        version,
        ordered,
        {one.name: one for one in services},
        limits,
        accounts,
    )


class TableHolder:
    """Holds the newest table and never replaces it with an older one."""

    def __init__(self) -> None:
        """Starts without a table."""
        self.table = EMPTY

    def offer(self, table: RouteTable) -> bool:
        """Replaces the table held if the given one is newer.

        A table from the store, from an outdated replica of it or from a peer
        can be older than the one held. Applying it would serve routes that
        the operator removed.

        Args:
            table: The table.

        Returns:
            Whether it was newer.
        """
        if table.version <= self.table.version:
            return False
        invariant.require(
            table.version > self.table.version,
            result.VERSION_FELL,
            f"{self.table.version} to {table.version}",
        )
        self.table = table
        return True
