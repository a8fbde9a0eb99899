"""Ablation study of scheduling mechanisms: ``python -m bench.ablation``.

Disables one mechanism at a time and replays the same arrivals with and without
it, in virtual time and with paired seeds. The limits of ``bench.replay`` apply.
"""

from collections.abc import Callable
import concurrent.futures
import math
import statistics

import click
from radishstack.process import adapter_keeper
from radishstack.process import placement as placement_lib

from bench import replay
from bench import report

POLICY = "radishstack"
NEVER_MS = 1e9


class _ConstantPopularity:
    """Constant popularity, so that eviction falls back to the last use."""

    def touch(self, adapter: str, now_ms: int) -> None:
        """Ignores the use."""

    def value(self, adapter: str, now_ms: int) -> float:
        """Returns the same value for every adapter."""
        del adapter, now_ms
        return 0.0


def _disable_due_order() -> None:
    requested_load = adapter_keeper._RequestedLoad
    requested_load.is_late = lambda self, now_ms, load_ms: False
    requested_load.urgency_ms = lambda self: (
        self.since_ms - adapter_keeper.WAITER_CREDIT_MS * self.waiting
    )


def _disable_late_yield() -> None:
    adapter_keeper._RequestedLoad.is_late = lambda self, now_ms, load_ms: False


def _disable_rejection() -> None:
    placement_lib.Placement._is_full = lambda *_: False


def _disable_replication() -> None:
    placement_lib.REPLICATION_THRESHOLD_MS = NEVER_MS


def _disable_overload_bound() -> None:
    placement_lib.OVERLOADED_MS = NEVER_MS


def _disable_home_by_queue() -> None:
    placement_lib.HOME_WAIT_FETCHES = NEVER_MS


def _disable_warm_return() -> None:
    adapter_keeper.WARM_PER_SLOT = 0


def _disable_waiter_credit() -> None:
    adapter_keeper.WAITER_CREDIT_MS = 0


def _disable_gap_estimate() -> None:
    adapter_keeper.GAP_WEIGHT = 0.0


def _disable_popularity() -> None:
    adapter_keeper.popularity.Popularity = lambda half_life_ms: (
        _ConstantPopularity()
    )


def _disable_slow_first_byte() -> None:
    placement_lib.SLOW_FIRST_BYTE_WEIGHT = 0.0


# Each function patches modules, so every run has a process of its own.
MECHANISMS: dict[str, Callable[[], None]] = {
    "loads in the order in which they are due": _disable_due_order,
    "late loads yield": _disable_late_yield,
    "refusal by predicted wait": _disable_rejection,
    "copies of hot adapters": _disable_replication,
    "overloaded engines take no more": _disable_overload_bound,
    "homes passed over by their queue": _disable_home_by_queue,
    "return to where it was held": _disable_warm_return,
    "weight of waiting requests": _disable_waiter_credit,
    "learned time between loads": _disable_gap_estimate,
    "popularity in evictions": _disable_popularity,
    "silence counts against an engine": _disable_slow_first_byte,
}


def simulate(mechanism: str, load: str, seed: int) -> float:
    """Simulates a load without a mechanism; an empty name disables none."""
    if mechanism:
        MECHANISMS[mechanism]()
    return replay.simulate(load, POLICY, seed).worth


@click.command()
@click.option("--seeds", default=4, show_default=True)
@click.option("--jobs", default=3, show_default=True)
@click.option("--load", "loads", multiple=True, default=tuple(replay.LOADS))
@click.option("--name", default="ablation", help="Of the kept result.")
def main(seeds: int, jobs: int, loads: tuple[str, ...], name: str) -> None:
    """Switches each mechanism off alone."""
    with concurrent.futures.ProcessPoolExecutor(
        jobs, max_tasks_per_child=1
    ) as pool:
        runs = {
            (mechanism, load): [
                pool.submit(simulate, mechanism, load, seed)
                for seed in range(seeds)
            ]
            for mechanism in ("", *MECHANISMS)
            for load in loads
        }
    worths = {key: [one.result() for one in row] for key, row in runs.items()}
    rows = []
    results = {}
    for mechanism in MECHANISMS:
        row: list[object] = [mechanism]
        for load in loads:
            pairs = zip(worths["", load], worths[mechanism, load], strict=True)
            lost = [with_it - without for with_it, without in pairs]
            half_width = 1.96 * statistics.stdev(lost) / math.sqrt(len(lost))
            mean = statistics.mean(lost)
            row.append(f"{mean:+.3f} ±{half_width:.3f}")
            results.setdefault(mechanism, {})[load] = {
                "mean": mean,
                "half": half_width,
            }
        rows.append(row)
    click.echo(report.table(["worth of", *loads], rows))
    report.save(name, results)


if __name__ == "__main__":
    main()
