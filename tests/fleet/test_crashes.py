"""Requests that crash the targets that run them."""

import itertools

import anyio
from radishd import gateway as gateway_lib
from radishd.process import clock
from radishstack.process import crash as crash_lib
from radishstack.process import incarnation
from radishstack.process import quarantine_rules
from radishstack.process import suspicion
from radishstack.request import fingerprint as fingerprint_lib
from standins import platform_engine
from standins import platform_site

from tests.fleet import fixtures

Fault = platform_engine.Fault
POISON = b"a body that ends whatever runs it"


def _crash_on_poison(seen: platform_engine.ReceivedRequest) -> Fault:
    return Fault.CRASH if seen.body == POISON else Fault.NONE


def test_a_crash_is_told_apart_from_a_broken_connection() -> None:
    """An operator sees 502 both for a crash and for a broken connection.

    Both abort the response, but a crashed target refuses connections
    afterwards. The log had the same line for both, ``sends=["i-...:lost"]``.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=2) as fleet:
            gateway = fleet.gateway
            for target in fleet.targets.values():
                target.fault = lambda seen: Fault.RESET_AFTER_RUN
            await fleet.call("/book/1", body=b"a booking")
            await fleet.until(
                lambda: (
                    fixtures.count_aborted_responses(gateway, ended=False) == 1
                ),
                "one is looked into",
            )
            assert not fixtures.count_aborted_responses(gateway, ended=True)
            for target in fleet.targets.values():
                target.fault = _crash_on_poison
            answer = await fleet.call("/book/1", body=POISON)
            assert answer.status == 502, answer
            await fleet.until(
                lambda: (
                    fixtures.count_aborted_responses(gateway, ended=True) == 1
                ),
                "one has ended",
            )

    fixtures.run(play)


async def _crash_once(
    fleet: fixtures.Fleet, gateway: gateway_lib.Gateway
) -> fixtures.Answer:
    """Sends the request once and restarts the target that it crashed."""
    before = fixtures.count_aborted_responses(gateway, ended=True)
    answer = await fleet.call("/book/1", body=POISON, gateway=gateway)
    if any(target.ended for target in fleet.targets.values()):
        await fleet.until(
            lambda: (
                fixtures.count_aborted_responses(gateway, ended=True) > before
            ),
            "it is noticed",
        )
        await fleet.restart_exited()
    return answer


def _crash_on_every_run(fleet: fixtures.Fleet) -> list[str]:
    """Makes the request crash any target; returns a log of its runs."""
    runs: list[str] = []

    def crash(seen: platform_engine.ReceivedRequest) -> Fault:
        fault = _crash_on_poison(seen)
        if fault is Fault.CRASH:
            runs.append(seen.attempt_id)
        return fault

    for target in fleet.targets.values():
        target.fault = crash
    return runs


def test_a_request_that_crashes_targets_is_quarantined() -> None:
    """One request crashed ten engines in 16 s, seven after the first three.

    It was repeated every one to three seconds through five gateways. Each sent
    it to the next engine, because no gateway recorded which request an engine
    had crashed under. All eight crashes in the logs (at 8.727, 9.549, 9.980,
    14.796, 17.161, 19.696, 23.102 and 24.253 s) had the same adapter and
    ``status=502 code=3011 sends=["i-...:lost"]``, and came some 350 ms after
    the request. Three repeats may still reach a target while gateways receive
    the report of the third crash; later ones must be rejected.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=1, plain=3) as fleet:
            gateways = await fixtures.add_gateways(fleet, 3)
            runs = _crash_on_every_run(fleet)
            answers = []
            for gateway in itertools.islice(itertools.cycle(gateways), 12):
                answers.append(await _crash_once(fleet, gateway))
                await fixtures.wait_until_all_usable(fleet, gateways)
            assert len(runs) <= 3 + 3, runs
            for answer in answers[-3:]:
                assert answer.status == 503, answer
                assert float(answer.headers["retry-after"]) > 0

    fixtures.run(play)


async def _quarantine_everywhere(
    fleet: fixtures.Fleet, gateways: list[gateway_lib.Gateway]
) -> None:
    """Sends the request until all gateways quarantine it."""
    for gateway in itertools.cycle(gateways):
        await _crash_once(fleet, gateway)
        await fixtures.wait_until_all_usable(fleet, gateways)
        if all(
            one.crash_gossip.evidence.quarantined(clock.boot_ms())
            for one in gateways
        ):
            return


def test_a_new_gateway_receives_quarantines() -> None:
    """A gateway is replaced while a request that crashes targets is repeated.

    The evidence was only in the memory of the others, so the new gateway sent
    the request to the next target.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=1, plain=3) as fleet:
            gateways = await fixtures.add_gateways(fleet, 2)
            runs = _crash_on_every_run(fleet)
            await _quarantine_everywhere(fleet, gateways)
            (new_gateway,) = await fixtures.add_gateways(fleet, 1)
            await fleet.until(
                lambda: bool(
                    new_gateway.crash_gossip.evidence.quarantined(
                        clock.boot_ms()
                    )
                ),
                "it has been told",
            )
            before = len(runs)
            answer = await fleet.call(
                "/book/1", body=POISON, gateway=new_gateway
            )
            assert answer.status == 503 and len(runs) == before, answer

    fixtures.run(play)


def test_a_success_clears_a_suspect_at_all_gateways() -> None:
    """Targets crash while they run a request that is not the cause.

    Once an equal request succeeds, no gateway may reject it, including those
    that have not served it since.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=1, plain=3) as fleet:
            gateways = await fixtures.add_gateways(fleet, 2)
            _crash_on_every_run(fleet)
            for _ in range(2):
                await _crash_once(fleet, gateways[0])
                await fixtures.wait_until_all_usable(fleet, gateways)
            for target in fleet.targets.values():
                target.fault = lambda seen: Fault.NONE
            answer = await fleet.call(
                "/book/1", body=POISON, gateway=gateways[1]
            )
            assert answer.status == 200, answer
            await fleet.until(
                lambda: (
                    not any(
                        list(one.crash_gossip.evidence.recurring())
                        for one in gateways
                    )
                ),
                "it is cleared",
            )

    fixtures.run(play)


def test_aborted_responses_of_draining_targets_are_no_crashes() -> None:
    """Targets are replaced one after the other and abort what they run.

    A slow request that is sent on to the next target each time would have three
    consecutive crashes, and be quarantined although it crashed no target.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=2) as fleet:
            gateway = fleet.gateway
            draining_target = fleet.targets["i-plain0"]
            draining_target.leaving = True
            spec = fleet.store.objects["servers"]["i-plain1"]["spec"]
            fleet.store.put("servers", "i-plain1", spec | {"state": "draining"})
            await fleet.until(
                lambda: gateway.roster.members["i-plain1"].listing.leaving,
                "one is listed as leaving",
            )
            for target in fleet.targets.values():
                target.fault = _crash_on_poison
            answer = await fleet.call("/book/1", body=b"")
            assert "server-leaving" in answer.headers, answer
            suspects = (crash_lib.Suspect("07" * 16, 0),)
            for member in gateway.roster.members.values():
                gateway.evidence.record_aborted_response(member, suspects)
            removed = gateway.roster.members["i-plain0"]
            gateway.roster.drop("i-plain0")
            gateway.evidence.record_aborted_response(removed, suspects)
            assert not gateway.crash_watch.is_investigating

    fixtures.run(play)


def test_a_missed_clearance_is_sent_again() -> None:
    """A report is lost, and one gateway keeps rejecting an innocent request.

    As it rejects all equal requests, it never observes a success itself. Its
    crash reports show the other gateways that it missed the clearance.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=1, plain=1) as fleet:
            cleared, uncleared = await fixtures.add_gateways(fleet, 2)
            now_ms = clock.boot_ms()
            incarnation_ids = [
                incarnation.IncarnationId(f"i{number}", 1)
                for number in range(3)
            ]
            observations = tuple(
                suspicion.Observation(
                    incarnation_id, now_ms - ago_ms - 300, now_ms - ago_ms
                )
                for incarnation_id, ago_ms in zip(
                    incarnation_ids, (9_000, 6_000, 3_000), strict=True
                )
            )
            record = suspicion.Record("07" * 16, observations)
            for gateway in (cleared, uncleared):
                gateway.crash_gossip.merge([record], source="test")
            cleared.crash_gossip.evidence.succeeded("07" * 16, now_ms)
            assert uncleared.crash_gossip.quarantine("07" * 16) is not None
            await fleet.until(
                lambda: uncleared.crash_gossip.quarantine("07" * 16) is None,
                "it has been told",
            )

    fixtures.run(play)


def test_one_trial_at_a_time_ends_a_quarantine() -> None:
    """A request that all gateways reject can never succeed and be cleared.

    If all gateways let it through when the quarantine ends, each repeat could
    crash a target. One trial at a time, at one gateway, crashes at most one
    target or clears the request.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=1, plain=2) as fleet:
            gateways = [fleet.gateway, *await fixtures.add_gateways(fleet, 2)]
            await fleet.until(
                lambda: all(len(one.peers.addresses) == 2 for one in gateways),
                "all know the same gateways",
            )
            now_ms = clock.boot_ms()
            fingerprint = fingerprint_lib.of_request(
                "POST", platform_site.HOST, b"/book/1", POISON
            )
            observations = tuple(
                suspicion.Observation(
                    incarnation.IncarnationId(f"i{number}", 1),
                    at_ms - 300,
                    at_ms,
                )
                for number, at_ms in enumerate(
                    now_ms - quarantine_rules.QUARANTINE_MS - ago_ms
                    for ago_ms in (9_000, 6_000, 3_000)
                )
            )
            record = suspicion.Record(fingerprint, observations)
            for gateway in gateways:
                gateway.crash_gossip.merge([record], source="test")
            targets = {
                target: target.timing for target in fleet.targets.values()
            }
            for target in targets:
                target.timing = platform_engine.Timing(work_ms=200.0)
            answers: list[fixtures.Answer] = []

            async def call(gateway: gateway_lib.Gateway) -> None:
                answers.append(
                    await fleet.call("/book/1", body=POISON, gateway=gateway)
                )

            async with anyio.create_task_group() as tasks:
                for gateway in (*gateways, *gateways):
                    tasks.start_soon(call, gateway)
            statuses = sorted(one.status for one in answers)
            assert statuses == [200, *5 * [503]], answers
            await fleet.until(
                lambda: not any(one.crash_gossip.has_trial for one in gateways),
                "the trial has ended",
            )
            await fleet.until(
                lambda: all(
                    one.crash_gossip.quarantine(fingerprint) is None
                    for one in gateways
                ),
                "it is cleared",
            )

    fixtures.run(play)


def test_quarantines_survive_a_restart_of_all_gateways() -> None:
    """All gateways restart at once, and the request is sent again.

    The evidence was only in their memory, so the request crashed three more
    targets before it was rejected again.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=3) as fleet:
            gateways = await fixtures.add_gateways(fleet, 1)
            runs = _crash_on_every_run(fleet)
            # The answer to the write is lost, so its outcome is unknown.
            fleet.store.faults.loses_answers = True
            await _quarantine_everywhere(fleet, gateways)
            stored = fleet.store.objects.get("crashes", {})
            await fleet.until(lambda: bool(stored), "it is kept")
            fleet.store.faults.loses_answers = False
            fleet.store.put("crashes", "foreign", {"fingerprint": 7})
            # This gateway and the others do not know of each other.
            new_gateway = await fleet.add_gateway()
            await fleet.until(
                lambda: (
                    not new_gateway.ready()
                    and bool(
                        new_gateway.crash_gossip.evidence.quarantined(
                            clock.boot_ms()
                        )
                    )
                ),
                "it has read what is kept",
            )
            before = len(runs)
            answer = await fleet.call(
                "/book/1", body=POISON, gateway=new_gateway
            )
            assert answer.status == 503 and len(runs) == before, answer
            assert "foreign" in fleet.store.objects["crashes"]

    fixtures.run(play)


def test_a_quarantine_in_a_store_outage_is_stored_afterwards() -> None:
    """The store is unreachable when the third target crashes."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=3) as fleet:
            gateways = await fixtures.add_gateways(fleet, 1)
            _crash_on_every_run(fleet)
            for _ in range(2):
                await _crash_once(fleet, gateways[0])
                await fixtures.wait_until_all_usable(fleet, gateways)
            fleet.store.faults.refuses = True
            await fleet.call("/book/1", body=POISON, gateway=gateways[0])
            await fleet.until(
                lambda: bool(
                    gateways[0].crash_gossip.evidence.quarantined(
                        clock.boot_ms()
                    )
                ),
                "it is refused",
            )
            assert "crashes" not in fleet.store.objects
            fleet.store.faults.refuses = False
            await fleet.until(
                lambda: bool(fleet.store.objects.get("crashes")), "it is kept"
            )

    fixtures.run(play)
