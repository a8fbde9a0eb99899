"""Simulated processes and callers, and the messages between them."""

import dataclasses

from radishstack import result
from radishstack import target as target_lib
from radishstack.request import exchange as exchange_lib
from radishstack.request import run as run_lib


@dataclasses.dataclass(slots=True)
class Engine:
    """The simulated engine or plain service behind a target process.

    Attributes:
        incarnation: Changes with every restart.
        resident: Adapters that are loaded.
        runs: Running attempts: adapter by attempt id, empty at a plain service.
        orders: Load and unload orders in flight, each with the epoch of the
            process that sent it.
        fencing_token: Lowest order number that it still executes.
    """

    incarnation: int = 1
    resident: set[str] = dataclasses.field(default_factory=set)
    runs: dict[bytes, str] = dataclasses.field(default_factory=dict)
    orders: list[tuple[int, object]] = dataclasses.field(default_factory=list)
    fencing_token: int = 0


@dataclasses.dataclass(slots=True)
class ServedRun:
    """A run at a target process and the state that its driver keeps.

    Attributes:
        run: The run with its readers.
        adapter: Its adapter, empty at a plain service.
        head_sent_to: Attempts that the response head was sent to.
    """

    run: run_lib.Run
    adapter: str
    head_sent_to: set[bytes] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class Node:
    """A target VM: the target process and the engine or service behind it.

    Attributes:
        name: Name of the target.
        engine: The engine or service.
        state_machine: The process, None while it is down.
        epoch: Number of process starts.
        paused: Whether the process is paused.
        listed_draining: Not used.
        servings: Runs by attempt id.
        owners: Attempt id of the run that each attempt reads.
    """

    name: str
    engine: Engine
    state_machine: target_lib.Target | None = None
    epoch: int = 0
    paused: bool = False
    listed_draining: bool = False
    servings: dict[bytes, ServedRun] = dataclasses.field(default_factory=dict)
    owners: dict[bytes, bytes] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Caller:
    """One submission of a request.

    Attributes:
        number: Index among all callers.
        service: Name of the service.
        adapter: Adapter that was requested.
        key: Idempotency key, empty without one.
        submitted_ms: Time of the submission.
        exchange: The exchange at the entry.
        attempt_id: The latest attempt.
        attempts: All attempts.
        chunks: Chunks that the caller received.
        response_adapter: Adapter that the response head named.
        outcome: "ok" or the failure, None while the request is open.
        replied_at_ms: Time of the outcome.
    """

    number: int
    service: str
    adapter: str
    key: str
    submitted_ms: int
    exchange: exchange_lib.Exchange | None = None
    attempt_id: bytes = b""
    attempts: list[bytes] = dataclasses.field(default_factory=list)
    chunks: list[bytes] = dataclasses.field(default_factory=list)
    response_adapter: str = ""
    outcome: result.Failure | str | None = None
    replied_at_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class MessageToTarget:
    """A message to a target process."""

    node: str
    epoch: int
    kind: str
    body: object
    caller: int


@dataclasses.dataclass(frozen=True, slots=True)
class MessageToCaller:
    """A message to the exchange of a request."""

    caller: int
    attempt_id: bytes
    event: object
