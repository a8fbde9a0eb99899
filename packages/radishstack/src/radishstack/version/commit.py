"""Objects in the store: a root, commits and snapshots.

The root is the only object that is ever updated. It names the commits since
the last snapshot, so a follower reads only those that it lacks. A change is
accepted by a conditional update of the root. A commit contains its operations
and its audit record, so neither can exist without the other.
"""

import dataclasses
import hashlib
import json
from typing import Any

import pydantic

from radishstack import result
from radishstack.version import document as document_lib
from radishstack.version import operation as operation_lib

ROOT_NAME = "config/root"
COMMIT_PREFIX = "config/commits/"
SNAPSHOT_PREFIX = "config/snapshots/"
SNAPSHOT_INTERVAL = 64
SNAPSHOT_PART_BYTES = 900_000


@dataclasses.dataclass(frozen=True, slots=True)
class AuditRecord:
    """Who made a change, when, on which base version and why.

    Attributes:
        operator: Name of the operator.
        at_ms: Time of the change, Unix time.
        base_version: The version that the change was prepared on.
        reason: The operator's reason.
    """

    operator: str
    at_ms: int
    base_version: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Commit:
    """One accepted change.

    Attributes:
        write_id: Unique id from the writer, which finds its write in the store
            if the response to it was lost.
        version: The version that it creates.
        parent_id: Write id of the previous commit, empty for the first.
        operations: The changes, in order.
        audit: Its audit record.
    """

    write_id: str
    version: int
    parent_id: str
    operations: tuple[operation_lib.TaggedOperation, ...]
    audit: AuditRecord


@dataclasses.dataclass(frozen=True, slots=True)
class Root:
    """The root object, which names the version in force.

    Attributes:
        version: The version in force, 0 before the first change.
        write_id: Write id of its commit.
        snapshot_version: Version of the snapshot.
        snapshot_write_id: Write id of that version's commit.
        snapshot_parts: Object names of the snapshot's parts, in order.
        recent: Write ids of the commits after the snapshot, oldest first.
    """

    version: int = 0
    write_id: str = ""
    snapshot_version: int = 0
    snapshot_write_id: str = ""
    snapshot_parts: tuple[str, ...] = ()
    recent: tuple[str, ...] = ()


EMPTY_ROOT = Root()

_COMMIT = pydantic.TypeAdapter(Commit)
_ROOT = pydantic.TypeAdapter(Root)


def commit_name(write_id: str) -> str:
    """Returns the object name of a commit."""
    return f"{COMMIT_PREFIX}{write_id}"


def encode_commit(commit: Commit) -> bytes:
    """Encodes a commit as JSON."""
    return _COMMIT.dump_json(commit)


def decode_commit(data: bytes) -> result.Outcome[Commit]:
    """Decodes a commit."""
    try:
        return _COMMIT.validate_json(data)
    except pydantic.ValidationError as error:
        return result.Failure(result.STORE_CORRUPT, f"commit: {error}")


def encode_root(root: Root) -> bytes:
    """Encodes a root as JSON."""
    return _ROOT.dump_json(root)


def decode_root(data: bytes) -> result.Outcome[Root]:
    """Decodes a root."""
    try:
        return _ROOT.validate_json(data)
    except pydantic.ValidationError as error:
        return result.Failure(result.STORE_CORRUPT, f"root: {error}")


def advance(root: Root, commit: Commit) -> Root:
    """Returns the root with a commit as the version in force."""
    return dataclasses.replace(
        root,
        version=commit.version,
        write_id=commit.write_id,
        recent=(*root.recent, commit.write_id),
    )


def snapshot_is_due(root: Root) -> bool:
    """Whether enough commits have accumulated for a new snapshot."""
    return len(root.recent) >= SNAPSHOT_INTERVAL


def encode_snapshot(
    document: document_lib.Document, write_id: str
) -> dict[str, bytes]:
    """Splits a document into parts below the store's value limit.

    Args:
        document: The document.
        write_id: Write id of its commit, part of the names of the parts.

    Returns:
        The parts by object name, in order.
    """
    data = json.dumps(
        document_lib.to_plain(document), separators=(",", ":")
    ).encode()
    digest = hashlib.sha256(data).hexdigest()[:16]
    return {
        f"{SNAPSHOT_PREFIX}{write_id}-{digest}-{index}": data[
            start : start + SNAPSHOT_PART_BYTES
        ]
        for index, start in enumerate(range(0, len(data), SNAPSHOT_PART_BYTES))
    }


def decode_snapshot(
    parts: list[bytes],
) -> result.Outcome[document_lib.Document]:
    """Joins and decodes the parts of a document."""
    try:
        raw: Any = json.loads(b"".join(parts))
    except (ValueError, RecursionError) as error:
        return result.Failure(result.STORE_CORRUPT, f"snapshot: {error}")
    document = document_lib.parse(raw)
    if isinstance(document, tuple):
        return result.Failure(result.STORE_CORRUPT, f"snapshot: {document[0]}")
    return document


def compact(root: Root, parts: tuple[str, ...]) -> Root:
    """Returns the root with a snapshot of its version and no recent commits.

    Args:
        root: The current root.
        parts: Object names of the snapshot's parts.

    Returns:
        The root of the same version, which is read from the snapshot.
    """
    return dataclasses.replace(
        root,
        snapshot_version=root.version,
        snapshot_write_id=root.write_id,
        snapshot_parts=parts,
        recent=(),
    )
