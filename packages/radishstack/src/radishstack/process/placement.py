"""Where a forwarded request goes, and where a missing adapter is loaded.

A target that holds the adapter takes the request, the least loaded first.
Where none does, every gateway computes the same home for the load from the
rendezvous order, without a message, and passes over targets that are full.
One copy of an adapter also keeps its prompt cache in one place; a second copy
is made once the first one's target is busy.
"""

from collections.abc import Mapping
import dataclasses
import random

from radishstack.process import adapter_keeper
from radishstack.process import incarnation
from radishstack.process import rendezvous
from radishstack.process import roster as roster_lib

# The step by which one more running request delays the others, as configured
# engines publish it; it only ranks targets.
REQUEST_COST_MS = 6.0
QUEUED_COST_MS = 40.0
# A copy elsewhere is worth its load, and the place that it takes from another
# adapter, once some fifty requests run at the holders; earlier copies push out
# what others need.
REPLICATION_THRESHOLD_MS = 320.0
# An engine this late takes no more: sixty run, or fewer and some wait. It
# reads prompts one after the other, so what is added starts later than its
# caller has use for, and delays all others.
OVERLOADED_MS = 360.0
# When to come back to engines that are overloaded or still starting.
OVERLOADED_RETRY_MS = 500
# Share of failures above which an engine's adapters are loaded elsewhere: two
# of the last three sends, or half of the last ten.
DEGRADED_FAILURE_SHARE = 0.4
# A failed send costs the caller a new attempt, about one objective.
FAILURE_COST_MS = 800.0
CROSS_DOMAIN_COST_MS = 3.0
# A target process tells its state several times in this time. One that was
# not heard for longer is gone or its whole VM is paused; it gets no load
# requests, and its engine no requests that another could take. Where it is
# told seldom it counts as silent once two words that it promised are missing.
STALE_MS = 700
MISSED_UPDATES = 2
STALE_MARGIN_MS = 40
# An engine, or a plain target, that has left a request without a first byte
# for this long is not like the others: nine in ten answer sooner. What it is
# silent above this counts against it.
ENGINE_FIRST_BYTE_MS = 800
PLAIN_FIRST_BYTE_MS = 250
SLOW_FIRST_BYTE_WEIGHT = 2.0
# Wait at a home, in fetches, above which a load is left to the next engine in
# the order: a longer wait keeps adapters to fewer engines, a shorter one
# spreads a rush.
HOME_WAIT_FETCHES = 1.0
# Time of a fetch while none was told, as configured engines publish it; it only
# says when the next engine in the order is taken.
FIRST_FETCH_MS = 250.0
# Loads waiting at an engine above which an adapter that it held before is
# loaded elsewhere: three rounds of what it brings in at once.
MAX_QUEUED_LOADS = 12
# A load counts as in time if it is predicted to take at most this part of what
# its caller has: the prediction errs, and what is in time by a hair is passed
# over once it is late, so that its caller would wait in vain.
IN_TIME_FRACTION = 0.75
# A load that comes late, but within this part of the time for which the
# request may wait at all, is waited for: to come back would cost its caller
# more, and where loads are due in order it delays nobody who is in time.
LATE_WAIT_FRACTION = 1 / 3
# How long an older version still serves while the new one is loaded. The
# platform's bound is longer by the time that a request may wait.
OLD_VERSION_MS = 2_500
LATENCY_FLOOR_MS = 20.0


@dataclasses.dataclass(slots=True)
class View:
    """A target process' last word on its engine.

    Attributes:
        instance: Name of the engine that it spoke of.
        heard_at_ms: When the word arrived.
        running: Requests that run there.
        queued: Requests that wait there.
        residents: Versions by adapter.
        pending: Adapters being loaded or waiting for a load.
        own_in_flight: Requests that this process had there at that time.
        load_wait: How long a load took there at that time.
        own_wishes: Loads wished from here since.
        adapter_limit: Adapters that the engine can hold.
        born_ms: Birth of the start that it spoke of, 0 if that is not told.
        next_ms: Within what time it promised its next word, 0 if it did not.
        asked_at_ms: When it was first told of uses or load requests since, to
            which it answers at the pace of a user; 0 if it was not.
        recent: Adapters that the engine held last and does not any more, the
            one held last at the end.
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
    def start(self) -> incarnation.Start:
        """The start of the engine that it spoke of."""
        return incarnation.Start(self.instance, self.born_ms)

    def is_stale(self, now_ms: int) -> bool:
        """Whether its next word is overdue.

        A gateway that begins to use an engine would otherwise send to one
        that stands still for as long as the idle are told seldom.
        """
        if self.notified_at_ms and now_ms - self.notified_at_ms > STALE_MS:
            return True
        promised_ms = MISSED_UPDATES * self.next_ms + STALE_MARGIN_MS
        return now_ms - self.received_at_ms > max(STALE_MS, promised_ms)


@dataclasses.dataclass(frozen=True, slots=True)
class Announced:
    """A version that the operator announced, and when it was learned.

    Attributes:
        version: The version.
        at_ms: When it was learned.
        before: The one announced before it.
    """

    version: int
    at_ms: int
    before: "Announced | None" = None

    def oldest_served(self, now_ms: int) -> int:
        """Returns the oldest version that still serves for a moment.

        Each version has its own time: were it to begin anew with the next
        one, several in a row would keep the first one in use for ever.
        """
        if now_ms - self.at_ms >= OLD_VERSION_MS:
            return self.version
        return self.before.oldest_served(now_ms) if self.before else 0

    def pruned(self, now_ms: int) -> "Announced":
        """Returns it without those that serve no more."""
        if now_ms - self.at_ms >= OLD_VERSION_MS:
            return Announced(self.version, self.at_ms)
        before = self.before.pruned(now_ms) if self.before else None
        return Announced(self.version, self.at_ms, before)


@dataclasses.dataclass(frozen=True, slots=True)
class WaitLimits:
    """How long a request may wait for a load.

    Attributes:
        in_time_ms: From its arrival on, to be answered within its objective.
        at_all_ms: From now on, to be answered within its time limit, with
            enough left for a second try.
        is_late: Whether it has waited past its objective.
    """

    in_time_ms: float
    max_wait_ms: float
    is_late: bool = False


# Of a request of which nothing else is known.
DEFAULT_WAIT_LIMITS = WaitLimits(800.0, 800.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """What to do with a request now.

    Attributes:
        send: Target to send to, None to wait for a load.
        load: Target that is to load the adapter, None if none needs to.
        version: Version believed at ``send``, 0 if unknown.
        full_for_ms: Where neither helps since every target has more loads
            waiting than it does in time: for how long, by their number.
    """

    send: roster_lib.Member | None
    load: roster_lib.Member | None
    version: int = 0
    full_for_ms: int = 0


class Placement:
    """Residency and load of the targets, as one gateway believes them."""

    def __init__(
        self, random_source: random.Random, failure_domain: str
    ) -> None:
        """Starts knowing nothing.

        Args:
            random_source: Breaks ties, so that gateways do not herd.
            failure_domain: This process' failure domain.
        """
        self.views: dict[str, View] = {}
        self.warm: dict[str, dict[str, None]] = {}
        self.announced: dict[str, Announced] = {}
        self._random = random_source
        self._failure_domain = failure_domain

    def record_announcement(
        self, adapter: str, version: int, now_ms: int
    ) -> bool:
        """Learns of a new version; returns whether it is news.

        New weights of a base model come with new starts of its engines:
        loaded in place they would empty an engine of every adapter. Requests
        are not kept from the engines that run for a version that none has.
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
        if before is None or before.start.is_other(view.start):
            self.warm[address] = {}
        self.views[address] = view
        warm = self.warm[address]
        for adapter in (*view.recent, *view.residents):
            # The one held last goes last, so that the oldest is dropped.
            warm.pop(adapter, None)
            warm[adapter] = None
        while len(warm) > adapter_keeper.WARM_PER_SLOT * view.adapter_limit:
            del warm[next(iter(warm))]

    def forget(self, now_ms: int, keep_ms: int) -> None:
        """Drops words that are too old to mean anything."""
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
        """Returns the word on this very start of a target."""
        listing = member.listing
        view = self.views.get(listing.address)
        if view is None or view.instance != listing.instance:
            return None
        if incarnation.are_other_births(view.born_ms, listing.born_ms):
            return None
        return view

    def note_demand_sent(self, member: roster_lib.Member, now_ms: int) -> None:
        """Notes that a target process was told of uses or load requests."""
        view = self.view_of(member)
        if view is not None and not view.notified_at_ms:
            view.notified_at_ms = now_ms

    def newer_versions(self, member: roster_lib.Member) -> dict[str, int]:
        """Returns newer versions of what a target holds in an older one.

        They are all that its process needs to be told of versions: told all
        that were announced, words would grow with each change of the day.
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
        """Whether the process beside this start was heard lately."""
        view = self.view_of(member)
        return view is not None and not view.is_stale(now_ms)

    def _is_stale(self, member: roster_lib.Member, now_ms: int) -> bool:
        view = self.views.get(member.listing.address)
        return view is not None and view.is_stale(now_ms)

    def residents(
        self, member: roster_lib.Member, now_ms: int
    ) -> Mapping[str, int]:
        """Returns what a target is believed to hold."""
        view = self.view_of(member)
        if view is None or view.is_stale(now_ms):
            return member.listing.residents
        return view.residents

    def _queueing_ms(self, member: roster_lib.Member, now_ms: int) -> float:
        """Estimates the wait that other requests at a target cause."""
        health = member.health
        view = self.view_of(member)
        running, queued = health.in_flight, 0
        if view is not None and not view.is_stale(now_ms):
            # What was sent and ended since the word does not count: with
            # short requests it would pass for a load that is not there.
            sent_since = health.in_flight - view.own_in_flight
            running = max(running, view.running + sent_since)
            queued = view.queued
        slots = max(1, member.listing.slot_count)
        queueing_ms = REQUEST_COST_MS * running
        # How many wait is the engine's word, or what is certain from here;
        # the estimate of what runs is too rough to tell a full batch.
        queued += max(0, health.in_flight - slots)
        queueing_ms += QUEUED_COST_MS * queued
        slow_ms = health.silent_ms(now_ms) - ENGINE_FIRST_BYTE_MS
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
            slow_ms = health.silent_ms(now_ms) - PLAIN_FIRST_BYTE_MS
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
        """Chooses for a request that needs an adapter.

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
                # A frozen VM would keep the request past its deadline; a
                # load elsewhere takes a moment.
                return Choice(None, home)
            if home is not None and self._is_degraded(home, now_ms):
                # Where all are strained alike a copy is a fetch for nothing.
                home = None
            return Choice(best, home, held if min_version else 0)
        home = self._home(adapter, candidates, min_version, now_ms)
        if announced is not None:
            oldest = announced.oldest_served(now_ms)
            old = self._cheapest(adapter, candidates, oldest, now_ms)
            if old is not None:
                # Serving the old version for a moment longer spares callers
                # the wait for a replacement, which begins only when all
                # runs on the old one have ended.
                return Choice(old, home)
        if home is not None and self._is_full(home, adapter, wait_limits):
            return Choice(None, None, full_for_ms=self._full_for_ms(home))
        if home is None and self._any_overloaded(candidates, now_ms):
            # The first engine that is back after a restart of all would get
            # everything at once, and answer nothing in time.
            return Choice(None, None, full_for_ms=OVERLOADED_RETRY_MS)
        return Choice(None, home)

    def _any_overloaded(
        self, candidates: list[roster_lib.Member], now_ms: int
    ) -> bool:
        return any(self._is_overloaded(one, now_ms) for one in candidates)

    def load_wait_ms(self, address: str) -> float:
        """Predicts how long a load takes that is wished now."""
        view = self.views[address]
        wait = view.load_wait
        return wait.wait_ms + wait.gap_ms * view.own_load_requests

    def _in_time_ms(self, address: str) -> float:
        """Predicts the same, ahead of loads that come too late anyway."""
        view = self.views[address]
        wait = view.load_wait
        return wait.in_time_ms + wait.gap_ms * view.own_load_requests

    def _queue_ms(self, address: str) -> float:
        """Predicts how long a load would wait before it is begun."""
        return (
            self._in_time_ms(address) - self.views[address].load_wait.fetch_ms
        )

    def _fetch_ms(self, address: str) -> float:
        return self.views[address].load_wait.fetch_ms or FIRST_FETCH_MS

    def _is_full(
        self, home: roster_lib.Member, adapter: str, wait_limits: WaitLimits
    ) -> bool:
        """Whether a load at its home comes too late for a request.

        One that has waited past its objective goes on waiting while those
        that are late have their turn: it is worth more to its caller than a
        refusal. Where they have none it is told at once.
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
        """Whether a copy elsewhere is worth its load.

        A single failure is no reason: every adapter of that engine would be
        fetched again somewhere, and push out what others need.
        """
        if member.health.failure_share > DEGRADED_FAILURE_SHARE:
            return True
        return self._queueing_ms(member, now_ms) > REPLICATION_THRESHOLD_MS

    def record_load_request(
        self, member: roster_lib.Member, adapter: str
    ) -> None:
        """Notes a wish for a load, before the target's next word has it."""
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
        # An engine that is down, or has just restarted, holds no base model;
        # a load there would wait for seconds.
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
        # An engine loads what it held lately ten times as fast, and without a
        # fetch from the weight store; a queue there is the shorter wait.
        warm = [
            address
            for address in without_adapter
            if adapter in self.warm.get(address, ())
            and len(self.views[address].pending) < MAX_QUEUED_LOADS
            and not self._is_degraded(by_address[address], now_ms)
        ]
        if warm:
            return by_address[min(warm, key=self._pending_count)]
        # A target that still serves the old version comes last: replacing
        # it there makes its callers wait.
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
