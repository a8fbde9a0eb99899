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
SPREAD_ABOVE_MS = 320.0
# An engine this late takes no more: sixty run, or fewer and some wait. It
# reads prompts one after the other, so what is added starts later than its
# caller has use for, and delays all others.
OVERLOADED_MS = 360.0
# When to come back to engines that are overloaded or still starting.
OVERLOADED_RETRY_MS = 500
# Share of failures above which an engine's adapters are loaded elsewhere: two
# of the last three sends, or half of the last ten.
STRAINED_SHARE = 0.4
# A failed send costs the caller a new attempt, about one objective.
FAILURE_COST_MS = 800.0
FAR_COST_MS = 3.0
# A target process tells its state several times in this time. One that was
# not heard for longer is gone or its whole VM is paused; it gets no load
# requests, and its engine no requests that another could take. Where it is
# told seldom it counts as silent once two words that it promised are missing.
SILENT_MS = 700
SILENT_WORDS = 2
SILENT_MARGIN_MS = 40
# An engine, or a plain target, that has left a request without a first byte
# for this long is not like the others: nine in ten answer sooner. What it is
# silent above this counts against it.
ENGINE_PATIENCE_MS = 800
PLAIN_PATIENCE_MS = 250
SILENCE_WEIGHT = 2.0
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
LOAD_PATIENCE_PART = 0.75
# A load that comes late, but within this part of the time for which the
# request may wait at all, is waited for: to come back would cost its caller
# more, and where loads are due in order it delays nobody who is in time.
HELD_PART = 1 / 3
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
    heard_at_ms: int
    running: int
    queued: int
    residents: dict[str, int]
    pending: frozenset[str]
    own_in_flight: int = 0
    load_wait: adapter_keeper.LoadWait = adapter_keeper.LoadWait(0, 0.0)
    own_wishes: int = 0
    adapter_limit: int = 16
    born_ms: int = 0
    next_ms: int = 0
    asked_at_ms: int = 0
    recent: tuple[str, ...] = ()

    @property
    def incarnation_id(self) -> incarnation.IncarnationId:
        """The start of the engine that it spoke of."""
        return incarnation.IncarnationId(self.instance, self.born_ms)

    def is_silent(self, now_ms: int) -> bool:
        """Whether its next word is overdue.

        A gateway that begins to use an engine would otherwise send to one
        that stands still for as long as the idle are told seldom.
        """
        if self.asked_at_ms and now_ms - self.asked_at_ms > SILENT_MS:
            return True
        promised_ms = SILENT_WORDS * self.next_ms + SILENT_MARGIN_MS
        return now_ms - self.heard_at_ms > max(SILENT_MS, promised_ms)


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
class Patience:
    """How long a request may wait for a load.

    Attributes:
        in_time_ms: From its arrival on, to be answered within its objective.
        at_all_ms: From now on, to be answered within its time limit, with
            enough left for a second try.
        is_late: Whether it has waited past its objective.
    """

    in_time_ms: float
    at_all_ms: float
    is_late: bool = False


# Of a request of which nothing else is known.
DEFAULT_PATIENCE = Patience(800.0, 800.0)


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

    def __init__(self, random_source: random.Random, near: str) -> None:
        """Starts knowing nothing.

        Args:
            random_source: Breaks ties, so that gateways do not herd.
            near: This process' failure domain.
        """
        self.views: dict[str, View] = {}
        self.warm: dict[str, dict[str, None]] = {}
        self.announced: dict[str, Announced] = {}
        self._random = random_source
        self._near = near

    def announce(self, adapter: str, version: int, now_ms: int) -> bool:
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

    def hear(self, address: str, view: View) -> None:
        """Applies a sidecar's status update, keyed by the target's address."""
        before = self.views.get(address)
        if before is None or before.incarnation_id.is_other(
            view.incarnation_id
        ):
            self.warm[address] = {}
        self.views[address] = view
        warm = self.warm[address]
        for adapter in (*view.recent, *view.residents):
            # The one held last goes last, so that the oldest is dropped.
            warm.pop(adapter, None)
            warm[adapter] = None
        while len(warm) > adapter_keeper.WARM_PER_PLACE * view.adapter_limit:
            del warm[next(iter(warm))]

    def forget(self, now_ms: int, keep_ms: int) -> None:
        """Drops words that are too old to mean anything."""
        self.views = {
            address: view
            for address, view in self.views.items()
            if now_ms - view.heard_at_ms < keep_ms
        }

    def disbelieve(self, member: roster_lib.Member, adapter: str) -> None:
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
        if incarnation.start_times_differ(view.born_ms, listing.born_ms):
            return None
        return view

    def asked(self, member: roster_lib.Member, now_ms: int) -> None:
        """Notes that a target process was told of uses or load requests."""
        view = self.view_of(member)
        if view is not None and not view.asked_at_ms:
            view.asked_at_ms = now_ms

    def outdated(self, member: roster_lib.Member) -> dict[str, int]:
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

    def is_heard(self, member: roster_lib.Member, now_ms: int) -> bool:
        """Whether the process beside this start was heard lately."""
        view = self.view_of(member)
        return view is not None and not view.is_silent(now_ms)

    def _is_silent(self, member: roster_lib.Member, now_ms: int) -> bool:
        view = self.views.get(member.listing.address)
        return view is not None and view.is_silent(now_ms)

    def residents(
        self, member: roster_lib.Member, now_ms: int
    ) -> Mapping[str, int]:
        """Returns what a target is believed to hold."""
        view = self.view_of(member)
        if view is None or view.is_silent(now_ms):
            return member.listing.residents
        return view.residents

    def _load_ms(self, member: roster_lib.Member, now_ms: int) -> float:
        """Estimates the wait that other requests at a target cause."""
        health = member.health
        view = self.view_of(member)
        running, queued = health.in_flight, 0
        if view is not None and not view.is_silent(now_ms):
            # What was sent and ended since the word does not count: with
            # short requests it would pass for a load that is not there.
            since = health.in_flight - view.own_in_flight
            running = max(running, view.running + since)
            queued = view.queued
        slots = max(1, member.listing.slot_count)
        load_ms = REQUEST_COST_MS * running
        # How many wait is the engine's word, or what is certain from here;
        # the estimate of what runs is too rough to tell a full batch.
        queued += max(0, health.in_flight - slots)
        load_ms += QUEUED_COST_MS * queued
        first_byte_wait_ms = (
            health.first_byte_wait_ms(now_ms) - ENGINE_PATIENCE_MS
        )
        return load_ms + SILENCE_WEIGHT * max(0, first_byte_wait_ms)

    def cost_ms(self, member: roster_lib.Member, now_ms: int) -> float:
        """Estimates how much later than at an idle target a request starts."""
        cost_ms = self._load_ms(member, now_ms)
        cost_ms += FAILURE_COST_MS * member.health.failure_share
        if member.listing.failure_domain != self._near:
            cost_ms += FAR_COST_MS
        return cost_ms

    def plain(
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
            first_byte_wait_ms = (
                health.first_byte_wait_ms(now_ms) - PLAIN_PATIENCE_MS
            )
            cost_ms += SILENCE_WEIGHT * max(0, first_byte_wait_ms)
            cost_ms *= self._random.uniform(0.9, 1.1)
            if best is None or cost_ms < best_ms:
                best, best_ms = member, cost_ms
        return best

    def choose(
        self,
        adapter: str,
        candidates: list[roster_lib.Member],
        now_ms: int,
        patience: Patience = DEFAULT_PATIENCE,
    ) -> Choice:
        """Chooses for a request that needs an adapter.

        Args:
            adapter: The adapter.
            candidates: Targets that may get the request.
            now_ms: Now.
            patience: How long the request may wait.

        Returns:
            Where to send it, and where to have the adapter loaded.
        """
        if not candidates:
            return Choice(None, None)
        announced = self.announced.get(adapter)
        floor = announced.version if announced is not None else 0
        best = self._cheapest(adapter, candidates, floor, now_ms)
        if best is not None and self._is_overloaded(best, now_ms):
            home = self._home(adapter, candidates, floor, now_ms)
            if home is None or self._is_full(home, adapter, patience):
                return Choice(None, None, full_for_ms=OVERLOADED_RETRY_MS)
            return Choice(None, home)
        if best is not None:
            held = self.residents(best, now_ms).get(adapter, 0)
            silent = self._is_silent(best, now_ms)
            if not silent and not self._is_strained(best, now_ms):
                return Choice(best, None, held if floor else 0)
            home = self._home(adapter, candidates, floor, now_ms)
            if silent and home is not None:
                # A frozen VM would keep the request past its deadline; a
                # load elsewhere takes a moment.
                return Choice(None, home)
            if home is not None and self._is_strained(home, now_ms):
                # Where all are strained alike a copy is a fetch for nothing.
                home = None
            return Choice(best, home, held if floor else 0)
        home = self._home(adapter, candidates, floor, now_ms)
        if announced is not None:
            oldest = announced.oldest_served(now_ms)
            old = self._cheapest(adapter, candidates, oldest, now_ms)
            if old is not None:
                # Serving the old version for a moment longer spares callers
                # the wait for a replacement, which begins only when all
                # runs on the old one have ended.
                return Choice(old, home)
        if home is not None and self._is_full(home, adapter, patience):
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
        return wait.wait_ms + wait.gap_ms * view.own_wishes

    def _in_time_ms(self, address: str) -> float:
        """Predicts the same, ahead of loads that come too late anyway."""
        view = self.views[address]
        wait = view.load_wait
        return wait.in_time_ms + wait.gap_ms * view.own_wishes

    def _queue_ms(self, address: str) -> float:
        """Predicts how long a load would wait before it is begun."""
        return (
            self._in_time_ms(address) - self.views[address].load_wait.fetch_ms
        )

    def _fetch_ms(self, address: str) -> float:
        return self.views[address].load_wait.fetch_ms or FIRST_FETCH_MS

    def _is_full(
        self, home: roster_lib.Member, adapter: str, patience: Patience
    ) -> bool:
        """Whether a load at its home comes too late for a request.

        One that has waited past its objective goes on waiting while those
        that are late have their turn: it is worth more to its caller than a
        refusal. Where they have none it is told at once.
        """
        address = home.listing.address
        if patience.is_late:
            return self.load_wait_ms(address) > patience.at_all_ms
        if adapter in self.views[address].pending:
            return False
        in_time_ms = LOAD_PATIENCE_PART * patience.in_time_ms
        if self._in_time_ms(address) <= in_time_ms:
            return False
        at_all_ms = HELD_PART * patience.at_all_ms
        return self.load_wait_ms(address) > at_all_ms

    def _full_for_ms(self, home: roster_lib.Member) -> int:
        return round(self.load_wait_ms(home.listing.address))

    def _is_overloaded(self, member: roster_lib.Member, now_ms: int) -> bool:
        return self._load_ms(member, now_ms) > OVERLOADED_MS

    def _pending(self, address: str) -> int:
        return len(self.views[address].pending)

    def _is_strained(self, member: roster_lib.Member, now_ms: int) -> bool:
        """Whether a copy elsewhere is worth its load.

        A single failure is no reason: every adapter of that engine would be
        fetched again somewhere, and push out what others need.
        """
        if member.health.failure_share > STRAINED_SHARE:
            return True
        return self._load_ms(member, now_ms) > SPREAD_ABOVE_MS

    def wished(self, member: roster_lib.Member, adapter: str) -> None:
        """Notes a wish for a load, before the target's next word has it."""
        view = self.view_of(member)
        if view is not None and adapter not in view.pending:
            view.pending |= {adapter}
            view.own_wishes += 1

    def _cheapest(
        self,
        adapter: str,
        candidates: list[roster_lib.Member],
        floor: int,
        now_ms: int,
    ) -> roster_lib.Member | None:
        holders = [
            member
            for member in candidates
            if self.residents(member, now_ms).get(adapter, -1) >= floor
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
        floor: int,
        now_ms: int,
    ) -> roster_lib.Member | None:
        by_name = {}
        for member in candidates:
            if not self.is_heard(member, now_ms):
                continue
            view = self.views[member.listing.address]
            if adapter in view.pending:
                return member
            held = view.residents.get(adapter, -1)
            if held >= floor:
                continue
            by_name[member.listing.address] = member
        if not by_name:
            return None
        base = adapter_keeper.base_of(adapter)
        running = {
            address: member
            for address, member in by_name.items()
            if base in self.views[address].residents
        }
        # An engine that is down, or has just restarted, holds no base model;
        # a load there would wait for seconds.
        by_name = running or by_name
        ordered = rendezvous.order(adapter, by_name)
        stale = [
            address
            for address in ordered
            if adapter in self.views[address].residents
        ]
        fresh = [address for address in ordered if address not in stale]
        # An engine loads what it held lately ten times as fast, and without a
        # fetch from the weight store; a queue there is the shorter wait.
        warm = [
            address
            for address in fresh
            if adapter in self.warm.get(address, ())
            and len(self.views[address].pending) < MAX_QUEUED_LOADS
            and not self._is_strained(by_name[address], now_ms)
        ]
        if warm:
            return by_name[min(warm, key=self._pending)]
        # A target that still serves the old version comes last: replacing
        # it there makes its callers wait.
        for address in fresh + stale:
            member = by_name[address]
            if self._queue_ms(address) > HOME_WAIT_FETCHES * self._fetch_ms(
                address
            ):
                continue
            if not self._is_strained(member, now_ms):
                return member
        able = [
            address
            for address, member in by_name.items()
            if not self._is_overloaded(member, now_ms)
        ]
        if not able:
            return None
        return by_name[min(able, key=self._pending)]
