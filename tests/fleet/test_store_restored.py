"""What is believed once the platform's store was restored from an old copy."""

from typing import Any

from radishd import gateway as gateway_lib
from radishd.process import clock
from radishd.process import crash_record
from radishstack import result
from radishstack.process import crash_evidence
from radishstack.process import incarnation
from standins import platform_site
from standins import platform_store

from tests.fleet import fixtures

TARGETS = "servers"
CONFIGURATION = "config"
# Writes in the time that the store loses.
LOST_WRITES = 20
# An address that no test sends to.
MARK = "127.0.0.1:9"


def _usable(gateway: gateway_lib.Gateway) -> set[str]:
    """Returns the plain targets that a gateway sends requests to."""
    members = gateway.roster.usable(platform_site.PLAIN, clock.boot_ms())
    return {member.listing.instance for member in members}


def _spec(fleet: fixtures.Fleet, name: str, **fields: Any) -> dict[str, Any]:
    return fleet.store.objects[TARGETS][name]["spec"] | fields


async def _has_read_all(
    fleet: fixtures.Fleet, gateway: gateway_lib.Gateway
) -> None:
    """Waits until a gateway has seen the newest entry of the targets."""
    fleet.store.put(TARGETS, "i-marker", _spec(fleet, "i-plain0", address=MARK))
    revision = fleet.store.revision
    await fleet.until(
        lambda: (
            (known := gateway.knowledge.known[TARGETS].get("i-marker"))
            is not None
            and known.revision == revision
        ),
        "the gateway has read what the store holds",
    )


def _write_lost(fleet: fixtures.Fleet) -> None:
    """Has targets and the operator write what the store is to lose."""
    for number in range(LOST_WRITES):
        for name in list(fleet.store.objects[TARGETS]):
            spec = _spec(fleet, name, sequence=number)
            fleet.store.put(TARGETS, name, spec)
    version = 2
    fleet.store.put(CONFIGURATION, "main", platform_site.configuration(version))


async def _restore(
    fleet: fixtures.Fleet,
    snapshot: platform_store.Snapshot,
    *gateways: gateway_lib.Gateway,
) -> None:
    """Takes the store away for a moment and restores it from a copy."""
    fleet.store.faults.refuses = True
    for gateway in gateways:
        followers = gateway.knowledge.followers.values()
        for follower in followers:
            follower.renew()
        await fleet.until(
            lambda followers=followers: all(
                one.failing_since_ms for one in followers
            ),
            "the store is lost",
        )
    fleet.store.restore(snapshot)
    fleet.store.faults.refuses = False


def test_a_leaving_target_gets_no_work_after_the_store_was_restored() -> None:
    """Guards against entries that pass for old since revisions went back."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=2) as fleet:
            gateway = fleet.gateway
            snapshot = fleet.store.snapshot()
            _write_lost(fleet)
            await _has_read_all(fleet, gateway)
            await _restore(fleet, snapshot, gateway)
            await _has_read_all(fleet, gateway)
            spec = _spec(fleet, "i-plain0", state="draining")
            fleet.store.put(TARGETS, "i-plain0", spec)
            await _has_read_all(fleet, gateway)
            assert "i-plain0" not in _usable(gateway)
            assert "i-plain1" in _usable(gateway)

    fixtures.run(play)


def test_a_restored_entry_does_not_bring_a_leaving_target_back() -> None:
    """Guards against a copy from before the target said that it leaves."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=2) as fleet:
            gateway = fleet.gateway
            snapshot = fleet.store.snapshot()
            spec = _spec(fleet, "i-plain0", state="draining")
            fleet.store.put(TARGETS, "i-plain0", spec)
            await _has_read_all(fleet, gateway)
            assert "i-plain0" not in _usable(gateway)
            await _restore(fleet, snapshot, gateway)
            await _has_read_all(fleet, gateway)
            assert "i-plain0" not in _usable(gateway)

    fixtures.run(play)


def test_a_restored_entry_does_not_bring_a_removed_target_back() -> None:
    """Guards against a copy from before the target was removed."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=2) as fleet:
            gateway = fleet.gateway
            snapshot = fleet.store.snapshot()
            fleet.store.delete(TARGETS, "i-plain1")
            await _has_read_all(fleet, gateway)
            assert "i-plain1" not in _usable(gateway)
            await _restore(fleet, snapshot, gateway)
            await _has_read_all(fleet, gateway)
            assert "i-plain1" not in _usable(gateway)

    fixtures.run(play)


def test_a_target_of_the_lost_time_is_kept_until_it_registers_again() -> None:
    """Guards against a missing entry that passes for a target that ended."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=1) as fleet:
            gateway = fleet.gateway
            snapshot = fleet.store.snapshot()
            await fleet.add_target("i-new", engine=False)
            registered = _spec(fleet, "i-new")
            await _has_read_all(fleet, gateway)
            await _restore(fleet, snapshot, gateway)
            await _has_read_all(fleet, gateway)
            assert "i-new" in _usable(gateway)
            fleet.store.put(TARGETS, "i-new", registered)
            await _has_read_all(fleet, gateway)
            assert not gateway.roster.members["i-new"].lapses_at_ms

    fixtures.run(play)


def test_a_store_restored_between_two_calls_is_noticed() -> None:
    """Guards against a restored copy that no outage announces."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=1) as fleet:
            gateway = await fleet.add_gateway(heartbeat_ms=3_600_000)
            await fleet.until(lambda: not gateway.ready(), "it is up")
            snapshot = fleet.store.snapshot()
            await fleet.add_target("i-new", engine=False)
            await _has_read_all(fleet, gateway)
            fleet.store.restore(snapshot)
            await _has_read_all(fleet, gateway)
            assert "i-new" in _usable(gateway)

    fixtures.run(play)


def test_a_watch_over_a_restored_store_misses_nothing() -> None:
    """Guards against a revision that was given out again before the watch."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=2) as fleet:
            gateway = fleet.gateway
            snapshot = fleet.store.snapshot()
            await _has_read_all(fleet, gateway)
            known_revision = fleet.store.revision
            fleet.store.restore(snapshot)
            spec = _spec(fleet, "i-plain0", state="draining")
            fleet.store.put(TARGETS, "i-plain0", spec)
            while fleet.store.revision < known_revision:
                fleet.store.put(CONFIGURATION, "other", {})
            await _has_read_all(fleet, gateway)
            assert "i-plain0" not in _usable(gateway)

    fixtures.run(play)


def test_a_peer_tells_of_a_restored_store() -> None:
    """Guards against a gateway without the store that takes news for old."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=2) as fleet:
            faults = await fleet.add_store_road()
            cut_off = await fleet.add_gateway(store_host=fleet.store_road)
            await fleet.until(lambda: not cut_off.ready(), "it is up")
            snapshot = fleet.store.snapshot()
            _write_lost(fleet)
            await _has_read_all(fleet, fleet.gateway)
            await _has_read_all(fleet, cut_off)
            faults.refuses = True
            for follower in cut_off.knowledge.followers.values():
                follower.renew()
            await _restore(fleet, snapshot, fleet.gateway)
            await _has_read_all(fleet, fleet.gateway)
            spec = _spec(fleet, "i-plain0", state="draining")
            fleet.store.put(TARGETS, "i-plain0", spec)
            await _has_read_all(fleet, fleet.gateway)
            followers = cut_off.knowledge.followers.values()
            await fleet.until(
                lambda: all(one.failing_since_ms for one in followers),
                "it has lost the store",
            )
            cut_off.knowledge.take_known(fleet.gateway.knowledge.tell())
            assert "i-plain0" not in _usable(cut_off)

    fixtures.run(play)


def test_what_is_kept_of_crashes_is_written_again() -> None:
    """Guards against a quarantine that is lost with the store and a restart."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=2) as fleet:
            gateway = fleet.gateway
            snapshot = fleet.store.snapshot()
            now_ms = clock.boot_ms()
            record = crash_evidence.Record(
                "0" * 32,
                tuple(
                    crash_evidence.Observation(
                        incarnation.Start(f"i-{number}", 1),
                        now_ms - 1_000 * number - 100,
                        now_ms - 1_000 * number,
                    )
                    for number in (3, 2, 1)
                ),
            )
            gateway.crash_gossip.take([record], source="peer")
            assert gateway.crash_gossip.quarantine(record.fingerprint)
            await _has_read_all(fleet, gateway)
            await _restore(fleet, snapshot, gateway)
            await fleet.until(
                lambda: bool(fleet.store.objects.get(crash_record.KIND)),
                "the record is written again",
            )

    fixtures.run(play)


def test_a_late_answer_of_the_store_before_is_not_taken() -> None:
    """Guards against entries of a former era that are read after its end."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=1) as fleet:
            store = fleet.gateway.store
            assert store.era == fleet.store.era
            store.era += 1
            answer = await store.list(TARGETS)
            assert isinstance(answer, result.Failure), answer

    fixtures.run(play)
