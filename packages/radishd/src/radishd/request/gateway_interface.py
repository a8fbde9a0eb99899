"""The part of the gateway that a forwarded request depends on.

With the gateway's class instead, a request would depend on the whole process,
and the two modules would import each other.
"""

import random
import typing

from radishstack.process import placement as placement_lib
from radishstack.process import roster as roster_lib
from radishstack.process import shared_budget
from radishstack.version import route_table

from radishd import target_evidence
from radishd.connection import http_client
from radishd.connection import pool as pool_lib
from radishd.process import crash_gossip as crash_gossip_lib
from radishd.process import incarnation_check
from radishd.process import load_requests as load_requests_lib
from radishd.process import metrics as metrics_lib
from radishd.process import notifier as notifier_lib
from radishd.process import rate_limits
from radishd.process import stream_origin_exchange
from radishd.process import usage_caps
from radishd.request import closing_check as closing_check_lib
from radishd.request import connection_draining as connection_draining_lib


class GatewayInterface(typing.Protocol):
    """The gateway as a forwarded request uses it.

    Attributes:
        roster: Known targets.
        placement: Where adapters are loaded and are to be loaded.
        load_requests: Load requests that are sent to the sidecars of engines.
        notifier: Wakes requests that wait for an adapter.
        evidence: Records what sends reveal about targets.
        pool: Connections to targets.
        metrics: Metrics of the process.
        random: Its random source.
        crash_gossip: Which requests crash the targets that run them.
        usage_caps: Usage caps of client accounts.
        rate_limits: Rate limits that targets advertise.
        stream_origins: Which software versions began streams.
        incarnation_check: Checks which incarnation runs at an address.
        closing_check: Decides how a response ended as its connection closed.
        draining: Whether the process is shutting down.
        connection_draining: The graceful shutdown of the process.
    """

    roster: roster_lib.Roster
    placement: placement_lib.Placement
    load_requests: load_requests_lib.LoadRequests
    notifier: notifier_lib.Notifier
    evidence: target_evidence.TargetEvidence
    pool: pool_lib.Pool
    metrics: metrics_lib.Metrics
    random: random.Random
    crash_gossip: crash_gossip_lib.CrashGossip
    usage_caps: usage_caps.UsageCaps
    rate_limits: rate_limits.RateLimits
    stream_origins: stream_origin_exchange.StreamOriginExchange
    incarnation_check: incarnation_check.IncarnationCheck
    closing_check: closing_check_lib.ClosingCheck
    draining: bool
    connection_draining: connection_draining_lib.ConnectionDraining

    @property
    def table(self) -> route_table.RouteTable:
        """The route table in force."""

    def pick_service(self, route: route_table.Route) -> str:
        """Picks a service of a route by weight."""

    def random_delay_ms(self, bounds_ms: tuple[int, int]) -> int:
        """Returns a random time within bounds, to spread out retries."""

    def budget(self, service: str) -> shared_budget.SharedBudget:
        """Returns this gateway's share of a service's retry budget."""

    def release(self, address: str, connection: http_client.Connection) -> None:
        """Returns a connection to the pool after a complete response."""

    def discard(self, connection: http_client.Connection) -> None:
        """Closes a connection that was not released."""
