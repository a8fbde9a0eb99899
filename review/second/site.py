"""A small deployment on loopback: store, daemons, sidecars and runners."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import json
import os
import pathlib
import random
import re
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from typing import Any

from second import store as store_lib
from second import wire

ROOT = pathlib.Path(__file__).resolve().parents[3]
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
FRONT, READY, CONTROL, STORE, APP, FLEET = 8149, 8141, 8144, 8142, 8145, 7380
SETTINGS = "/etc/radishstack/settings.toml"
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "stableWindowMs": 3000,
    "ackMs": 4000,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetExtra": 58,
}
MODEL = "daka51"
ENGINES = "huvo11a"
PLAIN = "puxa40b"
HOST = "ficu95.example"


def trouble() -> bool:
    """Whether the disruption is made; not with TROUBLE=0."""
    return os.environ.get("TROUBLE", "1") != "0"


def _lookup(fields: Any, path: str) -> Any:
    for part in path.split("."):
        if isinstance(fields, list):
            fields = fields[int(part)]
        else:
            fields = fields.get(part) if isinstance(fields, dict) else None
    return fields


def render(template: str, fields: dict[str, Any]) -> str:
    """Fills in a template of the deploy file, as DEPLOY.md has it."""

    def section(match: re.Match[str]) -> str:
        return match[2] if _lookup(fields, match[1]) else ""

    def value(match: re.Match[str]) -> str:
        found = _lookup(fields, match[1])
        if match[2]:
            return json.dumps(found)
        return "" if found is None else str(found)

    text = re.sub(
        r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S
    )
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, text)


def route(
    name: str, kind: str, service: str, timeout_ms: int, **fields: Any
) -> dict[str, Any]:
    """Returns a route of the manifest."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "type": kind,
        "service": service,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": 1_000,
        "priority": 0,
        "maxAttempts": 1,
        **fields,
    }


def manifest(version: int, routes: list[dict[str, Any]]) -> dict[str, Any]:
    """Returns a manifest."""
    model = {
        "name": MODEL,
        "weightsMb": 72_700,
        "loadS": 2.1,
        "adapters": 3_000,
        "adapterMb": 66,
    }
    engine = {"models": [model], "weightsMb": 75_200, "adapterSlots": 16}
    services = [
        {"name": ENGINES, "maxConnections": 370, "engine": engine},
        {"name": PLAIN, "maxConnections": 110, "healthPath": "/healthz"},
        {"name": PLAIN + "2", "maxConnections": 110, "healthPath": "/healthz"},
    ]
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
    }


class Process:
    """A process that this script started."""

    def __init__(self, name: str, command: list[str], folder: str) -> None:
        """Starts the process, with its output in a file."""
        self.name = name
        self.command = command
        self._log = pathlib.Path(folder) / f"{name}.log"
        self.start()

    def start(self) -> None:
        """Starts it, or starts it again."""
        path = f"{ROOT}/target/deps:{ROOT}/target/review-2"
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                self.command,
                cwd=ROOT,
                env={**os.environ, "PYTHONPATH": path},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def log_text(self) -> str:
        """Returns what it has written."""
        return self._log.read_text(encoding="utf-8", errors="replace")

    @property
    def pid(self) -> int:
        """Its process id."""
        return self._process.pid

    @property
    def exit_code(self) -> int | None:
        """Its exit code, None while it runs."""
        return self._process.poll()

    def signal(self, number: signal.Signals) -> None:
        """Sends it a signal if it runs."""
        if self.exit_code is None:
            self._process.send_signal(number)

    @property
    def memory_mb(self) -> float:
        """Its memory, 0 once it has ended."""
        try:
            path = pathlib.Path(f"/proc/{self.pid}/status")
            status = path.read_text(encoding="utf-8")
        except OSError:
            return 0.0
        found = re.search(r"^VmRSS:\s+(\d+) kB", status, re.M)
        return int(found[1]) / 1024 if found else 0.0

    def end(self) -> None:
        """Ends it for good."""
        self.signal(signal.SIGKILL)
        self._process.wait()


class Site:
    """A deployment and its record."""

    def __init__(self, record_path: pathlib.Path) -> None:
        """Starts without processes.

        Args:
            record_path: Where the record is written.
        """
        self.record_path = record_path
        self.record_path.write_text("", encoding="utf-8")
        self.store = store_lib.Store()
        self.processes: list[Process] = []
        self.temporary = tempfile.TemporaryDirectory()
        self._subnet = self._free_subnet()
        self._next = 10
        deploy = ROOT / "deploy/system.toml"
        self._roles = tomllib.loads(deploy.read_text(encoding="utf-8"))["roles"]

    def _free_subnet(self) -> str:
        for _ in range(200):
            subnet = f"127.{random.randint(64, 220)}.{random.randint(1, 250)}"
            try:
                with socket.socket() as probe:
                    probe.bind((f"{subnet}.1", STORE))
            except OSError:
                continue
            return subnet
        raise OSError("no free loopback addresses")

    def host(self) -> str:
        """Returns the address of a new machine."""
        self._next += 1
        return f"{self._subnet}.{self._next}"

    @property
    def store_address(self) -> str:
        """Where the store listens."""
        return f"{self._subnet}.1:{STORE}"

    def note(self, what: str, **fields: Any) -> None:
        """Writes a line of the record."""
        entry = {"at": round(time.time(), 3), "who": "script", "what": what}
        with self.record_path.open("a", encoding="utf-8") as record:
            record.write(json.dumps({**entry, **fields}) + "\n")

    def records(self) -> list[dict[str, Any]]:
        """Returns what was recorded so far, by this script and the runners."""
        lines = self.record_path.read_text(encoding="utf-8").splitlines()
        return [json.loads(line) for line in lines]

    async def start_store(self) -> None:
        """Starts the store."""
        await self.store.start(f"{self._subnet}.1", STORE)

    def _start_role(
        self, role: str, name: str, fields: dict[str, Any]
    ) -> Process:
        """Starts a role with its command and template of the deploy file."""
        deployed = self._roles[role]
        template = (ROOT / deployed["template"]).read_text(encoding="utf-8")
        path = pathlib.Path(self.temporary.name) / f"{name}.yaml"
        path.write_text(render(template, fields), encoding="utf-8")
        command = shlex.split(deployed["run"])
        command = [str(path) if word == SETTINGS else word for word in command]
        command[0] = sys.executable
        return self._start(name, command)

    def _start(self, name: str, command: list[str]) -> Process:
        process = Process(name, command, self.temporary.name)
        self.processes.append(process)
        return process

    def _fields(
        self, name: str, host: str, store: str, seeds: list[str]
    ) -> dict[str, Any]:
        return {
            "nodeName": name,
            "ip": host,
            "zone": "alpha",
            "region": "north",
            "portRange": [FLEET, FLEET + 15],
            "seedNodes": seeds,
            "heartbeatMs": 1200,
            "platform": {"address": store},
            "bounds": BOUNDS,
        }

    def start_gateway(
        self, host: str, seeds: list[str], store: str = ""
    ) -> Process:
        """Starts a daemon of the role that takes clients."""
        name = f"edge-{host.rpartition('.')[2]}"
        fields = self._fields(name, host, store or self.store_address, seeds)
        fields["listen"] = {
            "frontend": f"{host}:{FRONT}",
            "readiness": f"{host}:{READY}",
            "controlPlane": f"{host}:{CONTROL}",
        }
        return self._start_role("gateway", name, fields)

    def start_sidecar(self, host: str) -> Process:
        """Starts the daemon beside a runner."""
        name = f"side-{host.rpartition('.')[2]}"
        fields = self._fields(name, host, self.store_address, [])
        fields["app"] = f"{host}:{APP}"
        return self._start_role("sidecar", name, fields)

    def start_runner(self, host: str, service: str, *options: str) -> Process:
        """Starts a runner, which registers itself."""
        command = [
            sys.executable,
            "-m",
            "second.runner",
            "--address",
            f"{host}:{APP}",
            "--store",
            self.store_address,
            "--record",
            str(self.record_path),
            "--service",
            service,
            *options,
        ]
        number = len(self.processes)
        return self._start(f"runner-{number}", command)

    async def until(
        self, holds: Callable[[], Awaitable[bool]], limit_s: float = 20.0
    ) -> None:
        """Waits until something holds.

        Raises:
            TimeoutError: If it does not in time.
        """
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            try:
                if await holds():
                    return
            except (OSError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        raise TimeoutError("the deployment did not come up")

    async def until_ready(self, *hosts: str) -> None:
        """Waits until daemons answer their readiness with 200."""

        async def ready() -> bool:
            for host in hosts:
                status, _ = await wire.call(
                    f"{host}:{READY}", "GET", "/-/readyz"
                )
                if status != 200:
                    return False
            return True

        await self.until(ready)

    def end(self) -> None:
        """Ends all processes that this script started."""
        for process in self.processes:
            process.signal(signal.SIGCONT)
            process.end()
        self.temporary.cleanup()


def run(
    record_path: pathlib.Path, play: Callable[[Site], Awaitable[bool]]
) -> None:
    """Plays a case and exits with its result.

    Args:
        record_path: Where the record is written.
        play: Plays it; returns whether the rule held.
    """
    site = Site(record_path)

    async def limited() -> bool:
        async with asyncio.timeout(110):
            await site.start_store()
            try:
                return await play(site)
            finally:
                await site.store.stop()

    try:
        held = asyncio.run(limited())
    except Exception as error:
        site.note(
            "the case could not run",
            error=repr(error),
            ended=[
                (one.name, one.exit_code, one.log_text()[-600:])
                for one in site.processes
                if one.exit_code is not None
            ],
        )
        print(f"could not run: {error!r}")
        code = COULD_NOT_RUN
    else:
        code = HELD if held else BROKEN
        site.note("the rule held" if held else "the rule was broken")
        print("held" if held else "broken")
    finally:
        site.end()
    sys.exit(code)
