"""Reads the responses of targets to one request."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import enum
from typing import TypeVar

import anyio
from radishstack.process import roster as roster_lib
from radishstack.request import forwarding
from radishstack.request import silence

from radishd.connection import http_client
from radishd.platform import front
from radishd.process import clock
from radishd.process import target_signals
from radishd.request import gateway_interface
from radishd.request import pending_request
from radishd.request import target_selection

MS_PER_S = 1_000

Outcome = forwarding.Outcome
_Part = TypeVar("_Part")


def outcome_of(lost: http_client.Lost) -> Outcome:
    """Returns the outcome of a send whose connection was lost."""
    if lost.malformed:
        return Outcome.SPOILED
    return Outcome.SILENT if lost.timed_out else Outcome.LOST


class ReadTimeout(enum.Enum):
    """A sentinel: the target sent nothing for its idle timeout."""

    IDLE = "silent"


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """One send to one incarnation of a target.

    Attributes:
        member: The target.
        software_version: Version of its software, empty if unknown.
        connection: The connection that carries the request.
        sent_at_ms: When it was sent.
    """

    member: roster_lib.Member
    software_version: str
    connection: http_client.Connection
    sent_at_ms: int


class ResponseReader:
    """Reads each response for as long as its target is worth waiting for.

    Attributes:
        history: Each response head as ``target:connection/request:status``,
            followed by ``:skipped`` if it belongs to another request.
    """

    def __init__(
        self,
        gateway: gateway_interface.GatewayInterface,
        pending: pending_request.PendingRequest,
        targets: target_selection.TargetSelection,
    ) -> None:
        """Initializes a reader for all sends of a request.

        Args:
            gateway: The gateway.
            pending: The request.
            targets: Tells whether another target could take the request.
        """
        self.history: list[str] = []
        self._gateway = gateway
        self._pending = pending
        self._targets = targets

    async def read_head(
        self, send: Send
    ) -> http_client.Head | http_client.Lost | ReadTimeout:
        """Waits for the head of the response to this attempt."""
        connection = send.connection
        instance = send.member.listing.instance
        while True:
            head = await self.read(send, connection.head)
            if not isinstance(head, http_client.Head):
                return head
            signals = front.target_signals(head, instance)
            if signals != target_signals.NO_SIGNALS:
                self._gateway.evidence.apply_target_signals(
                    send.member, signals, self._pending.request.attempt_id
                )
            is_late = front.is_foreign(head, self._pending.request.attempt_id)
            entry = f"{instance}:{connection.label}:{head.status}"
            self.history.append(entry + ":skipped" if is_late else entry)
            limit_per_s = front.rate_limit_per_s(head, instance)
            if limit_per_s is not None:
                self._gateway.rate_limits.record_response(
                    send.member,
                    limit_per_s,
                    sent_at_ms=0 if is_late else send.sent_at_ms,
                    attempt_id=self._pending.request.attempt_id,
                )
            if not is_late:
                return head
            # A late second response to the previous request on this connection;
            # the response to this one follows.
            lost = await connection.skip()
            if lost is not None:
                return lost

    async def read(
        self, send: Send, read: Callable[[], Awaitable[_Part]]
    ) -> _Part | ReadTimeout:
        """Reads from a target with an idle timeout.

        The timeout is computed again when it expires, from the present state
        of all targets.
        """
        began_ms = clock.boot_ms()
        while True:
            idle_timeout_ms = self._idle_timeout_ms(send)
            left_ms = began_ms + idle_timeout_ms - clock.boot_ms()
            if left_ms <= 0:
                return ReadTimeout.IDLE
            with anyio.move_on_after(left_ms / MS_PER_S):
                return await read()

    def _idle_timeout_ms(self, send: Send) -> float:
        """Returns how long a target may send nothing before it is abandoned."""
        left_ms = max(0, self._pending.left_ms())
        can_reroute = (
            self._pending.route.repeatable
            and self._pending.sends.may_use_another
            and self._targets.has_other(send.member)
        )
        if self._pending.response_started and self._pending.needs_adapter:
            # The target may resume after a short pause, so a stall alone is no
            # reason to abandon a stream that has started. Another target must
            # also be able to continue it at once.
            # While this process drains, a stream that finds no place elsewhere
            # would be cut by a planned stop.
            can_reroute = (
                can_reroute
                and not self._gateway.draining
                and self._targets.can_continue_elsewhere(send.member)
            )
        if not can_reroute:
            # No idle timeout: the deadline of the request passes first.
            return self._pending.route.timeout_ms + MS_PER_S
        silence_ms = silence.allowed_ms(
            self._pending.route,
            send.member.health,
            begun=self._pending.response_started,
            now_ms=clock.boot_ms(),
        )
        if left_ms < 2 * silence_ms:
            # Too little time for another target to respond.
            return self._pending.route.timeout_ms + MS_PER_S
        return silence_ms
