"""What a forwarded request needs of its gateway, and nothing else.

A request that took the gateway's class would know all that the process does,
and the two modules could only be read together.
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
from radishd.process import load_requests as load_requests_lib
from radishd.process import metrics as metrics_lib
from radishd.process import notifier as notifier_lib
from radishd.process import rate_limits
from radishd.process import usage_caps


class GatewayInterface(typing.Protocol):
    """One gateway, as a forwarded request sees it.

    Attributes:
        roster: Targets that are known.
        placement: Where adapters are and are to be loaded.
        load_requests: What is told to the processes beside engines.
        notifier: Wakes a request whose adapter has come.
        evidence: What is learned of targets from sends to them.
        pool: Connections to targets.
        metrics: Metrics of the process.
        random: Its random source.
        crash_gossip: Which requests end the targets that run them.
        usage_caps: What client accounts may still use.
        rate_limits: Rate limits that targets advertise.
        draining: Whether the process is about to end.
        waits_end_at_ms: Until when a request may wait for an adapter then.
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
    draining: bool
    waits_end_at_ms: int

    @property
    def table(self) -> route_table.RouteTable:
        """The route table in force."""

    def pick_service(self, route: route_table.Route) -> str:
        """Picks a service of a route by weight."""

    def spread(self, bounds_ms: tuple[int, int]) -> int:
        """Returns a time within bounds, so that returners do not meet."""

    def budget(self, service: str) -> shared_budget.SharedBudget:
        """Returns this gateway's part of a service's retry budget."""

    def has_other(self, service: str, member: roster_lib.Member) -> bool:
        """Whether another target could take a request of a service."""

    def release(self, address: str, connection: http_client.Connection) -> None:
        """Returns a connection to the pool after a whole response."""

    def discard(self, connection: http_client.Connection) -> None:
        """Closes a connection that was not released."""
