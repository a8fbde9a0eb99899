"""Runs the programs as processes, and kills only those that it started."""

import asyncio
import pathlib
import signal
import sys

import psutil
import yaml

BYTES_PER_MIB = 1024 * 1024


class Program:
    """One radishd process, which can be restarted with the same settings."""

    def __init__(
        self, name: str, settings: dict[str, object], folder: pathlib.Path
    ) -> None:
        """Writes the settings file without starting the process."""
        self.name = name
        self.memory_mib = 0.0
        self._settings = folder / f"{name}.yaml"
        self._log = folder / f"{name}.log"
        self._settings.write_text(yaml.safe_dump(settings), encoding="utf-8")
        self._process: asyncio.subprocess.Process | None = None
        self._is_starting = False

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not exited."""
        return self._process is not None and self._process.returncode is None

    async def start(self) -> None:
        """Starts the process unless it runs; its output goes to a log file."""
        # Faults overlap, and a second start would leave a process that is never
        # killed.
        if self.is_running or self._is_starting:
            return
        self._is_starting = True
        try:
            await self._spawn()
        finally:
            self._is_starting = False

    async def _spawn(self) -> None:
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "radishd",
                "run",
                "--settings",
                str(self._settings),
                stdout=log,
                stderr=log,
                stdin=asyncio.subprocess.DEVNULL,
            )

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal if the process runs."""
        if self.is_running:
            self._process.send_signal(number)

    async def wait(self) -> None:
        """Waits until the process exits."""
        if self._process is not None:
            await self._process.wait()

    async def kill(self) -> None:
        """Kills the process, even if it is paused, and waits for it."""
        self.signal(signal.SIGKILL)
        await self.wait()

    def measure(self) -> None:
        """Updates the peak of the measured memory."""
        if not self.is_running:
            return
        try:
            used = psutil.Process(self._process.pid).memory_info().rss
        except psutil.Error:
            # The process exited after the check above.
            return
        self.memory_mib = max(self.memory_mib, used / BYTES_PER_MIB)
