"""Compares where origins of streams are kept.

Run it with ``python -m bench.stream_origins``. All ways get the same streams,
kills and losses, in virtual time, with the world of ``proofs.streams``. A way
reports the origin of a stream to some gateways and asks some for it. Figures:
bytes per stream and per resume with UDP and IP headers, and the share of
resumed streams whose origin is found after their gateway, or its whole failure
domain, was lost. Limits: no latency, no CPU time.
"""

from collections.abc import Callable
import dataclasses
import random

import click
from radishstack.process import rendezvous
from radishstack.process import roster
from radishstack.process import stream_origins

from bench import report
from proofs import streams

STREAM_COUNT = 400
LOSS = 0.01
# Fraction of the gateways that a gateway does not know yet, or any more.
UNKNOWN_FRACTION = 0.05

Select = Callable[[streams.Gateway, int], list[str]]


def _ordered(gateway: streams.Gateway, stream_id: int, count: int) -> list[str]:
    return rendezvous.order(str(stream_id), gateway.others(), count)


def _holders(count: int) -> Select:
    return lambda gateway, stream_id: _ordered(gateway, stream_id, count)


def _in_other_domains(gateway: streams.Gateway, stream_id: int) -> list[str]:
    """Selects two gateways, in other failure domains if they are near."""
    ordered = _ordered(gateway, stream_id, stream_origins.QUERY_COUNT)
    domains = {gateway.domain}
    chosen = []
    for name in ordered:
        domain = gateway.world.gateways[name].domain
        if domain not in domains:
            domains.add(domain)
            chosen.append(name)
    rest = [name for name in ordered if name not in chosen]
    return (chosen + rest)[:2]


def _nobody(gateway: streams.Gateway, stream_id: int) -> list[str]:
    del gateway, stream_id
    return []


def _everybody(gateway: streams.Gateway, stream_id: int) -> list[str]:
    del stream_id
    return gateway.others()


@dataclasses.dataclass(frozen=True, slots=True)
class Way:
    """Which gateways get the origin of a stream, and which are asked."""

    holders: Select
    asked: Select


_ASKED = _holders(stream_origins.QUERY_COUNT)
WAYS = {
    "2 holders": Way(_holders(2), _ASKED),
    "3 holders": Way(_holders(3), _ASKED),
    "2 in other domains": Way(_in_other_domains, _ASKED),
    "own record, ask all": Way(_nobody, _everybody),
    "tell all, ask nobody": Way(_everybody, _nobody),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """Size of the fleet, and which gateways are lost.

    Attributes:
        gateway_count: Number of gateways.
        domain_count: Number of failure domains.
        loses_domain: Whether the whole failure domain of a stream's gateway is
            lost, or only this gateway.
    """

    gateway_count: int
    domain_count: int
    loses_domain: bool


SCENARIOS = tuple(
    Scenario(gateway_count, domain_count, loses_domain)
    for gateway_count, domain_count in ((6, 3), (21, 3), (390, 9))
    for loses_domain in (False, True)
)


def simulate(way: Way, scenario: Scenario, seed: int) -> dict[str, float]:
    """Simulates a scenario with one way.

    Args:
        way: Where origins are kept.
        scenario: Fleet and loss.
        seed: Seed of all random choices.

    Returns:
        The figures "found", "bytes_per_stream", "bytes_per_resume", "wrong".
    """
    source = random.Random(seed)
    world = streams.World(scenario.gateway_count, scenario.domain_count, source)
    world.holders, world.candidates = way.holders, way.asked
    for software_version in ("v1", "v1", "v2", "v2"):
        world.start_target(software_version)
    world.advance(2 * streams.MAX_LIST_DELAY_MS)
    gateways = list(world.gateways.values())
    for gateway in gateways:
        gateway.unknown = {
            name
            for name in world.gateways
            if source.random() < UNKNOWN_FRACTION
        }
    world.loss = LOSS
    lost_domain = 0
    owners = [
        one
        for one in gateways
        if not scenario.loses_domain or one.domain == lost_domain
    ]
    begun = [source.choice(owners).begin_stream() for _ in range(STREAM_COUNT)]
    report_bytes = sum(world.sent_bytes.values())
    found = wrong = 0
    for stream in begun:
        lost = [
            one
            for one in gateways
            if one.name == stream.gateway
            or (scenario.loses_domain and one.domain == lost_domain)
        ]
        for gateway in lost:
            gateway.is_running = False
        resumed_at = source.choice([one for one in gateways if one.is_running])
        software_version = resumed_at.resume_stream(stream)
        found += bool(software_version)
        wrong += software_version not in ("", stream.software_version)
        for gateway in lost:
            gateway.is_running = True
    resume_bytes = sum(world.sent_bytes.values()) - report_bytes
    return {
        "found": found / STREAM_COUNT,
        "wrong": wrong,
        "bytes_per_stream": report_bytes / STREAM_COUNT,
        "bytes_per_resume": resume_bytes / STREAM_COUNT,
    }


Preferred = Callable[[list[roster.Member]], list[roster.Member]]
PLACEMENTS: dict[str, Preferred] = {
    "where others can continue": stream_origins.replaceable,
    "any target": lambda members: members,
}
TARGET_COUNT = 6
RELEASE_STEP_MS = 4_000
STREAMS_PER_STEP = 200


def simulate_release(preferred: Preferred, seed: int) -> dict[str, float]:
    """Replaces all targets one by one, each by one of the next version.

    At each step, streams begin and their targets crash.

    Args:
        preferred: Selects the targets at which streams begin.
        seed: Seed of all random choices.

    Returns:
        Under "can_continue" the share of streams of whose version another
        target runs.
    """
    world = streams.World(1, 1, random.Random(seed))
    world.preferred = preferred
    for _ in range(TARGET_COUNT):
        world.start_target("v1")
    world.advance(RELEASE_STEP_MS)
    (gateway,) = world.gateways.values()
    can_continue = 0
    for old in list(world.targets):
        world.start_target("v2")
        world.advance(RELEASE_STEP_MS)
        for _ in range(STREAMS_PER_STEP):
            stream = gateway.begin_stream()
            count = sum(
                one.is_running
                and one.software_version == stream.software_version
                for one in world.targets
            )
            can_continue += count > 1
        world.end_target(old)
        world.advance(RELEASE_STEP_MS)
    return {"can_continue": can_continue / (TARGET_COUNT * STREAMS_PER_STEP)}


@click.command()
@click.option("--seed", default=1, show_default=True)
def main(seed: int) -> None:
    """Compares the ways in all scenarios."""
    rows = []
    results = {}
    for scenario in SCENARIOS:
        lost = "domain" if scenario.loses_domain else "gateway"
        for name, way in WAYS.items():
            figures = simulate(way, scenario, seed)
            results[f"{name}/{scenario.gateway_count}/{lost}"] = figures
            rows.append([scenario.gateway_count, lost, name, *figures.values()])
    headings = ["gateways", "lost", "way", "found", "wrong"]
    headings += ["bytes_per_stream", "bytes_per_resume"]
    print(report.table(headings, rows))
    for name, preferred in PLACEMENTS.items():
        figures = simulate_release(preferred, seed)
        results[f"{name}/release"] = figures
        print(f"release, {name}: {figures['can_continue']:.3f} can continue")
    report.save("stream-origins", results)


if __name__ == "__main__":
    main()
