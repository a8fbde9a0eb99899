"""Formats tables and saves results as JSON in ``bench/results``."""

from collections.abc import Sequence
import json
import pathlib
import statistics
from typing import Any

RESULTS = pathlib.Path(__file__).parent / "results"


def percentile(values: Sequence[float], share: float) -> float:
    """Returns a percentile by nearest rank, 0 if there are no values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def median(values: Sequence[float]) -> float:
    """Returns the median, 0 if there are no values."""
    return statistics.median(values) if values else 0.0


def save(name: str, value: Any) -> pathlib.Path:
    """Saves a result as JSON.

    Args:
        name: File name without extension.
        value: Result to save.

    Returns:
        Path of the file.
    """
    RESULTS.mkdir(exist_ok=True)
    path = RESULTS / f"{name}.json"
    path.write_text(json.dumps(value, indent=1, sort_keys=True) + "\n")
    return path


def table(headings: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Renders aligned columns; floats have three significant digits."""

    def text(cell: object) -> str:
        return f"{cell:.3g}" if isinstance(cell, float) else str(cell)

    cells = [list(headings), *([text(cell) for cell in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return "\n".join(
        "  ".join(c.ljust(w) for c, w in zip(row, widths, strict=True)).rstrip()
        for row in cells
    )
