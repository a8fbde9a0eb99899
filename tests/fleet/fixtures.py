"""A small fleet on loopback: store, targets, sidecars and one gateway.

Each VM has its own loopback address, so all use the same ports, as on the
platform.
"""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import functools
import itertools
import os
import random
import secrets
from typing import Any

import anyio
import anyio.abc
from radishd import gateway as gateway_lib
from radishd import sidecar as sidecar_lib
from radishd.connection import http_client
from radishd.process import clock
from radishd.process import settings as settings_lib
from radishd.process import signals
from radishstack.request import forwarding
from standins import platform_engine
from standins import platform_site
from standins import platform_store
from standins import web as standins_web

FRONT_PORT = 8_140
READY_PORT = 8_141
PEERS_PORT = 8_142
FLEET_PORT = 8_143
ADMIN_PORT = 8_144
STORE_PORT = 8_145
TARGET_PORT = 8_146
LIMIT_S = 30.0
POLL_S = 0.005
MODEL = platform_site.MODEL

_random = random.Random(os.getpid() * 7919)
_subnets = itertools.count(_random.randint(0, 200))


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """An answer that a caller received.

    Attributes:
        status: HTTP status, 0 without an answer.
        headers: Headers by lower-case name.
        body: The part of the body that was received.
        whole: Whether the answer was complete.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool


configuration = platform_site.configuration
# Outcomes of an attempt that count as failures of its target.
BAD_OUTCOMES = (
    forwarding.Outcome.UNSENT,
    forwarding.Outcome.GONE,
    forwarding.Outcome.LOST,
    forwarding.Outcome.SILENT,
)


def seeded(seed: int = 1) -> random.Random:
    """Returns a random source with a fixed seed."""
    return random.Random(seed)


class Fleet:
    """A store, targets, sidecars and gateways that run in one event loop."""

    def __init__(self, tasks: anyio.abc.TaskGroup) -> None:
        """Creates a fleet without VMs."""
        self.tasks = tasks
        self.subnet = (
            f"127.{40 + next(_subnets) % 200}.{secrets.randbelow(250)}"
        )
        self.store = platform_store.PlatformStore()
        self.targets: dict[str, platform_engine.PlatformEngine] = {}
        self.sidecars: dict[str, sidecar_lib.Sidecar] = {}
        self.gateway: gateway_lib.Gateway | None = None
        self.stop = anyio.Event()
        self.stopped = anyio.Event()
        self._hosts = itertools.count(10)
        self.store_host = f"{self.subnet}.1"
        self.second_store_host = f"{self.subnet}.2"

    def host(self) -> str:
        """Returns the address of a new VM."""
        return f"{self.subnet}.{next(self._hosts)}"

    async def add_target(
        self, instance: str, *, engine: bool, host: str = "", **options: Any
    ) -> platform_engine.PlatformEngine:
        """Starts and registers a target, and a sidecar beside an engine."""
        new_vm = not host
        host = host or self.host()
        target = platform_engine.PlatformEngine(
            instance, model=MODEL if engine else "", **options
        )
        await target.start(host, TARGET_PORT)
        self.targets[instance] = target
        service = platform_site.ENGINES if engine else platform_site.PLAIN
        self.store.put(
            "servers",
            instance,
            target.listing(service, f"{host}:{TARGET_PORT}", "north"),
        )
        if engine and new_vm:
            self.sidecars[host] = await self.add_sidecar(host)
        return target

    async def restart_exited(self) -> None:
        """Restarts exited targets with new names at the same addresses."""
        listed = self.store.objects["servers"]
        for name, target in list(self.targets.items()):
            if not target.ended:
                continue
            address = listed[name]["spec"]["address"]
            del self.targets[name]
            self.store.delete("servers", name)
            replacement = await self.add_target(
                f"i-{secrets.token_hex(4)}",
                engine=bool(target.model),
                host=address.partition(":")[0],
            )
            replacement.fault = target.fault

    async def add_sidecar(self, host: str) -> sidecar_lib.Sidecar:
        """Starts the sidecar of an engine."""
        raw = {
            "role": "sidecar",
            "name": f"side-{host.rpartition('.')[2]}",
            "failure_domain": "piedmont/north",
            "platform": {"url": f"http://{self.subnet}.1:{STORE_PORT}"},
            "sidecar": {
                "engine": f"{host}:{TARGET_PORT}",
                "control": f"{host}:{FLEET_PORT}",
                "admin": f"{host}:{ADMIN_PORT}",
            },
        }
        settings = settings_lib.parse(raw)
        assert isinstance(settings, settings_lib.Settings), settings
        sidecar: sidecar_lib.Sidecar = await self.tasks.start(
            functools.partial(
                sidecar_lib.run,
                settings,
                stop=anyio.Event(),
                reloads=signals.ReloadHook(),
            )
        )
        return sidecar

    async def add_store_address(self) -> platform_store.Faults:
        """Opens a second address of the store, with separate faults."""
        faults = platform_store.Faults()

        async def handle(request: standins_web.Request) -> None:
            if faults.refuses:
                await request.reply({}, status=503)
            else:
                await self.store.handle(request)

        app = standins_web.make_app(handle)
        await self.tasks.start(
            functools.partial(
                standins_web.serve, app, self.second_store_host, STORE_PORT
            )
        )
        return faults

    async def add_gateway(
        self,
        seeds: tuple[str, ...] = (),
        store_host: str = "",
        **options: Any,
    ) -> gateway_lib.Gateway:
        """Starts a gateway with additional settings."""
        host = self.host()
        raw = {
            "role": "gateway",
            "name": f"edge-{host.rpartition('.')[2]}",
            "failure_domain": "piedmont/north",
            "platform": {
                "url": f"http://{store_host or self.store_host}:{STORE_PORT}"
            },
            "seeds": list(seeds),
            "gateway": {
                "listen": f"{host}:{FRONT_PORT}",
                "readiness": f"{host}:{READY_PORT}",
                "peers": f"{host}:{PEERS_PORT}",
                "control": f"{host}:{FLEET_PORT}",
                "admin": f"{host}:{ADMIN_PORT}",
                "sidecar_port": FLEET_PORT,
                "retry_extra": 1_000,
                **options,
            },
        }
        settings = settings_lib.parse(raw)
        assert isinstance(settings, settings_lib.Settings), settings
        stopped = anyio.Event()

        async def run(
            *,
            task_status: anyio.abc.TaskStatus[Any] = anyio.TASK_STATUS_IGNORED,
        ) -> None:
            await gateway_lib.run(
                settings,
                stop=self.stop,
                reloads=signals.ReloadHook(),
                task_status=task_status,
            )
            stopped.set()

        gateway: gateway_lib.Gateway = await self.tasks.start(run)
        self.gateway = self.gateway or gateway
        self.stopped = stopped
        return gateway

    async def call(
        self,
        path: str,
        *,
        method: str = "POST",
        body: bytes = b"",
        adapter: str = "",
        attempt: str = "",
        left_ms: int = 3_000,
        gateway: gateway_lib.Gateway | None = None,
        **headers: str,
    ) -> Answer:
        """Makes one call on a new connection."""
        gateway = gateway or self.gateway
        connection = await http_client.open_connection(
            gateway.own.listen, 2_000
        )
        assert isinstance(connection, http_client.Connection), connection
        further = [
            (name.replace("_", "-"), value) for name, value in headers.items()
        ]
        request = platform_site.request(
            method,
            path,
            attempt or secrets.token_hex(8),
            adapter=adapter,
            body=body,
            left_ms=left_ms,
            further=further,
        )
        connection.send(request)
        try:
            return await read_answer(connection)
        finally:
            connection.close()

    async def until(
        self, condition: Callable[[], bool], description: str
    ) -> None:
        """Waits for a condition; the timeout only guards against a hang."""
        with anyio.move_on_after(LIMIT_S):
            while not condition():
                await anyio.sleep(POLL_S)
            return
        raise TimeoutError(f"still not: {description}")


def count_aborted_responses(
    gateway: gateway_lib.Gateway, *, ended: bool
) -> int:
    """Returns the number of aborted responses, with or without a crash."""
    label = "yes" if ended else "no"
    samples = gateway.metrics.crashes.get_all()
    return sum(
        round(count) for labels, count in samples if labels["ended"] == label
    )


async def add_gateways(fleet: Fleet, count: int) -> list[gateway_lib.Gateway]:
    """Starts more gateways, which apply changes of targets quickly."""
    seeds = (fleet.gateway.own.peers,)
    gateways = [
        await fleet.add_gateway(seeds, leaving_ms=100) for _ in range(count)
    ]
    await fleet.until(
        lambda: all(not one.ready() for one in gateways), "all are up"
    )
    await fleet.until(
        lambda: all(len(one.peers.addresses) >= count for one in gateways),
        "they know each other",
    )
    return gateways


def usable_plain(gateway: gateway_lib.Gateway) -> set[str]:
    """Returns the plain targets that a gateway may use."""
    members = gateway.roster.usable(platform_site.PLAIN, clock.boot_ms())
    return {member.listing.instance for member in members}


async def wait_until_all_usable(
    fleet: Fleet, gateways: list[gateway_lib.Gateway]
) -> None:
    """Waits until all gateways may use all plain targets."""
    plain = {name for name, one in fleet.targets.items() if not one.model}
    await fleet.until(
        lambda: all(usable_plain(one) == plain for one in gateways),
        "gateways know all targets",
    )


async def read_answer(connection: http_client.Connection) -> Answer:
    """Reads an answer until its end or the loss of the connection."""
    head = await connection.head()
    if isinstance(head, http_client.Lost):
        return Answer(0, {}, b"", whole=False)
    headers = {name.decode(): value.decode() for name, value in head.headers}
    pieces = []
    while True:
        piece = await connection.chunk()
        if isinstance(piece, http_client.Lost):
            body = b"".join(pieces)
            return Answer(head.status, headers, body, whole=False)
        if not piece:
            return Answer(head.status, headers, b"".join(pieces), whole=True)
        pieces.append(piece)


@contextlib.asynccontextmanager
async def running_fleet(
    *, engines: int = 2, plain: int = 2, **options: Any
) -> AsyncIterator[Fleet]:
    """Runs a store, targets with sidecars, and a gateway that is ready."""
    async with anyio.create_task_group() as tasks:
        fleet = Fleet(tasks)
        app = standins_web.make_app(fleet.store.handle)
        await tasks.start(
            functools.partial(
                standins_web.serve, app, f"{fleet.subnet}.1", STORE_PORT
            )
        )
        fleet.store.put("config", "main", configuration())
        for number in range(engines):
            await fleet.add_target(f"i-engine{number}", engine=True, **options)
        for number in range(plain):
            await fleet.add_target(f"i-plain{number}", engine=False)
        gateway = await fleet.add_gateway()
        count = engines + plain
        await fleet.until(
            lambda: (
                not gateway.ready()
                and len(gateway.roster.members) == count
                and len(gateway.placement.views) == engines
            ),
            "the gateway knows the fleet",
        )
        try:
            yield fleet
        finally:
            for target in fleet.targets.values():
                await target.stop()
            tasks.cancel_scope.cancel()


def run(test: Callable[[], Awaitable[None]]) -> None:
    """Runs an asynchronous test; the timeout only guards against a hang."""

    async def limited() -> None:
        with anyio.fail_after(2 * LIMIT_S):
            await test()

    anyio.run(limited)
