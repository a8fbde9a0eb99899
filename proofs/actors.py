"""Who takes part in the world of the proofs, and what they tell each other."""

import dataclasses

from radishstack import result
from radishstack import target as target_lib
from radishstack.request import exchange as exchange_lib
from radishstack.request import run as run_lib


@dataclasses.dataclass(slots=True)
class Engine:
    """What stands behind a target process.

    Attributes:
        incarnation: Changes with every restart.
        resident: Adapters it holds.
        runs: What it runs: adapter by attempt id, None at a plain service.
        orders: Orders on their way to it, with the epoch of their sender.
        fence: Highest fencing number seen.
    """

    incarnation: int = 1
    resident: set[str] = dataclasses.field(default_factory=set)
    runs: dict[bytes, str] = dataclasses.field(default_factory=dict)
    orders: list[tuple[int, object]] = dataclasses.field(default_factory=list)
    fencing_token: int = 0


@dataclasses.dataclass(slots=True)
class ServedRun:
    """A run at a target process, as its driver keeps it."""

    run: run_lib.Run
    adapter: str
    head_sent_to: set[bytes] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class Node:
    """A target VM: the slot's process and what stands behind it."""

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
    """One submission of a request."""

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
    """A message to a request at its entry."""

    caller: int
    attempt_id: bytes
    event: object
