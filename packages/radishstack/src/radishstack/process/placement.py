"""Chooses the target of a request and the engine that loads a missing adapter.

A request goes to the least loaded target that holds its adapter. If no target
holds it, every gateway computes the same home engine for the load from the
rendezvous order, without exchanging messages, and skips engines that are full.
A single copy of an adapter also keeps its prompt cache in one place; another
copy is loaded only when the target that holds the first one is busy.
"""

from collections.abc import Mapping
import dataclasses
import random

from radishstack.process import adapter_keeper
from radishstack.process import incarnation
from radishstack.process import rendezvous
from radishstack.process import roster as roster_lib

# Delay that each further running request adds to the others. Engines publish
# this step in their configuration; here it only ranks targets.
REQUEST_COST_MS = 6.0
QUEUED_COST_MS = 40.0
# Loading another copy pays for the load and for the adapter that it evicts once
# about fifty requests run at a holder. Earlier copies evict adapters that other
# requests need.
REPLICATION_THRESHOLD_MS = 320.0
# Queueing delay above which an engine gets no more requests: sixty requests
# run, or fewer run and some are queued. An engine processes prompts one after
# the other, so another request would start too late for its caller and delay
# all others.
OVERLOADED_MS = 360.0
# Retry delay for requests rejected because engines are overloaded or starting.
OVERLOADED_RETRY_MS = 500
# Share of failed sends above which an engine's adapters are loaded elsewhere:
# two of the last three sends, or half of the last ten.
DEGRADED_FAILURE_SHARE = 0.4
# A failed send costs its caller another attempt, which takes about as long as a
# service's latency objective.
FAILURE_COST_MS = 800.0
CROSS_DOMAIN_COST_MS = 3.0
# Age at which a status update is stale. A sidecar sends several updates in this
# time, so it has stopped or its VM is paused. Its engine gets no load requests
# and no requests that another target can take. Where updates come at a longer
# interval, the view is stale after two missing updates.
STALE_MS = 700
MISSED_UPDATES = 2
STALE_MARGIN_MS = 40
# Time to first byte above which a target is penalized for each millisecond that
# it leaves a request unanswered. Nine in ten requests are answered sooner.
ENGINE_FIRST_BYTE_MS = 800
PLAIN_FIRST_BYTE_MS = 250
SLOW_FIRST_BYTE_WEIGHT = 2.0
# Load queue at the home, in fetch times, above which the next engine in the
# order loads the adapter. A higher limit keeps adapters on fewer engines, a
# lower one spreads a burst of loads over more engines.
HOME_WAIT_FETCHES = 1.0
# Fetch time assumed until an engine reports one; engines publish this value in
# their configuration. It only decides when the next engine in the order is
# used.
FIRST_FETCH_MS = 250.0
# Length of an engine's load queue at which an adapter that it held before is
# loaded elsewhere: three rounds of the loads that it does in parallel.
MAX_QUEUED_LOADS = 12
# A load counts as in time if its predicted duration is at most this fraction of
# its caller's time. Predictions err, and a load that becomes late yields to
# those in time, so its caller would wait for nothing.
IN_TIME_FRACTION = 0.75
# A request waits for a late load that is done within this fraction of its
# maximum wait: a retry would cost its caller more, and loads are ordered by due
# time, so a late one delays none that is in time.
LATE_WAIT_FRACTION = 1 / 3
# How long an older version still serves while the new one is loaded. The
# platform's limit is longer by the time that a request may wait.
OLD_VERSION_MS = 2_500
LATENCY_FLOOR_MS = 20.0


@dataclasses.dataclass(slots=True)
class View:
    """The last status update that an engine's sidecar sent to this gateway.

    Attributes:
        instance: Name of the engine.
        received_at_ms: When the update arrived.
        running: Requests that run at the engine.
        queued: Requests that wait at the engine.
        residents: Versions of the resident adapters, by adapter.
        pending: Adapters being loaded or waiting for a load.
        own_in_flight: Requests that this gateway had there at that time.
        load_wait: How long a load took there at that time.
        own_load_requests: Load requests of this gateway since the update.
        adapter_limit: Number of adapter slots of the engine.
        born_ms: Start time of the engine's incarnation, 0 if unknown.
        next_ms: Time to the next update as stated in this one, 0 if not stated.
        notified_at_ms: When this gateway first reported uses or load requests
            since the update, 0 if it did not. The sidecar then sends updates
            at the interval of an active gateway.
        recent: Adapters that the engine no longer holds, the most recent last.
    """

    instance: str
    received_at_ms: int
    running: int
    queued: int
    residents: dict[str, int]
    pending: frozenset[str]
    own_in_flight: int = 0
    load_wait: adapter_keeper.LoadWait = adapter_keeper.LoadWait(0, 0.0)
    own_load_requests: int = 0
    adapter_limit: int = 16
    born_ms: int = 0
    next_ms: int = 0
    notified_at_ms: int = 0
    recent: tuple[str, ...] = ()

    @property
    def incarnation_id(self) -> incarnation.IncarnationId:
        """The incarnation of the engine that the update describes."""
        return incarnation.IncarnationId(self.instance, self.born_ms)

    def is_stale(self, now_ms: int) -> bool:
        """Whether the next update is overdue.

        After this gateway has reported uses or load requests, an answer is
        expected within ``STALE_MS``. Otherwise a gateway that begins to use an
        engine would send to a paused one for the long interval at which idle
        gateways are updated.
        """
        if self.notified_at_ms and now_ms - self.notified_at_ms > STALE_MS:
            return True
        promised_ms = MISSED_UPDATES * self.next_ms + STALE_MARGIN_MS
        return now_ms - self.received_at_ms > max(STALE_MS, promised_ms)


@dataclasses.dataclass(frozen=True, slots=True)
class Announced:
    """A version that the operator announced.

    Attributes:
        version: The version.
        at_ms: When this gateway received the announcement.
        before: The version announced before it.
    """

    version: int
    at_ms: int
    before: "Announced | None" = None

    def oldest_served(self, now_ms: int) -> int:
        """Returns the oldest version that may still serve.

        Each version has its own grace period. If it restarted with the next
        announcement, a series of announcements would keep the first version in
        use forever.
        """
        if now_ms - self.at_ms >= OLD_VERSION_MS:
            return self.version
        return self.before.oldest_served(now_ms) if self.before else 0

    def pruned(self, now_ms: int) -> "Announced":
        """Returns a copy without the versions that may no longer serve."""
        if now_ms - self.at_ms >= OLD_VERSION_MS:
            return Announced(self.version, self.at_ms)
        before = self.before.pruned(now_ms) if self.before else None
        return Announced(self.version, self.at_ms, before)


@dataclasses.dataclass(frozen=True, slots=True)
class WaitLimits:
    """How long a request may wait for a load.

    Attributes:
        in_time_ms: Longest wait, from its arrival, that lets it be answered
            within its latency objective.
        max_wait_ms: Longest wait, from now, that lets it be answered within
            its time limit and leaves enough time for a second attempt.
        is_late: Whether it has waited past its latency objective.
    """

    in_time_ms: float
    max_wait_ms: float
    is_late: bool = False


DEFAULT_WAIT_LIMITS = WaitLimits(800.0, 800.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """What to do with a request now.

    Attributes:
        send: Target to send to, None to wait for a load.
        load: Target that is to load the adapter, None if none needs to.
        version: Version expected at ``send``, 0 if unknown.
        full_for_ms: Predicted time for which every target is overloaded or has
            more queued loads than it can do in time; 0 if one is not full.
    """

    send: roster_lib.Member | None
    load: roster_lib.Member | None
    version: int = 0
    full_for_ms: int = 0


class Placement:
    """Residency and load of the targets, as last reported to one gateway."""

    def __init__(
        self, random_source: random.Random, failure_domain: str
    ) -> None:
        """Creates a placement without any views.

        Args:
            random_source: Breaks ties, so that gateways do not all choose the
                same target.
            failure_domain: Failure domain of this gateway.
        """
        self.views: dict[str, View] = {}
        self.warm: dict[str, dict[str, None]] = {}
        self.announced: dict[str, Announced] = {}
        self._random = random_source
        self._failure_domain = failure_domain

    def record_announcement(
        self, adapter: str, version: int, now_ms: int
    ) -> bool:
        """Records an announced version; returns whether it is newer.

        Versions of base models are ignored. Engines get new base weights only
        with a new incarnation, since loading them in place would unload every
        adapter. Until then requests must still reach the running engines.
        """
        if adapter_keeper.is_base(adapter):
            return False
        known = self.announced.get(adapter)
        if known is not None and known.version >= version:
            return False
        before = known.pruned(now_ms) if known is not None else None
        self.announced[adapter] = Announced(version, now_ms, before)
        return True

    def handle_update(self, address: str, view: View) -> None:
        """Applies a sidecar's status update, keyed by the target's address."""
        before = self.views.get(address)
        if before is None or before.incarnation_id.is_other(
            view.incarnation_id
        ):
            self.warm[address] = {}
        self.views[address] = view
        warm = self.warm[address]
        for adapter in (*view.recent, *view.residents):
            # Moves it to the end, so that the least recent is dropped first.
            warm.pop(adapter, None)
            warm[adapter] = None
        while len(warm) > adapter_keeper.WARM_PER_SLOT * view.adapter_limit:
            del warm[next(iter(warm))]

    def forget(self, now_ms: int, keep_ms: int) -> None:
        """Drops views older than ``keep_ms``."""
        self.views = {
            address: view
            for address, view in self.views.items()
            if now_ms - view.received_at_ms < keep_ms
        }

    def mark_absent(self, member: roster_lib.Member, adapter: str) -> None:
        """Records that a target does not hold an adapter."""
        view = self.view_of(member)
        if view is not None:
            view.residents.pop(adapter, None)
            return
        listing = member.listing
        residents = {
            name: version
            for name, version in listing.residents.items()
            if name != adapter
        }
        member.listing = dataclasses.replace(listing, residents=residents)

    def view_of(self, member: roster_lib.Member) -> View | None:
        """Returns the view of the listed incarnation of a target."""
        listing = member.listing
        view = self.views.get(listing.address)
        if view is None or view.instance != listing.instance:
            return None
        if incarnation.start_times_differ(view.born_ms, listing.born_ms):
            return None
        return view

    def note_demand_sent(self, member: roster_lib.Member, now_ms: int) -> None:
        """Records that uses or load requests were sent to a sidecar."""
        view = self.view_of(member)
        if view is not None and not view.notified_at_ms:
            view.notified_at_ms = now_ms

    def newer_versions(self, member: roster_lib.Member) -> dict[str, int]:
        """Returns the announced versions of adapters that a target holds older.

        A sidecar needs no other announcements. If all were sent, messages would
        grow with every announcement of the day.
        """
        view = self.view_of(member)
        if view is None:
            return {}
        newer = {}
        for adapter, held in view.residents.items():
            announced = self.announced.get(adapter)
            if announced is not None and announced.version > held:
                newer[adapter] = announced.version
        return newer

    def has_fresh_status(self, member: roster_lib.Member, now_ms: int) -> bool:
        """Whether the listed incarnation's status update is not stale."""
        view = self.view_of(member)
        return view is not None and not view.is_stale(now_ms)

    def _is_stale(self, member: roster_lib.Member, now_ms: int) -> bool:
        view = self.views.get(member.listing.address)
        return view is not None and view.is_stale(now_ms)

    def residents(
        self, member: roster_lib.Member, now_ms: int
    ) -> Mapping[str, int]:
        """Returns the versions that a target holds, by adapter.

        They come from its status update, or from the list of targets if the
        update is stale.
        """
        view = self.view_of(member)
        if view is None or view.is_stale(now_ms):
            return member.listing.residents
        return view.residents

    def _queueing_ms(self, member: roster_lib.Member, now_ms: int) -> float:
        """Estimates the delay that other requests at a target cause."""
        health = member.health
        view = self.view_of(member)
        running, queued = health.in_flight, 0
        if view is not None and not view.is_stale(now_ms):
            # Counts only requests that are still in flight. If ended ones
            # counted, a target with many short requests would look overloaded.
            sent_since = health.in_flight - view.own_in_flight
            running = max(running, view.running + sent_since)
            queued = view.queued
        slots = max(1, member.listing.slot_count)
        queueing_ms = REQUEST_COST_MS * running
        # Adds only own requests beyond the request slots to the reported queue:
        # the estimate of running requests is too rough to detect a full batch.
        queued += max(0, health.in_flight - slots)
        queueing_ms += QUEUED_COST_MS * queued
        slow_ms = health.first_byte_wait_ms(now_ms) - ENGINE_FIRST_BYTE_MS
        return queueing_ms + SLOW_FIRST_BYTE_WEIGHT * max(0, slow_ms)

    def cost_ms(self, member: roster_lib.Member, now_ms: int) -> float:
        """Estimates how much later than at an idle target a request starts."""
        cost_ms = self._queueing_ms(member, now_ms)
        cost_ms += FAILURE_COST_MS * member.health.failure_share
        if member.listing.failure_domain != self._failure_domain:
            cost_ms += CROSS_DOMAIN_COST_MS
        return cost_ms

    def choose_plain(
        self,
        usable: list[roster_lib.Member],
        now_ms: int,
    ) -> roster_lib.Member | None:
        """Chooses a target of a service without adapters.

        Args:
            usable: Targets that may get the request.
            now_ms: Now.

        Returns:
            The target expected to answer first, or None.
        """
        best: roster_lib.Member | None = None
        best_ms = 0.0
        for member in usable:
            health = member.health
            latency_ms = max(health.latency_ms, LATENCY_FLOOR_MS)
            slots = max(1, member.listing.slot_count)
            cost_ms = latency_ms * (1 + health.in_flight / slots)
            cost_ms += FAILURE_COST_MS * health.failure_share
            slow_ms = health.first_byte_wait_ms(now_ms) - PLAIN_FIRST_BYTE_MS
            cost_ms += SLOW_FIRST_BYTE_WEIGHT * max(0, slow_ms)
            cost_ms *= self._random.uniform(0.9, 1.1)
            if best is None or cost_ms < best_ms:
                best, best_ms = member, cost_ms
        return best

    def choose(
        self,
        adapter: str,
        candidates: list[roster_lib.Member],
        now_ms: int,
        wait_limits: WaitLimits = DEFAULT_WAIT_LIMITS,
    ) -> Choice:
        """Chooses what to do with a request that needs an adapter.

        Args:
            adapter: The adapter.
            candidates: Targets that may get the request.
            now_ms: Now.
            wait_limits: How long the request may wait.

        Returns:
            Where to send it, and where to have the adapter loaded.
        """
        if not candidates:
            return Choice(None, None)
        announced = self.announced.get(adapter)
        min_version = announced.version if announced is not None else 0
        best = self._cheapest(adapter, candidates, min_version, now_ms)
        if best is not None and self._is_overloaded(best, now_ms):
            home = self._home(adapter, candidates, min_version, now_ms)
            if home is None or self._is_full(home, adapter, wait_limits):
                return Choice(None, None, full_for_ms=OVERLOADED_RETRY_MS)
            return Choice(None, home)
        if best is not None:
            held = self.residents(best, now_ms).get(adapter, 0)
            stale = self._is_stale(best, now_ms)
            if not stale and not self._is_degraded(best, now_ms):
                return Choice(best, None, held if min_version else 0)
            home = self._home(adapter, candidates, min_version, now_ms)
            if stale and home is not None:
                # A paused VM would hold the request past its deadline, while a
                # load elsewhere takes a fraction of a second.
                return Choice(None, home)
            if home is not None and self._is_degraded(home, now_ms):
                # A copy on another degraded engine would not help.
                home = None
            return Choice(best, home, held if min_version else 0)
        home = self._home(adapter, candidates, min_version, now_ms)
        if announced is not None:
            oldest = announced.oldest_served(now_ms)
            old = self._cheapest(adapter, candidates, oldest, now_ms)
            if old is not None:
                # The new version is loaded in place only when all runs of the
                # old one have ended; serving the old one meanwhile spares
                # callers that wait.
                return Choice(old, home)
        if home is not None and self._is_full(home, adapter, wait_limits):
            return Choice(None, None, full_for_ms=self._full_for_ms(home))
        if home is None and self._any_overloaded(candidates, now_ms):
            # After a restart of all engines the first one that is ready would
            # otherwise get every request and answer none in time.
            return Choice(None, None, full_for_ms=OVERLOADED_RETRY_MS)
        return Choice(None, home)

    def _any_overloaded(
        self, candidates: list[roster_lib.Member], now_ms: int
    ) -> bool:
        return any(self._is_overloaded(one, now_ms) for one in candidates)

    def load_wait_ms(self, address: str) -> float:
        """Predicts how long a load that is requested now takes."""
        view = self.views[address]
        wait = view.load_wait
        return wait.wait_ms + wait.gap_ms * view.own_load_requests

    def _in_time_ms(self, address: str) -> float:
        """Predicts how long a load takes if it goes ahead of late loads."""
        view = self.views[address]
        wait = view.load_wait
        return wait.in_time_ms + wait.gap_ms * view.own_load_requests

    def _queue_ms(self, address: str) -> float:
        """Predicts how long a load is queued before its fetch starts."""
        return (
            self._in_time_ms(address) - self.views[address].load_wait.fetch_ms
        )

    def _fetch_ms(self, address: str) -> float:
        return self.views[address].load_wait.fetch_ms or FIRST_FETCH_MS

    def _is_full(
        self, home: roster_lib.Member, adapter: str, wait_limits: WaitLimits
    ) -> bool:
        """Whether a load at the home engine comes too late for a request.

        A late request waits on while late loads still progress, since even a
        late answer is worth more to its caller than a rejection. If they do
        not, the request is rejected at once.
        """
        address = home.listing.address
        if wait_limits.is_late:
            return self.load_wait_ms(address) > wait_limits.max_wait_ms
        if adapter in self.views[address].pending:
            return False
        on_time_ms = IN_TIME_FRACTION * wait_limits.in_time_ms
        if self._in_time_ms(address) <= on_time_ms:
            return False
        late_wait_ms = LATE_WAIT_FRACTION * wait_limits.max_wait_ms
        return self.load_wait_ms(address) > late_wait_ms

    def _full_for_ms(self, home: roster_lib.Member) -> int:
        return round(self.load_wait_ms(home.listing.address))

    def _is_overloaded(self, member: roster_lib.Member, now_ms: int) -> bool:
        return self._queueing_ms(member, now_ms) > OVERLOADED_MS

    def _pending_count(self, address: str) -> int:
        return len(self.views[address].pending)

    def _is_degraded(self, member: roster_lib.Member, now_ms: int) -> bool:
        """Whether a target's load or failures justify a copy elsewhere.

        A single failure does not: every adapter of that engine would be fetched
        again elsewhere and evict adapters that other requests need.
        """
        if member.health.failure_share > DEGRADED_FAILURE_SHARE:
            return True
        return self._queueing_ms(member, now_ms) > REPLICATION_THRESHOLD_MS

    def record_load_request(
        self, member: roster_lib.Member, adapter: str
    ) -> None:
        """Adds a load request to a view until the next update includes it."""
        view = self.view_of(member)
        if view is not None and adapter not in view.pending:
            view.pending |= {adapter}
            view.own_load_requests += 1

    def _cheapest(
        self,
        adapter: str,
        candidates: list[roster_lib.Member],
        min_version: int,
        now_ms: int,
    ) -> roster_lib.Member | None:
        holders = [
            member
            for member in candidates
            if self.residents(member, now_ms).get(adapter, -1) >= min_version
        ]
        if not holders:
            return None
        return min(
            holders,
            key=lambda one: (self.cost_ms(one, now_ms), one.listing.instance),
        )

    def _home(
        self,
        adapter: str,
        candidates: list[roster_lib.Member],
        min_version: int,
        now_ms: int,
    ) -> roster_lib.Member | None:
        by_address = {}
        for member in candidates:
            if not self.has_fresh_status(member, now_ms):
                continue
            view = self.views[member.listing.address]
            if adapter in view.pending:
                return member
            held = view.residents.get(adapter, -1)
            if held >= min_version:
                continue
            by_address[member.listing.address] = member
        if not by_address:
            return None
        base = adapter_keeper.base_of(adapter)
        with_base_model = {
            address: member
            for address, member in by_address.items()
            if base in self.views[address].residents
        }
        # An engine that is down or has just restarted holds no base model; a
        # load there would wait for seconds.
        by_address = with_base_model or by_address
        ordered = rendezvous.order(adapter, by_address)
        outdated = [
            address
            for address in ordered
            if adapter in self.views[address].residents
        ]
        without_adapter = [
            address for address in ordered if address not in outdated
        ]
        # An engine loads an adapter that it held recently ten times as fast,
        # without a fetch from the weight store, so even a queue there is the
        # shorter wait.
        warm = [
            address
            for address in without_adapter
            if adapter in self.warm.get(address, ())
            and len(self.views[address].pending) < MAX_QUEUED_LOADS
            and not self._is_degraded(by_address[address], now_ms)
        ]
        if warm:
            return by_address[min(warm, key=self._pending_count)]
        # Targets that still serve the old version come last, since replacing it
        # makes their callers wait.
        for address in without_adapter + outdated:
            member = by_address[address]
            if self._queue_ms(address) > HOME_WAIT_FETCHES * self._fetch_ms(
                address
            ):
                continue
            if not self._is_degraded(member, now_ms):
                return member
        accepting = [
            address
            for address, member in by_address.items()
            if not self._is_overloaded(member, now_ms)
        ]
        if not accepting:
            return None
        return by_address[min(accepting, key=self._pending_count)]
