"""Changes whose watch has lost its answer."""

import random
import time

from radishstack.connection import fleet_wire
from radishstack.process import change_lag
from radishstack.process import store_position
from standins import platform_site
from standins import web

from tests.fleet import fixtures

# Time within which a change must be in force.
APPLY_S = 2.0
VERSIONS = "versions"


def _at(revision: int, era: int = 1) -> store_position.StorePosition:
    return store_position.StorePosition(era, revision)


def test_a_change_whose_watch_lost_its_answer_is_read() -> None:
    """Guards against one gateway that applies a change seconds after others."""

    async def play(kind: str) -> None:
        async with fixtures.running_fleet(engines=0, plain=1) as fleet:
            gateways = [
                fleet.gateway,
                *await fixtures.add_gateways(fleet, 1),
            ]
            lost: list[web.Request] = []

            def loses(of_kind: str, request: web.Request) -> bool:
                is_lost = of_kind == kind and not lost
                lost.extend([request] * is_lost)
                return is_lost

            followers = [one.discovery.followers[kind] for one in gateways]
            await fleet.until(
                lambda: all(one.revision for one in followers), "both watch"
            )
            fleet.store.loses = loses
            began_s = time.monotonic()
            fleet.store.put("config", "main", fixtures.configuration(version=7))
            spec = {"model": platform_site.MODEL, "adapter": "a1", "version": 7}
            fleet.store.put(VERSIONS, f"{platform_site.MODEL}.a1", spec)
            adapter = f"{platform_site.MODEL}/a1"
            await fleet.until(
                lambda: all(
                    one.table.version == 7
                    and adapter in one.placement.announced
                    for one in gateways
                ),
                "both changes are applied",
            )
            assert lost
            assert time.monotonic() - began_s < APPLY_S

    async def play_both() -> None:
        for kind in ("config", VERSIONS):
            await play(kind)

    fixtures.run(play_both)


def test_a_claim_that_is_not_confirmed_is_ignored() -> None:
    """Guards against reads for ever because of a wrong position."""
    lag = change_lag.ChangeLag()
    lag.record({"config": _at(9)}, 1_000)
    read = {"config": _at(5)}
    times_ms = range(1_000, 20_000, 100)
    reads_ms = [now_ms for now_ms in times_ms if lag.missed(read, now_ms)]
    assert reads_ms == [1_300, 2_300], reads_ms
    lag.record({"config": _at(8)}, 20_000)
    assert not lag.missed(read, 30_000)
    lag.record({"config": _at(2, era=2)}, 30_000)
    assert lag.missed(read, 31_000) == ["config"]
    assert not lag.missed({"config": _at(2, era=2)}, 40_000)


def test_a_position_beyond_its_read_is_not_told() -> None:
    """Guards against an entry whose position becomes the fleet's."""
    positions = [_at(3), _at(2**62), _at(4)]
    assert change_lag.newest_change(positions, _at(5)) == _at(4)
    assert change_lag.newest_change([], _at(5)) == change_lag.NO_POSITION


def test_a_change_report_survives_the_wire() -> None:
    """Guards against a position that is cut between two gateways."""
    source = random.Random(1)
    positions = {
        kind: _at(source.randrange(2**63), source.randrange(2**40))
        for kind in ("config", "versions")
    }
    report = fleet_wire.ChangeReport(positions)
    assert fleet_wire.decode(fleet_wire.encode(report)) == report
