"""A small deployment: a store, model runners with side machines, gateways."""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import os
import pathlib
import sys
from typing import Any

from standins import engine as engine_lib
from standins import fleet as fleet_lib
from standins import http
from standins import record as record_lib
from standins import store as store_lib

MODEL = "m0"
SERVICE = "models"
HOST = "chat.example"
DEADLINE_MS = 5_000
# Traffic starts some seconds after the machines do.
LEAD_S = 2.0


def manifest(adapter_count: int, adapter_slots: int) -> dict[str, Any]:
    """Returns a manifest with one streaming route to one service.

    The route is like ``booking-chat`` of the sheet: not resumable, one runner.

    Args:
        adapter_count: Number of adapters of the model.
        adapter_slots: Places for adapters at each runner.
    """
    route = {
        "name": "chat",
        "host": HOST,
        "pathPrefix": "/chat/",
        "service": SERVICE,
        "type": "streaming",
        "sticky": True,
        "maxAttempts": 1,
        "timeoutMs": 5_000,
        "targetLatencyMs": 800,
        "gapTargetMs": 600,
        "priority": 0,
    }
    model = {
        "name": MODEL,
        "weightsMb": 72_700,
        "loadS": 2.1,
        "adapters": adapter_count,
        "adapterMb": 66,
    }
    engine = {
        "models": [model],
        "weightsMb": 75_000,
        "adapterSlots": adapter_slots,
    }
    service = {
        "name": SERVICE,
        "maxConnections": 370,
        "healthPath": "/healthz",
        "engine": engine,
    }
    limits = {
        "maxHeaderBytes": 16_384,
        "maxBodyBytes": 4_194_304,
        "headerTimeoutMs": 5_000,
        "idleTimeoutMs": 15_000,
    }
    return {
        "version": 7,
        "routes": [route],
        "services": [service],
        "limits": limits,
    }


class Deployment:
    """The stand-ins and the programs of one play.

    Attributes:
        record: The record of the play.
        fleet: The project's own processes.
        store: The platform's store.
        engines: The model runners.
        answers: Statuses that clients got, 0 for none.
        adapters: The adapter that each attempt asked for.
    """

    def __init__(
        self,
        record: record_lib.Record,
        *,
        gateways: int,
        engines: int,
        slots: int,
        adapters: int,
    ) -> None:
        """Creates stand-ins; nothing is started.

        Args:
            record: The record of the play.
            gateways: Number of edge machines.
            engines: Number of model runners, each with a side machine.
            slots: Places for adapters at each runner.
            adapters: Number of adapters of the model.
        """
        self.record = record
        self.fleet = fleet_lib.Fleet(gateways)
        self.store = store_lib.Store(record)
        self.store.put("config", "main", manifest(adapters, slots))
        self.engines = [
            engine_lib.Engine(f"i-{one + 1:04x}", MODEL, slots, record)
            for one in range(engines)
        ]
        self.answers: collections.Counter[int] = collections.Counter()
        self.adapters: dict[str, str] = {}
        self._engine_addresses: list[str] = []
        self._gateways = gateways

    async def start(self) -> None:
        """Starts the stand-ins, then the programs."""
        await http.serve(self.store.handle, *self.fleet.store_address)
        for index, engine in enumerate(self.engines):
            ip = self.fleet.ip(101 + index)
            port = fleet_lib.free_port(ip)
            await http.serve(engine.handle, ip, port)
            self._engine_addresses.append(f"{ip}:{port}")
        self._check_in()
        for index, address in enumerate(self._engine_addresses):
            self.fleet.start_sidecar(index, address)
        for index in range(self._gateways):
            self.fleet.start_gateway(index)
        await self.wait_ready()
        await asyncio.sleep(LEAD_S)

    async def wait_ready(self) -> None:
        """Waits until all gateways report that they are ready."""
        for index in range(self._gateways):
            await self.fleet.wait_ready(index)

    def _check_in(self) -> None:
        addresses = self._engine_addresses
        for engine, address in zip(self.engines, addresses, strict=True):
            entry = engine.entry(SERVICE, address, "zone-a")
            self.store.put("servers", engine.name, entry)

    async def check_ins(self) -> None:
        """Writes the runners' entries at their interval."""
        while True:
            await asyncio.sleep(fleet_lib.HEARTBEAT_MS / 1_000)
            if not self.store.refuses:
                self._check_in()

    def write_version(self, adapter: str, version: int) -> int:
        """Names a version of an adapter, as the operator does.

        Returns:
            The store's revision of the change.
        """
        for engine in self.engines:
            engine.newest[adapter] = version
        spec = {"model": MODEL, "adapter": adapter, "version": version}
        return self.store.put("versions", f"{MODEL}.{adapter}", spec)

    async def ask(
        self, connection: http.Client, gateway: int, adapter: str
    ) -> http.Response:
        """Sends one request and reads its answer.

        Args:
            connection: The client's connection to the gateway.
            gateway: Number of the gateway, for the record.
            adapter: The adapter that it asks for.
        """
        number = len(self.adapters) + 1
        attempt = f"{gateway:02x}{number:014x}"
        self.adapters[attempt] = adapter
        headers = {
            "Host": HOST,
            "X-Attempt-Id": attempt,
            "X-Model": f"{MODEL}/{adapter}",
            "X-Token-Count": "646,70",
            "X-Prompt-Prefix": f"5c1e07a2:155,{number:08x}:491",
            "X-Deadline-Ms": str(DEADLINE_MS),
        }
        self.record.write(
            "sent", attempt=attempt, gateway=gateway, adapter=adapter
        )
        answer = await connection.call(
            "POST", "/chat/x", headers, b"x" * 1_300, DEADLINE_MS / 1_000
        )
        self.answers[answer.status] += 1
        self.record.write(
            "answered",
            attempt=attempt,
            status=answer.status,
            complete=answer.complete,
        )
        return answer


async def run_until_first_ends(
    *work: Awaitable[None], timeout_s: float | None = None
) -> None:
    """Runs tasks until one of them ends, and cancels the others.

    Raises:
        Exception: The exception of a task that failed.
    """
    tasks = [asyncio.ensure_future(one) for one in work]
    done, _ = await asyncio.wait(
        tasks, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
    )
    for task in tasks:
        task.cancel()
    await asyncio.wait(tasks)
    for task in done:
        task.result()


Play = Callable[[record_lib.Record, bool], tuple[Deployment, Awaitable[int]]]


def run_case(play: Play) -> int:
    """Runs a case and ends all processes; returns the exit status.

    Args:
        play: Makes a deployment and the work of the case, which returns the
            exit status. It gets the record, and whether the disruption is to
            take place.
    """
    record = record_lib.Record(pathlib.Path(sys.argv[1]))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    deployment, work = play(record, trouble)

    async def run() -> int:
        return await work

    try:
        status = asyncio.run(run())
    except (fleet_lib.CannotRunError, OSError) as error:
        record.write("not_run", reason=repr(error))
        status = 2
    finally:
        deployment.fleet.stop()
    record.write("exit", status=status)
    record.close()
    return status
