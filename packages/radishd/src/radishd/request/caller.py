"""Serves one request at an entry daemon: the I/O to caller and target.

Retries and resumptions are decided in ``radishstack.request.exchange``.
"""

import dataclasses
import functools
import secrets
from typing import TYPE_CHECKING

import anyio
from radishstack import result
from radishstack.connection import frame
from radishstack.request import exchange as exchange_lib
from radishstack.request import resolve
from radishstack.version import holder as holder_lib

from radishd.connection import inbox as inbox_lib
from radishd.connection import link as link_lib
from radishd.process import clock
from radishd.process import logs
from radishd.process import web
from radishd.request import error_body
from radishd.request import intake as intake_lib

if TYPE_CHECKING:
    from radishd import entry as entry_lib

MS_PER_S = 1000.0
ACK_EVERY_CHUNKS = 16
RESUME_RETRY_DELAY_MS = 50
REHOME_WAIT_MS = 1_000
DEADLINE_GRACE_MS = 250

_EXECUTED_BY_NUMBER = (
    result.Executed.NO,
    result.Executed.YES,
    result.Executed.UNKNOWN,
)


@dataclasses.dataclass(frozen=True, slots=True)
class DeadlineExceeded:
    """An inbox item: the deadline of the request has passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Disconnected:
    """An inbox item: the caller has closed its connection."""


class Caller:
    """Performs the actions that the exchange of one request decides on."""

    def __init__(
        self,
        entry: "entry_lib.Entry",
        intake: intake_lib.Intake,
        held: holder_lib.HeldVersion,
        resolution: resolve.Resolution,
        send: web.Send,
        accepted_at_ms: int,
    ) -> None:
        """Initializes a request that is valid and resolved.

        Args:
            entry: The entry daemon.
            intake: The parsed request.
            held: The configuration version it was resolved against, kept
                until the request ends.
            resolution: Its service, adapter and candidate targets.
            send: The ASGI channel to the caller.
            accepted_at_ms: When it arrived, on the monotonic clock.
        """
        self.entry = entry
        self.intake = intake
        self.held = held
        self.resolution = resolution
        self._send = send
        self.accepted_at_ms = accepted_at_ms
        self.deadline_at_ms = accepted_at_ms + resolution.timeout_ms
        self.body = intake_lib.body_for(intake, resolution.adapter)
        self.attempt_id = b""
        self.link: link_lib.Link | None = None
        self.stream = 0
        self.inbox = inbox_lib.Inbox()
        self._interrupts: list[object] = []
        self.exchange: exchange_lib.Exchange | None = None
        self.unacked_chunks = 0
        self.head_sent = False
        self.failure: result.Failure | None = None
        self.target = ""

    def interrupt(self, item: object) -> None:
        """Adds an inbox item that does not come from the target."""
        self._interrupts.append(item)
        self.inbox.put(item)

    def _reset_inbox(self) -> None:
        """Drops the items of an earlier stream, but keeps interrupts."""
        self.inbox = inbox_lib.Inbox()
        for item in self._interrupts:
            self.inbox.put(item)

    async def run(self) -> None:
        """Runs the request until it has an outcome."""
        candidates = await self.entry.rank(self.resolution, self.held)
        self.exchange = exchange_lib.Exchange(
            self.resolution,
            candidates,
            self.entry.budget,
            deadline_at_ms=self.deadline_at_ms + DEADLINE_GRACE_MS,
        )
        try:
            await self._perform_all(self.exchange.start())
            while not self.exchange.done:
                item = self.inbox.take_ready()
                if item is None:
                    self._send_ack()
                    item = await self.inbox.take()
                await self._handle_item(item)
        finally:
            self._close_stream()

    async def _handle_item(self, item: object) -> None:
        now_ms = clock.now_ms()
        match item:
            case frame.Chunk(number=number, payload=payload):
                event = exchange_lib.ChunkArrived(number, payload)
            case frame.Accepted():
                self._record_load(item.load, now_ms)
                event = exchange_lib.ResponseStarted(
                    item.status, item.content_type, item.adapter
                )
            case frame.End():
                event = exchange_lib.EndArrived(
                    item.total, _failure_from_end(item)
                )
            case frame.Refusal():
                await self._handle_refusal(item, now_ms)
                return
            case result.Failure():
                self.entry.router.failed(self.target, now_ms)
                event = exchange_lib.ConnectionLost()
            case DeadlineExceeded():
                event = exchange_lib.DeadlineExpired()
            case Disconnected():
                event = exchange_lib.CallerDisconnected()
            case _:
                return
        await self._perform_all(self.exchange.handle(event, now_ms))

    async def _handle_refusal(self, body: frame.Refusal, now_ms: int) -> None:
        self._record_load(body.load, now_ms)
        failure = _failure_from_refusal(body)
        if failure.code is result.RUN_UNKNOWN:
            actions = exchange_lib.resume_failed(self.exchange, now_ms)
        else:
            event = exchange_lib.Rejected(failure)
            actions = self.exchange.handle(event, now_ms)
        await self._perform_all(actions)

    def _record_load(self, load: object, now_ms: int) -> None:
        self.entry.router.observe(
            self.target, self.resolution.adapter, load, now_ms
        )

    async def _perform_all(self, actions: exchange_lib.Actions) -> None:
        for action in actions:
            await _perform(action, self)

    def _close_stream(self) -> None:
        if self.link is not None:
            self.link.close(self.stream)
            self.link = None

    def _send_ack(self) -> None:
        """Acknowledges the chunks that were forwarded to the caller."""
        if self.unacked_chunks and self.link is not None and not self.link.lost:
            self.unacked_chunks = 0
            self.link.send(
                self.stream, frame.Ack(self.exchange.sequence.expected)
            )

    async def open_stream(self, target: str) -> result.Failure | None:
        """Opens a stream to a target for a submission or a resumption."""
        self._close_stream()
        target_config = self.held.document.targets.get(target)
        if target_config is None:
            target_config = self.entry.configuration.held.document.targets.get(
                target
            )
        if target_config is None:
            return result.Failure(result.NO_TARGET, f"no target {target}")
        link = await self.entry.links.get(target, target_config.address)
        if isinstance(link, result.Failure):
            self.entry.router.failed(target, clock.now_ms())
            return link
        self.link = link
        self.target = target
        self._reset_inbox()
        self.stream = link.open_with_inbox(self.inbox)
        return None

    def submit_frame(self, now_ms: int) -> frame.Submit:
        """Builds the frame that submits a new attempt."""
        resolution, intake = self.resolution, self.intake
        self.attempt_id = secrets.token_bytes(frame.ATTEMPT_ID_BYTES)
        return frame.Submit(
            attempt_id=self.attempt_id,
            request_id=intake.asked.request_id,
            version=resolution.version,
            service=resolution.service.name,
            customer=resolution.customer.name,
            adapter=resolution.adapter,
            key=resolution.key,
            digest=resolve.body_digest(intake.body) if resolution.key else b"",
            sent_at_ms=now_ms,
            accepted_at_ms=self.accepted_at_ms,
            deadline_at_ms=self.deadline_at_ms,
            method=intake.method,
            path=intake.path,
            content_type=intake.content_type,
            body=self.body,
            streams=intake.streams,
        )

    async def reply(self, failure: result.Failure) -> None:
        """Sends a failure, or aborts a response that has started.

        Raises:
            ResponseAbortedError: If the response has started. It must not
                look complete, and the exception makes the server close the
                connection in the middle of the body.
        """
        self.failure = failure
        if not self.head_sent:
            await reply_failure(
                failure, self.intake.asked.request_id, self._send
            )
            return
        self.entry.metrics.cut.inc({"reason": failure.code.name})
        if self.intake.streams:
            await self.send(
                {
                    "type": "http.response.body",
                    "body": error_body.encode_event(failure),
                    "more_body": True,
                }
            )
        raise ResponseAbortedError(failure)

    async def send(self, message: web.Message) -> None:
        """Sends the caller an ASGI message."""
        await self._send(message)


def _failure_from_end(end: frame.End) -> result.Failure | None:
    if end.code == 0:
        return None
    return result.Failure(result.find_code(end.code), end.message)


def _failure_from_refusal(body: frame.Refusal) -> result.Failure:
    executed = result.Executed.UNKNOWN
    if body.executed < len(_EXECUTED_BY_NUMBER):
        executed = _EXECUTED_BY_NUMBER[body.executed]
    return result.Failure(
        result.find_code(body.code), body.message, body.retry_after_ms, executed
    )


@functools.singledispatch
async def _perform(action: object, caller: Caller) -> None:
    raise TypeError(f"unknown action {action!r}")


@_perform.register
async def _send(action: exchange_lib.Send, caller: Caller) -> None:
    if caller.exchange.tries > 1:
        caller.entry.metrics.retries.inc(
            {"reason": caller.exchange.last_failure.code.name}
        )
    failure = await caller.open_stream(action.target)
    now_ms = clock.now_ms()
    if failure is not None:
        actions = caller.exchange.handle(exchange_lib.ConnectFailed(), now_ms)
        await caller._perform_all(actions)
        return
    caller.entry.router.sent(action.target, caller.resolution.adapter, now_ms)
    caller.link.send(caller.stream, caller.submit_frame(now_ms))


@_perform.register
async def _resume(action: exchange_lib.Resume, caller: Caller) -> None:
    caller.entry.metrics.resumes.inc({})
    failure = await caller.open_stream(action.target)
    if failure is not None:
        await anyio.sleep(RESUME_RETRY_DELAY_MS / MS_PER_S)
        failure = await caller.open_stream(action.target)
    if failure is not None:
        actions = exchange_lib.resume_failed(caller.exchange, clock.now_ms())
        await caller._perform_all(actions)
        return
    caller.link.send(
        caller.stream, frame.Attach(caller.attempt_id, action.next_number)
    )


@_perform.register
async def _rehome(action: exchange_lib.Rehome, caller: Caller) -> None:
    """Looks up the home of a key in a newer configuration version."""
    del action
    entry, resolution = caller.entry, caller.resolution
    await entry.configuration.wait_for(resolution.version + 1, REHOME_WAIT_MS)
    held = entry.configuration.held
    service = held.document.services.get(resolution.service.name)
    candidates: list[str] = []
    if held.version > resolution.version and service is not None:
        candidates = list(
            resolve.candidates_for(
                service, adapter=resolution.adapter, key=resolution.key
            )
        )
        caller.resolution = dataclasses.replace(
            resolution, version=held.version
        )
    actions = caller.exchange.rehomed(candidates, clock.now_ms())
    await caller._perform_all(actions)


@_perform.register
async def _forward_head(
    action: exchange_lib.ForwardHead, caller: Caller
) -> None:
    caller.head_sent = True
    caller.target = action.target
    headers = [
        (b"content-type", action.content_type.encode("latin-1")),
        (b"x-request-id", caller.intake.asked.request_id.encode("latin-1")),
        (b"x-radishstack-target", action.target.encode()),
        (
            b"x-radishstack-config-version",
            str(caller.resolution.version).encode(),
        ),
    ]
    if action.adapter:
        headers.append((b"x-radishstack-adapter", action.adapter.encode()))
    await caller.send(
        {
            "type": "http.response.start",
            "status": action.status,
            "headers": headers,
        }
    )


@_perform.register
async def _forward(action: exchange_lib.ForwardChunk, caller: Caller) -> None:
    await caller.send(
        {
            "type": "http.response.body",
            "body": action.payload,
            "more_body": True,
        }
    )
    caller.unacked_chunks += 1
    if caller.unacked_chunks >= ACK_EVERY_CHUNKS:
        caller._send_ack()


@_perform.register
async def _finish(action: exchange_lib.Finish, caller: Caller) -> None:
    del action
    await caller.send({"type": "http.response.body", "body": b""})


@_perform.register
async def _reply(action: exchange_lib.ReplyFailure, caller: Caller) -> None:
    await caller.reply(action.failure)


@_perform.register
async def _cancel_attempt(
    action: exchange_lib.CancelAttempt, caller: Caller
) -> None:
    del action
    caller._close_stream()


class ResponseAbortedError(Exception):
    """Aborts the connection of a caller in the middle of a response."""

    def __init__(self, failure: result.Failure) -> None:
        """Stores the failure for the log."""
        super().__init__(failure.message)
        self.failure = failure


async def reply_failure(
    failure: result.Failure, request_id: str, send: web.Send
) -> None:
    """Sends a failure as the response to a request."""
    body = error_body.encode(failure)
    headers = [
        *error_body.headers(failure),
        (b"content-length", str(len(body)).encode()),
        (b"x-request-id", request_id.encode("latin-1")),
    ]
    await send(
        {
            "type": "http.response.start",
            "status": failure.code.status,
            "headers": headers,
        }
    )
    await send({"type": "http.response.body", "body": body})


def log_outcome(
    caller: Caller, failure: result.Failure | None, took_ms: int
) -> None:
    """Logs the outcome of a request."""
    logs.info(
        "request_ended",
        request_id=caller.intake.asked.request_id,
        customer=caller.resolution.customer.name,
        service=caller.resolution.service.name,
        adapter=caller.resolution.adapter,
        target=caller.target,
        config_version=caller.resolution.version,
        code=failure.code.number if failure else 0,
        executed=str(failure.executed) if failure else "yes",
        took_ms=took_ms,
    )
