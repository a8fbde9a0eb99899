"""Rate limits that targets name in their answers."""

import collections
from collections.abc import Awaitable
from collections.abc import Callable

from radishd import gateway as gateway_lib
from standins import platform_engine

from tests.fleet import fixtures

GATEWAYS = 3
LIMIT_PER_S = 4
CALLS = 120
WARM_UP_CALLS = 12 * GATEWAYS
WINDOW_MS = 4_000
OVERSHOOT = 1.5
EXTRA = 5
MS_PER_S = 1_000

Play = Callable[[fixtures.Fleet, list[gateway_lib.Gateway]], Awaitable[None]]


def _run(play: Play, *, engines: int = 0, plain: int = 0) -> None:
    """Plays with several gateways that know each other."""

    async def played() -> None:
        async with fixtures.running_fleet(
            engines=engines, plain=plain
        ) as fleet:
            gateways = [fleet.gateway]
            for _ in range(GATEWAYS - 1):
                gateways.append(await fleet.add_gateway())
            addresses = {one.own.peers for one in gateways}
            for one in gateways:
                one.peers.heard(addresses)
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


async def _name_limit(
    fleet: fixtures.Fleet,
    gateways: list[gateway_lib.Gateway],
    names: set[str],
    path: str = "/look/1",
    adapter: str = "",
) -> None:
    """Has targets name a limit, in answers that all gateways pass on."""
    for name in names:
        fleet.targets[name].rate_limit = str(LIMIT_PER_S)
    await _call(fleet, gateways, WARM_UP_CALLS, path, adapter)


def _worst_window(target: platform_engine.PlatformEngine, since: int) -> int:
    """Returns the most requests that a target got in any window."""
    worst = 0
    window: collections.deque[int] = collections.deque()
    for seen in target.seen[since:]:
        window.append(seen.at_ms)
        while window[0] <= seen.at_ms - WINDOW_MS:
            window.popleft()
        worst = max(worst, len(window))
    return worst


def _allowed(limit_per_s: float = LIMIT_PER_S) -> float:
    return OVERSHOOT * limit_per_s * WINDOW_MS / MS_PER_S + EXTRA


def test_a_target_gets_no_more_than_the_rate_limit_that_it_names() -> None:
    """Guards against gateways that together exceed a target's rate limit."""

    async def play(
        fleet: fixtures.Fleet, gateways: list[gateway_lib.Gateway]
    ) -> None:
        limited = fleet.targets["i-plain0"]
        await _name_limit(fleet, gateways, {"i-plain0"})
        before = len(limited.seen)
        answers = await _call(fleet, gateways)
        assert all(one.status == 200 for one in answers)
        assert _worst_window(limited, before) <= _allowed()

    _run(play, plain=2)


def test_an_engine_gets_no_more_than_the_rate_limit_that_it_names() -> None:
    """Guards against an adapter that draws requests to a limited engine."""

    async def play(
        fleet: fixtures.Fleet, gateways: list[gateway_lib.Gateway]
    ) -> None:
        call = {"path": "/chat/1", "adapter": "a1"}
        await _call(fleet, gateways, GATEWAYS, **call)
        holder = next(
            name for name, one in fleet.targets.items() if one.adapters
        )
        await _name_limit(fleet, gateways, {holder}, **call)
        limited = fleet.targets[holder]
        before = len(limited.seen)
        answers = await _call(fleet, gateways, **call)
        assert all(one.status == 200 for one in answers)
        assert _worst_window(limited, before) <= _allowed()

    _run(play, engines=2)


def test_where_all_targets_name_a_rate_limit_callers_are_told_at_once() -> None:
    """Guards against requests that wait in vain for a limited service."""

    async def play(
        fleet: fixtures.Fleet, gateways: list[gateway_lib.Gateway]
    ) -> None:
        names = set(fleet.targets)
        await _name_limit(fleet, gateways, names)
        before = {name: len(fleet.targets[name].seen) for name in names}
        answers = await _call(fleet, gateways)
        for name in names:
            worst = _worst_window(fleet.targets[name], before[name])
            assert worst <= _allowed()
        refused = [one for one in answers if one.status != 200]
        assert refused
        for answer in refused:
            assert answer.status == 503, answer
            assert float(answer.headers["retry-after"]) > 0

    _run(play, plain=2)
