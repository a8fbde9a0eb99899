"""Forwards one caller's request to targets, and the response back.

The decisions are made in ``radishstack``: ``placement`` chooses the target,
and ``forwarding`` what follows a failed send.
"""

import dataclasses
import enum

import anyio
from radishstack import invariant
from radishstack import result
from radishstack.process import crash
from radishstack.process import placement as placement_lib
from radishstack.process import roster as roster_lib
from radishstack.process import stream_origins
from radishstack.process import usage_books
from radishstack.request import event_stream
from radishstack.request import forwarding

from radishd.connection import http_client
from radishd.platform import front
from radishd.process import clock
from radishd.process import response_bounds
from radishd.process import web
from radishd.request import gateway_interface
from radishd.request import pending_request
from radishd.request import response_ends
from radishd.request import response_reader
from radishd.request import target_selection

MS_PER_S = 1_000
# Range of retry delays after a rejection by a full or restarted target. It is
# short because another target can accept the request at once.
SHED_RETRY_MS = (30, 150)
PRIORITY_MAX = 9

Outcome = forwarding.Outcome
# Outcomes of a send that may be due to a crash of its target.
_POSSIBLE_CRASH = frozenset({Outcome.LOST, Outcome.SPOILED})
# Outcomes of a send that prove that the request did not run.
_NOT_RUN = frozenset(
    {Outcome.UNSENT, Outcome.SHED, Outcome.MISMATCH, Outcome.GONE}
)


class ResponseAbortedError(Exception):
    """Aborts a response that has started, so that it looks incomplete."""


class Withheld(enum.Enum):
    """A sentinel: the request was quarantined after its target was selected."""

    QUARANTINED = "quarantined"


class Forward:
    """One request of a caller, until its response is complete."""

    def __init__(
        self,
        gateway: gateway_interface.GatewayInterface,
        pending: pending_request.PendingRequest,
        send: web.Send,
        reservation: usage_books.Reservation | None = None,
    ) -> None:
        """Initializes a request whose body was read.

        Args:
            gateway: The gateway.
            pending: The request.
            send: The ASGI channel to the caller.
            reservation: What it reserved under the usage cap of its account.
        """
        self.pending = pending
        self.failure: result.Failure | None = None
        self.send_history: list[str] = []
        self.response_ends = response_ends.ResponseEnds(gateway, pending)
        self.status = 0
        self.sent = False
        self._gateway = gateway
        self._targets = target_selection.TargetSelection(gateway, pending)
        self.reader = response_reader.ResponseReader(
            gateway, pending, self._targets
        )
        self._reservation = reservation
        self._sent_at_ms = 0
        self._send = send

    def release(self) -> None:
        """Releases the reservations of a request that was not sent."""
        self._targets.release()
        if not self.sent:
            self._gateway.usage_caps.release(self._reservation)

    async def run(self) -> None:
        """Serves the request.

        Raises:
            ResponseAbortedError: If a response that has started cannot be
                completed.
        """
        draining = self._gateway.connection_draining
        with draining.limit(self.pending.deadline_at_ms) as scope:
            await self._serve()
        if not scope.cancelled_caught:
            return
        if self.pending.response_started:
            self.failure = result.Failure(
                result.ROUTE_TIMEOUT,
                "the stream had not ended in time",
            )
            raise ResponseAbortedError
        await self.reply(self.pending.sends.timeout_failure(sent=self.sent))

    async def _serve(self) -> None:
        while True:
            chosen = await self._targets.select()
            if isinstance(chosen, result.Failure):
                await self._fail(chosen)
                return
            member = chosen.member
            reservation = self._gateway.usage_caps.renew_reservation(
                self._reservation
            )
            if isinstance(reservation, result.Failure):
                await self._fail(reservation)
                return
            self._reservation = reservation
            outcome = await self._send_to_target(chosen)
            if outcome is None:
                return
            if outcome is Withheld.QUARANTINED:
                # The next selection rejects it.
                continue
            instance = member.listing.instance
            self.send_history.append(f"{instance}:{outcome.value}")
            self._gateway.metrics.sends.inc({"outcome": outcome.value})
            step = self._next_step(member, outcome)
            if step is forwarding.Step.GIVE_UP:
                await self._fail(self.pending.sends.failure)
                return
            if outcome in _POSSIBLE_CRASH:
                # If the request crashed its target, it may not be sent again.
                await self._gateway.evidence.wait_for_crash_check()
            if step is forwarding.Step.SEND_LATER:
                pause_ms = self._gateway.random_delay_ms(SHED_RETRY_MS)
                await anyio.sleep(pause_ms / MS_PER_S)

    def _next_step(
        self, member: roster_lib.Member, outcome: Outcome
    ) -> forwarding.Step:
        gateway = self._gateway
        gateway.evidence.record_outcome(
            member, outcome, self.pending.request.adapter
        )
        if outcome in _NOT_RUN:
            gateway.usage_caps.release(self._reservation)
        if outcome in _POSSIBLE_CRASH:
            gateway.evidence.record_aborted_response(
                member, self.pending.suspects(self._sent_at_ms)
            )
        retry_allowed = True
        if outcome is not Outcome.UNSENT:
            is_safe_retry = not self.pending.sends.may_have_run and outcome in (
                Outcome.SHED,
                Outcome.MISMATCH,
                Outcome.GONE,
            )
            may_resend = self.pending.route.repeatable or is_safe_retry
            retry_allowed = may_resend and gateway.budget(
                self.pending.service
            ).spend(clock.boot_ms())
        return self.pending.sends.ended(
            member.listing.instance,
            outcome,
            self.pending.left_ms(),
            retry_allowed=retry_allowed,
            begun=self.pending.response_started,
        )

    def _record_completion(self, answer_began_at_ms: int | None = None) -> None:
        """Records that the request completed without a crash.

        Args:
            answer_began_at_ms: When its target began the answer, None if it
                answered nothing. Only an answer shows that the blocks of its
                prompt are harmless.
        """
        crash_gossip = self._gateway.crash_gossip
        crash_gossip.succeeded(self.pending.fingerprint(), clock.boot_ms())
        if answer_began_at_ms is None:
            return
        for fingerprint in self.pending.block_fingerprints:
            crash_gossip.succeeded(
                fingerprint, answer_began_at_ms, crash.FeatureKind.PROMPT_BLOCK
            )

    async def _send_to_target(
        self, selection: target_selection.Selection
    ) -> Outcome | Withheld | None:
        """Sends to one target; returns None if the caller got the response."""
        gateway = self._gateway
        member = selection.member
        listing = member.listing
        member.health.in_flight += 1
        if self.pending.needs_adapter:
            gateway.load_requests.began(member, self.pending.request.adapter)
        connection: http_client.Connection | http_client.Lost | None = None
        try:
            connection = await gateway.pool.acquire(
                listing.address,
                fresh=not self.pending.route.repeatable,
                excluded=self.pending.sends.used_connections,
            )
            if isinstance(connection, http_client.Lost):
                return Outcome.UNSENT
            software_version = await self._confirm_software_version(member)
            if not self._may_send_to(software_version):
                connection.close()
                return Outcome.UNSENT
            if self._targets.is_quarantined():
                gateway.pool.release(
                    listing.address, connection, keep_alive_s=0
                )
                return Withheld.QUARANTINED
            send = self._write_request(selection, connection, software_version)
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
            if self.pending.needs_adapter:
                gateway.load_requests.ended(
                    member, self.pending.request.adapter
                )
            if isinstance(connection, http_client.Connection):
                gateway.discard(connection)

    async def _confirm_software_version(self, member: roster_lib.Member) -> str:
        """Returns the software version that a target runs now.

        The list may still describe a former incarnation. This is checked only
        for streams that are or may be resumed.

        Returns:
            The version, empty if unknown.
        """
        if not (self.pending.route.resumable or self.pending.resumes_stream):
            return member.listing.software_version
        if not await self._gateway.incarnation_check.confirm(member.listing):
            return ""
        if not self._gateway.roster.is_current(member):
            return ""
        return member.listing.software_version

    def _may_send_to(self, software_version: str) -> bool:
        """Whether a target with a software version may continue the stream."""
        began_at = self.pending.software_version
        return began_at is None or began_at == software_version != ""

    def _record_if_unanswered(self, member: roster_lib.Member) -> None:
        """Records a send that got no response head after a long wait."""
        sent_at_ms = member.health.unanswered.pop(self, None)
        if sent_at_ms is None:
            return
        if clock.boot_ms() - sent_at_ms > placement_lib.ENGINE_FIRST_BYTE_MS:
            self._gateway.evidence.record_slow_first_byte(member)

    def _write_request(
        self,
        selection: target_selection.Selection,
        connection: http_client.Connection,
        software_version: str,
    ) -> response_reader.Send:
        listing = selection.member.listing
        left_ms = self.pending.left_ms()
        invariant.require(
            self._may_send_to(software_version),
            result.OTHER_SOFTWARE_VERSION,
            f"{software_version!r} instead of "
            f"{self.pending.software_version!r}",
        )
        invariant.require(
            not self.pending.request.left_ms
            or left_ms <= self.pending.request.left_ms,
            result.DEADLINE_GREW,
            f"{left_ms} of {self.pending.request.left_ms} ms",
        )
        self.pending.sends.record_send(listing.instance, connection.number)
        priority = None
        if self.pending.needs_adapter:
            priority = min(PRIORITY_MAX, self.pending.admission.priority + 1)
        data = front.encode(
            self.pending.request,
            self.pending.body,
            instance=listing.instance,
            left_ms=max(1, left_ms),
            version=selection.adapter_version,
            priority=priority,
            resume_after=self.pending.events.last_id
            if self.pending.route.resumable
            else b"",
            account=self.pending.admission.account_name,
        )
        self.sent = True
        self._targets.use_reservation()
        self._sent_at_ms = clock.boot_ms()
        self._gateway.metrics.target_connections.inc(
            {"reused": "yes" if connection.request_count else "no"}
        )
        connection.send(data)
        return response_reader.Send(
            selection.member, software_version, connection, self._sent_at_ms
        )

    async def _handle_response(
        self, send: response_reader.Send
    ) -> Outcome | None:
        head = await self.reader.read_head(send)
        if isinstance(head, http_client.Head):
            send.member.health.unanswered.pop(self, None)
        if head is response_reader.ReadTimeout.IDLE:
            return Outcome.SILENT
        if isinstance(head, http_client.Lost):
            return response_reader.outcome_of(head)
        instance = send.member.listing.instance
        kind = front.classify(
            head,
            self.pending.request.attempt_id,
            instance,
            is_first_request=send.connection.request_count == 1,
        )
        match kind:
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
        if self.pending.route.streams:
            return await self._forward_stream(send, head)
        return await self._forward_buffered(send, head)

    def _record_cut(
        self,
        send: response_reader.Send,
        head: http_client.Head,
        outcome: Outcome,
    ) -> Outcome:
        """Records a response that is not complete; returns the outcome."""
        self.response_ends.record_cut(send, head, outcome, self.pending.events)
        return outcome

    async def _read_rejection(
        self, send: response_reader.Send, outcome: Outcome
    ) -> Outcome:
        """Reads a rejection to its end, so that its connection is reusable.

        Its head alone proves that the request did not run.
        """
        if await http_client.discard_body(send.connection):
            self._gateway.release(send.member.listing.address, send.connection)
        return outcome

    async def _handle_failure_response(
        self, send: response_reader.Send, head: http_client.Head
    ) -> Outcome | None:
        """Forwards a target's error response, unless another may be tried."""
        body = await http_client.read_body(send.connection)
        if isinstance(body, http_client.Lost):
            return self._record_cut(
                send, head, response_reader.outcome_of(body)
            )
        if not await self.response_ends.check(send, head):
            return Outcome.LOST
        self._gateway.release(send.member.listing.address, send.connection)
        self._record_completion()
        instance = send.member.listing.instance
        may_retry = (
            self.pending.route.repeatable
            and not self.pending.response_started
            and self.pending.sends.may_use_another
            and self.pending.sends.sends < forwarding.MAX_SENDS
            and self.pending.left_ms() > forwarding.MIN_REMAINING_MS
            and self._targets.has_other(send.member)
        )
        if may_retry and self._gateway.budget(self.pending.service).can_spend(
            clock.boot_ms()
        ):
            return Outcome.FAILED
        if self.pending.response_started:
            return Outcome.FAILED
        self._gateway.evidence.record_error_response(send.member, head.status)
        self.send_history.append(f"{instance}:{head.status}")
        await self._reply_buffered(head, body)
        return None

    async def _forward_buffered(
        self, send: response_reader.Send, head: http_client.Head
    ) -> Outcome | None:
        """Forwards a response once it is complete.

        If a partly forwarded response is interrupted, neither the response of
        another target nor an error that states the cause can replace it.
        """
        body = response_bounds.Body()
        try:
            return await self._forward_whole(send, head, body)
        finally:
            body.release()

    async def _forward_whole(
        self,
        send: response_reader.Send,
        head: http_client.Head,
        body: response_bounds.Body,
    ) -> Outcome | None:
        while True:
            piece = await self.reader.read(send, send.connection.chunk)
            if piece is response_reader.ReadTimeout.IDLE:
                return self._record_cut(send, head, Outcome.SILENT)
            if isinstance(piece, http_client.Lost):
                return self._record_cut(
                    send, head, response_reader.outcome_of(piece)
                )
            if not piece:
                break
            if (
                not body.add(piece)
                or send.connection.received_bytes
                > response_bounds.MAX_WHOLE_BYTES
            ):
                return self._record_cut(send, head, Outcome.SPOILED)
        if not await self.response_ends.check(send, head):
            return Outcome.LOST
        self._record_success(send)
        self._record_completion(send.sent_at_ms)
        self._gateway.release(send.member.listing.address, send.connection)
        await self._reply_buffered(head, body.join())
        return None

    def _record_success(self, send: response_reader.Send) -> None:
        now_ms = clock.boot_ms()
        instance = send.member.listing.instance
        took_ms = now_ms - send.sent_at_ms
        self._gateway.evidence.record_success(send.member, took_ms)
        self._gateway.metrics.sends.inc({"outcome": "answered"})
        self.send_history.append(f"{instance}:ok")
        first_ms = now_ms - self.pending.arrived_at_ms
        self._gateway.metrics.first_byte_ms.observe(
            {"service": self.pending.service}, first_ms
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
        self.pending.response_started = True
        if self._gateway.draining:
            headers.append((b"connection", b"close"))
        await web.reply(self._send, status, headers, body)

    async def _forward_stream(
        self, send: response_reader.Send, head: http_client.Head
    ) -> Outcome | None:
        """Forwards complete events as they arrive."""
        unfinished = response_bounds.Hold()
        try:
            return await self._forward_events(send, head, unfinished)
        finally:
            unfinished.resize(0)

    async def _forward_events(
        self,
        send: response_reader.Send,
        head: http_client.Head,
        unfinished: response_bounds.Hold,
    ) -> Outcome | None:
        self.pending.events.restart()
        health = send.member.health
        answer_began_at_ms: int | None = None
        last_read_at_ms = clock.boot_ms()
        while True:
            piece = await self.reader.read(send, send.connection.chunk)
            if piece is response_reader.ReadTimeout.IDLE:
                return self._record_cut(send, head, Outcome.SILENT)
            if isinstance(piece, http_client.Lost):
                return self._record_cut(
                    send, head, response_reader.outcome_of(piece)
                )
            if not piece:
                return await self._finish_stream(send, head, answer_began_at_ms)
            now_ms = clock.boot_ms()
            health.record_progress(now_ms - last_read_at_ms, now_ms)
            last_read_at_ms = now_ms
            events = self.pending.events.feed(piece)
            unfinished.resize(self.pending.events.unfinished_bytes)
            if self.pending.events.is_oversized or unfinished.exceeds(
                event_stream.MAX_EVENT_BYTES
            ):
                return self._record_cut(send, head, Outcome.SPOILED)
            if not events:
                continue
            if answer_began_at_ms is None:
                answer_began_at_ms = now_ms
                self._record_success(send)
                await self._record_stream_target(send)
            await self._send_stream_head(head)
            await self._send(
                {
                    "type": "http.response.body",
                    "body": events,
                    "more_body": True,
                }
            )

    async def _record_stream_target(self, send: response_reader.Send) -> None:
        """Records which target writes the next events of the stream.

        The origin of a new stream is reported before its first event is sent,
        since this process may end at any time after that.
        """
        pending = self.pending
        instance = send.member.listing.instance
        if pending.stream_targets or pending.resumes_stream:
            is_same = pending.software_version == send.software_version
            self._gateway.metrics.continued_streams.inc(
                {
                    "resumed_by": (
                        "gateway" if pending.stream_targets else "caller"
                    ),
                    "software_version": "same" if is_same else "other",
                }
            )
        elif pending.route.resumable and send.software_version:
            await self._gateway.stream_origins.report(
                pending.request.attempt_id,
                stream_origins.Origin(pending.service, send.software_version),
                pending.retention_ms,
            )
        if pending.software_version is None:
            pending.software_version = send.software_version
        pending.stream_targets.append(f"{instance}@{send.software_version}")

    async def _send_stream_head(self, head: http_client.Head) -> None:
        if self.pending.response_started:
            return
        self.pending.response_started = True
        self.status = head.status
        headers = front.response_headers(head)
        if self._gateway.draining:
            headers.append((b"connection", b"close"))
        await self._send(
            {
                "type": "http.response.start",
                "status": head.status,
                "headers": headers,
            }
        )

    async def _finish_stream(
        self,
        send: response_reader.Send,
        head: http_client.Head,
        answer_began_at_ms: int | None,
    ) -> Outcome | None:
        if not await self.response_ends.check(send, head, self.pending.events):
            return Outcome.LOST
        self._record_completion(answer_began_at_ms)
        self._gateway.release(send.member.listing.address, send.connection)
        await self._send_stream_head(head)
        rest = self.pending.events.rest()
        await self._send({"type": "http.response.body", "body": rest})
        return None

    async def _fail(self, failure: result.Failure) -> None:
        self.failure = failure
        if self.pending.response_started:
            # If it ended normally, the partial response would look complete.
            raise ResponseAbortedError
        proven_not_run = failure.executed is result.Executed.NO
        if proven_not_run and self.pending.sends.may_have_run:
            # A rejection now does not prove that an earlier send did not run.
            failure = result.Failure(result.OUTCOME_UNKNOWN, failure.message)
        elif proven_not_run and not failure.retry_after_ms:
            failure = dataclasses.replace(
                failure,
                retry_after_ms=self._gateway.random_delay_ms(SHED_RETRY_MS),
            )
        await self.reply(failure)

    async def reply(self, failure: result.Failure) -> None:
        """Sends a failure of the gateway as the response."""
        invariant.require(
            not (
                failure.executed is result.Executed.NO
                and self.pending.sends.may_have_run
            ),
            result.REFUSED_AND_RUN,
            f"{failure.code.name} after a possible run",
        )
        self.failure = failure
        status, headers, body = front.failure(
            failure, self.pending.request.attempt_id
        )
        self.status = status
        await self._respond(status, headers, body)
