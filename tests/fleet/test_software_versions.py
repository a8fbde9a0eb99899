"""Streams while targets of several software versions serve side by side."""

import collections
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib

from radishd import gateway as gateway_lib
from radishd.process import clock
from radishstack.connection import fleet_wire
from radishstack.process import hash_ring
from radishstack.process import roster as roster_lib
from radishstack.process import stream_origins
from standins import platform_engine
from standins import platform_store

from tests.fleet import fixtures

Fault = platform_engine.Fault
ADAPTER = "a1"
# The stand-in's fault CUT_MIDWAY ends a stream after this event.
LAST_BEFORE_CUT = 1
# Low enough that no target counts as degraded.
FAILURE_SHARE_STEP = 0.1
LIFETIME_MS = 17_000
ORIGIN = stream_origins.Origin("llm", "v1")


@contextlib.asynccontextmanager
async def _fleet(*software_versions: str) -> AsyncIterator[fixtures.Fleet]:
    """Runs one engine for each software version; all hold the adapter."""
    async with fixtures.running_fleet(engines=0, plain=1) as fleet:
        for number, software_version in enumerate(software_versions):
            engine = await fleet.add_target(
                f"i-engine{number}",
                engine=True,
                software_version=software_version,
            )
            engine.adapters[ADAPTER] = 1
        await _knows_engines(fleet, fleet.gateway)
        yield fleet


async def _knows_engines(
    fleet: fixtures.Fleet, gateway: gateway_lib.Gateway
) -> None:
    def known() -> bool:
        views = gateway.placement.views.values()
        return len(views) == len(_engines(fleet)) and all(
            f"{fixtures.MODEL}/{ADAPTER}" in view.residents for view in views
        )

    await fleet.until(known, "the gateway knows which engines hold the adapter")


def _engines(fleet: fixtures.Fleet) -> list[platform_engine.PlatformEngine]:
    return [one for one in fleet.targets.values() if one.model]


def _cut_first(fleet: fixtures.Fleet) -> None:
    """Makes the first engine that runs a request cut its stream."""
    cut: list[str] = []

    def cut_once(seen: platform_engine.ReceivedRequest) -> Fault:
        cut.append(seen.attempt_id)
        return Fault.CUT_MIDWAY if len(cut) == 1 else Fault.NONE

    for engine in _engines(fleet):
        engine.fault = cut_once


def _runners(fleet: fixtures.Fleet, attempt_id: str) -> list[str]:
    """Returns the software versions that ran an attempt."""
    return [
        engine.software_version
        for engine in _engines(fleet)
        for ran in engine.ran
        if ran == attempt_id
    ]


def _prefer(
    gateway: gateway_lib.Gateway, *ordered: platform_engine.PlatformEngine
) -> None:
    """Makes a gateway choose engines in an order; those not named come last."""
    names = [engine.instance for engine in ordered]
    for name, member in gateway.roster.members.items():
        rank = names.index(name) if name in names else len(names)
        member.health.failure_share = rank * FAILURE_SHARE_STEP


def test_a_retry_does_not_continue_at_another_software_version() -> None:
    """Guards against one response with events of two software versions.

    The only other target runs other software. The stream is aborted, so that
    its caller notices.
    """

    async def play() -> None:
        async with _fleet("v1", "v2") as fleet:
            _cut_first(fleet)
            answer = await fleet.call("/long/x", adapter=ADAPTER, attempt="a0")
            assert answer.status == 200 and not answer.whole, answer
            assert len(_runners(fleet, "a0")) == 1

    fixtures.run(play)


def test_a_retry_continues_at_the_same_software_version() -> None:
    """Guards against losing a stream that another target could continue.

    The target of the other software version would be chosen first.
    """

    async def play() -> None:
        async with _fleet("v1", "v1", "v2") as fleet:
            _cut_first(fleet)
            first, _, other = _engines(fleet)
            _prefer(fleet.gateway, first, other)
            answer = await fleet.call("/long/x", adapter=ADAPTER, attempt="a1")
            assert answer.whole, answer
            assert _runners(fleet, "a1") == ["v1", "v1"]
            assert not other.ran

    fixtures.run(play)


async def _begin_at_first_engine(fleet: fixtures.Fleet, attempt: str) -> None:
    """Begins a stream at the first engine, whose crash cuts it."""
    first = _engines(fleet)[0]
    _prefer(fleet.gateway, first)
    for engine in _engines(fleet):
        engine.fault = lambda seen: Fault.CUT_MIDWAY
    answer = await fleet.call("/long/x", adapter=ADAPTER, attempt=attempt)
    assert answer.status == 200 and not answer.whole, answer
    for engine in _engines(fleet):
        engine.fault = lambda seen: Fault.NONE
        engine.ran.clear()


async def _resume(
    fleet: fixtures.Fleet, gateway: gateway_lib.Gateway, attempt: str
) -> fixtures.Answer:
    return await fleet.call(
        "/long/x",
        adapter=ADAPTER,
        attempt=f"{attempt}-next",
        gateway=gateway,
        Resumes=attempt,
        Last_Event_Id=str(LAST_BEFORE_CUT),
    )


async def _add_gateway(fleet: fixtures.Fleet) -> gateway_lib.Gateway:
    """Adds a gateway that the first one knows, and the other way round."""
    first = fleet.gateway
    gateway = await fleet.add_gateway(seeds=(first.own.peers,))
    await _knows_engines(fleet, gateway)
    await fleet.until(
        lambda: gateway.own.peers in first.peers.addresses,
        "the gateways know each other",
    )
    return gateway


def test_a_caller_does_not_resume_at_another_software_version() -> None:
    """Guards against a stream with events of two software versions.

    A caller resumes its stream at another gateway, which knows only a target
    of the other software version.
    """

    async def play() -> None:
        async with _fleet("v1", "v2") as fleet:
            gateway = await _add_gateway(fleet)
            await _begin_at_first_engine(fleet, "b0")
            first, other = _engines(fleet)
            assert gateway.roster.drop(first.instance)
            answer = await _resume(fleet, gateway, "b0")
            assert answer.status == 503, answer
            assert not other.ran and not first.ran

    fixtures.run(play)


def test_a_caller_resumes_at_the_same_software_version() -> None:
    """Guards against losing streams that callers resume at another gateway.

    The target of the other software version would be chosen first.
    """

    async def play() -> None:
        async with _fleet("v1", "v1", "v2") as fleet:
            gateway = await _add_gateway(fleet)
            await _begin_at_first_engine(fleet, "b1")
            *_, other = _engines(fleet)
            _prefer(gateway, other)
            answer = await _resume(fleet, gateway, "b1")
            assert answer.status == 200 and answer.whole, answer
            assert not other.ran

    fixtures.run(play)


def test_a_restart_under_the_same_name_may_change_the_software() -> None:
    """Guards against the software version of a former incarnation.

    Its sidecar reports the restart before the list shows the new entry.
    """
    roster = roster_lib.Roster(2_500)
    listing = roster_lib.Listing(
        instance="i1",
        service="llm",
        address="10.0.0.1:80",
        failure_domain="north",
        leaving=False,
        slot_count=8,
        changed_at=1,
        born_ms=5_000,
        software_version="v1",
    )
    roster.upsert(listing)
    restarted = roster.restarted(
        roster_lib.incarnation.IncarnationId("i1", 9_000), 5_000
    )
    assert restarted.listing.software_version == ""


def test_a_new_stream_begins_where_it_could_continue() -> None:
    """Guards against a stream whose only target of a version fails."""

    async def play() -> None:
        async with _fleet("v1", "v1", "v2") as fleet:
            first, _, alone = _engines(fleet)
            _prefer(fleet.gateway, alone, first)
            answer = await fleet.call("/long/x", adapter=ADAPTER, attempt="c0")
            assert answer.whole, answer
            assert first.ran == ["c0"]

    fixtures.run(play)


def test_a_gateway_without_a_record_asks_the_holders() -> None:
    """Guards against losing a stream whose gateway was killed.

    The caller resumes at a gateway that holds no record of the stream.
    """

    async def play() -> None:
        async with _fleet("v1", "v1", "v2") as fleet:
            gateways = [await _add_gateway(fleet) for _ in range(4)]
            first = fleet.gateway
            await fleet.until(
                lambda: all(
                    len(one.peers.recent_addresses) == len(gateways)
                    for one in (first, *gateways)
                ),
                "the gateways know each other",
            )
            await _begin_at_first_engine(fleet, "d0")
            # It answers no query any more.
            first.socket = None
            stream_id = stream_origins.stream_id_of("d0")
            hosts = [one.own.peers.partition(":")[0] for one in gateways]
            holders = stream_origins.holders(stream_id, hosts)
            (other,) = [
                gateway
                for gateway, host in zip(gateways, hosts, strict=True)
                if host not in holders
            ]
            answer = await _resume(fleet, other, "d0")
            assert answer.status == 200 and answer.whole, answer
            assert _runners(fleet, "d0-next") == ["v1"]

    fixtures.run(play)


async def _replace_gateway(fleet: fixtures.Fleet) -> gateway_lib.Gateway:
    """Starts a gateway that cannot reach the first one, as after its loss."""
    fleet.gateway.socket = None
    gateway = await fleet.add_gateway()
    await _knows_engines(fleet, gateway)
    return gateway


def test_a_stream_continues_after_all_gateways_were_lost() -> None:
    """Guards against streams that are lost although their version serves.

    All gateways lose power at once, with all records of streams. The sidecars
    keep running. A second loss follows.
    """

    async def play() -> None:
        async with _fleet("v1", "v1", "v2") as fleet:
            *_, other = _engines(fleet)
            await _begin_at_first_engine(fleet, "h0")
            for number in range(2):
                gateway = await _replace_gateway(fleet)
                _prefer(gateway, other)
                answer = await _resume(fleet, gateway, "h0")
                assert answer.status == 200 and answer.whole, (number, answer)
                assert _runners(fleet, "h0-next") == ["v1"] * (number + 1)
                gateway.socket = None
            assert not other.ran

    fixtures.run(play)


def test_a_stream_is_not_joined_after_all_gateways_were_lost() -> None:
    """Guards against a stream that continues at the only version left.

    The targets of its version leave while all gateways are down.
    """

    async def play() -> None:
        async with _fleet("v1", "v1", "v2") as fleet:
            *old, other = _engines(fleet)
            await _begin_at_first_engine(fleet, "i0")
            for engine in old:
                await engine.stop()
                fleet.store.delete("servers", engine.instance)
                del fleet.targets[engine.instance]
            gateway = await _replace_gateway(fleet)
            answer = await _resume(fleet, gateway, "i0")
            assert answer.status == 503, answer
            # Neither does it without any record.
            answer = await _resume(fleet, gateway, "i1")
            assert answer.status == 503, answer
            assert not other.ran

    fixtures.run(play)


def test_the_rest_of_a_deadline_is_not_the_age_of_a_stream() -> None:
    """Guards against a join of two versions after a stream of a long deadline.

    A gateway that started after the targets of the old version had left has
    observed one version for longer than the rest of the caller's deadline, and
    for less than the stream's age.
    """

    async def play() -> None:
        async with _fleet("v2", "v2") as fleet:
            history = fleet.gateway.stream_origins.history
            members = fleet.gateway.roster.members.values()
            listings = [one.listing for one in members]
            history.restart()
            observed_ms = stream_origins.MAX_RETENTION_MS - 10_000
            for ago_ms in (observed_ms, 0):
                history.observe(
                    listings, clock.boot_ms() - ago_ms, is_current=True
                )
            answer = await _resume(fleet, fleet.gateway, "j0")
            assert answer.status == 503, answer
            assert not any(one.ran for one in _engines(fleet))

    fixtures.run(play)


def test_a_history_is_never_longer_than_its_process() -> None:
    """Guards against a gateway that vouches for a time before its start.

    After a start, a pause or an outage, its view begins anew.
    """
    history = stream_origins.VersionHistory()
    assert history.view("llm", LIFETIME_MS, 10**9) == stream_origins.NO_VIEW
    listing = roster_lib.Listing(
        instance="i1",
        service="llm",
        address="10.0.0.1:80",
        failure_domain="north",
        leaving=False,
        slot_count=8,
        software_version="v1",
    )
    for begin_ms in (10**9, 2 * 10**9):
        history.observe([listing], begin_ms, is_current=True)
        view = history.view("llm", LIFETIME_MS, begin_ms + 5)
        assert view.sole_for_ms == 5
        history.restart()
        view = history.view("llm", LIFETIME_MS, begin_ms + 6)
        assert view == stream_origins.NO_VIEW
    history.observe([listing], 3 * 10**9, is_current=False)
    view = history.view("llm", LIFETIME_MS, 3 * 10**9)
    assert view == stream_origins.NO_VIEW


def test_a_key_has_the_same_holders_as_names_change() -> None:
    """Guards against records that are not found after a sidecar was replaced.

    At most one of the holders changes, and those that are asked include the
    others.
    """
    names = [f"10.0.{number}.1" for number in range(40)]
    ring = hash_ring.make_ring(names)
    loads = collections.Counter()
    for stream in range(400):
        key = stream_origins.stream_id_of(str(stream))
        holders = stream_origins.sidecar_holders(key, ring)
        loads.update(holders)
        assert len(set(holders)) == stream_origins.SIDECAR_HOLDER_COUNT
        for gone in (holders[0], names[stream % len(names)]):
            left = [one for one in names if one != gone] + [f"new-{stream}"]
            asked = stream_origins.sidecar_candidates(
                key, hash_ring.make_ring(left)
            )
            assert set(holders) - {gone} <= set(asked)
    assert len(loads) == len(names)
    assert hash_ring.make_ring([]).successors(1, 2) == []
    assert hash_ring.make_ring(["a"]).successors(1, 2) == ["a"]
    assert hash_ring.make_ring(["a"]).successors(1, 0) == []


def test_a_stream_of_unknown_origin_does_not_continue() -> None:
    """Guards against a guess where several software versions serve.

    Its caller names an attempt that no gateway knows, or none.
    """

    async def play() -> None:
        async with _fleet("v1", "v1", "v2") as fleet:
            for headers in ({"Resumes": "e0"}, {}):
                answer = await fleet.call(
                    "/long/x",
                    adapter=ADAPTER,
                    attempt="e0-next",
                    Last_Event_Id="1",
                    **headers,
                )
                assert answer.status == 503, answer
                assert b"stream_origin_unknown" in answer.body, answer
                assert not _runners(fleet, "e0-next")

    fixtures.run(play)


def test_a_stream_of_unknown_origin_continues_at_the_only_version() -> None:
    """Guards against rejecting streams after all gateways have restarted.

    The service has had one software version for longer than a stream lives.
    """

    async def play() -> None:
        async with _fleet("v1", "v1") as fleet:
            gateway = fleet.gateway
            history = gateway.stream_origins.history
            listings = [one.listing for one in gateway.roster.members.values()]
            history.restart()
            for ago_ms in (stream_origins.MAX_RETENTION_MS, 0):
                history.observe(
                    listings, clock.boot_ms() - ago_ms, is_current=True
                )
            answer = await _resume(fleet, gateway, "f0")
            assert answer.status == 200 and answer.whole, answer
            engine = await fleet.add_target(
                "i-engine2", engine=True, software_version="v2"
            )
            answer = await _resume(fleet, gateway, "f1")
            assert answer.status == 503, answer
            assert not engine.ran

    fixtures.run(play)


def _observe_for_long(gateway: gateway_lib.Gateway) -> None:
    """Makes a gateway vouch for the versions that it knows now."""
    history = gateway.stream_origins.history
    listings = [one.listing for one in gateway.roster.members.values()]
    history.restart()
    for ago_ms in (stream_origins.MAX_RETENTION_MS, 0):
        history.observe(listings, clock.boot_ms() - ago_ms, is_current=True)


def test_a_gateway_out_of_step_does_not_join_streams_of_a_release() -> None:
    """Guards against a view of the versions from before a cut or a pause.

    Targets of a new version join meanwhile, and a stream that began at one of
    them through another gateway is resumed at this one.
    """

    async def play(cut: Callable[[platform_store.Faults], None]) -> None:
        async with _fleet("v1", "v1") as fleet:
            store_faults = await fleet.add_store_address()
            late = await fleet.add_gateway(store_host=fleet.second_store_host)
            await _knows_engines(fleet, late)
            _observe_for_long(late)
            socket, late.socket = late.socket, None
            handle, late.stream_origins.handle = (
                late.stream_origins.handle,
                lambda message, sender: None,
            )
            cut(store_faults)
            joined = [
                await fleet.add_target(
                    f"i-new{number}", engine=True, software_version="v2"
                )
                for number in range(2)
            ]
            for engine in joined:
                engine.adapters[ADAPTER] = 1
                engine.fault = lambda request: Fault.CUT_MIDWAY
            await _knows_engines(fleet, fleet.gateway)
            _prefer(fleet.gateway, *joined)
            answer = await fleet.call("/long/x", adapter=ADAPTER, attempt="k0")
            assert set(_runners(fleet, "k0")) == {"v2"}, answer
            assert not answer.whole
            for engine in joined:
                engine.fault = lambda request: Fault.NONE
            answer = await _resume(fleet, late, "k0")
            assert answer.status == 503, answer
            assert not _runners(fleet, "k0-next")
            # Back in touch, it asks the holders of the record.
            late.socket = socket
            late.stream_origins.handle = handle
            store_faults.refuses = False
            await _knows_engines(fleet, late)
            answer = await _resume(fleet, late, "k0")
            assert answer.status == 200 and answer.whole, answer
            assert _runners(fleet, "k0-next") == ["v2"]

    def cut_from_store(faults: platform_store.Faults) -> None:
        faults.refuses = True

    async def play_all() -> None:
        await play(lambda faults: None)
        await play(cut_from_store)

    fixtures.run(play_all)


def test_a_gateway_that_was_paused_vouches_for_no_version() -> None:
    """Guards against a history that includes a pause of its process."""

    async def play() -> None:
        async with _fleet("v1", "v1") as fleet:
            gateway = fleet.gateway
            _observe_for_long(gateway)
            gateway.on_process_pause(3_000)
            answer = await _resume(fleet, gateway, "l0")
            assert answer.status == 503, answer
            assert not _runners(fleet, "l0-next")

    fixtures.run(play)


def test_a_request_does_not_trust_an_outdated_listing() -> None:
    """Guards against a stream that continues at a restarted target.

    The target restarts under its name with other software, and the gateway has
    not read its new entry. Nothing in a request names the incarnation.
    """

    async def play() -> None:
        async with _fleet("v1") as fleet:
            (engine,) = _engines(fleet)
            gateway = fleet.gateway
            listing = gateway.roster.members[engine.instance].listing
            assert await gateway.incarnation_check.confirm(listing)
            engine.restart(engine.born_ms + 1_000)
            assert not await gateway.incarnation_check.confirm(listing)

    fixtures.run(play)


def _view(
    *software_versions: str, for_ms: int, is_current: bool = True
) -> stream_origins.VersionView:
    """Returns the view of a gateway after observing versions for a time."""
    history = stream_origins.VersionHistory()
    listings = [
        roster_lib.Listing(
            instance=f"i{number}",
            service="llm",
            address=f"10.0.0.{number}:80",
            failure_domain="north",
            leaving=False,
            slot_count=8,
            software_version=software_version,
        )
        for number, software_version in enumerate(software_versions)
    ]
    history.observe(listings, 0, is_current=True)
    history.observe(listings, for_ms, is_current=is_current)
    return history.view("llm", LIFETIME_MS, for_ms)


def test_only_a_version_that_was_alone_is_assumed() -> None:
    """Guards against a guess from a view that is too short or outdated."""
    long_ms = LIFETIME_MS + 1
    alone = _view("v1", "v1", for_ms=long_ms)
    assert stream_origins.sole_version([alone], LIFETIME_MS) == "v1"
    for other in (
        _view("v1", "v2", for_ms=1),
        _view("v1", "", for_ms=1),
        _view("v2", for_ms=1),
    ):
        assert not stream_origins.sole_version([alone, other], LIFETIME_MS)
    for views in (
        [],
        [_view("v1", for_ms=LIFETIME_MS - 1)],
        [_view("v1", for_ms=long_ms, is_current=False)],
    ):
        assert not stream_origins.sole_version(views, LIFETIME_MS)


def test_records_of_streams_are_bounded() -> None:
    """Guards against memory that grows with the number of streams."""
    records = stream_origins.StreamRecords()
    for stream_id in range(stream_origins.MAX_RECORDS):
        assert records.record(stream_id, ORIGIN, LIFETIME_MS)
    assert not records.record(stream_origins.MAX_RECORDS, ORIGIN, LIFETIME_MS)
    assert len(records) == stream_origins.MAX_RECORDS
    assert not records.find(0, 0)
    records.expire(LIFETIME_MS)
    assert not len(records)


def test_messages_about_streams_survive_the_wire() -> None:
    """Guards against a field that is lost or cut between two gateways."""
    view = stream_origins.VersionView(False, "v1.2", 2**40)
    for message in (
        fleet_wire.StreamRecord(2**64 - 1, ORIGIN, 17_000),
        stream_origins.Answer(7, ORIGIN, stream_origins.NO_VIEW),
        fleet_wire.StreamQuery(1, "llm", 17_000),
        stream_origins.Answer(
            1, None, stream_origins.VersionView(is_mixed=True)
        ),
    ):
        assert fleet_wire.decode(fleet_wire.encode(message)) == message
    decoded = fleet_wire.decode(
        fleet_wire.encode(stream_origins.Answer(1, None, view))
    )
    assert decoded.view.sole_for_ms == fleet_wire.MAX_SOLE_FOR_MS


def test_a_stream_does_not_continue_at_another_service() -> None:
    """Guards against taking versions of two services for the same software.

    The route moves to another service after the stream has begun.
    """

    async def play() -> None:
        async with _fleet("v1", "v1") as fleet:
            await _begin_at_first_engine(fleet, "g0")
            moved = fixtures.configuration(2)
            for route in moved["routes"]:
                if route["name"] == "long":
                    route["service"] = "counter"
            fleet.store.put("config", "main", moved)
            await fleet.until(
                lambda: fleet.gateway.table.version == 2, "the route has moved"
            )
            answer = await _resume(fleet, fleet.gateway, "g0")
            assert answer.status == 503, answer
            plain = fleet.targets["i-plain0"]
            assert not plain.seen and not _runners(fleet, "g0-next")

    fixtures.run(play)
