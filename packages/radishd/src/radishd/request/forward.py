"""Forwards one caller's request to targets, and an answer back.

The decisions are in ``radishstack``: where to (``placement``), and what
follows when a send comes to nothing (``forwarding``).
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
from radishd.request import gateway_port

MS_PER_S = 1_000
# When to come back after a refusal, by what it takes to change: a full or
# restarted target is another one's turn at once.
SHED_RETRY_MS = (30, 150)
NO_TARGET_RETRY_MS = (300, 900)
# Part of its objective that a request may wait for its adapter, however late
# engines answer.
MIN_WAIT_PART = 0.5
MAX_BUFFERED_BYTES = 8 * 1024 * 1024
PRIORITY_MAX = 9

Outcome = forwarding.Outcome
# Ends of a send by which a target that has ended shows.
_BROKEN_OFF = frozenset({Outcome.LOST, Outcome.SPOILED})
# Ends of a send that prove that the request did not run.
_NOT_RUN = frozenset(
    {Outcome.UNSENT, Outcome.SHED, Outcome.MISMATCH, Outcome.GONE}
)
_Part = TypeVar("_Part")


class CutError(Exception):
    """An answer that has begun cannot be ended whole; cut it visibly."""


def _outcome_of(lost: http_client.Lost) -> Outcome:
    """Returns how a send ended whose connection is lost."""
    if lost.spoiled:
        return Outcome.SPOILED
    return Outcome.SILENT if lost.silent else Outcome.LOST


class Pace(enum.Enum):
    """Marks that a peer was silent for longer than was allowed."""

    SILENT = "silent"


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """One send to one start of a target."""

    member: roster_lib.Member
    connection: http_client.Connection
    sent_at_ms: int


class Forward:
    """One request of a caller."""

    def __init__(
        self,
        gateway: gateway_port.GatewayPort,
        request: front.Request,
        admission: admission_lib.Admission,
        body: bytes,
        send: web.Send,
        arrived_at_ms: int,
        booking: usage_books.Booking | None = None,
    ) -> None:
        """Starts with a request that has been read whole.

        Args:
            gateway: The gateway.
            request: Its head.
            admission: Its route and on whose behalf it runs.
            body: Its body.
            send: Where the answer goes.
            arrived_at_ms: When it arrived.
            booking: What pays for it under the usage cap of its account.
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
        self._booking = booking
        self.began = False
        self.events = event_stream.EventStream()
        self.events.last_id = request.last_event_id
        self.failure: result.Failure | None = None
        self.trail: list[str] = []
        self.status = 0
        self.sent = False
        self.sent_at_ms = 0
        self.known_fingerprint = ""
        self.is_trial = False
        self._rate_booking: rate_limits_lib.Booking | None = None
        self._send = send
        spec = gateway.table.services.get(self.service)
        self.needs_adapter = bool(
            spec is not None and spec.adapter_limit and request.adapter
        )

    def fingerprint(self) -> str:
        """Returns what it asks, computed once it is needed."""
        if not self.known_fingerprint:
            self.known_fingerprint = fingerprint_lib.of_request(
                self.request.method,
                self.request.host,
                self.request.target,
                self.body,
                self.admission.account_name,
            )
        return self.known_fingerprint

    def release(self) -> None:
        """Gives back the bookings of a request that was not sent."""
        self._release_rate_booking()
        if not self.sent:
            self.gateway.usage_caps.release(self._booking)

    def _release_rate_booking(self) -> None:
        booking, self._rate_booking = self._rate_booking, None
        self.gateway.rate_limits.release(booking)

    def left_ms(self) -> int:
        """Returns how long the caller still waits."""
        return self.deadline_at_ms - clock.boot_ms()

    async def run(self) -> None:
        """Serves the request; raises ``CutError`` to cut its answer."""
        left_s = max(0, self.left_ms()) / MS_PER_S
        with anyio.move_on_after(left_s) as scope:
            await self._serve()
        if not scope.cancelled_caught:
            return
        if self.began:
            self.failure = result.Failure(
                result.ROUTE_TIMEOUT, "the stream had not ended in time"
            )
            raise CutError
        await self.reply(self.state.timed_out(sent=self.sent))

    async def _serve(self) -> None:
        while True:
            placed = await self._place()
            if isinstance(placed, result.Failure):
                await self._give_up(placed)
                return
            member, version = placed
            booking = self.gateway.usage_caps.renew_reservation(self._booking)
            if isinstance(booking, result.Failure):
                await self._give_up(booking)
                return
            self._booking = booking
            outcome = await self._try(member, version)
            if outcome is None:
                return
            instance = member.listing.instance
            self.trail.append(f"{instance}:{outcome.value}")
            self.gateway.metrics.sends.inc({"outcome": outcome.value})
            step = self._next_step(member, outcome)
            if step is forwarding.Step.GIVE_UP:
                await self._give_up(self.state.failure)
                return
            if step is forwarding.Step.SEND_LATER:
                pause_ms = self.gateway.spread(SHED_RETRY_MS)
                await anyio.sleep(pause_ms / MS_PER_S)

    def _next_step(
        self, member: roster_lib.Member, outcome: Outcome
    ) -> forwarding.Step:
        gateway = self.gateway
        gateway.evidence.record_outcome(member, outcome, self.request.adapter)
        if outcome in _NOT_RUN:
            gateway.usage_caps.release(self._booking)
        if outcome in _BROKEN_OFF:
            gateway.evidence.record_aborted_response(
                member, self.fingerprint(), self.sent_at_ms
            )
        paid = True
        if outcome is not Outcome.UNSENT:
            retries = not self.state.may_have_run and outcome in (
                Outcome.SHED,
                Outcome.MISMATCH,
                Outcome.GONE,
            )
            worth_paying = self.route.repeatable or retries
            paid = worth_paying and gateway.budget(self.service).spend(
                clock.boot_ms()
            )
        return self.state.ended(
            member.listing.instance,
            outcome,
            self.left_ms(),
            paid=paid,
            begun=self.began,
        )

    async def _place(
        self,
    ) -> tuple[roster_lib.Member, int] | result.Failure:
        gateway = self.gateway
        if not self.needs_adapter:
            refusal = self._refusal()
            if refusal is not None:
                return refusal
            now_ms = clock.boot_ms()
            member = gateway.placement.plain(self._usable(now_ms), now_ms)
            if member is None or not self._book_rate(member):
                return self._no_target()
            return member, 0
        return await self._place_adapter()

    def _refusal(self) -> result.Failure | None:
        """Returns why it is sent to no target, None if it may be sent."""
        if not self.began:
            failure = admission_lib.readmit(
                self.gateway.table, self.admission, self.request.key_digest
            )
            if failure is not None:
                return failure
        return self._quarantined()

    def _quarantined(self) -> result.Failure | None:
        """Returns the rejection of a request that crashes targets.

        Sent on, it would crash the next target too, and cut off all that
        runs there.
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
            max(quarantine.left_ms, crash_evidence.TRIAL_MS),
        )

    def _note_end(self) -> None:
        """Records that a target ran it to its end, and still runs."""
        self.gateway.crash_gossip.ended_well(self.fingerprint())

    def _allowed(self, now_ms: int) -> list[roster_lib.Member]:
        """Returns the targets that may run it, regardless of rate limits."""
        return [
            member
            for member in self.gateway.roster.usable(self.service, now_ms)
            if self.state.allows(member.listing.instance)
        ]

    def _usable(self, now_ms: int) -> list[roster_lib.Member]:
        """Returns the targets that it may be sent to within rate limits."""
        allowed = self._allowed(now_ms)
        limits = self.gateway.rate_limits
        limited = [one for one in allowed if limits.is_limited(one)]
        if not limited:
            return allowed
        below_limit = [
            member
            for member in limited
            if limits.is_reserved(self._rate_booking, member)
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

    def _book_rate(self, member: roster_lib.Member) -> bool:
        """Books a send against a target's rate limit; returns success."""
        limits = self.gateway.rate_limits
        if limits.is_reserved(self._rate_booking, member):
            return True
        self._release_rate_booking()
        self._rate_booking = limits.reserve(member)
        return self._rate_booking is not None

    async def _place_adapter(
        self,
    ) -> tuple[roster_lib.Member, int] | result.Failure:
        gateway = self.gateway
        adapter = self.request.adapter
        due_at_ms = self._due_at_ms()
        waiting = waiting_lib.Waiting(
            adapter,
            began_ms=clock.boot_ms(),
            left_ms=self.left_ms(),
            due_at_ms=due_at_ms,
            begun=self.began,
            random_source=gateway.random,
        )
        load_request = load_requests_lib.LoadRequest(adapter, due_at_ms)
        try:
            while True:
                refusal = self._refusal()
                if refusal is not None:
                    return refusal
                now_ms = clock.boot_ms()
                if gateway.draining:
                    waiting.end_by(gateway.waits_end_at_ms)
                usable = self._usable(now_ms)
                choice = gateway.placement.choose(
                    adapter, usable, now_ms, waiting.patience(now_ms)
                )
                member = choice.send or choice.load
                if member is not None:
                    # Booked before the load, because a load at a limited target
                    # only helps a request that may be sent there.
                    self._book_rate(member)
                await gateway.load_requests.apply_choice(load_request, choice)
                # A stream that has started cannot be rejected any more, so it
                # waits for a rate-limited target.
                any_usable = bool(usable) or (
                    self.began and bool(self._allowed(now_ms))
                )
                step = waiting.decide(
                    choice, any_usable=any_usable, now_ms=now_ms
                )
                match step:
                    case waiting_lib.Send():
                        return step.member, step.version
                    case waiting_lib.NoTarget():
                        return self._no_target()
                    case result.Failure():
                        return step
                with anyio.move_on_after(step.pause_ms / MS_PER_S):
                    await gateway.notifier.wait(adapter)
        finally:
            gateway.load_requests.drop(load_request)

    def _due_at_ms(self) -> int:
        """Returns when it must be sent to be answered in time."""
        if self.began:
            return clock.boot_ms()
        answer_ms = self.gateway.roster.usual_latency_ms(self.service)
        objective_ms = self.route.objective_ms
        # Where engines answer late in any case, waits are kept short but not
        # all refused.
        due_ms = max(objective_ms - answer_ms, MIN_WAIT_PART * objective_ms)
        return self.arrived_at_ms + round(due_ms)

    def _no_target(self) -> result.Failure:
        if self.state.failure is not None:
            return self.state.failure
        limited = self._allowed(clock.boot_ms())
        if limited and not self.state.may_have_run:
            return self.gateway.rate_limits.rejection(self.service, limited)
        code = result.NO_TARGET
        if self.state.may_have_run:
            code = result.OUTCOME_UNKNOWN
        retry_after_ms = self.gateway.spread(NO_TARGET_RETRY_MS)
        backoff_ms = self.gateway.roster.backoff_ms(
            self.service, clock.boot_ms()
        )
        return result.Failure(
            code,
            f"no target of {self.service} can take it",
            backoff_ms + retry_after_ms,
        )

    async def _try(
        self, member: roster_lib.Member, version: int
    ) -> Outcome | None:
        """Sends to one target; returns None once the caller is answered."""
        gateway = self.gateway
        listing = member.listing
        member.health.in_flight += 1
        if self.needs_adapter:
            gateway.load_requests.began(member, self.request.adapter)
        connection: http_client.Connection | http_client.Lost | None = None
        try:
            connection = await gateway.pool.take(
                listing.address, fresh=not self.route.repeatable
            )
            if isinstance(connection, http_client.Lost):
                return Outcome.UNSENT
            send = self._start(member, connection, version)
            member.health.unanswered[self] = send.sent_at_ms
            return await self._answer(send)
        except anyio.get_cancelled_exc_class():
            # The route's time passed, or the caller left: the log is to tell
            # which target had the request.
            self.trail.append(f"{listing.instance}:unfinished")
            raise
        finally:
            member.health.in_flight -= 1
            self._settle_silence(member)
            if self.needs_adapter:
                gateway.load_requests.ended(member, self.request.adapter)
            if isinstance(connection, http_client.Connection):
                gateway.discard(connection)

    def _settle_silence(self, member: roster_lib.Member) -> None:
        """Counts a send that ends without a first byte after a long wait."""
        sent_at_ms = member.health.unanswered.pop(self, None)
        if sent_at_ms is None:
            return
        if clock.boot_ms() - sent_at_ms > placement_lib.ENGINE_PATIENCE_MS:
            self.gateway.evidence.record_silence(member)

    def _start(
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
        self.state.sending(listing.instance)
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
        self._rate_booking = None
        self.sent_at_ms = clock.boot_ms()
        connection.send(data)
        return Send(member, connection, self.sent_at_ms)

    async def _answer(self, send: Send) -> Outcome | None:
        head = await self._head(send)
        if isinstance(head, http_client.Head):
            send.member.health.unanswered.pop(self, None)
        if head is Pace.SILENT:
            return Outcome.SILENT
        if isinstance(head, http_client.Lost):
            return _outcome_of(head)
        instance = send.member.listing.instance
        match front.classify(head, self.request.attempt_id, instance):
            case front.Kind.SHED:
                return await self._drained(send, Outcome.SHED)
            case front.Kind.MISMATCH:
                return await self._drained(send, Outcome.MISMATCH)
            case front.Kind.GONE:
                return await self._drained(send, Outcome.GONE)
            case front.Kind.SPOILED:
                return Outcome.SPOILED
            case front.Kind.UNPROVEN_PROMISE:
                return Outcome.FAILED
            case front.Kind.FAILURE:
                return await self._failure(send, head)
        if self.route.streams:
            return await self._stream(send, head)
        return await self._whole(send, head)

    async def _head(
        self, send: Send
    ) -> http_client.Head | http_client.Lost | Pace:
        """Waits for the head of the answer to this very attempt."""
        connection = send.connection
        instance = send.member.listing.instance
        while True:
            head = await self._read(send, connection.head)
            if not isinstance(head, http_client.Head):
                return head
            news = front.target_signals(head, instance)
            if news != front.NO_SIGNALS:
                self.gateway.evidence.apply_target_signals(
                    send.member, news, self.request.attempt_id
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
            # A second answer to the request before came late; ours is next.
            lost = await connection.skip()
            if lost is not None:
                return lost

    async def _read(
        self, send: Send, read: Callable[[], Awaitable[_Part]]
    ) -> _Part | Pace:
        """Reads from a target until it has been silent for too long."""
        began_ms = clock.boot_ms()
        while True:
            patience_ms = self._patience_ms(send)
            left_ms = began_ms + patience_ms - clock.boot_ms()
            if left_ms <= 0:
                return Pace.SILENT
            with anyio.move_on_after(left_ms / MS_PER_S):
                return await read()

    def _patience_ms(self, send: Send) -> float:
        """Returns how long a target may be silent before it is left."""
        left_ms = max(0, self.left_ms())
        movable = (
            self.route.repeatable
            and self.state.may_use_another
            and self.gateway.has_other(self.service, send.member)
        )
        if self.began and self.needs_adapter:
            # Silence alone is no reason to break off what has begun: without
            # a place where it goes on at once, it may only pause.
            movable = movable and self._has_holder(send.member)
        if not movable:
            return self.route.timeout_ms + MS_PER_S
        silence_ms = silence.allowed_ms(
            self.route,
            send.member.health,
            begun=self.began,
            now_ms=clock.boot_ms(),
        )
        if left_ms < 2 * silence_ms:
            return self.route.timeout_ms + MS_PER_S
        return silence_ms

    def _has_holder(self, member: roster_lib.Member) -> bool:
        """Whether another target could go on with a stream now."""
        now_ms = clock.boot_ms()
        others = [one for one in self._usable(now_ms) if one is not member]
        choice = self.gateway.placement.choose(
            self.request.adapter, others, now_ms
        )
        return choice.send is not None

    async def _drained(self, send: Send, outcome: Outcome) -> Outcome:
        """Reads a refusal to its end, so that its connection can be kept."""
        body = await http_client.read_body(send.connection)
        if not isinstance(body, http_client.Lost):
            self.gateway.release(send.member.listing.address, send.connection)
        return outcome

    async def _failure(
        self, send: Send, head: http_client.Head
    ) -> Outcome | None:
        """Passes a target's failure on, unless another target may do."""
        body = await http_client.read_body(send.connection)
        if isinstance(body, http_client.Lost):
            return _outcome_of(body)
        self.gateway.release(send.member.listing.address, send.connection)
        self._note_end()
        instance = send.member.listing.instance
        may_retry = (
            self.route.repeatable
            and not self.began
            and self.state.may_use_another
            and self.state.sends < forwarding.MAX_SENDS
            and self.left_ms() > forwarding.MIN_LEFT_MS
            and self.gateway.has_other(self.service, send.member)
        )
        if may_retry and self.gateway.budget(self.service).can_spend(
            clock.boot_ms()
        ):
            return Outcome.FAILED
        if self.began:
            return Outcome.FAILED
        self.gateway.evidence.record_error_response(send.member, head.status)
        self.trail.append(f"{instance}:{head.status}")
        await self._reply_whole(head, body)
        return None

    async def _whole(
        self, send: Send, head: http_client.Head
    ) -> Outcome | None:
        """Passes an answer on once it is there whole.

        An answer that is cut on its way could otherwise not be replaced by
        another target's, nor by a failure that says what happened.
        """
        pieces: list[bytes] = []
        size_bytes = 0
        while True:
            piece = await self._read(send, send.connection.chunk)
            if piece is Pace.SILENT:
                return Outcome.SILENT
            if isinstance(piece, http_client.Lost):
                return _outcome_of(piece)
            if not piece:
                break
            pieces.append(piece)
            size_bytes += len(piece)
            if size_bytes > MAX_BUFFERED_BYTES:
                return Outcome.SPOILED
        self._note_success(send)
        self._note_end()
        self.gateway.release(send.member.listing.address, send.connection)
        await self._reply_whole(head, b"".join(pieces))
        return None

    def _note_success(self, send: Send) -> None:
        now_ms = clock.boot_ms()
        instance = send.member.listing.instance
        took_ms = now_ms - send.sent_at_ms
        self.gateway.evidence.record_success(send.member, took_ms)
        self.gateway.metrics.sends.inc({"outcome": "answered"})
        self.trail.append(f"{instance}:ok")
        first_ms = now_ms - self.arrived_at_ms
        self.gateway.metrics.first_byte_ms.observe(
            {"service": self.service}, first_ms
        )

    async def _reply_whole(self, head: http_client.Head, body: bytes) -> None:
        self.status = head.status
        headers = front.response_headers(head)
        headers.append((b"content-length", b"%d" % len(body)))
        await self._respond(head.status, headers, body)

    async def _respond(
        self, status: int, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        self.began = True
        if self.gateway.draining:
            headers.append((b"connection", b"close"))
        await web.reply(self._send, status, headers, body)

    async def _stream(
        self, send: Send, head: http_client.Head
    ) -> Outcome | None:
        """Passes whole events on as they come."""
        self.events.restart()
        health = send.member.health
        noted = False
        heard_at_ms = clock.boot_ms()
        while True:
            piece = await self._read(send, send.connection.chunk)
            if piece is Pace.SILENT:
                return Outcome.SILENT
            if isinstance(piece, http_client.Lost):
                return _outcome_of(piece)
            if not piece:
                return await self._end_stream(send, head)
            now_ms = clock.boot_ms()
            health.progressed(now_ms - heard_at_ms, now_ms)
            heard_at_ms = now_ms
            events = self.events.feed(piece)
            if not events:
                continue
            if not noted:
                noted = True
                self._note_success(send)
            await self._begin_stream(head)
            await self._send(
                {
                    "type": "http.response.body",
                    "body": events,
                    "more_body": True,
                }
            )

    async def _begin_stream(self, head: http_client.Head) -> None:
        if self.began:
            return
        self.began = True
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

    async def _end_stream(
        self, send: Send, head: http_client.Head
    ) -> Outcome | None:
        self._note_end()
        self.gateway.release(send.member.listing.address, send.connection)
        await self._begin_stream(head)
        rest = self.events.rest()
        await self._send({"type": "http.response.body", "body": rest})
        return None

    async def _give_up(self, failure: result.Failure) -> None:
        self.failure = failure
        if self.began:
            # An end that looks whole would pass for the whole answer.
            raise CutError
        proven_unrun = failure.executed is result.Executed.NO
        if proven_unrun and self.state.may_have_run:
            # That no target takes it now proves nothing of the send before.
            failure = result.Failure(result.OUTCOME_UNKNOWN, failure.message)
        elif proven_unrun and not failure.retry_after_ms:
            failure = dataclasses.replace(
                failure, retry_after_ms=self.gateway.spread(SHED_RETRY_MS)
            )
        await self.reply(failure)

    async def reply(self, failure: result.Failure) -> None:
        """Answers with a failure of ours."""
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
