"""Requests that end the targets that run them."""

import itertools

import anyio
from radishd import gateway as gateway_lib
from radishd.process import clock
from radishstack.process import crash_evidence
from radishstack.process import incarnation
from radishstack.request import fingerprint as fingerprint_lib
from standins import platform_engine
from standins import platform_site

from tests.fleet import fixtures

Fault = platform_engine.Fault
POISON = b"a body that ends whatever runs it"


def _crash_on_poison(seen: platform_engine.Seen) -> Fault:
    return Fault.CRASH if seen.body == POISON else Fault.NONE


def _breaks(gateway: gateway_lib.Gateway, *, ended: bool) -> int:
    """Returns how many targets broke off, by whether they had ended."""
    wanted = "yes" if ended else "no"
    samples = gateway.metrics.crashes.get_all()
    return sum(
        round(count) for labels, count in samples if labels["ended"] == wanted
    )


def test_a_target_that_ended_is_told_from_one_that_lost_an_answer() -> None:
    """An operator sees 502 and cannot tell a crash from a broken connection.

    Both break the answer off; what ended refuses connections afterwards. The
    log gave the same line for the two, ``sends=["i-...:lost"]``.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=2) as fleet:
            gateway = fleet.gateway
            for target in fleet.targets.values():
                target.fault = lambda seen: Fault.RESET_AFTER_RUN
            await fleet.call("/book/1", body=b"a booking")
            await fleet.until(
                lambda: _breaks(gateway, ended=False) == 1, "one is looked into"
            )
            assert not _breaks(gateway, ended=True)
            for target in fleet.targets.values():
                target.fault = _crash_on_poison
            answer = await fleet.call("/book/1", body=POISON)
            assert answer.status == 502, answer
            await fleet.until(
                lambda: _breaks(gateway, ended=True) == 1, "one has ended"
            )

    fixtures.run(play)


async def _add_gateways(
    fleet: fixtures.Fleet, count: int
) -> list[gateway_lib.Gateway]:
    """Starts further gateways, which read changes of targets quickly."""
    seeds = (fleet.gateway.own.peers,)
    gateways = [
        await fleet.add_gateway(seeds, leaving_ms=100) for _ in range(count)
    ]
    await fleet.until(
        lambda: all(not one.ready() for one in gateways), "all are up"
    )
    await fleet.until(
        lambda: all(len(one.peers.addresses) >= count for one in gateways),
        "they know each other",
    )
    return gateways


def _usable(gateway: gateway_lib.Gateway) -> set[str]:
    members = gateway.roster.usable(platform_site.PLAIN, clock.boot_ms())
    return {member.listing.instance for member in members}


async def _all_know(
    fleet: fixtures.Fleet, gateways: list[gateway_lib.Gateway]
) -> None:
    """Waits until all plain targets that run are used."""
    plain = {name for name, one in fleet.targets.items() if not one.model}
    await fleet.until(
        lambda: all(_usable(one) == plain for one in gateways),
        "gateways know all targets",
    )


async def _crash_once(
    fleet: fixtures.Fleet, gateway: gateway_lib.Gateway
) -> fixtures.Answer:
    """Sends the request once, and starts what it ended again."""
    before = _breaks(gateway, ended=True)
    answer = await fleet.call("/book/1", body=POISON, gateway=gateway)
    if any(target.ended for target in fleet.targets.values()):
        await fleet.until(
            lambda: _breaks(gateway, ended=True) > before, "it is noticed"
        )
        await fleet.restart_exited()
    return answer


def _arm(fleet: fixtures.Fleet) -> list[str]:
    """Has the request end whatever runs it; returns a log of its runs."""
    runs: list[str] = []

    def crash(seen: platform_engine.Seen) -> Fault:
        fault = _crash_on_poison(seen)
        if fault is Fault.CRASH:
            runs.append(seen.attempt_id)
        return fault

    for target in fleet.targets.values():
        target.fault = crash
    return runs


def test_a_request_that_ends_targets_is_not_sent_on_and_on() -> None:
    """One request ended ten engines in 16 s, seven after the first three.

    It came again every one to three seconds through five gateways, and each
    of them sent it to the next engine, as nothing was kept of what a target
    had ended under. The same adapter stood in all eight crashes that the logs
    hold, at 8.727, 9.549, 9.980, 14.796, 17.161, 19.696, 23.102 and 24.253 s,
    always ``status=502 code=3011 sends=["i-...:lost"]`` some 350 ms after the
    request came. Three repeats may still reach a target while gateways learn
    of the third crash; later ones are to be refused.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=1, plain=3) as fleet:
            gateways = await _add_gateways(fleet, 3)
            runs = _arm(fleet)
            answers = []
            for gateway in itertools.islice(itertools.cycle(gateways), 12):
                answers.append(await _crash_once(fleet, gateway))
                await _all_know(fleet, gateways)
            assert len(runs) <= 3 + 3, runs
            for answer in answers[-3:]:
                assert answer.status == 503, answer
                assert float(answer.headers["retry-after"]) > 0

    fixtures.run(play)


async def _convict(
    fleet: fixtures.Fleet, gateways: list[gateway_lib.Gateway]
) -> None:
    """Sends the request until it is refused at all gateways."""
    for gateway in itertools.cycle(gateways):
        await _crash_once(fleet, gateway)
        await _all_know(fleet, gateways)
        if all(
            one.crash_gossip.evidence.quarantined(clock.boot_ms())
            for one in gateways
        ):
            return


def test_a_gateway_that_starts_refuses_what_the_others_refuse() -> None:
    """A gateway is replaced while a request that ends targets goes round.

    What was known of it lay in the memory of the others, and the new one sent
    it to the next target.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=1, plain=3) as fleet:
            gateways = await _add_gateways(fleet, 2)
            runs = _arm(fleet)
            await _convict(fleet, gateways)
            (late,) = await _add_gateways(fleet, 1)
            await fleet.until(
                lambda: bool(
                    late.crash_gossip.evidence.quarantined(clock.boot_ms())
                ),
                "it has been told",
            )
            before = len(runs)
            answer = await fleet.call("/book/1", body=POISON, gateway=late)
            assert answer.status == 503 and len(runs) == before, answer

    fixtures.run(play)


def test_an_equal_request_that_ends_well_clears_it_everywhere() -> None:
    """Targets end under a request that is not to blame.

    Once they run it to its end it is to be refused nowhere, also at gateways
    that have not served it since.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=1, plain=3) as fleet:
            gateways = await _add_gateways(fleet, 2)
            _arm(fleet)
            for _ in range(2):
                await _crash_once(fleet, gateways[0])
                await _all_know(fleet, gateways)
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


def test_a_target_that_leaves_ends_under_nobody() -> None:
    """Targets are replaced one after the other, and cut what they still run.

    A slow request that is sent on to the next one each time would stand at
    three ends in turn, and be refused though no target ended for it.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=2) as fleet:
            gateway = fleet.gateway
            leaver = fleet.targets["i-plain0"]
            leaver.leaving = True
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
            for member in gateway.roster.members.values():
                gateway.evidence.record_aborted_response(member, "07" * 16, 0)
            removed = gateway.roster.members["i-plain0"]
            gateway.roster.drop("i-plain0")
            gateway.evidence.record_aborted_response(removed, "07" * 16, 0)
            assert not gateway.crash_watch.is_looking

    fixtures.run(play)


def test_a_gateway_that_missed_a_clearance_is_told_again() -> None:
    """A word is lost, and one gateway goes on refusing an innocent request.

    It refuses all of them, so it would see none end well itself; what it tells
    of the crashes shows another that it has not heard.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=1, plain=1) as fleet:
            knows, missed = await _add_gateways(fleet, 2)
            now_ms = clock.boot_ms()
            starts = [
                incarnation.IncarnationId(f"i{number}", 1)
                for number in range(3)
            ]
            observations = tuple(
                crash_evidence.Observation(
                    incarnation_id, now_ms - ago_ms - 300, now_ms - ago_ms
                )
                for incarnation_id, ago_ms in zip(
                    starts, (9_000, 6_000, 3_000), strict=True
                )
            )
            record = crash_evidence.Record("07" * 16, observations)
            for gateway in (knows, missed):
                gateway.crash_gossip.merge([record], source="test")
            knows.crash_gossip.evidence.succeeded("07" * 16, now_ms)
            assert missed.crash_gossip.quarantine("07" * 16) is not None
            await fleet.until(
                lambda: missed.crash_gossip.quarantine("07" * 16) is None,
                "it has been told",
            )

    fixtures.run(play)


def test_after_its_time_one_is_tried_and_the_others_wait_for_it() -> None:
    """A request is refused at all gateways, so none of it can end well.

    Let through at once everywhere, all that come would end a target each if
    they do; one at a time, at one gateway, ends one at most, or clears it.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=1, plain=2) as fleet:
            gateways = [fleet.gateway, *await _add_gateways(fleet, 2)]
            await fleet.until(
                lambda: all(len(one.peers.addresses) == 2 for one in gateways),
                "all know the same gateways",
            )
            now_ms = clock.boot_ms()
            fingerprint = fingerprint_lib.of_request(
                "POST", platform_site.HOST, b"/book/1", POISON
            )
            observations = tuple(
                crash_evidence.Observation(
                    incarnation.IncarnationId(f"i{number}", 1),
                    at_ms - 300,
                    at_ms,
                )
                for number, at_ms in enumerate(
                    now_ms - crash_evidence.QUARANTINE_MS - ago_ms
                    for ago_ms in (9_000, 6_000, 3_000)
                )
            )
            record = crash_evidence.Record(fingerprint, observations)
            for gateway in gateways:
                gateway.crash_gossip.merge([record], source="test")
            slow = {target: target.timing for target in fleet.targets.values()}
            for target in slow:
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


def test_a_site_that_restarts_whole_still_refuses_it() -> None:
    """All gateways restart at once, and the request comes again.

    What was known of it lay in their memory alone, so the next three targets
    ended under it before it was refused once more.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=3) as fleet:
            gateways = await _add_gateways(fleet, 1)
            runs = _arm(fleet)
            # The answer to the write is lost, which proves nothing.
            fleet.store.faults.loses_answers = True
            await _convict(fleet, gateways)
            kept = fleet.store.objects.get("crashes", {})
            await fleet.until(lambda: bool(kept), "it is kept")
            fleet.store.faults.loses_answers = False
            fleet.store.put("crashes", "foreign", {"fingerprint": 7})
            # This one knows no other gateway, nor is it known to any.
            late = await fleet.add_gateway()
            await fleet.until(
                lambda: (
                    not late.ready()
                    and bool(
                        late.crash_gossip.evidence.quarantined(clock.boot_ms())
                    )
                ),
                "it has read what is kept",
            )
            before = len(runs)
            answer = await fleet.call("/book/1", body=POISON, gateway=late)
            assert answer.status == 503 and len(runs) == before, answer
            assert "foreign" in fleet.store.objects["crashes"]

    fixtures.run(play)


def test_a_refusal_in_an_outage_is_kept_afterwards() -> None:
    """The store is away as the third target ends."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=3) as fleet:
            gateways = await _add_gateways(fleet, 1)
            _arm(fleet)
            for _ in range(2):
                await _crash_once(fleet, gateways[0])
                await _all_know(fleet, gateways)
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
