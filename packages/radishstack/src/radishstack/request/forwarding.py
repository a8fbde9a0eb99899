"""Decides whether and where a forwarded request is sent again.

A request that may have run is sent again only if its route allows it to run
twice; no other rule overrides this. Only two things prove that a request did
not run: the connection was never opened, or the target states it.
"""

import dataclasses
import enum

from radishstack import invariant
from radishstack import result
from radishstack.version import route_table

# Each failed connect costs at most one connect timeout.
MAX_FAILED_CONNECTS = 3
# Includes sends that are proven not to have run.
MAX_SENDS = 4
# With less time remaining, another send cannot be answered in time.
MIN_REMAINING_MS = 60


class Outcome(enum.Enum):
    """How a send ended; the values are log and metric labels.

    Attributes:
        UNSENT: The connection could not be opened.
        SHED: The target rejected the request because of its load.
        MISMATCH: The target rejected the request as misdirected.
        GONE: Another incarnation of the target rejected the request.
        LOST: The connection was lost before the response was complete.
        SPOILED: The response was invalid or too large.
        SILENT: The response stalled.
        FAILED: The target answered with a failure.
    """

    UNSENT = "unsent"
    SHED = "shed"
    MISMATCH = "mismatch"
    GONE = "gone"
    LOST = "lost"
    SPOILED = "spoiled"
    SILENT = "silent"
    FAILED = "failed"


_MAY_HAVE_RUN = frozenset(
    {Outcome.LOST, Outcome.SPOILED, Outcome.SILENT, Outcome.FAILED}
)
_CODES = {
    Outcome.UNSENT: result.TARGET_UNREACHABLE,
    Outcome.SHED: result.TARGET_SHED,
    Outcome.MISMATCH: result.TARGET_MISMATCH,
    Outcome.GONE: result.TARGET_MISMATCH,
    Outcome.LOST: result.ANSWER_LOST,
    Outcome.SPOILED: result.ANSWER_SPOILED,
    Outcome.SILENT: result.ANSWER_LOST,
    Outcome.FAILED: result.TARGET_FAILED,
}


class Step(enum.Enum):
    """The next step; ``Forwarding.allows`` checks each possible target."""

    SEND_AGAIN = "send_again"
    SEND_LATER = "send_later"
    GIVE_UP = "give_up"


@dataclasses.dataclass(slots=True)
class Forwarding:
    """The sends of one attempt.

    Attributes:
        route: The route of the request.
        may_have_run: Whether a target may have run the request.
        failed_connects: How many connections could not be opened.
        sends: How many times the request was sent to a target.
        reached: Instances that the request was sent to.
        excluded: Instances not to be chosen again.
        used_connections: Numbers of the connections that carried a send. None
            of them carries another one, since a late second response to the
            first send would look like the response to the second.
        failure: Why the request failed, None as long as it has not.
    """

    route: route_table.Route
    may_have_run: bool = False
    failed_connects: int = 0
    sends: int = 0
    reached: set[str] = dataclasses.field(default_factory=set)
    excluded: set[str] = dataclasses.field(default_factory=set)
    used_connections: set[int] = dataclasses.field(default_factory=set)
    failure: result.Failure | None = None

    def record_send(self, instance: str, connection_number: int) -> None:
        """Records a send, just before its first byte is sent.

        Args:
            instance: Instance that the request is sent to.
            connection_number: Number of the connection that carries it.
        """
        invariant.require(
            self.allows(instance),
            result.SENT_AFTER_POSSIBLE_RUN,
            f"{self.route.name}: {instance} is one target too many",
        )
        invariant.require(
            not self.may_have_run or self.route.repeatable,
            result.SENT_AFTER_POSSIBLE_RUN,
            f"{self.route.name} to {instance}",
        )
        invariant.require(
            connection_number not in self.used_connections,
            result.CONNECTION_REUSED,
            f"{self.route.name} to {instance} on {connection_number}",
        )
        self.used_connections.add(connection_number)
        self.sends += 1
        self.reached.add(instance)

    @property
    def may_use_another(self) -> bool:
        """Whether the request may be sent to one more target."""
        return len(self.reached) < self.route.max_targets

    def allows(self, instance: str) -> bool:
        """Whether the request may be sent to a target next."""
        if instance in self.excluded:
            return False
        return self.may_use_another or instance in self.reached

    def ended(
        self,
        instance: str,
        outcome: Outcome,
        left_ms: int,
        *,
        retry_allowed: bool,
        begun: bool = False,
    ) -> Step:
        """Decides the next step after a send ended.

        Args:
            instance: Instance that the request was sent to.
            outcome: How the send ended.
            left_ms: Time until the caller's deadline.
            retry_allowed: Whether the retry budget allows another send.
            begun: Whether the caller has received a part of the response.

        Returns:
            The next step; ``failure`` is set if it is ``GIVE_UP``.
        """
        if outcome is Outcome.UNSENT:
            self.failed_connects += 1
            self.excluded.add(instance)
            if (
                self.failed_connects <= MAX_FAILED_CONNECTS
                and left_ms > MIN_REMAINING_MS
            ):
                return Step.SEND_AGAIN
            return self._fail(outcome)
        if outcome is Outcome.GONE:
            # That incarnation of the target has ended, so this send does not
            # count against the number of targets that the route allows.
            self.reached.discard(instance)
            self.excluded.add(instance)
        if outcome in _MAY_HAVE_RUN:
            self.may_have_run = True
        if self.may_have_run and not self.route.repeatable:
            return self._fail(outcome)
        exhausted = self.sends >= MAX_SENDS or left_ms <= MIN_REMAINING_MS
        if exhausted or not retry_allowed:
            return self._fail(outcome)
        if self.may_use_another:
            self.excluded.add(instance)
            return Step.SEND_AGAIN
        if begun:
            # A response that has begun can no longer be rejected, and if it
            # were cut here, the part that the caller has would be lost. A
            # target that was reached before may resume it while this one is
            # full or gone.
            self.excluded = {instance} if len(self.reached) > 1 else set()
            return Step.SEND_LATER
        if outcome is Outcome.MISMATCH:
            return Step.SEND_AGAIN
        return self._fail(outcome)

    def _fail(self, outcome: Outcome) -> Step:
        code = _CODES[outcome]
        if self.may_have_run and code.executed is result.Executed.NO:
            code = result.OUTCOME_UNKNOWN
        self.failure = result.Failure(
            code, f"the last send was {outcome.value}"
        )
        return Step.GIVE_UP

    def timeout_failure(self, *, sent: bool) -> result.Failure:
        """Returns the failure of a request whose deadline passed."""
        if sent or self.may_have_run:
            return result.Failure(
                result.ROUTE_TIMEOUT, "the target had not answered in time"
            )
        return result.Failure(
            result.ROUTE_TIMEOUT_UNSENT, "no target could take it in time"
        )
