"""Compares where origins of streams are kept.

Run it with ``python -m bench.stream_origins``. All ways get the same streams,
kills and losses, in virtual time, with the world of ``proofs.streams``. A way
reports the origin of a stream to some gateways and sidecars and asks some for
it. Figures: bytes per stream and per resume with UDP and IP headers, and the
share of resumed streams whose origin is found after their gateway, its whole
failure domain, or all gateways at once were lost, once or twice. Limits: no
latency, no CPU time.
"""

from collections.abc import Callable
import dataclasses
import enum
import random

import click
from radishstack.process import hash_ring
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
    """Who gets the origin of a stream, and who is asked.

    Attributes:
        holders: Selects the gateways that get it.
        asked: Selects the gateways that are asked.
        sidecar_count: Number of sidecars that get it; twice as many are asked.
    """

    holders: Select
    asked: Select
    sidecar_count: int = 0


_ASKED = _holders(stream_origins.QUERY_COUNT)
WAYS = {
    "2 holders": Way(_holders(2), _ASKED),
    "3 holders": Way(_holders(3), _ASKED),
    "2 in other domains": Way(_in_other_domains, _ASKED),
    "own record, ask all": Way(_nobody, _everybody),
    "tell all, ask nobody": Way(_everybody, _nobody),
    "3 holders, 1 sidecar": Way(_holders(3), _ASKED, 1),
    "3 holders, 2 sidecars": Way(_holders(3), _ASKED, 2),
    "2 holders, 2 sidecars": Way(_holders(2), _ASKED, 2),
    "3 sidecars": Way(_nobody, _nobody, 3),
}


class Loss(enum.Enum):
    """What is lost: a stream's gateway, its failure domain, or all gateways."""

    GATEWAY = "gateway"
    DOMAIN = "domain"
    ALL = "all"
    ALL_TWICE = "all, twice"


_ALL_LOST = (Loss.ALL, Loss.ALL_TWICE)


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """Size of the fleet, and which gateways are lost.

    Attributes:
        gateway_count: Number of gateways.
        domain_count: Number of failure domains.
        sidecar_count: Number of sidecars of the service.
        loss: What is lost.
    """

    gateway_count: int
    domain_count: int
    sidecar_count: int
    loss: Loss


SCENARIOS = tuple(
    Scenario(gateway_count, domain_count, sidecar_count, loss)
    for gateway_count, domain_count, sidecar_count in (
        (6, 3, 6),
        (21, 3, 42),
        (390, 9, 3_600),
    )
    for loss in Loss
)


def _add_sidecars(world: streams.World, count: int) -> hash_ring.HashRing:
    for number in range(count):
        world.sidecars[f"s{number}"] = stream_origins.StreamRecords()
    return hash_ring.make_ring(world.sidecars)


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
    ring = _add_sidecars(world, scenario.sidecar_count)
    world.sidecar_holders = lambda stream_id: ring.successors(
        stream_id, way.sidecar_count
    )
    world.sidecar_candidates = lambda stream_id: ring.successors(
        stream_id, 2 * way.sidecar_count
    )
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
        if scenario.loss is not Loss.DOMAIN or one.domain == lost_domain
    ]
    begun = [source.choice(owners).begin_stream() for _ in range(STREAM_COUNT)]
    report_bytes = sum(world.sent_bytes.values())
    found = wrong = 0
    if scenario.loss in _ALL_LOST:
        for gateway in gateways:
            gateway.restart()
    if scenario.loss is Loss.ALL_TWICE:
        for stream in begun:
            source.choice(gateways).resume_stream(stream)
        for gateway in gateways:
            gateway.restart()
    resume_bytes = -sum(world.sent_bytes.values())
    for stream in begun:
        lost = [
            one
            for one in gateways
            if one.name == stream.gateway
            or (scenario.loss is Loss.DOMAIN and one.domain == lost_domain)
        ]
        for gateway in lost:
            gateway.is_running = False
        resumed_at = source.choice([one for one in gateways if one.is_running])
        software_version = resumed_at.resume_stream(stream)
        found += bool(software_version)
        wrong += software_version not in ("", stream.software_version)
        for gateway in lost:
            gateway.is_running = True
    resume_bytes += sum(world.sent_bytes.values())
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
        lost = scenario.loss.value
        for name, way in WAYS.items():
            if scenario.loss in _ALL_LOST and not way.sidecar_count:
                # No gateway has a record left.
                continue
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
