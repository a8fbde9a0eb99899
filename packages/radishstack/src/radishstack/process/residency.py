"""The adapter slots of an engine and the attempts that run on them.

Only the target process gives its engine orders, so this table matches the
engine except where the engine restarts cold, a load fails or the answer to an
order is lost. ``reconcile`` corrects it from the engine's own list.
"""

import dataclasses
import enum

from radishstack import invariant
from radishstack import result

BACKOFF_FIRST_MS = 500
BACKOFF_MAX_MS = 30_000
LOAD_ESTIMATE_FIRST_MS = 500
LOAD_ESTIMATE_WEIGHT = 0.3


class AdapterState(enum.IntEnum):
    """State of an adapter at a target; the number goes on the wire."""

    ABSENT = 0
    LOADING = 1
    RESIDENT = 2
    CLOSING = 3
    FAILED = 4


@dataclasses.dataclass(slots=True)
class Slot:
    """One occupied adapter slot.

    Attributes:
        adapter_state: Loading, resident or closing.
        since_ms: When it entered that state.
        grants: Attempts that run on it, from dispatch to last byte.
        order: Fencing number of the last order for it.
    """

    adapter_state: AdapterState
    since_ms: int
    grants: int = 0
    order: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Permission to run on an adapter, void once the engine restarts."""

    adapter: str
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class Backoff:
    """Consecutive failed loads of an adapter and the end of its backoff."""

    failures: int
    until_ms: int


class Residency:
    """The adapter slots of one engine."""

    def __init__(self, slot_count: int) -> None:
        """Creates an empty table for an engine without a known incarnation.

        Args:
            slot_count: Number of adapter slots of the engine.
        """
        self.slot_count = slot_count
        self.incarnation = ""
        self.slots: dict[str, Slot] = {}
        self.backoffs: dict[str, Backoff] = {}
        self.load_estimate_ms = float(LOAD_ESTIMATE_FIRST_MS)
        self.order = 0

    def adapter_state(self, adapter: str, now_ms: int) -> AdapterState:
        """Returns the state of an adapter."""
        slot = self.slots.get(adapter)
        if slot is not None:
            return slot.adapter_state
        backoff = self.backoffs.get(adapter)
        if backoff is not None and now_ms < backoff.until_ms:
            return AdapterState.FAILED
        return AdapterState.ABSENT

    def grant(self, adapter: str) -> Grant:
        """Grants an attempt the use of a resident adapter.

        Args:
            adapter: ``name@version``.

        Returns:
            The grant, to be released exactly once.
        """
        slot = self.slots.get(adapter)
        invariant.require(
            slot is not None and slot.adapter_state is AdapterState.RESIDENT,
            result.DISPATCH_WRONG_ADAPTER,
            f"{adapter} is not resident",
        )
        slot.grants += 1
        return Grant(adapter, self.incarnation)

    def release(self, grant: Grant) -> None:
        """Releases a grant, if it is of the current incarnation."""
        if grant.incarnation != self.incarnation:
            return
        slot = self.slots.get(grant.adapter)
        invariant.require(
            slot is not None and slot.grants > 0,
            result.GRANT_MISCOUNTED,
            f"release of {grant.adapter} without a grant",
        )
        slot.grants -= 1

    def free_slots(self) -> int:
        """Returns how many slots are empty."""
        return self.slot_count - len(self.slots)

    def loading_count(self) -> int:
        """Returns how many loads are in progress."""
        return sum(
            slot.adapter_state is AdapterState.LOADING
            for slot in self.slots.values()
        )

    def begin_load(self, adapter: str, now_ms: int) -> int:
        """Reserves a slot for a load.

        Returns:
            The fencing number of the order.
        """
        invariant.require(
            adapter not in self.slots and self.free_slots() > 0,
            result.GRANT_MISCOUNTED,
            f"no slot to load {adapter} into",
        )
        self.order += 1
        self.slots[adapter] = Slot(
            AdapterState.LOADING, now_ms, order=self.order
        )
        return self.order

    def is_latest_order(self, adapter: str, order: int) -> bool:
        """Whether an order is the last one given for an adapter.

        Answers to earlier orders must be ignored. Applied to a later unload,
        one would allow grants on an adapter that is about to be unloaded.
        """
        slot = self.slots.get(adapter)
        return slot is not None and slot.order == order

    def loaded(self, adapter: str, order: int, now_ms: int) -> None:
        """Records that the engine completed a load."""
        slot = self.slots.get(adapter)
        if not self.is_latest_order(adapter, order):
            return
        if slot.adapter_state is not AdapterState.LOADING:
            return
        took_ms = now_ms - slot.since_ms
        self.load_estimate_ms += LOAD_ESTIMATE_WEIGHT * (
            took_ms - self.load_estimate_ms
        )
        slot.adapter_state = AdapterState.RESIDENT
        slot.since_ms = now_ms
        self.backoffs.pop(adapter, None)

    def load_failed(self, adapter: str, now_ms: int) -> Backoff:
        """Frees the slot of a failed load and starts a backoff.

        Returns:
            The backoff. Without it a broken adapter would use up the load
            budget of all others.
        """
        slot = self.slots.get(adapter)
        if slot is not None and slot.adapter_state is AdapterState.LOADING:
            del self.slots[adapter]
        failures = self.backoffs.get(adapter, Backoff(0, 0)).failures + 1
        backoff_ms = min(BACKOFF_FIRST_MS * 2 ** (failures - 1), BACKOFF_MAX_MS)
        backoff = Backoff(failures, now_ms + backoff_ms)
        self.backoffs[adapter] = backoff
        return backoff

    def close(self, adapter: str, now_ms: int) -> int:
        """Stops grants on an idle adapter before its unload order.

        Returns:
            The fencing number of the unload order.
        """
        slot = self.slots.get(adapter)
        invariant.require(
            slot is not None
            and slot.adapter_state is AdapterState.RESIDENT
            and slot.grants == 0,
            result.UNLOAD_WHILE_SERVING,
            f"unload of {adapter} with {slot.grants if slot else 'no'} grants",
        )
        self.order += 1
        slot.adapter_state = AdapterState.CLOSING
        slot.since_ms = now_ms
        slot.order = self.order
        return self.order

    def unloaded(self, adapter: str, order: int) -> None:
        """Records that the engine completed an unload."""
        is_latest = self.is_latest_order(adapter, order)
        if (
            is_latest
            and self.slots[adapter].adapter_state is AdapterState.CLOSING
        ):
            del self.slots[adapter]

    def unload_failed(self, adapter: str, order: int, now_ms: int) -> None:
        """Allows grants again after the engine has rejected an unload."""
        slot = self.slots.get(adapter)
        if not self.is_latest_order(adapter, order):
            return
        if slot.adapter_state is AdapterState.CLOSING:
            slot.adapter_state = AdapterState.RESIDENT
            slot.since_ms = now_ms

    def adapter_missing(self, grant: Grant) -> None:
        """Records that the engine does not hold a granted adapter.

        The engine has restarted cold and its new incarnation is not known yet.
        """
        slot = self.slots.get(grant.adapter)
        if (
            grant.incarnation == self.incarnation
            and slot is not None
            and slot.grants == 0
            and slot.adapter_state is AdapterState.RESIDENT
        ):
            del self.slots[grant.adapter]

    def restart(self, incarnation: str, now_ms: int) -> None:
        """Clears all slots for a new incarnation, which has nothing loaded."""
        del now_ms
        self.incarnation = incarnation
        self.slots.clear()

    def reconcile(self, resident: frozenset[str], now_ms: int) -> list[str]:
        """Applies the engine's own list of resident adapters.

        The engine and this table differ if the answer to an order is lost or a
        load finishes after its timeout. Adapters with an order in progress are
        left as they are.

        Args:
            resident: Adapters that the engine lists as resident.
            now_ms: Now.

        Returns:
            Adapters that this table had as resident and the engine does not.
        """
        lost = []
        for adapter, slot in list(self.slots.items()):
            if (
                slot.adapter_state is AdapterState.RESIDENT
                and adapter not in resident
            ):
                del self.slots[adapter]
                lost.append(adapter)
        for adapter in sorted(resident):
            if adapter not in self.slots and self.free_slots() > 0:
                self.slots[adapter] = Slot(AdapterState.RESIDENT, now_ms)
        return lost
