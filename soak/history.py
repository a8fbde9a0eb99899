"""History of a run as observed by callers, targets and the fault injector.

A history is stored so that it can be checked again. It contains nothing from
the logs of the programs, since a program whose log is wrong would then be
checked against its own error.
"""

import dataclasses
import json
import pathlib
import time
from typing import Any

NS_PER_MS = 1_000_000


def now_ms() -> int:
    """Returns the time on the clock of all recorded times."""
    return time.monotonic_ns() // NS_PER_MS


def vm_of(target: str) -> str:
    """Returns the VM of a target instance, as events name it."""
    parts = target.split("-")
    return f"target-{parts[1]}" if len(parts) > 1 else target


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One request as observed by its caller.

    Attributes:
        attempt_id: Id of the attempt.
        route: Name of its route.
        gateway: Number of the gateway.
        sent_at_ms: When it was sent.
        ended_at_ms: When its answer ended or its caller stopped waiting.
        status: HTTP status, 0 without an answer.
        whole: Whether the answer was complete.
        body: The received part of the body.
        left: Whether the caller disconnected before the end of the answer.
        account: The client account that held its key, empty for none.
        key: Its API key, empty for none.
        resumes: The attempt that began its stream, empty if this one does.
        after_event: Event after which it resumes the stream.
    """

    attempt_id: str
    route: str
    gateway: int
    sent_at_ms: int
    ended_at_ms: int
    status: int
    whole: bool
    body: str
    left: bool = False
    account: str = ""
    key: str = ""
    resumes: str = ""
    after_event: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One request as observed by a target.

    Attributes:
        attempt_id: Id of the attempt.
        target: Name of the target instance.
        at_ms: When it was received.
        ran: Whether it began to run.
        account: Client account in its account header.
        had_key: Whether it contained credentials.
    """

    attempt_id: str
    target: str
    at_ms: int
    ran: bool
    account: str = ""
    had_key: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class WholeAnswer:
    """A whole answer without a length, as its target sent it.

    Attributes:
        attempt_id: Id of the attempt.
        target: Name of the target instance.
        at_ms: When its last byte was sent.
    """

    attempt_id: str
    target: str
    at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSpan:
    """A period in which an engine served.

    Attributes:
        target: Name of the target instance.
        software_version: Version of its software.
        from_ms: When it was registered.
        until_ms: When it began to drain, or ended.
    """

    target: str
    software_version: str
    from_ms: int
    until_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One injected fault or operator action.

    Attributes:
        kind: Kind of the fault or action.
        victim: Component that it affects, such as ``gateway-0``, ``side-1``,
            ``target-2`` or ``store``.
        at_ms: When it began.
        until_ms: When it ended.
    """

    kind: str
    victim: str
    at_ms: int
    until_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class PoisonAttempt:
    """One attempt of a request that crashes each target that runs it.

    Attributes:
        path: What identifies it across attempts: the path of a request that is
            repeated, the prompt block that requests share.
        gateway: Number of the gateway.
        sent_at_ms: When it was sent.
    """

    path: str
    gateway: int
    sent_at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class DrainingResponse:
    """A response in which a gateway forwarded that a target is draining.

    Attributes:
        gateway: Number of the gateway.
        target: Name of the target instance.
        at_ms: When the caller received the response.
    """

    gateway: int
    target: str
    at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class BackoffResponse:
    """A response in which a target rejected an attempt and asked for a backoff.

    Attributes:
        attempt_id: Id of the rejected attempt.
        target: Name of the target instance.
        at_ms: When the target sent the response.
        rest_ms: Duration of the backoff.
    """

    attempt_id: str
    target: str
    at_ms: int
    rest_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimit:
    """A period in which a target advertised a rate limit.

    Attributes:
        target: Name of the target instance.
        limit_per_s: The limit, in requests per second.
        from_ms: When the period began.
        until_ms: When the period ended.
    """

    target: str
    limit_per_s: float
    from_ms: int
    until_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class LimitedResponse:
    """A response with an advertised rate limit that a gateway forwarded.

    Attributes:
        gateway: Number of the gateway.
        target: Name of the target instance.
        at_ms: When the caller received the response.
    """

    gateway: int
    target: str
    at_ms: int


@dataclasses.dataclass(slots=True)
class History:
    """The history of one run.

    Attributes:
        seed: Seed of the schedule.
        retry_extra: Fixed retry allowance per window, over all gateways.
        attempts: Requests as observed by callers.
        arrivals: Requests as observed by targets.
        events: Injected faults and operator actions.
        leaving: When each target was listed as draining, by target instance.
        holders: Order senders of each target, by target instance.
        overfilled: Targets that were ordered to load more adapters than fit.
        quiet_from_ms: When the last fault or action ended.
        memory_mib: Largest measured memory of each process.
        poison_attempts: Attempts of requests that crash each target that runs
            them, by attempt id.
        leavers: Responses of draining targets, as callers received them.
        rests: Responses in which targets asked for a backoff.
        rate_limits: Periods in which targets advertised a rate limit.
        limited_responses: Responses that callers received with a rate limit.
        keys_added_ms: When each rotated key was added.
        keys_removed_ms: When each rotated key was removed.
        engines: Periods in which engines served.
        whole_answers: Whole answers without a length, as targets sent them.
    """

    seed: int
    retry_extra: int
    attempts: list[Attempt] = dataclasses.field(default_factory=list)
    arrivals: list[Arrival] = dataclasses.field(default_factory=list)
    events: list[Event] = dataclasses.field(default_factory=list)
    leaving: dict[str, int] = dataclasses.field(default_factory=dict)
    holders: dict[str, list[str]] = dataclasses.field(default_factory=dict)
    overfilled: list[str] = dataclasses.field(default_factory=list)
    quiet_from_ms: int = 0
    memory_mib: dict[str, float] = dataclasses.field(default_factory=dict)
    poison_attempts: dict[str, PoisonAttempt] = dataclasses.field(
        default_factory=dict
    )
    leavers: list[DrainingResponse] = dataclasses.field(default_factory=list)
    rests: list[BackoffResponse] = dataclasses.field(default_factory=list)
    rate_limits: list[RateLimit] = dataclasses.field(default_factory=list)
    limited_responses: list[LimitedResponse] = dataclasses.field(
        default_factory=list
    )
    keys_added_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    keys_removed_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    engines: list[EngineSpan] = dataclasses.field(default_factory=list)
    whole_answers: list[WholeAnswer] = dataclasses.field(default_factory=list)

    def save(self, path: pathlib.Path) -> None:
        """Writes the history as JSON."""
        path.write_text(json.dumps(dataclasses.asdict(self)), encoding="utf-8")


def load(path: pathlib.Path) -> History:
    """Reads a stored history.

    Histories that older versions stored lack some of the fields.
    """
    raw: dict[str, Any] = json.loads(path.read_text(encoding="utf-8"))
    raw["attempts"] = [Attempt(**one) for one in raw["attempts"]]
    raw["arrivals"] = [Arrival(**one) for one in raw["arrivals"]]
    raw["events"] = [Event(**one) for one in raw["events"]]
    attempts = raw.get("poison_attempts", {})
    raw["poison_attempts"] = {
        key: PoisonAttempt(**one) for key, one in attempts.items()
    }
    raw["leavers"] = [DrainingResponse(**one) for one in raw.get("leavers", ())]
    raw["rests"] = [BackoffResponse(**one) for one in raw.get("rests", ())]
    raw["rate_limits"] = [
        RateLimit(**one) for one in raw.get("rate_limits", ())
    ]
    raw["limited_responses"] = [
        LimitedResponse(**one) for one in raw.get("limited_responses", ())
    ]
    raw["engines"] = [EngineSpan(**one) for one in raw.get("engines", ())]
    raw["whole_answers"] = [
        WholeAnswer(**one) for one in raw.get("whole_answers", ())
    ]
    return History(**raw)
