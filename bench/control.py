"""Control-plane cost of one process that has many peers.

``python -m bench.control`` runs the shipped entry and target code in a separate
process that exchanges real datagrams with fake peers. It prints bytes, CPU time
and memory by number of peers and of adapters, and their slopes.
"""

import functools
import json
import random
import secrets
import subprocess
import sys
import time
from typing import Any

import anyio
import click
import psutil
from radishd import entry as entry_lib
from radishd import target as target_lib
from radishd.process import configuration as configuration_lib
from radishd.process import control as control_lib
from radishd.process import metrics as metrics_lib
from radishd.process import settings as settings_lib
from radishd.process import store as store_lib
from radishstack import load as load_lib
from radishstack import result
from radishstack.connection import frame
from radishstack.request import resolve
from radishstack.version import commit as commit_lib
from radishstack.version import document as document_lib
from radishstack.version import holder as holder_lib
from radishstack.version import operation as operation_lib
from standins import engine as engine_lib
from standins import objects as objects_lib

from bench import report

PORT = 7300
MIB = 1024 * 1024
MS_PER_S = 1000.0
REQUESTS_PER_S = 14.0
PROBES_PER_S = 3.0
CHANGES_PER_S = 14_000 / 86_400
SECONDS_PER_DAY = 86_400
PEER_NET = "127.90"
OWN_HOST = "127.91.0.1"
PLATFORM_HOST = "127.91.0.2"
ENGINE_HOST = "127.91.0.3"


def peer_host(index: int) -> str:
    """Returns the address of a fake peer."""
    return f"{PEER_NET}.{index // 200}.{index % 200 + 1}"


def make_document(peers: int, adapters: int) -> document_lib.Document:
    """Returns a document with the given number of targets and adapters."""
    names = [f"t-{index}" for index in range(peers)]
    raw: dict[str, Any] = {
        "customers": [{"name": "c"}],
        "targets": [
            {
                "name": name,
                "kind": "engine",
                "address": f"{peer_host(index)}:{PORT}",
                "failure_domain": f"r/{index % 9}",
                "base_model": "m",
            }
            for index, name in enumerate(names)
        ],
        "services": [{"name": "s", "customer": "c", "targets": names}],
        "adapters": [
            {
                "name": f"adapter-{index}",
                "service": "s",
                "base_model": "m",
                "versions": [{"version": 1, "source": f"w/{index}/1"}],
                "current": 1,
            }
            for index in range(adapters)
        ],
    }
    raw["targets"].append(
        {
            "name": "own",
            "kind": "engine",
            "address": f"{OWN_HOST}:{PORT}",
            "failure_domain": "r/0",
            "base_model": "m",
        }
    )
    document = document_lib.parse(raw)
    if isinstance(document, tuple):
        raise ValueError(document[0])
    return document


async def run_peers(count: int) -> None:
    """Answers probes and sends digests and probes for ``count`` peers."""
    source = random.Random(1)
    load = load_lib.Load(0, False, 1, 2, 3, 10, 500, b"12345678")
    sockets = []

    async def answer(socket: Any) -> None:
        async for data, (host, port) in socket:
            datagram = frame.decode_datagram(data)
            if isinstance(datagram, result.Failure):
                continue
            if isinstance(datagram.body, frame.Probe):
                reply = frame.encode_datagram(datagram.nonce, load)
                await socket.sendto(reply, host, port)

    async def send_periodically(rate_per_s: float, body: Any) -> None:
        while True:
            await anyio.sleep(source.expovariate(rate_per_s))
            data = frame.encode_datagram(1, body())
            await source.choice(sockets).sendto(data, OWN_HOST, PORT)

    async with anyio.create_task_group() as tasks:
        for index in range(count):
            socket = await anyio.create_udp_socket(
                local_host=peer_host(index), local_port=PORT
            )
            sockets.append(socket)
            tasks.start_soon(answer, socket)
        tasks.start_soon(
            send_periodically, 1.0, lambda: frame.Digest(1, False, ())
        )
        probe = functools.partial(frame.Probe, "adapter-1@1", 1)
        tasks.start_soon(send_periodically, PROBES_PER_S, probe)
        await tasks.start(objects_lib.run, PLATFORM_HOST, PORT)
        behaviour = engine_lib.EngineSettings()
        await tasks.start(engine_lib.run, behaviour, ENGINE_HOST, PORT)
        print("ready", flush=True)
        await anyio.sleep_forever()


def _settings(role: str) -> settings_lib.Settings:
    raw: dict[str, Any] = {
        "role": role,
        "name": "own",
        "failure_domain": "r/0",
        "platform": {"url": f"http://{PLATFORM_HOST}:{PORT}"},
    }
    if role == "entry":
        raw["entry"] = {
            "listen": f"{OWN_HOST}:{PORT + 1}",
            "admin": f"{OWN_HOST}:{PORT + 2}",
            "control": f"{OWN_HOST}:{PORT}",
        }
    else:
        raw["target"] = {
            "kind": "engine",
            "listen": f"{OWN_HOST}:{PORT}",
            "admin": f"{OWN_HOST}:{PORT + 2}",
            "url": f"http://{ENGINE_HOST}:{PORT}",
        }
    settings = settings_lib.parse(raw)
    if isinstance(settings, tuple):
        raise ValueError(settings[0])
    return settings


class Meter:
    """Measures bytes, CPU time, memory and store calls since its creation."""

    def __init__(
        self, control: control_lib.ControlSocket, metrics: metrics_lib.Metrics
    ) -> None:
        """Starts the measurement."""
        self.control = control
        self.metrics = metrics
        self.cpu_s = time.process_time()
        self.at_s = time.monotonic()
        self.bytes = control.bytes_sent + control.bytes_received
        self.calls = self._calls()

    def _calls(self) -> int:
        return sum(value for _, value in self.metrics.store_calls.get_all())

    def read(self) -> dict[str, float]:
        """Returns the rates since the start and the resident memory."""
        elapsed_s = time.monotonic() - self.at_s
        bytes_now = self.control.bytes_sent + self.control.bytes_received
        return {
            "cpu_share": (time.process_time() - self.cpu_s) / elapsed_s,
            "bytes_per_s": (bytes_now - self.bytes) / elapsed_s,
            "store_calls_per_s": (self._calls() - self.calls) / elapsed_s,
            "resident_mib": psutil.Process().memory_info().rss / MIB,
        }


async def _apply_commits(
    configuration: configuration_lib.Configuration,
) -> None:
    """Applies commits at the large fleet's rate, as if pushed by a peer."""
    source = random.Random(2)
    while True:
        await anyio.sleep(source.expovariate(CHANGES_PER_S))
        held = configuration.held
        number = held.version + 1
        operation = operation_lib.AddVersion(
            name="adapter-1", version=number + 1, source=f"w/{number}"
        )
        audit = commit_lib.AuditRecord("bench", 0, held.version, "bench")
        configuration.advance(
            commit_lib.Commit(
                secrets.token_hex(12),
                number,
                held.write_id,
                (operation,),
                audit,
            )
        )


async def run_entry(peers: int, adapters: int, seconds: float) -> None:
    """Runs the control work of an entry daemon.

    It consists of routing, probes, configuration gossip and version changes.
    """
    metrics = metrics_lib.Metrics()
    settings = _settings("entry")
    source = random.Random(3)
    async with anyio.create_task_group() as tasks:
        control = await control_lib.open_control_socket(
            settings.entry.control, metrics
        )
        entry = entry_lib.Entry(
            settings,
            tasks,
            metrics=metrics,
            control=control,
            random_source=source,
        )
        configuration = entry.configuration
        document = make_document(peers, adapters)
        configuration.offer(holder_lib.HeldVersion(1, "w1", document))
        tasks.start_soon(control.run)
        tasks.start_soon(entry.configuration_gossip.run)
        tasks.start_soon(entry.expire_router_state)
        tasks.start_soon(entry.watch_vms)
        tasks.start_soon(_apply_commits, configuration)

        async def route_requests() -> None:
            while True:
                await anyio.sleep(source.expovariate(REQUESTS_PER_S))
                rank = min(adapters, int(source.paretovariate(0.2))) - 1
                fields = resolve.RoutingFields(
                    "", f"adapter-{rank}", "", "", "", {}
                )
                held = configuration.held
                await entry.rank(resolve.resolve(fields, held), held)

        tasks.start_soon(route_requests)
        await anyio.sleep(1.0)
        meter = Meter(control, metrics)
        await anyio.sleep(seconds)
        print(json.dumps(meter.read()), flush=True)
        tasks.cancel_scope.cancel()


async def run_target(peers: int, adapters: int, seconds: float) -> None:
    """Runs the control work of a target process with an idle engine."""
    settings = _settings("target")
    store = store_lib.Store(settings.platform)
    await store.aclose()
    async with anyio.create_task_group() as tasks:
        process = await tasks.start(
            functools.partial(
                target_lib.run,
                settings,
                stop=anyio.Event(),
                random_source=random.Random(4),
            )
        )
        document = make_document(peers, adapters)
        process.configuration.offer(holder_lib.HeldVersion(1, "w1", document))
        tasks.start_soon(_apply_commits, process.configuration)
        await anyio.sleep(1.0)
        meter = Meter(process.configuration_gossip.control, process.metrics)
        await anyio.sleep(seconds)
        print(json.dumps(meter.read()), flush=True)
        tasks.cancel_scope.cancel()


def measure(
    role: str, peers: int, adapters: int, seconds: float
) -> dict[str, Any]:
    """Measures one role in a separate process."""
    peer_process = subprocess.Popen(
        [sys.executable, "-m", "bench.control", "peers", str(peers)],
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        peer_process.stdout.readline()
        arguments = [role, str(peers), str(adapters), str(seconds)]
        done = subprocess.run(
            [sys.executable, "-m", "bench.control", "subject", *arguments],
            capture_output=True,
            text=True,
            check=False,
        )
        if done.returncode:
            raise RuntimeError(done.stderr[-2000:])
        figures = json.loads(done.stdout.splitlines()[-1])
    finally:
        peer_process.kill()
        peer_process.wait()
    return {"role": role, "peers": peers, "adapters": adapters, **figures}


def slope(rows: list[dict[str, Any]], by: str, figure: str) -> float:
    """Returns the least-squares slope of ``figure`` over ``by``."""
    xs = [row[by] for row in rows]
    ys = [row[figure] for row in rows]
    mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
    sum_of_squares = sum((x - mean_x) ** 2 for x in xs)
    pairs = zip(xs, ys, strict=True)
    return sum((x - mean_x) * (y - mean_y) for x, y in pairs) / sum_of_squares


FIGURES = ("bytes_per_s", "cpu_share", "store_calls_per_s", "resident_mib")


@click.group(invoke_without_command=True)
@click.option("--seconds", default=8.0, show_default=True)
@click.pass_context
def main(context: click.Context, seconds: float) -> None:
    """Measures both roles by peers and by adapters."""
    if context.invoked_subcommand is not None:
        return
    results: dict[str, Any] = {"rows": [], "slopes": []}
    for role in ("entry", "target"):
        by_peers = [
            measure(role, peers, 2_000, seconds)
            for peers in (50, 100, 200, 400)
        ]
        by_adapters = [
            measure(role, 100, adapters, seconds)
            for adapters in (500, 5_000, 35_000)
        ]
        results["rows"] += [*by_peers, *by_adapters]
        for by, rows in (("peers", by_peers), ("adapters", by_adapters)):
            for figure in FIGURES:
                results["slopes"].append(
                    (role, figure, by, slope(rows, by, figure))
                )
    print(
        report.table(
            ("role", "peers", "adapters", *FIGURES),
            [
                (r["role"], r["peers"], r["adapters"], *(r[f] for f in FIGURES))
                for r in results["rows"]
            ],
        )
    )
    print()
    print(report.table(("role", "figure", "per", "slope"), results["slopes"]))
    print(f"\nkept in {report.save('control', results).name}")


@main.command()
@click.argument("count", type=int)
def peers(count: int) -> None:
    """Runs the fake peers, the object API and an engine."""
    anyio.run(run_peers, count)


@main.command()
@click.argument("role")
@click.argument("peers", type=int)
@click.argument("adapters", type=int)
@click.argument("seconds", type=float)
def subject(role: str, peers: int, adapters: int, seconds: float) -> None:
    """Runs the process that is measured."""
    run_role = run_entry if role == "entry" else run_target
    anyio.run(run_role, peers, adapters, seconds)


if __name__ == "__main__":
    main()
