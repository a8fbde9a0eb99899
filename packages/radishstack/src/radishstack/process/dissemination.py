"""How a new version and news of leaving targets reach every process.

Few processes watch the object API. A process that learns of a commit pushes
it once to a few random peers, which reaches nearly all in a handful of hops;
once a second each process tells one random peer which version it holds, and
whoever is ahead sends what the other lacks, which reaches the rest. The cost
per process does not depend on how many there are.
"""

from collections.abc import Sequence
import dataclasses
import functools
import random

Address = tuple[str, int]
MAX_DRAINING_NAMES = 32


@dataclasses.dataclass(frozen=True, slots=True)
class DisseminationSettings:
    """How hard news is pushed.

    Attributes:
        fanout: Peers that a new commit is pushed to.
        kept_commits: Commits kept to send to peers that lag.
        max_commit_bytes: Largest commit that travels in a datagram; a peer
            reads a larger one from the object API.
        max_pushes: Commits sent in answer to one digest.
        leaving_ms: How long news of a leaving target is passed on.
    """

    fanout: int = 3
    kept_commits: int = 256
    max_commit_bytes: int = 1_200
    max_pushes: int = 8
    draining_ms: int = 30_000


@dataclasses.dataclass(frozen=True, slots=True)
class CommitApplied:
    """A commit came into force here.

    Attributes:
        version: The version it made.
        data: The commit as it travels.
    """

    version: int
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class VersionAdvanced:
    """A version came into force here without its commits."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class DigestReceived:
    """A peer told which version it holds, and who leaves."""

    sender: Address
    version: int
    reply: bool
    draining: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class DrainingReported:
    """The platform, or the target itself, says that targets leave."""

    names: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RoundDue:
    """A second has passed."""


Event = (
    CommitApplied
    | VersionAdvanced
    | DigestReceived
    | DrainingReported
    | RoundDue
)


@dataclasses.dataclass(frozen=True, slots=True)
class SendDigest:
    """Tell a peer which version is held."""

    to: Address
    reply: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PushCommit:
    """Send a peer a commit."""

    to: Address
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ReadStore:
    """Read the object API: a peer is further ahead than commits are kept."""


Action = SendDigest | PushCommit | ReadStore
Actions = list[Action]


class Dissemination:
    """What one process tells its peers."""

    def __init__(
        self,
        own: Address,
        *,
        random_source: random.Random,
        settings: DisseminationSettings | None = None,
    ) -> None:
        """Starts holding nothing and knowing no peer.

        Args:
            own: This process's own address, which is never picked.
            random_source: Picks the peers.
            settings: How hard news is pushed.
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
            What to send.
        """
        return _handle(event, self, now_ms)

    def draining_names(self, now_ms: int) -> tuple[str, ...]:
        """Returns the targets that were lately said to leave."""
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
        """Returns what brings a peer forward from a version."""
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
        # Too large for a datagram: tell the version, peers read the store.
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
            # We told our version and got no commits back, only this word.
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
