"""The real programs as processes; only those that were started are ended."""

import asyncio
import pathlib
import signal
import sys

import psutil
import yaml

BYTES_PER_MIB = 1024 * 1024


class Program:
    """One radishd process, started again with the same settings at will."""

    def __init__(
        self, name: str, settings: dict[str, object], folder: pathlib.Path
    ) -> None:
        """Writes its settings; nothing runs yet."""
        self.name = name
        self.memory_mib = 0.0
        self._settings = folder / f"{name}.yaml"
        self._log = folder / f"{name}.log"
        self._settings.write_text(yaml.safe_dump(settings), encoding="utf-8")
        self._process: asyncio.subprocess.Process | None = None
        self._is_starting = False

    @property
    def is_running(self) -> bool:
        """Whether the process that was started has not ended."""
        return self._process is not None and self._process.returncode is None

    async def start(self) -> None:
        """Starts it unless it runs; its log goes to a file of its own."""
        # Faults overlap: started twice, one process would never be ended.
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
        """Sends a signal, if it runs."""
        if self.is_running:
            self._process.send_signal(number)

    async def wait(self) -> None:
        """Waits for its end."""
        if self._process is not None:
            await self._process.wait()

    async def kill(self) -> None:
        """Ends it for good, also while it is paused."""
        self.signal(signal.SIGKILL)
        await self.wait()

    def measure(self) -> None:
        """Notes its memory."""
        if not self.is_running:
            return
        try:
            used = psutil.Process(self._process.pid).memory_info().rss
        except psutil.Error:
            # It ended between the look and the measurement.
            return
        self.memory_mib = max(self.memory_mib, used / BYTES_PER_MIB)
