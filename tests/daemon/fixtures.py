"""A small site of separate processes, each on its own loopback address."""

from collections.abc import Iterator
import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import time
from typing import Any

import httpcore
import yaml

PORT = 7100
ADMIN_PORT = 7101
SERVICE_PORT = 7102
READY_LIMIT_S = 30.0
POLL_S = 0.02
BASE_MODEL = "piedmont-7b"
ADAPTERS = tuple(f"adapter-{index}" for index in range(12))
NETWORK_ERRORS = (
    OSError,
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)

_hosts = itertools.count(1)
_random = random.Random(os.getpid())
_SUBNET = f"127.{_random.randint(20, 250)}.{_random.randint(0, 255)}"


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """An HTTP answer; status 0 if the call failed without one."""

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool = True

    def json(self) -> Any:
        """Returns the body as JSON."""
        return json.loads(self.body)

    @property
    def code(self) -> int:
        """The number of the result code, 0 for a success."""
        if self.status < 400:
            return 0
        return self.json()["error"]["code"]

    @property
    def executed(self) -> str:
        """Whether the request was executed, as the answer states it."""
        if not self.whole:
            return "unknown"
        if self.status < 400:
            return "yes"
        return self.json()["error"]["executed"]


NO_ANSWER = Answer(0, {}, b"", whole=False)


def call(
    method: str,
    url: str,
    body: Any = None,
    *,
    headers: dict[str, str] | None = None,
    timeout_s: float = 30.0,
) -> Answer:
    """Makes one HTTP call on a new connection."""
    content = body if isinstance(body, bytes) else json.dumps(body).encode()
    timeouts = dict.fromkeys(("connect", "read", "write", "pool"), timeout_s)
    with httpcore.ConnectionPool() as pool:
        try:
            with pool.stream(
                method,
                url,
                headers={"Content-Type": "application/json", **(headers or {})},
                content=b"" if body is None else content,
                extensions={"timeout": timeouts},
            ) as response:
                fields = {
                    k.decode().lower(): v.decode() for k, v in response.headers
                }
                parts = []
                try:
                    parts.extend(response.iter_stream())
                except NETWORK_ERRORS:
                    return Answer(
                        response.status, fields, b"".join(parts), whole=False
                    )
                return Answer(response.status, fields, b"".join(parts))
        except NETWORK_ERRORS:
            return NO_ANSWER


def wait_until(condition: Any, description: str) -> None:
    """Waits for a condition; the timeout only guards against a hang."""
    deadline_s = time.monotonic() + READY_LIMIT_S
    while not condition():
        if time.monotonic() > deadline_s:
            raise TimeoutError(f"still not: {description}")
        time.sleep(POLL_S)


@dataclasses.dataclass(slots=True)
class Site:
    """The processes of one site.

    Attributes:
        folder: Folder of settings and logs.
        hosts: IP address by process name.
        processes: The running processes by name.
        commands: Command line by process name.
        entries: Names of the entry daemons.
        targets: Names of the targets.
    """

    folder: pathlib.Path
    hosts: dict[str, str]
    processes: dict[str, subprocess.Popen[bytes]]
    commands: dict[str, list[str]]
    entries: tuple[str, ...] = ()
    targets: tuple[str, ...] = ()

    def start(self, name: str) -> None:
        """Starts a process."""
        log = (self.folder / f"{name}.log").open("ab")
        self.processes[name] = subprocess.Popen(
            self.commands[name], stderr=log, stdout=log
        )
        log.close()

    def signal(self, name: str, number: int) -> None:
        """Sends a signal to a process."""
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kills a process and waits for its exit."""
        self.processes[name].kill()
        self.processes[name].wait()

    def stop(self, name: str) -> int:
        """Drains a process and returns its exit code."""
        self.signal(name, signal.SIGTERM)
        return self.processes[name].wait()

    def url(self, name: str, path: str = "", *, port: int = PORT) -> str:
        """Returns a URL of a process."""
        return f"http://{self.hosts[name]}:{port}{path}"

    def ready(self, name: str) -> bool:
        """Whether a process reports that it is ready."""
        url = self.url(name, "/readyz", port=ADMIN_PORT)
        return call("GET", url, timeout_s=2.0).status == 200

    def status(self, name: str) -> dict[str, Any]:
        """Returns the status that a process reports."""
        return call("GET", self.url(name, "/status", port=ADMIN_PORT)).json()

    def state(self, name: str) -> dict[str, Any]:
        """Returns the state that a stand-in has recorded."""
        return call("GET", self.url(name, "/standin/state")).json()

    def faults(self, name: str, **faults: Any) -> None:
        """Switches faults of a stand-in on or off."""
        call("POST", self.url(name, "/standin/faults"), faults)

    def list_vms(self, *leaving: str) -> None:
        """Sets the platform's list of VMs."""
        vms = [
            {
                "name": name,
                "control": f"{self.hosts[name]}:{PORT}",
                "failure_domain": "piedmont/a",
                "state": "leaving" if name in leaving else "live",
            }
            for name in (*self.entries, *self.targets)
        ]
        call("POST", self.url("platform", "/standin/vms"), {"vms": vms})

    def radishctl(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Runs the operators' command line."""
        command = [sys.executable, "-m", "radishctl.cli"]
        command += ["--platform", self.url("platform"), *arguments]
        return subprocess.run(
            command, capture_output=True, text=True, check=False
        )

    def complete(
        self, entry: str, model: str, prompt: str, **fields: Any
    ) -> Answer:
        """Requests a completion from an entry daemon."""
        headers = fields.pop("headers", {})
        body = {"model": model, "prompt": prompt, **fields}
        return call(
            "POST", self.url(entry, "/v1/completions"), body, headers=headers
        )

    def reserve(self, entry: str, key: str, body: Any) -> Answer:
        """Calls the non-idempotent plain service."""
        return call(
            "POST",
            self.url(entry, "/v1/services/booking/reserve"),
            body,
            headers={"Idempotency-Key": key},
        )

    def wait_in_force(self, version: int, *names: str) -> None:
        """Waits until processes have activated a configuration version."""
        for name in names or (*self.entries, *self.targets):
            wait_until(
                lambda name=name: (
                    self.status(name)["config_version"] >= version
                ),
                f"version {version} in force at {name}",
            )


def document(site: Site) -> dict[str, Any]:
    """Returns the configuration document of the site."""
    engines = [name for name in site.targets if name.startswith("engine")]
    plain_names = [name for name in site.targets if name.startswith("desk")]
    booking = {
        "name": "booking",
        "customer": "lab",
        "kind": "plain",
        "idempotent": False,
        "targets": plain_names,
    }
    return {
        "customers": [{"name": "rental-house"}, {"name": "lab", "share": 2.0}],
        "targets": [
            {
                "name": name,
                "kind": "engine" if name in engines else "plain",
                "address": f"{site.hosts[name]}:{PORT}",
                "failure_domain": "piedmont/a",
                **({"base_model": BASE_MODEL} if name in engines else {}),
            }
            for name in site.targets
        ],
        "services": [
            {
                "name": "assistant",
                "customer": "rental-house",
                "targets": engines,
                "adapter": ADAPTERS[0],
            },
            *([booking] if plain_names else []),
        ],
        "adapters": [
            {
                "name": name,
                "service": "assistant",
                "base_model": BASE_MODEL,
                "versions": [{"version": 1, "source": f"{name}/1"}],
                "current": 1,
            }
            for name in ADAPTERS
        ],
    }


def _write_settings(site: Site, name: str, overrides: dict[str, Any]) -> None:
    host = site.hosts[name]
    settings: dict[str, Any] = {
        "name": name,
        "failure_domain": "piedmont/a",
        "platform": {"url": site.url("platform"), "call_timeout_ms": 1000},
        "seeds": [f"{site.hosts[one]}:{PORT}" for one in site.targets],
    }
    if name in site.entries:
        settings["role"] = "entry"
        settings["entry"] = {
            "listen": f"{host}:{PORT}",
            "admin": f"{host}:{ADMIN_PORT}",
            "control": f"{host}:{PORT}",
            "unready_ms": 50,
            **overrides.get("entry", {}),
        }
    else:
        engine = name.startswith("engine")
        settings["role"] = "target"
        settings["target"] = {
            "kind": "engine" if engine else "plain",
            "listen": f"{host}:{PORT}",
            "admin": f"{host}:{ADMIN_PORT}",
            "url": site.url(f"{name}-behind"),
            "slot_count": 4,
            "poll_ms": 100,
            "quarantine_ms": 0,
            "site_loads_per_s": 50.0,
            **overrides.get("target", {}),
            **overrides.get(name, {}),
        }
    path = site.folder / f"{name}.yaml"
    path.write_text(yaml.safe_dump(settings), encoding="utf-8")
    site.commands[name] = [
        sys.executable,
        "-m",
        "radishd.cli",
        "run",
        "--settings",
        str(path),
    ]


def _add_standin(site: Site, name: str, module: str, *arguments: str) -> None:
    site.commands[name] = [
        sys.executable,
        "-m",
        f"standins.{module}",
        "--host",
        site.hosts[name],
        "--port",
        str(PORT),
        *arguments,
    ]


@contextlib.contextmanager
def running_site(
    *,
    engines: int = 2,
    plain_targets: int = 1,
    entries: int = 2,
    step_ms: float = 5.0,
    load_ms: float = 60.0,
    engine_options: tuple[str, ...] = (),
    **overrides: Any,
) -> Iterator[Site]:
    """Runs a site of separate processes with its configuration applied.

    Args:
        engines: Model engines, each with its target process.
        plain_targets: Plain services, each with its target process.
        entries: Entry daemons.
        step_ms: Time between the engines' tokens.
        load_ms: Time of an adapter load at the engines.
        engine_options: Further options of the engines.
        **overrides: Settings by role or process name.

    Yields:
        The site, once every process is ready.
    """
    targets = [f"engine-{i + 1}" for i in range(engines)]
    targets += [f"desk-{i + 1}" for i in range(plain_targets)]
    entry_names = tuple(f"entry-{i + 1}" for i in range(entries))
    names = ["platform", "weights", *entry_names]
    for target in targets:
        names += [target, f"{target}-behind"]
    hosts = {name: f"{_SUBNET}.{next(_hosts) % 250 + 1}" for name in names}
    with tempfile.TemporaryDirectory() as folder:
        site = Site(
            pathlib.Path(folder), hosts, {}, {}, entry_names, tuple(targets)
        )
        _add_standin(site, "platform", "objects")
        _add_standin(site, "weights", "weights", "--rate-per-s", "50")
        for target in targets:
            backend = f"{target}-behind"
            if target.startswith("engine"):
                arguments = [
                    "--step-ms",
                    str(step_ms),
                    "--load-ms",
                    str(load_ms),
                ]
                arguments += ["--weight-store-url", site.url("weights")]
                arguments += ["--slot-count", "4", *engine_options]
                _add_standin(site, backend, "engine", *arguments)
            else:
                _add_standin(site, backend, "plain")
        for name in (*entry_names, *targets):
            _write_settings(site, name, overrides)
        try:
            yield _start_site(site)
        finally:
            for process in site.processes.values():
                if process.poll() is None:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                    process.wait()


def _start_site(site: Site) -> Site:
    for name in site.commands:
        site.start(name)
    wait_until(
        lambda: call("GET", site.url("platform", "/vms")).status == 200,
        "the platform answers",
    )
    site.list_vms()
    path = site.folder / "document.yaml"
    path.write_text(yaml.safe_dump(document(site)), encoding="utf-8")
    applied = site.radishctl("config", "apply", str(path))
    if applied.returncode:
        raise RuntimeError(applied.stderr)
    for name in (*site.entries, *site.targets):
        wait_until(lambda name=name: site.ready(name), f"{name} is ready")
    return site


def text_of_stream(body: bytes) -> str:
    """Returns the text of an event stream, which must be complete."""
    events = body.decode().strip().split("\n\n")
    if events[-1] != "data: [DONE]":
        raise ValueError(f"not a whole stream: {events[-1]!r}")
    pieces = [json.loads(one.removeprefix("data: ")) for one in events[:-1]]
    return "".join(piece["choices"][0]["text"] for piece in pieces)
