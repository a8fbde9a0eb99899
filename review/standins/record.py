"""The record of a run: what was sent, answered and run."""

import pathlib
import time
from typing import Any


class Record:
    """Lines of a record, with the seconds since its start."""

    def __init__(self, path: pathlib.Path) -> None:
        """Opens the file anew."""
        self._file = path.open("w", encoding="utf-8")
        self._began_s = time.monotonic()

    def now_s(self) -> float:
        """Returns the seconds since the start."""
        return time.monotonic() - self._began_s

    def write(self, what: str, **fields: Any) -> None:
        """Writes a line."""
        values = " ".join(f"{name}={one}" for name, one in fields.items())
        self._file.write(f"{self.now_s():9.3f} {what} {values}\n")
        self._file.flush()

    def close(self) -> None:
        """Closes the file."""
        self._file.close()
