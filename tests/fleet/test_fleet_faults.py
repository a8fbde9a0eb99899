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
    """Symptom: an engine crashes with all its runs.

    Sequence: more adapters are asked for at once than it holds, and orders go
    unanswered. Cause: a load was ordered beside one that was in doubt.
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


def test_unanswered_orders_do_not_silence_a_sidecar() -> None:
    """Symptom: callers are refused after 0.6 s while a load is on its way.

    Sequence: an engine leaves order after order unanswered. Cause: the process
    beside it gave them one after the other and told nothing meanwhile, so
    gateways took it for gone.
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
                # More orders than fit between two regular words.
                await fleet.until(
                    lambda: engine.swallow_orders < 1_000_000 - 6,
                    "orders go unanswered",
                )
                before_ms = gateway.placement.views[address].heard_at_ms
                swallowed = engine.swallow_orders
                await fleet.until(
                    lambda: engine.swallow_orders < swallowed - 8,
                    "more orders go unanswered",
                )
                heard_ms = gateway.placement.views[address].heard_at_ms
                assert heard_ms > before_ms
                engine.swallow_orders = 0

    fixtures.run(play)


def test_an_order_carried_out_late_finds_its_place_taken() -> None:
    """Symptom: an engine crashes seconds after its process gave up an order.

    Sequence: a load goes unanswered, others follow, then it is carried out.
    Cause: the order did not name the state that it was decided on.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=1, plain=0) as fleet:
            (engine,) = fleet.targets.values()
            for number in range(4):
                await fleet.call("/chat/x", adapter=f"a{number}")
            late = dict(engine.orders[0])
            assert engine.take_order(late) == 409
            assert not engine.crashed

    fixtures.run(play)


def test_a_restarted_engine_gets_orders_again() -> None:
    """Symptom: after a power cut no adapter is loaded any more.

    Sequence: engine and sidecar restart together; the list still names the
    engine's former start beside the new one. Cause: the sidecar kept to the
    start that it had heard of last, and each order was refused.
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
            sidecar.incarnations.named("i-engine0")
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


def test_a_listed_engine_is_told_of_at_once() -> None:
    """Symptom: after a power cut engines stand empty for 0.4 s longer.

    Sequence: gateway and sidecar start; the gateway's first regular word is
    due before it has read the list of targets. Cause: the sidecar learned
    with the second word only which start of its engine is listed.
    """

    async def play() -> None:
        regular_ms = sidecar_exchange.DEMAND_EVERY_MS
        # The next regular word would come after the end of the test.
        sidecar_exchange.DEMAND_EVERY_MS = 3_600_000
        try:
            async with fixtures.running_fleet(engines=2, plain=0) as fleet:
                answer = await fleet.call("/chat/x", adapter="a1")
                assert answer.status == 200, answer
        finally:
            sidecar_exchange.DEMAND_EVERY_MS = regular_ms

    fixtures.run(play)


def test_a_new_version_is_served_once_it_is_announced() -> None:
    """The old version gives way within seconds, and callers are served."""

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


def test_a_configuration_never_goes_back() -> None:
    """Symptom: a route that was removed is served again.

    Sequence: a peer, or a lagging answer, offers an older version. Cause:
    the newest answer was taken for the newest version.
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
            news = {"model": "x", "adapter": "y", "version": 1}
            fleet.store.put("versions", "x.y", news)
            await fleet.until(
                lambda: "x/y" in gateway.placement.announced, "later news came"
            )
            assert gateway.table.version == 7
            answer = await fleet.call("/book/1")
            assert answer.status == result.ROUTE_UNKNOWN.status

    fixtures.run(play)


def test_a_gateway_starts_on_what_a_peer_knows() -> None:
    """Symptom: a replaced gateway refuses everything in a store outage."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=0) as fleet:
            fleet.store.faults.refuses = True
            peer = fleet.gateway.own.peers
            second = await fleet.add_gateway(seeds=(peer,))
            await fleet.until(lambda: not second.ready(), "it is ready")
            answer = await fleet.call("/book/1", gateway=second)
            assert answer.status == 200, answer

    fixtures.run(play)


def test_targets_that_lapsed_in_an_outage_are_still_used() -> None:
    """Symptom: every request is refused right after a store outage.

    Sequence: targets cannot renew their entries, which lapse; the store
    comes back and lists none. Cause: absence was taken for death.
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


def test_a_draining_gateway_finishes_and_tells_callers() -> None:
    """What is in flight ends whole; answers say that the connection ends."""

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


def test_a_draining_gateway_cuts_no_request_that_waits() -> None:
    """Symptom: at a rolling restart callers find their connection closed.

    Sequence: a request with a long time limit waits for its adapter, the
    gateway is told to stop, and the load does not come. Cause: the wait was
    bounded by the request's time only, which ends after the process.
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
                # A process that has ended would have cut it.
                assert not fleet.stopped.is_set()

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(call)
                await fleet.until(lambda: gateway.in_flight > 0, "it waits")
                fleet.stop.set()
            (answer,) = answers
            assert answer.status == 503 and answer.whole, answer
            assert float(answer.headers["retry-after"]) > 0

    fixtures.run(play)


def test_what_was_believed_before_a_standstill_is_not_used() -> None:
    """Kept connections and words of sidecars are dropped, then learned anew."""

    async def play() -> None:
        async with fixtures.running_fleet() as fleet:
            await fleet.call("/chat/x", adapter="a1")
            gateway = fleet.gateway
            gateway.on_process_pause(4_000)
            assert not gateway.placement.views
            answer = await fleet.call("/chat/x", adapter="a1")
            assert answer.status == 200, answer

    fixtures.run(play)


def test_a_target_that_leaves_gets_no_new_work() -> None:
    """Once the list says so, requests go to the other one."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=0) as fleet:
            leaving: platform_engine.PlatformEngine
            leaving = fleet.targets["i-plain0"]
            spec = dict(fleet.store.objects["servers"]["i-plain0"]["spec"])
            fleet.store.put("servers", "i-plain0", spec | {"state": "draining"})
            member = fleet.gateway.roster.members["i-plain0"]
            await fleet.until(lambda: member.listing.leaving, "it is known")
            before = len(leaving.ran)
            for _ in range(12):
                answer = await fleet.call("/book/1")
                assert answer.status == 200, answer
            assert len(leaving.ran) == before

    fixtures.run(play)


def test_a_silent_store_is_doubted_by_all_watches_at_once() -> None:
    """Symptom: a gateway cut off from the store serves removed routes.

    Sequence: the link to the store falls silent; the short watch of targets
    fails; the long watch of the configuration waits for its end, and until
    then no other gateway is asked. Cause: each watch was doubted alone.
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


def test_the_part_of_the_retry_budget_shrinks_with_the_gateways() -> None:
    """Symptom: in a large fleet a sick service gets several times its load.

    Sequence: a gateway takes its part while it knows few others; then it
    hears of thirty. Cause: the part was fixed at the first request.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=0) as fleet:
            gateway = fleet.gateway
            before = gateway.budget("counter").part
            gateway.peers.heard(f"10.0.0.{n}:80" for n in range(40))
            allowance = gateway.own.retry_extra
            assert 41 * gateway.budget("counter").part <= allowance
            assert gateway.budget("counter").part < before

    fixtures.run(play)
