"""A demo that runs the whole system on loopback in one process."""

from collections.abc import Callable
import contextlib
import functools
import signal
from typing import Any

import anyio
import anyio.abc
import click
from radishd import entry
from radishd import target
from radishd.process import configuration
from radishd.process import settings as settings_lib
from radishd.process import store as store_lib
from radishstack import result
from radishstack.version import checks
from radishstack.version import document as document_lib
from radishstack.version import holder as holder_lib
from radishstack.version import operation as operation_lib

from standins import engine
from standins import objects
from standins import plain
from standins import weights

HOST = "127.0.0.1"
PORT_STEP_PLATFORM = 1
READY_POLL_S = 0.01


def demo_document(ports: dict[str, int]) -> dict[str, Any]:
    """Returns a small document for the demo.

    Args:
        ports: Port of each target process by target name.

    Returns:
        The document as plain data.
    """
    engines = [name for name in ports if name.startswith("engine")]
    adapters = ["lens-terms", "insurance", "pickup-times", "spare-parts"]
    return {
        "customers": [{"name": "rental-house"}],
        "targets": [
            {
                "name": name,
                "kind": "engine" if name in engines else "plain",
                "address": f"{HOST}:{port}",
                "failure_domain": "piedmont/a",
                **({"base_model": "piedmont-7b"} if name in engines else {}),
            }
            for name, port in ports.items()
        ],
        "services": [
            {
                "name": "assistant",
                "customer": "rental-house",
                "targets": engines,
                "adapter": "lens-terms",
            },
            {
                "name": "booking",
                "customer": "rental-house",
                "kind": "plain",
                "idempotent": False,
                "targets": [name for name in ports if name not in engines],
            },
        ],
        "adapters": [
            {
                "name": name,
                "service": "assistant",
                "base_model": "piedmont-7b",
                "versions": [{"version": 1, "source": f"{name}/1"}],
                "current": 1,
            }
            for name in adapters
        ],
    }


@contextlib.asynccontextmanager
async def open_demo(port: int) -> Any:
    """Starts the demo.

    Args:
        port: Port for callers; the other ports are the ones that follow it.

    Yields:
        The entry daemon once it is ready.
    """
    port_numbers = iter(range(port + 1, port + 100))
    next_port: Callable[[], int] = lambda: next(port_numbers)  # noqa: E731
    platform_port, weights_port, admin_port = (
        next_port(),
        next_port(),
        next_port(),
    )
    platform = settings_lib.PlatformSettings(
        url=f"http://{HOST}:{platform_port}"
    )
    stop = anyio.Event()
    async with anyio.create_task_group() as standins:
        await standins.start(objects.run, HOST, platform_port)
        await standins.start(weights.run, HOST, weights_port)
        async with anyio.create_task_group() as daemons:
            ports = {}
            for name in ("engine-1", "engine-2", "booking-1"):
                ports[name] = await _start_target(
                    name,
                    next_port,
                    platform,
                    weights_port,
                    standins,
                    daemons,
                    stop,
                )
            settings = settings_lib.Settings(
                role=settings_lib.Role.ENTRY,
                name="entry-1",
                failure_domain="piedmont/a",
                platform=platform,
                entry=settings_lib.EntrySettings(
                    listen=f"{HOST}:{port}",
                    admin=f"{HOST}:{admin_port}",
                    control=f"{HOST}:{next_port()}",
                    unready_ms=1,
                    drain_ms=5_000,
                ),
            )
            entry_daemon = await daemons.start(
                functools.partial(entry.run, settings, stop=stop)
            )
            await _apply(platform, demo_document(ports))
            while entry_daemon.ready():
                await anyio.sleep(READY_POLL_S)
            yield entry_daemon
            stop.set()
        standins.cancel_scope.cancel()


async def _start_target(
    name: str,
    next_port: Callable[[], int],
    platform: settings_lib.PlatformSettings,
    weights_port: int,
    standins: anyio.abc.TaskGroup,
    daemons: anyio.abc.TaskGroup,
    stop: anyio.Event,
) -> int:
    listen_port, admin_port, own_port = next_port(), next_port(), next_port()
    is_engine = name.startswith("engine")
    if is_engine:
        url = f"http://{HOST}:{weights_port}"
        engine_settings = engine.EngineSettings(weight_store_url=url)
        await standins.start(engine.run, engine_settings, HOST, own_port)
    else:
        await standins.start(plain.run, HOST, own_port)
    kind = checks.TargetKind
    settings = settings_lib.Settings(
        role=settings_lib.Role.TARGET,
        name=name,
        failure_domain="piedmont/a",
        platform=platform,
        target=settings_lib.TargetSettings(
            kind=kind.ENGINE if is_engine else kind.PLAIN,
            listen=f"{HOST}:{listen_port}",
            admin=f"{HOST}:{admin_port}",
            url=f"http://{HOST}:{own_port}",
            # No request ran before the demo, so no idempotency key has to be
            # quarantined.
            quarantine_ms=0,
            drain_ms=5_000,
        ),
    )
    await daemons.start(functools.partial(target.run, settings, stop=stop))
    return listen_port


async def _apply(
    platform: settings_lib.PlatformSettings, raw: dict[str, Any]
) -> None:
    document = document_lib.parse(raw)
    if isinstance(document, tuple):
        raise click.ClickException("; ".join(str(one) for one in document))
    store = store_lib.Store(platform)
    accepted = await configuration.propose(
        store,
        operations=operation_lib.diff(document_lib.Document(), document),
        base=holder_lib.EMPTY,
        operator="demo",
        reason="the demo's document",
    )
    await store.aclose()
    if isinstance(accepted, result.Failure):
        raise click.ClickException(accepted.message)


async def run(port: int) -> None:
    """Runs the demo until Ctrl-C."""
    async with open_demo(port) as entry_daemon:
        base = f"http://{HOST}:{port}"
        click.echo(f"radishstack serves on {base}")
        click.echo(f"status: {base.replace(str(port), str(port + 3))}/status")
        click.echo(
            f"try: curl -N {base}/v1/completions "
            "-H 'Content-Type: application/json' "
            '-d \'{"model": "lens-terms", "prompt": "hello", "stream": true}\''
        )
        click.echo(
            f"try: curl {base}/v1/services/booking/reserve "
            "-H 'Idempotency-Key: crew-7' -d '{\"lens\": 35}'"
        )
        with anyio.open_signal_receiver(
            signal.SIGINT, signal.SIGTERM
        ) as signals:
            async for _ in signals:
                break
        click.echo("stopping")
        del entry_daemon
