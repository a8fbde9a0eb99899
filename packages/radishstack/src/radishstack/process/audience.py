"""Which gateways the process beside an engine tells its state, and when.

Told alike, every gateway would hear of every engine several times a second,
and the words would grow with gateways times engines whatever is asked for. A
gateway that uses an engine is told often, so that it sees the engine stop
within a moment; one that does not is told seldom, up to once a second, and the
more seldom the more gateways there are. Each word says when the next one comes,
and a gateway that begins to use the engine is told as a user from then on.
"""

import dataclasses
import itertools

# How often users are told when nothing changed, and how much seldomer the more
# gateways there are: a gateway counts an engine as silent after 700 ms, of
# which a lost word must leave enough.
ACTIVE_UPDATE_MS = 200
MAX_ACTIVE_UPDATE_MS = 330
# Up to so many gateways all are told like users, and of a change at once; of
# more, those that wait for a load here.
SMALL_GATEWAY_COUNT = 8
# The longest time between two words to a gateway that does not use the engine.
# What it believes is as old as that: with 68 gateways before 31 engines under
# load, 1.6 % of sends met an adapter that had gone.
IDLE_UPDATE_MS = 1_000
# A gateway counts as a user for so long after its last use: requests of one
# gateway for an engine's adapters come in series.
ACTIVE_MS = 2_000
# A gateway that was not heard for so long is gone: idle ones speak every 1.2 s,
# and a word may be lost.
GATEWAY_TTL_MS = 3_000
MAX_GATEWAYS = 1_024
# Gateways that one word names. Named all in each word, they would make words
# grow with the fleet; the window moves on with every word, so that all are
# named within some seconds.
NAMES_PER_UPDATE = 4

Address = tuple[str, int]


@dataclasses.dataclass(slots=True)
class _Gateway:
    """One gateway that was heard.

    Attributes:
        peer_address: Where other gateways reach it.
        heard_at_ms: When it was heard last.
        used_at_ms: When it last said that it uses or wants something here.
        told_at_ms: When it was told last.
        waits: Adapters that its requests wait for.
    """

    peer_address: str
    received_at_ms: int
    used_at_ms: int
    updated_at_ms: int = 0
    waits: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Recipients:
    """Whom to tell now, with the same promise.

    Attributes:
        addresses: The gateways.
        next_ms: Within what time they are told again.
    """

    addresses: tuple[Address, ...]
    next_ms: int


class Audience:
    """The gateways that one process has heard."""

    def __init__(self) -> None:
        """Starts with none."""
        self._gateways: dict[Address, _Gateway] = {}
        self._waiting: set[Address] = set()
        self._name_offset = 0
        # When the next regular word is due, at the earliest; 0 if unknown.
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
            address: Where it is told.
            peer_address: Where other gateways reach it.
            waits: Adapters that its requests wait for.
            uses: Whether it uses or wants anything here.
            now_ms: Now.
        """
        known = self._gateways.get(address)
        if known is None:
            if len(self._gateways) >= MAX_GATEWAYS:
                return
            # One that was not heard before knows nothing of this engine yet.
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
                # Told like an idle one, it would take the engine for silent.
                self._next_at_ms = 0
            known.used_at_ms = now_ms

    def expire(self, now_ms: int) -> None:
        """Drops gateways that are gone."""
        self._gateways = {
            address: one
            for address, one in self._gateways.items()
            if now_ms - one.received_at_ms <= GATEWAY_TTL_MS
        }
        self._waiting &= self._gateways.keys()

    def active_interval_ms(self) -> int:
        """Returns how often users are told."""
        scale = len(self._gateways) / SMALL_GATEWAY_COUNT
        return round(
            min(max(1.0, scale) * ACTIVE_UPDATE_MS, MAX_ACTIVE_UPDATE_MS)
        )

    def idle_interval_ms(self) -> int:
        """Returns how often gateways are told that do not use the engine."""
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
            held: What the engine holds.

        Returns:
            Words to be told; those that they go to count as told.
        """
        due = self._due_immediately(changed=changed, held=held)
        if now_ms >= self._next_at_ms:
            due |= self._due_by_interval(now_ms)
        by_interval: dict[int, list[Address]] = {}
        for address in sorted(due):
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
        """Returns those that are told whether or not it is their turn."""
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
        """Returns the gateways that are due, and when the next one is.

        All gateways are weighed only when one is due: tens of looks at an
        engine a second, over hundreds of gateways, would be most of what the
        process does.
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
