"""Breaks down the lost score of a day: ``python -m bench.day REPORT [LOG]``.

Reads the report that the users' benchmark writes for one simulated day, and the
output of our processes, whose lines begin with the second of the day. Prints
two-second windows, the score lost per cause, the outcomes of failed requests,
and the reasons for which our gateways rejected requests, by second.
"""

import collections
from collections.abc import Iterator
import json
import pathlib
from typing import Any

import click

from bench import report as report_lib

# Omits causes that cost less than this fraction of the day's score.
MIN_PRICE = 0.002
# Truncates reasons, so that those that differ only in a number or an adapter
# are counted together.
REASON_LENGTH = 24
MAX_REASONS = 30


def read_log(path: pathlib.Path) -> Iterator[tuple[float, dict[str, Any]]]:
    """Yields the second and the fields of each structured log line."""
    with path.open(encoding="utf-8") as file:
        for line in file:
            second, _, rest = line.strip().partition(" ")
            start = rest.find("{")
            if start < 0:
                continue
            try:
                yield float(second), json.loads(rest[start:])
            except ValueError:
                # The output of the users' benchmark is interleaved with ours.
                continue


def count_failures(
    path: pathlib.Path,
) -> collections.Counter[tuple[int, int, str]]:
    """Counts requests that our processes answered with a failure.

    Args:
        path: Output of the processes.

    Returns:
        Counts by second, result code and truncated reason.
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
