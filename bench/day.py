"""Where a played day lost its worth: ``python -m bench.day REPORT [LOG]``.

Reads files only: the report that the users' bench writes of one day, and the
output of our processes, whose lines begin with the second of the day. Prints
windows of two seconds, prices, how failed requests ended, and why our gateways
turned requests away, by second.
"""

import collections
from collections.abc import Iterator
import json
import pathlib
from typing import Any

import click

from bench import report as report_lib

# Prices below this part of the worth of a day are left out.
MIN_PRICE = 0.002
# Reasons that differ in a number or an adapter only are counted together.
REASON_LENGTH = 24
MAX_REASONS = 30


def read_log(path: pathlib.Path) -> Iterator[tuple[float, dict[str, Any]]]:
    """Yields second and fields of each decision that was logged."""
    with path.open(encoding="utf-8") as file:
        for line in file:
            second, _, rest = line.strip().partition(" ")
            start = rest.find("{")
            if start < 0:
                continue
            try:
                yield float(second), json.loads(rest[start:])
            except ValueError:
                # Not one of ours: the bench's own words stand between them.
                continue


def count_failures(
    path: pathlib.Path,
) -> collections.Counter[tuple[int, int, str]]:
    """Counts requests that ended with a failure of ours.

    Args:
        path: The output of the processes.

    Returns:
        Counts by second, result code and beginning of the reason.
    """
    counts: collections.Counter[tuple[int, int, str]] = collections.Counter()
    for second, fields in read_log(path):
        if fields.get("event") == "request" and fields.get("code"):
            reason = fields.get("reason", "")[:REASON_LENGTH]
            counts[int(second), fields["code"], reason] += 1
    return counts


@click.command()
@click.argument("report", type=click.Path(path_type=pathlib.Path, exists=True))
@click.argument("log", type=click.Path(path_type=pathlib.Path), required=False)
def main(report: pathlib.Path, log: pathlib.Path | None) -> None:
    """Prints where a played day lost its worth."""
    day = json.loads(report.read_text(encoding="utf-8"))
    click.echo(f"worth {day['G']:.3f}")
    for part, weight, value in day["parts"]:
        click.echo(f"  {part} {value:.3f}, weight {weight}")
    for name, amount, price in day["prices"]:
        if price >= MIN_PRICE:
            click.echo(f"  -{price:.3f} {name} ({amount:g})")
    rows = [
        [
            window["name"],
            window["n"],
            f"{window['worth']:.2f}",
            window["late"],
            window["refused"],
            window["failed"],
            f"{window['p50_ms']:.0f}",
        ]
        for window in day["windows"]
    ]
    headings = ["second", "asked", "worth", "late", "refused", "failed", "p50"]
    click.echo(report_lib.table(headings, rows))
    causes = [[name, count] for name, count, _ in day["unserved_by"]]
    click.echo(report_lib.table(["not served", "requests"], causes))
    if log is not None:
        found = count_failures(log).most_common(MAX_REASONS)
        reasons = [[*key, count] for key, count in sorted(found)]
        headings = ["second", "code", "reason", "requests"]
        click.echo(report_lib.table(headings, reasons))


if __name__ == "__main__":
    main()
