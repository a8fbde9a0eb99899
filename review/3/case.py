"""RECOVER: versions above 32 bits end the service of their adapters."""

import asyncio
import collections
from collections.abc import Awaitable
import os
import signal
import sys

from standins import deployment as deployment_lib
from standins import http
from standins import record as record_lib

GATEWAYS = 2
ENGINES = 2
SLOTS = 16
# Adapters in use, each by one client.
ADAPTERS = 30
PAUSE_S = 0.3
# Versions named by date and time, as 14 digits. The sheet sets no limit.
VERSION = int(os.environ.get("VERSION", "20261204100000"))
NAME_PAUSE_S = 0.02
BEFORE_S = 12.0
DOWN_S = 0.5
RECOVER_S = 12.0
AFTER_S = 15.0


class Case:
    """One play of the case."""

    def __init__(
        self, deployment: deployment_lib.Deployment, *, trouble: bool
    ) -> None:
        """Starts with the first version of each adapter."""
        self.deployment = deployment
        self.trouble = trouble
        self.names = [f"a{number}" for number in range(1, ADAPTERS + 1)]
        self.sent: list[tuple[float, int]] = []

    async def client(self, gateway: int, adapter: str) -> None:
        """Sends requests for one adapter, one after the other."""
        deployment = self.deployment
        connection = http.Client(*deployment.fleet.front(gateway))
        while True:
            sent_at_s = deployment.record.now_s()
            answer = await deployment.ask(connection, gateway, adapter)
            served = answer.status == 200 and answer.complete
            self.sent.append((sent_at_s, 1 if served else 0))
            await asyncio.sleep(PAUSE_S)

    async def name_versions(self) -> None:
        """Names a new version of each adapter in use."""
        for adapter in self.names:
            self.deployment.write_version(adapter, VERSION)
            self.deployment.record.write(
                "named", adapter=adapter, version=VERSION
            )
            await asyncio.sleep(NAME_PAUSE_S)

    async def operate(self) -> int:
        """Names versions; then all processes are killed and start again."""
        fleet, record = self.deployment.fleet, self.deployment.record
        await asyncio.sleep(BEFORE_S)
        if self.trouble:
            await self.name_versions()
        killed_at_s = record.now_s()
        record.write("killed_all")
        for name in fleet.names():
            fleet.signal(name, signal.SIGKILL)
        await asyncio.sleep(DOWN_S)
        for name in fleet.names():
            fleet.start(name)
        back_at_s = record.now_s()
        record.write("started_all")
        await asyncio.sleep(RECOVER_S + AFTER_S)
        return self.judge(killed_at_s, back_at_s)

    def _share(self, from_s: float, to_s: float) -> float:
        served = [one for at_s, one in self.sent if from_s <= at_s < to_s]
        return sum(served) / max(1, len(served))

    def judge(self, killed_at_s: float, back_at_s: float) -> int:
        """Writes what was seen; returns the exit status."""
        # Before the versions were named, and before the final fault.
        before = self._share(killed_at_s - BEFORE_S / 2, killed_at_s)
        after = self._share(back_at_s + RECOVER_S, float("inf"))
        by_second: collections.Counter[int] = collections.Counter()
        for at_s, served in self.sent:
            by_second[int(at_s)] += served
        self.deployment.record.write(
            "judged",
            served_before=f"{before:.3f}",
            served_after=f"{after:.3f}",
            served_by_second=dict(sorted(by_second.items())),
        )
        if before < 0.25:
            return 2
        return 1 if after < 0.25 else 0

    async def run(self) -> int:
        """Plays the case to its end; returns the exit status."""
        await self.deployment.start()
        clients = [
            asyncio.create_task(self.client(number % GATEWAYS, adapter))
            for number, adapter in enumerate(self.names)
        ]
        clients.append(asyncio.create_task(self.deployment.check_ins()))
        try:
            return await self.operate()
        finally:
            for task in clients:
                task.cancel()
            await asyncio.wait(clients)


def play(
    record: record_lib.Record, trouble: bool
) -> tuple[deployment_lib.Deployment, Awaitable[int]]:
    """Makes the deployment and the work of the case."""
    deployment = deployment_lib.Deployment(
        record,
        gateways=GATEWAYS,
        engines=ENGINES,
        slots=SLOTS,
        adapters=ADAPTERS,
    )
    return deployment, Case(deployment, trouble=trouble).run()


if __name__ == "__main__":
    sys.exit(deployment_lib.run_case(play))
