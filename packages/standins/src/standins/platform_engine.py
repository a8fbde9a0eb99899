"""A target of the users' platform: an engine with adapters, or a plain one.

It implements HTTP on a raw socket, so that a test can make it answer late,
twice, in part, or not at all. It records the attempts that it ran, so that
tests can compare them with the responses that callers received.
"""

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses
import enum
import json
import time
from typing import Any

import httptools

MS_PER_S = 1_000.0
NS_PER_MS = 1_000_000
HEALTH_PATH = "/healthz"
REASONS = {200: "OK", 202: "Accepted", 421: "Misdirected", 503: "Unavailable"}


class Fault(enum.Enum):
    """A fault that a target injects into one request.

    Some of them break a response off in its middle so that it looks complete
    to HTTP: ``CLOSE_IN_EVENT`` and ``END_IN_EVENT`` inside an event, with and
    without the end of the connection; ``CRASH_AT_CLOSE`` after an event, as the
    target crashes. With ``CRASH_LISTENER_LAST`` the operating system closes the
    connections of the crashed target one by one, and its listening socket last.
    With ``LEAVE_AT_END`` the target ends its listening before it finishes the
    response, as a target that drains does.
    """

    NONE = "none"
    SHED = "shed"
    ERROR = "error"
    RESET_UNRUN = "reset_unrun"
    RESET_AFTER_RUN = "reset_after_run"
    CUT_MIDWAY = "cut_midway"
    HANG = "hang"
    TWICE = "twice"
    UNFRAMED = "unframed"
    UNSIGNED = "unsigned"
    PROMISE_AFTER_RUN = "promise_after_run"
    CRASH = "crash"
    CLOSE_IN_EVENT = "close_in_event"
    END_IN_EVENT = "end_in_event"
    CRASH_AT_CLOSE = "crash_at_close"
    CRASH_LISTENER_LAST = "crash_listener_last"
    LEAVE_AT_END = "leave_at_end"
    ENDLESS_EVENT = "endless_event"
    ENDLESS_BYTES = "endless_bytes"
    ENDLESS_REJECTION = "endless_rejection"


# Unbounded responses: how each begins, and what is repeated until the caller
# closes the connection.
ENDLESS_FORMS: dict[str, tuple[bytes, bytes]] = {
    "garbage": (b"", b"x"),
    "status_line": (b"HTTP/1.1 200 ", b"x"),
    "header_name": (b"HTTP/1.1 200 OK\r\n", b"x"),
    "header_value": (b"HTTP/1.1 200 OK\r\na: ", b"x"),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"a: b\r\n"),
    "information": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "upgrade": (b"HTTP/1.1 101 Other\r\nUpgrade: x\r\n\r\n", b"x"),
    "chunk_size": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"0",
    ),
    "chunk_extension": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;",
        b"x",
    ),
    "trailers": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        b"a: b\r\n",
    ),
    "body_with_length": (
        b"HTTP/1.1 500 Other\r\nContent-Length: 99999999999\r\n\r\n",
        b"x",
    ),
    "body_in_chunks": (
        b"HTTP/1.1 500 Other\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"2\r\nxx\r\n",
    ),
    "body_until_close": (b"HTTP/1.1 500 Other\r\n\r\n", b"x"),
    "responses": (b"", b"HTTP/1.1 500 Other\r\nContent-Length: 0\r\n\r\n"),
    "responses_with_body": (
        b"",
        b"HTTP/1.1 500 Other\r\nContent-Length: 1\r\n\r\nx",
    ),
}
# Size of the pieces in which they are sent, and the maximum that is sent.
ENDLESS_WRITE_BYTES = 64 * 1024
MAX_ENDLESS_BYTES = 128 * 1024 * 1024
# Size of the event that ``ENDLESS_EVENT`` does not finish, and of its pieces.
ENDLESS_EVENT_BYTES = 4 * 1024 * 1024
ENDLESS_PIECE_BYTES = 64 * 1024
# Faults whose responses have neither a length nor chunks.
_UNFRAMED = frozenset(
    {
        Fault.UNFRAMED,
        Fault.CLOSE_IN_EVENT,
        Fault.CRASH_AT_CLOSE,
        Fault.CRASH_LISTENER_LAST,
        Fault.LEAVE_AT_END,
    }
)
_CRASHES_AT_CLOSE = frozenset({Fault.CRASH_AT_CLOSE, Fault.CRASH_LISTENER_LAST})
# Time from the first to the last socket that is closed after a crash.
CRASH_CLOSES_S = 0.04


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """One request as the target received it.

    Attributes:
        method: HTTP method.
        target: Path and query.
        headers: Headers by lower-case name.
        body: Request body.
        at_ms: Monotonic time at which the request was completely received.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    at_ms: int

    @property
    def attempt_id(self) -> str:
        """The attempt id that the caller chose."""
        return self.headers.get("x-attempt-id", "")


class _RequestParser:
    """Collects one request for ``httptools``."""

    def __init__(self) -> None:
        self.done: list[ReceivedRequest] = []
        self._url = b""
        self._headers: dict[str, str] = {}
        self._body = b""
        self.parser = httptools.HttpRequestParser(self)

    def on_message_begin(self) -> None:
        """Resets the fields for a new request."""
        self._url, self._headers, self._body = b"", {}, b""

    def on_url(self, url: bytes) -> None:
        """Appends to the request target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header."""
        self._headers[name.decode().lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        """Appends to the body."""
        self._body += body

    def on_message_complete(self) -> None:
        """Stores the complete request."""
        method = self.parser.get_method().decode()
        at_ms = time.monotonic_ns() // NS_PER_MS
        request = ReceivedRequest(
            method, self._url.decode(), self._headers, self._body, at_ms
        )
        self.done.append(request)


@dataclasses.dataclass(slots=True)
class Timing:
    """Durations of the target's operations.

    Attributes:
        load_ms: Load of an adapter that was never loaded before.
        reload_ms: Load of an adapter that was loaded before.
        event_ms: Interval between two events of a stream.
        work_ms: Request to a plain target.
    """

    load_ms: float = 30.0
    reload_ms: float = 5.0
    event_ms: float = 2.0
    work_ms: float = 2.0


class PlatformEngine:
    """One target, with faults that tests switch on.

    Attributes:
        crashed: Whether it was ordered to load more adapters than fit.
        ended: Whether a request with ``Fault.CRASH`` has stopped it.
        leaving: Whether its responses announce that it is draining.
        marks_events: Whether its events name the version of its software.
        swallow_orders: Number of further orders to leave unanswered.
        endless_form: The form of ``Fault.ENDLESS_BYTES``.
        endless_bytes: Bytes without end that were taken from it.
        connection_limit: Maximum number of connections; further ones are reset.
        answers_twice: Whether a response, by its request and status, is sent
            once more in place of the response to the next request on its
            connection.
    """

    def __init__(
        self,
        instance: str,
        *,
        model: str = "",
        adapter_slots: int = 4,
        event_count: int = 4,
        timing: Timing | None = None,
        software_version: str = "v1",
    ) -> None:
        """Creates a target that does not listen yet.

        Args:
            instance: Name of the target.
            model: Base model; empty for a plain target.
            adapter_slots: Number of adapter slots.
            event_count: Number of events in each stream.
            timing: Durations of its operations.
            software_version: Version of its software.
        """
        self.instance = instance
        self.born_ms = time.time_ns() // NS_PER_MS
        self.model = model
        self.adapter_slots = adapter_slots
        self.event_count = event_count
        self.timing = timing or Timing()
        self.software_version = software_version
        self.marks_events = False
        self.adapters: dict[str, int] = {}
        self.newest: dict[str, int] = {}
        self.in_transit: dict[str, int] = {}
        self.loaded_before: set[str] = set()
        self.accepted_count = 0
        self.running: dict[str, int] = {}
        self.ran: list[str] = []
        self.seen: list[ReceivedRequest] = []
        self.orders: list[dict[str, Any]] = []
        self.crashed = False
        self.ended = False
        self.leaving = False
        self.backoff_s = 0.0
        self.rate_limit: str | None = None
        self.fault: Callable[[ReceivedRequest], Fault] = lambda request: (
            Fault.NONE
        )
        self.swallow_orders = 0
        self.endless_form = "headers"
        self.endless_bytes = 0
        self.connection_limit = 1_000
        self.answers_twice: Callable[[ReceivedRequest, int], bool] = (
            lambda request, status: False
        )
        self._due_responses: dict[asyncio.StreamWriter, bytes] = {}
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, host: str, port: int) -> None:
        """Starts listening."""
        self._server = await asyncio.start_server(self._serve, host, port)

    async def stop(self) -> None:
        """Resets all connections and stops at once."""
        self.stop_listening()
        for writer in list(self._writers):
            writer.transport.abort()
        for task in self._tasks - {asyncio.current_task()}:
            task.cancel()

    def restart(self, born_ms: int) -> None:
        """Starts a new incarnation without adapters; resets the order count.

        Args:
            born_ms: Start time by its clock, which may have jumped back.
        """
        self.born_ms = born_ms
        self.leaving = False
        self.accepted_count = 0
        self.adapters, self.in_transit = {}, {}
        self.running, self.loaded_before = {}, set()
        for writer in list(self._writers):
            writer.transport.abort()

    def listing(self, service: str, address: str, zone: str) -> dict[str, Any]:
        """Returns the entry that it registers in the store."""
        return {
            "service": service,
            "address": address,
            "zone": zone,
            "version": self.software_version,
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "models": self._models(),
            "sequence": self.accepted_count,
            "born": self.born_ms,
        }

    def _models(self) -> list[dict[str, Any]]:
        if not self.model:
            return []
        adapters = [
            f"{name}@{version}" for name, version in self.adapters.items()
        ]
        return [{"name": self.model, "version": 1, "adapters": adapters}]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if len(self._writers) >= self.connection_limit:
            writer.transport.abort()
            return
        self._writers.add(writer)
        task = asyncio.current_task()
        if task is not None:
            self._tasks.add(task)
        parser = _RequestParser()
        try:
            while data := await reader.read(65_536):
                parser.parser.feed_data(data)
                while parser.done:
                    await self._answer(parser.done.pop(0), writer)
        except asyncio.CancelledError:
            # Not raised again: the callback of asyncio.streams would log it.
            writer.transport.abort()
        except (ConnectionError, httptools.HttpParserError):
            writer.transport.abort()
        finally:
            self._writers.discard(writer)
            self._due_responses.pop(writer, None)
            self._tasks.discard(task)
            with contextlib.suppress(ConnectionError):
                writer.close()

    async def _answer(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        if self.ended:
            # Its sockets are still open, but nothing answers any more.
            await asyncio.Event().wait()
        writer.write(self._due_responses.pop(writer, b""))
        if request.target == "/-/report":
            await self._reply(writer, 200, self._report())
            return
        if request.target == "/-/order":
            await self._order(request, writer)
            return
        if request.target == HEALTH_PATH:
            headers = {"X-Instance-Id": self.instance}
            await self._reply(writer, 200, {}, headers)
            return
        self.seen.append(request)
        expected = request.headers.get("x-target-instance", self.instance)
        if expected != self.instance:
            headers = {"X-Instance-Id": self.instance}
            await self._reply(writer, 421, {}, headers, request)
            return
        if not self._holds(request):
            await self._reply(writer, 421, {}, None, request)
            return
        await self._run(request, writer, self.fault(request))

    def _holds(self, request: ReceivedRequest) -> bool:
        base, _, adapter = request.headers.get("x-model", "").partition("/")
        if base != self.model and self.model:
            return False
        if not adapter:
            return True
        expected = request.headers.get("x-expected-version")
        held = self.adapters.get(adapter)
        return held is not None and expected in (None, str(held))

    def _report(self) -> dict[str, Any]:
        incoming = [
            f"{self.model}/{name}@{version}"
            for name, version in self.in_transit.items()
        ]
        return {
            "stage": "unified",
            "models": self._models(),
            "incoming": incoming,
            "busy": False,
            "sequence": self.accepted_count,
            "waiting": 0,
            "running": sum(self.running.values()),
            "born": self.born_ms,
        }

    async def _order(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        order = json.loads(request.body)
        if self.swallow_orders:
            self.swallow_orders -= 1
            return
        if request.headers.get("x-target-instance") != self.instance:
            await self._reply(writer, 421, {})
            return
        if order.get("expect", self.accepted_count) != self.accepted_count:
            await self._reply(writer, 409, {})
            return
        await self._reply(writer, self.execute_order(order), {})

    def execute_order(self, order: dict[str, Any]) -> int:
        """Executes an order, and returns the HTTP status.

        Tests call it directly to deliver an order late.
        """
        if order.get("expect", self.accepted_count) != self.accepted_count:
            return 409
        self.orders.append(order)
        name = order.get("adapter", "")
        self.accepted_count += 1
        if order["operation"] == "model_unload":
            self.adapters.pop(name, None)
            return 200
        if len(self.adapters) + len(self.in_transit) >= self.adapter_slots:
            self.crashed = True
        version = order.get("version") or self.newest.get(name, 1)
        self.in_transit[name] = version
        held = name in self.loaded_before
        load_ms = self.timing.reload_ms if held else self.timing.load_ms
        asyncio.get_running_loop().call_later(
            load_ms / MS_PER_S, self._loaded, name, version, self.born_ms
        )
        return 202

    def _loaded(self, name: str, version: int, born_ms: int) -> None:
        if born_ms != self.born_ms:
            return
        self.in_transit.pop(name, None)
        self.adapters[name] = version
        self.loaded_before.add(name)

    def _status_headers(self) -> list[str]:
        """Returns the headers of all responses that describe the target."""
        lines = ["Server-Leaving: 1"] if self.leaving else []
        if self.rate_limit is not None:
            lines.append(f"Server-Limit: {self.rate_limit}")
        return lines

    async def _reply(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        body: dict[str, Any],
        headers: dict[str, str] | None = None,
        request: ReceivedRequest | None = None,
    ) -> None:
        data = json.dumps(body).encode()
        lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}"]
        lines.append(f"Content-Length: {len(data)}")
        lines.extend(self._status_headers())
        if request is not None:
            lines.append(f"X-Attempt-Id: {request.attempt_id}")
        for name, value in (headers or {}).items():
            lines.append(f"{name}: {value}")
        response = "\r\n".join(lines).encode() + b"\r\n\r\n" + data
        writer.write(response)
        if request is not None and self.answers_twice(request, status):
            self._due_responses[writer] = response
        await writer.drain()

    async def _run(
        self,
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
        fault: Fault,
    ) -> None:
        if fault is Fault.SHED:
            headers = {"X-Not-Executed": "1"}
            if self.backoff_s:
                headers["Retry-After"] = f"{self.backoff_s:g}"
            await self._reply(writer, 503, {}, headers, request)
            return
        if fault is Fault.ENDLESS_REJECTION:
            head = (
                f"HTTP/1.1 503 Unavailable\r\nX-Not-Executed: 1\r\n"
                f"X-Attempt-Id: {request.attempt_id}\r\n\r\n"
            )
            await self._write_endless(writer, head.encode(), b"x")
            return
        if fault is Fault.RESET_UNRUN:
            raise ConnectionResetError
        if fault is Fault.HANG:
            await asyncio.Event().wait()
        model = request.headers.get("x-model", "")
        self.ran.append(request.attempt_id)
        running = self.running
        running[model] = running.get(model, 0) + 1
        try:
            await self._finish(request, writer, fault)
        finally:
            running[model] -= 1

    async def _finish(
        self,
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
        fault: Fault,
    ) -> None:
        signature = {"X-Server-Signature": f"s.{self.instance}"}
        if fault is Fault.ERROR:
            await self._reply(writer, 500, {}, signature, request)
            return
        if fault is Fault.ENDLESS_BYTES:
            await self._write_endless(writer, *ENDLESS_FORMS[self.endless_form])
            return
        if fault is Fault.PROMISE_AFTER_RUN:
            await self._reply(writer, 503, {}, signature, request)
            return
        if fault is Fault.RESET_AFTER_RUN:
            raise ConnectionResetError
        if fault is Fault.CRASH:
            await asyncio.sleep(self.timing.work_ms / MS_PER_S)
            self.ended = True
            await self.stop()
            raise ConnectionResetError
        if self.model:
            await self._stream(request, writer, fault, signature)
            return
        await asyncio.sleep(self.timing.work_ms / MS_PER_S)
        headers = {} if fault is Fault.UNSIGNED else signature
        body = {"instance": self.instance, "attempt": request.attempt_id}
        if fault in _UNFRAMED:
            data = json.dumps(body).encode()
            writer.write(self._response_head(request, headers))
            if fault in _CRASHES_AT_CLOSE:
                writer.write(data[: len(data) // 2])
                await self._crash_after_close(writer, fault)
            if fault is Fault.LEAVE_AT_END:
                self.stop_listening()
            writer.write(data)
            writer.close()
            return
        await self._reply(writer, 200, body, headers, request)
        if fault is Fault.TWICE:
            await self._reply(writer, 200, body, headers, request)

    async def _write_endless(
        self, writer: asyncio.StreamWriter, first: bytes, rest: bytes
    ) -> None:
        """Writes bytes without end until the connection is closed.

        Raises:
            ConnectionResetError: At a bound that no caller should reach.
        """
        writer.write(first)
        piece = rest * (ENDLESS_WRITE_BYTES // len(rest))
        for _ in range(MAX_ENDLESS_BYTES // ENDLESS_WRITE_BYTES):
            writer.write(piece)
            await writer.drain()
            self.endless_bytes += len(piece)
        raise ConnectionResetError

    def _response_head(
        self, request: ReceivedRequest, headers: dict[str, str]
    ) -> bytes:
        """Returns the head of a successful response."""
        lines = ["HTTP/1.1 200 OK", *self._status_headers()]
        lines.append(f"X-Attempt-Id: {request.attempt_id}")
        lines.extend(f"{name}: {value}" for name, value in headers.items())
        return "\r\n".join(lines).encode() + b"\r\n\r\n"

    def stop_listening(self) -> None:
        """Closes the listening socket; requests that run are finished."""
        if self._server is not None:
            self._server.close()

    async def _crash_after_close(
        self, writer: asyncio.StreamWriter, fault: Fault
    ) -> None:
        """Crashes; this connection is closed and the others are reset.

        The operating system closes the connections of a process that ends, so
        that the response that is being written looks complete.

        Raises:
            ConnectionResetError: To end the request.
        """
        self.ended = True
        if fault is Fault.CRASH_AT_CLOSE:
            self.stop_listening()
        await writer.drain()
        writer.close()
        self._writers.discard(writer)
        if fault is Fault.CRASH_LISTENER_LAST:
            await asyncio.sleep(CRASH_CLOSES_S)
        await self.stop()
        raise ConnectionResetError

    async def _stream(
        self,
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
        fault: Fault,
        signature: dict[str, str],
    ) -> None:
        headers = {"Content-Type": "text/event-stream", **signature}
        framed = fault not in _UNFRAMED
        if framed:
            headers["Transfer-Encoding"] = "chunked"
        head = self._response_head(request, headers)
        writer.write(head)
        if framed and self.answers_twice(request, 200):
            self._due_responses[writer] = head + b"0\r\n\r\n"
        if fault is Fault.ENDLESS_EVENT:
            for _ in range(ENDLESS_EVENT_BYTES // ENDLESS_PIECE_BYTES):
                self._write_body(
                    writer, b"x" * ENDLESS_PIECE_BYTES, framed=framed
                )
                await writer.drain()
        first = int(request.headers.get("last-event-id") or 0) + 1
        mark = f" {self.software_version}" if self.marks_events else ""
        for number in range(first, self.event_count + 1):
            await asyncio.sleep(self.timing.event_ms / MS_PER_S)
            data = f"{request.attempt_id} {number}{mark}"
            event = f"id: {number}\ndata: {data}\n\n"
            if fault is Fault.CUT_MIDWAY and number == self.event_count // 2:
                self._write_body(writer, event[:5].encode(), framed=framed)
                await writer.drain()
                raise ConnectionResetError
            is_last = number == max(first, self.event_count // 2)
            if is_last and fault in (Fault.CLOSE_IN_EVENT, Fault.END_IN_EVENT):
                self._write_body(writer, event[:-1].encode(), framed=framed)
                break
            self._write_body(writer, event.encode(), framed=framed)
            await writer.drain()
            if is_last and fault in _CRASHES_AT_CLOSE:
                await self._crash_after_close(writer, fault)
            if is_last and fault is Fault.LEAVE_AT_END:
                self.stop_listening()
        if framed:
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        else:
            writer.close()

    def _write_body(
        self, writer: asyncio.StreamWriter, data: bytes, *, framed: bool
    ) -> None:
        if framed:
            data = f"{len(data):x}\r\n".encode() + data + b"\r\n"
        writer.write(data)
