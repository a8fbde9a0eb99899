"""What callers, targets and the injector saw, kept so that it is judged again.

Nothing here comes from logs of the programs: a program that is wrong about
what it did would be judged by its own mistake.
"""

import dataclasses
import json
import pathlib
import time
from typing import Any

NS_PER_MS = 1_000_000


def now_ms() -> int:
    """Returns the clock by which everything is kept."""
    return time.monotonic_ns() // NS_PER_MS


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One request as its caller saw it.

    Attributes:
        attempt_id: Its name.
        route: Name of its route.
        gateway: Number of the gateway.
        sent_at_ms: When it was sent.
        ended_at_ms: When its answer, or the wait for it, ended.
        status: HTTP status, 0 without an answer.
        whole: Whether the answer ended as a whole one does.
        body: The body as far as it came.
        left: Whether the caller left before the answer.
        account: The client account that held its key, empty for none.
        key: Its API key, empty for none.
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


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One request as a target saw it.

    Attributes:
        attempt_id: Its name.
        target: Name of the target's start.
        at_ms: When it was read.
        ran: Whether it began to run.
        account: The client account that it was sent for.
        had_key: Whether it came with credentials.
    """

    attempt_id: str
    target: str
    at_ms: int
    ran: bool
    account: str = ""
    had_key: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One thing that was done from outside.

    Attributes:
        kind: What.
        victim: To whom: ``gateway-0``, ``side-1``, ``store``, a target.
        at_ms: When it began.
        until_ms: When it ended.
    """

    kind: str
    victim: str
    at_ms: int
    until_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class PoisonAttempt:
    """One attempt of a request that ends each target that runs it.

    Attributes:
        path: Its path; attempts of the same path are the same request.
        gateway: Number of the gateway.
        sent_at_ms: When it was sent.
    """

    path: str
    gateway: int
    sent_at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class DrainingResponse:
    """A gateway passed on a target's word that it leaves.

    Attributes:
        gateway: Number of the gateway.
        target: Name of the target's start.
        at_ms: When its caller had the answer.
    """

    gateway: int
    target: str
    at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class BackoffResponse:
    """A target turned an attempt away and asked for rest.

    Attributes:
        attempt_id: The attempt.
        target: Name of the target's start.
        at_ms: When.
        rest_ms: For how long.
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
    """A response with an advertised rate limit that a gateway passed on.

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
    """All of one run.

    Attributes:
        seed: Seed of the schedule.
        retry_extra: Fixed allowance of repeats in a window, over all gateways.
        attempts: As callers saw them.
        arrivals: As targets saw them.
        events: Faults and planned work.
        leaving: When each target was said to leave, by its name.
        holders: Names under which each target was given orders.
        overfilled: Targets that were ordered to hold too much.
        quiet_from_ms: From when on nothing was done any more.
        memory_mib: Largest memory of each process.
        poison_attempts: Attempts that end each target that runs them, by name.
        leavers: Words of targets that leave, as callers had them.
        rests: Words of targets that want no work for a while.
        rate_limits: Periods in which targets advertised a rate limit.
        limited_responses: Responses that callers received with a rate limit.
        keys_added_ms: When each key that changes was added.
        keys_removed_ms: When each of them was taken away.
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

    def save(self, path: pathlib.Path) -> None:
        """Writes it as JSON."""
        path.write_text(json.dumps(dataclasses.asdict(self)), encoding="utf-8")


def load(path: pathlib.Path) -> History:
    """Reads a history that was saved."""
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
    return History(**raw)
