"""Decides the retries and the reply of one request at an entry daemon.

The reply depends on whether the request is proven not to have run. A rejection
by a target process proves it, and so does a connection that was never opened.
A lost connection proves nothing.
"""

import dataclasses
import functools

from radishstack import invariant
from radishstack import result
from radishstack.process import retry_budget
from radishstack.request import resolve
from radishstack.request import sequence

MAX_TRIES = 4
MAX_RESUMES = 8
DEFAULT_RETRY_AFTER_MS = 500
MIN_REMAINING_MS = 5


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The target process rejected the attempt."""

    failure: result.Failure


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectFailed:
    """No connection to the target process could be opened."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionLost:
    """The connection was lost after the attempt was sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseStarted:
    """The head of the response arrived; its chunks follow."""

    status: int
    content_type: str
    adapter: str


@dataclasses.dataclass(frozen=True, slots=True)
class ChunkArrived:
    """A chunk arrived."""

    number: int
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class EndArrived:
    """The explicit end of the response arrived."""

    total: int
    failure: result.Failure | None


@dataclasses.dataclass(frozen=True, slots=True)
class DeadlineExpired:
    """The caller's deadline passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller closed its connection."""


Event = (
    Rejected
    | ConnectFailed
    | ConnectionLost
    | ResponseStarted
    | ChunkArrived
    | EndArrived
    | DeadlineExpired
    | CallerDisconnected
)


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Submit a new attempt to a target."""

    target: str


@dataclasses.dataclass(frozen=True, slots=True)
class Resume:
    """Attach to the same attempt again, starting at a given chunk."""

    target: str
    next_number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Rehome:
    """Find the key's home in a newer configuration and call ``rehomed``."""


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardHead:
    """Send the caller the status line and headers.

    Attributes:
        status: HTTP status.
        content_type: Content type.
        target: Target that answers.
        adapter: Adapter that it ran, ``name@version``.
    """

    status: int
    content_type: str
    target: str
    adapter: str


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardChunk:
    """Send the caller a chunk of the response."""

    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Finish:
    """End the complete response."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyFailure:
    """Answer with a failure; abort a response that has already begun."""

    failure: result.Failure


@dataclasses.dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel the attempt at the target process."""


Action = (
    Send
    | Resume
    | Rehome
    | ForwardHead
    | ForwardChunk
    | Finish
    | ReplyFailure
    | CancelAttempt
)
Actions = list[Action]


class Exchange:
    """The state machine of one request."""

    def __init__(
        self,
        resolution: resolve.Resolution,
        candidates: list[str],
        budget: retry_budget.RetryBudget,
        *,
        deadline_at_ms: int,
    ) -> None:
        """Initializes a request.

        Args:
            resolution: What the request was resolved to.
            candidates: Targets to try, the best first.
            budget: Retry budget of the daemon.
            deadline_at_ms: When the caller stops waiting.
        """
        self.resolution = resolution
        self.untried = list(candidates)
        self.budget = budget
        self.deadline_at_ms = deadline_at_ms
        self.target = ""
        self.tries = 0
        self.resumes = 0
        self.rehomes = 0
        self.head_sent = False
        self.done = False
        self.sequence = sequence.Sequence()
        self.last_failure: result.Failure | None = None
        self.may_have_run = False

    @property
    def keyed(self) -> bool:
        """Whether an idempotency key limits it to one run."""
        return bool(self.resolution.key)

    def start(self) -> Actions:
        """Returns the first actions."""
        self.budget.earn()
        return self._try_next(0)

    def handle(self, event: Event, now_ms: int) -> Actions:
        """Handles an event.

        Args:
            event: The event.
            now_ms: Monotonic clock.

        Returns:
            The actions to perform, in order; none once the request is done.
        """
        if self.done:
            return []
        return _handle(event, self, now_ms)

    def rehomed(self, candidates: list[str], now_ms: int) -> Actions:
        """Continues at the key's home in a newer configuration, if any."""
        if self.done:
            return []
        if not candidates:
            return self._reply(self.last_failure)
        self.untried = list(candidates)
        return self._try_next(now_ms)

    def _try_next(self, now_ms: int) -> Actions:
        if not self.untried:
            return self._reply(
                self.last_failure
                or result.Failure(
                    result.NO_TARGET,
                    f"no target of {self.resolution.service.name} is usable",
                    DEFAULT_RETRY_AFTER_MS,
                )
            )
        self.target = self.untried.pop(0)
        self.tries += 1
        self.sequence = sequence.Sequence()
        return [Send(self.target)]

    def _retry(self, failure: result.Failure, now_ms: int) -> Actions:
        """Tries the next candidate if there is one and retries are allowed."""
        self.last_failure = failure
        if not self.untried or self.tries >= MAX_TRIES:
            return self._reply(failure)
        if now_ms + MIN_REMAINING_MS >= self.deadline_at_ms:
            return self._reply(failure)
        if not self.budget.spend():
            return self._reply(
                result.Failure(
                    result.RETRIES_EXHAUSTED,
                    f"{failure.message}; this entry has no retries left",
                    failure.retry_after_ms or DEFAULT_RETRY_AFTER_MS,
                    failure.proof,
                )
            )
        return self._try_next(now_ms)

    def _reply(self, failure: result.Failure) -> Actions:
        invariant.require(not self.done, result.REPLY_TWICE, failure.message)
        self.done = True
        if self.may_have_run and failure.executed is result.Executed.NO:
            # The last attempt did not run, but the connection of an earlier
            # one was lost, and that attempt may have run.
            failure = dataclasses.replace(
                failure, proof=result.Executed.UNKNOWN
            )
        return [ReplyFailure(failure)]

    def as_unproven(self, failure: result.Failure) -> result.Failure:
        """Removes the proof of "not run" if the request is keyed.

        Only the ledger of the key's home can prove that a key did not run. An
        earlier copy of a keyed request may have run.
        """
        if self.keyed and failure.executed is result.Executed.NO:
            return dataclasses.replace(failure, proof=result.Executed.UNKNOWN)
        return failure


@functools.singledispatch
def _handle(event: object, exchange: Exchange, now_ms: int) -> Actions:
    raise TypeError(f"unknown event {event!r}")


@_handle.register
def _rejected(event: Rejected, exchange: Exchange, now_ms: int) -> Actions:
    failure = event.failure
    if exchange.head_sent:
        return exchange._reply(_answer_cut(failure.message))
    if exchange.keyed:
        if failure.code is result.NOT_HOME and exchange.rehomes == 0:
            exchange.rehomes += 1
            exchange.last_failure = failure
            return [Rehome()]
        return exchange._reply(failure)
    if failure.code.retry_elsewhere and failure.executed is result.Executed.NO:
        return exchange._retry(failure, now_ms)
    return exchange._reply(failure)


@_handle.register
def _connect_failed(
    event: ConnectFailed, exchange: Exchange, now_ms: int
) -> Actions:
    del event
    failure = exchange.as_unproven(
        result.Failure(
            result.HOME_UNREACHABLE
            if exchange.keyed
            else result.TARGET_UNREACHABLE,
            f"{exchange.target} cannot be reached",
            DEFAULT_RETRY_AFTER_MS,
        )
    )
    if exchange.keyed:
        return exchange._reply(failure)
    return exchange._retry(failure, now_ms)


@_handle.register
def _connection_lost(
    event: ConnectionLost, exchange: Exchange, now_ms: int
) -> Actions:
    del event
    exchange.resumes += 1
    if exchange.resumes <= MAX_RESUMES and now_ms < exchange.deadline_at_ms:
        return [Resume(exchange.target, exchange.sequence.expected)]
    return resume_failed(exchange, now_ms)


def resume_failed(exchange: Exchange, now_ms: int) -> Actions:
    """Handles a run that could not be found or reached again.

    Args:
        exchange: The request.
        now_ms: Monotonic clock.

    Returns:
        A retry if the request may run twice and no part of the response was
        sent; otherwise a reply that the outcome is unknown.
    """
    if exchange.done:
        return []
    if exchange.head_sent:
        return exchange._reply(_answer_cut(f"{exchange.target} was lost"))
    failure = result.Failure(
        result.OUTCOME_UNKNOWN,
        f"{exchange.target} was lost while it had the request; whether it ran "
        "is not known",
        DEFAULT_RETRY_AFTER_MS,
    )
    if exchange.keyed:
        return exchange._reply(failure)
    exchange.may_have_run = True
    return exchange._retry(failure, now_ms)


def _answer_cut(reason: str) -> result.Failure:
    return result.Failure(
        result.ANSWER_CUT,
        f"the answer was cut: {reason}",
        DEFAULT_RETRY_AFTER_MS,
    )


@_handle.register
def _response_started(
    event: ResponseStarted, exchange: Exchange, now_ms: int
) -> Actions:
    del now_ms
    if exchange.head_sent:
        return []
    expected = exchange.resolution.adapter
    if event.adapter != expected and not exchange.keyed:
        failure = result.Failure(
            result.WRONG_ADAPTER,
            f"{exchange.target} ran {event.adapter!r} instead of {expected!r}",
        )
        return [CancelAttempt(), *exchange._reply(failure)]
    exchange.head_sent = True
    return [
        ForwardHead(
            event.status, event.content_type, exchange.target, event.adapter
        )
    ]


@_handle.register
def _chunk_arrived(
    event: ChunkArrived, exchange: Exchange, now_ms: int
) -> Actions:
    del now_ms
    if not exchange.head_sent:
        return [
            CancelAttempt(),
            *exchange._reply(_answer_cut("its head is missing")),
        ]
    match exchange.sequence.take(event.number):
        case sequence.Verdict.TAKE:
            return [ForwardChunk(event.payload)]
        case sequence.Verdict.SKIP:
            return []
    return [
        CancelAttempt(),
        *exchange._reply(_answer_cut("a chunk is missing")),
    ]


@_handle.register
def _end_arrived(event: EndArrived, exchange: Exchange, now_ms: int) -> Actions:
    is_complete = exchange.sequence.end(event.total)
    if event.failure is not None:
        if not exchange.head_sent and not exchange.keyed:
            # No part of the response was sent, and it may run twice.
            if event.failure.executed is not result.Executed.NO:
                exchange.may_have_run = True
            return exchange._retry(event.failure, now_ms)
        return exchange._reply(event.failure)
    if not is_complete or not exchange.head_sent:
        return exchange._reply(
            _answer_cut("a part of it is missing at its end")
        )
    exchange.done = True
    return [Finish()]


@_handle.register
def _deadline_expired(
    event: DeadlineExpired, exchange: Exchange, now_ms: int
) -> Actions:
    del event, now_ms
    if exchange.head_sent:
        failure = _answer_cut("its deadline passed")
    else:
        failure = result.Failure(
            result.OUTCOME_UNKNOWN,
            "the deadline passed before the target answered",
            DEFAULT_RETRY_AFTER_MS,
        )
    return [CancelAttempt(), *exchange._reply(failure)]


@_handle.register
def _caller_disconnected(
    event: CallerDisconnected, exchange: Exchange, now_ms: int
) -> Actions:
    del event, now_ms
    exchange.done = True
    return [CancelAttempt()]
