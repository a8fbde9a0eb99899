"""Messages between gateways and sidecars, and their cost."""

import random

import anyio
from radishd import peers as peers_lib
from radishd.connection import http_client
from radishd.process import clock
from radishd.process import web
from radishstack.connection import fleet_wire
from radishstack.process import adapter_keeper

from tests.fleet import fixtures

VERSION_COUNT = 300


def _publish_version(fleet: fixtures.Fleet, adapter: str, version: int) -> None:
    fleet.store.put(
        "versions",
        f"{fixtures.MODEL}.{adapter}",
        {"model": fixtures.MODEL, "adapter": adapter, "version": version},
    )


def test_an_engine_learns_of_a_version_after_hundreds_of_others() -> None:
    """Guards against a first caller that waits for the load of a new version.

    300 versions are announced, then one of an adapter that is loaded on an
    engine without current requests. If each message to a sidecar repeats the
    oldest 256 versions and drops the rest without a log line, the sidecar never
    receives a later one and keeps the old version.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=1, plain=0) as fleet:
            (engine,) = fleet.targets.values()
            await fleet.call("/chat/x", adapter="a1")
            for number in range(VERSION_COUNT):
                _publish_version(fleet, f"other{number}", 2)
            engine.newest["a1"] = 2
            _publish_version(fleet, "a1", 2)
            await fleet.until(
                lambda: engine.adapters.get("a1") != 1,
                "the old version gives way",
            )

    fixtures.run(play)


def test_omitted_entries_are_counted() -> None:
    """Guards against silently dropping entries that do not fit."""
    load_requests = tuple(
        adapter_keeper.LoadRequest(f"base/a{number}", 0)
        for number in range(fleet_wire.MAX_ENTRIES + 7)
    )
    demand = adapter_keeper.Demand(
        "g", "i", 9, ("base",), (), load_requests, {}
    )
    datagram = fleet_wire.DemandDatagram(demand, "10.0.0.1:90")
    assert fleet_wire.omitted_count(datagram) == 7
    read = fleet_wire.decode(fleet_wire.encode(datagram))
    assert len(read.demand.wants) == fleet_wire.MAX_ENTRIES


def _peers() -> peers_lib.Peers:
    return peers_lib.Peers(
        own="10.0.0.1:90",
        seeds=("10.0.0.2:90",),
        random_source=random.Random(1),
    )


def test_gateways_are_counted_before_all_are_listed() -> None:
    """Guards against gateways that together retry too much after a start.

    The first message that a gateway receives lists 4 of 68 gateways. If it
    counts only those, it uses a fifth of the retry budget.
    """
    peers = _peers()
    peers.record_peers(("10.0.0.3:90", "10.0.0.4:90"))
    peers.record_gateway_count(68, clock.boot_ms())
    assert peers.count == 68


def test_an_outdated_count_of_gateways_expires() -> None:
    """Guards against a retry budget that is shared with former gateways."""
    peers = _peers()
    now_ms = clock.boot_ms()
    peers.record_gateway_count(68, now_ms)
    peers.record_gateway_count(12, now_ms + peers_lib.COUNT_TTL_MS)
    assert peers.count == 68
    peers.record_gateway_count(12, now_ms + peers_lib.COUNT_TTL_MS + 1)
    assert peers.count == 12


def test_gateways_that_are_no_longer_listed_expire() -> None:
    """Guards against requests to many former peers during an outage.

    VMs are replaced every day. If names of gateways never expire, most of them
    belong to former ones, and a new gateway asks one after another without
    an answer.
    """
    peers = _peers()
    peers.record_peers(("10.0.0.1:90", "10.0.0.3:90"))
    assert peers.addresses == {"10.0.0.2:90", "10.0.0.3:90"}
    now_ms = clock.boot_ms()
    peers.expire(now_ms)
    assert "10.0.0.3:90" in peers.addresses
    peers.expire(now_ms + peers_lib.PEER_TTL_MS + 1)
    # All names are kept if no message arrives at all, since the fault is then
    # local.
    assert "10.0.0.3:90" in peers.addresses


def test_a_server_does_not_wake_an_idle_process() -> None:
    """Guards against an idle gateway that wakes 40 times a second.

    Its four servers receive no requests. The failure occurs if each polls its
    exit flag ten times a second.
    """

    async def app(
        scope: web.Scope, receive: web.Receive, send: web.Send
    ) -> None:
        del scope, receive
        await web.reply(send, 200, [(b"content-length", b"0")], b"")

    ticks = 0

    class CountingServer(web.Server):
        async def on_tick(self, counter: int) -> bool:
            nonlocal ticks
            ticks += 1
            return await super().on_tick(counter)

    async def play() -> None:
        refresh_s, web.DATE_REFRESH_S = web.DATE_REFRESH_S, 3_600.0
        config = web.make_server(app, "127.0.0.1", 0).config
        server = CountingServer(config)
        try:
            async with anyio.create_task_group() as tasks:
                await tasks.start(web.serve, server)
                (listener,) = server.servers
                port = listener.sockets[0].getsockname()[1]
                for _ in range(30):
                    await _send_request(f"127.0.0.1:{port}")
                    await anyio.sleep(0.01)
                # The server exits at once, though no tick is due.
                server.should_exit = True
        finally:
            web.DATE_REFRESH_S = refresh_s
        assert ticks == 2, ticks

    fixtures.run(play)


async def _send_request(address: str) -> None:
    connection = await http_client.open_connection(address, 2_000)
    assert isinstance(connection, http_client.Connection), connection
    connection.send(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    answer = await http_client.read_answer(connection)
    assert isinstance(answer, http_client.Answer), answer
    connection.close()


def test_a_burst_of_configurations_causes_few_calls() -> None:
    """Guards against a store call per gateway for each change of a burst.

    40 configuration versions are published 10 ms apart. The failure occurs if
    changes are coalesced for 120 ms, however much time is left to activate
    them.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=1) as fleet:
            gateway = await fleet.add_gateway(configuration_ms=4_000)
            await fleet.until(lambda: bool(gateway.table.version), "known")
            for version in range(10, 50):
                body = fixtures.configuration(version)
                fleet.store.put("config", "main", body)
                await anyio.sleep(0.01)
            await fleet.until(
                lambda: gateway.table.version == 49, "the last is in force"
            )
            samples = gateway.metrics.store_calls.get_all()
            calls = sum(
                count
                for labels, count in samples
                if labels.get("kind") == "config"
            )
            # The initial list, the first change, and the coalesced later ones.
            assert calls <= 3, calls

    fixtures.run(play)
