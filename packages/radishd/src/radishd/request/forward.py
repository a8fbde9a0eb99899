"""Forwards one caller's request to targets, and the response back.

The decisions are made in ``radishstack``: ``placement`` chooses the target,
and ``forwarding`` what follows a failed send.
"""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import enum
from typing import TypeVar

import anyio
from radishstack import invariant
from radishstack import result
from radishstack.process import crash_evidence
from radishstack.process import placement as placement_lib
from radishstack.process import roster as roster_lib
from radishstack.process import usage_books
from radishstack.request import admission as admission_lib
from radishstack.request import event_stream
from radishstack.request import fingerprint as fingerprint_lib
from radishstack.request import forwarding
from radishstack.request import silence
from radishstack.request import waiting as waiting_lib

from radishd.connection import http_client
from radishd.platform import front
from radishd.process import clock
from radishd.process import load_requests as load_requests_lib
from radishd.process import rate_limits as rate_limits_lib
from radishd.process import web
from radishd.request import gateway_interface

MS_PER_S = 1_000
# Ranges of retry delays. The delay is short after a rejection by a full or
# restarted target, because another target can accept the request at once.
SHED_RETRY_MS = (30, 150)
NO_TARGET_RETRY_MS = (300, 900)
# Fraction of its latency objective that a request may always wait for its
# adapter, however late engines respond.
MIN_WAIT_FRACTION = 0.5
MAX_BUFFERED_BYTES = 8 * 1024 * 1024
PRIORITY_MAX = 9

Outcome = forwarding.Outcome
# Outcomes of a send that may be due to a crash of its target.
_POSSIBLE_CRASH = frozenset({Outcome.LOST, Outcome.SPOILED})
# Outcomes of a send that prove that the request did not run.
_NOT_RUN = frozenset(
    {Outcome.UNSENT, Outcome.SHED, Outcome.MISMATCH, Outcome.GONE}
)
_Part = TypeVar("_Part")


class ResponseAbortedError(Exception):
    """Aborts a response that has started, so that it looks incomplete."""


def _outcome_of(lost: http_client.Lost) -> Outcome:
    """Returns the outcome of a send whose connection was lost."""
    if lost.malformed:
        return Outcome.SPOILED
    return Outcome.SILENT if lost.timed_out else Outcome.LOST


class ReadTimeout(enum.Enum):
    """A sentinel: the target sent nothing for its idle timeout."""

    IDLE = "silent"


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """One send to one incarnation of a target."""

    member: roster_lib.Member
    connection: http_client.Connection
    sent_at_ms: int


class Forward:
    """One request of a caller, until its response is complete."""

    def __init__(
        self,
        gateway: gateway_interface.GatewayInterface,
        request: front.Request,
        admission: admission_lib.Admission,
        body: bytes,
        send: web.Send,
        arrived_at_ms: int,
        reservation: usage_books.Reservation | None = None,
    ) -> None:
        """Initializes a request whose body was read.

        Args:
            gateway: The gateway.
            request: Head of the request.
            admission: Its route and client account.
            body: Its body.
            send: The ASGI channel to the caller.
            arrived_at_ms: When it arrived.
            reservation: What it reserved under the usage cap of its account.
        """
        self.gateway = gateway
        self.request = request
        self.admission = admission
        self.route = route = admission.route
        self.body = body
        self.state = forwarding.Forwarding(route)
        self.service = gateway.pick_service(route)
        self.deadline_at_ms = arrived_at_ms + route.timeout_ms
        if request.left_ms:
            caller_ms = arrived_at_ms + request.left_ms
            self.deadline_at_ms = min(self.deadline_at_ms, caller_ms)
        self.arrived_at_ms = arrived_at_ms
        self._reservation = reservation
        self.response_started = False
        self.events = event_stream.EventStream()
        self.events.last_id = request.last_event_id
        self.failure: result.Failure | None = None
        self.send_history: list[str] = []
        self.status = 0
        self.sent = False
        self.sent_at_ms = 0
        self.cached_fingerprint = ""
        self.is_trial = False
        self._rate_reservation: rate_limits_lib.Reservation | None = None
        self._send = send
        spec = gateway.table.services.get(self.service)
        self.needs_adapter = bool(
            spec is not None and spec.adapter_limit and request.adapter
        )

    def fingerprint(self) -> str:
        """Returns the fingerprint of the request, computed on first use."""
        if not self.cached_fingerprint:
            self.cached_fingerprint = fingerprint_lib.of_request(
                self.request.method,
                self.request.host,
                self.request.target,
                self.body,
                self.admission.account_name,
            )
        return self.cached_fingerprint

    def release(self) -> None:
        """Releases the reservations of a request that was not sent."""
        self._release_rate_reservation()
        if not self.sent:
            self.gateway.usage_caps.release(self._reservation)

    def _release_rate_reservation(self) -> None:
        reservation, self._rate_reservation = self._rate_reservation, None
        self.gateway.rate_limits.release(reservation)

    def left_ms(self) -> int:
        """Returns how long the caller still waits."""
        return self.deadline_at_ms - clock.boot_ms()

    async def run(self) -> None:
        """Serves the request.

        Raises:
            ResponseAbortedError: If a response that has started cannot be
                completed.
        """
        left_s = max(0, self.left_ms()) / MS_PER_S
        with anyio.move_on_after(left_s) as scope:
            await self._serve()
        if not scope.cancelled_caught:
            return
        if self.response_started:
            self.failure = result.Failure(
                result.ROUTE_TIMEOUT,
                "the stream had not ended in time",
            )
            raise ResponseAbortedError
        await self.reply(self.state.timeout_failure(sent=self.sent))

    async def _serve(self) -> None:
        while True:
            chosen = await self._choose_target()
            if isinstance(chosen, result.Failure):
                await self._fail(chosen)
                return
            member, version = chosen
            reservation = self.gateway.usage_caps.renew_reservation(
                self._reservation
            )
            if isinstance(reservation, result.Failure):
                await self._fail(reservation)
                return
            self._reservation = reservation
            outcome = await self._send_to_target(member, version)
            if outcome is None:
                return
            instance = member.listing.instance
            self.send_history.append(f"{instance}:{outcome.value}")
            self.gateway.metrics.sends.inc({"outcome": outcome.value})
            step = self._next_step(member, outcome)
            if step is forwarding.Step.GIVE_UP:
                await self._fail(self.state.failure)
                return
            if step is forwarding.Step.SEND_LATER:
                pause_ms = self.gateway.random_delay_ms(SHED_RETRY_MS)
                await anyio.sleep(pause_ms / MS_PER_S)

    def _next_step(
        self, member: roster_lib.Member, outcome: Outcome
    ) -> forwarding.Step:
        gateway = self.gateway
        gateway.evidence.record_outcome(member, outcome, self.request.adapter)
        if outcome in _NOT_RUN:
            gateway.usage_caps.release(self._reservation)
        if outcome in _POSSIBLE_CRASH:
            gateway.evidence.record_aborted_response(
                member, self.fingerprint(), self.sent_at_ms
            )
        retry_allowed = True
        if outcome is not Outcome.UNSENT:
            is_safe_retry = not self.state.may_have_run and outcome in (
                Outcome.SHED,
                Outcome.MISMATCH,
                Outcome.GONE,
            )
            may_resend = self.route.repeatable or is_safe_retry
            retry_allowed = may_resend and gateway.budget(self.service).spend(
                clock.boot_ms()
            )
        return self.state.ended(
            member.listing.instance,
            outcome,
            self.left_ms(),
            retry_allowed=retry_allowed,
            begun=self.response_started,
        )

    async def _choose_target(
        self,
    ) -> tuple[roster_lib.Member, int] | result.Failure:
        gateway = self.gateway
        if not self.needs_adapter:
            rejection = self._rejection()
            if rejection is not None:
                return rejection
            now_ms = clock.boot_ms()
            member = gateway.placement.choose_plain(
                self._usable_targets(now_ms), now_ms
            )
            if member is None or not self._reserve_rate(member):
                return self._no_target_failure()
            return member, 0
        return await self._choose_engine()

    def _rejection(self) -> result.Failure | None:
        """Returns the rejection of the request, None if it may be sent."""
        if not self.response_started:
            failure = admission_lib.readmit(
                self.gateway.table, self.admission, self.request.key_digest
            )
            if failure is not None:
                return failure
        return self._quarantined()

    def _quarantined(self) -> result.Failure | None:
        """Returns the rejection of a request that crashes targets.

        If it were forwarded, it would crash the next target too, and all other
        requests that run there would be lost.
        """
        crash_gossip = self.gateway.crash_gossip
        if not len(crash_gossip.evidence):
            return None
        if self.is_trial and not self.state.may_have_run:
            return None
        quarantine = crash_gossip.quarantine(self.fingerprint())
        if quarantine is None:
            return None
        if not self.is_trial and crash_gossip.begin_trial(self.fingerprint()):
            self.is_trial = True
            return None
        return result.Failure(
            result.REQUEST_ENDS_TARGETS,
            f"targets ended at {quarantine.moments} times under this request",
            max(quarantine.left_ms, crash_evidence.TRIAL_DELAY_MS),
        )

    def _record_completion(self) -> None:
        """Records that the request completed without a crash."""
        self.gateway.crash_gossip.succeeded(self.fingerprint())

    def _allowed_targets(self, now_ms: int) -> list[roster_lib.Member]:
        """Returns the targets that may run it, regardless of rate limits."""
        return [
            member
            for member in self.gateway.roster.usable(self.service, now_ms)
            if self.state.allows(member.listing.instance)
        ]

    def _usable_targets(self, now_ms: int) -> list[roster_lib.Member]:
        """Returns the targets that may run it within their rate limits."""
        allowed = self._allowed_targets(now_ms)
        limits = self.gateway.rate_limits
        limited = [one for one in allowed if limits.is_limited(one)]
        if not limited:
            return allowed
        below_limit = [
            member
            for member in limited
            if limits.is_reserved(self._rate_reservation, member)
            or limits.may_send(member, now_ms)
        ]
        unlimited = [one for one in allowed if one not in limited]
        if unlimited and self.needs_adapter:
            # Adapters are not loaded at a limited target while there are
            # unlimited ones.
            adapter = self.request.adapter
            below_limit = [
                member
                for member in below_limit
                if adapter in self.gateway.placement.residents(member, now_ms)
            ]
        return unlimited + below_limit

    def _reserve_rate(self, member: roster_lib.Member) -> bool:
        """Reserves a send under a target's rate limit; returns success."""
        limits = self.gateway.rate_limits
        if limits.is_reserved(self._rate_reservation, member):
            return True
        self._release_rate_reservation()
        self._rate_reservation = limits.reserve(member)
        return self._rate_reservation is not None

    async def _choose_engine(
        self,
    ) -> tuple[roster_lib.Member, int] | result.Failure:
        gateway = self.gateway
        adapter = self.request.adapter
        due_at_ms = self._due_at_ms()
        waiting = waiting_lib.AdapterWait(
            adapter,
            began_ms=clock.boot_ms(),
            left_ms=self.left_ms(),
            due_at_ms=due_at_ms,
            begun=self.response_started,
            random_source=gateway.random,
        )
        load_request = load_requests_lib.LoadRequest(adapter, due_at_ms)
        try:
            while True:
                rejection = self._rejection()
                if rejection is not None:
                    return rejection
                now_ms = clock.boot_ms()
                if gateway.draining:
                    waiting.limit_until(gateway.waits_end_at_ms)
                usable = self._usable_targets(now_ms)
                choice = gateway.placement.choose(
                    adapter, usable, now_ms, waiting.patience(now_ms)
                )
                member = choice.send or choice.load
                if member is not None:
                    # Reserved before the load, because a load at a limited
                    # target only helps a request that may be sent there.
                    self._reserve_rate(member)
                await gateway.load_requests.apply_choice(load_request, choice)
                # A stream that has started cannot be rejected any more, so it
                # waits for a rate-limited target.
                any_usable = bool(usable) or (
                    self.response_started
                    and bool(self._allowed_targets(now_ms))
                )
                step = waiting.decide(
                    choice, any_usable=any_usable, now_ms=now_ms
                )
                match step:
                    case waiting_lib.Send():
                        return step.member, step.version
                    case waiting_lib.NoTarget():
                        return self._no_target_failure()
                    case result.Failure():
                        return step
                with anyio.move_on_after(step.pause_ms / MS_PER_S):
                    await gateway.notifier.wait(adapter)
        finally:
            gateway.load_requests.drop(load_request)

    def _due_at_ms(self) -> int:
        """Returns the latest send time that meets the latency objective."""
        if self.response_started:
            return clock.boot_ms()
        answer_ms = self.gateway.roster.median_latency_ms(self.service)
        objective_ms = self.route.objective_ms
        # If engines respond too late for the objective anyway, requests still
        # wait for a short time instead of being rejected.
        due_ms = max(objective_ms - answer_ms, MIN_WAIT_FRACTION * objective_ms)
        return self.arrived_at_ms + round(due_ms)

    def _no_target_failure(self) -> result.Failure:
        if self.state.failure is not None:
            return self.state.failure
        limited = self._allowed_targets(clock.boot_ms())
        if limited and not self.state.may_have_run:
            return self.gateway.rate_limits.rejection(self.service, limited)
        code = result.NO_TARGET
        if self.state.may_have_run:
            code = result.OUTCOME_UNKNOWN
        retry_after_ms = self.gateway.random_delay_ms(NO_TARGET_RETRY_MS)
        backoff_ms = self.gateway.roster.backoff_ms(
            self.service, clock.boot_ms()
        )
        return result.Failure(
            code,
            f"no target of {self.service} can take it",
            backoff_ms + retry_after_ms,
        )

    async def _send_to_target(
        self, member: roster_lib.Member, version: int
    ) -> Outcome | None:
        """Sends to one target; returns None if the caller got the response."""
        gateway = self.gateway
        listing = member.listing
        member.health.in_flight += 1
        if self.needs_adapter:
            gateway.load_requests.began(member, self.request.adapter)
        connection: http_client.Connection | http_client.Lost | None = None
        try:
            connection = await gateway.pool.acquire(
                listing.address, fresh=not self.route.repeatable
            )
            if isinstance(connection, http_client.Lost):
                return Outcome.UNSENT
            send = self._write_request(member, connection, version)
            member.health.unanswered[self] = send.sent_at_ms
            return await self._handle_response(send)
        except anyio.get_cancelled_exc_class():
            # The deadline passed or the caller disconnected. The log records
            # which target had the request.
            self.send_history.append(f"{listing.instance}:unfinished")
            raise
        finally:
            member.health.in_flight -= 1
            self._record_if_unanswered(member)
            if self.needs_adapter:
                gateway.load_requests.ended(member, self.request.adapter)
            if isinstance(connection, http_client.Connection):
                gateway.discard(connection)

    def _record_if_unanswered(self, member: roster_lib.Member) -> None:
        """Records a send that got no response head after a long wait."""
        sent_at_ms = member.health.unanswered.pop(self, None)
        if sent_at_ms is None:
            return
        if clock.boot_ms() - sent_at_ms > placement_lib.ENGINE_FIRST_BYTE_MS:
            self.gateway.evidence.record_slow_first_byte(member)

    def _write_request(
        self,
        member: roster_lib.Member,
        connection: http_client.Connection,
        version: int,
    ) -> Send:
        listing = member.listing
        left_ms = self.left_ms()
        invariant.require(
            not self.request.left_ms or left_ms <= self.request.left_ms,
            result.DEADLINE_GREW,
            f"{left_ms} of {self.request.left_ms} ms",
        )
        self.state.record_send(listing.instance)
        priority = None
        if self.needs_adapter:
            priority = min(PRIORITY_MAX, self.admission.priority + 1)
        data = front.encode(
            self.request,
            self.body,
            instance=listing.instance,
            left_ms=max(1, left_ms),
            version=version,
            priority=priority,
            resume_after=self.events.last_id if self.route.resumable else b"",
            account=self.admission.account_name,
        )
        self.sent = True
        self._rate_reservation = None
        self.sent_at_ms = clock.boot_ms()
        connection.send(data)
        return Send(member, connection, self.sent_at_ms)

    async def _handle_response(self, send: Send) -> Outcome | None:
        head = await self._read_head(send)
        if isinstance(head, http_client.Head):
            send.member.health.unanswered.pop(self, None)
        if head is ReadTimeout.IDLE:
            return Outcome.SILENT
        if isinstance(head, http_client.Lost):
            return _outcome_of(head)
        instance = send.member.listing.instance
        match front.classify(head, self.request.attempt_id, instance):
            case front.Kind.SHED:
                return await self._read_rejection(send, Outcome.SHED)
            case front.Kind.MISMATCH:
                return await self._read_rejection(send, Outcome.MISMATCH)
            case front.Kind.GONE:
                return await self._read_rejection(send, Outcome.GONE)
            case front.Kind.SPOILED:
                return Outcome.SPOILED
            case front.Kind.UNPROVEN_PROMISE:
                return Outcome.FAILED
            case front.Kind.FAILURE:
                return await self._handle_failure_response(send, head)
        if self.route.streams:
            return await self._forward_stream(send, head)
        return await self._forward_buffered(send, head)

    async def _read_head(
        self, send: Send
    ) -> http_client.Head | http_client.Lost | ReadTimeout:
        """Waits for the head of the response to this attempt."""
        connection = send.connection
        instance = send.member.listing.instance
        while True:
            head = await self._read_with_timeout(send, connection.head)
            if not isinstance(head, http_client.Head):
                return head
            signals = front.target_signals(head, instance)
            if signals != front.NO_SIGNALS:
                self.gateway.evidence.apply_target_signals(
                    send.member, signals, self.request.attempt_id
                )
            kind = front.classify(head, self.request.attempt_id, instance)
            is_late = kind is front.Kind.FOREIGN
            limit_per_s = front.rate_limit_per_s(head, instance)
            if limit_per_s is not None:
                self.gateway.rate_limits.record_response(
                    send.member,
                    limit_per_s,
                    sent_at_ms=0 if is_late else send.sent_at_ms,
                    attempt_id=self.request.attempt_id,
                )
            if not is_late:
                return head
            # A late second response to the previous request on this connection;
            # the response to this one follows.
            lost = await connection.skip()
            if lost is not None:
                return lost

    async def _read_with_timeout(
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
        left_ms = max(0, self.left_ms())
        can_reroute = (
            self.route.repeatable
            and self.state.may_use_another
            and self.gateway.has_other_target(self.service, send.member)
        )
        if self.response_started and self.needs_adapter:
            # The target may resume after a short pause, so a stall alone is no
            # reason to abandon a stream that has started. Another target must
            # also be able to continue it at once.
            can_reroute = can_reroute and self._can_continue_elsewhere(
                send.member
            )
        if not can_reroute:
            # No idle timeout: the deadline of the request passes first.
            return self.route.timeout_ms + MS_PER_S
        silence_ms = silence.allowed_ms(
            self.route,
            send.member.health,
            begun=self.response_started,
            now_ms=clock.boot_ms(),
        )
        if left_ms < 2 * silence_ms:
            # Too little time for another target to respond.
            return self.route.timeout_ms + MS_PER_S
        return silence_ms

    def _can_continue_elsewhere(self, member: roster_lib.Member) -> bool:
        """Whether another target could resume the stream now."""
        now_ms = clock.boot_ms()
        others = [
            one for one in self._usable_targets(now_ms) if one is not member
        ]
        choice = self.gateway.placement.choose(
            self.request.adapter, others, now_ms
        )
        return choice.send is not None

    async def _read_rejection(self, send: Send, outcome: Outcome) -> Outcome:
        """Reads a rejection to its end, so that its connection is reusable."""
        body = await http_client.read_body(send.connection)
        if not isinstance(body, http_client.Lost):
            self.gateway.release(send.member.listing.address, send.connection)
        return outcome

    async def _handle_failure_response(
        self, send: Send, head: http_client.Head
    ) -> Outcome | None:
        """Forwards a target's error response, unless another may be tried."""
        body = await http_client.read_body(send.connection)
        if isinstance(body, http_client.Lost):
            return _outcome_of(body)
        self.gateway.release(send.member.listing.address, send.connection)
        self._record_completion()
        instance = send.member.listing.instance
        may_retry = (
            self.route.repeatable
            and not self.response_started
            and self.state.may_use_another
            and self.state.sends < forwarding.MAX_SENDS
            and self.left_ms() > forwarding.MIN_REMAINING_MS
            and self.gateway.has_other_target(self.service, send.member)
        )
        if may_retry and self.gateway.budget(self.service).can_spend(
            clock.boot_ms()
        ):
            return Outcome.FAILED
        if self.response_started:
            return Outcome.FAILED
        self.gateway.evidence.record_error_response(send.member, head.status)
        self.send_history.append(f"{instance}:{head.status}")
        await self._reply_buffered(head, body)
        return None

    async def _forward_buffered(
        self, send: Send, head: http_client.Head
    ) -> Outcome | None:
        """Forwards a response once it is complete.

        If a partly forwarded response is interrupted, neither the response of
        another target nor an error that states the cause can replace it.
        """
        pieces: list[bytes] = []
        size_bytes = 0
        while True:
            piece = await self._read_with_timeout(send, send.connection.chunk)
            if piece is ReadTimeout.IDLE:
                return Outcome.SILENT
            if isinstance(piece, http_client.Lost):
                return _outcome_of(piece)
            if not piece:
                break
            pieces.append(piece)
            size_bytes += len(piece)
            if size_bytes > MAX_BUFFERED_BYTES:
                return Outcome.SPOILED
        self._record_success(send)
        self._record_completion()
        self.gateway.release(send.member.listing.address, send.connection)
        await self._reply_buffered(head, b"".join(pieces))
        return None

    def _record_success(self, send: Send) -> None:
        now_ms = clock.boot_ms()
        instance = send.member.listing.instance
        took_ms = now_ms - send.sent_at_ms
        self.gateway.evidence.record_success(send.member, took_ms)
        self.gateway.metrics.sends.inc({"outcome": "answered"})
        self.send_history.append(f"{instance}:ok")
        first_ms = now_ms - self.arrived_at_ms
        self.gateway.metrics.first_byte_ms.observe(
            {"service": self.service}, first_ms
        )

    async def _reply_buffered(
        self, head: http_client.Head, body: bytes
    ) -> None:
        self.status = head.status
        headers = front.response_headers(head)
        headers.append((b"content-length", b"%d" % len(body)))
        await self._respond(head.status, headers, body)

    async def _respond(
        self, status: int, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        self.response_started = True
        if self.gateway.draining:
            headers.append((b"connection", b"close"))
        await web.reply(self._send, status, headers, body)

    async def _forward_stream(
        self, send: Send, head: http_client.Head
    ) -> Outcome | None:
        """Forwards complete events as they arrive."""
        self.events.restart()
        health = send.member.health
        success_recorded = False
        last_read_at_ms = clock.boot_ms()
        while True:
            piece = await self._read_with_timeout(send, send.connection.chunk)
            if piece is ReadTimeout.IDLE:
                return Outcome.SILENT
            if isinstance(piece, http_client.Lost):
                return _outcome_of(piece)
            if not piece:
                return await self._finish_stream(send, head)
            now_ms = clock.boot_ms()
            health.record_progress(now_ms - last_read_at_ms, now_ms)
            last_read_at_ms = now_ms
            events = self.events.feed(piece)
            if not events:
                continue
            if not success_recorded:
                success_recorded = True
                self._record_success(send)
            await self._send_stream_head(head)
            await self._send(
                {
                    "type": "http.response.body",
                    "body": events,
                    "more_body": True,
                }
            )

    async def _send_stream_head(self, head: http_client.Head) -> None:
        if self.response_started:
            return
        self.response_started = True
        self.status = head.status
        headers = front.response_headers(head)
        if self.gateway.draining:
            headers.append((b"connection", b"close"))
        await self._send(
            {
                "type": "http.response.start",
                "status": head.status,
                "headers": headers,
            }
        )

    async def _finish_stream(
        self, send: Send, head: http_client.Head
    ) -> Outcome | None:
        self._record_completion()
        self.gateway.release(send.member.listing.address, send.connection)
        await self._send_stream_head(head)
        rest = self.events.rest()
        await self._send({"type": "http.response.body", "body": rest})
        return None

    async def _fail(self, failure: result.Failure) -> None:
        self.failure = failure
        if self.response_started:
            # If it ended normally, the partial response would look complete.
            raise ResponseAbortedError
        proven_not_run = failure.executed is result.Executed.NO
        if proven_not_run and self.state.may_have_run:
            # A rejection now does not prove that an earlier send did not run.
            failure = result.Failure(result.OUTCOME_UNKNOWN, failure.message)
        elif proven_not_run and not failure.retry_after_ms:
            failure = dataclasses.replace(
                failure,
                retry_after_ms=self.gateway.random_delay_ms(SHED_RETRY_MS),
            )
        await self.reply(failure)

    async def reply(self, failure: result.Failure) -> None:
        """Sends a failure of the gateway as the response."""
        invariant.require(
            not (
                failure.executed is result.Executed.NO
                and self.state.may_have_run
            ),
            result.REFUSED_AND_RUN,
            f"{failure.code.name} after a possible run",
        )
        self.failure = failure
        status, headers, body = front.failure(failure, self.request.attempt_id)
        self.status = status
        await self._respond(status, headers, body)
