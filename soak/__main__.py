"""``python -m soak run`` and ``python -m soak replay``."""

import asyncio
import concurrent.futures
import pathlib
import sys
import tempfile

import click

from bench import report
from soak import history as history_lib
from soak import judge
from soak import schedule
from soak import world

MS_PER_S = 1_000
MAX_VIOLATIONS_SHOWN = 5


def run_seed(
    seed: int,
    seconds: float,
    size: schedule.Size,
    keep: pathlib.Path,
    kinds: tuple[schedule.Kind, ...],
) -> history_lib.History:
    """Runs one seed, and stores its history and logs."""
    folder = keep / f"seed-{seed}"
    folder.mkdir(parents=True, exist_ok=True)
    length_ms = round(seconds * MS_PER_S)
    history = asyncio.run(world.run(seed, length_ms, size, folder, kinds))
    history.save(folder / "history.json")
    return history


@click.group()
def main() -> None:
    """Runs the real programs under faults, and judges what was seen."""


@main.command()
@click.option("--seeds", default=5, show_default=True, help="How many.")
@click.option("--first-seed", default=1, show_default=True)
@click.option(
    "--seconds", default=20.0, show_default=True, help="Of faults, per seed."
)
@click.option("--jobs", default=2, show_default=True, help="Seeds at once.")
@click.option("--gateways", default=3, show_default=True)
@click.option("--engines", default=4, show_default=True)
@click.option("--plain", default=2, show_default=True)
@click.option(
    "--kind",
    "kinds",
    multiple=True,
    type=click.Choice([str(kind) for kind in schedule.Kind]),
    help="Only faults of this kind; may be given several times.",
)
@click.option(
    "--keep",
    type=click.Path(path_type=pathlib.Path, file_okay=False),
    help="Folder for histories and logs; by default one in /tmp.",
)
def run(
    seeds: int,
    first_seed: int,
    seconds: float,
    jobs: int,
    gateways: int,
    engines: int,
    plain: int,
    kinds: tuple[str, ...],
    keep: pathlib.Path | None,
) -> None:
    """Plays seeds, and exits with 1 if a promise was broken."""
    keep = keep or pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
    size = schedule.Size(gateways, engines, plain)
    chosen = tuple(schedule.Kind(kind) for kind in kinds or schedule.Kind)
    numbers = range(first_seed, first_seed + seeds)
    rows, broken = [], 0
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        runs = {
            seed: pool.submit(run_seed, seed, seconds, size, keep, chosen)
            for seed in numbers
        }
        with click.progressbar(runs.items(), label="seeds") as shown:
            for seed, one in shown:
                history = one.result()
                violations = judge.judge(history)
                broken += bool(violations)
                counts = world.outcome_counts(history)
                rows.append([seed, *counts.values(), len(violations)])
                for violation in violations[:MAX_VIOLATIONS_SHOWN]:
                    click.echo(f"\nseed {seed}: {violation}")
    headings = ["seed", "asked", "served", "left", "events", "broken"]
    click.echo(report.table(headings, rows))
    click.echo(f"{seeds} seeds, {broken} with a broken promise; kept in {keep}")
    sys.exit(1 if broken else 0)


@main.command()
@click.argument("path", type=click.Path(path_type=pathlib.Path, exists=True))
def replay(path: pathlib.Path) -> None:
    """Judges a kept history again."""
    violations = judge.judge(history_lib.load(path))
    for violation in violations:
        click.echo(str(violation))
    click.echo(f"{len(violations)} broken promises")
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    main()
