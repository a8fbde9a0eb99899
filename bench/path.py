"""Compares requests through entry and target with direct engine requests.

``python -m bench.path`` sends the same requests both ways in one run and prints
the ratios of time to first token and time between tokens, the CPU time per
token and per request at entry and target, and the resident memory.
"""

import dataclasses
import itertools
import json
import time

import anyio
import click
import psutil

from bench import report
from tests.daemon import fixtures

MS_PER_S = 1000.0
US_PER_S = 1e6
MIB = 1024 * 1024
READ_BYTES = 65_536
EVENT = b"data:"


@dataclasses.dataclass(slots=True)
class Samples:
    """Client-side measurements.

    Attributes:
        first_ms: Time to the first event.
        gap_ms: Time per event between reads that returned events.
        tokens: Events received.
        failed: Requests without a complete answer.
    """

    first_ms: list[float] = dataclasses.field(default_factory=list)
    gap_ms: list[float] = dataclasses.field(default_factory=list)
    tokens: int = 0
    failed: int = 0


async def stream_once(
    host: str, model: str, tokens: int, samples: Samples
) -> None:
    """Sends one streaming request and measures its events."""
    body = json.dumps(
        {"model": model, "prompt": "x", "stream": True, "max_tokens": tokens}
    ).encode()
    head = (
        f"POST /v1/completions HTTP/1.1\r\nHost: {host}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
        "Connection: close\r\n\r\n"
    ).encode()
    async with await anyio.connect_tcp(host, fixtures.PORT) as stream:
        started_s = last_s = time.perf_counter()
        await stream.send(head + body)
        seen, tail = 0, b""
        while True:
            try:
                data = await stream.receive(READ_BYTES)
            except anyio.EndOfStream:
                break
            count = data.count(EVENT)
            if not count:
                continue
            now_s = time.perf_counter()
            if seen == 0:
                samples.first_ms.append((now_s - started_s) * MS_PER_S)
            else:
                samples.gap_ms.append((now_s - last_s) * MS_PER_S / count)
            last_s = now_s
            seen += count
            tail = data
    samples.tokens += max(0, seen - 1)
    if b"[DONE]" not in tail or seen != tokens + 1:
        samples.failed += 1


async def drive(
    hosts: list[str],
    models: list[str],
    *,
    rate_per_s: float,
    tokens: int,
    duration_s: float,
) -> Samples:
    """Starts requests at a fixed rate for a bounded time.

    Args:
        hosts: Hosts, used round-robin.
        models: Models, used round-robin.
        rate_per_s: Requests started per second.
        tokens: Tokens of each answer.
        duration_s: How long requests are started.

    Returns:
        The client-side measurements.
    """
    samples = Samples()
    pairs = zip(itertools.cycle(hosts), itertools.cycle(models), strict=False)
    async with anyio.create_task_group() as tasks:
        started_s = time.perf_counter()
        for index in range(int(rate_per_s * duration_s)):
            due_s = started_s + index / rate_per_s
            await anyio.sleep(max(0.0, due_s - time.perf_counter()))
            host, model = next(pairs)
            tasks.start_soon(stream_once, host, model, tokens, samples)
    return samples


def cpu_s(site: fixtures.Site, names: list[str]) -> float:
    """Returns the total CPU seconds of processes."""
    total_s = 0.0
    for name in names:
        times = psutil.Process(site.processes[name].pid).cpu_times()
        total_s += times.user + times.system
    return total_s


def resident_mib(site: fixtures.Site, name: str) -> float:
    """Returns the resident memory of a process."""
    return psutil.Process(site.processes[name].pid).memory_info().rss / MIB


def _summary(samples: Samples, requests: int) -> dict[str, float]:
    return {
        "requests": requests,
        "tokens": samples.tokens,
        "failed": samples.failed,
        "first_p50_ms": report.median(samples.first_ms),
        "first_p95_ms": report.percentile(samples.first_ms, 0.95),
        "gap_p50_ms": report.median(samples.gap_ms),
        "gap_p95_ms": report.percentile(samples.gap_ms, 0.95),
    }


def measure(
    *, rate_per_s: float, tokens: int, duration_s: float, engines: int
) -> dict[str, dict[str, float]]:
    """Runs the same load directly and through entry and target.

    Args:
        rate_per_s: Requests per second.
        tokens: Tokens per answer.
        duration_s: How long requests are started.
        engines: Number of engines, each with a target process.

    Returns:
        Figures by name, for "direct" and "path".
    """
    overrides = {"target": {"max_running": 64, "poll_ms": 1000}}
    engine_options = ("--max-batch", "64")
    with fixtures.running_site(
        engines=engines,
        plain_targets=0,
        entries=1,
        step_ms=25.0,
        engine_options=engine_options,
        **overrides,
    ) as site:
        idle_mib = resident_mib(site, "entry-1")
        targets = list(site.targets)
        # Load every model before the measurement.
        homes: dict[str, str] = {}
        for model in (f"{name}@1" for name in fixtures.ADAPTERS[:engines]):
            answer = site.complete("entry-1", model, "warm", max_tokens=1)
            homes[model] = answer.headers["x-radishstack-target"]
        engine_hosts = [site.hosts[f"{homes[model]}-behind"] for model in homes]
        load = {
            "rate_per_s": rate_per_s,
            "tokens": tokens,
            "duration_s": duration_s,
        }

        async def run(hosts: list[str], models: list[str]) -> Samples:
            return await drive(hosts, models, **load)

        direct = anyio.run(run, engine_hosts, list(homes))
        before = cpu_s(site, ["entry-1"]), cpu_s(site, targets)
        path = anyio.run(run, [site.hosts["entry-1"]], list(homes))
        after = cpu_s(site, ["entry-1"]), cpu_s(site, targets)
        requests = int(rate_per_s * duration_s)
        proxied = _summary(path, requests)
        for index, name in enumerate(("entry", "target")):
            used_s = after[index] - before[index]
            proxied[f"{name}_cpu_us_per_token"] = (
                used_s * US_PER_S / max(1, path.tokens)
            )
            proxied[f"{name}_cpu_ms_per_request"] = used_s * MS_PER_S / requests
        proxied["entry_idle_mib"] = idle_mib
        proxied["entry_busy_mib"] = resident_mib(site, "entry-1")
        proxied["target_busy_mib"] = resident_mib(site, targets[0])
        return {"direct": _summary(direct, requests), "path": proxied}


def show(name: str, figures: dict[str, dict[str, float]]) -> None:
    """Prints one measurement with its ratios."""
    print(f"\n{name}")
    rows = []
    for key, value in figures["path"].items():
        direct = figures["direct"].get(key)
        ratio = value / direct if direct else ""
        rows.append((key, "" if direct is None else direct, value, ratio))
    print(report.table(("figure", "direct", "path", "ratio"), rows))


@click.command()
@click.option("--seconds", default=15.0, show_default=True)
def main(seconds: float) -> None:
    """Measures the path at a big-size entry's load and with short answers."""
    results = {}
    for name, load in [
        ("stream", {"rate_per_s": 14.0, "tokens": 328, "engines": 6}),
        ("short", {"rate_per_s": 60.0, "tokens": 4, "engines": 4}),
    ]:
        results[name] = measure(duration_s=seconds, **load)
        show(f"{name}: {load}", results[name])
    print(f"\nkept in {report.save('path', results).name}")


if __name__ == "__main__":
    main()
