"""TWICE: a request runs twice after a late second answer to its rejection."""

import asyncio
import collections
from collections.abc import Awaitable
import random
import sys

from standins import deployment as deployment_lib
from standins import http
from standins import record as record_lib

# As on the sheet of the site: 6 edge machines; fewer runners and adapters.
GATEWAYS = 6
ENGINES = 2
SLOTS = 4
ADAPTERS = 14
PLAY_S = 90.0
# Each client sends a request, waits for its answer, and pauses.
CLIENTS_PER_GATEWAY = 3
PAUSE_S = 0.06
# The dose of the site file: "extra late", share 0.6, x 0.03, for 5 s. Here it
# is one runner of two, and 5 s in 10.
EXTRA_SHARE = 0.03
EXTRA_FOR_S = 5.0


async def client(deployment: deployment_lib.Deployment, gateway: int) -> None:
    """Sends requests on a kept connection, one after the other."""
    connection = http.Client(*deployment.fleet.front(gateway))
    while True:
        adapter = f"a{random.randint(1, ADAPTERS)}"
        await deployment.ask(connection, gateway, adapter)
        await asyncio.sleep(PAUSE_S)


async def disrupt(deployment: deployment_lib.Deployment) -> None:
    """Lets one runner send late second answers, 5 s in 10."""
    engine = deployment.engines[0]
    while True:
        await asyncio.sleep(EXTRA_FOR_S)
        engine.answers = engine.extras = 0
        engine.extra_share = EXTRA_SHARE
        await asyncio.sleep(EXTRA_FOR_S)
        engine.extra_share = 0.0


def judge(deployment: deployment_lib.Deployment) -> int:
    """Writes what was seen; returns the exit status."""
    runs = collections.Counter(
        run.attempt for engine in deployment.engines for run in engine.runs
    )
    twice = [attempt for attempt, count in runs.items() if count > 1]
    deployment.record.write(
        "judged", answers=dict(deployment.answers), ran=len(runs), twice=twice
    )
    if not deployment.answers[200]:
        return 2
    return 1 if twice else 0


async def _run(deployment: deployment_lib.Deployment, trouble: bool) -> int:
    await deployment.start()
    work = [deployment.check_ins()]
    work += [
        client(deployment, gateway)
        for gateway in range(GATEWAYS)
        for _ in range(CLIENTS_PER_GATEWAY)
    ]
    if trouble:
        work.append(disrupt(deployment))
    await deployment_lib.run_until_first_ends(*work, timeout_s=PLAY_S)
    return judge(deployment)


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
    return deployment, _run(deployment, trouble)


if __name__ == "__main__":
    sys.exit(deployment_lib.run_case(play))
