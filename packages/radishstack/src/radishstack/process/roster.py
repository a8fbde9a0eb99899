"""Tracks the targets, and which of them are draining or unhealthy.

Two sources are combined. The platform's list contains the registered targets.
It lags behind, and its entries expire during a store outage. This process's own
observations, such as refused connections and failed responses, are up to date
but local.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from radishstack.process import incarnation
from radishstack.process import store_position

# Weight of the newest outcome in the failure share. With 0.25, three
# consecutive failures raise it from 0 above UNHEALTHY_FAILURE_SHARE, and at
# most three good responses lower it below again.
FAILURE_WEIGHT = 0.25
UNHEALTHY_FAILURE_SHARE = 0.5
# Duration of an ejection, which doubles with each one up to the maximum. It is
# short because a restarted engine is back within seconds.
EJECTION_BASE_MS = 300
EJECTION_MAX_MS = 2_400
MAX_EJECTIONS = 8
# Minimum time from the start of an outage until an entry of the list expires,
# in heartbeat intervals. Entries expire after three intervals without a
# renewal, and the last renewal was up to one interval before. The remaining
# half interval allows for late renewals.
MIN_TTL_HEARTBEATS = 1.5
# Weight of the newest response in the latency estimate.
LATENCY_WEIGHT = 0.2
# Factor by which the longest stall of a target's streams decays with each
# event after a shorter one. A stall counts for about fifty events, which is one
# to two seconds.
STALL_DECAY = 0.98
# Number of former incarnations that are remembered per name. Outdated messages
# are a few seconds old, and a target restarts at most a few times in that time.
MAX_FORMER_INCARNATIONS = 8
# Maximum number of remembered draining incarnations, and of remembered removed
# targets. The entry of a draining target can expire and return with a state
# from before it was draining.
MAX_REMEMBERED_TARGETS = 1_024
# How long a removed target is remembered. A list that is restored from an older
# copy may still contain its entry.
REMOVED_RETENTION_MS = 30_000
# Maximum backoff of a target. Without it, an invalid value would disable the
# target for this process until one of the two restarts.
MAX_BACKOFF_MS = 600_000


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """The entry of one target in the platform's list.

    Attributes:
        instance: Name of the target.
        service: Service of the target.
        address: ``ip:port``.
        failure_domain: Failure domain of the target.
        leaving: Whether the target reported that it is draining.
        slot_count: Number of request slots.
        listed_at: Store revision at which the entry was created.
        changed_at: Store revision at which the entry last changed.
        born_ms: Start time of this incarnation, 0 if unknown.
        residents: Versions of the resident adapters, by adapter.
        era: Store era of the revisions.
        software_version: Version of the software that this incarnation runs,
            empty if unknown. It is not a version of weights and has no order.
        has_short_notice: Whether the target is removed at a fixed time, even if
            requests still run there.
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
    software_version: str = ""
    has_short_notice: bool = False

    @property
    def listed_position(self) -> store_position.StorePosition:
        """Store position at which the entry was created."""
        return store_position.StorePosition(self.era, self.listed_at)

    @property
    def changed_position(self) -> store_position.StorePosition:
        """Store position at which the entry last changed."""
        return store_position.StorePosition(self.era, self.changed_at)

    def may_predate(self, known: "Listing") -> bool:
        """Whether this may be a restored entry that is older than a known one.

        A restored list reuses revisions, so an entry of a later era is
        certainly newer only if its revision is greater as well.
        """
        return self.era > known.era and self.changed_at <= known.changed_at

    def runs_software(self, software_version: str) -> bool:
        """Whether the target is known to run a version of its software."""
        return bool(software_version) and (
            self.software_version == software_version
        )

    @property
    def incarnation_id(self) -> incarnation.IncarnationId:
        """The incarnation of the target that the entry describes."""
        return incarnation.IncarnationId(self.instance, self.born_ms)


@dataclasses.dataclass(slots=True)
class Health:
    """This process's own observations of a target.

    Attributes:
        failure_share: Decayed share of failures among the outcomes.
        latency_ms: Decayed time to the first byte, 0 if unknown.
        ejected_until_ms: End of the current ejection.
        ejections: Number of consecutive ejections.
        in_flight: Requests of this process that are running on the target.
        unanswered: Send times of the requests without a first byte, in order.
        pause_ms: Decayed maximum of the stalls of its streams.
        progressed_at_ms: When the last bytes of any response arrived.
        backoff_until_ms: End of the backoff that the target requested.
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
        """Records an event of a stream.

        Args:
            pause_ms: Time since the previous event of the stream.
            now_ms: Now.
        """
        self.pause_ms = max(pause_ms, STALL_DECAY * self.pause_ms)
        self.progressed_at_ms = now_ms

    def first_byte_wait_ms(self, now_ms: int) -> int:
        """Returns how long the oldest request has waited for a first byte."""
        if not self.unanswered:
            return 0
        # Entries are in the order in which they were sent.
        return now_ms - next(iter(self.unanswered.values()))


@dataclasses.dataclass(slots=True)
class _RemovedTarget:
    """A target that was removed from the list.

    Attributes:
        listing: Last known entry of the target.
        expires_at_ms: When this record expires.
        withheld: Restored entry that may predate the removal.
    """

    listing: Listing
    expires_at_ms: int
    withheld: Listing | None = None


@dataclasses.dataclass(slots=True)
class Member:
    """A target with its state.

    Attributes:
        listing: Entry of the target in the platform's list.
        health: Observations of this process.
        expires_at_ms: When the target is dropped because its entry is missing
            from the list, 0 if the entry is present.
        gone: Whether the incarnation is known to have ended.
        began_at: Store position at which this incarnation was first observed.
            Of two targets at one address, the later one is running.
        former: Start times of incarnations that have certainly ended.
        listed: Whether this incarnation is known from the list.
        withheld: Restored entry of another incarnation that may predate this
            one.
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
            lapse_grace_ms: How long after a store outage a target is kept
                although its entry is missing from the list.
            heartbeat_ms: Interval at which targets renew their entries, 0 if
                unknown.
        """
        self.members: dict[str, Member] = {}
        self._by_service: dict[str, list[Member]] = {}
        self._lapse_grace_ms = lapse_grace_ms
        self._min_ttl_ms = MIN_TTL_HEARTBEATS * heartbeat_ms
        self._grace_end_ms = 0
        self._is_grace_doubtful = False
        # In a doubtful grace period: the number of targets at its start, and
        # the names of those that are missing from the list, by service.
        self._listed_counts: dict[str, int] = {}
        self._missing: dict[str, set[str]] = {}
        self._outage_position = store_position.StorePosition()
        self._removed: dict[str, _RemovedTarget] = {}
        self._draining: dict[str, incarnation.IncarnationId] = {}

    def _index(self) -> None:
        by_service: dict[str, list[Member]] = {}
        for member in self.members.values():
            own = by_service.setdefault(member.listing.service, [])
            own.append(member)
        self._by_service = by_service

    def outage_ended(
        self, now_ms: int, *, away_ms: int, is_doubtful: bool = False
    ) -> bool:
        """Records that the list can be read again.

        Entries expire while the platform cannot renew them. If missing entries
        meant that their targets had ended, the roster would be empty after each
        outage.

        Args:
            now_ms: When the list could be read again.
            away_ms: Maximum length of the outage.
            is_doubtful: Whether there was more likely no outage.

        Returns:
            Whether entries may have expired during the outage.
        """
        if away_ms < self._min_ttl_ms:
            return False
        if is_doubtful and self.in_grace_period(now_ms):
            # The grace period of a certain outage is neither weakened nor
            # prolonged.
            return True
        self.begin_grace(now_ms, is_doubtful=is_doubtful)
        return True

    def begin_grace(self, now_ms: int, *, is_doubtful: bool = False) -> None:
        """Starts the grace period, in which missing entries drop no targets.

        In a doubtful one, they do unless most targets of a service are missing:
        single targets leave at any time, but most of them at once only if the
        store could not renew their entries.

        Args:
            now_ms: When the list could be read again.
            is_doubtful: Whether there was more likely no outage.
        """
        self._grace_end_ms = now_ms + self._lapse_grace_ms
        self._is_grace_doubtful = is_doubtful
        self._missing = {}
        self._listed_counts = {
            service: len(members)
            for service, members in self._by_service.items()
        }
        # All known entries were written before now, whatever their source.
        self._outage_position = max(
            (
                member.listing.changed_position
                for member in self.members.values()
            ),
            default=store_position.StorePosition(),
        )

    def in_grace_period(self, now_ms: int) -> bool:
        """Whether an entry may be missing only because it has expired."""
        return now_ms < self._grace_end_ms

    def _may_have_expired(self, listing: Listing, now_ms: int) -> bool:
        # An entry that was written after the outage is renewed normally. If it
        # is missing, its target has left, and requests would be sent to a
        # process that is about to end.
        written_since = listing.changed_position > self._outage_position
        return (
            self.in_grace_period(now_ms)
            and not listing.leaving
            and not written_since
            and not (
                self._is_grace_doubtful
                and not self._most_are_missing(listing.service)
            )
        )

    def _most_are_missing(self, service: str) -> bool:
        missing_count = len(self._missing.get(service, ()))
        return 2 * missing_count > self._listed_counts.get(service, 0)

    def record_missing(self, names: Iterable[str]) -> None:
        """Records which entries are missing, before each one is removed.

        Args:
            names: Names of targets whose entries are missing from one reading
                of the list.
        """
        for name in names:
            member = self.members.get(name)
            if member is not None:
                service = member.listing.service
                self._missing.setdefault(service, set()).add(name)

    def upsert(self, listing: Listing) -> Member | None:
        """Applies one entry of the list, unless a newer state is known.

        Returns:
            The member, if the entry belongs to a new incarnation.
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
            # An incarnation that only its sidecar has reported may be the later
            # one. If it were marked as ended, its own entry would be ignored.
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
            The members of new incarnations.
        """
        new_members = []
        for member in list(self.members.values()):
            listing = member.withheld
            if listing is not None and not self.in_grace_period(now_ms):
                # It is not certain that the known incarnation has ended, so it
                # does not become a former one.
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
        """Replaces the member of a name, with its health and other state."""
        before = self.members.get(listing.instance)
        known = before.former if before is not None else ()
        former = (*known, *ended)[-MAX_FORMER_INCARNATIONS:]
        member = Member(listing, Health(), began_at=began_at, former=former)
        self.members[listing.instance] = member
        self._index()
        self._mark_address_conflicts(member)
        return member

    def _mark_address_conflicts(self, member: Member) -> None:
        # A target that restarted under a new name is listed beside its former
        # entry until that expires. Requests to the former name would only be
        # rejected.
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

        The sidecar of an engine observes this before the list shows it. The
        report is applied only if the former incarnation is the known one,
        because the new incarnation in a report that was delayed by seconds may
        have ended as well.

        Args:
            incarnation_id: The new incarnation.
            former_born_ms: Start time of the former one, 0 if unknown.

        Returns:
            The member of the new incarnation, None if the report is ignored.
        """
        member = self.members.get(incarnation_id.name)
        if member is None or not former_born_ms:
            return None
        if former_born_ms != member.listing.born_ms:
            return None
        if incarnation_id.born_ms in (0, former_born_ms, *member.former):
            return None
        listing = dataclasses.replace(
            member.listing,
            born_ms=incarnation_id.born_ms,
            residents={},
            # A restart may install other software.
            software_version="",
        )
        renewed = self._replace_member(
            listing, member.began_at, (former_born_ms,)
        )
        renewed.listed = False
        return renewed

    def is_current(self, member: Member) -> bool:
        """Whether a member belongs to the current incarnation of its target."""
        return self.members.get(member.listing.instance) is member

    def drop(self, instance: str) -> bool:
        """Drops a target immediately; returns whether it was known."""
        if self.members.pop(instance, None) is None:
            return False
        self._index()
        return True

    def remove(self, instance: str, now_ms: int) -> bool:
        """Records that an entry is missing from the list.

        Returns:
            Whether the target is dropped immediately.
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
        """Drops targets whose grace period is over; returns their names."""
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
        """Returns the members of a service, including draining ones."""
        return self._by_service.get(service, [])

    def median_latency_ms(self, service: str) -> float:
        """Returns the median of the targets' times to the first byte."""
        known = sorted(
            member.health.latency_ms
            for member in self.of_service(service)
            if member.health.latency_ms
        )
        return known[len(known) // 2] if known else 0.0

    def usable(
        self, service: str, now_ms: int, software_version: str | None = None
    ) -> list[Member]:
        """Returns the targets that may get new requests.

        Ejections never empty the result. If all targets are ejected, the cause
        is more likely this process or its links.

        Args:
            service: The service.
            now_ms: Now.
            software_version: The only acceptable version of their software,
                None for any. Targets whose version is unknown match no version.
        """
        active = [
            member
            for member in self._active_members(service, now_ms)
            if member.health.backoff_until_ms <= now_ms
            and (
                software_version is None
                or member.listing.runs_software(software_version)
            )
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
        """Whether a member is current and not known to be draining or gone."""
        return self.is_current(member) and self._is_active(member, now_ms)

    def backoff_ms(self, service: str, now_ms: int) -> int:
        """Returns how long all targets of a service are still in backoff."""
        ends_ms = [
            member.health.backoff_until_ms
            for member in self._active_members(service, now_ms)
        ]
        return max(0, min(ends_ms, default=0) - now_ms)

    def back_off(self, member: Member, backoff_ms: int, now_ms: int) -> None:
        """Records that a target requested a backoff from this gateway.

        The backoff is observed even if no other target is left: the target
        would reject the requests, and they would delay its recovery.
        """
        until_ms = now_ms + min(backoff_ms, MAX_BACKOFF_MS)
        health = member.health
        health.backoff_until_ms = max(health.backoff_until_ms, until_ms)

    def mark_draining(self, incarnation_id: incarnation.IncarnationId) -> bool:
        """Records that an incarnation is draining.

        This is stored separately from the list, whose entries are written later
        and by others. During an outage, such an entry would make the target
        active again.

        Returns:
            Whether this was unknown so far.
        """
        if self.is_draining(incarnation_id):
            return False
        self._draining.pop(incarnation_id.name, None)
        while len(self._draining) >= MAX_REMEMBERED_TARGETS:
            del self._draining[next(iter(self._draining))]
        self._draining[incarnation_id.name] = incarnation_id
        return True

    def is_draining(self, incarnation_id: incarnation.IncarnationId) -> bool:
        """Whether this incarnation reported that it is draining."""
        draining_incarnation = self._draining.get(incarnation_id.name)
        return (
            draining_incarnation is not None
            and not draining_incarnation.is_other(incarnation_id)
        )

    def has_left(self, member: Member) -> bool:
        """Whether a target is draining, or was removed from the list.

        A target may leave without notice: its entry is removed, and it finishes
        what it runs.
        """
        incarnation_id = member.listing.incarnation_id
        removed = self._removed.get(incarnation_id.name)
        return (
            member.listing.leaving
            or self.is_draining(incarnation_id)
            or (
                removed is not None
                and not self.is_current(member)
                and not removed.listing.incarnation_id.is_other(incarnation_id)
            )
        )

    def unreachable(self, instance: str, now_ms: int) -> None:
        """Records that a target could not be reached, and ejects it."""
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
        """Records a failure of a target."""
        member = self.members.get(instance)
        if member is None:
            return
        health = member.health
        health.failure_share += FAILURE_WEIGHT * (1 - health.failure_share)
        if health.failure_share > UNHEALTHY_FAILURE_SHARE:
            self._eject(health, now_ms)

    def answered(self, instance: str, took_ms: float) -> None:
        """Records a good response and the time to its first byte."""
        member = self.members.get(instance)
        if member is None:
            return
        health = member.health
        health.failure_share -= FAILURE_WEIGHT * health.failure_share
        health.ejections = 0
        known_ms = health.latency_ms or took_ms
        health.latency_ms = known_ms + LATENCY_WEIGHT * (took_ms - known_ms)

    def ended(self, instance: str) -> None:
        """Records proof that the current incarnation of a target has ended."""
        member = self.members.get(instance)
        if member is not None:
            member.gone = True

    def clear_ejections(self) -> None:
        """Clears the ejections from before a pause of this process."""
        for member in self.members.values():
            member.health.ejected_until_ms = 0
            member.health.ejections = 0
