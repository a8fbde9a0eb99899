"""Gossips new versions and the names of draining targets to all processes.

Only a few processes watch the object API. A process that receives a commit
pushes it once to a few random peers, which reaches nearly all processes within
a few hops. Once per second, each process sends a digest with its version to one
random peer; of the two, the one that is ahead sends the missing commits. This
reaches the remaining processes. The cost per process does not depend on the
number of processes.
"""

from collections.abc import Sequence
import dataclasses
import functools
import random

Address = tuple[str, int]
MAX_DRAINING_NAMES = 32


@dataclasses.dataclass(frozen=True, slots=True)
class DisseminationSettings:
    """Limits of the dissemination.

    Attributes:
        fanout: Number of peers that a new commit is pushed to.
        kept_commits: Number of commits kept for peers that lag behind.
        max_commit_bytes: Largest commit that is sent in a datagram. Peers read
            larger ones from the object API.
        max_pushes: Maximum number of commits sent in response to one digest.
        draining_ms: How long the name of a draining target is forwarded.
    """

    fanout: int = 3
    kept_commits: int = 256
    max_commit_bytes: int = 1_200
    max_pushes: int = 8
    draining_ms: int = 30_000


@dataclasses.dataclass(frozen=True, slots=True)
class CommitApplied:
    """A commit came into force in this process.

    Attributes:
        version: The version that it created.
        data: The encoded commit.
    """

    version: int
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class VersionAdvanced:
    """A version came into force in this process without its commits."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class DigestReceived:
    """A peer sent its version and the names of draining targets."""

    sender: Address
    version: int
    reply: bool
    draining: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class DrainingReported:
    """The platform, or a target itself, reported draining targets."""

    names: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RoundDue:
    """The periodic digest is due."""


Event = (
    CommitApplied
    | VersionAdvanced
    | DigestReceived
    | DrainingReported
    | RoundDue
)


@dataclasses.dataclass(frozen=True, slots=True)
class SendDigest:
    """Send a peer the version of this process."""

    to: Address
    reply: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PushCommit:
    """Send a peer a commit."""

    to: Address
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ReadStore:
    """Read the object API, because a peer no longer has the missing commits."""


Action = SendDigest | PushCommit | ReadStore
Actions = list[Action]


class Dissemination:
    """The dissemination state of one process."""

    def __init__(
        self,
        own: Address,
        *,
        random_source: random.Random,
        settings: DisseminationSettings | None = None,
    ) -> None:
        """Starts without a version and without peers.

        Args:
            own: Address of this process, which is never picked as a peer.
            random_source: Picks the peers.
            settings: Limits of the dissemination.
        """
        self.own = own
        self.settings = settings or DisseminationSettings()
        self.version = 0
        self.peers: Sequence[Address] = ()
        self.commits: dict[int, bytes] = {}
        self.draining: dict[str, int] = {}
        self._random = random_source

    def handle(self, event: Event, now_ms: int) -> Actions:
        """Handles an event.

        Args:
            event: What happened.
            now_ms: Monotonic clock.

        Returns:
            The messages to send.
        """
        return _handle(event, self, now_ms)

    def draining_names(self, now_ms: int) -> tuple[str, ...]:
        """Returns the targets that were recently reported as draining."""
        oldest_ms = now_ms - self.settings.draining_ms
        self.draining = {
            name: at_ms
            for name, at_ms in self.draining.items()
            if at_ms >= oldest_ms
        }
        return tuple(sorted(self.draining))[:MAX_DRAINING_NAMES]

    def pick_peers(self, count: int) -> list[Address]:
        """Picks random peers."""
        if not self.peers:
            return []
        drawn = {self._random.choice(self.peers) for _ in range(count + 1)}
        drawn.discard(self.own)
        return sorted(drawn)[:count]

    def pushes(self, to: Address, after: int) -> Actions:
        """Returns the commits that follow the version of a peer."""
        last = min(self.version, after + self.settings.max_pushes)
        actions: Actions = []
        for version in range(after + 1, last + 1):
            data = self.commits.get(version)
            if data is None:
                break
            actions.append(PushCommit(to, data))
        return actions


@functools.singledispatch
def _handle(
    event: object, dissemination: Dissemination, now_ms: int
) -> Actions:
    raise TypeError(f"unknown event {event!r}")


@_handle.register
def _commit_applied(
    event: CommitApplied, dissemination: Dissemination, now_ms: int
) -> Actions:
    del now_ms
    version, data = event.version, event.data
    if version <= dissemination.version:
        return []
    dissemination.version = version
    if len(data) > dissemination.settings.max_commit_bytes:
        # Too large for a datagram: peers read it from the object API.
        return [
            SendDigest(peer, False)
            for peer in dissemination.pick_peers(dissemination.settings.fanout)
        ]
    dissemination.commits[version] = data
    dissemination.commits.pop(
        version - dissemination.settings.kept_commits, None
    )
    return [
        PushCommit(peer, data)
        for peer in dissemination.pick_peers(dissemination.settings.fanout)
    ]


@_handle.register
def _version_advanced(
    event: VersionAdvanced, dissemination: Dissemination, now_ms: int
) -> Actions:
    del now_ms
    if event.version > dissemination.version:
        dissemination.version = event.version
        dissemination.commits.clear()
    return []


@_handle.register
def _digest_received(
    event: DigestReceived, dissemination: Dissemination, now_ms: int
) -> Actions:
    for name in event.draining:
        dissemination.draining.setdefault(name, now_ms)
    if event.version < dissemination.version:
        pushes = dissemination.pushes(event.sender, event.version)
        if pushes or event.reply:
            return pushes
        return [SendDigest(event.sender, True)]
    if event.version > dissemination.version:
        if event.reply:
            # The peer replied to this process's digest without commits, so it
            # no longer has them.
            return [ReadStore()]
        return [SendDigest(event.sender, True)]
    return []


@_handle.register
def _draining_reported(
    event: DrainingReported, dissemination: Dissemination, now_ms: int
) -> Actions:
    for name in event.names:
        dissemination.draining[name] = now_ms
    return []


@_handle.register
def _round_due(
    event: RoundDue, dissemination: Dissemination, now_ms: int
) -> Actions:
    del event, now_ms
    return [SendDigest(peer, False) for peer in dissemination.pick_peers(1)]
