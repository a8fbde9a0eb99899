"""Starts the project's own programs with the commands of the deploy file."""

import asyncio
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
from typing import Any

from standins import http

ROOT = pathlib.Path.cwd()
ADMIN_PORT = 9464
_SECTION = re.compile(r"\{\{#([\w.]+)\}\}.*?\{\{/\1\}\}\n?", re.DOTALL)
_FIELD = re.compile(r"\{\{([\w.]+)(\|json)?\}\}")

BOUNDS = {
    "retryBudgetRatio": 0.2,
    "budgetExtra": 54,
    "graceS": 8,
    "drainMs": 2_000,
    "configApplyMs": 2_000,
}
HEARTBEAT_MS = 1_200


class CannotRunError(Exception):
    """Raised if a case could not run, whatever the programs did."""


def _look_up(fields: dict[str, Any], path: str) -> Any:
    value: Any = fields
    for part in path.split("."):
        value = value[int(part)] if isinstance(value, list) else value[part]
    return value


def _fill(template: str, fields: dict[str, Any]) -> str:
    """Fills in a template; its sections are for absent bounds and dropped."""
    text = _SECTION.sub("", template)

    def replace(match: re.Match[str]) -> str:
        value = _look_up(fields, match.group(1))
        return json.dumps(value) if match.group(2) else str(value)

    return _FIELD.sub(replace, text)


def free_port(host: str) -> int:
    """Returns a port that is free for TCP and UDP."""
    for _ in range(100):
        with (
            socket.socket() as tcp,
            socket.socket(type=socket.SOCK_DGRAM) as udp,
        ):
            tcp.bind((host, 0))
            port: int = tcp.getsockname()[1]
            try:
                udp.bind((host, port))
            except OSError:
                continue
            return port
    raise CannotRunError("no free port")


class Fleet:
    """The processes of one small deployment on loopback addresses."""

    def __init__(self, gateway_count: int) -> None:
        """Chooses addresses; nothing is started.

        Args:
            gateway_count: Number of edge machines.
        """
        self._network = f"127.{random.randint(8, 250)}.{random.randint(1, 250)}"
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._settings: dict[str, pathlib.Path] = {}
        self.store_address = (self.ip(250), free_port(self.ip(250)))
        self._internal_port = free_port(self.ip(1))
        self._ports = {
            name: free_port(self.ip(1))
            for name in ("frontend", "readiness", "controlPlane")
        }
        self.gateway_names = [f"edge-{one + 1}" for one in range(gateway_count)]

    def ip(self, number: int) -> str:
        """Returns the address of a machine."""
        return f"{self._network}.{number}"

    def front(self, index: int) -> tuple[str, int]:
        """Returns the frontend address of a gateway."""
        return self.ip(index + 1), self._ports["frontend"]

    def _fields(self, name: str, ip: str) -> dict[str, Any]:
        seeds = [
            f"{self.ip(one + 1)}:{self._ports['controlPlane']}"
            for one in range(min(3, len(self.gateway_names)))
        ]
        host, port = self.store_address
        return {
            "nodeName": name,
            "ip": ip,
            "region": "loopback",
            "zone": "zone-a",
            "seedNodes": seeds,
            "portRange": [self._internal_port, self._internal_port],
            "heartbeatMs": HEARTBEAT_MS,
            "platform": {"address": f"{host}:{port}"},
            "bounds": BOUNDS,
            "listen": {
                listen: f"{ip}:{port}" for listen, port in self._ports.items()
            },
        }

    def start_gateway(self, index: int) -> None:
        """Starts the process of an edge machine."""
        name = self.gateway_names[index]
        ip = self.ip(index + 1)
        self._start(name, "gateway", self._fields(name, ip))

    def start_sidecar(self, index: int, engine_address: str) -> None:
        """Starts the process of a side machine.

        Args:
            index: Number of the machine.
            engine_address: Address of its model runner, on the same machine.
        """
        name = f"side-{index + 1}"
        ip = engine_address.partition(":")[0]
        fields = self._fields(name, ip) | {"app": engine_address}
        self._start(name, "sidecar", fields)

    def _start(self, name: str, role: str, fields: dict[str, Any]) -> None:
        template = ROOT / "deploy" / f"{role}.yaml"
        path = pathlib.Path(self._folder.name) / f"{name}.yaml"
        path.write_text(_fill(template.read_text(), fields))
        self._settings[name] = path
        self.start(name)

    def start(self, name: str) -> None:
        """Starts a process, or starts it again."""
        env = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        path = self._settings[name]
        known = self._processes.get(name)
        if known is not None:
            known.wait()
        log = path.with_suffix(".log").open("ab")
        words = ["-m", "radishd", "run", "--settings", str(path)]
        self._processes[name] = subprocess.Popen(
            [sys.executable, *words],
            cwd=ROOT,
            env=env,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )

    def log_text(self, name: str) -> str:
        """Returns what a process has written."""
        path = self._settings[name].with_suffix(".log")
        return path.read_text(encoding="utf-8", errors="replace")

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process that this fleet started."""
        self._processes[name].send_signal(number)

    def names(self) -> list[str]:
        """Returns the names of all processes."""
        return list(self._processes)

    def exit_status(self, name: str) -> int | None:
        """Returns the exit status of a process, None while it runs."""
        return self._processes[name].poll()

    async def wait_ready(self, index: int, timeout_s: float = 20.0) -> None:
        """Waits until a gateway reports that it is ready."""
        client = http.Client(self.ip(index + 1), self._ports["readiness"])
        try:
            async with asyncio.timeout(timeout_s):
                while True:
                    answer = await client.call(
                        "GET", "/-/readyz", {"Host": "x"}, b"", 1.0
                    )
                    if answer.status == 200:
                        return
                    await asyncio.sleep(0.05)
        except TimeoutError as error:
            name = self.gateway_names[index]
            raise CannotRunError(f"{name} is not ready") from error
        finally:
            client.close()

    def stop(self) -> None:
        """Ends all processes."""
        for process in self._processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        self._folder.cleanup()
