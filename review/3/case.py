"""DRAIN: a silent channel to the store keeps a runner that has left in use."""

import asyncio
from collections.abc import Awaitable
import random
import sys
from typing import Any

from standins import deployment as deployment_lib
from standins import fleet as fleet_lib
from standins import http
from standins import plain as plain_lib
from standins import record as record_lib

GATEWAYS = 2
RUNNERS = 6
CLIENTS_PER_GATEWAY = 14
PAUSE_S = 0.05
DEADLINE_MS = 3_000
HOST = "counter.example"
SERVICE = "counter"
ROUNDS = 9
ROUND_S = (8.5, 11.0)
# All open channels to the store fall silent; then one runner of six leaves: its
# entry is removed, it serves on for drainMs and a little longer, and exits.
LEAVES_AFTER_S = 3.05
SERVES_ON_S = 2.6
# Bounds of the sheet.
DRAIN_S = 2.0
STABLE_S = 3.0


def manifest() -> dict[str, Any]:
    """Returns a manifest with one route to one plain service."""
    both = deployment_lib.manifest(1, 1)
    route = {
        "name": "counter",
        "host": HOST,
        "pathPrefix": "/counter/",
        "service": SERVICE,
        "type": "non_idempotent",
        "maxAttempts": 1,
        "timeoutMs": DEADLINE_MS,
        "targetLatencyMs": 300,
        "priority": 0,
    }
    service = {
        "name": SERVICE,
        "maxConnections": 110,
        "healthPath": "/healthz",
    }
    return both | {"routes": [route], "services": [service]}


class Case:
    """One play of the case."""

    def __init__(
        self, deployment: deployment_lib.Deployment, *, trouble: bool
    ) -> None:
        """Creates the runners; nothing is started."""
        self.deployment = deployment
        self.trouble = trouble
        self.runners: list[plain_lib.PlainRunner] = []
        self.silent_at_s: list[float] = []
        self.statuses: dict[str, int] = {}
        self._attempts = 0
        deployment.store.put("config", "main", manifest())

    async def add_runner(self) -> None:
        """Starts a runner and writes its entry."""
        deployment = self.deployment
        number = len(self.runners)
        runner = plain_lib.PlainRunner(f"i-{number:04x}", deployment.record)
        self.runners.append(runner)
        ip = deployment.fleet.ip(101 + number)
        port = fleet_lib.free_port(ip)
        await runner.start(ip, port)
        entry = runner.entry(SERVICE, f"{ip}:{port}", "zone-a")
        deployment.store.put("servers", runner.name, entry)

    async def client(self, gateway: int) -> None:
        """Sends requests on a kept connection, one after the other."""
        deployment = self.deployment
        connection = http.Client(*deployment.fleet.front(gateway))
        while True:
            self._attempts += 1
            attempt = f"{gateway:02x}{self._attempts:014x}"
            headers = {
                "Host": HOST,
                "X-Attempt-Id": attempt,
                "X-Deadline-Ms": str(DEADLINE_MS),
            }
            deployment.record.write("sent", attempt=attempt, gateway=gateway)
            answer = await connection.call(
                "POST", "/counter/x", headers, b"z" * 600, DEADLINE_MS / 1_000
            )
            self.statuses[attempt] = answer.status
            deployment.record.write(
                "answered", attempt=attempt, status=answer.status
            )
            await asyncio.sleep(PAUSE_S)

    async def operate(self) -> None:
        """Lets one runner after the other leave, each time after a silence."""
        record, store = self.deployment.record, self.deployment.store
        await asyncio.sleep(4.0)
        for number in range(ROUNDS):
            if self.trouble:
                store.silence()
                self.silent_at_s.append(record.now_s())
                record.write("channels_to_store_silent")
            await asyncio.sleep(LEAVES_AFTER_S)
            runner = self.runners[number]
            store.delete("servers", runner.name)
            runner.left_at_s = record.now_s()
            record.write("entry_removed", runner=runner.name)
            await asyncio.sleep(SERVES_ON_S)
            runner.exit()
            record.write("exited", runner=runner.name)
            await asyncio.sleep(0.5)
            await self.add_runner()
            await asyncio.sleep(
                random.uniform(*ROUND_S) - LEAVES_AFTER_S - SERVES_ON_S - 0.5
            )

    def _is_in_touch(self, at_s: float) -> bool:
        """Whether the machines' channels were whole for stableWindowMs."""
        return not any(0 <= at_s - one <= STABLE_S for one in self.silent_at_s)

    def judge(self) -> int:
        """Writes what was seen; returns the exit status."""
        record = self.deployment.record
        late = []
        for runner in self.runners:
            if runner.left_at_s is None:
                continue
            for one in runner.arrivals:
                after_s = one.at_s - runner.left_at_s
                if after_s > DRAIN_S and self._is_in_touch(one.at_s):
                    late.append(one)
                    record.write(
                        "reached_too_late",
                        attempt=one.attempt,
                        runner=runner.name,
                        after_s=f"{after_s:.3f}",
                        answered=one.answered,
                        client_got=self.statuses.get(one.attempt),
                    )
        lost = [one for one in late if not one.answered]
        served = sum(status == 200 for status in self.statuses.values())
        record.write(
            "judged",
            answers=len(self.statuses),
            served=served,
            late=len(late),
            late_and_lost=len(lost),
        )
        if not served:
            return 2
        return 1 if late else 0

    async def run(self) -> int:
        """Plays the case to its end; returns the exit status."""
        for _ in range(RUNNERS):
            await self.add_runner()
        await self.deployment.start()
        clients = [
            self.client(gateway)
            for gateway in range(GATEWAYS)
            for _ in range(CLIENTS_PER_GATEWAY)
        ]
        await deployment_lib.run_until_first_ends(self.operate(), *clients)
        return self.judge()


def play(
    record: record_lib.Record, trouble: bool
) -> tuple[deployment_lib.Deployment, Awaitable[int]]:
    """Makes the deployment and the work of the case."""
    deployment = deployment_lib.Deployment(
        record, gateways=GATEWAYS, engines=0, slots=1, adapters=1
    )
    return deployment, Case(deployment, trouble=trouble).run()


if __name__ == "__main__":
    sys.exit(deployment_lib.run_case(play))
