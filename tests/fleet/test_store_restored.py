"""Which objects gateways use after the store is restored from a copy."""

from typing import Any

from radishd import gateway as gateway_lib
from radishd.process import clock
from radishd.process import crash_record
from radishstack import result
from radishstack.process import incarnation
from radishstack.process import roster as roster_lib
from radishstack.process import suspicion
from standins import platform_site
from standins import platform_store

from tests.fleet import fixtures

TARGETS = "servers"
CONFIGURATION = "config"
# Rounds of writes after the snapshot, which the restore discards.
LOST_WRITES = 20
# Address of an entry that only marks a position in the list.
MARKER_ADDRESS = "127.0.0.1:9"


def _usable(gateway: gateway_lib.Gateway) -> set[str]:
    """Returns the plain targets that a gateway sends requests to."""
    members = gateway.roster.usable(platform_site.PLAIN, clock.boot_ms())
    return {member.listing.instance for member in members}


def _spec(fleet: fixtures.Fleet, name: str, **fields: Any) -> dict[str, Any]:
    return fleet.store.objects[TARGETS][name]["spec"] | fields


async def _has_read_all(
    fleet: fixtures.Fleet, gateway: gateway_lib.Gateway
) -> None:
    """Writes a marker entry and waits until a gateway has read it."""
    fleet.store.put(
        TARGETS, "i-marker", _spec(fleet, "i-plain0", address=MARKER_ADDRESS)
    )
    revision = fleet.store.revision
    await fleet.until(
        lambda: (
            (known := gateway.discovery.known[TARGETS].get("i-marker"))
            is not None
            and known.revision == revision
        ),
        "the gateway has read what the store holds",
    )


def _write_discarded(fleet: fixtures.Fleet) -> None:
    """Writes targets and a configuration that the restore discards."""
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
    """Restores the store from a snapshot during an outage."""
    fleet.store.faults.refuses = True
    for gateway in gateways:
        followers = gateway.discovery.followers.values()
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
    """Guards against ignoring new entries whose revision is reused."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=2) as fleet:
            gateway = fleet.gateway
            snapshot = fleet.store.snapshot()
            _write_discarded(fleet)
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
    """Guards against a snapshot taken before the target was draining."""

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
    """Guards against a snapshot taken before the target was removed."""

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


def test_a_target_missing_from_the_snapshot_is_kept_until_it_registers() -> (
    None
):
    """Guards against dropping a running target whose entry was discarded."""

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
            assert not gateway.roster.members["i-new"].expires_at_ms

    fixtures.run(play)


def test_a_store_restored_between_two_calls_is_noticed() -> None:
    """Guards against missing a restore that no failed call precedes."""

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
    """Guards against resuming a watch from a revision that was reused."""

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


def test_a_peer_reports_a_restored_store() -> None:
    """Guards against ignoring a peer's entries of a later era."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=2) as fleet:
            faults = await fleet.add_store_address()
            cut_off = await fleet.add_gateway(
                store_host=fleet.second_store_host
            )
            await fleet.until(lambda: not cut_off.ready(), "it is up")
            snapshot = fleet.store.snapshot()
            _write_discarded(fleet)
            await _has_read_all(fleet, fleet.gateway)
            await _has_read_all(fleet, cut_off)
            faults.refuses = True
            for follower in cut_off.discovery.followers.values():
                follower.renew()
            await _restore(fleet, snapshot, fleet.gateway)
            await _has_read_all(fleet, fleet.gateway)
            spec = _spec(fleet, "i-plain0", state="draining")
            fleet.store.put(TARGETS, "i-plain0", spec)
            await _has_read_all(fleet, fleet.gateway)
            followers = cut_off.discovery.followers.values()
            await fleet.until(
                lambda: all(one.failing_since_ms for one in followers),
                "it has lost the store",
            )
            cut_off.discovery.apply_peer_objects(
                fleet.gateway.discovery.export_objects()
            )
            assert "i-plain0" not in _usable(cut_off)

    fixtures.run(play)


def test_crash_records_are_rewritten_after_a_restore() -> None:
    """Guards against losing a quarantine with the store's records."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=2) as fleet:
            gateway = fleet.gateway
            snapshot = fleet.store.snapshot()
            now_ms = clock.boot_ms()
            record = suspicion.Record(
                "0" * 32,
                tuple(
                    suspicion.Observation(
                        incarnation.IncarnationId(f"i-{number}", 1),
                        now_ms - 1_000 * number - 100,
                        now_ms - 1_000 * number,
                    )
                    for number in (3, 2, 1)
                ),
            )
            gateway.crash_gossip.merge([record], source="peer")
            assert gateway.crash_gossip.quarantine(record.fingerprint)
            await _has_read_all(fleet, gateway)
            await _restore(fleet, snapshot, gateway)
            await fleet.until(
                lambda: bool(fleet.store.objects.get(crash_record.KIND)),
                "the record is written again",
            )

    fixtures.run(play)


def _listing(**fields: Any) -> roster_lib.Listing:
    defaults = {
        "instance": "i-1",
        "service": platform_site.PLAIN,
        "address": "10.0.0.1:80",
        "failure_domain": "north",
        "leaving": False,
        "slot_count": 8,
        "listed_at": 10,
        "changed_at": 60,
        "born_ms": 1,
        "era": 1,
    }
    return roster_lib.Listing(**(defaults | fields))


def test_restored_twice_the_newest_era_counts() -> None:
    """Guards against handling only the first restore."""
    roster = roster_lib.Roster(2_500)
    roster.upsert(_listing(changed_at=84))
    roster.upsert(_listing(changed_at=72, leaving=True, era=2))
    roster.upsert(_listing(changed_at=80, era=1))
    assert roster.members["i-1"].listing.leaving
    # The second copy predates the entry that lists the target as draining.
    roster.upsert(_listing(changed_at=65, era=3))
    assert roster.members["i-1"].listing.leaving
    roster.upsert(_listing(changed_at=90, leaving=True, era=3))
    assert roster.members["i-1"].listing.changed_position.era == 3


def test_a_restored_target_is_used_if_it_stays_listed() -> None:
    """Guards against withholding a listed target indefinitely."""
    roster = roster_lib.Roster(2_500)
    roster.upsert(_listing())
    assert roster.remove("i-1", 1_000)
    assert roster.upsert(_listing(era=2)) is None
    assert not roster.apply_withheld(1_001)
    later_ms = 1_000 + roster_lib.REMOVED_RETENTION_MS
    (member,) = roster.apply_withheld(later_ms)
    assert roster.usable(platform_site.PLAIN, later_ms) == [member]


def test_a_target_that_registers_again_is_used_at_once() -> None:
    """Guards against withholding an entry newer than the removal."""
    roster = roster_lib.Roster(2_500)
    roster.upsert(_listing())
    assert roster.remove("i-1", 1_000)
    assert roster.upsert(_listing(era=2, changed_at=61)) is not None


def test_a_removal_does_not_apply_to_another_incarnation() -> None:
    """Guards against applying a removal to a new incarnation."""
    roster = roster_lib.Roster(2_500)
    roster.upsert(_listing())
    assert roster.remove("i-1", 1_000)
    assert roster.upsert(_listing(era=2, changed_at=50, born_ms=2)) is not None


def test_a_restored_former_incarnation_does_not_replace_the_running_one() -> (
    None
):
    """Guards against ignoring the running incarnation as an ended one."""
    roster = roster_lib.Roster(2_500)
    roster.upsert(_listing(changed_at=84, born_ms=2))
    roster.begin_grace(1_000)
    roster.upsert(_listing(era=2, born_ms=1))
    assert not roster.apply_withheld(1_001)
    assert roster.members["i-1"].listing.born_ms == 2
    roster.upsert(_listing(era=2, changed_at=61, born_ms=2, leaving=True))
    assert not roster.apply_withheld(5_000)
    assert not roster.usable(platform_site.PLAIN, 5_000)


def test_an_incarnation_registered_at_a_reused_revision_is_used() -> None:
    """Guards against withholding a new incarnation indefinitely."""
    roster = roster_lib.Roster(2_500)
    roster.upsert(_listing(changed_at=84))
    roster.begin_grace(1_000)
    roster.upsert(_listing(era=2, changed_at=61, born_ms=3))
    (member,) = roster.apply_withheld(5_000)
    assert member.listing.born_ms == 3
    # The previous incarnation is not marked as ended and may register again.
    roster.upsert(_listing(era=2, changed_at=70, born_ms=1))
    assert roster.members["i-1"].listing.born_ms == 1


def test_a_late_answer_of_a_former_era_is_rejected() -> None:
    """Guards against applying a delayed answer from before a restore."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=1) as fleet:
            store = fleet.gateway.store
            assert store.era == fleet.store.era
            store.era += 1
            answer = await store.list(TARGETS)
            assert isinstance(answer, result.Failure), answer

    fixtures.run(play)
