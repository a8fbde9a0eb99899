"""Compares routing decisions with baselines on the same arrivals.

``python -m bench.decisions`` runs in virtual time, prints a table for each
workload and saves JSON.
"""

import collections
from collections.abc import Callable
import dataclasses
import functools
import random
import time
from typing import Any

import click
from radishstack.process import load_budget
from radishstack.process import routing
from radishstack.version import document as document_lib
from radishstack.version import holder as holder_lib

from bench import baselines
from bench import model
from bench import report
from bench import shipped

MS_PER_S = 1000.0
WARM_UP_MS = 60_000.0
BASELINES = ("random", "least loaded", "hashing")
POLICIES = (*BASELINES, "radishstack", "oracle")


@dataclasses.dataclass(frozen=True, slots=True)
class Workload:
    """The services, engines and weight store of one site.

    Attributes:
        name: Name of the workload.
        streams: Arrivals of each service.
        loads_per_s: Transfers that the weight store starts per second.
        loads_at_once: Concurrent transfers at full speed.
        entries: Number of entry daemons.
        duration_ms: Duration in virtual time.
        engine: Model of each engine.
    """

    name: str
    streams: tuple[model.Stream, ...]
    loads_per_s: float = 4.0
    loads_at_once: int = 3
    entries: int = 3
    duration_ms: float = 400_000.0
    engine: model.EngineModel = dataclasses.field(
        default_factory=model.EngineModel
    )

    @property
    def targets(self) -> tuple[str, ...]:
        """Names of all targets."""
        names = [name for stream in self.streams for name in stream.targets]
        return tuple(dict.fromkeys(names))


def _names(prefix: str, count: int) -> tuple[str, ...]:
    return tuple(f"{prefix}-{index + 1}" for index in range(count))


RENTAL_HOUSE = Workload(
    "rental-house",
    (
        model.Stream(
            "assistant",
            _names("assistant", 6),
            adapters=3_000,
            rate_per_s=10.0,
            tokens=120,
            skew=1.2,
            shift_ms=90_000.0,
            stall_weight=0.75,
        ),
        model.Stream(
            "counter",
            _names("counter", 3),
            adapters=12,
            rate_per_s=6.0,
            tokens=30,
            timeout_ms=5_000,
            stall_weight=1.0,
            urgent=True,
            warm=True,
        ),
    ),
)
LAB = Workload(
    "lab",
    (
        model.Stream(
            "report",
            _names("report", 6),
            adapters=3_000,
            rate_per_s=6.0,
            tokens=240,
            skew=1.2,
            shift_ms=90_000.0,
            timeout_ms=60_000,
            stall_weight=1.0,
        ),
        model.Stream(
            "table",
            _names("table", 4),
            adapters=16,
            rate_per_s=8.0,
            tokens=12,
            timeout_ms=2_000,
            stall_weight=1.0,
            urgent=True,
            warm=True,
        ),
    ),
)
DOMAIN = Workload(
    "failure-domain",
    (
        model.Stream(
            "pool",
            _names("runner", 400),
            adapters=35_000,
            rate_per_s=611.0,
            tokens=80,
            skew=1.1,
            shift_ms=30_000.0,
            stall_weight=0.75,
        ),
    ),
    loads_per_s=178.0,
    loads_at_once=133,
    entries=43,
    duration_ms=24_000.0,
)
# With a flatter popularity most requests are for adapters that no policy could
# have kept resident.
FLAT = dataclasses.replace(
    RENTAL_HOUSE,
    name="rental-house-flat",
    streams=(
        dataclasses.replace(RENTAL_HOUSE.streams[0], skew=1.0, rate_per_s=5.0),
        RENTAL_HOUSE.streams[1],
    ),
)
WORKLOADS = {one.name: one for one in (RENTAL_HOUSE, LAB, FLAT, DOMAIN)}


def document_of(workload: Workload) -> document_lib.Document:
    """Returns the configuration document of a workload."""
    warm = {
        stream.service: [
            f"{stream.service}-{i}" for i in range(stream.adapters)
        ]
        for stream in workload.streams
        if stream.warm
    }
    raw = {
        "customers": [{"name": "c", "max_in_flight": 100_000}],
        "targets": [
            {
                "name": name,
                "kind": "engine",
                "address": "127.0.0.1:1",
                "failure_domain": "r/a",
                "base_model": "m",
            }
            for name in workload.targets
        ],
        "services": [
            {
                "name": stream.service,
                "customer": "c",
                "targets": list(stream.targets),
                "timeout_ms": stream.timeout_ms,
                "stall_weight": stream.stall_weight,
                "priority": "urgent" if stream.urgent else "normal",
                "warm": warm.get(stream.service, []),
                "warm_targets": 1,
            }
            for stream in workload.streams
        ],
        "adapters": [
            {
                "name": f"{stream.service}-{index}",
                "service": stream.service,
                "base_model": "m",
                "versions": [{"version": 1, "source": "s"}],
                "current": 1,
            }
            for stream in workload.streams
            for index in range(stream.adapters)
        ],
    }
    document = document_lib.parse(raw)
    if isinstance(document, tuple):
        raise ValueError(document[0])
    return document


class Run:
    """A simulation of one policy on one workload."""

    def __init__(self, workload: Workload, policy: str, seed: int) -> None:
        """Creates the clock, the engines and the weight store."""
        self.workload = workload
        self.policy = policy
        self.seed = seed
        self.clock = model.Clock()
        self.weights = model.WeightStore(
            self.clock,
            rate_per_s=workload.loads_per_s,
            at_full_speed=workload.loads_at_once,
        )
        self.engines = {
            name: model.Engine(self.clock, workload.engine)
            for name in workload.targets
        }
        self.outcomes = {
            stream.service: model.Outcome() for stream in workload.streams
        }
        self.timeouts = {
            stream.service: stream.timeout_ms for stream in workload.streams
        }
        self.timeline: list[tuple[float, str, float]] = []
        self.site: Any = None

    @property
    def measuring(self) -> bool:
        """Whether the warm-up is over."""
        return self.clock.now_ms >= min(
            WARM_UP_MS, self.workload.duration_ms / 3
        )

    def on_stall(self, service: str, stall_ms: float) -> None:
        """Records the time that a request waited for an adapter load."""
        self.timeline.append((self.clock.now_ms, "stall", stall_ms))
        if self.measuring:
            outcome = self.outcomes[service]
            outcome.stalled += 1
            outcome.stall_ms += stall_ms

    def execute(
        self,
        arrivals: list[model.Arrival],
        *,
        prepare: Callable[["Run"], None] | None = None,
        routing_settings: routing.RoutingSettings | None = None,
        held: holder_lib.HeldVersion | None = None,
    ) -> dict[str, Any]:
        """Runs the arrivals through the policy.

        Args:
            arrivals: Requests with their arrival times.
            prepare: Called before the first arrival, to schedule faults.
            routing_settings: Settings of the shipped policy.
            held: Configuration to reuse, or None to build it.

        Returns:
            The measured figures.
        """
        started_s = time.process_time()
        submit_request = self._make_policy(routing_settings, held)
        if prepare is not None:
            prepare(self)
        for arrival in arrivals:
            self.clock.after(
                arrival.at_ms, functools.partial(submit_request, arrival)
            )
        self.clock.run(self.workload.duration_ms + 60_000.0)
        return self._figures(time.process_time() - started_s)

    def _make_policy(
        self,
        routing_settings: routing.RoutingSettings | None,
        held: holder_lib.HeldVersion | None,
    ) -> Callable[[model.Arrival], None]:
        if self.policy in BASELINES:
            return self._make_baseline()
        held = held or holder_lib.HeldVersion(
            1, "w", document_of(self.workload)
        )
        self.site = shipped.Shipped(
            self.clock,
            self.weights,
            held,
            self.engines,
            entries=self.workload.entries,
            omniscient=self.policy == "oracle",
            budget=load_budget.BudgetSettings(self.workload.loads_per_s),
            on_stall=self.on_stall,
            seed=self.seed,
            routing_settings=routing_settings,
        )

        def submit_request(arrival: model.Arrival) -> None:
            measured = self._begin(arrival)
            self.site.submit_request(
                arrival,
                functools.partial(self._first, arrival, measured),
                functools.partial(self._done, arrival, measured),
            )

        return submit_request

    def _make_baseline(self) -> Callable[[model.Arrival], None]:
        targets = {
            name: baselines.LruTarget(
                self.clock, engine, self.weights, self.on_stall
            )
            for name, engine in self.engines.items()
        }
        for target in targets.values():
            target.report()
        router = {
            "random": baselines.route_random(random.Random(self.seed)),
            "least loaded": baselines.route_least_loaded(targets),
            "hashing": baselines.route_hashing(),
        }[self.policy]
        names = {one.service: one.targets for one in self.workload.streams}

        def submit_request(arrival: model.Arrival) -> None:
            measured = self._begin(arrival)
            target = targets[router(arrival, names[arrival.service])]
            target.submit(
                arrival,
                functools.partial(self._first, arrival, measured),
                functools.partial(self._done, arrival, measured, True),
            )

        return submit_request

    def _begin(self, arrival: model.Arrival) -> bool:
        if self.measuring:
            self.outcomes[arrival.service].request_count += 1
        return self.measuring

    def _first(self, arrival: model.Arrival, measured: bool) -> None:
        if measured:
            waited_ms = self.clock.now_ms - arrival.at_ms
            self.outcomes[arrival.service].first_ms.append(waited_ms)

    def _done(
        self, arrival: model.Arrival, measured: bool, answered: bool
    ) -> None:
        took_ms = self.clock.now_ms - arrival.at_ms
        late = took_ms > self.timeouts[arrival.service]
        kind = "answered" if answered and not late else "lost"
        self.timeline.append((self.clock.now_ms, kind, 1.0))
        if not measured:
            return
        outcome = self.outcomes[arrival.service]
        outcome.answered += answered
        outcome.rejected += not answered
        outcome.late += answered and late

    def _figures(self, cpu_s: float) -> dict[str, Any]:
        steps = sum(engine.steps for engine in self.engines.values())
        tokens = sum(engine.tokens for engine in self.engines.values())
        busy_ms = sum(engine.busy_ms for engine in self.engines.values())
        best = self.workload.engine
        best_per_ms = best.max_batch / best.step_time_ms(best.max_batch)
        request_count = sum(one.request_count for one in self.outcomes.values())
        figures: dict[str, Any] = {
            "policy": self.policy,
            "loads_per_1000": 1000
            * self.weights.transfers
            / max(1, request_count),
            "mean_batch": tokens / max(1, steps),
            "batch_efficiency": tokens / max(1.0, busy_ms) / best_per_ms,
            "cpu_us_per_request": cpu_s * 1e6 / max(1, request_count),
        }
        if self.site is not None:
            figures["tries_per_request"] = self.site.attempt_count / max(
                1, request_count
            )
            figures["probes_per_request"] = self.site.probes / max(
                1, request_count
            )
            figures["refusals"] = self.site.rejections
        for service, one in self.outcomes.items():
            count = max(1, one.request_count)
            figures[service] = {
                "asked": one.request_count,
                "stalled_share": one.stalled / count,
                "stall_s_per_1000": one.stall_ms / count,
                "refused_share": one.rejected / count,
                "late_share": one.late / count,
                "first_p50_ms": report.median(one.first_ms),
                "first_p95_ms": report.percentile(one.first_ms, 0.95),
                "first_p99_ms": report.percentile(one.first_ms, 0.99),
            }
        return figures


def compare(workload: Workload, seed: int) -> list[dict[str, Any]]:
    """Runs every policy on the same arrivals."""
    arrivals = model.make_arrivals(
        workload.streams, duration_ms=workload.duration_ms, seed=seed
    )
    held = holder_lib.HeldVersion(1, "w", document_of(workload))
    return [
        Run(workload, policy, seed).execute(arrivals, held=held)
        for policy in POLICIES
    ]


def print_comparison(workload: Workload, rows: list[dict[str, Any]]) -> None:
    """Prints the comparison, one table per service."""
    for stream in workload.streams:
        print(f"\n{workload.name}: {stream.service}")
        cells = []
        for row in rows:
            one = row[stream.service]
            cells.append(
                (
                    row["policy"],
                    one["stalled_share"],
                    one["stall_s_per_1000"],
                    row["loads_per_1000"],
                    row["mean_batch"],
                    row["batch_efficiency"],
                    one["first_p50_ms"],
                    one["first_p95_ms"],
                    one["first_p99_ms"],
                    one["refused_share"],
                    one["late_share"],
                )
            )
        print(
            report.table(
                (
                    "policy",
                    "stalled",
                    "stall s/1000",
                    "loads/1000",
                    "batch",
                    "efficiency",
                    "first p50",
                    "p95 ms",
                    "p99 ms",
                    "refused",
                    "late",
                ),
                cells,
            )
        )
    by_policy = {row["policy"]: row for row in rows}
    total = collections.Counter()
    for policy, row in by_policy.items():
        for stream in workload.streams:
            one = row[stream.service]
            total[policy] += one["stall_s_per_1000"] * one["asked"] / 1000
    best = min(BASELINES, key=lambda policy: total[policy])
    ours = total["radishstack"]
    print(
        f"stall seconds: radishstack {ours:.0f}, best baseline ({best}) "
        f"{total[best]:.0f}, ratio {ours / max(1e-9, total[best]):.2f}; "
        f"oracle {total['oracle']:.0f}, ratio "
        f"{ours / max(1e-9, total['oracle']):.2f}"
    )


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option(
    "--workload",
    "names",
    multiple=True,
    type=click.Choice(sorted(WORKLOADS)),
    help="Which workloads; by default all.",
)
def main(seed: int, names: tuple[str, ...]) -> None:
    """Compares the shipped decisions with baselines and an oracle."""
    for name in names or tuple(WORKLOADS):
        rows = compare(WORKLOADS[name], seed)
        print_comparison(WORKLOADS[name], rows)
        print(f"kept in {report.save(f'decisions-{name}', rows).name}")


if __name__ == "__main__":
    main()
