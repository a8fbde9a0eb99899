"""Gateways that share usage caps, in virtual time, under faults.

The world simulates the driver of a gateway around the shipped decisions: it
sends their messages and waits for responses. Messages are delayed and lost, and
links are cut. Gateways are paused and restarted without state, have different
views of the membership, and caps are lowered and raised.
"""

import collections
from collections.abc import Callable
import dataclasses
import heapq
import itertools
import random

from hypothesis import stateful
from hypothesis import strategies as st
from radishstack.connection import fleet_wire
from radishstack.process import usage_books
from radishstack.process import usage_cap
from radishstack.process import usage_loan

COUNTS: collections.Counter[str] = collections.Counter()
ACCOUNT = "crew"
LOAN_WAIT_MS = 150
POLL_WAIT_MS = 12
MIN_DELAY_MS = 1
MAX_DELAY_MS = 6
# Maximum time from a reservation to its send.
MAX_SEND_DELAY_MS = usage_loan.RESERVATION_MS
MS_PER_S = 1_000
# Tolerance for rounding errors in sums of floats.
EPSILON = 1.0
# A window above this fraction of the limit counts as at the cap.
AT_CAP_FRACTION = 0.8

OnDone = Callable[[bool], None]


@dataclasses.dataclass(slots=True)
class Sent:
    """One request that was sent to a target."""

    at_ms: int
    cost: float


class World:
    """Gateways, links and a clock.

    Attributes:
        now_ms: Current virtual time, which all gateways share.
        gateways: The gateways by name.
        cuts: Pairs of gateways whose link is cut.
        loss: Fraction of messages that are lost.
        sent: Requests that were sent to targets, in order.
        cap: The cap in force.
        message_bytes: Total size of all messages.
    """

    def __init__(
        self,
        rules: usage_books.Rules,
        cap: usage_cap.UsageCap,
        count: int,
        source: random.Random,
    ) -> None:
        """Starts with gateways that have run for a window.

        Args:
            rules: Rules that caps are enforced by.
            cap: The cap of the account.
            count: Number of gateways.
            source: Random source of the links.
        """
        self.now_ms = 1_000_000
        self.rules = rules
        self.cap = cap
        self.count = count
        self.random = source
        self.cuts: set[frozenset[str]] = set()
        self.loss = 0.0
        self.sent: list[Sent] = []
        self.message_bytes = 0
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        names = [f"10.0.0.{number}:1" for number in range(count)]
        started_ms = self.now_ms - rules.window_ms
        self.gateways = {
            name: Gateway(self, name, set(names) - {name}, started_ms)
            for name in names
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

    def send(self, by: str, to: str, message: usage_loan.Message) -> None:
        """Sends a message, which may be delayed or lost."""
        data = fleet_wire.encode(message)
        self.message_bytes += len(data)
        if frozenset((by, to)) in self.cuts or to not in self.gateways:
            return
        if self.random.random() < self.loss:
            return
        decoded = fleet_wire.decode(data)
        delay_ms = self.random.randint(MIN_DELAY_MS, MAX_DELAY_MS)
        self.after(delay_ms, lambda: self.gateways[to].receive(decoded, by))

    def record(self, cost: float) -> None:
        """Records a send to a target."""
        self.sent.append(Sent(self.now_ms, cost))

    def worst_window(self, since_ms: int = 0) -> float:
        """Returns the largest cost of any window that ends after a time."""
        worst = total = 0.0
        window: collections.deque[Sent] = collections.deque()
        for one in self.sent:
            window.append(one)
            total += one.cost
            while window[0].at_ms <= one.at_ms - self.rules.window_ms:
                total -= window.popleft().cost
            if one.at_ms >= since_ms:
                worst = max(worst, total)
        return worst


class Gateway:
    """One simulated gateway that runs the shipped decisions."""

    def __init__(
        self, world: World, name: str, others: set[str], started_ms: int
    ) -> None:
        """Starts without state."""
        self.world = world
        self.name = name
        self.others = others
        self.resumes_at_ms = 0
        self.incarnation = 0
        self._inbox: list[tuple[usage_loan.Message, str]] = []
        self.start(started_ms)

    def start(self, started_ms: int) -> None:
        """Starts a new incarnation without state."""
        self.incarnation += 1
        self._inbox.clear()
        self.shares = usage_books.UsageShares(
            self.world.rules,
            lambda: self.others,
            lambda: self.world.count,
            started_ms,
            self.world.random,
        )

    def pause(self, for_ms: int) -> None:
        """Pauses the process; messages wait until it resumes."""
        self.resumes_at_ms = self.world.now_ms + for_ms
        self.world.after(for_ms, self._resume)

    @property
    def is_paused(self) -> bool:
        """Whether the process is paused."""
        return self.world.now_ms < self.resumes_at_ms

    def _resume(self) -> None:
        if self.is_paused:
            return
        waiting, self._inbox = self._inbox, []
        for message, sender in waiting:
            self._handle(message, sender)

    def _later(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Schedules an action of the current incarnation."""
        incarnation = self.incarnation

        def act() -> None:
            if incarnation != self.incarnation:
                return
            if self.is_paused:
                self._later(self.resumes_at_ms - self.world.now_ms, action)
                return
            action()

        self.world.after(delay_ms, act)

    def receive(self, message: usage_loan.Message, sender: str) -> None:
        """Handles a message, after the pause if the process is paused."""
        if self.is_paused:
            self._inbox.append((message, sender))
        else:
            self._handle(message, sender)

    def _handle(self, message: usage_loan.Message, sender: str) -> None:
        now_ms = self.world.now_ms
        if isinstance(message, usage_loan.LoanRequest):
            loan = self.shares.lend(message, self.world.cap, now_ms)
            self.world.send(self.name, sender, loan)
        else:
            self.shares.on_loan(message, now_ms)

    def request(self, cost: float, done: OnDone | None = None) -> None:
        """Admits or rejects one request, and sends it if admitted."""
        if self.is_paused:
            return
        self._admit(cost, self.world.now_ms + LOAN_WAIT_MS, done)

    def _admit(self, cost: float, until_ms: int, done: OnDone | None) -> None:
        now_ms, cap = self.world.now_ms, self.world.cap
        if self.shares.reserve(ACCOUNT, cap, cost, now_ms) is not None:
            if self.shares.borrow_ahead_amount(ACCOUNT, cap, now_ms):
                self._request_loans(0.0)
            self._send_soon(cost)
            if done is not None:
                done(True)
            return
        self._request_loans(self.shares.missing(ACCOUNT, cap, cost, now_ms))
        if (
            self.shares.is_borrowing_paused(ACCOUNT, now_ms)
            or now_ms >= until_ms
        ):
            if done is not None:
                done(False)
            return
        pause_ms = 2 * MAX_DELAY_MS + 1
        self._later(pause_ms, lambda: self._admit(cost, until_ms, done))

    def _send_soon(self, cost: float) -> None:
        # Sends only if the process was neither restarted nor paused, since a
        # paused gateway makes a new reservation before it sends.
        delay_ms = self.world.random.choice((0, 0, 1, MAX_SEND_DELAY_MS))
        incarnation, reserved_at_ms = self.incarnation, self.world.now_ms

        def send() -> None:
            is_late = self.world.now_ms - reserved_at_ms > MAX_SEND_DELAY_MS
            if (
                incarnation == self.incarnation
                and not self.is_paused
                and not is_late
            ):
                self.world.record(cost)

        if delay_ms:
            self.world.after(delay_ms, send)
        else:
            self.world.record(cost)

    def _request_loans(self, amount: float) -> None:
        for lender, loan_request in self.shares.ask(
            ACCOUNT, amount, self.world.now_ms
        ):
            self.world.send(self.name, lender, loan_request)


class UsageMachine(stateful.RuleBasedStateMachine):
    """One account at and above its cap, with gateways under faults."""

    GATEWAYS = 5
    RULES = usage_books.Rules(4_000, 0.1, 2_000.0)
    CAP = usage_cap.UsageCap(10_000.0, 10_000.0, usage_cap.CostUnit.TOKEN)

    def __init__(self) -> None:
        """Starts with gateways that know each other."""
        super().__init__()
        self.world: World | None = None
        self.names: list[str] = []
        self.former_caps: list[tuple[int, float]] = []
        self.checked_until_ms = 0

    @stateful.initialize(seed=st.integers(0, 2**16))
    def begin(self, seed: int) -> None:
        """Starts the world."""
        self.world = World(
            self.RULES, self.CAP, self.GATEWAYS, random.Random(seed)
        )
        self.names = sorted(self.world.gateways)

    @stateful.rule(
        at=st.integers(0, GATEWAYS - 1),
        cost=st.sampled_from((50.0, 300.0, 4_000.0)),
        count=st.integers(1, 40),
        spread_ms=st.sampled_from((0, 20, 500)),
    )
    def rush(self, at: int, cost: float, count: int, spread_ms: int) -> None:
        """One gateway receives requests."""
        gateway = self.world.gateways[self.names[at]]
        for number in range(count):
            self.world.after(
                spread_ms * number / count, lambda: gateway.request(cost)
            )
        self.world.run_until(self.world.now_ms + spread_ms + 1)
        COUNTS["requests"] += count

    @stateful.rule(
        per_s=st.sampled_from((5, 60)), for_ms=st.integers(200, 6_000)
    )
    def even(self, per_s: int, for_ms: int) -> None:
        """All gateways receive requests."""
        total = per_s * for_ms // MS_PER_S
        for number in range(total):
            gateway = self.world.gateways[self.names[number % self.GATEWAYS]]
            self.world.after(
                for_ms * number / max(1, total),
                lambda gateway=gateway: gateway.request(250.0),
            )
        self.world.run_until(self.world.now_ms + for_ms)
        COUNTS["requests"] += total

    @stateful.rule(pause_ms=st.sampled_from((1, 40, 700, 1_500, 5_000)))
    def pause(self, pause_ms: int) -> None:
        """No requests arrive for a while."""
        self.world.run_until(self.world.now_ms + pause_ms)

    @stateful.rule(side=st.integers(1, 2**GATEWAYS - 2))
    def cut(self, side: int) -> None:
        """A network partition separates the gateways into two groups."""
        self.world.cuts = {
            frozenset((a, b))
            for i, a in enumerate(self.names)
            for j, b in enumerate(self.names)
            if (side >> i & 1) != (side >> j & 1)
        }
        COUNTS["fault cut"] += 1

    @stateful.rule(loss=st.sampled_from((0.0, 0.1, 0.5)))
    def lose(self, loss: float) -> None:
        """Links lose messages."""
        self.world.loss = loss

    @stateful.rule()
    def heal(self) -> None:
        """All links work again."""
        self.world.cuts.clear()

    @stateful.rule(
        at=st.integers(0, GATEWAYS - 1),
        for_ms=st.sampled_from((300, 900, 2_500, 5_000)),
    )
    def freeze(self, at: int, for_ms: int) -> None:
        """A gateway is paused."""
        self.world.gateways[self.names[at]].pause(for_ms)
        COUNTS["fault freeze"] += 1

    @stateful.rule(at=st.integers(0, GATEWAYS - 1), known=st.integers(0, 31))
    def know(self, at: int, known: int) -> None:
        """A gateway knows only some of the others."""
        gateway = self.world.gateways[self.names[at]]
        gateway.others = {
            name
            for number, name in enumerate(self.names)
            if known >> number & 1 and name != gateway.name
        }
        COUNTS["fault view"] += 1

    @stateful.rule(at=st.integers(0, GATEWAYS - 1))
    def restart(self, at: int) -> None:
        """A gateway is restarted and loses its state."""
        self.world.gateways[self.names[at]].start(self.world.now_ms)
        COUNTS["fault restart"] += 1

    @stateful.rule(part=st.sampled_from((0.2, 0.5, 1.0)))
    def change_cap(self, part: float) -> None:
        """The operator changes the cap; a lower one applies with a delay."""
        self.former_caps.append((self.world.now_ms, self._bound()))
        self.world.cap = dataclasses.replace(
            self.CAP,
            rate_per_s=part * self.CAP.rate_per_s,
            burst=part * self.CAP.burst,
        )
        COUNTS["fault cap"] += 1

    def _bound(self) -> float:
        limit = self.world.cap.limit(self.RULES.window_ms)
        return limit * (1 + self.RULES.overage) + self.RULES.tolerance

    def _allowed(self) -> float:
        """Returns the maximum cost of a window that ends after the last check.

        A former cap still counts for one window and one loan term.
        """
        settle_ms = self.RULES.window_ms + usage_loan.LOAN_TERM_MS
        since_ms = self.checked_until_ms - settle_ms
        recent = [
            bound for until_ms, bound in self.former_caps if until_ms > since_ms
        ]
        return max([self._bound(), *recent])

    @stateful.invariant()
    def no_window_exceeds_the_cap(self) -> None:
        """No window contains more cost than the rules allow."""
        if self.world is None:
            return
        worst = self.world.worst_window(self.checked_until_ms)
        allowed = self._allowed()
        assert worst <= allowed + EPSILON, f"{worst} of {allowed}"
        limit = self.world.cap.limit(self.RULES.window_ms)
        COUNTS["judged at the cap"] += worst > AT_CAP_FRACTION * limit
        self.checked_until_ms = self.world.now_ms
        # Each window is checked once; older sends would only slow the run.
        oldest_ms = self.checked_until_ms - 2 * self.RULES.window_ms
        self.world.sent = [
            one for one in self.world.sent if one.at_ms >= oldest_ms
        ]
