"""Decides what one gateway may send on behalf of a capped account.

Load pattern: the requests of one account arrive at all gateways, unevenly, and
at times exceed its cap several times over. Each gateway owns an equal share of
the account's token bucket. A gateway that needs more borrows from others, which
subtract the loan from their own shares. The sum over all gateways therefore
stays below the cap even if gateways are disconnected, paused or unknown to each
other. No messages are sent while each gateway stays within its share. Token
buckets serve an account that exceeds its cap at a steady rate. A used-up window
would block the account until its first requests have left the window.
"""

from collections.abc import Callable
from collections.abc import Collection
import dataclasses
import math
import random

from radishstack.process import sliding_sum
from radishstack.process import usage_cap
from radishstack.process import usage_loan

MS_PER_S = 1_000
# Fraction of the allowed overshoot that buckets may use; the rest is for
# gateways that are not known yet.
OVERSHOOT_FRACTION = 0.9
# Minimum depth of a bucket, as a fraction of a window's limit.
MIN_DEPTH_FRACTION = 0.1
# Fraction of a cap's burst that its bucket gains per window, in addition to the
# rate.
BURST_REFILL_FRACTION = 0.75
# Bounds on the number of gateways that receive a loan request at the same time.
# Within them, as many are asked as could cover the request with full shares.
MIN_LENDERS_PER_ROUND = 2
MAX_LENDERS_PER_ROUND = 16
# Requests are rejected after this many consecutive loan requests without a
# loan.
MAX_FAILED_LOAN_REQUESTS = 6
# A loan request without a reply expires after this time.
LOAN_TIMEOUT_MS = 40
# Pause of an account's loan requests after a round without a loan.
BORROWING_PAUSE_MS = 200
# How long the spare capacity that another gateway reported is used.
SPARE_CAPACITY_TTL_MS = 500
# How long a gateway that did not reply gets no further loan requests, unless
# its last reported spare capacity is still in use.
UNRESPONSIVE_MS = 2_000
# The usage of this period is the forecast for the next requests.
RECENT_USE_MS = 1_000
# A gateway borrows its expected usage of BORROW_AHEAD_MS in advance, and does
# not lend its expected usage of WITHHELD_MS.
BORROW_AHEAD_MS = 300
WITHHELD_MS = 1_000
# Maximum fraction of its full share that a gateway withholds from lending. If
# shares are smaller than a request, capacity is useful only if it is lent.
MAX_WITHHELD_FRACTION = 0.25
# Fraction of its spare capacity that a gateway lends beyond the borrower's
# immediate need.
LEND_AHEAD_FRACTION = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Bucket:
    """A token bucket.

    Attributes:
        depth: Capacity, as a cost.
        per_ms: Refill rate, as a cost per millisecond.
    """

    depth: float
    per_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """Rules for the enforcement of usage caps.

    Attributes:
        window_ms: Length of the sliding window.
        overage: Fraction of a window's limit by which the limit may be
            exceeded.
        tolerance: Additional cost by which it may be exceeded, in units.
    """

    window_ms: int
    overage: float = 0.0
    tolerance: float = 0.0

    def bucket(self, cap: usage_cap.UsageCap) -> Bucket:
        """Returns the bucket of all gateways together.

        No window exceeds the depth plus the refill during the window and during
        the term of a loan before it.
        """
        limit = cap.limit(self.window_ms)
        overshoot = self.overage * limit + self.tolerance
        whole = limit + OVERSHOOT_FRACTION * overshoot
        span_ms = self.window_ms + usage_loan.LOAN_TERM_MS
        min_depth = MIN_DEPTH_FRACTION * limit
        gained = cap.rate_per_s * self.window_ms / MS_PER_S
        gained += BURST_REFILL_FRACTION * cap.burst
        per_ms = min(gained / self.window_ms, (whole - min_depth) / span_ms)
        return Bucket(whole - per_ms * span_ms, per_ms)


@dataclasses.dataclass(slots=True)
class Reservation:
    """The cost of one request that counts against a cap.

    Attributes:
        account: Name of the account.
        cost: Cost in units of the cap.
        at_ms: When the reservation was made.
        own: Part of the cost that comes from this gateway's own share.
        released: Whether it no longer counts.
    """

    account: str
    cost: float
    at_ms: int
    own: float
    released: bool = False


@dataclasses.dataclass(slots=True)
class _BorrowedAmount:
    """The remaining amount of a loan."""

    remaining: float
    until_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingRequest:
    """A loan request without a reply so far."""

    lender: str
    at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class _SpareCapacity:
    """Spare capacity that another gateway reported."""

    amount: float
    at_ms: int


class _AccountState:
    """The state of one account at this gateway."""

    def __init__(self, cap: usage_cap.UsageCap, window_ms: int) -> None:
        self.cap = cap
        # Level of this gateway's share of the bucket, and its last update.
        self.level = 0.0
        self.filled_at_ms: int | None = None
        self.sent = sliding_sum.SlidingSum(window_ms)
        self.recent = sliding_sum.SlidingSum(RECENT_USE_MS)
        self.borrowed_amounts: list[_BorrowedAmount] = []
        self.pending: dict[int, _PendingRequest] = {}
        self.spare_capacities: dict[str, _SpareCapacity] = {}
        self.requested_count = 0
        self.borrowing_paused_until_ms = 0
        self.used_at_ms = 0


class UsageShares:
    """Tracks what one gateway has sent, lent and borrowed, by account."""

    def __init__(
        self,
        rules: Rules,
        others: Callable[[], Collection[str]],
        gateway_count: Callable[[], int],
        started_ms: int,
        random_source: random.Random,
    ) -> None:
        """Starts without accounts.

        Args:
            rules: Rules for the enforcement of caps.
            others: Returns the names of the other known gateways.
            gateway_count: Returns the number of gateways, including this one.
            started_ms: Start time of this gateway, on its own clock.
            random_source: Chooses the gateways to borrow from.
        """
        self._rules = rules
        self._others = others
        self._gateway_count = gateway_count
        self._started_ms = started_ms
        self._random = random_source
        self._request_number = random_source.getrandbits(31)
        self._states: dict[str, _AccountState] = {}
        self._unresponsive_until_ms: dict[str, int] = {}

    def _refilled_state(
        self, account: str, cap: usage_cap.UsageCap, now_ms: int
    ) -> _AccountState:
        state = self._states.get(account)
        if state is None:
            state = _AccountState(cap, self._rules.window_ms)
            self._states[account] = state
        state.cap = cap
        state.used_at_ms = now_ms
        self._fill(state, now_ms)
        return state

    def _share(self, cap: usage_cap.UsageCap) -> Bucket:
        """Returns this gateway's share of an account's bucket."""
        whole = self._rules.bucket(cap)
        count = max(1, self._gateway_count())
        return Bucket(whole.depth / count, whole.per_ms / count)

    def _fill(self, state: _AccountState, now_ms: int) -> None:
        # The bucket is empty when the process starts, because it does not know
        # what the process before it has sent.
        share = self._share(state.cap)
        since_ms = state.filled_at_ms
        if since_ms is None:
            since_ms = self._started_ms
        gained = share.per_ms * max(0, now_ms - since_ms)
        state.level = min(share.depth, state.level + gained)
        state.filled_at_ms = max(now_ms, since_ms)

    @staticmethod
    def _borrowed_total(state: _AccountState, now_ms: int) -> float:
        state.borrowed_amounts = [
            one
            for one in state.borrowed_amounts
            if one.until_ms > now_ms and one.remaining > 0
        ]
        return sum(one.remaining for one in state.borrowed_amounts)

    def reserve(
        self,
        account: str,
        cap: usage_cap.UsageCap,
        cost: float,
        now_ms: int,
    ) -> Reservation | None:
        """Reserves the cost of a request that is about to be sent.

        Args:
            account: Name of the account.
            cap: Cap of the account.
            cost: Cost of the request.
            now_ms: This gateway's clock.

        Returns:
            The reservation, None if this gateway's share and its loans do not
            cover the cost.
        """
        state = self._refilled_state(account, cap, now_ms)
        borrowed = self._borrowed_total(state, now_ms)
        own = max(0.0, cost - borrowed)
        if own > max(0.0, state.level):
            return None
        left = cost - own
        for loan in state.borrowed_amounts:
            paid = min(left, loan.remaining)
            loan.remaining -= paid
            left -= paid
        state.level -= own
        state.sent.add(cost, now_ms)
        state.recent.add(cost, now_ms)
        return Reservation(account, cost, now_ms, own)

    def release(self, reservation: Reservation) -> None:
        """Releases the reservation of a request that provably did not run."""
        if reservation.released:
            return
        reservation.released = True
        state = self._states.get(reservation.account)
        if state is None:
            return
        state.recent.add(-reservation.cost, reservation.at_ms)
        state.sent.add(-reservation.cost, reservation.at_ms)
        state.level += reservation.own
        if state.borrowed_amounts:
            state.borrowed_amounts[-1].remaining += (
                reservation.cost - reservation.own
            )

    def missing(
        self,
        account: str,
        cap: usage_cap.UsageCap,
        cost: float,
        now_ms: int,
    ) -> float:
        """Returns the cost that must be borrowed before a reservation."""
        state = self._refilled_state(account, cap, now_ms)
        own = max(0.0, state.level)
        return max(0.0, cost - own - self._borrowed_total(state, now_ms))

    def borrow_ahead_amount(
        self, account: str, cap: usage_cap.UsageCap, now_ms: int
    ) -> float:
        """Returns the cost to borrow in advance for the next requests."""
        state = self._refilled_state(account, cap, now_ms)
        if state.pending or now_ms < state.borrowing_paused_until_ms:
            return 0.0
        available = self._borrowed_total(state, now_ms) + max(0.0, state.level)
        expected = _expected(state, BORROW_AHEAD_MS, now_ms)
        return expected if available < expected else 0.0

    def ask(
        self, account: str, need: float, now_ms: int
    ) -> list[tuple[str, usage_loan.LoanRequest]]:
        """Returns the loan requests to send now.

        Args:
            account: Name of the account.
            need: Cost that waits for the loan, 0 for borrowing in advance.
            now_ms: This gateway's clock.

        Returns:
            Gateways with the loan request for each. Empty while earlier
            requests are pending, or if no gateway is left to borrow from.
        """
        state = self._states[account]
        self._expire_requests(state, now_ms)
        if state.pending or now_ms < state.borrowing_paused_until_ms:
            return []
        lenders = self._choose_lenders(state, need, now_ms)
        if not lenders:
            state.requested_count = 0
            state.borrowing_paused_until_ms = now_ms + BORROWING_PAUSE_MS
            return []
        state.requested_count += len(lenders)
        want = max(need, _expected(state, BORROW_AHEAD_MS, now_ms))
        loan_requests = []
        for lender in lenders:
            self._request_number = (self._request_number + 1) % 2**32
            state.pending[self._request_number] = _PendingRequest(
                lender, now_ms
            )
            loan_request = usage_loan.LoanRequest(
                account, self._request_number, need, want
            )
            loan_requests.append((lender, loan_request))
        return loan_requests

    def _expire_requests(self, state: _AccountState, now_ms: int) -> None:
        for number, pending in list(state.pending.items()):
            if now_ms - pending.at_ms >= LOAN_TIMEOUT_MS:
                del state.pending[number]
                self._unresponsive_until_ms[pending.lender] = (
                    now_ms + UNRESPONSIVE_MS
                )

    def _choose_lenders(
        self, state: _AccountState, need: float, now_ms: int
    ) -> list[str]:
        """Chooses the gateways with the most spare capacity.

        If there are too few, gateways with unknown spare capacity follow.
        """
        if state.requested_count >= MAX_FAILED_LOAN_REQUESTS:
            return []
        share_count = math.ceil(need / self._share(state.cap).depth)
        count = min(
            MAX_LENDERS_PER_ROUND, max(MIN_LENDERS_PER_ROUND, share_count)
        )
        spare_capacities = {
            name: reported.amount
            for name, reported in state.spare_capacities.items()
            if now_ms - reported.at_ms < SPARE_CAPACITY_TTL_MS
        }
        known = [name for name, spare in spare_capacities.items() if spare > 0]
        known.sort(key=lambda name: -spare_capacities[name])
        chosen = known[:count]
        unknown = [
            name
            for name in self._others()
            if name not in spare_capacities
            and self._unresponsive_until_ms.get(name, now_ms) <= now_ms
        ]
        count = min(count - len(chosen), len(unknown))
        return chosen + self._random.sample(sorted(unknown), count)

    def on_loan(self, loan: usage_loan.Loan, now_ms: int) -> None:
        """Applies the reply of another gateway to a loan request."""
        state = self._states.get(loan.account)
        pending = state.pending.pop(loan.number, None) if state else None
        if pending is None:
            return
        self._unresponsive_until_ms.pop(pending.lender, None)
        state.spare_capacities[pending.lender] = _SpareCapacity(
            loan.room, now_ms
        )
        if loan.amount > 0:
            until_ms = pending.at_ms + usage_loan.LOAN_USABLE_MS
            state.borrowed_amounts.append(
                _BorrowedAmount(loan.amount, until_ms)
            )
            state.requested_count = 0

    def lend(
        self,
        loan_request: usage_loan.LoanRequest,
        cap: usage_cap.UsageCap,
        now_ms: int,
    ) -> usage_loan.Loan:
        """Returns the reply to a loan request of another gateway.

        Args:
            loan_request: The request.
            cap: Cap of the account.
            now_ms: This gateway's clock.
        """
        state = self._refilled_state(loan_request.account, cap, now_ms)
        withheld = min(
            _expected(state, WITHHELD_MS, now_ms),
            MAX_WITHHELD_FRACTION * self._share(cap).depth,
        )
        spare = max(0.0, state.level - withheld)
        ahead = min(loan_request.want, LEND_AHEAD_FRACTION * spare)
        amount = min(spare, max(loan_request.need, ahead))
        state.level -= amount
        return usage_loan.Loan(
            loan_request.account, loan_request.number, amount, spare - amount
        )

    def is_borrowing_paused(self, account: str, now_ms: int) -> bool:
        """Whether borrowing is paused, as no gateway had spare capacity."""
        state = self._states.get(account)
        return state is not None and now_ms < state.borrowing_paused_until_ms

    def refill_wait_ms(
        self,
        account: str,
        cap: usage_cap.UsageCap,
        cost: float,
        now_ms: int,
    ) -> int:
        """Returns the time until this gateway's share can cover a cost."""
        missing = self.missing(account, cap, cost, now_ms)
        per_ms = self._share(cap).per_ms
        if missing > self._rules.window_ms * per_ms:
            return self._rules.window_ms
        return round(missing / per_ms)

    def report(self, now_ms: int) -> dict[str, dict[str, float]]:
        """Returns the cost sent in the window and the levels, by account."""
        return {
            name: {
                "sent": state.sent.total(now_ms),
                "left": state.level,
                "borrowed": self._borrowed_total(state, now_ms),
                "window_ms": self._rules.window_ms,
            }
            for name, state in self._states.items()
        }

    def forget(self, now_ms: int) -> None:
        """Drops the state of accounts that were not used for a long time."""
        for account, state in list(self._states.items()):
            self._fill(state, now_ms)
            is_full = state.level >= self._share(state.cap).depth
            # Only a full bucket may be dropped, because the account's next one
            # starts as if it had refilled since the start of the process.
            if is_full and now_ms - state.used_at_ms > self._rules.window_ms:
                del self._states[account]
        self._unresponsive_until_ms = {
            name: until_ms
            for name, until_ms in self._unresponsive_until_ms.items()
            if until_ms > now_ms
        }


def _expected(state: _AccountState, for_ms: int, now_ms: int) -> float:
    """Returns the expected cost of a period of time."""
    return max(0.0, state.recent.total(now_ms)) * for_ms / RECENT_USE_MS
