"""Publishes a change despite concurrent writes, outages and lost responses.

A state machine without I/O: its input is the results of store calls, its
output the next store call.
"""

import dataclasses
import functools

from radishstack import result
from radishstack.version import commit as commit_lib
from radishstack.version import holder as holder_lib
from radishstack.version import operation as operation_lib

MAX_RETRIES = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Proposal:
    """A change that an operator proposes.

    Attributes:
        write_id: Unique id of this write.
        operator: Name of the operator.
        reason: The operator's reason.
        base: The version that the change was prepared on.
        operations: The operations of the change.
    """

    write_id: str
    operator: str
    reason: str
    base: holder_lib.HeldVersion
    operations: tuple[operation_lib.Operation, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CatchUp:
    """Read the root and all commits since ``held``; reply with ``CaughtUp``."""

    held: holder_lib.HeldVersion


@dataclasses.dataclass(frozen=True, slots=True)
class WriteCommit:
    """Create the commit object, or overwrite it from an earlier attempt."""

    name: str
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class UpdateRoot:
    """Update the root if it still has this revision."""

    expected_revision: int
    data: bytes


Step = CatchUp | WriteCommit | UpdateRoot


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The change is in force from this version on."""

    version: int


Next = Step | Accepted | result.Failure


@dataclasses.dataclass(frozen=True, slots=True)
class CaughtUp:
    """The current state of the store.

    Attributes:
        revision: The root object's revision, 0 if it does not exist.
        root: The root.
        held: The version that the root names.
        since: The commits after the proposal's base, oldest first.
    """

    revision: int
    root: commit_lib.Root
    held: holder_lib.HeldVersion
    since: tuple[commit_lib.Commit, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Written:
    """The last write succeeded."""


@dataclasses.dataclass(frozen=True, slots=True)
class Conflicted:
    """The last conditional update found another revision."""


@dataclasses.dataclass(frozen=True, slots=True)
class Uncertain:
    """The last write got no response and may have taken effect."""


Event = CaughtUp | Written | Conflicted | Uncertain


class Publisher:
    """Publishes one proposal."""

    def __init__(self, proposal: Proposal, *, now_ms: int) -> None:
        """Creates a publisher for a proposal.

        Args:
            proposal: The change to publish.
            now_ms: Unix time for the audit record.
        """
        self.proposal = proposal
        self.now_ms = now_ms
        self.retry_count = 0
        self.caught_up: CaughtUp | None = None
        self.commit: commit_lib.Commit | None = None
        self.root_sent = False

    def start(self) -> Step:
        """Returns the first step."""
        return CatchUp(self.proposal.base)

    def handle(self, event: Event) -> Next:
        """Handles the result of the last step and returns the next."""
        return _handle(event, self)


@functools.singledispatch
def _handle(event: object, publisher: Publisher) -> Next:
    raise TypeError(f"unknown event {event!r}")


@_handle.register
def _caught_up(event: CaughtUp, publisher: Publisher) -> Next:
    publisher.caught_up = event
    proposal = publisher.proposal
    for commit in event.since:
        # The update took effect but its response was lost. The write id
        # shows this; a retry would apply the change twice.
        if commit.write_id == proposal.write_id:
            return Accepted(commit.version)
    for commit in event.since:
        for theirs in commit.operations:
            for ours in proposal.operations:
                path = operation_lib.find_conflict(ours, theirs)
                if path is not None:
                    return _conflict_failure(path, commit)
    version = event.root.version + 1
    document = operation_lib.apply(
        event.held.document,
        proposal.operations,
        version=version,
        at_ms=publisher.now_ms,
    )
    if isinstance(document, tuple):
        return result.Failure(
            result.CHANGE_INVALID, "; ".join(str(one) for one in document)
        )
    publisher.commit = commit_lib.Commit(
        write_id=proposal.write_id,
        version=version,
        parent_id=event.root.write_id,
        operations=proposal.operations,
        audit=commit_lib.AuditRecord(
            operator=proposal.operator,
            at_ms=publisher.now_ms,
            base_version=proposal.base.version,
            reason=proposal.reason,
        ),
    )
    return WriteCommit(
        commit_lib.commit_name(proposal.write_id),
        commit_lib.encode_commit(publisher.commit),
    )


def _conflict_failure(path: str, commit: commit_lib.Commit) -> result.Failure:
    return result.Failure(
        result.CHANGE_CONFLICT,
        f"{path} was changed by {commit.audit.operator} in version "
        f"{commit.version}; look at it and propose again",
    )


@_handle.register
def _written(event: Written, publisher: Publisher) -> Next:
    del event
    caught_up, commit = publisher.caught_up, publisher.commit
    if publisher.root_sent:
        return Accepted(commit.version)
    publisher.root_sent = True
    root = commit_lib.advance(caught_up.root, commit)
    return UpdateRoot(caught_up.revision, commit_lib.encode_root(root))


@_handle.register
def _conflicted(event: Conflicted, publisher: Publisher) -> Next:
    del event
    return _retry(publisher)


@_handle.register
def _uncertain(event: Uncertain, publisher: Publisher) -> Next:
    del event
    return _retry(publisher)


def _retry(publisher: Publisher) -> Next:
    publisher.retry_count += 1
    publisher.root_sent = False
    if publisher.retry_count > MAX_RETRIES:
        return result.Failure(
            result.CHANGE_RACED,
            "too many concurrent changes; nothing was changed by this one "
            "unless the history shows its write id",
        )
    return CatchUp(publisher.proposal.base)
