"""Decides which requests a gateway may send to rate-limited targets.

Load pattern: an overloaded target advertises in its responses how many requests
per second it accepts from all gateways together. Divided equally, such a rate
is less than one request per gateway. Therefore only as many gateways as the
rate allows send to the target, each with a token bucket that has an equal share
of the rate. Rendezvous hashing selects them without coordination. The other
gateways route requests elsewhere and probe the target occasionally to detect
the end of the limit.
"""

from collections.abc import Callable
from collections.abc import Collection
import dataclasses
import math
import random

from radishstack.process import incarnation
from radishstack.process import rendezvous

MS_PER_S = 1_000
UNLIMITED_PER_S = math.inf
# Fraction of the rate for the selected gateways; the rest is for probes.
SENDERS_FRACTION = 0.9
# The total depth of all token buckets is BASE_DEPTH requests plus BURST_S
# seconds of the rate. Each bucket holds at least one request, so the total
# depth also bounds the number of selected gateways.
BURST_S = 0.75
BASE_DEPTH = 2
# Lower limits are raised to this rate, because only a response can show that a
# limit has ended.
MIN_RATE_PER_S = 0.25
# Validity of a reservation; leaves time for an adapter to load.
RESERVATION_MS = 500
# A probe that finds no request within this time after it is due is rescheduled.
PROBE_WINDOW_MS = 500
# Lifetime of the cached selection of gateways.
SELECTION_CACHE_MS = 500
# Tolerance for reports from other gateways that are received out of order.
MAX_REORDER_MS = 50
# Minimum relative change of a limit that is reported to other gateways.
MIN_REPORTED_CHANGE_FRACTION = 0.1
# Maximum number of targets whose limit is tracked.
MAX_LIMITS = 8_192


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """A request that counts against the rate limit of a target.

    Attributes:
        incarnation_id: The incarnation of the target.
        at_ms: When the reservation was made.
    """

    incarnation_id: incarnation.IncarnationId
    at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Bucket:
    """A token bucket.

    Attributes:
        depth: Capacity in requests.
        per_s: Refill rate in requests per second.
    """

    depth: float
    per_s: float


@dataclasses.dataclass(slots=True)
class _Limit:
    """The rate limit of one incarnation of a target, as this gateway knows it.

    Attributes:
        incarnation_id: The incarnation that advertised the limit.
        per_s: Requests per second from all gateways together.
        reported_per_s: The limit that was last reported to other gateways.
        advertised_at_ms: When the limit was last received.
        level: Requests available in this gateway's bucket.
        filled_at_ms: When ``level`` was last updated.
        probe_at_ms: When the next probe is due.
        bucket: This gateway's bucket, None if it is not selected.
        selected_at_ms: When ``bucket`` was computed, None if it is outdated.
    """

    incarnation_id: incarnation.IncarnationId
    per_s: float
    reported_per_s: float
    advertised_at_ms: int
    level: float
    filled_at_ms: int
    probe_at_ms: float
    bucket: Bucket | None = None
    selected_at_ms: int | None = None


def sender_bucket(
    limit_per_s: float, rank: int, known_count: int, gateway_count: int
) -> Bucket | None:
    """Returns the token bucket of one gateway.

    Args:
        limit_per_s: The rate limit that the target advertises.
        rank: Position of the gateway in the target's rendezvous order.
        known_count: Gateways known by name, including this one.
        gateway_count: Estimated number of all gateways.

    Returns:
        The bucket, None if the gateway is not selected to send.
    """
    per_s = max(limit_per_s, MIN_RATE_PER_S)
    depth = BASE_DEPTH + BURST_S * per_s
    sender_count = min(gateway_count, math.floor(depth))
    # Scales the selection down to the known gateways, because a gateway that
    # knows only a few others ranks itself too high.
    selected_count = sender_count * known_count // gateway_count
    if rank >= selected_count:
        return None
    return Bucket(depth / sender_count, SENDERS_FRACTION * per_s / sender_count)


class TargetRateLimits:
    """Tracks targets' rate limits and enforces one gateway's share of them."""

    def __init__(
        self,
        own_name: str,
        others: Callable[[], Collection[str]],
        gateway_count: Callable[[], int],
        random_source: random.Random,
    ) -> None:
        """Starts without limits.

        Args:
            own_name: Name of this gateway.
            others: Returns the names of the other known gateways.
            gateway_count: Returns the number of gateways, including this one.
            random_source: Randomizes the times of probes.
        """
        self._own_name = own_name
        self._others = others
        self._gateway_count = gateway_count
        self._random = random_source
        self._limits: dict[str, _Limit] = {}

    def __len__(self) -> int:
        """Returns the number of rate-limited targets."""
        return len(self._limits)

    def is_limited(self, incarnation_id: incarnation.IncarnationId) -> bool:
        """Whether a target has a rate limit."""
        return self._find(incarnation_id) is not None

    def _find(self, incarnation_id: incarnation.IncarnationId) -> _Limit | None:
        limit = self._limits.get(incarnation_id.name)
        if limit is None or limit.incarnation_id.is_other(incarnation_id):
            return None
        return limit

    def record(
        self,
        incarnation_id: incarnation.IncarnationId,
        limit_per_s: float,
        *,
        as_of_ms: int,
        now_ms: int,
    ) -> bool:
        """Records the rate limit of a response, or its absence.

        Args:
            incarnation_id: The incarnation of the target that responded.
            limit_per_s: The limit, ``UNLIMITED_PER_S`` for none.
            as_of_ms: Lower bound of the time of the response, for example when
                its request was sent. Responses can arrive out of order, so
                a response without a limit is ignored unless it is newer than
                the last one with a limit.
            now_ms: This gateway's clock.

        Returns:
            Whether the change must be reported to other gateways.
        """
        known = self._find(incarnation_id)
        if limit_per_s == UNLIMITED_PER_S:
            if known is None or as_of_ms <= known.advertised_at_ms:
                return False
            del self._limits[incarnation_id.name]
            return True
        if known is None:
            self._add(incarnation_id, limit_per_s, now_ms)
            return True
        known.advertised_at_ms = now_ms
        if known.per_s != limit_per_s:
            self._fill(known, now_ms)
            known.per_s = limit_per_s
            known.selected_at_ms = None
        change_per_s = abs(limit_per_s - known.reported_per_s)
        if change_per_s <= MIN_REPORTED_CHANGE_FRACTION * known.reported_per_s:
            return False
        known.reported_per_s = limit_per_s
        return True

    def _add(
        self,
        incarnation_id: incarnation.IncarnationId,
        limit_per_s: float,
        now_ms: int,
    ) -> None:
        self._limits.pop(incarnation_id.name, None)
        while len(self._limits) >= MAX_LIMITS:
            del self._limits[next(iter(self._limits))]
        # The bucket starts empty because requests that were sent before the
        # limit was known also count against it.
        limit = _Limit(
            incarnation_id, limit_per_s, limit_per_s, now_ms, 0.0, now_ms, 0.0
        )
        limit.probe_at_ms = now_ms + self._probe_delay_ms(limit)
        self._limits[incarnation_id.name] = limit

    def _select(self, limit: _Limit, now_ms: int) -> Bucket | None:
        """Returns this gateway's bucket, None if it is not selected."""
        selected_at_ms = limit.selected_at_ms
        if (
            selected_at_ms is not None
            and now_ms - selected_at_ms < SELECTION_CACHE_MS
        ):
            return limit.bucket
        names = {self._own_name, *self._others()}
        order = rendezvous.order(limit.incarnation_id.name, names)
        limit.bucket = sender_bucket(
            limit.per_s,
            order.index(self._own_name),
            len(names),
            max(len(names), self._gateway_count()),
        )
        limit.selected_at_ms = now_ms
        return limit.bucket

    def _fill(self, limit: _Limit, now_ms: int) -> None:
        bucket = self._select(limit, now_ms)
        gained_ms = max(0, now_ms - limit.filled_at_ms)
        limit.filled_at_ms = now_ms
        if bucket is None:
            limit.level = 0.0
            return
        gained = bucket.per_s * gained_ms / MS_PER_S
        limit.level = min(bucket.depth, limit.level + gained)

    def _probe_delay_ms(self, limit: _Limit) -> float:
        """Returns a random time until this gateway's next probe."""
        gateway_count = max(1, self._gateway_count())
        per_s = max(limit.per_s, MIN_RATE_PER_S) * (1 - SENDERS_FRACTION)
        rate_per_ms = per_s / gateway_count / MS_PER_S
        return self._random.expovariate(rate_per_ms)

    def _is_probe_due(self, limit: _Limit, now_ms: int) -> bool:
        if now_ms < limit.probe_at_ms:
            return False
        if now_ms < limit.probe_at_ms + PROBE_WINDOW_MS:
            return True
        # Reschedules overdue probes so that gateways that were idle do not send
        # them all at the same time.
        limit.probe_at_ms = now_ms + self._probe_delay_ms(limit)
        return False

    def may_send(
        self, incarnation_id: incarnation.IncarnationId, now_ms: int
    ) -> bool:
        """Whether a request may be sent to a target now."""
        limit = self._find(incarnation_id)
        if limit is None:
            return True
        self._fill(limit, now_ms)
        if limit.bucket is None:
            return self._is_probe_due(limit, now_ms)
        return limit.level >= 1

    def reserve(
        self, incarnation_id: incarnation.IncarnationId, now_ms: int
    ) -> Reservation | None:
        """Reserves a request to a target, None if it may not be sent now."""
        if not self.may_send(incarnation_id, now_ms):
            return None
        limit = self._find(incarnation_id)
        if limit is not None and limit.bucket is None:
            limit.probe_at_ms = now_ms + self._probe_delay_ms(limit)
        elif limit is not None:
            limit.level -= 1
        return Reservation(incarnation_id, now_ms)

    @staticmethod
    def is_valid(reservation: Reservation, now_ms: int) -> bool:
        """Whether a reservation has not expired."""
        return now_ms - reservation.at_ms <= RESERVATION_MS

    def release(self, reservation: Reservation, now_ms: int) -> None:
        """Releases a reservation whose request was not sent."""
        limit = self._find(reservation.incarnation_id)
        if limit is None or not self.is_valid(reservation, now_ms):
            return
        self._fill(limit, now_ms)
        if limit.bucket is not None:
            limit.level = min(limit.bucket.depth, limit.level + 1)

    def wait_ms(
        self, incarnation_id: incarnation.IncarnationId, now_ms: int
    ) -> int:
        """Estimates the time until some gateway may send to a target."""
        limit = self._find(incarnation_id)
        if limit is None:
            return 0
        self._fill(limit, now_ms)
        if limit.bucket is None:
            return round(MS_PER_S / max(limit.per_s, MIN_RATE_PER_S))
        missing = max(0.0, 1 - limit.level)
        return round(missing / limit.bucket.per_s * MS_PER_S)

    def report(self) -> dict[str, float]:
        """Returns the rate limits in requests per second, by target."""
        return {name: limit.per_s for name, limit in self._limits.items()}
