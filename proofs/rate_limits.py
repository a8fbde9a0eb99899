"""Gateways in front of a rate-limited target, in virtual time.

The world simulates what a gateway does with the shipped decisions: it makes
reservations, sends requests, reads the limit from responses and reports changes
to the other gateways. Reports and responses are delayed and reordered, reports
are lost, and gateways restart and have different views of the membership.
"""

import collections
from collections.abc import Callable
import dataclasses
import heapq
import itertools
import random

from hypothesis import stateful
from hypothesis import strategies as st
from radishstack.process import incarnation
from radishstack.process import target_rate_limits

COUNTS: collections.Counter[str] = collections.Counter()
MS_PER_S = 1_000
WINDOW_MS = 4_000
OVERSHOOT_FACTOR = 1.5
TOLERANCE = 5
# Time from a gateway's first response with a limit until it must comply.
GRACE_PERIOD_MS = 500
# Time from the start of a limit until compliance is checked, and from its
# replacement until the new limit is enforced.
SETTLE_MS = 3_000
MIN_DELAY_MS = 1
MAX_DELAY_MS = 6
MAX_RESPONSE_MS = 800
UNLIMITED_PER_S = target_rate_limits.UNLIMITED_PER_S


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached the target.

    Attributes:
        at_ms: Time of arrival.
        must_comply: Whether its gateway had to comply with the limit.
    """

    at_ms: int
    must_comply: bool


class Gateway:
    """One simulated gateway that runs the shipped decisions."""

    def __init__(self, world: "World", name: str, others: set[str]) -> None:
        """Starts without limits."""
        self.world = world
        self.name = name
        self.others = others
        self.restart()

    def restart(self) -> None:
        """Restarts the gateway, which loses all limits."""
        self.limited_since_ms: int | None = None
        self.limits = target_rate_limits.TargetRateLimits(
            self.name,
            lambda: self.others,
            lambda: self.world.count,
            self.world.random,
        )

    def request(self) -> None:
        """Sends a request if the limit allows it."""
        now_ms = self.world.now_ms
        if self.limits.reserve(self.world.incarnation_id, now_ms) is None:
            COUNTS["rejected"] += 1
            return
        COUNTS["sent"] += 1
        delay_ms = self.world.random.randint(MIN_DELAY_MS, MAX_DELAY_MS)
        # Some requests wait for an adapter to load.
        if self.world.random.random() < 0.1:
            delay_ms += target_rate_limits.RESERVATION_MS
        limits = self.limits
        self.world.after(delay_ms, lambda: self._arrive(limits))

    def _arrive(self, limits: target_rate_limits.TargetRateLimits) -> None:
        world = self.world
        sent_at_ms = world.now_ms
        since_ms = self.limited_since_ms
        must_comply = (
            since_ms is not None and sent_at_ms - since_ms >= GRACE_PERIOD_MS
        )
        world.arrivals.append(Arrival(sent_at_ms, must_comply))
        response_ms = world.random.randint(MIN_DELAY_MS, MAX_RESPONSE_MS)

        def respond() -> None:
            limit_per_s = world.limit_per_s
            delay_ms = world.random.randint(MIN_DELAY_MS, MAX_DELAY_MS)
            world.after(
                delay_ms,
                lambda: self._on_response(limits, limit_per_s, sent_at_ms),
            )

        world.after(response_ms, respond)

    def _on_response(
        self,
        limits: target_rate_limits.TargetRateLimits,
        limit_per_s: float,
        sent_at_ms: int,
    ) -> None:
        if limits is not self.limits:
            return
        now_ms = self.world.now_ms
        if limit_per_s != UNLIMITED_PER_S and self.limited_since_ms is None:
            self.limited_since_ms = now_ms
        elif limit_per_s == UNLIMITED_PER_S:
            self.limited_since_ms = None
        if limits.record(
            self.world.incarnation_id,
            limit_per_s,
            as_of_ms=sent_at_ms,
            now_ms=now_ms,
        ):
            self.world.report(self, limit_per_s)

    def on_report(self, limit_per_s: float, received_at_ms: int) -> None:
        """Applies a report from another gateway."""
        self.limits.record(
            self.world.incarnation_id,
            limit_per_s,
            as_of_ms=received_at_ms - target_rate_limits.MAX_REORDER_MS,
            now_ms=self.world.now_ms,
        )


class World:
    """Gateways, one target and a shared clock.

    Attributes:
        now_ms: Current virtual time.
        limit_per_s: The limit that the target advertises.
        gateways: The gateways by name.
        loss: Fraction of reports that are lost.
        arrivals: Requests that reached the target, in order.
    """

    def __init__(self, count: int, source: random.Random) -> None:
        """Starts with gateways that know each other.

        Args:
            count: Number of gateways.
            source: Random source of the simulation.
        """
        self.now_ms = 1_000_000
        self.count = count
        self.random = source
        self.incarnation_id = incarnation.IncarnationId("i-1", 1)
        self.limit_per_s = UNLIMITED_PER_S
        self.loss = 0.0
        self.arrivals: list[Arrival] = []
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        names = {f"10.0.0.{number}:1" for number in range(count)}
        self.gateways = {
            name: Gateway(self, name, names - {name}) for name in sorted(names)
        }

    def after(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Schedules an action."""
        at_ms = self.now_ms + max(0, round(delay_ms))
        heapq.heappush(self._events, (at_ms, next(self._numbers), action))

    def run_until(self, at_ms: int) -> None:
        """Runs all events up to a time."""
        while self._events and self._events[0][0] <= at_ms:
            self.now_ms, _, action = heapq.heappop(self._events)
            action()
        self.now_ms = at_ms

    def report(self, by: Gateway, limit_per_s: float) -> None:
        """Reports a change to all other gateways."""
        at_ms = self.now_ms
        for name in sorted(by.others & self.gateways.keys()):
            if self.random.random() < self.loss:
                continue
            delay_ms = self.random.randint(MIN_DELAY_MS, MAX_DELAY_MS)
            gateway = self.gateways[name]
            self.after(
                delay_ms,
                lambda gateway=gateway: gateway.on_report(limit_per_s, at_ms),
            )

    def demand(self, per_s: float, for_ms: int) -> None:
        """Sends requests to random gateways and advances the clock."""
        count = round(per_s * for_ms / MS_PER_S)
        gateways = list(self.gateways.values())
        for number in range(count):
            gateway = self.random.choice(gateways)
            self.after(for_ms * number / count, gateway.request)
        self.run_until(self.now_ms + for_ms)

    def worst_window(self, since_ms: int) -> int:
        """Returns the largest number of arrivals in a window.

        Counts only arrivals from gateways that had to comply.

        Args:
            since_ms: Windows that end before this time are ignored.
        """
        worst = 0
        window: collections.deque[int] = collections.deque()
        for arrival in self.arrivals:
            if not arrival.must_comply:
                continue
            window.append(arrival.at_ms)
            while window[0] <= arrival.at_ms - WINDOW_MS:
                window.popleft()
            if arrival.at_ms >= since_ms:
                worst = max(worst, len(window))
        return worst


def allowed(limit_per_s: float) -> float:
    """Returns the maximum number of requests in a window."""
    return OVERSHOOT_FACTOR * limit_per_s * WINDOW_MS / MS_PER_S + TOLERANCE


class RateLimitsMachine(stateful.RuleBasedStateMachine):
    """One target whose rate limit is introduced, changed and removed."""

    GATEWAYS = 8

    def __init__(self) -> None:
        """Starts without a world; ``begin`` creates it."""
        super().__init__()
        self.world: World | None = None
        self.names: list[str] = []
        # Former limits, each with the time at which it was replaced.
        self.former_limits: list[tuple[int, float]] = []
        self.settled_at_ms = 0
        self.checked_until_ms = 0

    @stateful.initialize(seed=st.integers(0, 2**16))
    def begin(self, seed: int) -> None:
        """Creates the world."""
        self.world = World(self.GATEWAYS, random.Random(seed))
        self.names = sorted(self.world.gateways)

    @stateful.rule(
        per_s=st.sampled_from((3, 40, 200)), for_ms=st.integers(300, 6_000)
    )
    def demand(self, per_s: int, for_ms: int) -> None:
        """Sends requests to all gateways."""
        self.world.demand(per_s, for_ms)

    @stateful.rule(per_s=st.sampled_from((0.0, 0.4, 2.5, 4.0, 6.4, 25.0)))
    def modify_limit(self, per_s: float) -> None:
        """The target starts to advertise a limit or changes it."""
        now_ms = self.world.now_ms
        if self.world.limit_per_s == UNLIMITED_PER_S:
            self.settled_at_ms = now_ms + SETTLE_MS
        else:
            self.former_limits.append((now_ms, self.world.limit_per_s))
        self.world.limit_per_s = per_s
        COUNTS["fault limit"] += 1

    @stateful.rule()
    def end_limit(self) -> None:
        """The target stops advertising a limit."""
        if self.world.limit_per_s != UNLIMITED_PER_S:
            self.world.limit_per_s = UNLIMITED_PER_S
            self.world.arrivals.clear()
            self.former_limits.clear()

    @stateful.rule(loss=st.sampled_from((0.0, 0.3, 1.0)))
    def lose_reports(self, loss: float) -> None:
        """Sets the fraction of reports that are lost."""
        self.world.loss = loss

    @stateful.rule(at=st.integers(0, GATEWAYS - 1))
    def restart(self, at: int) -> None:
        """Restarts a gateway."""
        self.world.gateways[self.names[at]].restart()
        COUNTS["fault restart"] += 1

    @stateful.rule(
        at=st.integers(0, GATEWAYS - 1), unknown=st.integers(0, GATEWAYS - 1)
    )
    def hide_gateway(self, at: int, unknown: int) -> None:
        """Sets a gateway's view to all others except one."""
        gateway = self.world.gateways[self.names[at]]
        gateway.others = set(self.names) - {gateway.name, self.names[unknown]}
        COUNTS["fault view"] += 1

    def _allowed(self) -> float:
        # A higher former limit applies until gateways can have learned that it
        # was replaced.
        since_ms = self.checked_until_ms - WINDOW_MS - SETTLE_MS
        recent = [
            per_s
            for until_ms, per_s in self.former_limits
            if until_ms > since_ms
        ]
        return allowed(max([self.world.limit_per_s, *recent]))

    @stateful.invariant()
    def no_window_exceeds_the_limit(self) -> None:
        """Gateways that must comply together send no more than is allowed."""
        if self.world is None or self.world.limit_per_s == UNLIMITED_PER_S:
            return
        since_ms = max(self.settled_at_ms, self.checked_until_ms)
        worst = self.world.worst_window(since_ms)
        COUNTS["judged"] += 1
        COUNTS["judged at the limit"] += worst > 2
        assert worst <= self._allowed(), (
            f"{worst} requests, {self._allowed()} allowed"
        )
        self.checked_until_ms = self.world.now_ms
        oldest_ms = self.world.now_ms - 3 * WINDOW_MS
        self.world.arrivals = [
            one for one in self.world.arrivals if one.at_ms >= oldest_ms
        ]
