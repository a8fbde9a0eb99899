"""Compares policies that share a usage cap: ``python -m bench.usage_caps``.

All policies get the same arrivals over the same links, in virtual time.
Figures: the use in the worst window relative to the limit of the cap, the share
of requests below the cap that was rejected, and the bytes per second that a
gateway sends. Limits: one account, a fixed number of gateways, no CPU time.
"""

import collections
from collections.abc import Callable
import dataclasses
import itertools
import json
import pathlib
import random
from typing import Protocol

import click
from radishstack.process import sliding_sum
from radishstack.process import usage_books
from radishstack.process import usage_cap

from proofs import usage

RESULT = pathlib.Path(__file__).parent / "results" / "usage-caps.json"
RULES = usage_books.Rules(8_000, 0.1, 110_000.0)
CAP = usage_cap.UsageCap(120_000.0, 120_000.0, usage_cap.CostUnit.TOKEN)
# One request in fifty costs fourteen times as much as the others.
COSTS = (650.0, 9_190.0)
LARGE_FRACTION = 0.02
MEAN_COST = (1 - LARGE_FRACTION) * COSTS[0] + LARGE_FRACTION * COSTS[1]
REPORT_INTERVAL_MS = 250
# A usage report holds the account, a number and the cost; the datagram header
# is added.
REPORT_BYTES = 60
HEADER_BYTES = 28
MS_PER_S = 1_000
DURATION_S = 30

Done = Callable[[bool], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One request."""

    at_ms: int
    gateway: int
    cost: float


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """Arrivals and faults of one simulation.

    Attributes:
        name: Name of the scenario.
        load: Requested cost as a fraction of the rate of the cap.
        skew: Exponent of the Zipf distribution of requests over gateways.
        cut_count: Gateways that are partitioned from the others for 12 s.
        restarts_all: Whether all gateways restart at half time.
        has_partial_views: Whether a fifth of the gateways know only half of
            the others.
        one_fails: Whether one gateway fails at half time.
    """

    name: str
    load: float
    skew: float = 0.0
    cut_count: int = 0
    restarts_all: bool = False
    has_partial_views: bool = False
    one_fails: bool = False


SCENARIOS = (
    Scenario("usual use, even", 0.55),
    Scenario("usual use, uneven", 0.55, skew=1.0),
    Scenario("near the cap, uneven", 0.9, skew=1.0),
    Scenario("rush, even", 3.3),
    Scenario("rush, uneven", 3.3, skew=1.0),
    Scenario("usual use, 6 cut off", 0.55, skew=0.5, cut_count=6),
    Scenario("rush, 6 cut off", 3.3, skew=0.5, cut_count=6),
    Scenario("rush, views differ", 3.3, skew=0.5, has_partial_views=True),
    Scenario("usual use, all restart", 0.55, skew=0.5, restarts_all=True),
    Scenario("rush, all restart", 3.3, skew=0.5, restarts_all=True),
    Scenario("usual use, a gateway dies", 0.55, skew=0.5, one_fails=True),
)


class Policy(Protocol):
    """Shares a cap among all gateways of a world."""

    def request(self, name: str, cost: float, done: Done) -> None:
        """Admits or rejects a request at a gateway."""

    def restart(self, name: str) -> None:
        """Clears the state of a gateway."""

    @property
    def message_bytes(self) -> int:
        """Total size of all messages."""


class Borrowing:
    """The shipped policy: equal shares, and loans between gateways."""

    def __init__(self, world: usage.World) -> None:
        """Uses the gateways of the world."""
        self._world = world
        self._messages = 0

    def request(self, name: str, cost: float, done: Done) -> None:
        """Admits or rejects a request at a gateway."""
        self._world.gateways[name].request(cost, done)

    def restart(self, name: str) -> None:
        """Clears the state of a gateway."""
        self._world.gateways[name].start(self._world.now_ms)

    @property
    def message_bytes(self) -> int:
        """Total size of all messages, including datagram headers."""
        return self._world.message_bytes


class EqualShares:
    """Each gateway admits an equal share of the limit."""

    def __init__(self, world: usage.World) -> None:
        """Starts without any use."""
        self._world = world
        self._sums: dict[str, sliding_sum.SlidingSum] = collections.defaultdict(
            lambda: sliding_sum.SlidingSum(RULES.window_ms)
        )

    def request(self, name: str, cost: float, done: Done) -> None:
        """Admits or rejects a request at a gateway."""
        part = CAP.limit(RULES.window_ms) / self._world.count
        now_ms = self._world.now_ms
        admitted = self._sums[name].total(now_ms) + cost <= part
        if admitted:
            self._sums[name].add(cost, now_ms)
            self._world.record(cost)
        done(admitted)

    def restart(self, name: str) -> None:
        """Clears the state of a gateway."""
        self._sums.pop(name, None)

    message_bytes = 0


class UsageReporting:
    """Base of the policies in which gateways report their use to peers."""

    def __init__(self, world: usage.World) -> None:
        """Starts without use and schedules the staggered reports."""
        self.world = world
        self.sums: dict[str, sliding_sum.SlidingSum] = collections.defaultdict(
            lambda: sliding_sum.SlidingSum(RULES.window_ms)
        )
        self.reported: dict[str, dict[str, tuple[int, float]]] = (
            collections.defaultdict(dict)
        )
        self.message_bytes = 0
        for number, name in enumerate(world.gateways):
            world.after(
                number * REPORT_INTERVAL_MS / world.count,
                lambda name=name: self._report_usage(name),
            )

    def _report_usage(self, name: str) -> None:
        now_ms = self.world.now_ms
        use = self.sums[name].total(now_ms)
        part = CAP.limit(RULES.window_ms) / self.world.count
        if use > part / 4:
            for other in self.world.gateways[name].others:
                self.message_bytes += REPORT_BYTES + HEADER_BYTES
                if frozenset((name, other)) in self.world.cuts:
                    continue
                self.world.after(
                    self.world.random.randint(1, 6),
                    lambda other=other: self._receive_usage(other, name, use),
                )
        self.world.after(REPORT_INTERVAL_MS, lambda: self._report_usage(name))

    def _receive_usage(self, name: str, source: str, use: float) -> None:
        self.reported[name][source] = (self.world.now_ms, use)

    def allowed(self, name: str) -> float:
        """Returns the cost that a gateway may now send in a window."""
        raise NotImplementedError

    def others_use(self, name: str) -> float:
        """Returns the use that others reported within the last window."""
        oldest_ms = self.world.now_ms - RULES.window_ms
        return sum(
            use
            for at_ms, use in self.reported[name].values()
            if at_ms > oldest_ms
        )

    def request(self, name: str, cost: float, done: Done) -> None:
        """Admits or rejects a request at a gateway."""
        now_ms = self.world.now_ms
        own = self.sums[name].total(now_ms)
        admitted = own + cost <= self.allowed(name)
        if admitted:
            self.sums[name].add(cost, now_ms)
            self.world.record(cost)
        done(admitted)

    def restart(self, name: str) -> None:
        """Clears the state of a gateway."""
        self.sums.pop(name, None)
        self.reported.pop(name, None)


class ProportionalShares(UsageReporting):
    """Splits half of the limit equally and half in proportion to use."""

    def allowed(self, name: str) -> float:
        """Returns the cost that a gateway may now send in a window."""
        limit = CAP.limit(RULES.window_ms)
        part = limit / self.world.count
        own = self.sums[name].total(self.world.now_ms)
        others = self.others_use(name)
        share = own / (own + others) if own + others else 1 / self.world.count
        return part / 2 + share * limit / 2


class Optimistic(UsageReporting):
    """Each gateway admits by its estimate of the total use.

    An overshoot reduces later admissions while it stays in the window.
    """

    def allowed(self, name: str) -> float:
        """Returns the cost that a gateway may now send in a window."""
        return CAP.limit(RULES.window_ms) - self.others_use(name)


POLICIES: dict[str, Callable[[usage.World], Policy]] = {
    "equal parts": EqualShares,
    "parts by use": ProportionalShares,
    "borrowing": Borrowing,
    "apologizing": Optimistic,
}


def draw_arrivals(
    scenario: Scenario, count: int, source: random.Random
) -> list[Arrival]:
    """Draws the requests of a simulation in order of arrival."""
    weights = [1 / (number + 1) ** scenario.skew for number in range(count)]
    source.shuffle(weights)
    per_ms = scenario.load * CAP.rate_per_s / MEAN_COST / MS_PER_S
    at_ms = 0.0
    drawn = []
    while at_ms < DURATION_S * MS_PER_S:
        at_ms += source.expovariate(per_ms)
        (gateway,) = source.choices(range(count), weights)
        cost = COSTS[source.random() < LARGE_FRACTION]
        drawn.append(Arrival(round(at_ms), gateway, cost))
    return drawn


def ideal_admitted_cost(requests: list[Arrival]) -> float:
    """Returns the cost that a single central limiter would admit."""
    window = sliding_sum.SlidingSum(RULES.window_ms, 1)
    limit = CAP.limit(RULES.window_ms)
    admitted = 0.0
    for one in requests:
        if window.total(one.at_ms) + one.cost <= limit:
            window.add(one.cost, one.at_ms)
            admitted += one.cost
    return admitted


def simulate(
    policy_name: str, scenario: Scenario, count: int, seed: int
) -> dict[str, float]:
    """Simulates one scenario and returns its figures."""
    source = random.Random(seed)
    world = usage.World(RULES, CAP, count, source)
    policy = POLICIES[policy_name](world)
    names = list(world.gateways)
    requests = draw_arrivals(scenario, count, random.Random(seed))
    began_ms = world.now_ms
    admitted = [0.0]
    dead: set[str] = set()

    def arrive(one: Arrival) -> None:
        name = names[one.gateway]
        if name in dead:
            name = names[(one.gateway + 1) % count]

        def done(is_admitted: bool) -> None:
            admitted[0] += one.cost * is_admitted

        policy.request(name, one.cost, done)

    for one in requests:
        world.after(one.at_ms, lambda one=one: arrive(one))
    middle_ms = DURATION_S * MS_PER_S / 2
    if scenario.cut_count:
        side = set(names[: scenario.cut_count])
        cut = {
            frozenset(pair)
            for pair in itertools.product(side, set(names) - side)
        }
        world.after(8_000, lambda: world.cuts.update(cut))
        world.after(20_000, world.cuts.clear)
    if scenario.restarts_all:
        world.after(middle_ms, lambda: [policy.restart(n) for n in names])
    if scenario.has_partial_views:
        for name in names[::5]:
            world.gateways[name].others = set(names[: count // 2]) - {name}
    if scenario.one_fails:
        gone = names[0]

        def fail() -> None:
            dead.add(gone)
            world.cuts.update(
                frozenset((gone, name)) for name in names if name != gone
            )

        world.after(middle_ms, fail)
    world.run_until(began_ms + DURATION_S * MS_PER_S + 1_000)
    limit = CAP.limit(RULES.window_ms)
    ideal = ideal_admitted_cost(requests)
    return {
        "worst_window": world.worst_window() / limit,
        "allowed": 1 + RULES.overage + RULES.tolerance / limit,
        "refused_below": max(0.0, 1 - admitted[0] / ideal),
        "bytes_per_s": policy.message_bytes / count / DURATION_S,
    }


@click.command()
@click.option("--gateways", default=21, show_default=True)
@click.option("--seeds", default=3, show_default=True)
def main(gateways: int, seeds: int) -> None:
    """Plays every way in every scenario and prints the worst of the seeds."""
    rows = []
    for scenario in SCENARIOS:
        for policy_name in POLICIES:
            runs = [
                simulate(policy_name, scenario, gateways, seed)
                for seed in range(seeds)
            ]
            worst = {key: max(one[key] for one in runs) for key in runs[0]}
            rows.append(
                {"scenario": scenario.name, "way": policy_name, **worst}
            )
            click.echo(
                f"{scenario.name:26} {policy_name:13}"
                f" worst window {worst['worst_window']:.3f}"
                f" of {worst['allowed']:.3f} allowed,"
                f" refused below the cap {worst['refused_below']:.3f},"
                f" {worst['bytes_per_s']:6.0f} B/s a gateway"
            )
    RESULT.write_text(json.dumps(rows, indent=1) + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
