"""What happens to a target process, and what it decides to do."""

import dataclasses

from radishstack import attempt as attempt_lib
from radishstack import result
from radishstack.process import ledger as ledger_lib
from radishstack.process import residency
from radishstack.version import holder as holder_lib


@dataclasses.dataclass(frozen=True, slots=True)
class Submitted:
    """An entry daemon asks for an attempt to be run."""

    attempt: attempt_lib.Attempt


@dataclasses.dataclass(frozen=True, slots=True)
class Cancelled:
    """The last reader of an attempt has left."""

    attempt_id: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class PriorsAnswered:
    """Former homes answered, or did not in time.

    Attributes:
        attempt_id: The attempt that waits for it.
        answer: The worst of their answers.
    """

    attempt_id: bytes
    answer: ledger_lib.SealReply


@dataclasses.dataclass(frozen=True, slots=True)
class SealAsked:
    """A new home wants to run a key."""

    key: ledger_lib.Key
    asker: str
    seal_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class Loaded:
    """The engine says a load is done.

    Attributes:
        adapter: What is loaded.
        incarnation: The incarnation that answers. If it is not the one that
            was seen last, the engine has restarted and the load means
            nothing until it has been seen again.
        order: Fencing number of the order.
    """

    adapter: str
    incarnation: str
    order: int


@dataclasses.dataclass(frozen=True, slots=True)
class LoadFailed:
    """The engine refused a load, or does not list it after a lost answer."""

    adapter: str
    incarnation: str
    order: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unloaded:
    """The engine says an unload is done."""

    adapter: str
    incarnation: str
    order: int


@dataclasses.dataclass(frozen=True, slots=True)
class UnloadFailed:
    """The engine still lists the adapter after an unload order."""

    adapter: str
    incarnation: str
    order: int


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSeen:
    """The engine's own word on itself.

    Attributes:
        incarnation: Changes with every start of the engine.
        resident: Adapters it lists.
        asked_at_ms: When it was asked; orders given since may not show.
    """

    incarnation: str
    resident: frozenset[str]
    asked_at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class EngineLost:
    """The engine does not answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reported:
    """The engine's own word on what an attempt runs on."""

    attempt_id: bytes
    adapter: str


@dataclasses.dataclass(frozen=True, slots=True)
class RunEnded:
    """A dispatched attempt's last byte has come, or its failure.

    Attributes:
        attempt_id: The attempt.
        ran: False if the target itself said that it did not run it.
    """

    attempt_id: bytes
    ran: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class LeavingLearned:
    """The platform, or a signal, says that this VM leaves."""


@dataclasses.dataclass(frozen=True, slots=True)
class VersionHeld:
    """A newer configuration is in force here."""

    held: holder_lib.Held


@dataclasses.dataclass(frozen=True, slots=True)
class Ticked:
    """Time has passed."""


Event = (
    Submitted
    | Cancelled
    | PriorsAnswered
    | SealAsked
    | Loaded
    | LoadFailed
    | Unloaded
    | UnloadFailed
    | EngineSeen
    | EngineLost
    | Reported
    | RunEnded
    | LeavingLearned
    | VersionHeld
    | Ticked
)


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """Run the attempt now; the grant holds until ``RunEnded``.

    Attributes:
        attempt: The attempt.
        grant: Its grant, None at a plain service.
        stalled_ms: How long it waited with its adapter not resident at
            first; 0 if it was.
    """

    attempt: attempt_lib.Attempt
    grant: residency.Grant | None
    stalled_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Answer every reader of the attempt with a failure."""

    attempt_id: bytes
    failure: result.Failure


@dataclasses.dataclass(frozen=True, slots=True)
class Join:
    """Let a submission read the run of the attempt that owns its key."""

    attempt_id: bytes
    owner_id: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class AskPriors:
    """Ask former homes to seal a key."""

    attempt_id: bytes
    key: ledger_lib.Key
    targets: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerSeal:
    """Answer a new home."""

    seal_id: int
    answer: ledger_lib.SealReply


@dataclasses.dataclass(frozen=True, slots=True)
class StartLoad:
    """Order the engine to load an adapter."""

    adapter: str
    incarnation: str
    order: int


@dataclasses.dataclass(frozen=True, slots=True)
class StartUnload:
    """Order the engine to unload an adapter that nobody uses."""

    adapter: str
    incarnation: str
    order: int


@dataclasses.dataclass(frozen=True, slots=True)
class Abort:
    """Cancel a run at the engine and end it with a failure."""

    attempt_id: bytes
    failure: result.Failure


@dataclasses.dataclass(frozen=True, slots=True)
class Forget:
    """Drop the kept answers of these attempts."""

    attempt_ids: tuple[bytes, ...]


Action = (
    Dispatch
    | Refuse
    | Join
    | AskPriors
    | AnswerSeal
    | StartLoad
    | StartUnload
    | Abort
    | Forget
)
