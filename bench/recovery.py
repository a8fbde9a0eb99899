"""Measures how long stalls and rejections take to recover from a fault.

``python -m bench.recovery`` runs the shipped decisions on the rental-house
workload in virtual time, with one fault per run, and plots the results. It also
sweeps the weight of load stalls and plots stalls against batch efficiency.
"""

from collections.abc import Callable
import dataclasses
from typing import Any

import click
import matplotlib as mpl

mpl.use("Agg")
from matplotlib import pyplot as plt
from radishstack import target_event as event_lib
from radishstack.process import routing

from bench import decisions
from bench import model
from bench import report

FAULT_AT_MS = 150_000.0
BACK_AT_MS = 210_000.0
BIN_MS = 5_000.0
DURATION_MS = 300_000.0
NORMAL_FACTOR = 1.5

BASE = dataclasses.replace(
    decisions.RENTAL_HOUSE,
    duration_ms=DURATION_MS,
    streams=(
        dataclasses.replace(
            decisions.RENTAL_HOUSE.streams[0], rate_per_s=8.0, shift_ms=0.0
        ),
        decisions.RENTAL_HOUSE.streams[1],
    ),
)
# The load of a hot adapter exceeds one engine, so it must spill to others.
HOT = dataclasses.replace(
    BASE,
    streams=(
        dataclasses.replace(BASE.streams[0], rate_per_s=16.0, skew=1.4),
        BASE.streams[1],
    ),
)
SHIFTED = dataclasses.replace(
    BASE,
    streams=(
        dataclasses.replace(BASE.streams[0], shift_ms=FAULT_AT_MS),
        BASE.streams[1],
    ),
)

Prepare = Callable[[decisions.Run], None]


def _restart_engine(run: decisions.Run) -> None:
    def restart() -> None:
        run.site.targets["assistant-1"].restart_engine()

    run.clock.after(FAULT_AT_MS, restart)


def _restart_all_engines(run: decisions.Run) -> None:
    def restart() -> None:
        for target in run.site.targets.values():
            target.restart_engine()

    run.clock.after(FAULT_AT_MS, restart)


def _drain_and_replace(run: decisions.Run, names: tuple[str, ...]) -> None:
    def drain() -> None:
        for name in names:
            run.site.targets[name].feed(event_lib.DrainRequested())

    def replace() -> None:
        for name in names:
            target = run.site.targets[name]
            target.machine.leaving = False
            target.restart_engine()
            for router in run.site.routers:
                router.observations.pop(name, None)

    run.clock.after(FAULT_AT_MS, drain)
    run.clock.after(BACK_AT_MS, replace)


def _drain_one(run: decisions.Run) -> None:
    _drain_and_replace(run, ("assistant-1",))


def _drain_domain(run: decisions.Run) -> None:
    _drain_and_replace(run, ("assistant-1", "assistant-2", "counter-1"))


SCENARIOS: dict[str, tuple[decisions.Workload, Prepare | None]] = {
    "nothing": (BASE, None),
    "one engine restarts cold": (BASE, _restart_engine),
    "all engines restart cold": (BASE, _restart_all_engines),
    "one of nine targets leaves for 60 s": (BASE, _drain_one),
    "a failure domain leaves for 60 s": (BASE, _drain_domain),
    "ten cold adapters become the busiest": (SHIFTED, None),
}


def _bins(timeline: list[tuple[float, str, float]], kind: str) -> list[float]:
    values = [0.0] * int(DURATION_MS / BIN_MS)
    for at_ms, name, value in timeline:
        index = int(at_ms / BIN_MS)
        if name == kind and index < len(values):
            values[index] += value
    return values


def _recovery_time_s(values: list[float]) -> float:
    """Returns how long after the fault a figure stayed above normal."""
    fault = int(FAULT_AT_MS / BIN_MS)
    smooth = [
        sum(values[max(0, i - 2) : i + 1]) / 3 for i in range(len(values))
    ]
    before = smooth[fault // 2 : fault]
    limit = NORMAL_FACTOR * max(before)
    out = [i for i in range(fault, len(smooth)) if smooth[i] > limit]
    if not out:
        return 0.0
    return (out[-1] + 1 - fault) * BIN_MS / decisions.MS_PER_S


def run_scenario(name: str, seed: int) -> dict[str, Any]:
    """Runs one fault scenario and returns its figures and time series."""
    workload, prepare = SCENARIOS[name]
    arrivals = model.make_arrivals(
        workload.streams, duration_ms=workload.duration_ms, seed=seed
    )
    run = decisions.Run(workload, "radishstack", seed)
    figures = run.execute(arrivals, prepare=prepare)
    stalls = _bins(run.timeline, "stall")
    lost = _bins(run.timeline, "lost")
    return {
        "fault": name,
        "stall_s": [value / decisions.MS_PER_S for value in stalls],
        "lost": lost,
        "stalls_normal_after_s": _recovery_time_s(stalls),
        "lost_total": sum(lost[int(FAULT_AT_MS / BIN_MS) :]),
        "tries_per_request": run.site.attempt_count / len(arrivals),
        "loads_per_1000": figures["loads_per_1000"],
        "table_stall": figures["counter"]["stall_s_per_1000"],
    }


def draw_recovery(rows: list[dict[str, Any]]) -> None:
    """Plots stall seconds over time, one curve per fault."""
    figure, axes = plt.subplots(figsize=(9, 5))
    for row in rows:
        times_s = [i * BIN_MS / 1000 for i in range(len(row["stall_s"]))]
        axes.plot(times_s, row["stall_s"], label=row["fault"])
    axes.axvline(FAULT_AT_MS / 1000, color="gray", linestyle=":")
    axes.set_xlabel("time, s")
    axes.set_ylabel(f"load-stall seconds per {BIN_MS / 1000:.0f} s")
    axes.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(report.RESULTS / "recovery.png", dpi=110)


def run_frontier(seed: int) -> list[dict[str, Any]]:
    """Sweeps the weight of load stalls, on the same arrivals."""
    rows = []
    for weight in (0.0, 0.25, 0.5, 0.75, 1.0):
        streams = tuple(
            dataclasses.replace(stream, stall_weight=weight)
            for stream in HOT.streams
        )
        workload = dataclasses.replace(HOT, streams=streams)
        arrivals = model.make_arrivals(
            streams, duration_ms=workload.duration_ms, seed=seed
        )
        settings = routing.RoutingSettings()
        figures = decisions.Run(workload, "radishstack", seed).execute(
            arrivals, routing_settings=settings
        )
        rows.append(
            {
                "stall_weight": weight,
                "stall_s_per_1000": figures["assistant"]["stall_s_per_1000"],
                "batch_efficiency": figures["batch_efficiency"],
                "mean_batch": figures["mean_batch"],
                "first_p95_ms": figures["assistant"]["first_p95_ms"],
            }
        )
    return rows


def draw_frontier(rows: list[dict[str, Any]]) -> None:
    """Plots stalls against batch efficiency."""
    figure, axes = plt.subplots(figsize=(6, 4))
    xs = [row["batch_efficiency"] for row in rows]
    ys = [row["stall_s_per_1000"] for row in rows]
    axes.plot(xs, ys, "o-")
    for row, x, y in zip(rows, xs, ys, strict=True):
        axes.annotate(f"{row['stall_weight']}", (x, y))
    axes.set_xlabel("batch efficiency while busy")
    axes.set_ylabel("load-stall seconds per 1,000 requests")
    figure.tight_layout()
    figure.savefig(report.RESULTS / "frontier.png", dpi=110)


@click.command()
@click.option("--seed", default=1, show_default=True)
def main(seed: int) -> None:
    """Runs every fault and the frontier."""
    rows = [run_scenario(name, seed) for name in SCENARIOS]
    shown = (
        "fault",
        "stalls_normal_after_s",
        "lost_total",
        "tries_per_request",
        "loads_per_1000",
        "table_stall",
    )
    print(report.table(shown, [[row[key] for key in shown] for row in rows]))
    draw_recovery(rows)
    frontier = run_frontier(seed)
    keys = tuple(frontier[0])
    print()
    print(report.table(keys, [[row[key] for key in keys] for row in frontier]))
    draw_frontier(frontier)
    results = {"recovery": rows, "frontier": frontier}
    print(f"\nkept in {report.save('recovery', results).name}")


if __name__ == "__main__":
    main()
