"""Which adapters one engine holds: the orders of the process beside it.

Only this process gives its engine orders. What the engine holds is read anew
before every order, since an order can be accepted without an answer, or be
carried out seconds late; each order names the count of orders that the engine
has accepted, so of two that were decided on the same report one is refused.
"""

from collections.abc import Mapping
import dataclasses
import enum
import itertools
import math

from radishstack import invariant
from radishstack import result
from radishstack.process import popularity

# A gateway's word on its use of this engine is believed this long. It is
# renewed several times a second; after this the gateway is gone, and the
# engine itself still protects runs from an unload.
USE_TTL_MS = 2_000
# Each word of a gateway says all that it wants, several times a second. A
# gateway that was not heard for longer waits no more, or is cut off.
LOAD_REQUEST_TTL_MS = 1_000
# No eviction right after a use: a gateway may be sending the next request,
# and learns of an eviction some milliseconds after it.
EVICTION_IDLE_MS = 25
# After a load order that the engine refused, others go first.
REJECTED_LOAD_BACKOFF_MS = 500
# Adapters that the engine held lately and most likely still has in its memory,
# for each place: engines keep six times as many as they have places.
WARM_PER_SLOT = 5
# Adapters held last that a word names beside those that are held: more than
# an engine replaces between two words to those that are told seldom.
MAX_RECENT = 8
# What one more request that waits for an adapter is worth, in time waited: the
# load of an adapter that several wait for serves them all.
WAITER_CREDIT_MS = 100
# A load request without an objective, or with a long one, is ordered as if it
# were due so long after it was made.
MAX_DUE_MS = 1_000
# While loads wait, the time between two of them is learned with this weight
# of the newest: it is four in one fetch at best, and several times as long once
# every place is in use or the weight store is shared by many.
GAP_WEIGHT = 0.25
FIRST_GAP_MS = 60.0
# Adapters that may be in transit to one engine: what engines take at most.
MAX_IN_TRANSIT = 4
# Weight of the newest fetch in the estimate of how long one takes.
FETCH_WEIGHT = 0.3
# Part of that time after which its end is looked for.
FIRST_POLL_FRACTION = 0.8
# The same from its own memory.
WARM_LOAD_MS = 25
# How often the engine is asked for its report: where a change is due, and at
# the least. A place that is waited for comes free when a gateway's word says
# that a run has ended, so the engine need not be asked for that.
POLL_MS = 15
IDLE_POLL_MS = 100
# Part of the time that a load is overdue after which it is looked for again:
# while the weight store is slow, looks at a steady pace would be the same
# report over and over.
OVERDUE_POLL_FRACTION = 0.25
# Half-life of an adapter's count of requests: popularity moves in seconds.
HALF_LIFE_MS = 10_000


# A load request that is due at no time.
NEVER_DUE_MS = 2**31 - 1


class Operation(enum.StrEnum):
    """What an order asks for."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """One order.

    Attributes:
        operation: Load or unload.
        adapter: The adapter, ``model/name``, or a base model.
        version: Version to load, 0 for the newest.
        accepted_count: Orders that the engine had accepted when this one was
            decided; the engine refuses it if others came between.
    """

    operation: Operation
    adapter: str
    version: int
    accepted_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What the engine says of itself.

    Attributes:
        accepted_count: Orders that it accepted since its start.
        residents: Versions of adapters and base models that it holds.
        in_transit: Versions of adapters on their way to it.
        busy: Whether it carries out an order that excludes others.
        running: Requests that run.
        queued: Requests that wait.
        born_ms: Birth of its start, 0 where it told none.
        leaving: Whether it says that it leaves.
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
        in_flight: Requests it has there now.
        sent: Requests it sent since its last word.
    """

    adapter: str
    in_flight: int
    sent: int


@dataclasses.dataclass(frozen=True, slots=True)
class LoadRequest:
    """An adapter that a gateway has requests for.

    Attributes:
        adapter: The adapter.
        version: Its lowest version.
        waiting: Requests that wait for it there, 0 if it is only a further
            copy.
        first_due_ms: In how long the first of them must have it, to be
            answered within its objective; negative where that has passed.
        last_due_ms: The same of the last one.
    """

    adapter: str
    version: int
    waiting: int = 0
    first_due_ms: int = NEVER_DUE_MS
    last_due_ms: int = NEVER_DUE_MS


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """A gateway's word to the process beside an engine.

    Attributes:
        gateway: Name of the gateway.
        instance: Start of the engine that it knows.
        adapter_limit: Adapters that the engine can hold.
        base_models: Base models of the engine's service.
        uses: Its use of adapters there.
        wants: All adapters that it waits for now.
        announced: Announced versions that it knows.
    """

    gateway: str
    instance: str
    adapter_limit: int
    base_models: tuple[str, ...]
    uses: tuple[Use, ...]
    wants: tuple[LoadRequest, ...]
    announced: Mapping[str, int]


def base_of(adapter: str) -> str:
    """Returns the base model of an adapter; a base model is its own."""
    return adapter.partition("/")[0]


def is_base(adapter: str) -> bool:
    """Whether a name is that of a base model."""
    return "/" not in adapter


@dataclasses.dataclass(slots=True)
class _RequestedLoad:
    version: int
    since_ms: int
    waiting: int = 0
    first_due_at_ms: float = math.inf
    last_due_at_ms: int = 0

    def is_late(self, now_ms: int, load_ms: float) -> bool:
        """Whether all that wait for it will be answered late in any case."""
        return self.last_due_at_ms < now_ms + load_ms

    def urgency_ms(self) -> float:
        """Returns the time by which load requests are ordered."""
        at_ms = min(self.first_due_at_ms, self.since_ms + MAX_DUE_MS)
        return at_ms - WAITER_CREDIT_MS * self.waiting


@dataclasses.dataclass(frozen=True, slots=True)
class LoadWait:
    """How long loads take at an engine now.

    Attributes:
        wait_ms: Until a load that is wished now would be done, were it the
            last one.
        gap_ms: Between two loads; what one more in the queue adds.
        in_time_ms: Until it would be done ahead of those that come too late
            in any case.
        fetch_ms: How long it takes without a wait.
    """

    wait_ms: int
    gap_ms: float
    in_time_ms: int = 0
    fetch_ms: int = 0


class Keeper:
    """Decides the orders of one engine."""

    def __init__(self) -> None:
        """Starts without a report and without demand."""
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
        # 0 until a fetch was seen: callers are not turned away for a wait of
        # which nothing is known.
        self._fetch_ms = 0.0
        self._hold_until_ms = 0
        self._born_ms = 0
        # Whether a load waits for a run to end, as of the last decision.
        self._waits_for_slot = False

    def restarted(self) -> None:
        """Resets what is known after the engine was restarted."""
        self.report = None
        self._rejected_until_ms.clear()
        self._expected_at_ms.clear()
        self._fetched_since_ms.clear()
        self._warm.clear()

    def hold(self, until_ms: int) -> None:
        """Gives no orders for a while, as after standing still."""
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
            Whether an order may follow from it: something is wanted that was
            not, or a run has ended while load requests wait for its place.
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
        # What it does not want any more has nobody waiting there: a load for
        # callers that have left would keep a place from those that wait.
        self._requests[demand.gateway] = (now_ms, demand.wants)
        for request in demand.wants:
            self._requested_since_ms.setdefault(request.adapter, now_ms)
        return bool(used.keys() - in_flight.keys())

    def observe(self, report: Report) -> int:
        """Applies the engine's own report.

        Returns:
            The birth of the start before, if another one reports now; 0
            otherwise.
        """
        former_born_ms = 0
        if report.born_ms and report.born_ms != self._born_ms:
            former_born_ms, self._born_ms = self._born_ms, report.born_ms
        if former_born_ms:
            # What the former start held is neither in the memory of this one
            # nor in use; orders to it are settled by its end.
            self.restarted()
            self._in_flight.clear()
        self.report = report
        for adapter in self._expected_at_ms.keys() & report.residents.keys():
            del self._expected_at_ms[adapter]
        for adapter in report.residents:
            # The one held last goes last, so that the oldest is dropped.
            self._warm.pop(adapter, None)
            self._warm[adapter] = None
        limit = WARM_PER_SLOT * self.adapter_limit
        while limit and len(self._warm) > limit:
            del self._warm[next(iter(self._warm))]
        return former_born_ms

    def recently_held(self) -> tuple[str, ...]:
        """Returns adapters that were held last and are not any more.

        Gateways that are told seldom would not see those that came and went
        between two words, and fetch them again elsewhere. The one held last
        is at the end.
        """
        held = self.report.residents if self.report is not None else {}
        former = (name for name in reversed(self._warm) if name not in held)
        return tuple(itertools.islice(former, MAX_RECENT))[::-1]

    def next_poll_ms(self, now_ms: int) -> int:
        """Returns how long the engine's report will most likely stay as it is.

        Loads take their known time, so that an engine with nothing but loads
        under way need not be asked for them all the while.
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
        """Returns in how long a load is likely to have ended."""
        poll_ms = IDLE_POLL_MS
        for name in report.in_transit:
            left_ms = self._expected_at_ms.get(name, now_ms) - now_ms
            if left_ms < 0:
                left_ms = round(-left_ms * OVERDUE_POLL_FRACTION)
            poll_ms = min(poll_ms, left_ms)
        return poll_ms

    def _next_slot_ms(self, report: Report, now_ms: int) -> int:
        """Returns in how long the next load can be ordered."""
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
        """Returns how many requests gateways have on an adapter."""
        return sum(
            own.get(adapter, 0)
            for received_at_ms, own in self._in_flight.values()
            if now_ms - received_at_ms <= USE_TTL_MS
        )

    def pending(self, now_ms: int) -> frozenset[str]:
        """Returns the adapters that are loaded or will be."""
        report = self.report
        in_transit = report.in_transit if report is not None else {}
        return frozenset(in_transit) | frozenset(self._open_requests(now_ms))

    def _requested(self, now_ms: int) -> dict[str, _RequestedLoad]:
        """Returns what all gateways together want."""
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
        """Returns the adapters that are wanted and missing, in order."""
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
        # What the engine still has in its memory is there in a tenth of the
        # time: served first, it makes the others wait next to nothing. A load
        # that comes too late for all its callers yields to those that are in
        # time: in a rush, first come first served has everyone late.
        queue.sort(
            key=lambda entry: (
                entry[0] not in self._warm,
                entry[1].is_late(now_ms, fetch_ms),
                entry[1].urgency_ms(),
            )
        )
        return queue

    def load_wait(self, now_ms: int) -> LoadWait:
        """Predicts how long a load that is wished now would take.

        Where every place is in use, loads go on only as runs end; a bound on
        their number alone would let callers wait past their objective.
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
        # A gap that is not over yet may already be longer than those before.
        first_ms = min(load.since_ms for _, load in queue)
        gap_ms = max(self._gap_ms, self._stalled_ms(first_ms, now_ms) / 2)
        late = [
            load.since_ms for _, load in queue if load.is_late(now_ms, fetch_ms)
        ]
        in_time_ms = fetch_ms + (len(queue) - len(late)) * gap_ms
        wait_ms = fetch_ms + len(queue) * gap_ms
        if late:
            # Those that come too late yield to the others: in an overload
            # that lasts they have no turn, and further ones would wait in
            # vain.
            passed_over_ms = now_ms - max(self._last_late_load_at_ms, min(late))
            late_gap_ms = max(gap_ms, passed_over_ms / 2)
            wait_ms = in_time_ms + len(late) * late_gap_ms
        return LoadWait(round(wait_ms), gap_ms, round(in_time_ms), unqueued_ms)

    def _stalled_ms(self, first_ms: int, now_ms: int) -> int:
        """Returns how long no load went on though one was wanted."""
        if self._missing_base(self.report) is not None:
            # Loads go on at the usual rate once the base model is there.
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
        # Only the time in which it could have been loaded says how fast loads
        # go on; before it was wanted there was nothing to do.
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
        """Learns from fetches that have ended how long they take."""
        report = self.report
        if report is None:
            return
        # In the order of the orders: that of a set differs between processes.
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
        """Returns the idle adapter that is least likely to be asked for."""
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
            # One adapter too many makes the engine crash with all its runs.
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
        """Records the end of an order; the next one needs a new report.

        Args:
            order: The order.
            now_ms: Now.
            refused: Whether the engine refused it for what it asks. Without
                an answer it counts as not refused: the same order may be
                given again, since the engine takes only one of the two.
        """
        report, self.report = self.report, None
        if order.operation is Operation.LOAD:
            warm = order.adapter in self._warm
            # Looked for a little before it is due: looked for later, it would
            # seem to have taken that long.
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
