"""Renders results as tables or JSON."""

from collections.abc import Iterable
from collections.abc import Sequence
import enum
import json

import click

COLUMN_GAP = "  "


class Format(enum.StrEnum):
    """Output format of results."""

    TABLE = "table"
    JSON = "json"


def table(headings: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Renders rows in aligned columns.

    Args:
        headings: Column names.
        rows: The cells of each row.

    Returns:
        The table as text.
    """
    cells = [list(headings), *([str(cell) for cell in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    lines = (
        COLUMN_GAP.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    )
    return "\n".join(lines)


def show(
    output: Format,
    value: object,
    headings: Sequence[str],
    rows: Iterable[Sequence[object]],
) -> None:
    """Prints a result in the chosen format."""
    if output is Format.JSON:
        click.echo(json.dumps(value, indent=2, sort_keys=True))
    else:
        click.echo(table(headings, rows))
