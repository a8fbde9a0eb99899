"""A client's connection to any of the HTTP ports: parsing within bounds.

Requests are parsed one at a time: what follows a request waits unparsed until
its response is complete. A parsed request takes kilobytes, so a client could
otherwise use up the memory with requests of a few bytes, sent ahead.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import enum
from typing import Any

import httptools
from uvicorn.protocols.http import flow_control
from uvicorn.protocols.http import httptools_impl

from radishd.process import client_bounds

TARGET = "radishstack.target"
# Headers that offer another protocol, also as tokens of ``Connection``.
UPGRADE_HEADERS = frozenset({b"upgrade", b"http2-settings"})
MS_PER_S = 1_000
HEAD_END = b"\r\n\r\n"
EMPTY_LINE_BYTES = b"\r\n"
# Empty lines that a client may send behind a request without beginning a new
# one; some add one to a body.
MAX_TRAILING_BYTES = 4
# Largest part of a chunked body that is parsed at once, so that the bytes
# between two pieces of data are counted well below their maximum.
MAX_PART_BYTES = 8 * 1024
# Parts that are parsed before other connections are served.
MAX_PARTS_PER_TURN = 64
# How long a refused client's bytes are read, and how many. Closed with unread
# bytes, the connection is reset, and the client may lose its answer.
LINGER_MS = 2_000
MAX_LINGER_BYTES = 1024 * 1024
# A new connection is not closed in favour of another one before its client had
# time to send something.
MIN_UNUSED_MS = 1_000
PHRASES = {
    400: b"Bad Request",
    408: b"Request Timeout",
    431: b"Request Header Fields Too Large",
}


class Phase(enum.Enum):
    """What a connection waits for."""

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    RESPONSE = "response"
    REFUSED = "refused"


class _GatedFlow(flow_control.FlowControl):
    """Flow control that resumes reading only within the bounds."""

    def __init__(
        self, transport: asyncio.Transport, may_read: Callable[[], bool]
    ) -> None:
        super().__init__(transport)
        self._may_read = may_read

    def resume_reading(self) -> None:
        if self.read_paused and self._may_read():
            super().resume_reading()


class ClientConnection(
    httptools_impl.HttpToolsProtocol, asyncio.BufferedProtocol
):
    """One connection of a client, within the bounds of its port.

    It keeps the request target as the client sent it, and drops trailers. ASGI
    splits the request target into a path and a query. Joined again, an empty
    query or an unusual escape would be changed on its way to the target.
    Uvicorn adds trailers to the headers, so a caller could set headers after
    the body although they are checked before it.

    Offers to upgrade the protocol are ignored, as clients expect that make them
    with each request. The parser takes what follows the head of such a request
    as another protocol, so that its body would be lost, or read as a request of
    its own. The request is therefore parsed again without the offer.
    """

    def __init__(
        self, *args: Any, bounds: client_bounds.ClientBounds, **options: Any
    ) -> None:
        """Creates the protocol of one connection.

        Args:
            *args: Arguments of Uvicorn's protocol.
            bounds: The bounds of its port.
            **options: Further arguments of Uvicorn's protocol.
        """
        super().__init__(*args, **options)
        self._bounds = bounds
        self._hold = client_bounds.Hold(bounds.account, self._resume_reading)
        # Received bytes that are not parsed yet, and how far they were searched
        # for the end of a head.
        self._unparsed = bytearray()
        self._searched_bytes = 0
        self._head_bytes = 0
        self._phase = Phase.IDLE
        self._phase_began_s = 0.0
        self._received_s = 0.0
        # Empty lines before the request, then bytes of its body without data.
        self._surplus_bytes = 0
        self._headers_complete = False
        self._message_complete = True
        # Bytes of a body with a known length that are not parsed yet.
        self._body_left_bytes: int | None = None
        self._last_parsed = b""
        self._request_bytes = 0
        self._parsing_scheduled = False
        self._closes_when_idle = False
        # Unsent bytes of the response when the client took some of them last.
        self._unsent_bytes = 0
        self._unsent_since_s = 0.0

    # Connection.

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Starts to read from an accepted connection."""
        super().connection_made(transport)
        self.flow = _GatedFlow(transport, self._may_read)
        self._begin(Phase.IDLE)
        self._bounds.unused[self] = self._close_unused

    def connection_lost(self, exc: Exception | None) -> None:
        """Releases what the connection held."""
        self._bounds.open_count -= 1
        self._bounds.unused.pop(self, None)
        self._unparsed.clear()
        self._hold.release()
        super().connection_lost(exc)

    def shutdown(self) -> None:
        """Closes the connection once its received requests are answered."""
        if self._unparsed and self._phase is Phase.RESPONSE:
            self._closes_when_idle = True
        else:
            super().shutdown()

    def _close_unused(self) -> bool:
        """Closes the connection if its client had time to send something."""
        age_s = self.loop.time() - self._phase_began_s
        if age_s * MS_PER_S < MIN_UNUSED_MS:
            return False
        self._close(client_bounds.Reason.SILENT)
        return True

    def _close(self, reason: client_bounds.Reason) -> None:
        self._bounds.on_refused(reason)
        self._bounds.unused.pop(self, None)
        self._unset_keepalive_if_required()
        self.transport.abort()

    def _begin(self, phase: Phase, at_s: float = 0.0) -> None:
        """Begins a phase now, or at a given time."""
        self._phase = phase
        self._phase_began_s = at_s or self.loop.time()

    # Reading.

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns where the next bytes are received."""
        del sizehint
        bounds = self._bounds
        if bounds.account.is_low:
            return bounds.read_buffer[: client_bounds.LOW_MEMORY_READ_BYTES]
        return bounds.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Handles received bytes."""
        self.data_received(self._bounds.read_buffer[:nbytes])

    def data_received(self, data: bytes | memoryview) -> None:
        """Parses received bytes as far as the bounds allow."""
        if self._phase is Phase.REFUSED:
            self._surplus_bytes += len(data)
            if self._surplus_bytes > MAX_LINGER_BYTES:
                self.transport.abort()
            return
        if self._bounds.unused:
            self._bounds.unused.pop(self, None)
        self._received_s = self.loop.time()
        self._unparsed += data
        self._parse()

    def _may_read(self) -> bool:
        """Whether further bytes may be received."""
        if self._phase is Phase.REFUSED:
            return True
        if self._phase is Phase.RESPONSE or self._parsing_scheduled:
            # Received bytes wait, mostly requests that were sent ahead.
            return not self._unparsed or (
                len(self._unparsed) < client_bounds.HIGH_WATER_BYTES
                and not self._bounds.account.is_low
            )
        return self._hold.may_grow()

    def _resume_reading(self) -> None:
        """Reads on, unless the application has not taken what was read."""
        cycle = self.cycle
        if (
            cycle is None
            or cycle.response_complete
            or len(cycle.body) <= flow_control.HIGH_WATER_LIMIT
        ):
            self.flow.resume_reading()

    def _update_hold(self) -> None:
        size_bytes = len(self._unparsed) + self._request_bytes
        if size_bytes < client_bounds.SMALL_BYTES:
            # Bounded by the number of connections.
            size_bytes = 0
        if size_bytes or self._hold.size_bytes:
            self._hold.resize(size_bytes)
            if not self._may_read():
                self.flow.pause_reading()

    # Parsing.

    def _parse(self) -> None:
        """Parses up to the end of one request, in parts."""
        parts = 0
        while self._unparsed and self._phase is not Phase.RESPONSE:
            if parts == MAX_PARTS_PER_TURN:
                self._schedule_parsing()
                break
            part = self._take_part()
            if not part:
                break
            parts += 1
            try:
                self._feed(part)
            except httptools.HttpParserError:
                self._refuse(400, client_bounds.Reason.MALFORMED)
            if self.parser is None or self._phase is Phase.REFUSED:
                return
        self._update_hold()

    def _schedule_parsing(self) -> None:
        if not self._parsing_scheduled:
            self._parsing_scheduled = True
            self.loop.call_soon(self._continue_parsing)

    def _continue_parsing(self) -> None:
        self._parsing_scheduled = False
        # Time limits begin now for bytes that waited for a response.
        self._received_s = self.loop.time()
        if self.parser is not None and self._phase is not Phase.REFUSED:
            self._parse()
            self._resume_reading()

    def _take_part(self) -> bytes:
        """Takes bytes that end at most one request; empty if there are none."""
        if self._message_complete:
            return self._take_head()
        if self._body_left_bytes is not None:
            part = self._take(self._body_left_bytes)
            self._body_left_bytes -= len(part)
            return part
        return self._take_chunks()

    def _take(self, size_bytes: int) -> bytes:
        unparsed = self._unparsed
        if size_bytes >= len(unparsed):
            part = bytes(unparsed)
            unparsed.clear()
        else:
            part = bytes(memoryview(unparsed)[:size_bytes])
            del unparsed[:size_bytes]
        return part

    def _take_head(self) -> bytes:
        """Takes a whole head without the empty lines before it."""
        unparsed = self._unparsed
        if unparsed[0] in EMPTY_LINE_BYTES:
            empty_bytes = len(unparsed) - len(unparsed.lstrip(EMPTY_LINE_BYTES))
            del unparsed[:empty_bytes]
            self._surplus_bytes += empty_bytes
        is_head = unparsed or self._surplus_bytes > MAX_TRAILING_BYTES
        if is_head and self._phase is Phase.IDLE:
            self._unset_keepalive_if_required()
            self._begin(Phase.HEAD, self._received_s)
        end = unparsed.find(HEAD_END, max(0, self._searched_bytes - 3))
        size_bytes = len(unparsed) if end < 0 else end + len(HEAD_END)
        limits = self._bounds.limits
        if size_bytes + self._surplus_bytes > limits.max_head_bytes:
            self._refuse(431, client_bounds.Reason.HEAD_TOO_LARGE)
            return b""
        if unparsed and not unparsed[:1].isalpha():
            self._refuse(400, client_bounds.Reason.MALFORMED)
            return b""
        if end < 0:
            self._searched_bytes = len(unparsed)
            return b""
        self._searched_bytes = 0
        self._head_bytes = size_bytes
        return self._take(size_bytes)

    def _take_chunks(self) -> bytes:
        """Takes a part of a chunked body, which ends with an empty line."""
        if self._surplus_bytes > self._bounds.limits.max_head_bytes:
            self._refuse(431, client_bounds.Reason.HEAD_TOO_LARGE)
            return b""
        unparsed, last = self._unparsed, self._last_parsed
        # The empty line may have begun in the part before.
        joined = last + unparsed[: len(HEAD_END) - 1]
        end = joined.find(HEAD_END)
        if end >= 0:
            size_bytes = end + len(HEAD_END) - len(last)
        else:
            end = unparsed.find(HEAD_END, 0, MAX_PART_BYTES)
            size_bytes = MAX_PART_BYTES if end < 0 else end + len(HEAD_END)
        part = self._take(size_bytes)
        self._last_parsed = (last + part)[-len(HEAD_END) + 1 :]
        self._surplus_bytes += len(part)
        return part

    def _feed(self, part: bytes) -> None:
        try:
            self.parser.feed_data(part)
        except httptools.HttpParserUpgrade:
            if self.parser.get_method() == b"CONNECT":
                self._refuse(400, client_bounds.Reason.MALFORMED)
                return
            head = self._head_without_upgrade()
            self.parser = httptools.HttpRequestParser(self)
            self.parser.feed_data(head)

    def _head_without_upgrade(self) -> bytes:
        """Returns the head of the current request without its upgrade offer."""
        version = self.parser.get_http_version().encode()
        method = self.parser.get_method()
        lines = [method + b" " + self.url + b" HTTP/" + version]
        for name, value in self.headers:
            if name in UPGRADE_HEADERS:
                continue
            if name == b"connection":
                kept = [
                    token
                    for token in value.split(b",")
                    if token.strip().lower() not in UPGRADE_HEADERS
                ]
                value = b",".join(kept)
            lines.append(name + b": " + value)
        return b"\r\n".join(lines) + HEAD_END

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Resets the state for a new request."""
        self._headers_complete = False
        self._message_complete = False
        self._body_left_bytes = None
        self._last_parsed = b""
        self._request_bytes = 0
        super().on_message_begin()

    def on_url(self, url: bytes) -> None:
        """Handles a part of the request target."""
        super().on_url(url)
        self.scope[TARGET] = self.url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handles a header, and drops a trailer."""
        if not self._headers_complete:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Marks the headers of the request as complete."""
        self._headers_complete = True
        self._surplus_bytes = 0
        if self.parser.should_upgrade():
            return
        self._begin(Phase.BODY, self._received_s)
        overhead_bytes = client_bounds.HEADER_OVERHEAD_BYTES * len(self.headers)
        self._request_bytes = self._head_bytes + overhead_bytes
        for name, value in self.headers:
            if name == b"content-length":
                self._body_left_bytes = int(value)
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Handles a part of the body, which is held until the response."""
        self._surplus_bytes = 0
        if not self.cycle.response_complete:
            self._request_bytes += len(body)
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Marks the request as complete, unless it is parsed again."""
        if self.parser.should_upgrade():
            return
        self._message_complete = True
        if self.cycle.response_complete:
            self._begin_idle()
        else:
            self._begin(Phase.RESPONSE, self._received_s)
            if self._hold.size_bytes:
                self._hold.settle()
        super().on_message_complete()

    # Responses.

    def on_response_complete(self) -> None:
        """Continues with the requests that were sent ahead."""
        self._request_bytes = 0
        if self._hold.size_bytes:
            self._hold.release()
        super().on_response_complete()
        if not self._message_complete:
            # The rest of the body is skipped; its own time limit applies.
            self._unset_keepalive_if_required()
        elif self._phase is Phase.RESPONSE:
            self._begin_idle()

    def _begin_idle(self) -> None:
        self._begin(Phase.IDLE)
        self._surplus_bytes = 0
        if self._unparsed and not self.transport.is_closing():
            self._unset_keepalive_if_required()
            self._schedule_parsing()
        elif self._closes_when_idle:
            self.transport.close()

    def send_400_response(self, msg: str) -> None:
        """Refuses the client."""
        del msg
        self._refuse(400, client_bounds.Reason.MALFORMED)

    def _refuse(self, status: int, reason: client_bounds.Reason) -> None:
        """Answers with an error, and closes the connection after a while.

        A request that was read as a whole has been answered before, as requests
        are parsed one at a time.
        """
        self._bounds.on_refused(reason)
        self._unset_keepalive_if_required()
        self._unparsed.clear()
        self._hold.release()
        self._surplus_bytes = 0
        self._begin(Phase.REFUSED)
        cycle = self.cycle
        if cycle is not None and not cycle.response_complete:
            if cycle.response_started:
                self.transport.abort()
                return
            # The application is told that its client has left.
            cycle.disconnected = True
            cycle.waiting_for_100_continue = False
            cycle.message_event.set()
        lines = [
            b"HTTP/1.1 %d %s" % (status, PHRASES[status]),
            b"content-length: 0",
            b"connection: close",
        ]
        self.transport.write(b"\r\n".join(lines) + HEAD_END)
        self.transport.write_eof()
        self.flow.resume_reading()

    # Time limits.

    def close_if_expired(self, now_s: float) -> None:
        """Refuses the client, or closes the connection, past a time limit."""
        limits = self._bounds.limits
        if self._has_stopped_reading(now_s, limits.send_timeout_ms):
            self._close(client_bounds.Reason.SEND_TIMEOUT)
            return
        if self.transport.is_closing():
            return
        took_ms = (now_s - self._phase_began_s) * MS_PER_S
        match self._phase:
            case Phase.IDLE:
                if (
                    self.timeout_keep_alive_task is None
                    and took_ms > limits.idle_timeout_ms
                ):
                    self._close(client_bounds.Reason.SILENT)
            case Phase.HEAD:
                if took_ms > limits.header_timeout_ms:
                    self._refuse(408, client_bounds.Reason.HEAD_TIMEOUT)
            case Phase.BODY:
                if took_ms > limits.body_timeout_ms:
                    self._expire_body()
            case Phase.REFUSED:
                if took_ms > LINGER_MS:
                    self.transport.abort()

    def _expire_body(self) -> None:
        if self.cycle.response_complete:
            self._close(client_bounds.Reason.BODY_TIMEOUT)
        else:
            self._refuse(408, client_bounds.Reason.BODY_TIMEOUT)

    def _has_stopped_reading(self, now_s: float, timeout_ms: int) -> bool:
        """Whether the client has taken no byte of its response for long.

        Nothing is added to a response above the high-water mark, or once its
        connection is closing, so that its unsent bytes show what was taken.
        """
        unsent_bytes = self.transport.get_write_buffer_size()
        is_waiting = self.flow.write_paused or self.transport.is_closing()
        if not is_waiting or not unsent_bytes:
            self._unsent_bytes = 0
            return False
        if not self._unsent_bytes or unsent_bytes < self._unsent_bytes:
            self._unsent_bytes = unsent_bytes
            self._unsent_since_s = now_s
        return (now_s - self._unsent_since_s) * MS_PER_S > timeout_ms

    def restart_timeouts(self, late_s: float) -> None:
        """Gives the client the time back in which this process stood still."""
        self._phase_began_s += late_s
        self._unsent_since_s += late_s
