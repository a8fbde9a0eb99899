"""Measures the overhead of a gateway and a sidecar.

``python -m bench.platform`` runs both as separate processes; the store, the
targets and the callers share this one. Each load is also sent to a target
directly in the same run. Limits: one gateway, loopback, targets that answer
immediately; CPU times depend on the machine.
"""

import contextlib
import dataclasses
import json
import os
import pathlib
import statistics
import subprocess
import sys
import tempfile
import time
from typing import Any

import anyio
import click
import psutil
from radishd.connection import http_client
from standins import platform_engine
from standins import platform_site
from standins import platform_store
from standins import web
import yaml

SUBNET = f"127.201.{os.getpid() % 250}"
STORE = f"{SUBNET}.1:8145"
ENGINE_HOST = f"{SUBNET}.10"
PLAIN_HOST = f"{SUBNET}.11"
GATEWAY_HOST = f"{SUBNET}.12"
TARGET_PORT = 8_146
CALLERS = 8
EVENTS = 60
RESULT = pathlib.Path(__file__).parent / "results" / "platform.json"
US_PER_S = 1_000_000
MS_PER_S = 1_000
READY_LIMIT_S = 30.0
POLL_S = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """A kind of request to measure.

    Attributes:
        name: Name of the load.
        path: Request path.
        adapter: Adapter that the request needs, empty for none.
        target: Address of the target, for direct calls.
    """

    name: str
    path: str
    adapter: str
    target: str


PLAIN = Load("plain", "/look/1", "", f"{PLAIN_HOST}:{TARGET_PORT}")
STREAM = Load(
    "stream",
    "/chat/1",
    "a1",
    f"{ENGINE_HOST}:{TARGET_PORT}",
)


def _settings() -> dict[str, dict[str, Any]]:
    common = {
        "failure_domain": "piedmont/north",
        "platform": {"url": f"http://{STORE}"},
    }
    return {
        "gateway": common
        | {
            "role": "gateway",
            "name": "edge-1",
            "gateway": {
                "listen": f"{GATEWAY_HOST}:8140",
                "readiness": f"{GATEWAY_HOST}:8141",
                "peers": f"{GATEWAY_HOST}:8142",
                "control": f"{GATEWAY_HOST}:8143",
                "admin": f"{GATEWAY_HOST}:8144",
                "sidecar_port": 8143,
            },
        },
        "sidecar": common
        | {
            "role": "sidecar",
            "name": "side-1",
            "sidecar": {
                "engine": f"{ENGINE_HOST}:{TARGET_PORT}",
                "control": f"{ENGINE_HOST}:8143",
                "admin": f"{ENGINE_HOST}:8144",
            },
        },
    }


async def _call(
    connection: http_client.Connection, load: Load, number: int
) -> float:
    """Makes one call and returns the time to first byte in ms."""
    request = platform_site.request(
        "GET", load.path, f"{number:x}", adapter=load.adapter
    )
    began_s = time.perf_counter()
    connection.send(request)
    head = await connection.head()
    assert isinstance(head, http_client.Head), head
    first = await connection.chunk()
    first_ms = (time.perf_counter() - began_s) * MS_PER_S
    assert head.status == 200, (head, first)
    body = await http_client.read_body(connection)
    assert isinstance(body, bytes), body
    assert connection.finish()
    return first_ms


async def _drive(address: str, load: Load, count: int) -> list[float]:
    """Sends a load to an address from concurrent callers."""
    times_ms: list[float] = []

    async def caller(index: int) -> None:
        connection = await http_client.open_connection(address, 2_000)
        assert isinstance(connection, http_client.Connection), connection
        for number in range(count // CALLERS):
            call = index * count + number + 1
            times_ms.append(await _call(connection, load, call))
        connection.close()

    async with anyio.create_task_group() as tasks:
        for index in range(CALLERS):
            tasks.start_soon(caller, index)
    return times_ms


async def _until_ready(process: subprocess.Popen[bytes]) -> None:
    with anyio.fail_after(READY_LIMIT_S):
        while not (await _is_served(STREAM) and await _is_served(PLAIN)):
            assert process.poll() is None, "the gateway ended"
            await anyio.sleep(POLL_S)


async def _is_served(load: Load) -> bool:
    address = f"{GATEWAY_HOST}:8140"
    connection = await http_client.open_connection(address, 2_000)
    if isinstance(connection, http_client.Lost):
        return False
    try:
        await _call(connection, load, 1)
    except AssertionError:
        return False
    finally:
        connection.close()
    return True


def _cpu_s(process: subprocess.Popen[bytes]) -> float:
    times = psutil.Process(process.pid).cpu_times()
    return times.user + times.system


async def measure(count: int) -> dict[str, Any]:
    """Runs the loads and returns the figures."""
    store = platform_store.PlatformStore()
    timing = platform_engine.Timing(event_ms=1.0, work_ms=0.0)
    engine = platform_engine.PlatformEngine(
        "i-engine", model=platform_site.MODEL, event_count=EVENTS, timing=timing
    )
    plain = platform_engine.PlatformEngine("i-plain", timing=timing)
    figures: dict[str, Any] = {"calls": count, "events_per_stream": EVENTS}
    async with anyio.create_task_group() as tasks:
        host, _, port = STORE.rpartition(":")
        app = web.make_app(store.handle)
        await tasks.start(web.serve, app, host, int(port))
        await engine.start(ENGINE_HOST, TARGET_PORT)
        await plain.start(PLAIN_HOST, TARGET_PORT)
        store.put("config", "main", platform_site.configuration())
        listed = engine.listing(platform_site.ENGINES, STREAM.target, "north")
        store.put("servers", "i-engine", listed)
        listed = plain.listing(platform_site.PLAIN, PLAIN.target, "north")
        store.put("servers", "i-plain", listed)
        with _run_daemons() as running:
            await _until_ready(running["gateway"])
            for load in (PLAIN, STREAM):
                figures[load.name] = await _measure_load(load, count, running)
            for name, process in running.items():
                memory = psutil.Process(process.pid).memory_info().rss
                figures[f"{name}_mib"] = round(memory / 2**20, 1)
        await engine.stop()
        await plain.stop()
        tasks.cancel_scope.cancel()
    per_call_us = figures["stream"]["gateway_us_per_call"]
    plain_us = figures["plain"]["gateway_us_per_call"]
    figures["gateway_us_per_event"] = round(
        (per_call_us - plain_us) / EVENTS, 1
    )
    return figures


async def _measure_load(
    load: Load, count: int, running: dict[str, subprocess.Popen[bytes]]
) -> dict[str, Any]:
    direct_ms = await _drive(load.target, load, count)
    before = {name: _cpu_s(process) for name, process in running.items()}
    proxied_ms = await _drive(f"{GATEWAY_HOST}:8140", load, count)
    figures: dict[str, Any] = {
        "direct_first_byte_p50_ms": round(statistics.median(direct_ms), 2),
        "through_first_byte_p50_ms": round(statistics.median(proxied_ms), 2),
    }
    for name, process in running.items():
        used_us = (_cpu_s(process) - before[name]) * US_PER_S
        figures[f"{name}_us_per_call"] = round(used_us / count, 1)
    return figures


@contextlib.contextmanager
def _run_daemons() -> Any:
    with tempfile.TemporaryDirectory() as folder:
        running = {}
        try:
            for name, settings in _settings().items():
                path = pathlib.Path(folder) / f"{name}.yaml"
                path.write_text(yaml.safe_dump(settings))
                command = [sys.executable, "-m", "radishd", "run"]
                command += ["--settings", str(path)]
                running[name] = subprocess.Popen(
                    command, stdout=subprocess.DEVNULL
                )
            yield running
        finally:
            for process in running.values():
                process.kill()
                process.wait()


@click.command()
@click.option("--calls", default=2_000, show_default=True)
def main(calls: int) -> None:
    """Measures a gateway and a sidecar against direct calls."""
    figures = anyio.run(measure, calls)
    RESULT.write_text(json.dumps(figures, indent=2) + "\n")
    click.echo(json.dumps(figures, indent=2))


if __name__ == "__main__":
    main()
