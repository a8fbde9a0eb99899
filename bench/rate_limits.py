"""Compares rate limit policies: ``python -m bench.rate_limits``.

All policies get the same arrivals over the same links, in virtual time.
Figures: the requests in the worst window relative to the allowed number, and
the requests that reach the target relative to the lower of limit and demand.
Limits: one target, no adapter loads, no CPU time.
"""

from collections.abc import Callable
import dataclasses
import random

import click
from radishstack.process import target_rate_limits

from bench import report
from proofs import rate_limits

Bucket = target_rate_limits.Bucket
Policy = Callable[[float, int, int, int], Bucket | None]
MS_PER_S = 1_000
SETTLE_MS = 4_000


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """Fleet size, rate limit and request rate of one simulation.

    Attributes:
        gateway_count: Number of gateways.
        limit_per_s: The limit that the target advertises.
        demand_per_s: Requests per second for the target at all gateways.
    """

    gateway_count: int
    limit_per_s: float
    demand_per_s: float


SCENARIOS = tuple(
    Scenario(gateway_count, limit_per_s, demand_fraction * limit_per_s)
    for gateway_count in (6, 21, 390)
    for limit_per_s in (0.5, 4.0, 6.4, 40.0)
    for demand_fraction in (1.0, 4.0, 20.0)
)


def _equal_parts(
    limit_per_s: float, rank: int, known_count: int, gateway_count: int
) -> Bucket:
    """Gives each gateway an equal share, with a bucket depth of at least 1."""
    del rank, known_count
    per_s = max(limit_per_s, target_rate_limits.MIN_RATE_PER_S)
    depth = target_rate_limits.BASE_DEPTH + target_rate_limits.BURST_S * per_s
    rate_per_s = target_rate_limits.SENDERS_FRACTION * per_s / gateway_count
    return Bucket(max(1.0, depth / gateway_count), rate_per_s)


def _probes_only(
    limit_per_s: float, rank: int, known_count: int, gateway_count: int
) -> None:
    """Selects no gateways, so that all requests are probes."""


POLICIES: dict[str, Policy] = {
    "few gateways": target_rate_limits.sender_bucket,
    "equal parts": _equal_parts,
    "probes only": _probes_only,
}


def simulate(
    policy: Policy, scenario: Scenario, seconds: int
) -> dict[str, float]:
    """Simulates a scenario with one policy.

    Args:
        policy: Returns the token bucket of a gateway.
        scenario: Fleet size, rate limit and request rate.
        seconds: Duration in virtual time, after the limit has settled.

    Returns:
        The figures "worst" and "used".
    """
    shipped = target_rate_limits.sender_bucket
    target_rate_limits.sender_bucket = policy
    try:
        world = rate_limits.World(scenario.gateway_count, random.Random(1))
        world.limit_per_s = scenario.limit_per_s
        world.demand(scenario.demand_per_s, SETTLE_MS)
        since_ms = world.now_ms
        world.demand(scenario.demand_per_s, seconds * MS_PER_S)
    finally:
        target_rate_limits.sender_bucket = shipped
    settled = [one for one in world.arrivals if one.at_ms >= since_ms]
    expected_per_s = min(scenario.limit_per_s, scenario.demand_per_s)
    return {
        "worst": world.worst_window(since_ms)
        / rate_limits.allowed(scenario.limit_per_s),
        "used": len(settled) / (expected_per_s * seconds),
    }


@click.command()
@click.option("--seconds", default=60, help="duration of each play")
def main(seconds: int) -> None:
    """Compares the policies in all scenarios."""
    rows = []
    results = {}
    for scenario in SCENARIOS:
        row: list[object] = list(dataclasses.astuple(scenario))
        for name, policy in POLICIES.items():
            figures = simulate(policy, scenario, seconds)
            results[f"{name}/{'/'.join(map(str, row[:3]))}"] = figures
            row += [figures["worst"], figures["used"]]
        rows.append(row)
    headings = ["gateways", "limit_per_s", "demand_per_s"]
    for name in POLICIES:
        headings += [f"{name}: worst", "used"]
    print(report.table(headings, rows))
    report.save("rate-limits", results)


if __name__ == "__main__":
    main()
