"""Discovery of configuration, targets and announced adapter versions.

A gateway follows these objects in the platform's store, and requests them from
another gateway during a store outage. The same rules apply to both sources: an
older version never replaces a newer one.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
from typing import Any

import anyio
from radishstack import result
from radishstack.process import availability
from radishstack.process import change_lag
from radishstack.process import placement as placement_lib
from radishstack.process import roster as roster_lib
from radishstack.process import store_position
from radishstack.version import route_table
from radishstack.version import table_changes

from radishd import peers as peers_lib
from radishd.platform import store as store_lib
from radishd.platform import wire
from radishd.process import clock
from radishd.process import decision_log
from radishd.process import follow
from radishd.process import logs
from radishd.process import metrics as metrics_lib
from radishd.process import peer_objects
from radishd.process import rejected_objects
from radishd.process import stored
from radishd.process import untrusted_json

MS_PER_S = 1_000
# The short watch of the targets detects a store that no longer answers. The
# other two kinds change rarely and have long watches, which are restarted when
# the short one fails.
TARGETS_WATCH_MS = 2_000
# Changes of targets are coalesced for this fraction of the time within which a
# draining target must get no more requests; the rest is for the watch and for
# messages in flight. Each answer of a watch is a billed call, and nearly every
# watch is answered at once, since engines change their entries about once a
# second.
TARGETS_COALESCE_FRACTION = 0.55
RARE_WATCH_MS = 15_000
RARE_KINDS = (wire.KIND_CONFIGURATION, wire.KIND_VERSIONS)
# The first change of the configuration is applied at once; further changes are
# coalesced for this fraction of the time within which a change must be in
# force. Changes of a burst are tens of milliseconds apart, and each would cost
# a call of every gateway.
CONFIGURATION_COALESCE_FRACTION = 0.2
VERSIONS_COALESCE_MS = 120
# Length of a store outage after which the watches of the other kinds are
# replaced: a watch that began in the outage may hang until its timeout, seconds
# later. After a shorter outage, the retry of a failed call is about as fast,
# and replacements that fail again would trigger one another.
RENEW_AFTER_MS = 500
# Maximum number of configuration versions whose changes are kept for operators,
# and maximum number of changes that are logged for one version.
MAX_CHANGES = 32
MAX_LOGGED_CHANGES = 12


class Discovery:
    """Stored objects as one gateway knows them.

    Attributes:
        followers: The follower of each kind of object.
        known: Objects by kind and name, for gateways that request them.
        peer_positions: By kind, the newest store position of a complete list
            received from another gateway.
        changes: Changes of the configuration, the newest last.
        on_read: Called with a kind and the position of its newest change that
            was read from the store.
    """

    def __init__(
        self,
        store: store_lib.Store,
        peers: peers_lib.Peers,
        roster: roster_lib.Roster,
        placement: placement_lib.Placement,
        holder: route_table.TableHolder,
        log: decision_log.DecisionLog,
        metrics: metrics_lib.Metrics,
        *,
        leaving_ms: int,
        configuration_ms: int,
        on_listed: Callable[[roster_lib.Member], None],
        on_change: Callable[[], None],
        on_limits: Callable[[route_table.Limits], None],
        on_store_back: Callable[[], None],
        on_store_restored: Callable[[], None],
    ) -> None:
        """Starts without objects.

        Args:
            store: The platform's store.
            peers: Other gateways.
            roster: Receives targets.
            placement: Receives announced versions.
            holder: Receives configurations.
            log: Where changes are logged.
            metrics: Where invalid objects are counted.
            leaving_ms: Time after which a draining target must get no more
                requests.
            configuration_ms: Time after which a new configuration must be in
                force.
            on_listed: Called with a new incarnation of a target.
            on_change: Called after any change.
            on_limits: Called with the limits of a new configuration.
            on_store_back: Called when the store answers after an outage.
            on_store_restored: Called when the store was restored from an older
                copy, without later writes.
        """
        self._store = store
        self._peers = peers
        self._roster = roster
        self._placement = placement
        self._holder = holder
        self._log = log
        self._metrics = metrics
        self._leaving_ms = leaving_ms
        self._configuration_ms = configuration_ms
        self._on_listed = on_listed
        self._on_change = on_change
        self._on_limits = on_limits
        self._on_store_back = on_store_back
        self._on_store_restored = on_store_restored
        self.on_read: Callable[[str, store_position.StorePosition], None] = (
            lambda kind, position: None
        )
        self._outage_reason = ""
        self._era = 0
        store.listen_for_outages(self._store_back)
        store.on_restored = self._store_restored
        self.changes: collections.deque[table_changes.Change] = (
            collections.deque(maxlen=MAX_CHANGES)
        )
        self._apply_functions: dict[str, Callable[[stored.Record], None]] = {
            wire.KIND_CONFIGURATION: self._apply_configuration,
            wire.KIND_TARGETS: self._apply_target,
            wire.KIND_VERSIONS: self._apply_version,
        }
        self.followers = self._make_followers()
        self.known: dict[str, dict[str, stored.Record]] = {
            kind: {} for kind in self.followers
        }
        self.rejected = rejected_objects.RejectedObjects(log, metrics)
        self.peer_positions = dict.fromkeys(
            self.followers, store_position.StorePosition()
        )

    def notify_change(self) -> None:
        """Calls the listener for changes."""
        self._on_change()

    def _make_followers(self) -> dict[str, follow.Follower]:
        configuration_coalesce_ms = round(
            self._configuration_ms * CONFIGURATION_COALESCE_FRACTION
        )
        targets_coalesce_ms = round(
            self._leaving_ms * TARGETS_COALESCE_FRACTION
        )
        delays_ms = {
            wire.KIND_CONFIGURATION: (RARE_WATCH_MS, configuration_coalesce_ms),
            wire.KIND_TARGETS: (TARGETS_WATCH_MS, targets_coalesce_ms),
            wire.KIND_VERSIONS: (RARE_WATCH_MS, VERSIONS_COALESCE_MS),
        }
        return {
            kind: follow.Follower(
                self._store,
                kind,
                _Sink(self, kind),
                self._log,
                wait_ms=wait_ms,
                coalesce_ms=coalesce_ms,
                on_lost=self._store_lost,
            )
            for kind, (wait_ms, coalesce_ms) in delays_ms.items()
        }

    def _store_lost(self, kind: str) -> None:
        """Restarts the long watches as soon as the short one has failed.

        The long watches may have lost their connections without an error. Until
        they time out, their objects would not be requested from other gateways.
        """
        if kind != wire.KIND_TARGETS:
            return
        for name, follower in self.followers.items():
            if name != kind:
                follower.restart()

    def _store_back(self, kind: str, absence: availability.Outage) -> None:
        """Begins the grace period, and replaces watches that may hang.

        If the connection of one watch fell silent, those of the others may have
        fallen silent with it.

        The grace period begins with the first answer of any kind. The first
        answer for the targets may be seconds later. A grace period that began
        then would end later, and keep targets in use that leave in the
        meantime.
        """
        may_have_expired = self._roster.outage_ended(
            clock.boot_ms(),
            away_ms=absence.away_ms,
            is_doubtful=absence.is_doubtful,
        )
        self._outage_reason = absence.reason or (
            "silent connection" if absence.is_doubtful else "late answer"
        )
        self._log.must(
            "store_outage_ended",
            kind=kind,
            away_ms=absence.away_ms,
            failed=absence.failed,
            reason=self._outage_reason,
            doubtful=absence.is_doubtful,
            read_revision=self._known_position(wire.KIND_TARGETS).revision,
            era=self._store.era,
            may_have_lapsed=may_have_expired,
        )
        if not absence.is_doubtful:
            self._on_store_back()
            if not absence.failed or absence.away_ms < RENEW_AFTER_MS:
                return
        for name, follower in self.followers.items():
            if name != kind:
                follower.renew()

    def _store_restored(self) -> None:
        """Reads new lists of all kinds.

        A restored store reuses revisions, so a watch from a revision of the
        former era may succeed and miss changes.
        """
        self._enter_era(self._store.era, told_by="store")
        for follower in self.followers.values():
            follower.restart()

    @property
    def has_current_targets(self) -> bool:
        """Whether the list of targets is read from the store without errors."""
        follower = self.followers[wire.KIND_TARGETS]
        return bool(follower.revision) and not follower.failing_since_ms

    async def read_changed_targets(self) -> list[roster_lib.Listing] | None:
        """Reads targets that changed since the last read; applies none.

        Returns:
            Their listings; None if the store did not answer or an unknown
            target has gone.
        """
        follower = self.followers[wire.KIND_TARGETS]
        era = follower.era
        if not follower.revision:
            return None
        answer = await self._store.watch(
            wire.KIND_TARGETS, follower.revision, follow.PROBE_WAIT_MS
        )
        if not isinstance(answer, stored.Batch) or answer.era != era:
            return None
        listings = []
        for record in answer.records:
            if record.deleted and record.name in self._roster.members:
                continue
            listing = wire.target(
                record.name, record.spec, record.created, record.revision, era
            )
            if not isinstance(listing, result.Failure):
                listings.append(listing)
            elif record.deleted and record.spec is None:
                return None
        return listings

    def _enter_era(self, era: int, *, told_by: str) -> None:
        if era <= self._era:
            return
        self._era = era
        self._log.must(
            "store_restored",
            era=era,
            told_by=told_by,
            read_revision=self._known_position(wire.KIND_TARGETS).revision,
        )
        # Entries written after the copy was made are missing until their
        # owners renew them.
        self._roster.begin_grace(clock.boot_ms())
        self._on_store_restored()

    def _apply_configuration(self, record: stored.Record) -> None:
        if record.deleted:
            return
        if record.name != wire.CONFIGURATION_NAME:
            self._reject(wire.KIND_CONFIGURATION, record, "no configuration")
            return
        table = wire.configuration(record.spec)
        if isinstance(table, result.Failure):
            self._reject(wire.KIND_CONFIGURATION, record, table.message)
            return
        before = self._holder.table
        if not self._holder.offer(table):
            return
        change = table_changes.Change(
            table.version,
            before.version,
            clock.unix_ms(),
            table_changes.describe(before, table) if before.version else (),
        )
        self.changes.append(change)
        if not before.version:
            # Nothing could be sent to targets listed before the first
            # configuration.
            for member in self._roster.members.values():
                self._on_listed(member)
        self._log.must(
            "configuration",
            version=table.version,
            before=before.version,
            changes=change.details[:MAX_LOGGED_CHANGES],
        )
        self._on_limits(table.limits)
        if before.services.keys() != table.services.keys():
            # Targets may belong to a service that was added or removed.
            for target in list(self.known[wire.KIND_TARGETS].values()):
                self.apply(wire.KIND_TARGETS, target)

    def apply(self, kind: str, record: stored.Record) -> None:
        """Applies one object; its errors affect no other object."""
        is_unreadable = isinstance(record.spec, untrusted_json.Unreadable)
        if is_unreadable and not record.deleted:
            self._reject(kind, record, record.spec.reason)
            return
        try:
            self._apply_functions[kind](record)
        except Exception as error:
            logs.exception("object_failed", kind=kind)
            self._metrics.broken.inc({"code": "object_failed"})
            self._reject(kind, record, repr(error))

    def _reject(
        self,
        kind: str,
        record: stored.Record,
        reason: str,
        *,
        keep: bool = False,
    ) -> None:
        """Rejects an object; its content is kept if it may become valid."""
        self.rejected.add(kind, record, reason)
        if not keep:
            unreadable = untrusted_json.Unreadable(reason)
            self.known[kind][record.name] = dataclasses.replace(
                record, spec=unreadable
            )
        # The earlier content of a target's entry is outdated, and the new
        # content is no valid target to send requests to.
        if kind == wire.KIND_TARGETS and self._roster.drop(record.name):
            self._log.write("target_dropped", target=record.name)

    def _apply_target(self, record: stored.Record) -> None:
        if record.deleted:
            self._apply_removal(record.name)
            return
        listing = wire.target(
            record.name,
            record.spec,
            record.created,
            record.revision,
            record.era,
        )
        if isinstance(listing, result.Failure):
            self._reject(wire.KIND_TARGETS, record, listing.message)
            return
        table = self._holder.table
        if table.version and listing.service not in table.services:
            # If applied, this entry would supersede another target at the same
            # address, which would get no more requests.
            self._reject(
                wire.KIND_TARGETS,
                record,
                f"no service {listing.service!r}",
                keep=True,
            )
            return
        known = self._roster.members.get(record.name)
        lapsed = known is not None and bool(known.expires_at_ms)
        known_listing = known.listing if known is not None else None
        new_member = self._roster.upsert(listing)
        if (
            known_listing is None
            or lapsed
            or known_listing.leaving != listing.leaving
        ):
            member = self._roster.members.get(record.name)
            self._log.write(
                "target_listed",
                target=record.name,
                address=listing.address,
                service=listing.service,
                leaving=listing.leaving,
                software_version=listing.software_version,
                created=listing.listed_at,
                revision=listing.changed_at,
                era=listing.era,
                known_revision=known_listing.changed_at if known_listing else 0,
                known_era=known_listing.era if known_listing else 0,
                taken=(
                    member is not None
                    and member.listing.changed_position
                    == listing.changed_position
                ),
                lapsed=lapsed,
            )
        if new_member is None:
            return
        if known is not None:
            self._log.must(
                "target_restarted",
                target=record.name,
                born_ms=listing.born_ms,
                former_born_ms=known.listing.born_ms,
                told_by="list",
            )
        self._on_listed(new_member)

    def _apply_removal(self, name: str) -> None:
        now_ms = clock.boot_ms()
        known = self._roster.members.get(name)
        dropped = self._roster.remove(name, now_ms)
        kept = self._roster.members.get(name)
        self._log.write(
            "target_unlisted",
            target=name,
            now=dropped,
            revision=known.listing.changed_at if known else 0,
            kept_ms=kept.expires_at_ms - now_ms if kept else 0,
            outage=self._outage_reason if kept else "",
        )

    def _apply_version(self, record: stored.Record) -> None:
        if record.deleted:
            return
        announced = wire.announced(record.spec)
        if isinstance(announced, result.Failure):
            self._reject(wire.KIND_VERSIONS, record, announced.message)
            return
        now_ms = clock.boot_ms()
        taken = self._placement.record_announcement(
            announced.adapter, announced.version, now_ms
        )
        self._log.write(
            "version_announced",
            adapter=announced.adapter,
            version=announced.version,
            taken=taken,
        )

    async def ask_peers(self) -> None:
        """Requests objects from other gateways during a store outage."""
        while True:
            await anyio.sleep(peers_lib.QUERY_INTERVAL_MS / MS_PER_S)
            failing = [
                kind
                for kind, follower in self.followers.items()
                if follower.failing_since_ms
            ]
            if not failing:
                continue
            known = await self._peers.query_peer()
            if known is not None:
                self.apply_peer_objects(known)

    def apply_peer_objects(self, known: Any) -> None:
        """Applies objects of another gateway, of the kinds that fail here.

        Args:
            known: Result of its ``export_objects``.
        """
        told = peer_objects.decode(known)
        if told.invalid_count:
            self._log.write("peer_objects_refused", count=told.invalid_count)
        for kind, records in told.records.items():
            follower = self.followers.get(kind)
            if follower is not None and follower.failing_since_ms:
                self._apply_newer_objects(
                    kind, records, told.positions[kind], fresh=told.is_fresh
                )

    def _apply_newer_objects(
        self,
        kind: str,
        records: list[stored.Record],
        peer_position: store_position.StorePosition,
        *,
        fresh: bool,
    ) -> None:
        """Applies objects newer than all that were read or received before.

        Otherwise a peer with an older view would restore targets that are known
        to be draining, and no watch would remove them again.
        """
        known_position = self._known_position(kind)
        if 0 < known_position.era < peer_position.era:
            self._enter_era(peer_position.era, told_by="peer")
        if fresh and peer_position > known_position:
            self.peer_positions[kind] = peer_position
            if kind == wire.KIND_TARGETS:
                self._remove_unlisted({record.name for record in records})
        for record in records:
            if record.position > known_position:
                self.known[kind][record.name] = record
                self.apply(kind, record)

    def _known_position(self, kind: str) -> store_position.StorePosition:
        read_position = self.followers[kind].read_position
        return max(read_position, self.peer_positions[kind])

    def _remove_unlisted(self, names: set[str]) -> None:
        missing = [name for name in self._roster.members if name not in names]
        self._roster.record_missing(missing)
        for name in missing:
            self.known[wire.KIND_TARGETS].pop(name, None)
            self._apply_removal(name)

    def record_missing(self, kind: str, names: Iterable[str]) -> None:
        """Records which objects are missing, before each removal is applied."""
        if kind == wire.KIND_TARGETS:
            self._roster.record_missing(names)

    def export_objects(self) -> dict[str, Any]:
        """Returns the known objects, for another gateway to apply."""
        # In the grace period, expired entries are missing here although their
        # targets are still in use. A gateway that took this list as complete
        # would have no target left.
        fresh = self.has_current_targets and not self._roster.in_grace_period(
            clock.boot_ms()
        )
        positions = {kind: self._known_position(kind) for kind in self.known}
        return peer_objects.encode(self.known, positions, is_fresh=fresh)


class _Sink:
    """Stores the objects of one kind, and applies each of them."""

    def __init__(self, discovery: Discovery, kind: str) -> None:
        self._discovery = discovery
        self._kind = kind

    def _record(self, batch: stored.Batch) -> None:
        self._discovery.rejected.add_nameless(self._kind, batch.nameless_count)
        positions = (record.position for record in batch.records)
        self._discovery.on_read(
            self._kind, change_lag.newest_change(positions, batch.position)
        )

    def replace_all(self, batch: stored.Batch) -> None:
        """Replaces all objects."""
        self._record(batch)
        known = {record.name: record for record in batch.records}
        missing = [
            name
            for name in self._discovery.known[self._kind]
            if name not in known
        ]
        self._discovery.known[self._kind] = known
        self._discovery.record_missing(self._kind, missing)
        for name in missing:
            self._discovery.apply(
                self._kind, stored.Record(name, None, deleted=True)
            )
        for record in batch.records:
            self._discovery.apply(self._kind, record)
        self._discovery.notify_change()

    def changes(self, batch: stored.Batch) -> None:
        """Applies changed objects."""
        self._record(batch)
        known = self._discovery.known[self._kind]
        self._discovery.record_missing(
            self._kind, (one.name for one in batch.records if one.deleted)
        )
        for record in batch.records:
            if record.deleted:
                known.pop(record.name, None)
            else:
                known[record.name] = record
            self._discovery.apply(self._kind, record)
        self._discovery.notify_change()
