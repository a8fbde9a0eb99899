"""Events that a target process handles, and actions that result."""

import dataclasses

from radishstack import attempt as attempt_lib
from radishstack import result
from radishstack.process import ledger as ledger_lib
from radishstack.process import residency
from radishstack.version import holder as holder_lib


@dataclasses.dataclass(frozen=True, slots=True)
class Submitted:
    """An entry daemon submitted an attempt."""

    attempt: attempt_lib.Attempt


@dataclasses.dataclass(frozen=True, slots=True)
class Cancelled:
    """The last reader of an attempt disconnected."""

    attempt_id: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class PriorHomesAnswered:
    """All former homes answered or timed out.

    Attributes:
        attempt_id: The attempt that waits for the answers.
        answer: The worst of the answers.
    """

    attempt_id: bytes
    answer: ledger_lib.SealReply


@dataclasses.dataclass(frozen=True, slots=True)
class SealRequested:
    """A new home asked to seal a key before it runs the key itself."""

    key: ledger_lib.Key
    asker: str
    seal_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class Loaded:
    """The engine reported that a load is done.

    Attributes:
        adapter: The loaded adapter.
        incarnation: The incarnation that answered. If it differs from the one
            observed last, the engine has restarted, and the load is ignored;
            the next observation of the engine shows what is loaded.
        order: Fencing number of the load.
    """

    adapter: str
    incarnation: str
    order: int


@dataclasses.dataclass(frozen=True, slots=True)
class LoadFailed:
    """The engine rejected a load, or lacks it after a lost response."""

    adapter: str
    incarnation: str
    order: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unloaded:
    """The engine reported that an unload is done."""

    adapter: str
    incarnation: str
    order: int


@dataclasses.dataclass(frozen=True, slots=True)
class UnloadFailed:
    """The engine still lists the adapter after an unload."""

    adapter: str
    incarnation: str
    order: int


@dataclasses.dataclass(frozen=True, slots=True)
class EngineObserved:
    """The engine reported its state.

    Attributes:
        incarnation: Changes with every start of the engine.
        resident: Adapters that the engine lists.
        asked_at_ms: When the state was requested; it may not reflect loads and
            unloads started since.
    """

    incarnation: str
    resident: frozenset[str]
    asked_at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class EngineLost:
    """The engine does not answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class AdapterReported:
    """The engine reported the adapter that an attempt runs on."""

    attempt_id: bytes
    adapter: str


@dataclasses.dataclass(frozen=True, slots=True)
class RunEnded:
    """A dispatched attempt completed or failed.

    Attributes:
        attempt_id: The attempt.
        ran: False if the target reported that it did not run the attempt.
    """

    attempt_id: bytes
    ran: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class DrainRequested:
    """The platform or a signal requested that this VM be drained."""


@dataclasses.dataclass(frozen=True, slots=True)
class VersionActivated:
    """A newer configuration version is in force."""

    held: holder_lib.HeldVersion


@dataclasses.dataclass(frozen=True, slots=True)
class Ticked:
    """The periodic timer fired."""


Event = (
    Submitted
    | Cancelled
    | PriorHomesAnswered
    | SealRequested
    | Loaded
    | LoadFailed
    | Unloaded
    | UnloadFailed
    | EngineObserved
    | EngineLost
    | AdapterReported
    | RunEnded
    | DrainRequested
    | VersionActivated
    | Ticked
)


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """Run the attempt now; the grant holds until ``RunEnded``.

    Attributes:
        attempt: The attempt.
        grant: Its grant, None at a plain service.
        stalled_ms: How long it waited if its adapter was not resident when
            it was queued, otherwise 0.
    """

    attempt: attempt_lib.Attempt
    grant: residency.Grant | None
    stalled_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Reject:
    """Send every reader of the attempt a failure."""

    attempt_id: bytes
    failure: result.Failure


@dataclasses.dataclass(frozen=True, slots=True)
class Join:
    """Attach a submission to the run of the attempt that owns its key."""

    attempt_id: bytes
    owner_id: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class AskPriorHomes:
    """Ask former homes to seal a key."""

    attempt_id: bytes
    key: ledger_lib.Key
    targets: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerSeal:
    """Answer a seal request of a new home."""

    seal_id: int
    answer: ledger_lib.SealReply


@dataclasses.dataclass(frozen=True, slots=True)
class StartLoad:
    """Load an adapter into the engine."""

    adapter: str
    incarnation: str
    order: int


@dataclasses.dataclass(frozen=True, slots=True)
class StartUnload:
    """Unload an unused adapter from the engine."""

    adapter: str
    incarnation: str
    order: int


@dataclasses.dataclass(frozen=True, slots=True)
class Abort:
    """Cancel a run at the engine and end it with a failure."""

    attempt_id: bytes
    failure: result.Failure


@dataclasses.dataclass(frozen=True, slots=True)
class DropAnswers:
    """Drop the kept answers of these attempts."""

    attempt_ids: tuple[bytes, ...]


Action = (
    Dispatch
    | Reject
    | Join
    | AskPriorHomes
    | AnswerSeal
    | StartLoad
    | StartUnload
    | Abort
    | DropAnswers
)
