"""A leaving runner finishes an unframed stream while its daemon drains."""

import asyncio
import pathlib
import signal

from second import client
from second import site as site_lib

EVENTS = 40
ROUTE = "long"
OPTIONS = ("--events", str(EVENTS), "--gap-ms", "100", "--unframed")


async def play(site: site_lib.Site) -> bool:
    """Plays the case; returns whether the rule held."""
    edge = site.host()
    machines = [site.host(), site.host()]
    routes = [
        site_lib.route(
            ROUTE, "streaming", site_lib.ENGINES, 5_000, gapTargetMs=600
        )
    ]
    site.store.put("config", "main", site_lib.manifest(3, routes))
    runners = {}
    for machine in machines:
        runners[machine] = site.start_runner(
            machine, site_lib.ENGINES, "--model", site_lib.MODEL, *OPTIONS
        )
        site.start_sidecar(machine)
    gateway = site.start_gateway(edge, [f"{edge}:{site_lib.CONTROL}"])
    await site.until_ready(edge)
    await asyncio.sleep(4)

    asked = asyncio.create_task(
        client.ask_once(
            f"{edge}:{site_lib.FRONT}",
            "POST",
            f"/{ROUTE}/2f",
            body=b"{}",
            left_ms=5_000,
            headers=[
                ("X-Model", site_lib.MODEL),
                ("X-Token-Count", "600,200"),
                ("X-Prompt-Prefix", "5c1e07a2:90,91bd3f06:510"),
            ],
        )
    )
    await asyncio.sleep(0.4)
    runs = [one for one in site.records() if one["what"] == "runs"]
    if len(runs) != 1:
        raise RuntimeError("no runner runs the request")
    machine = next(m for m in machines if f"{m}:" in runs[0]["who"])
    if site_lib.trouble():
        site.note("the runner is told to leave", machine=machine)
        runners[machine].signal(signal.SIGTERM)
        await asyncio.sleep(0.2)
        site.note("SIGTERM to the daemon")
        gateway.signal(signal.SIGTERM)
    answer = await asked
    site.note(
        "the client received",
        request=answer.attempt,
        status=answer.status,
        events=answer.events,
        complete=answer.complete,
        ended=answer.ended,
    )
    await asyncio.sleep(0.3)
    site.note(
        "the daemon wrote",
        log=[
            line
            for line in gateway.log_text().splitlines()
            if answer.attempt in line
        ],
    )
    whole = [r for r in site.records() if r["what"] == "answered whole"]
    if len(whole) != 1:
        raise RuntimeError("the runner did not answer whole")
    return answer.complete and answer.events == list(range(1, EVENTS + 1))


RECORD = pathlib.Path(__file__).resolve().parent / "record.txt"
site_lib.run(RECORD, play)
