"""Rate limits that targets advertise in their responses."""

import collections
from collections.abc import Awaitable
from collections.abc import Callable
import math

import anyio
from radishd import gateway as gateway_lib
from radishd.connection import http_client
from radishd.platform import front
from radishstack import result
from radishstack.connection import fleet_wire
from radishstack.process import incarnation
from radishstack.process import target_rate_limits
from standins import platform_engine

from proofs import rate_limits
from tests.fleet import fixtures

GATEWAYS = 3
LIMIT_PER_S = 4
CALLS = 120
WARM_UP_CALLS = 12 * GATEWAYS
WINDOW_MS = 4_000
OVERSHOOT_FACTOR = 1.5
TOLERANCE = 5
MS_PER_S = 1_000
GATEWAY_COUNT = 390
TARGET = incarnation.IncarnationId("i-limited", 1)
UNLIMITED_PER_S = target_rate_limits.UNLIMITED_PER_S

Play = Callable[[fixtures.Fleet, list[gateway_lib.Gateway]], Awaitable[None]]


def _run(play: Play, *, engines: int = 0, plain: int = 0) -> None:
    """Runs a scenario with several gateways that know each other."""

    async def played() -> None:
        async with fixtures.running_fleet(
            engines=engines, plain=plain
        ) as fleet:
            gateways = [fleet.gateway]
            for _ in range(GATEWAYS - 1):
                gateways.append(await fleet.add_gateway())
            addresses = {one.own.peers for one in gateways}
            for one in gateways:
                one.peers.record_peers(addresses)
            for one in gateways:
                await fleet.until(
                    lambda one=one: (
                        not one.ready()
                        and len(one.roster.members) == engines + plain
                    ),
                    "all gateways know the targets",
                )
            await play(fleet, gateways)

    fixtures.run(played)


async def _call(
    fleet: fixtures.Fleet,
    gateways: list[gateway_lib.Gateway],
    count: int = CALLS,
    path: str = "/look/1",
    adapter: str = "",
) -> list[fixtures.Answer]:
    return [
        await fleet.call(
            path,
            method="POST" if adapter else "GET",
            adapter=adapter,
            gateway=gateways[number % len(gateways)],
        )
        for number in range(count)
    ]


async def _advertise_limit(
    fleet: fixtures.Fleet,
    gateways: list[gateway_lib.Gateway],
    names: set[str],
    path: str = "/look/1",
    adapter: str = "",
) -> None:
    """Sets a limit at targets and calls them through all gateways."""
    for name in names:
        fleet.targets[name].rate_limit = str(LIMIT_PER_S)
    await _call(fleet, gateways, WARM_UP_CALLS, path, adapter)


def _worst_window(target: platform_engine.PlatformEngine, since: int) -> int:
    """Returns the largest number of requests to a target in any window."""
    worst = 0
    window: collections.deque[int] = collections.deque()
    for seen in target.seen[since:]:
        window.append(seen.at_ms)
        while window[0] <= seen.at_ms - WINDOW_MS:
            window.popleft()
        worst = max(worst, len(window))
    return worst


def _allowed(limit_per_s: float = LIMIT_PER_S) -> float:
    return OVERSHOOT_FACTOR * limit_per_s * WINDOW_MS / MS_PER_S + TOLERANCE


def test_a_target_gets_no_more_than_the_rate_limit_it_advertises() -> None:
    """Guards against gateways that together exceed a target's rate limit."""

    async def play(
        fleet: fixtures.Fleet, gateways: list[gateway_lib.Gateway]
    ) -> None:
        limited = fleet.targets["i-plain0"]
        await _advertise_limit(fleet, gateways, {"i-plain0"})
        before = len(limited.seen)
        answers = await _call(fleet, gateways)
        assert all(one.status == 200 for one in answers)
        assert _worst_window(limited, before) <= _allowed()

    _run(play, plain=2)


def test_an_engine_gets_no_more_than_the_rate_limit_it_advertises() -> None:
    """Guards against adapter placement that ignores an engine's limit."""

    async def play(
        fleet: fixtures.Fleet, gateways: list[gateway_lib.Gateway]
    ) -> None:
        call = {"path": "/chat/1", "adapter": "a1"}
        await _call(fleet, gateways, GATEWAYS, **call)
        holder = next(
            name for name, one in fleet.targets.items() if one.adapters
        )
        await _advertise_limit(fleet, gateways, {holder}, **call)
        limited = fleet.targets[holder]
        before = len(limited.seen)
        answers = await _call(fleet, gateways, **call)
        assert all(one.status == 200 for one in answers)
        assert _worst_window(limited, before) <= _allowed()

    _run(play, engines=2)


async def _check_limited_service(
    fleet: fixtures.Fleet,
    gateways: list[gateway_lib.Gateway],
    path: str = "/look/1",
    adapter: str = "",
) -> None:
    """Checks a service whose targets are all rate-limited."""
    names = set(fleet.targets)
    await _advertise_limit(fleet, gateways, names, path, adapter)
    before = {name: len(fleet.targets[name].seen) for name in names}
    answers = await _call(fleet, gateways, CALLS, path, adapter)
    for name in names:
        worst = _worst_window(fleet.targets[name], before[name])
        assert worst <= _allowed()
    refused = [one for one in answers if one.status != 200]
    assert refused
    for answer in refused:
        assert answer.status == 503, answer
        assert float(answer.headers["retry-after"]) > 0


def test_requests_are_rejected_at_once_if_all_targets_are_limited() -> None:
    """Guards against requests that wait for a limited service and time out."""
    _run(_check_limited_service, plain=2)


def test_engines_that_all_have_a_rate_limit_get_no_more() -> None:
    """Guards against adapter requests that exceed their engines' limits."""

    async def play(
        fleet: fixtures.Fleet, gateways: list[gateway_lib.Gateway]
    ) -> None:
        await _check_limited_service(fleet, gateways, "/chat/1", "a1")

    _run(play, engines=2)


def test_a_limit_is_reported_to_gateways_without_a_response() -> None:
    """Guards against gateways that learn of a limit only by exceeding it."""

    async def play(
        fleet: fixtures.Fleet, gateways: list[gateway_lib.Gateway]
    ) -> None:
        for target in fleet.targets.values():
            target.rate_limit = str(LIMIT_PER_S)
        await _call(fleet, gateways[:1], 1)
        for gateway in gateways:
            await fleet.until(
                gateway.rate_limits.report, "the gateway knows the limit"
            )

    _run(play, plain=2)


def test_a_limit_ends_at_gateways_that_do_not_send_to_the_target() -> None:
    """Guards against gateways that still avoid a target after its limit."""

    async def play(
        fleet: fixtures.Fleet, gateways: list[gateway_lib.Gateway]
    ) -> None:
        limited = fleet.targets["i-plain0"]
        await _advertise_limit(fleet, gateways, {"i-plain0"})
        assert all(one.rate_limits.report() for one in gateways)
        limited.rate_limit = None

        async def call() -> None:
            while any(one.rate_limits.report() for one in gateways):
                await _call(fleet, gateways, 1)

        with anyio.fail_after(fixtures.LIMIT_S):
            await call()

    _run(play, plain=2)


def _limits(
    name: str = "gateway-0",
    others: frozenset[str] = frozenset(),
    gateway_count: int = 1,
) -> target_rate_limits.TargetRateLimits:
    return target_rate_limits.TargetRateLimits(
        name, lambda: others, lambda: gateway_count, fixtures.seeded()
    )


def test_a_response_out_of_order_does_not_end_a_limit() -> None:
    """Guards against a limit that is removed by an older response."""
    limits = _limits()
    limits.record(TARGET, 4.0, as_of_ms=900, now_ms=1_000)
    limits.record(TARGET, UNLIMITED_PER_S, as_of_ms=950, now_ms=1_001)
    assert limits.is_limited(TARGET)
    limits.record(TARGET, UNLIMITED_PER_S, as_of_ms=1_001, now_ms=1_100)
    assert not limits.is_limited(TARGET)


def test_a_limit_holds_for_one_incarnation_of_a_target_only() -> None:
    """Guards against a limit that persists after the target restarts."""
    limits = _limits()
    limits.record(TARGET, 4.0, as_of_ms=900, now_ms=1_000)
    assert not limits.may_send(TARGET, 1_000)
    assert limits.may_send(incarnation.IncarnationId(TARGET.name, 2), 1_000)


def test_a_gateway_that_knows_few_others_is_not_selected() -> None:
    """Guards against gateways that select themselves with a partial view."""
    select = target_rate_limits.sender_bucket
    assert select(4.0, 0, 4, GATEWAY_COUNT) is None
    assert select(4.0, 0, GATEWAY_COUNT, GATEWAY_COUNT) is not None


def test_a_large_fleet_keeps_to_a_small_limit() -> None:
    """Guards against fleets that send at least one request per gateway."""
    world = rate_limits.World(GATEWAY_COUNT, fixtures.seeded())
    world.limit_per_s = 4.0
    for gateway in world.gateways.values():
        gateway.limits.record(
            world.incarnation_id,
            4.0,
            as_of_ms=world.now_ms,
            now_ms=world.now_ms,
        )
        gateway.limited_since_ms = world.now_ms - rate_limits.GRACE_PERIOD_MS
    world.demand(3_000, 20_000)
    assert world.worst_window(0) <= rate_limits.allowed(4.0)
    # Guards against a limit that is kept only by underuse.
    assert len(world.arrivals) >= 0.6 * 4 * 20


def test_probes_of_gateways_that_were_idle_are_not_sent_at_once() -> None:
    """Guards against a burst of overdue probes after an idle hour."""
    world = rate_limits.World(GATEWAY_COUNT, fixtures.seeded())
    world.limit_per_s = 4.0
    for gateway in world.gateways.values():
        gateway.limits.record(
            world.incarnation_id,
            4.0,
            as_of_ms=world.now_ms,
            now_ms=world.now_ms,
        )
        gateway.limited_since_ms = world.now_ms
    world.run_until(world.now_ms + 3_600_000)
    for gateway in world.gateways.values():
        gateway.request()
    world.run_until(world.now_ms + 1_000)
    assert world.worst_window(0) <= rate_limits.allowed(4.0)


def test_the_number_of_tracked_limits_is_bounded() -> None:
    """Guards against memory that grows with targets that no longer exist."""
    limits = _limits()
    for number in range(2 * target_rate_limits.MAX_LIMITS):
        incarnation_id = incarnation.IncarnationId(f"i-{number}", 1)
        limits.record(incarnation_id, 4.0, as_of_ms=0, now_ms=0)
    assert len(limits) == target_rate_limits.MAX_LIMITS


def test_a_limit_is_decoded_only_if_valid_and_from_the_target() -> None:
    """Guards against invalid values and limits of another instance."""
    for headers, expected in (
        ((), UNLIMITED_PER_S),
        (((b"server-limit", b"6.5"),), 6.5),
        (((b"server-limit", b"0"),), 0.0),
        (((b"server-limit", b"soon"),), None),
        (((b"server-limit", b"nan"),), None),
        (((b"server-limit", b"-1"),), None),
        (((b"server-limit", b"4"), (b"x-instance-id", b"other")), None),
    ):
        head = http_client.Head(200, headers)
        assert front.rate_limit_per_s(head, "mine") == expected, headers


def test_a_report_of_a_limit_is_decoded_as_it_was_encoded() -> None:
    """Guards against lossy encoding and against invalid limits in reports."""
    for limit_per_s in (0.0, 6.4, UNLIMITED_PER_S):
        report = fleet_wire.RateLimitReport(TARGET, limit_per_s, 12)
        assert fleet_wire.decode(fleet_wire.encode(report)) == report
    report = fleet_wire.RateLimitReport(TARGET, math.nan, 12)
    decoded = fleet_wire.decode(fleet_wire.encode(report))
    assert isinstance(decoded, result.Failure)
