"""Real processes on loopback, and crowds of clients that ignore the limits."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import functools
import json
import pathlib
import resource
import secrets
import subprocess
import sys
import tempfile

import anyio
import psutil
from radishd.connection import http_client
from radishd.process import settings as settings_lib
from standins import platform_site
from standins import web as standins_web
import yaml

from soak import hostile_clients
from tests.daemon import fixtures as daemon_fixtures
from tests.fleet import fixtures as fleet_fixtures

BYTES_PER_MIB = 1024 * 1024
# The memory that a daemon may use: 256 MB.
MAX_MEMORY_MIB = 256_000_000 / BYTES_PER_MIB
MAX_FILES = 160
CROWD = 12
# A crowd that uses up the descriptors of a process.
LARGE_CROWD = 200
# A crowd whose bodies of the longest size exceed the memory.
BODIES_CROWD = 64
# How long a crowd goes on, unless each of its connections ends sooner.
PLAY_S = 3.0
MEASURE_S = 0.01
HTTP_OK = 200

Form = hostile_clients.Form

# Limits that each port has, lowered for the tests.
HEADER_TIMEOUT_MS = 500
IDLE_TIMEOUT_MS = 1_000
CLIENT_SETTINGS = {
    "header_timeout_ms": HEADER_TIMEOUT_MS,
    "body_timeout_ms": 1_000,
    "send_timeout_ms": 1_000,
    "idle_timeout_ms": IDLE_TIMEOUT_MS,
    "send_buffer_bytes": 16_384,
}
MAX_BODY_BYTES = 4 * BYTES_PER_MIB
LIMITS = {
    "maxHeaderBytes": 16_384,
    "maxBodyBytes": MAX_BODY_BYTES,
    "headerTimeoutMs": HEADER_TIMEOUT_MS,
    "idleTimeoutMs": IDLE_TIMEOUT_MS,
}


class Program:
    """One radishd process with few descriptors, which can be restarted."""

    def __init__(self, command: list[str], log: pathlib.Path) -> None:
        """Starts the process; its output goes to a log file."""
        self._command = command
        self._log = log
        self.start()

    def start(self) -> None:
        """Starts the process again."""
        with self._log.open("ab") as log:
            self.process = psutil.Popen(
                self._command,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                preexec_fn=_limit_files,
            )

    @property
    def is_alive(self) -> bool:
        """Whether the process runs."""
        return self.process.poll() is None

    def stop(self) -> None:
        """Ends the process if it runs."""
        if self.is_alive:
            self.process.kill()
        self.process.wait()


@dataclasses.dataclass(frozen=True, slots=True)
class Port:
    """A listening port of a program.

    Attributes:
        name: Program and port.
        address: ``ip:port``.
        program: The program that listens.
        ordinary: Returns an ordinary request.
        asked_at: Address that gets the ordinary request, the port's own one if
            empty.
    """

    name: str
    address: str
    program: Program
    ordinary: Callable[[], bytes]
    asked_at: str = ""


class Watch:
    """The largest memory and number of descriptors of a process.

    It ends the process at once if it exceeds its memory, as its machine would.
    """

    def __init__(self, program: Program) -> None:
        """Starts without a measurement."""
        self._program = program
        self.memory_mib = 0.0
        self.files = 0

    async def run(self) -> None:
        """Measures until cancelled."""
        while self.measure():
            await anyio.sleep(MEASURE_S)

    def measure(self) -> bool:
        """Measures once; returns whether the process runs."""
        process = self._program.process
        try:
            used_bytes = process.memory_info().rss
            self.files = max(self.files, process.num_fds())
        except psutil.Error:
            return False
        self.memory_mib = max(self.memory_mib, used_bytes / BYTES_PER_MIB)
        if self.memory_mib > MAX_MEMORY_MIB:
            self._program.stop()
        return self._program.is_alive


async def _misbehave(address: str, form: Form) -> None:
    await hostile_clients.misbehave(settings_lib.split_address(address), form)


async def _is_answered(port: Port) -> bool:
    connection = await http_client.open_connection(
        port.asked_at or port.address, 1_000
    )
    if isinstance(connection, http_client.Lost):
        return False
    try:
        connection.send(port.ordinary())
        with anyio.move_on_after(5):
            answer = await fleet_fixtures.read_answer(connection)
            return answer.whole and answer.status == HTTP_OK
        return False
    finally:
        connection.close()


async def attack(
    port: Port, form: Form, crowd: int = CROWD, *, stays: bool = False
) -> list[str]:
    """Plays a crowd at a port; returns what was wrong.

    Args:
        port: The port.
        form: What each client sends.
        crowd: Number of clients.
        stays: Whether the crowd goes on while the ordinary request is made.
    """
    watch = Watch(port.program)
    watch.measure()
    answered = False
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watch.run)
        async with anyio.create_task_group() as clients:
            for _ in range(crowd):
                group = tasks if stays else clients
                group.start_soon(_misbehave, port.address, form)
            if stays:
                clients.start_soon(anyio.sleep, PLAY_S)
            clients.cancel_scope.deadline = anyio.current_time() + PLAY_S
        with anyio.move_on_after(fleet_fixtures.LIMIT_S):
            while port.program.is_alive and not answered:
                answered = await _is_answered(port)
        watch.measure()
        tasks.cancel_scope.cancel()
    found = []
    if not port.program.is_alive:
        found.append(f"the process ended at {watch.memory_mib:.0f} MiB")
    if watch.memory_mib > MAX_MEMORY_MIB:
        found.append(f"it used {watch.memory_mib:.0f} MiB")
    if watch.files >= MAX_FILES:
        found.append(f"it opened {watch.files} descriptors")
    if not answered:
        found.append("an ordinary request was not answered")
    return [f"{port.name}: {one}" for one in found]


def _limit_files() -> None:
    resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_FILES, MAX_FILES))


def _get(path: str) -> Callable[[], bytes]:
    return lambda: f"GET {path} HTTP/1.1\r\nHost: h\r\n\r\n".encode()


def _complete() -> bytes:
    model = daemon_fixtures.ADAPTERS[0]
    body = json.dumps({"model": model, "prompt": "x"}).encode()
    head = (
        "POST /v1/completions HTTP/1.1\r\nHost: h\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def _book() -> bytes:
    return platform_site.request("POST", "/book/1", secrets.token_hex(8))


@contextlib.contextmanager
def _programs(*settings: dict[str, object]) -> Iterator[list[Program]]:
    with tempfile.TemporaryDirectory() as folder_name:
        folder = pathlib.Path(folder_name)
        started = []
        for one in settings:
            path = folder / f"{one['name']}.yaml"
            path.write_text(yaml.safe_dump(one), encoding="utf-8")
            command = [sys.executable, "-m", "radishd", "run"]
            command += ["--settings", str(path)]
            started.append(Program(command, path.with_suffix(".log")))
        try:
            yield started
        finally:
            for program in started:
                program.stop()


@contextlib.asynccontextmanager
async def fleet_ports() -> AsyncIterator[list[Port]]:
    """Runs a gateway and a sidecar; yields their HTTP ports."""
    async with anyio.create_task_group() as tasks:
        fleet = fleet_fixtures.Fleet(tasks)
        await tasks.start(
            functools.partial(
                standins_web.serve,
                standins_web.make_app(fleet.store.handle),
                fleet.store_host,
                fleet_fixtures.STORE_PORT,
            )
        )
        configuration = fleet_fixtures.configuration(limits=LIMITS)
        fleet.store.put("config", "main", configuration)
        plain_host, engine_host = fleet.host(), fleet.host()
        await fleet.add_target("i-plain", engine=False, host=plain_host)
        await fleet.add_target("i-engine", engine=True, host=engine_host)
        host = fleet.host()
        common = {
            "clients": CLIENT_SETTINGS,
            "failure_domain": "piedmont/north",
            "platform": {
                "url": f"http://{fleet.store_host}:{fleet_fixtures.STORE_PORT}"
            },
        }
        control = f"{host}:{fleet_fixtures.FLEET_PORT}"
        admin = f"{host}:{fleet_fixtures.ADMIN_PORT}"
        gateway = {
            "listen": f"{host}:{fleet_fixtures.FRONT_PORT}",
            "readiness": f"{host}:{fleet_fixtures.READY_PORT}",
            "peers": f"{host}:{fleet_fixtures.PEERS_PORT}",
            "control": control,
            "admin": admin,
            "sidecar_port": fleet_fixtures.FLEET_PORT,
            "retry_extra": 1_000,
        }
        sidecar = {
            "engine": f"{engine_host}:{fleet_fixtures.TARGET_PORT}",
            "control": f"{engine_host}:{fleet_fixtures.FLEET_PORT}",
            "admin": f"{engine_host}:{fleet_fixtures.ADMIN_PORT}",
        }
        with _programs(
            {"role": "gateway", "name": "edge", "gateway": gateway, **common},
            {"role": "sidecar", "name": "side", "sidecar": sidecar, **common},
        ) as (edge, side):
            ports = [
                Port("gateway callers", gateway["listen"], edge, _book),
                Port(
                    "gateway readiness",
                    gateway["readiness"],
                    edge,
                    _get("/-/readyz"),
                ),
                Port("gateway peers", gateway["peers"], edge, _get("/known")),
                Port("gateway admin", admin, edge, _get("/healthz")),
                Port("sidecar admin", sidecar["admin"], side, _get("/healthz")),
            ]
            yield ports
        for target in fleet.targets.values():
            await target.stop()
        tasks.cancel_scope.cancel()


@contextlib.contextmanager
def daemon_ports(*, frames: bool = False) -> Iterator[list[Port]]:
    """Runs an entry and a target process; yields their HTTP ports.

    Args:
        frames: Whether to yield the target's port for frames in their place.
    """
    with daemon_fixtures.running_site(
        engines=1,
        plain_targets=0,
        entries=1,
        entry={"max_body_bytes": MAX_BODY_BYTES},
    ) as site:
        programs = []
        for name in ("entry-1", "engine-1"):
            site.stop(name)
            path = site.folder / f"{name}.yaml"
            settings = yaml.safe_load(path.read_text(encoding="utf-8"))
            settings["clients"] = CLIENT_SETTINGS
            path.write_text(yaml.safe_dump(settings), encoding="utf-8")
            log = site.folder / f"{name}.log"
            programs.append(Program(site.commands[name], log))
        running, behind = programs
        entry, target = site.hosts["entry-1"], site.hosts["engine-1"]
        ports = [
            Port(
                "entry callers",
                f"{entry}:{daemon_fixtures.PORT}",
                running,
                _get("/v1/models"),
            ),
            Port(
                "entry admin",
                f"{entry}:{daemon_fixtures.ADMIN_PORT}",
                running,
                _get("/healthz"),
            ),
            Port(
                "target admin",
                f"{target}:{daemon_fixtures.ADMIN_PORT}",
                behind,
                _get("/healthz"),
            ),
        ]
        if frames:
            ports = [
                Port(
                    "target frames",
                    f"{target}:{daemon_fixtures.PORT}",
                    behind,
                    _complete,
                    asked_at=f"{entry}:{daemon_fixtures.PORT}",
                )
            ]
        try:
            yield ports
        finally:
            for program in programs:
                program.stop()


async def _until_served(ports: list[Port]) -> None:
    with anyio.fail_after(fleet_fixtures.LIMIT_S):
        for port in ports:
            while not await _is_answered(port):
                await anyio.sleep(fleet_fixtures.POLL_S)


async def _attack_all(
    ports: list[Port], form: Form, crowd: int, *, stays: bool
) -> list[str]:
    found = []
    for port in ports:
        if not port.program.is_alive:
            port.program.start()
        await _until_served([port])
        found += await attack(port, form, crowd, stays=stays)
    return found


def check_each_port(
    form: Form, crowd: int = CROWD, *, stays: bool = False, only: str = ""
) -> None:
    """Plays a crowd at each HTTP port of each program in turn.

    Args:
        form: What each client sends.
        crowd: Number of clients.
        stays: Whether the crowd goes on while the ordinary request is made.
        only: Name of the only port to play at.
    """
    found: list[str] = []

    async def play(ports: list[Port]) -> None:
        chosen = [port for port in ports if only in port.name]
        found.extend(await _attack_all(chosen, form, crowd, stays=stays))

    async def play_fleet() -> None:
        async with fleet_ports() as ports:
            await play(ports)

    if not only.startswith("entry"):
        run(play_fleet)
    if not only.startswith("gateway"):
        with daemon_ports() as ports:
            run(functools.partial(play, ports))
    assert not found, "\n".join(found)


def check_frames(form: Form, crowd: int) -> None:
    """Plays a crowd at the port of a target process for other processes."""
    found: list[str] = []
    with daemon_ports(frames=True) as ports:

        async def play() -> None:
            found.extend(await _attack_all(ports, form, crowd, stays=True))

        run(play)
    assert not found, "\n".join(found)


def run(play: Callable[[], Awaitable[None]]) -> None:
    """Runs an asynchronous play; the timeout only guards against a hang."""

    async def limited() -> None:
        with anyio.fail_after(10 * fleet_fixtures.LIMIT_S):
            await play()

    anyio.run(limited)
