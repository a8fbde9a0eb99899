"""Faults of targets, sidecars, the store and the gateway itself."""

import dataclasses
import functools

import anyio
from radishd import sidecar_exchange
from radishd.platform import wire
from radishstack import result
from standins import platform_engine

from tests.fleet import fixtures


def test_loads_never_overfill_an_engine() -> None:
    """An engine never holds more adapters than it has adapter slots.

    More adapters are requested at once than the engine can hold, and orders go
    unanswered. If another load is ordered while the outcome of one is unknown,
    the engine is overfilled and crashes with all its runs.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=1, plain=0) as fleet:
            (engine,) = fleet.targets.values()
            engine.swallow_orders = 3
            answers: list[fixtures.Answer] = []

            async def call(adapter: str) -> None:
                answers.append(await fleet.call("/chat/x", adapter=adapter))

            async with anyio.create_task_group() as tasks:
                for number in range(12):
                    tasks.start_soon(call, f"a{number}")
            assert not engine.crashed
            assert len(engine.adapters) <= engine.adapter_slots
            assert sum(one.status == 200 for one in answers) >= 8, answers

    fixtures.run(play)


def test_sidecar_sends_status_while_orders_are_unanswered() -> None:
    """A sidecar sends status updates while its engine ignores orders.

    A sidecar that sends orders one after the other and no status updates
    meanwhile looks unavailable to gateways, which reject callers after 0.6 s
    although a load is in progress.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=1, plain=0) as fleet:
            (engine,) = fleet.targets.values()
            engine.swallow_orders = 1_000_000
            gateway = fleet.gateway
            (member,) = gateway.roster.members.values()
            address = member.listing.address
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(
                    functools.partial(fleet.call, "/chat/x", adapter="a1")
                )
                # More orders than fit between two regular status updates.
                await fleet.until(
                    lambda: engine.swallow_orders < 1_000_000 - 6,
                    "orders go unanswered",
                )
                before_ms = gateway.placement.views[address].received_at_ms
                swallowed = engine.swallow_orders
                await fleet.until(
                    lambda: engine.swallow_orders < swallowed - 8,
                    "more orders go unanswered",
                )
                after_ms = gateway.placement.views[address].received_at_ms
                assert after_ms > before_ms
                engine.swallow_orders = 0

    fixtures.run(play)


def test_late_order_is_rejected_by_the_engine() -> None:
    """An engine rejects a load order that no longer matches its state.

    A load goes unanswered and the sidecar sends others; then the first one is
    carried out. An order that does not name the state it was decided on
    overfills the engine, which crashes seconds after the order was abandoned.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=1, plain=0) as fleet:
            (engine,) = fleet.targets.values()
            for number in range(4):
                await fleet.call("/chat/x", adapter=f"a{number}")
            late = dict(engine.orders[0])
            assert engine.execute_order(late) == 409
            assert not engine.crashed

    fixtures.run(play)


def test_restarted_engine_loads_adapters() -> None:
    """Adapters are loaded after engine and sidecar restart together.

    After a power cut, the store still lists the engine's former incarnation
    beside the new one. A sidecar that uses the incarnation it learned of last
    has each order rejected.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=1, plain=0) as fleet:
            (engine,) = fleet.targets.values()
            (host,) = fleet.sidecars
            await engine.stop()
            restarted = await fleet.add_target(
                "i-restarted", engine=True, host=host
            )
            sidecar = fleet.sidecars[host]
            sidecar.incarnations.select("i-engine0")
            await fleet.until(
                lambda: "i-restarted" in fleet.gateway.roster.members,
                "the gateway lists the new start",
            )

            async def served() -> bool:
                answer = await fleet.call("/chat/x", adapter="a1")
                return answer.status == 200

            while not await served():
                await anyio.sleep(fixtures.POLL_S)
            assert restarted.adapters

    fixtures.run(play)


def test_demand_is_sent_as_soon_as_an_engine_is_listed() -> None:
    """A sidecar gets the demand as soon as its engine is listed.

    Gateway and sidecar start together, and the gateway's first periodic demand
    is due before it has read the list of targets. If the sidecar learns only
    from the next one which incarnation of its engine is listed, the engine
    stays empty for 0.4 s longer.
    """

    async def play() -> None:
        interval_ms = sidecar_exchange.DEMAND_INTERVAL_MS
        # The next periodic demand would come after the end of the test.
        sidecar_exchange.DEMAND_INTERVAL_MS = 3_600_000
        try:
            async with fixtures.running_fleet(engines=2, plain=0) as fleet:
                answer = await fleet.call("/chat/x", adapter="a1")
                assert answer.status == 200, answer
        finally:
            sidecar_exchange.DEMAND_INTERVAL_MS = interval_ms

    fixtures.run(play)


def test_announced_adapter_version_replaces_the_old_one() -> None:
    """The engine loads the new version while callers are served."""

    async def play() -> None:
        async with fixtures.running_fleet() as fleet:
            await fleet.call("/chat/x", adapter="a1")
            for engine in fleet.targets.values():
                engine.newest["a1"] = 2
            fleet.store.put(
                "versions",
                f"{fixtures.MODEL}.a1",
                {"model": fixtures.MODEL, "adapter": "a1", "version": 2},
            )

            def new_version_runs() -> bool:
                return any(
                    engine.adapters.get("a1") == 2
                    for engine in fleet.targets.values()
                    if engine.model
                )

            while not new_version_runs():
                answer = await fleet.call("/chat/x", adapter="a1")
                assert answer.status == 200, answer

    fixtures.run(play)


def test_older_configuration_is_ignored() -> None:
    """A removed route is not served again after an older version arrives.

    A peer or a delayed response offers an older version, which must not
    replace the present one just because it arrived later.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=0) as fleet:
            gateway = fleet.gateway
            body = fixtures.configuration(version=7)
            body["routes"] = body["routes"][:2]
            fleet.store.put("config", "main", body)
            await fleet.until(
                lambda: gateway.table.version == 7, "version 7 is in force"
            )
            fleet.store.put("config", "main", fixtures.configuration(3))
            older = wire.configuration(fixtures.configuration(3))
            assert not gateway.holder.offer(older)
            announcement = {"model": "x", "adapter": "y", "version": 1}
            fleet.store.put("versions", "x.y", announcement)
            await fleet.until(
                lambda: "x/y" in gateway.placement.announced, "later news came"
            )
            assert gateway.table.version == 7
            answer = await fleet.call("/book/1")
            assert answer.status == result.ROUTE_UNKNOWN.status

    fixtures.run(play)


def test_gateway_starts_from_a_peer_in_a_store_outage() -> None:
    """A gateway that starts during a store outage serves requests."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=0) as fleet:
            fleet.store.faults.refuses = True
            peer = fleet.gateway.own.peers
            second = await fleet.add_gateway(seeds=(peer,))
            await fleet.until(lambda: not second.ready(), "it is ready")
            answer = await fleet.call("/book/1", gateway=second)
            assert answer.status == 200, answer

    fixtures.run(play)


def test_targets_with_expired_entries_are_used_after_an_outage() -> None:
    """Requests are served right after a store outage.

    Targets cannot renew their entries, which expire, and the store lists no
    target when it is back. A gateway that takes a missing entry for a stopped
    target rejects every request.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=0) as fleet:
            gateway = fleet.gateway
            listed = dict(fleet.store.objects["servers"])
            fleet.store.faults.refuses = True
            fleet.store.compact()
            follower = gateway.discovery.followers["servers"]
            follower.restart()
            await fleet.until(
                lambda: bool(follower.failing_since_ms), "the store is lost"
            )
            for name in listed:
                fleet.store.delete("servers", name)
            fleet.store.faults.refuses = False
            await fleet.until(
                lambda: not follower.failing_since_ms, "the store is back"
            )
            answer = await fleet.call("/book/1")
            assert answer.status == 200, answer
            await fleet.until(
                lambda: not gateway.roster.members, "they are given up"
            )

    fixtures.run(play)


def test_draining_gateway_completes_requests_and_closes_connections() -> None:
    """Requests in flight complete; responses announce the close."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=1) as fleet:
            (target,) = fleet.targets.values()
            target.timing.work_ms = 300.0
            answers: list[fixtures.Answer] = []

            async def call() -> None:
                answers.append(await fleet.call("/book/1"))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(call)
                await fleet.until(lambda: bool(target.ran), "it runs")
                fleet.stop.set()
                await fleet.until(lambda: fleet.gateway.draining, "it drains")
                tasks.start_soon(call)
            assert [one.status for one in answers] == [200, 200], answers
            assert answers[1].headers["connection"] == "close"
            await fleet.stopped.wait()

    fixtures.run(play)


def test_draining_gateway_rejects_waiting_requests_before_it_exits() -> None:
    """A request that waits for its adapter is rejected before shutdown.

    A request with a long timeout waits for a load that does not finish, and
    the gateway is stopped, as in a rolling restart. If only the request's
    timeout bounds the wait, the process exits first and the caller's
    connection is closed without a response.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=1, plain=0) as fleet:
            (engine,) = fleet.targets.values()
            engine.timing.load_ms = 3_600_000.0
            gateway = fleet.gateway
            gateway.own = dataclasses.replace(gateway.own, shutdown_ms=4_000)
            body = fixtures.configuration(version=2)
            for one in body["routes"]:
                one["timeoutMs"] = 60_000
                one["targetLatencyMs"] = 5_000
            fleet.store.put("config", "main", body)
            await fleet.until(
                lambda: gateway.table.version == 2, "the time is known"
            )
            answers = []

            async def call() -> None:
                answers.append(
                    await fleet.call("/chat/x", adapter="a1", left_ms=60_000)
                )
                # The exit of the process would have aborted the request.
                assert not fleet.stopped.is_set()

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(call)
                await fleet.until(lambda: gateway.in_flight > 0, "it waits")
                fleet.stop.set()
            (answer,) = answers
            assert answer.status == 503 and answer.whole, answer
            assert float(answer.headers["retry-after"]) > 0

    fixtures.run(play)


def test_cached_state_is_dropped_after_a_process_pause() -> None:
    """Connections and status updates are dropped, then renewed."""

    async def play() -> None:
        async with fixtures.running_fleet() as fleet:
            await fleet.call("/chat/x", adapter="a1")
            gateway = fleet.gateway
            gateway.on_process_pause(4_000)
            assert not gateway.placement.views
            answer = await fleet.call("/chat/x", adapter="a1")
            assert answer.status == 200, answer

    fixtures.run(play)


def test_draining_target_gets_no_new_requests() -> None:
    """Once it is listed as draining, requests go to the other target."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=0) as fleet:
            draining: platform_engine.PlatformEngine
            draining = fleet.targets["i-plain0"]
            spec = dict(fleet.store.objects["servers"]["i-plain0"]["spec"])
            fleet.store.put("servers", "i-plain0", spec | {"state": "draining"})
            member = fleet.gateway.roster.members["i-plain0"]
            await fleet.until(lambda: member.listing.leaving, "it is known")
            before = len(draining.ran)
            for _ in range(12):
                answer = await fleet.call("/book/1")
                assert answer.status == 200, answer
            assert len(draining.ran) == before

    fixtures.run(play)


def test_failed_watch_makes_all_watches_query_peers() -> None:
    """One failed watch makes all watches of the store query peers.

    The connection to the store stalls. The short watch of targets fails, but
    the long watch of the configuration still waits for its timeout. If each
    watch is checked on its own, no peer is queried until then, and the gateway
    serves removed routes.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=0) as fleet:
            gateway = fleet.gateway
            targets = gateway.discovery.followers["servers"]
            others = [
                gateway.discovery.followers[kind]
                for kind in ("config", "versions")
            ]
            assert all(one.revision for one in others)
            fleet.store.faults.silent = True
            targets.restart()
            await fleet.until(
                lambda: bool(targets.failing_since_ms), "the store is lost"
            )
            assert not any(one.revision for one in others)
            await fleet.until(
                lambda: all(one.failing_since_ms for one in others),
                "peers are asked for the other kinds, too",
            )

    fixtures.run(play)


def test_share_of_the_retry_budget_shrinks_with_more_gateways() -> None:
    """All gateways together stay within the retry budget of a service.

    A gateway computes its share while it knows few others, and then learns of
    forty. A share that is fixed at the first request lets a large fleet send
    an unhealthy service several times the allowed retries.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=0) as fleet:
            gateway = fleet.gateway
            before = gateway.budget("counter").part
            gateway.peers.record_peers(f"10.0.0.{n}:80" for n in range(40))
            allowance = gateway.own.retry_extra
            assert 41 * gateway.budget("counter").part <= allowance
            assert gateway.budget("counter").part < before

    fixtures.run(play)


def test_a_reload_keeps_what_retries_have_used() -> None:
    """Guards against a retry budget that each reload fills again."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=1) as fleet:
            gateway = fleet.gateway
            now_ms = 1_000
            while gateway.budget("llm").spend(now_ms):
                pass
            gateway.reload(gateway.settings)
            assert not gateway.budget("llm").can_spend(now_ms)
            # Changed settings apply to the sends that were counted before.
            own = dataclasses.replace(gateway.own, retry_extra=10_000)
            gateway.reload(dataclasses.replace(gateway.settings, gateway=own))
            assert gateway.budget("llm").can_spend(now_ms)
            own = dataclasses.replace(own, retry_extra=0, retry_ratio=0.0)
            gateway.reload(dataclasses.replace(gateway.settings, gateway=own))
            gateway.budget("llm").earn(now_ms)
            assert not gateway.budget("llm").can_spend(now_ms)

    fixtures.run(play)
