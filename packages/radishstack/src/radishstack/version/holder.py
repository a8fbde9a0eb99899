"""The version that a process holds, which only increases."""

import dataclasses

from radishstack import invariant
from radishstack import result
from radishstack.version import commit as commit_lib
from radishstack.version import document as document_lib
from radishstack.version import operation as operation_lib


@dataclasses.dataclass(frozen=True, slots=True)
class HeldVersion:
    """One version with its document.

    Each task keeps its reference until it is done with the version.

    Attributes:
        version: Version number.
        write_id: Write id of its commit.
        document: The document.
    """

    version: int
    write_id: str
    document: document_lib.Document


EMPTY = HeldVersion(0, "", document_lib.Document())


class Holder:
    """Holds the newest version that this process received."""

    def __init__(self, held: HeldVersion = EMPTY) -> None:
        """Starts with a version, by default an empty one."""
        self._held = held

    @property
    def held(self) -> HeldVersion:
        """The version in force in this process."""
        return self._held

    def offer(self, held: HeldVersion) -> bool:
        """Replaces the version held if the given one is newer.

        A delayed watch response or an outdated peer can offer an older version,
        which is ignored.

        Args:
            held: An accepted version.

        Returns:
            Whether it replaced the version held.
        """
        if held.version <= self._held.version:
            return False
        self._replace(held)
        return True

    def _replace(self, held: HeldVersion) -> None:
        invariant.require(
            held.version > self._held.version,
            result.VERSION_FELL,
            f"{self._held.version} to {held.version}",
        )
        self._held = held


def follow(
    held: HeldVersion, commit: commit_lib.Commit
) -> result.Outcome[HeldVersion]:
    """Applies a commit to the version before it."""
    if commit.version != held.version + 1 or commit.parent_id != held.write_id:
        return result.Failure(
            result.STORE_CORRUPT,
            f"commit {commit.version} does not follow {held.version}",
        )
    document = operation_lib.apply(
        held.document,
        commit.operations,
        version=commit.version,
        at_ms=commit.audit.at_ms,
        accepted=True,
    )
    if isinstance(document, tuple):
        return result.Failure(
            result.STORE_CORRUPT, f"commit {commit.version}: {document[0]}"
        )
    return HeldVersion(commit.version, commit.write_id, document)


@dataclasses.dataclass(frozen=True, slots=True)
class ReadSnapshot:
    """Read the root's snapshot, then its recent commits."""

    part_names: tuple[str, ...]
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReadCommits:
    """Read these commits and apply them in this order."""

    names: tuple[str, ...]


CatchUp = ReadSnapshot | ReadCommits | None


def plan_catch_up(held: HeldVersion, root: commit_lib.Root) -> CatchUp:
    """Decides what to read to reach the root's version.

    Args:
        held: The version held.
        root: The root read from the store.

    Returns:
        What to read next, or None if the root is not newer.
    """
    if root.version <= held.version:
        return None
    if held.version >= root.snapshot_version:
        first = held.version - root.snapshot_version
        names = tuple(
            commit_lib.commit_name(write_id) for write_id in root.recent[first:]
        )
        return ReadCommits(names)
    return ReadSnapshot(root.snapshot_parts, root.snapshot_version)
