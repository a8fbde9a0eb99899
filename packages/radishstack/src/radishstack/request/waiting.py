"""How long a request waits for its adapter, and when it is turned away.

Decisions only: where the adapter is, and where it could be loaded, comes from
``process.placement``.
"""

import dataclasses
import random

from radishstack import result
from radishstack.process import placement as placement_lib
from radishstack.process import roster as roster_lib

# A waiting request asks again for its adapter this often; datagrams are lost
# now and then.
WANT_AGAIN_MS = 60
# A request waits for a load at most for this part of what it has left: refused
# early enough, its caller still gets a second try elsewhere.
LOAD_WAIT_PART = 0.45
# How long it waits for a first word of the processes beside engines.
UNHEARD_WAIT_MS = 600
# When to come back after a wait in vain: a load takes a moment.
LOAD_RETRY_MS = (150, 400)


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send it now.

    Attributes:
        member: The target.
        version: Version of the adapter believed there, 0 if unknown.
    """

    member: roster_lib.Member
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Look again after some news, or after a while without.

    Attributes:
        pause_ms: How long at most.
    """

    pause_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class NoTarget:
    """A sentinel: no target of the service may get it."""


Step = Send | Wait | NoTarget | result.Failure


class Waiting:
    """One request that needs an adapter, until it is sent or refused."""

    def __init__(
        self,
        adapter: str,
        *,
        began_ms: int,
        left_ms: int,
        due_at_ms: int,
        begun: bool,
        random_source: random.Random,
    ) -> None:
        """Starts to wait.

        Args:
            adapter: The adapter.
            began_ms: Now.
            left_ms: How long its caller still waits.
            due_at_ms: When it must be sent to be answered in time.
            begun: Whether the caller has a part of the answer. There is no
                refusal any more then, and a stream that was cut is worth
                nothing unless it goes on: it is tried to the end.
            random_source: Spreads returners, so that they do not meet again.
        """
        self._adapter = adapter
        self._began_ms = began_ms
        self._begun = begun
        self._random = random_source
        wait_ms = left_ms if begun else round(left_ms * LOAD_WAIT_PART)
        self._until_ms = began_ms + wait_ms
        self._due_at_ms = due_at_ms

    def end_by(self, at_ms: int) -> None:
        """Bounds the wait of a request that its process cannot outlive."""
        if not self._begun:
            self._until_ms = min(self._until_ms, at_ms)

    def patience(self, now_ms: int) -> placement_lib.WaitLimits:
        """Returns how long it may still wait."""
        return placement_lib.WaitLimits(
            in_time_ms=self._due_at_ms - self._began_ms,
            max_wait_ms=self._until_ms - now_ms,
            is_late=now_ms >= self._due_at_ms,
        )

    def decide(
        self, choice: placement_lib.Choice, *, any_usable: bool, now_ms: int
    ) -> Step:
        """Decides what to do now.

        Args:
            choice: Where the adapter is, and where it is to be loaded.
            any_usable: Whether any target may get the request.
            now_ms: Now.
        """
        if choice.send is not None:
            return Send(choice.send, choice.version)
        if choice.full_for_ms and not self._begun:
            # It would wait in vain; told at once, its caller is back when
            # the loads of now are done.
            return self._refuse(
                f"every target has loads for {choice.full_for_ms} ms",
                (choice.full_for_ms // 2, choice.full_for_ms),
            )
        if choice.load is None and not self._begun:
            # No process beside a target was heard lately: after a start or a
            # standstill here they are heard again in a moment.
            unheard_until_ms = self._began_ms + UNHEARD_WAIT_MS
            self._until_ms = min(self._until_ms, unheard_until_ms)
        if not any_usable:
            return NoTarget()
        if now_ms >= self._until_ms:
            waited_ms = now_ms - self._began_ms
            return self._refuse(
                f"{self._adapter} was not loaded in {waited_ms} ms",
                LOAD_RETRY_MS,
            )
        return Wait(min(WANT_AGAIN_MS, self._until_ms - now_ms))

    def _refuse(self, message: str, bounds_ms: tuple[int, int]) -> Step:
        retry_after_ms = round(self._random.uniform(*bounds_ms))
        return result.Failure(result.ADAPTER_LOADING, message, retry_after_ms)
