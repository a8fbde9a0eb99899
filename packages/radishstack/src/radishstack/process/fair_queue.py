"""The queue of a target, with priority classes and fair shares."""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses

AGING_MS = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedAttempt:
    """One queued attempt.

    Attributes:
        attempt_id: The attempt.
        customer: The customer that it belongs to.
        share: The customer's weight.
        service: Service name, for the service's queue limit.
        rank: Priority class, 0 the most urgent.
        stall_weight: How much a load stall matters to it, 0 to 1.
        adapter: The adapter that it needs, empty for a plain service.
        enqueued_at_ms: When it was queued.
        deadline_at_ms: When its caller stops waiting.
        stalls: Whether its adapter was not resident when it arrived.
    """

    attempt_id: bytes
    customer: str
    share: float
    service: str
    rank: int
    stall_weight: float
    adapter: str
    enqueued_at_ms: int
    deadline_at_ms: int
    stalls: bool = False


class FairQueue:
    """Start-time fair queueing between customers, within priority classes.

    Each customer has a virtual time that grows with each turn by the inverse of
    its share. The customer with the least virtual time goes next, so a flood of
    one customer's attempts lengthens only that customer's queue.
    """

    def __init__(self) -> None:
        """Creates an empty queue."""
        self._entries: dict[bytes, QueuedAttempt] = {}
        self._by_customer: dict[str, dict[bytes, QueuedAttempt]] = {}
        self._by_service: dict[str, int] = {}
        self._by_adapter: dict[str, dict[bytes, QueuedAttempt]] = {}
        self._virtual_times: dict[str, float] = {}
        self._virtual_clock = 0.0

    def __len__(self) -> int:
        """How many attempts wait."""
        return len(self._entries)

    def __contains__(self, attempt_id: bytes) -> bool:
        """Whether an attempt waits."""
        return attempt_id in self._entries

    def __iter__(self) -> Iterator[QueuedAttempt]:
        """Iterates over all that wait, oldest first."""
        return iter(tuple(self._entries.values()))

    def count_customer(self, customer: str) -> int:
        """Returns how many attempts of a customer wait."""
        return len(self._by_customer.get(customer, ()))

    def count_service(self, service: str) -> int:
        """Returns how many attempts of a service wait."""
        return self._by_service.get(service, 0)

    def waiting_for(self, adapter: str) -> tuple[QueuedAttempt, ...]:
        """Returns the attempts that wait for an adapter, oldest first."""
        return tuple(self._by_adapter.get(adapter, {}).values())

    def adapters(self) -> tuple[str, ...]:
        """Returns the adapters that attempts wait for."""
        return tuple(adapter for adapter in self._by_adapter if adapter)

    def push(self, waiting: QueuedAttempt) -> None:
        """Adds an attempt."""
        customer = waiting.customer
        own = self._by_customer.setdefault(customer, {})
        if not own:
            # Advances a customer that was idle to the queue's virtual time.
            # Otherwise its unused turns would let it starve the others.
            behind = self._virtual_times.get(customer, 0.0)
            self._virtual_times[customer] = max(behind, self._virtual_clock)
        own[waiting.attempt_id] = waiting
        self._entries[waiting.attempt_id] = waiting
        self._by_service[waiting.service] = (
            self.count_service(waiting.service) + 1
        )
        by_adapter = self._by_adapter.setdefault(waiting.adapter, {})
        by_adapter[waiting.attempt_id] = waiting

    def remove(self, attempt_id: bytes) -> QueuedAttempt | None:
        """Removes an attempt without giving it a turn."""
        waiting = self._entries.pop(attempt_id, None)
        if waiting is None:
            return None
        del self._by_customer[waiting.customer][attempt_id]
        if not self._by_customer[waiting.customer]:
            del self._by_customer[waiting.customer]
        self._by_service[waiting.service] -= 1
        by_adapter = self._by_adapter[waiting.adapter]
        del by_adapter[attempt_id]
        if not by_adapter:
            del self._by_adapter[waiting.adapter]
        return waiting

    def pop(
        self, can_run: Callable[[QueuedAttempt], bool], now_ms: int
    ) -> QueuedAttempt | None:
        """Removes and returns the attempt to dispatch next.

        Args:
            can_run: Whether an attempt can be dispatched now.
            now_ms: Now. Attempts move up a priority class at intervals while
                they wait, so that no class starves.

        Returns:
            The attempt, or None if none can run.
        """
        best: QueuedAttempt | None = None
        best_order: tuple[int, float, int] | None = None
        for customer, own in self._by_customer.items():
            for waiting in own.values():
                order = (
                    effective_rank(waiting, now_ms),
                    self._virtual_times[customer],
                    waiting.enqueued_at_ms,
                )
                if best_order is not None and order >= best_order:
                    continue
                if can_run(waiting):
                    best, best_order = waiting, order
        if best is None:
            return None
        self.remove(best.attempt_id)
        self._virtual_clock = max(
            self._virtual_clock, self._virtual_times[best.customer]
        )
        self._virtual_times[best.customer] += 1.0 / best.share
        if len(self._virtual_times) > 4 * len(self._by_customer) + 64:
            self._forget_idle()
        return best

    def _forget_idle(self) -> None:
        self._virtual_times = {
            customer: value
            for customer, value in self._virtual_times.items()
            if customer in self._by_customer or value > self._virtual_clock
        }


def effective_rank(waiting: QueuedAttempt, now_ms: int) -> int:
    """Returns the priority class of an attempt after aging."""
    waited_ms = now_ms - waiting.enqueued_at_ms
    return max(0, waiting.rank - waited_ms // AGING_MS)
