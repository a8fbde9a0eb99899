"""Decides which gateways a sidecar sends status updates to, and when.

If every gateway got frequent updates of every engine, messages would grow with
the number of gateways times engines, whatever the traffic. An active gateway,
which uses the engine, gets frequent updates, so that it notices within a
fraction of a second that the engine has stopped. An idle gateway gets them less
often the more gateways there are, down to one a second. Each update states when
the next one comes. A gateway that begins to use the engine is active from then
on.
"""

import dataclasses
import itertools

# Interval of updates to active gateways, which grows with their number up to
# the maximum. A gateway counts an engine as stale after 700 ms, so two
# intervals must be shorter than that, in case one update is lost.
ACTIVE_UPDATE_MS = 200
MAX_ACTIVE_UPDATE_MS = 330
# Up to this number of gateways, all get updates at the active interval and are
# notified of a change at once. In a larger fleet only those that wait for a
# load at this engine are notified at once.
SMALL_GATEWAY_COUNT = 8
# Longest interval of updates to idle gateways, and so the age of their view. At
# this interval, with 68 gateways and 31 engines under load, 1.6 % of sends
# reached an engine that no longer held the adapter.
IDLE_UPDATE_MS = 1_000
# Time after its last use for which a gateway counts as active. Requests of a
# gateway for an engine's adapters come in series.
ACTIVE_MS = 2_000
# Time without messages after which a gateway is removed. Idle gateways send
# one every 1.2 s, and one message may be lost.
GATEWAY_TTL_MS = 3_000
MAX_GATEWAYS = 1_024
# Gateways named in one update. If each update named all gateways, updates would
# grow with the fleet. The names rotate, so that all are sent within seconds.
NAMES_PER_UPDATE = 4

Address = tuple[str, int]


@dataclasses.dataclass(slots=True)
class _Gateway:
    """A gateway that has sent a demand.

    Attributes:
        peer_address: Where other gateways reach it.
        received_at_ms: When its last demand arrived.
        used_at_ms: When it last reported uses or load requests.
        updated_at_ms: When it was sent the last status update.
        waits: Adapters that its requests wait for.
    """

    peer_address: str
    received_at_ms: int
    used_at_ms: int
    updated_at_ms: int = 0
    waits: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Recipients:
    """Gateways that are sent a status update now, with one interval.

    Attributes:
        addresses: The gateways.
        next_ms: Time until their next update.
    """

    addresses: tuple[Address, ...]
    next_ms: int


class Audience:
    """The gateways that get status updates of one engine."""

    def __init__(self) -> None:
        """Creates an audience without gateways."""
        self._gateways: dict[Address, _Gateway] = {}
        self._waiting: set[Address] = set()
        self._name_offset = 0
        # Earliest time at which a regular update is due; 0 if unknown.
        self._next_at_ms = 0

    def __len__(self) -> int:
        """Returns how many gateways are known."""
        return len(self._gateways)

    def record_demand(
        self,
        address: Address,
        peer_address: str,
        waits: frozenset[str],
        *,
        uses: bool,
        now_ms: int,
    ) -> None:
        """Records a demand of a gateway.

        Args:
            address: Where its status updates are sent.
            peer_address: Where other gateways reach it.
            waits: Adapters that its requests wait for.
            uses: Whether it reports any uses or load requests.
            now_ms: Now.
        """
        known = self._gateways.get(address)
        if known is None:
            if len(self._gateways) >= MAX_GATEWAYS:
                return
            # A new gateway has no status of this engine yet.
            known = _Gateway(peer_address, now_ms, now_ms)
            self._gateways[address] = known
            self._next_at_ms = 0
        known.peer_address = peer_address
        known.received_at_ms = now_ms
        known.waits = waits
        if waits:
            self._waiting.add(address)
        else:
            self._waiting.discard(address)
        if uses:
            if now_ms - known.used_at_ms > ACTIVE_MS:
                # At the idle interval it would find the engine's status stale.
                self._next_at_ms = 0
            known.used_at_ms = now_ms

    def expire(self, now_ms: int) -> None:
        """Removes gateways without a recent demand."""
        self._gateways = {
            address: one
            for address, one in self._gateways.items()
            if now_ms - one.received_at_ms <= GATEWAY_TTL_MS
        }
        self._waiting &= self._gateways.keys()

    def active_interval_ms(self) -> int:
        """Returns the interval of updates to active gateways."""
        scale = len(self._gateways) / SMALL_GATEWAY_COUNT
        return round(
            min(max(1.0, scale) * ACTIVE_UPDATE_MS, MAX_ACTIVE_UPDATE_MS)
        )

    def idle_interval_ms(self) -> int:
        """Returns the interval of updates to idle gateways."""
        scale = len(self._gateways) / SMALL_GATEWAY_COUNT
        return round(min(max(1.0, scale) * ACTIVE_UPDATE_MS, IDLE_UPDATE_MS))

    def _interval_ms(self, one: _Gateway, now_ms: int) -> int:
        if now_ms - one.used_at_ms <= ACTIVE_MS:
            return self.active_interval_ms()
        return self.idle_interval_ms()

    def due(
        self, now_ms: int, *, changed: bool, held: frozenset[str]
    ) -> list[Recipients]:
        """Returns the gateways to update now.

        Args:
            now_ms: Now.
            changed: Whether what the engine holds has changed.
            held: Adapters that the engine holds.

        Returns:
            The gateways by interval. They count as updated now.
        """
        due = self._due_immediately(changed=changed, held=held)
        if now_ms >= self._next_at_ms:
            due |= self._due_by_interval(now_ms)
        by_interval: dict[int, list[Address]] = {}
        # Some of them may have expired meanwhile.
        for address in sorted(due & self._gateways.keys()):
            one = self._gateways[address]
            one.updated_at_ms = now_ms
            interval_ms = self._interval_ms(one, now_ms)
            by_interval.setdefault(interval_ms, []).append(address)
        return [
            Recipients(tuple(addresses), interval_ms)
            for interval_ms, addresses in by_interval.items()
        ]

    def _due_immediately(
        self, *, changed: bool, held: frozenset[str]
    ) -> set[Address]:
        """Returns the gateways to update before their regular interval."""
        if changed and len(self._gateways) <= SMALL_GATEWAY_COUNT:
            return set(self._gateways)
        if changed:
            return set(self._waiting)
        return {
            address
            for address in self._waiting
            if not self._gateways[address].waits.isdisjoint(held)
        }

    def _due_by_interval(self, now_ms: int) -> set[Address]:
        """Returns the gateways whose regular update is due.

        Sets the time of the next regular update, so that gateways are scanned
        only when one is due. A scan of hundreds of gateways at each of tens of
        polls a second would be most of the sidecar's work.
        """
        self.expire(now_ms)
        due = set()
        next_at_ms = now_ms + self.active_interval_ms()
        for address, one in self._gateways.items():
            due_at_ms = one.updated_at_ms + self._interval_ms(one, now_ms)
            if now_ms >= due_at_ms:
                due.add(address)
            else:
                next_at_ms = min(next_at_ms, due_at_ms)
        self._next_at_ms = next_at_ms
        return due

    def next_names(self) -> tuple[str, ...]:
        """Returns the gateways that the next update names."""
        names = sorted({one.peer_address for one in self._gateways.values()})
        if len(names) <= NAMES_PER_UPDATE:
            return tuple(names)
        first = self._name_offset % len(names)
        self._name_offset = first + NAMES_PER_UPDATE
        window = itertools.islice(
            itertools.cycle(names), first, first + NAMES_PER_UPDATE
        )
        return tuple(window)
