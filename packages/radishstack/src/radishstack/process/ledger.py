"""Tracks idempotency keys in memory, so that each key runs at most once.

Each key has one home among the configured targets, and only its home may run
it. If the home cannot know whether a key has run, because it restarted or a
former home does not answer, it reports the key as unknown and does not run it.
"""

import dataclasses
import enum

from radishstack import invariant
from radishstack import result

MAX_RECORDS = 100_000
SEAL_EXTRA_RETENTION_MS = 600_000

Key = tuple[str, str]


class KeyState(enum.Enum):
    """State of a key.

    Attributes:
        ASKING: Claimed; former homes are being asked for a seal.
        QUEUED: Claimed and waiting for its dispatch.
        STARTED: Dispatched.
        ENDED: Has run.
        REFUSED: Rejected without having run.
        SEALED: Sealed; the targets in ``Record.sealed_for`` must be asked
            before the key runs here.
    """

    ASKING = "asking"
    QUEUED = "queued"
    STARTED = "started"
    ENDED = "ended"
    REFUSED = "refused"
    SEALED = "sealed"


class SealReply(enum.IntEnum):
    """The reply to a seal request; the number is sent on the wire."""

    SEALED = 0
    RAN = 1
    UNKNOWN = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """The record of one key.

    Attributes:
        state: State of the key.
        digest: Digest of the body that the key was used with.
        attempt_id: The attempt that owns the key.
        at_ms: When the key entered this state.
        keep_until_ms: When the record expires, if its state allows it.
        sealed_for: Targets that requested a seal. Each of them may have run the
            key since then and is asked before the key runs here.
        window_ms: How long the record is kept after the run ended.
    """

    state: KeyState
    digest: bytes
    attempt_id: bytes
    at_ms: int
    keep_until_ms: int = 0
    sealed_for: tuple[str, ...] = ()
    window_ms: int = 0


class Verdict(enum.Enum):
    """What to do with a submission of a key.

    Attributes:
        CLAIM: Claim the key and run it.
        JOIN: Join the attempt that owns the key.
        REUSED: Reject, because the key was used with another body.
        QUARANTINED: Reject, because the key may have run before a restart.
        LATE: Reject, because the request was accepted before the key was
            reported as not run.
        FULL: Reject, because the ledger is full.
    """

    CLAIM = "claim"
    JOIN = "join"
    REUSED = "reused"
    QUARANTINED = "quarantined"
    LATE = "late"
    FULL = "full"


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """A verdict and the record that it is based on."""

    verdict: Verdict
    record: Record | None = None


_EXPIRABLE_STATES = (KeyState.ENDED, KeyState.REFUSED, KeyState.SEALED)
_CLAIMABLE_STATES = (KeyState.REFUSED, KeyState.SEALED)


class Ledger:
    """The keys of one target process."""

    def __init__(
        self, *, quarantine_until_ms: int, max_records: int = MAX_RECORDS
    ) -> None:
        """Starts empty.

        Args:
            quarantine_until_ms: Until when a key without a record may have run
                before this process started.
            max_records: Maximum number of records. A full ledger rejects new
                keys, because a key whose record is dropped early could run
                twice.
        """
        self.quarantine_until_ms = quarantine_until_ms
        self.max_records = max_records
        self.records: dict[Key, Record] = {}
        self._starts: dict[Key, int] = {}

    def decide(
        self, key: Key, *, digest: bytes, accepted_at_ms: int, now_ms: int
    ) -> Decision:
        """Decides what to do with a submission, without side effects.

        Args:
            key: Service and idempotency key.
            digest: Digest of the request body.
            accepted_at_ms: When the entry daemon accepted the request, on the
                clock of this process.
            now_ms: Now.

        Returns:
            The decision.
        """
        record = self.records.get(key)
        if record is None:
            if now_ms < self.quarantine_until_ms:
                return Decision(Verdict.QUARANTINED)
            if len(self.records) >= self.max_records:
                return Decision(Verdict.FULL)
            return Decision(Verdict.CLAIM)
        if record.state is KeyState.SEALED:
            return Decision(Verdict.CLAIM, record)
        if record.state is KeyState.REFUSED:
            # A caller received the reply that the key did not run. A copy that
            # was accepted before and arrives late would make the reply false.
            if accepted_at_ms <= record.at_ms:
                return Decision(Verdict.LATE, record)
            return Decision(Verdict.CLAIM, record)
        if record.digest != digest:
            return Decision(Verdict.REUSED, record)
        return Decision(Verdict.JOIN, record)

    def claim(
        self,
        key: Key,
        *,
        state: KeyState,
        attempt_id: bytes,
        digest: bytes,
        window_ms: int,
        now_ms: int,
    ) -> None:
        """Assigns a key to an attempt, in the state ASKING or QUEUED."""
        record = self.records.get(key)
        is_owner = record is not None and record.attempt_id == attempt_id
        invariant.require(
            record is None or is_owner or record.state in _CLAIMABLE_STATES,
            result.DISPATCHED_TWICE,
            f"claim of {key} in state {record.state if record else None}",
        )
        # The seal is kept, because a rejected claim does not show whether the
        # target that the key was sealed for has run it.
        self.records[key] = Record(
            state,
            digest,
            attempt_id,
            now_ms,
            keep_until_ms=record.keep_until_ms if record else 0,
            sealed_for=record.sealed_for if record else (),
            window_ms=window_ms,
        )

    def start(self, key: Key, attempt_id: bytes, now_ms: int) -> None:
        """Marks a key as started, immediately before its dispatch."""
        record = self.records.get(key)
        invariant.require(
            record is not None and record.attempt_id == attempt_id,
            result.DISPATCHED_TWICE,
            f"start of {key} by an attempt that does not own it",
        )
        invariant.require(
            record.state is KeyState.QUEUED,
            result.REFUSED_AND_RUN
            if record.state is KeyState.REFUSED
            else result.DISPATCHED_TWICE,
            f"start of {key} in state {record.state}",
        )
        self._starts[key] = self._starts.get(key, 0) + 1
        invariant.require(
            self._starts[key] <= 1,
            result.DISPATCHED_TWICE,
            f"{key} started {self._starts[key]} times",
        )
        self.records[key] = dataclasses.replace(
            record, state=KeyState.STARTED, at_ms=now_ms
        )

    def end(self, key: Key, now_ms: int) -> None:
        """Marks a key as ended and keeps it for its retry window."""
        record = self.records[key]
        self.records[key] = dataclasses.replace(
            record,
            state=KeyState.ENDED,
            at_ms=now_ms,
            keep_until_ms=now_ms + record.window_ms,
        )

    def withdraw(self, key: Key, now_ms: int) -> None:
        """Undoes a start that the target rejected without running it."""
        record = self.records[key]
        invariant.require(
            record.state is KeyState.STARTED,
            result.REFUSED_AND_RUN,
            f"withdrawal of {key} in state {record.state}",
        )
        del self._starts[key]
        self.records[key] = dataclasses.replace(
            record,
            state=KeyState.REFUSED,
            at_ms=now_ms,
            keep_until_ms=max(record.keep_until_ms, now_ms + record.window_ms),
        )

    def refuse(self, key: Key, now_ms: int) -> None:
        """Marks a claimed key as not run; a later submission may run it."""
        record = self.records[key]
        invariant.require(
            record.state in (KeyState.ASKING, KeyState.QUEUED),
            result.REFUSED_AND_RUN,
            f"refusal of {key} in state {record.state}",
        )
        self.records[key] = dataclasses.replace(
            record,
            state=KeyState.REFUSED,
            at_ms=now_ms,
            keep_until_ms=max(record.keep_until_ms, now_ms + record.window_ms),
        )

    def seal(
        self, key: Key, *, asker: str, window_ms: int, now_ms: int
    ) -> SealReply:
        """Handles a seal request from a new home that is about to run a key.

        After ``SEALED``, the key cannot start here before the asker has been
        asked in turn.

        Args:
            key: Service and idempotency key.
            asker: The target that is about to run the key.
            window_ms: The service's retry window.
            now_ms: Now.

        Returns:
            Whether the key is sealed, has run here, or neither is certain.
        """
        record = self.records.get(key)
        if record is None and now_ms < self.quarantine_until_ms:
            return SealReply.UNKNOWN
        if record is not None:
            if record.state in (KeyState.STARTED, KeyState.ENDED):
                return SealReply.RAN
            if record.state in (KeyState.ASKING, KeyState.QUEUED):
                return SealReply.UNKNOWN
        sealed_for = {asker, *(record.sealed_for if record else ())}
        self.records[key] = Record(
            KeyState.SEALED,
            b"",
            b"",
            now_ms,
            keep_until_ms=now_ms + window_ms + SEAL_EXTRA_RETENTION_MS,
            sealed_for=tuple(sorted(sealed_for)),
        )
        return SealReply.SEALED

    def expire(self, now_ms: int) -> list[bytes]:
        """Drops expired records.

        Returns:
            The attempts whose kept responses may be dropped as well.
        """
        expired = [
            (key, record)
            for key, record in self.records.items()
            if record.state in _EXPIRABLE_STATES
            and record.keep_until_ms <= now_ms
        ]
        for key, _ in expired:
            del self.records[key]
            self._starts.pop(key, None)
        return [record.attempt_id for _, record in expired if record.attempt_id]
