"""What follows when a send of a forwarded request has come to nothing.

The rule that everything else bends to: a request that may have run is sent
again only if its route allows it to run twice. What proves that it has not
run is a connection that was never opened, or the target's own word.
"""

import dataclasses
import enum

from radishstack import invariant
from radishstack import result
from radishstack.version import route_table

# Sends that never reached a target; each costs one connect timeout at most.
MAX_FAILED_CONNECTS = 3
# Sends in all of one attempt, those with proof that nothing ran included.
MAX_SENDS = 4
# With less than this left, another send cannot be answered in time.
MIN_REMAINING_MS = 60


class Outcome(enum.Enum):
    """How a send ended."""

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
    """What to do next; ``Forwarding.allows`` says where it may be sent."""

    SEND_AGAIN = "send_again"
    SEND_LATER = "send_later"
    GIVE_UP = "give_up"


@dataclasses.dataclass(slots=True)
class Forwarding:
    """The sends of one attempt.

    Attributes:
        route: Its route.
        may_have_run: Whether a send may have run it.
        failed_connects: Sends that never reached a target.
        sends: Sends that reached one.
        reached: Instances that were sent to.
        excluded: Instances not to be chosen again.
        failure: Why it is given up, if it is.
    """

    route: route_table.Route
    may_have_run: bool = False
    failed_connects: int = 0
    sends: int = 0
    reached: set[str] = dataclasses.field(default_factory=set)
    excluded: set[str] = dataclasses.field(default_factory=set)
    failure: result.Failure | None = None

    def record_send(self, instance: str) -> None:
        """Notes a send, just before its first byte leaves."""
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
        self.sends += 1
        self.reached.add(instance)

    @property
    def may_use_another(self) -> bool:
        """Whether a target that was not reached yet may be sent to."""
        return len(self.reached) < self.route.max_targets

    def allows(self, instance: str) -> bool:
        """Whether it may be sent to a target next."""
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
        """Decides what follows the end of a send.

        Args:
            instance: Where it went.
            outcome: How it ended.
            left_ms: Time that the caller still has.
            retry_allowed: Whether the retry budget allows another send.
            begun: Whether the caller has a part of the answer.

        Returns:
            The next step; ``failure`` is set when it is to give up.
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
            # That start of the target is over, so the request is free to go
            # to another, as if this send had not been.
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
            # There is no refusal any more: cut here, all that the caller has
            # is lost. A target that was reached before may go on with it
            # while this one is full or gone.
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
        """Returns the failure of a request whose time is up."""
        if sent or self.may_have_run:
            return result.Failure(
                result.ROUTE_TIMEOUT, "the target had not answered in time"
            )
        return result.Failure(
            result.ROUTE_TIMEOUT_UNSENT, "no target could take it in time"
        )
