"""Decides at which software version a resumed stream may continue.

The targets of a service may run several versions of their software, without an
order. What two versions write does not fit together, and targets do not check
it, so a stream may continue only at the version that began it. Its caller may
resume it at any gateway, often because the first one failed. Gateways therefore
report the origin of each resumable stream to a few others before they send its
first event, and ask those others before they continue a stream that they do not
know.

Gateways may lose power all at once, and their records with it. The sidecars
beside the engines keep running, so the origin is reported to some of them as
well.

Without a record, a stream still continues if its service has had a single
software version for longer than any of its streams lives. A stream may have
begun at a version that the other gateway read sooner, so the list of targets is
read once more before that is decided.
"""

import collections
from collections.abc import Iterable
import dataclasses

import xxhash

from radishstack.process import hash_ring
from radishstack.process import rendezvous
from radishstack.process import roster as roster_lib

# Gateways that hold the record of a stream, besides the one that began it. With
# three failure domains, the loss of one leaves 95 of 100 records with three
# holders and 87 with two.
HOLDER_COUNT = 3
# Gateways that are asked for a record. More than hold it, because gateways that
# joined or left in the meantime change the rendezvous order.
QUERY_COUNT = 6
# Sidecars that hold the record, and that are asked for it. They are fewer than
# gateways, since they are only needed if no gateway has kept it.
SIDECAR_HOLDER_COUNT = 2
SIDECAR_QUERY_COUNT = 4
# Time after its caller's deadline for which a stream can still be resumed. It
# covers clients whose deadline starts later than that of the gateway.
RETENTION_MARGIN_MS = 5_000
# Longest time for which a record is kept, whatever deadline a caller states.
# Without a record, a stream may be as old as this: an attempt that resumes it
# states the rest of its deadline, which tells nothing of the stream's age.
MAX_RETENTION_MS = 120_000
# Maximum number of records of one gateway, about 6 MB.
MAX_RECORDS = 20_000


def stream_id_of(attempt_id: str) -> int:
    """Returns the identifier of a stream from the attempt that began it."""
    return xxhash.xxh3_64_intdigest(attempt_id.encode("utf-8", "replace"))


def holders(stream_id: int, gateways: Iterable[str]) -> list[str]:
    """Returns the gateways to which the origin of a stream is reported."""
    return rendezvous.order(str(stream_id), gateways, HOLDER_COUNT)


def candidates(stream_id: int, gateways: Iterable[str]) -> list[str]:
    """Returns the gateways that are asked for the origin of a stream."""
    return rendezvous.order(str(stream_id), gateways, QUERY_COUNT)


def sidecar_holders(stream_id: int, ring: hash_ring.HashRing) -> list[str]:
    """Returns the sidecars to which the origin of a stream is reported."""
    return ring.successors(stream_id, SIDECAR_HOLDER_COUNT)


def sidecar_candidates(stream_id: int, ring: hash_ring.HashRing) -> list[str]:
    """Returns the sidecars that are asked for the origin of a stream.

    They are more than hold it, since sidecars that joined or left in the
    meantime change the order.
    """
    return ring.successors(stream_id, SIDECAR_QUERY_COUNT)


def retention_ms(timeout_ms: int, caller_left_ms: int) -> int:
    """Returns how long after its beginning a stream may be resumed.

    Args:
        timeout_ms: Timeout of its route.
        caller_left_ms: Time until its caller's deadline, 0 if not stated.
    """
    lifetime_ms = max(timeout_ms, caller_left_ms) + RETENTION_MARGIN_MS
    return min(lifetime_ms, MAX_RETENTION_MS)


def replaceable(
    targets: list[roster_lib.Member],
) -> list[roster_lib.Member]:
    """Returns the targets that share their software version with another one.

    A stream that begins at the only target of a version cannot continue if that
    target fails.
    """
    counts = collections.Counter(
        member.listing.software_version for member in targets
    )
    return [
        member
        for member in targets
        if member.listing.software_version
        and counts[member.listing.software_version] > 1
    ]


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """The software that began a stream.

    Attributes:
        service: Service of its first target.
        software_version: Version of the software of its first target.
    """

    service: str
    software_version: str


class StreamRecords:
    """Origins of streams that may still be resumed."""

    def __init__(self) -> None:
        """Starts without records."""
        self._records: dict[int, tuple[Origin, int]] = {}

    def __len__(self) -> int:
        """Returns the number of records."""
        return len(self._records)

    def record(self, stream_id: int, origin: Origin, until_ms: int) -> bool:
        """Records the origin of a stream.

        Args:
            stream_id: The stream.
            origin: The origin.
            until_ms: When the record expires.

        Returns:
            Whether there was room; otherwise the oldest record is dropped.
        """
        has_room = len(self._records) < MAX_RECORDS
        if stream_id in self._records:
            # The origin of a stream never changes.
            return True
        if not has_room:
            del self._records[next(iter(self._records))]
        self._records[stream_id] = (origin, until_ms)
        return has_room

    def find(self, stream_id: int, now_ms: int) -> Origin | None:
        """Returns the origin of a stream, None if unknown."""
        origin, until_ms = self._records.get(stream_id, (None, 0))
        return origin if now_ms < until_ms else None

    def expire(self, now_ms: int) -> None:
        """Drops expired records."""
        self._records = {
            stream_id: record
            for stream_id, record in self._records.items()
            if now_ms < record[1]
        }


@dataclasses.dataclass(frozen=True, slots=True)
class VersionView:
    """What one gateway knows of the software versions of a service.

    Attributes:
        is_mixed: Whether it observed several versions, or an unknown one,
            within the lifetime of a stream.
        sole_version: Otherwise the only version, empty if it does not know one
            or its list of targets may be outdated.
        sole_for_ms: How long it has observed only that version.
    """

    is_mixed: bool = False
    sole_version: str = ""
    sole_for_ms: int = 0


NO_VIEW = VersionView()


class VersionHistory:
    """Software versions of each service that one gateway has observed."""

    def __init__(self) -> None:
        """Starts without observations."""
        self._since_ms: dict[str, int] = {}
        self._last_seen_ms: dict[str, dict[str, int]] = {}

    def observe(
        self,
        listings: Iterable[roster_lib.Listing],
        now_ms: int,
        *,
        is_current: bool,
    ) -> None:
        """Records the software versions of the listed targets.

        Args:
            listings: The listed targets.
            now_ms: Now.
            is_current: Whether the list is up to date. While it is not, a
                version may come and go unnoticed.
        """
        if not is_current:
            self._since_ms.clear()
        for listing in listings:
            if is_current:
                self._since_ms.setdefault(listing.service, now_ms)
            seen = self._last_seen_ms.setdefault(listing.service, {})
            seen[listing.software_version] = now_ms

    def expire(self, now_ms: int) -> None:
        """Drops observations from before the lifetime of any stream."""
        for service, seen in self._last_seen_ms.items():
            self._last_seen_ms[service] = {
                software_version: at_ms
                for software_version, at_ms in seen.items()
                if now_ms - at_ms <= MAX_RETENTION_MS
            }

    def restart(self) -> None:
        """Records that versions may have come and gone unnoticed."""
        self._since_ms.clear()

    def view(self, service: str, lifetime_ms: int, now_ms: int) -> VersionView:
        """Returns what is known of a service.

        Args:
            service: The service.
            lifetime_ms: Longest lifetime of its streams.
            now_ms: Now.
        """
        recent = {
            software_version
            for software_version, at_ms in self._last_seen_ms.get(
                service, {}
            ).items()
            if now_ms - at_ms <= lifetime_ms
        }
        if len(recent) > 1 or "" in recent:
            return VersionView(is_mixed=True)
        since_ms = self._since_ms.get(service)
        if not recent or since_ms is None:
            return NO_VIEW
        return VersionView(
            sole_version=recent.pop(), sole_for_ms=now_ms - since_ms
        )


def sole_version(views: Iterable[VersionView], lifetime_ms: int) -> str:
    """Returns the version that began every stream that may still live.

    Args:
        views: What this and other gateways know of the service.
        lifetime_ms: Longest lifetime of its streams.

    Returns:
        The software version; empty if any gateway observed another one, or if
        none has observed the service for long enough.
    """
    known = list(views)
    if any(view.is_mixed for view in known):
        return ""
    versions = {view.sole_version for view in known} - {""}
    longest_ms = max((view.sole_for_ms for view in known), default=0)
    if len(versions) != 1 or longest_ms < lifetime_ms:
        return ""
    return versions.pop()


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """What one gateway or sidecar answers to the query for a stream.

    Attributes:
        stream_id: The stream.
        origin: Its origin, None if unknown.
        view: What it knows of the versions of the service.
    """

    stream_id: int
    origin: Origin | None
    view: VersionView


class Lookup:
    """The query for the origin of one stream, until it is resolved."""

    def __init__(self, asked: Iterable[str]) -> None:
        """Starts without answers.

        Args:
            asked: The gateways and sidecars that are asked.
        """
        self.unanswered = set(asked)
        self.answers: dict[str, Answer] = {}

    @property
    def is_complete(self) -> bool:
        """Whether further answers would change nothing."""
        return not self.unanswered or self.found() is not None

    def record(self, name: str, answer: Answer) -> None:
        """Records an answer; it is ignored if its sender was not asked."""
        if name in self.unanswered:
            self.unanswered.remove(name)
            self.answers[name] = answer

    def found(self) -> Origin | None:
        """Returns the recorded origin, None if nobody knows it."""
        answer = self.answers.get(self.found_at())
        return answer.origin if answer is not None else None

    def found_at(self) -> str:
        """Returns who answered with the origin, empty if nobody did."""
        for name, answer in self.answers.items():
            if answer.origin is not None:
                return name
        return ""

    def sole_version(self, own_view: VersionView, lifetime_ms: int) -> str:
        """Returns the version that began every stream that may still live.

        Args:
            own_view: What this gateway knows of the versions of the service.
            lifetime_ms: Longest lifetime of the service's streams.
        """
        views = [own_view, *(one.view for one in self.answers.values())]
        return sole_version(views, lifetime_ms)
