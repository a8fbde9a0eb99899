"""Decides which adapters the sidecar's engine loads and unloads.

Only the sidecar gives its engine orders. It reads the engine's report before
every order, since an order can be accepted without an answer or be carried out
seconds late. Each order states how many orders the engine has accepted, so the
engine rejects one of two orders that were decided on the same report.
"""

from collections.abc import Mapping
import dataclasses
import enum
import itertools
import math

from radishstack import invariant
from radishstack import result
from radishstack.process import popularity

# How long a gateway's uses of adapters count. Gateways renew them several times
# a second, so a gateway without messages for this time has ended or is cut off.
# The engine itself still protects runs from an unload.
USE_TTL_MS = 2_000
# How long a gateway's load requests count. Each message contains all of them,
# several times a second, so a gateway without messages for this time has no
# waiting requests or is cut off.
LOAD_REQUEST_TTL_MS = 1_000
# Time since the last use before an adapter may be evicted. A gateway may be
# sending the next request and learns of an eviction some milliseconds later.
EVICTION_IDLE_MS = 25
# Backoff after the engine has rejected a load, so that other loads go first.
REJECTED_LOAD_BACKOFF_MS = 500
# Recently held adapters per adapter slot that most likely are still in the
# engine's memory. Engines keep six times as many as they have slots.
WARM_PER_SLOT = 5
# Recently held adapters that a status update names: more than an engine
# replaces between two updates to an idle gateway.
MAX_RECENT = 8
# Waiting time that each waiting request adds to an adapter's priority, since
# one load serves all requests that wait for the adapter.
WAITER_CREDIT_MS = 100
# Latest due time for ordering, counted from a load's first request. It applies
# to loads without a due time and to those with a later one.
MAX_DUE_MS = 1_000
# Weight of the newest interval between two loads in its moving average. An
# engine does four loads in one fetch time at best; the interval is several
# times as long once all slots are in use or many engines share the weight
# store.
GAP_WEIGHT = 0.25
FIRST_GAP_MS = 60.0
# Maximum number of adapters in transit to one engine; engines accept no more.
MAX_IN_TRANSIT = 4
# Weight of the newest fetch in the moving average of the fetch time.
FETCH_WEIGHT = 0.3
# Fraction of the expected fetch time after which the engine is polled for it.
FIRST_POLL_FRACTION = 0.8
# Time that an engine takes to load an adapter from its own memory.
WARM_LOAD_MS = 25
# Intervals at which the engine's report is read: when a change is due, and
# otherwise. A load that waits for a slot needs no polls, since a gateway's
# message reports the end of the run that frees it.
POLL_MS = 15
IDLE_POLL_MS = 100
# Poll interval for an overdue load, as a fraction of the time that it is
# overdue. At a constant interval, polls would return the same report over and
# over while the weight store is slow.
OVERDUE_POLL_FRACTION = 0.25
# Half-life of an adapter's request count. Popularity changes within seconds.
HALF_LIFE_MS = 10_000


# Due time of a load request that is never due.
NEVER_DUE_MS = 2**31 - 1


class Operation(enum.StrEnum):
    """What an order has the engine do."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order to the engine.

    Attributes:
        operation: Load or unload.
        adapter: The adapter, ``model/name``, or a base model.
        version: Version to load, 0 for the newest.
        accepted_count: Orders that the engine had accepted when this one was
            decided. The engine rejects the order if it has accepted others
            since.
    """

    operation: Operation
    adapter: str
    version: int
    accepted_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """The engine's report of its own state.

    Attributes:
        accepted_count: Orders that it has accepted in this incarnation.
        residents: Versions of adapters and base models that it holds.
        in_transit: Versions of adapters that are being fetched or loaded.
        busy: Whether it carries out an order that excludes others.
        running: Requests that run.
        queued: Requests that wait.
        born_ms: Start time of its incarnation, 0 if it reports none.
        leaving: Whether it is draining.
    """

    accepted_count: int
    residents: Mapping[str, int]
    in_transit: Mapping[str, int]
    busy: bool
    running: int
    queued: int
    born_ms: int = 0
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Use:
    """A gateway's use of one adapter.

    Attributes:
        adapter: The adapter.
        in_flight: Requests that it has at the engine now.
        sent: Requests that it has sent since its last message.
    """

    adapter: str
    in_flight: int
    sent: int


@dataclasses.dataclass(frozen=True, slots=True)
class LoadRequest:
    """An adapter that a gateway needs at the engine.

    Attributes:
        adapter: The adapter.
        version: The lowest version that serves.
        waiting: Requests that wait for it, 0 if it is only a further copy.
        first_due_ms: Time within which the first waiting request needs it to be
            answered within its latency objective; negative if that is past.
        last_due_ms: The same for the last waiting request.
    """

    adapter: str
    version: int
    waiting: int = 0
    first_due_ms: int = NEVER_DUE_MS
    last_due_ms: int = NEVER_DUE_MS


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """A gateway's message to a sidecar: what it uses and needs at the engine.

    Attributes:
        gateway: Name of the gateway.
        instance: Name of the engine's incarnation that the gateway knows.
        adapter_limit: Number of adapter slots of the engine.
        base_models: Base models of the engine's service.
        uses: Adapters that the gateway uses at the engine.
        wants: All load requests of the gateway.
        announced: Announced versions that the gateway knows.
    """

    gateway: str
    instance: str
    adapter_limit: int
    base_models: tuple[str, ...]
    uses: tuple[Use, ...]
    wants: tuple[LoadRequest, ...]
    announced: Mapping[str, int]


def base_of(adapter: str) -> str:
    """Returns the base model of an adapter, or a base model itself."""
    return adapter.partition("/")[0]


def is_base(adapter: str) -> bool:
    """Whether a name is that of a base model."""
    return "/" not in adapter


@dataclasses.dataclass(slots=True)
class _RequestedLoad:
    """The load requests of all gateways for one adapter."""

    version: int
    since_ms: int
    waiting: int = 0
    first_due_at_ms: float = math.inf
    last_due_at_ms: int = 0

    def is_late(self, now_ms: int, load_ms: float) -> bool:
        """Whether the load comes too late for all requests that wait for it."""
        return self.last_due_at_ms < now_ms + load_ms

    def urgency_ms(self) -> float:
        """Returns the time by which loads are ordered, the earliest first."""
        at_ms = min(self.first_due_at_ms, self.since_ms + MAX_DUE_MS)
        return at_ms - WAITER_CREDIT_MS * self.waiting


@dataclasses.dataclass(frozen=True, slots=True)
class LoadWait:
    """How long loads take at an engine now.

    Attributes:
        wait_ms: Time until a load requested now is done, behind all others.
        gap_ms: Time between two loads, which each queued load adds.
        in_time_ms: Like ``wait_ms``, but ahead of loads that are late for all
            their callers.
        fetch_ms: Time that a load takes without a queue.
    """

    wait_ms: int
    gap_ms: float
    in_time_ms: int = 0
    fetch_ms: int = 0


class Keeper:
    """Decides the load and unload orders for one engine."""

    def __init__(self) -> None:
        """Creates a keeper without a report or demand."""
        self.report: Report | None = None
        self.adapter_limit = 0
        self.base_models: tuple[str, ...] = ()
        self.announced: dict[str, int] = {}
        self._requests: dict[str, tuple[int, tuple[LoadRequest, ...]]] = {}
        self._requested_since_ms: dict[str, int] = {}
        self._gap_ms = FIRST_GAP_MS
        self._last_load_at_ms = 0
        self._last_late_load_at_ms = 0
        self.last_use_ms: dict[str, int] = {}
        self._warm: dict[str, None] = {}
        self.popularity = popularity.Popularity(HALF_LIFE_MS)
        self._in_flight: dict[str, tuple[int, dict[str, int]]] = {}
        self._rejected_until_ms: dict[str, int] = {}
        self._expected_at_ms: dict[str, int] = {}
        self._fetched_since_ms: dict[str, int] = {}
        # 0 until a fetch is observed, so that no request is rejected because
        # of an unknown load time.
        self._fetch_ms = 0.0
        self._hold_until_ms = 0
        self._born_ms = 0
        # Whether a load waited for a free slot at the last decision.
        self._waits_for_slot = False

    def restarted(self) -> None:
        """Discards the state of the engine's former incarnation."""
        self.report = None
        self._rejected_until_ms.clear()
        self._expected_at_ms.clear()
        self._fetched_since_ms.clear()
        self._warm.clear()

    def hold(self, until_ms: int) -> None:
        """Gives no orders until a time, as after a process pause."""
        self.report = None
        self._hold_until_ms = until_ms
        # Discards measurements that span the pause. They would inflate the
        # load time estimates, gateways would reject requests that need a load
        # here, and without further loads the estimates would stay too high.
        self._fetched_since_ms.clear()
        self._last_load_at_ms = max(self._last_load_at_ms, until_ms)
        self._last_late_load_at_ms = max(self._last_late_load_at_ms, until_ms)

    def handle_update(self, demand: Demand, now_ms: int) -> bool:
        """Applies a gateway's demand.

        Returns:
            Whether it may lead to an order: it has a new load request, or a run
            has ended while loads wait for a slot.
        """
        before = self.pending(now_ms) if demand.wants else frozenset()
        freed = self._apply_demand(demand, now_ms)
        if demand.wants and self.pending(now_ms) - before:
            return True
        return freed and self._waits_for_slot

    def _apply_demand(self, demand: Demand, now_ms: int) -> bool:
        """Applies a demand; returns whether an adapter is no longer used."""
        if demand.adapter_limit:
            self.adapter_limit = demand.adapter_limit
            self.base_models = demand.base_models
        for adapter, version in demand.announced.items():
            if version > self.announced.get(adapter, 0):
                self.announced[adapter] = version
        in_flight = {}
        for use in demand.uses:
            if use.in_flight:
                in_flight[use.adapter] = use.in_flight
            self.last_use_ms[use.adapter] = now_ms
            for _ in range(use.sent):
                self.popularity.touch(use.adapter, now_ms)
        _, used = self._in_flight.get(demand.gateway, (now_ms, {}))
        self._in_flight[demand.gateway] = (now_ms, in_flight)
        # Replaces the gateway's earlier load requests. A load that no caller
        # waits for any more would take a slot from those that are needed.
        self._requests[demand.gateway] = (now_ms, demand.wants)
        for request in demand.wants:
            self._requested_since_ms.setdefault(request.adapter, now_ms)
        return bool(used.keys() - in_flight.keys())

    def observe(self, report: Report) -> int:
        """Applies the engine's own report.

        Returns:
            The start time of the former incarnation if the report is the first
            of a new one, else 0.
        """
        former_born_ms = 0
        if report.born_ms and report.born_ms != self._born_ms:
            former_born_ms, self._born_ms = self._born_ms, report.born_ms
        if former_born_ms:
            # The new incarnation has none of the former one's adapters in its
            # memory or in use, and orders to the former one are void.
            self.restarted()
            self._in_flight.clear()
        self.report = report
        for adapter in self._expected_at_ms.keys() & report.residents.keys():
            del self._expected_at_ms[adapter]
        for adapter in report.residents:
            # Moves it to the end, so that the least recent is dropped first.
            self._warm.pop(adapter, None)
            self._warm[adapter] = None
        limit = WARM_PER_SLOT * self.adapter_limit
        while limit and len(self._warm) > limit:
            del self._warm[next(iter(self._warm))]
        return former_born_ms

    def recently_held(self) -> tuple[str, ...]:
        """Returns adapters that the engine no longer holds, most recent last.

        Idle gateways would not see an adapter that was loaded and unloaded
        between two updates, and would have it fetched again elsewhere.
        """
        held = self.report.residents if self.report is not None else {}
        former = (name for name in reversed(self._warm) if name not in held)
        return tuple(itertools.islice(former, MAX_RECENT))[::-1]

    def next_poll_ms(self, now_ms: int) -> int:
        """Returns the time until the engine's report should be read again.

        Load times are estimated, so an engine that only has loads in progress
        is not polled before one is due.
        """
        report = self.report
        if report is None:
            return POLL_MS
        if not self.pending(now_ms):
            return IDLE_POLL_MS
        poll_ms = self._next_load_ms(report, now_ms)
        if any(
            name not in report.in_transit
            for name in self._open_requests(now_ms)
        ):
            poll_ms = min(poll_ms, self._next_slot_ms(report, now_ms))
        return min(max(poll_ms, POLL_MS), IDLE_POLL_MS)

    def _next_load_ms(self, report: Report, now_ms: int) -> int:
        """Returns the time until a load in transit should be polled for."""
        poll_ms = IDLE_POLL_MS
        for name in report.in_transit:
            left_ms = self._expected_at_ms.get(name, now_ms) - now_ms
            if left_ms < 0:
                left_ms = round(-left_ms * OVERDUE_POLL_FRACTION)
            poll_ms = min(poll_ms, left_ms)
        return poll_ms

    def _next_slot_ms(self, report: Report, now_ms: int) -> int:
        """Returns the time until the next load can be ordered."""
        if not self._waits_for_slot:
            return POLL_MS
        if len(report.in_transit) >= MAX_IN_TRANSIT:
            return IDLE_POLL_MS
        idle_ms = [
            self.last_use_ms.get(name, 0) + EVICTION_IDLE_MS - now_ms
            for name in report.residents
            if not is_base(name) and not self.in_flight(name, now_ms)
        ]
        return min(
            (left_ms for left_ms in idle_ms if left_ms > 0),
            default=IDLE_POLL_MS,
        )

    def in_flight(self, adapter: str, now_ms: int) -> int:
        """Returns how many requests of all gateways use an adapter."""
        return sum(
            own.get(adapter, 0)
            for received_at_ms, own in self._in_flight.values()
            if now_ms - received_at_ms <= USE_TTL_MS
        )

    def pending(self, now_ms: int) -> frozenset[str]:
        """Returns the adapters that are in transit or requested and missing."""
        report = self.report
        in_transit = report.in_transit if report is not None else {}
        return frozenset(in_transit) | frozenset(self._open_requests(now_ms))

    def _requested(self, now_ms: int) -> dict[str, _RequestedLoad]:
        """Returns the merged load requests of all gateways, by adapter."""
        self._requests = {
            gateway: entry
            for gateway, entry in self._requests.items()
            if now_ms - entry[0] <= LOAD_REQUEST_TTL_MS
        }
        merged: dict[str, _RequestedLoad] = {}
        for received_at_ms, requests in self._requests.values():
            for request in requests:
                since_ms = self._requested_since_ms[request.adapter]
                load = merged.setdefault(
                    request.adapter, _RequestedLoad(request.version, since_ms)
                )
                load.version = max(load.version, request.version)
                load.waiting += request.waiting
                load.first_due_at_ms = min(
                    load.first_due_at_ms, received_at_ms + request.first_due_ms
                )
                load.last_due_at_ms = max(
                    load.last_due_at_ms, received_at_ms + request.last_due_ms
                )
        for name in self._requested_since_ms.keys() - merged.keys():
            del self._requested_since_ms[name]
        return merged

    def _open_requests(self, now_ms: int) -> list[str]:
        """Returns the adapters that are requested and missing, in order."""
        return [name for name, _ in self._queue(now_ms)]

    def _queue(self, now_ms: int) -> list[tuple[str, _RequestedLoad]]:
        report = self.report
        if report is None:
            return []
        fetch_ms = self._fetch_ms
        queue = [
            (name, load)
            for name, load in self._requested(now_ms).items()
            if report.residents.get(name, -1) < load.version
            or name not in report.residents
        ]
        # Adapters in the engine's memory go first: they load in a tenth of the
        # time and hardly delay the others. Loads that are late for all their
        # callers go last: in a burst, first come first served would make nearly
        # every load late.
        queue.sort(
            key=lambda entry: (
                entry[0] not in self._warm,
                entry[1].is_late(now_ms, fetch_ms),
                entry[1].urgency_ms(),
            )
        )
        return queue

    def load_wait(self, now_ms: int) -> LoadWait:
        """Predicts how long a load that is requested now takes.

        If all slots are in use, loads progress only as runs end. A limit on the
        number of queued loads alone would let callers wait past their
        objective.
        """
        report = self.report
        fetch_ms = self._fetch_ms
        unqueued_ms = round(fetch_ms)
        if report is None:
            return LoadWait(unqueued_ms, FIRST_GAP_MS, unqueued_ms, unqueued_ms)
        queue = [
            (name, load)
            for name, load in self._queue(now_ms)
            if name not in report.in_transit
        ]
        if not queue:
            return LoadWait(unqueued_ms, self._gap_ms, unqueued_ms, unqueued_ms)
        # The current interval may already exceed the moving average.
        first_ms = min(load.since_ms for _, load in queue)
        gap_ms = max(self._gap_ms, self._stalled_ms(first_ms, now_ms) / 2)
        late = [
            load.since_ms for _, load in queue if load.is_late(now_ms, fetch_ms)
        ]
        in_time_ms = fetch_ms + (len(queue) - len(late)) * gap_ms
        wait_ms = fetch_ms + len(queue) * gap_ms
        if late:
            # Late loads yield to the others, so in a lasting overload none of
            # them is ordered and further ones would wait for nothing.
            passed_over_ms = now_ms - max(self._last_late_load_at_ms, min(late))
            late_gap_ms = max(gap_ms, passed_over_ms / 2)
            wait_ms = in_time_ms + len(late) * late_gap_ms
        return LoadWait(round(wait_ms), gap_ms, round(in_time_ms), unqueued_ms)

    def _stalled_ms(self, first_ms: int, now_ms: int) -> int:
        """Returns for how long no load was ordered though one was requested."""
        if self._missing_base(self.report) is not None:
            # Loads progress at the usual rate once the base model is loaded.
            self._last_load_at_ms = now_ms
        return now_ms - max(self._last_load_at_ms, first_ms)

    def decide(self, now_ms: int) -> Order | None:
        """Decides the next order.

        Returns:
            The order, or None if none helps now.
        """
        self._update_fetch_estimate(now_ms)
        self._waits_for_slot = False
        order = self._decide(now_ms)
        if order is None or order.operation is Operation.UNLOAD:
            return order
        # Measures the interval only from the load's first request: before that,
        # there was nothing to load.
        since_ms = self._requested_since_ms.get(order.adapter, now_ms)
        gap_ms = now_ms - max(self._last_load_at_ms, since_ms)
        if not is_base(order.adapter):
            self._gap_ms += GAP_WEIGHT * (gap_ms - self._gap_ms)
        self._last_load_at_ms = now_ms
        load = self._requested(now_ms).get(order.adapter)
        if load is None or load.is_late(now_ms, self._fetch_ms):
            self._last_late_load_at_ms = now_ms
        return order

    def _update_fetch_estimate(self, now_ms: int) -> None:
        """Updates the estimated fetch time from fetches that have ended."""
        report = self.report
        if report is None:
            return
        # Keeps the order of the load orders; the iteration order of a set
        # differs between processes.
        ended = [
            adapter
            for adapter in self._fetched_since_ms
            if adapter not in report.in_transit
        ]
        for adapter in ended:
            since_ms = self._fetched_since_ms.pop(adapter)
            if adapter in report.residents:
                weight = FETCH_WEIGHT if self._fetch_ms else 1.0
                took_ms = now_ms - since_ms
                self._fetch_ms += weight * (took_ms - self._fetch_ms)

    def _decide(self, now_ms: int) -> Order | None:
        report = self.report
        if report is None or report.busy or now_ms < self._hold_until_ms:
            return None
        base = self._missing_base(report)
        if base is not None:
            return self._order(Operation.LOAD, base, 0, now_ms)
        for adapter in self._open_requests(now_ms):
            if adapter in report.in_transit:
                continue
            if base_of(adapter) not in report.residents or is_base(adapter):
                continue
            if self._rejected_until_ms.get(adapter, 0) > now_ms:
                continue
            return self._evict_or_load(report, adapter, now_ms)
        return self._unload_outdated(report, now_ms)

    def _missing_base(self, report: Report) -> str | None:
        """Returns the base model that an empty engine is to load."""
        if any(is_base(name) for name in report.residents):
            return None
        for adapter in self._requested_since_ms:
            if base_of(adapter) in self.base_models:
                return base_of(adapter)
        return self.base_models[0] if self.base_models else None

    def _occupied(self, report: Report) -> int:
        held = sum(not is_base(name) for name in report.residents)
        return held + len(report.in_transit)

    def _evict_or_load(
        self, report: Report, adapter: str, now_ms: int
    ) -> Order | None:
        if len(report.in_transit) >= MAX_IN_TRANSIT:
            self._waits_for_slot = True
            return None
        if self._occupied(report) < self.adapter_limit:
            version = self.announced.get(adapter, 0)
            return self._order(Operation.LOAD, adapter, version, now_ms)
        victim = self._victim(report, now_ms)
        if victim is None:
            self._waits_for_slot = True
            return None
        return self._order(Operation.UNLOAD, victim, 0, now_ms)

    def _unload_outdated(self, report: Report, now_ms: int) -> Order | None:
        """Unloads an idle adapter whose version is out of date."""
        for adapter, version in report.residents.items():
            if is_base(adapter) or version >= self.announced.get(adapter, 0):
                continue
            if self._idle(adapter, now_ms):
                return self._order(Operation.UNLOAD, adapter, 0, now_ms)
        return None

    def _idle(self, adapter: str, now_ms: int) -> bool:
        if self.in_flight(adapter, now_ms):
            return False
        return (
            now_ms - self.last_use_ms.get(adapter, -EVICTION_IDLE_MS)
            >= EVICTION_IDLE_MS
        )

    def _needed(
        self,
        report: Report,
        adapter: str,
        requested: Mapping[str, _RequestedLoad],
    ) -> bool:
        """Whether requests wait for the version that the engine holds."""
        load = requested.get(adapter)
        return load is not None and (
            report.residents.get(adapter, -1) >= load.version
        )

    def _victim(self, report: Report, now_ms: int) -> str | None:
        """Returns the idle adapter to evict, None if there is none.

        Outdated versions go first, then the least popular adapter.
        """
        requested = self._requested(now_ms)
        idle = [
            name
            for name in report.residents
            if not is_base(name)
            and not self._needed(report, name, requested)
            and self._idle(name, now_ms)
        ]
        if not idle:
            return None
        return min(
            idle,
            key=lambda name: (
                report.residents[name] >= self.announced.get(name, 0),
                self.popularity.value(name, now_ms),
                self.last_use_ms.get(name, 0),
                name,
            ),
        )

    def _order(
        self, operation: Operation, adapter: str, version: int, now_ms: int
    ) -> Order:
        report = self.report
        if operation is Operation.LOAD and not is_base(adapter):
            # One adapter too many crashes the engine with all its runs.
            invariant.require(
                self._occupied(report) < self.adapter_limit,
                result.SLOTS_OVERFILLED,
                f"load of {adapter} into {self.adapter_limit} slots",
            )
        if operation is Operation.UNLOAD:
            invariant.require(
                self.in_flight(adapter, now_ms) == 0,
                result.UNLOAD_WHILE_SERVING,
                f"unload of {adapter} in use",
            )
        return Order(operation, adapter, version, report.accepted_count)

    def settled(self, order: Order, now_ms: int, *, refused: bool) -> None:
        """Records the result of an order; the next one needs a new report.

        Args:
            order: The order.
            now_ms: Now.
            refused: Whether the engine rejected the order for its content. An
                order without an answer counts as not rejected: it may be given
                again, since the engine accepts only one of the two.
        """
        report, self.report = self.report, None
        if order.operation is Operation.LOAD:
            warm = order.adapter in self._warm
            # Polls start a little before the fetch is due. A later poll would
            # overestimate the fetch time.
            took_ms = (
                WARM_LOAD_MS if warm else FIRST_POLL_FRACTION * self._fetch_ms
            )
            self._expected_at_ms[order.adapter] = now_ms + round(took_ms)
            replaced = report is not None and order.adapter in report.residents
            if not warm and not replaced and not is_base(order.adapter):
                self._fetched_since_ms[order.adapter] = now_ms
        if refused:
            self._rejected_until_ms[order.adapter] = (
                now_ms + REJECTED_LOAD_BACKOFF_MS
            )
