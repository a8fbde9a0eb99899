"""Which targets exist, which are leaving, and which are in doubt.

Two sources are joined. The platform's list says what was registered; it lags,
and entries lapse while the store that keeps it is down. Own evidence (refused
connections, answers that failed) is fresh but local.
"""

from collections.abc import Mapping
import dataclasses

from radishstack.process import incarnation
from radishstack.process import store_position

# Failure estimate: weight of the newest outcome. With 0.25, three failures in
# a row pass ``SICK_ABOVE`` and five good answers bring it back under.
FAILURE_WEIGHT = 0.25
UNHEALTHY_FAILURE_SHARE = 0.5
# A target that could not be reached is left alone this long, doubling up to
# the maximum: a restarted engine is back within seconds.
EJECTION_BASE_MS = 300
EJECTION_MAX_MS = 2_400
MAX_EJECTIONS = 8
# Intervals without a renewal that an entry of the list outlives at least from
# the beginning of an outage: it is kept for three, and was renewed up to one
# before. The half is for renewals that come late.
MIN_TTL_HEARTBEATS = 1.5
# Latency estimate: weight of the newest answer.
LATENCY_WEIGHT = 0.2
# What is left of the longest pause of a target's streams with each event that
# comes sooner: a pause counts for some fifty events, a second or two.
STALL_DECAY = 0.98
# Births of former starts that are remembered for one name: old news is some
# seconds old, in which a target restarts a few times at most.
MAX_FORMER_INCARNATIONS = 8
# Starts that said that they leave, of which that is remembered: their entries
# lapse and come back, with a state that was written before.
MAX_REMEMBERED_TARGETS = 1_024
# How long a removed target is remembered: a list restored from an older copy
# may still hold its entry.
REMOVED_RETENTION_MS = 30_000
# The longest rest that a target is given. Garbage in its place would take the
# target from this process until it starts again.
MAX_BACKOFF_MS = 600_000


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """One target as the platform lists it.

    Attributes:
        instance: Name of the target.
        service: Its service.
        address: ``ip:port``.
        failure_domain: Where it runs.
        leaving: Whether it said that it leaves.
        slot_count: Requests it runs at once.
        listed_at: Revision of the list at which it was entered.
        changed_at: Revision of the list at which it last changed.
        born_ms: Birth of this start of it, 0 where it told none.
        residents: Versions of what it held, by adapter.
        era: Store era of the revisions.
    """

    instance: str
    service: str
    address: str
    failure_domain: str
    leaving: bool
    slot_count: int
    listed_at: int = 0
    changed_at: int = 0
    residents: Mapping[str, int] = dataclasses.field(default_factory=dict)
    born_ms: int = 0
    era: int = 0

    @property
    def listed_position(self) -> store_position.StorePosition:
        """Position of the list at which it was entered."""
        return store_position.StorePosition(self.era, self.listed_at)

    @property
    def changed_position(self) -> store_position.StorePosition:
        """Position of the list at which it last changed."""
        return store_position.StorePosition(self.era, self.changed_at)

    def may_predate(self, known: "Listing") -> bool:
        """Whether it may be a restored entry older than a known one.

        A restored list reuses revisions, so an entry of a later era is
        certainly newer only if its revision is greater as well.
        """
        return self.era > known.era and self.changed_at <= known.changed_at

    @property
    def incarnation_id(self) -> incarnation.IncarnationId:
        """The start of the target that this tells of."""
        return incarnation.IncarnationId(self.instance, self.born_ms)


@dataclasses.dataclass(slots=True)
class Health:
    """What this process saw of a target itself.

    Attributes:
        failure_share: Decayed share of failures among its outcomes.
        latency_ms: Decayed time to the first byte, 0 while unknown.
        ejected_until_ms: Until when it gets no work.
        ejections: Ejections in a row.
        in_flight: Requests of this process that it has.
        unanswered: When each of those that have no answer yet was sent.
        pause_ms: Longest pause of its streams lately.
        progressed_at_ms: When bytes of any answer came from it.
        backoff_until_ms: Until when it wants no work from this process.
    """

    failure_share: float = 0.0
    latency_ms: float = 0.0
    ejected_until_ms: int = 0
    ejections: int = 0
    in_flight: int = 0
    unanswered: dict[object, int] = dataclasses.field(default_factory=dict)
    pause_ms: float = 0.0
    progressed_at_ms: int = 0
    backoff_until_ms: int = 0

    def record_progress(self, pause_ms: int, now_ms: int) -> None:
        """Notes an event of a stream, so long after the one before."""
        self.pause_ms = max(pause_ms, STALL_DECAY * self.pause_ms)
        self.progressed_at_ms = now_ms

    def first_byte_wait_ms(self, now_ms: int) -> int:
        """Returns how long the oldest request waits for a first byte."""
        if not self.unanswered:
            return 0
        # Entries are in the order in which they were sent.
        return now_ms - next(iter(self.unanswered.values()))


@dataclasses.dataclass(slots=True)
class _RemovedTarget:
    """A target that was removed from the list.

    Attributes:
        listing: Its last known entry.
        expires_at_ms: When the removal is forgotten.
        withheld: Restored entry that may predate the removal.
    """

    listing: Listing
    expires_at_ms: int
    withheld: Listing | None = None


@dataclasses.dataclass(slots=True)
class Member:
    """A target with what is believed of it.

    Attributes:
        listing: What the platform lists.
        health: What was seen here.
        lapses_at_ms: When it is given up since the list lost it, 0 if not.
        gone: Whether it was seen to have ended.
        began_at: Position of the list at which this start was first seen; of
            two targets at one address, the later one runs.
        former: Births of starts of it that are proven to be over.
        listed: Whether the list told this start.
        withheld: Restored entry of another start that may predate this one.
    """

    listing: Listing
    health: Health
    expires_at_ms: int = 0
    gone: bool = False
    began_at: store_position.StorePosition = store_position.StorePosition()
    former: tuple[int, ...] = ()
    listed: bool = True
    withheld: Listing | None = None


class Roster:
    """All targets that this process knows."""

    def __init__(self, lapse_grace_ms: int, heartbeat_ms: int = 0) -> None:
        """Starts empty.

        Args:
            lapse_grace_ms: How long after an outage of the list an entry
                that is missing from it is still believed.
            heartbeat_ms: How often targets renew their entries, 0 if that
                is not known.
        """
        self.members: dict[str, Member] = {}
        self._by_service: dict[str, list[Member]] = {}
        self._lapse_grace_ms = lapse_grace_ms
        self._min_ttl_ms = MIN_TTL_HEARTBEATS * heartbeat_ms
        self._grace_end_ms = 0
        self._outage_position = store_position.StorePosition()
        self._removed: dict[str, _RemovedTarget] = {}
        self._draining: dict[str, incarnation.IncarnationId] = {}

    def _index(self) -> None:
        by_service: dict[str, list[Member]] = {}
        for member in self.members.values():
            own = by_service.setdefault(member.listing.service, [])
            own.append(member)
        self._by_service = by_service

    def outage_ended(self, now_ms: int, *, away_ms: int) -> bool:
        """Notes that the list can be read again.

        Entries lapse while the platform cannot renew them; taking their
        absence for death right after an outage would empty the roster.

        Args:
            now_ms: When it answered again.
            away_ms: How long it may have been away.

        Returns:
            Whether entries may have lapsed in it.
        """
        if away_ms < self._min_ttl_ms:
            return False
        self.begin_grace(now_ms)
        return True

    def begin_grace(self, now_ms: int) -> None:
        """Starts the grace in which known targets outlive missing entries.

        Args:
            now_ms: When the list could be read again.
        """
        self._grace_end_ms = now_ms + self._lapse_grace_ms
        # All that is known now was written before, whoever told it.
        self._outage_position = max(
            (
                member.listing.changed_position
                for member in self.members.values()
            ),
            default=store_position.StorePosition(),
        )

    def in_grace_period(self, now_ms: int) -> bool:
        """Whether an entry may be missing only because it has lapsed."""
        return now_ms < self._grace_end_ms

    def _may_have_expired(self, listing: Listing, now_ms: int) -> bool:
        # An entry that was written since the outage is renewed like any
        # other: missing again, its target has left, and work sent to it
        # would reach a process that is about to end.
        written_since = listing.changed_position > self._outage_position
        return (
            self.in_grace_period(now_ms)
            and not listing.leaving
            and not written_since
        )

    def upsert(self, listing: Listing) -> Member | None:
        """Applies one entry of the list, unless a newer state is known.

        Returns:
            The member, if a start begins with it that was not known.
        """
        member = self.members.get(listing.instance)
        if member is None:
            if self._withhold_if_removed(listing):
                return None
            return self._replace_member(listing, listing.listed_position)
        known = member.listing
        older = listing.changed_position < known.changed_position
        if older or listing.born_ms in member.former:
            return None
        is_other = listing.incarnation_id.is_other(known.incarnation_id)
        if is_other and listing.may_predate(known):
            member.withheld = listing
            return None
        member.withheld = None
        if is_other:
            # A start that only the process beside it told may be the later
            # one: counted as over, it would stay so when the list tells it.
            ended = (known.born_ms,) if member.listed else ()
            return self._replace_member(
                listing, listing.changed_position, ended
            )
        born_ms = listing.born_ms or known.born_ms
        leaving = listing.leaving or (
            known.leaving and listing.may_predate(known)
        )
        member.listing = dataclasses.replace(
            listing, born_ms=born_ms, leaving=leaving
        )
        member.expires_at_ms = 0
        member.listed = True
        if (listing.service, listing.address) != (known.service, known.address):
            self._index()
            self._mark_address_conflicts(member)
        return None

    def _withhold_if_removed(self, listing: Listing) -> bool:
        """Withholds an entry that may predate the removal of its target.

        Returns:
            Whether the entry is withheld.
        """
        removed = self._removed.get(listing.instance)
        if removed is None:
            return False
        known = removed.listing
        if listing.incarnation_id.is_other(
            known.incarnation_id
        ) or not listing.may_predate(known):
            del self._removed[listing.instance]
            return False
        removed.withheld = listing
        return True

    def apply_withheld(self, now_ms: int) -> list[Member]:
        """Applies withheld entries that no later entry has contradicted.

        Args:
            now_ms: Now.

        Returns:
            Members of the starts that were not known.
        """
        new_members = []
        for member in list(self.members.values()):
            listing = member.withheld
            if listing is not None and not self.in_grace_period(now_ms):
                # The known start is not proven to be over, so it does not
                # become a former one.
                new_members.append(
                    self._replace_member(listing, listing.changed_position)
                )
        expired = [
            name
            for name, removed in self._removed.items()
            if now_ms >= removed.expires_at_ms
        ]
        withheld = [self._removed.pop(name).withheld for name in expired]
        new_members += [
            self._replace_member(listing, listing.listed_position)
            for listing in withheld
            if listing is not None
        ]
        return new_members

    def _replace_member(
        self,
        listing: Listing,
        began_at: store_position.StorePosition,
        ended: tuple[int, ...] = (),
    ) -> Member:
        """Replaces what is known of a name, with all that was seen of it."""
        before = self.members.get(listing.instance)
        known = before.former if before is not None else ()
        former = (*known, *ended)[-MAX_FORMER_INCARNATIONS:]
        member = Member(listing, Health(), began_at=began_at, former=former)
        self.members[listing.instance] = member
        self._index()
        self._mark_address_conflicts(member)
        return member

    def _mark_address_conflicts(self, member: Member) -> None:
        # A target that restarted is listed beside its former start until
        # that entry expires; sent there, requests would only be refused.
        address = member.listing.address
        for other in self.members.values():
            if other is member or other.listing.address != address:
                continue
            older = min(other, member, key=lambda one: one.began_at)
            older.gone = True

    def restarted(
        self, incarnation_id: incarnation.IncarnationId, former_born_ms: int
    ) -> Member | None:
        """Records that one incarnation of a target followed another.

        The process beside an engine sees that before the list tells it. Only
        the start that follows the known one counts: a word that waited for
        seconds tells of one that may itself be over.

        Args:
            incarnation_id: The incarnation that runs.
            former_born_ms: Birth of the one before it, 0 if none was seen.

        Returns:
            The member of the new start, None if nothing follows from it.
        """
        member = self.members.get(incarnation_id.name)
        if member is None or not former_born_ms:
            return None
        if former_born_ms != member.listing.born_ms:
            return None
        if incarnation_id.born_ms in (0, former_born_ms, *member.former):
            return None
        listing = dataclasses.replace(
            member.listing, born_ms=incarnation_id.born_ms, residents={}
        )
        renewed = self._replace_member(
            listing, member.began_at, (former_born_ms,)
        )
        renewed.listed = False
        return renewed

    def is_current(self, member: Member) -> bool:
        """Whether a member stands for the start that is known to run."""
        return self.members.get(member.listing.instance) is member

    def drop(self, instance: str) -> bool:
        """Forgets a target at once; returns whether it was known."""
        if self.members.pop(instance, None) is None:
            return False
        self._index()
        return True

    def remove(self, instance: str, now_ms: int) -> bool:
        """Records that the list lost an entry.

        Returns:
            Whether it is dropped at once.
        """
        member = self.members.get(instance)
        if member is None:
            if instance in self._removed:
                self._removed[instance].withheld = None
            return False
        if self._may_have_expired(member.listing, now_ms):
            member.expires_at_ms = self._grace_end_ms
            return False
        self._removed.pop(instance, None)
        while len(self._removed) >= MAX_REMEMBERED_TARGETS:
            del self._removed[next(iter(self._removed))]
        expires_at_ms = now_ms + REMOVED_RETENTION_MS
        self._removed[instance] = _RemovedTarget(member.listing, expires_at_ms)
        return self.drop(instance)

    def drop_expired(self, now_ms: int) -> list[str]:
        """Drops entries whose grace has passed."""
        expired = [
            name
            for name, member in self.members.items()
            if member.expires_at_ms and now_ms >= member.expires_at_ms
        ]
        for name in expired:
            del self.members[name]
        if expired:
            self._index()
        return expired

    def of_service(self, service: str) -> list[Member]:
        """Returns the members of a service, leaving ones included."""
        return self._by_service.get(service, [])

    def median_latency_ms(self, service: str) -> float:
        """Returns the time to a first byte at the middle target."""
        known = sorted(
            member.health.latency_ms
            for member in self.of_service(service)
            if member.health.latency_ms
        )
        return known[len(known) // 2] if known else 0.0

    def usable(self, service: str, now_ms: int) -> list[Member]:
        """Returns the targets that may get new work.

        Ejection never empties a service: with every target in doubt, the
        doubt is more likely about this process or its links.
        """
        active = [
            member
            for member in self._active_members(service, now_ms)
            if member.health.backoff_until_ms <= now_ms
        ]
        healthy = [
            member
            for member in active
            if member.health.ejected_until_ms <= now_ms
        ]
        return healthy or active

    def _active_members(self, service: str, now_ms: int) -> list[Member]:
        return [
            member
            for member in self.of_service(service)
            if self._is_active(member, now_ms)
        ]

    def _is_active(self, member: Member, now_ms: int) -> bool:
        return (
            not member.listing.leaving
            and not self.is_draining(member.listing.incarnation_id)
            and not member.gone
            and not 0 < member.expires_at_ms <= now_ms
        )

    def is_active(self, member: Member, now_ms: int) -> bool:
        """Whether a member runs and is not known to leave."""
        return self.is_current(member) and self._is_active(member, now_ms)

    def backoff_ms(self, service: str, now_ms: int) -> int:
        """Returns for how long all targets of a service want no work."""
        ends_ms = [
            member.health.backoff_until_ms
            for member in self._active_members(service, now_ms)
        ]
        return max(0, min(ends_ms, default=0) - now_ms)

    def back_off(self, member: Member, backoff_ms: int, now_ms: int) -> None:
        """Records that a target asked this gateway to back off.

        It is kept even where no other target is left: work sent all the same
        is turned away, and delays the target's return.
        """
        until_ms = now_ms + min(backoff_ms, MAX_BACKOFF_MS)
        health = member.health
        health.backoff_until_ms = max(health.backoff_until_ms, until_ms)

    def mark_draining(self, incarnation_id: incarnation.IncarnationId) -> bool:
        """Records that an incarnation leaves; returns whether it is new.

        Kept apart from what the list says, which is written by others and
        later: in an outage it would bring the target back.
        """
        if self.is_draining(incarnation_id):
            return False
        self._draining.pop(incarnation_id.name, None)
        while len(self._draining) >= MAX_REMEMBERED_TARGETS:
            del self._draining[next(iter(self._draining))]
        self._draining[incarnation_id.name] = incarnation_id
        return True

    def is_draining(self, incarnation_id: incarnation.IncarnationId) -> bool:
        """Whether this very start said that it leaves."""
        draining_incarnation = self._draining.get(incarnation_id.name)
        return (
            draining_incarnation is not None
            and not draining_incarnation.is_other(incarnation_id)
        )

    def unreachable(self, instance: str, now_ms: int) -> None:
        """Notes that a target could not be reached, and leaves it alone."""
        member = self.members.get(instance)
        if member is None:
            return
        self._eject(member.health, now_ms)
        self.failed(instance, now_ms)

    def _eject(self, health: Health, now_ms: int) -> None:
        if health.ejected_until_ms > now_ms:
            return
        ejection_ms = min(
            EJECTION_BASE_MS * 2**health.ejections, EJECTION_MAX_MS
        )
        health.ejections = min(health.ejections + 1, MAX_EJECTIONS)
        health.ejected_until_ms = now_ms + ejection_ms

    def failed(self, instance: str, now_ms: int) -> None:
        """Notes a failure of a target."""
        member = self.members.get(instance)
        if member is None:
            return
        health = member.health
        health.failure_share += FAILURE_WEIGHT * (1 - health.failure_share)
        if health.failure_share > UNHEALTHY_FAILURE_SHARE:
            self._eject(health, now_ms)

    def answered(self, instance: str, took_ms: float) -> None:
        """Notes a good answer and the time to its first byte."""
        member = self.members.get(instance)
        if member is None:
            return
        health = member.health
        health.failure_share -= FAILURE_WEIGHT * health.failure_share
        health.ejections = 0
        known_ms = health.latency_ms or took_ms
        health.latency_ms = known_ms + LATENCY_WEIGHT * (took_ms - known_ms)

    def ended(self, instance: str) -> None:
        """Notes proof that this start of a target is over."""
        member = self.members.get(instance)
        if member is not None:
            member.gone = True

    def clear_ejections(self) -> None:
        """Drops what was seen before this process stood still."""
        for member in self.members.values():
            member.health.ejected_until_ms = 0
            member.health.ejections = 0
