"""Responses that a target breaks off although they look complete to HTTP."""

import socket
from typing import Any

from radishd.connection import http_client
from radishd.process import clock
from radishstack.process import incarnation
from radishstack.process import suspicion
from radishstack.request import event_stream
from radishstack.request import fingerprint as fingerprint_lib
from radishstack.request import response_end
from standins import platform_engine
from standins import platform_site

from tests.fleet import fixtures

Fault = platform_engine.Fault
Framing = http_client.Framing
# Faults that end a stream inside an event, without and with the last chunk.
INSIDE_EVENT = (Fault.CLOSE_IN_EVENT, Fault.END_IN_EVENT)


def _expected_events(attempt: str, count: int) -> bytes:
    return b"".join(
        f"id: {number}\ndata: {attempt} {number}\n\n".encode()
        for number in range(1, count + 1)
    )


def _inject(fleet: fixtures.Fleet, fault: Fault, *, times: int = 1) -> None:
    """Injects a fault into the next requests that targets receive."""
    left = times

    def draw(seen: platform_engine.ReceivedRequest) -> Fault:
        nonlocal left
        del seen
        left -= 1
        return fault if left >= 0 else Fault.NONE

    for target in fleet.targets.values():
        target.fault = draw


def test_a_stream_that_ends_inside_an_event_is_aborted() -> None:
    """Guards against half an event that is forwarded as a complete stream.

    The target closes the connection of an answer without a length and chunks,
    or sends the last chunk, in the middle of an event.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=2, plain=0) as fleet:
            for number, fault in enumerate(INSIDE_EVENT):
                _inject(fleet, fault)
                attempt = f"1{number}"
                answer = await fleet.call(
                    "/chat/x", adapter="a1", attempt=attempt
                )
                assert answer.status == 200 and not answer.whole, answer
                assert answer.body == _expected_events(attempt, 1), answer

    fixtures.run(play)


def test_a_resumable_stream_that_ends_inside_an_event_continues() -> None:
    """Guards against a resumable stream that ends where a target stopped."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=2, plain=0) as fleet:
            for number, fault in enumerate(INSIDE_EVENT):
                _inject(fleet, fault)
                attempt = f"2{number}"
                answer = await fleet.call(
                    "/long/x", adapter="a1", attempt=attempt
                )
                assert answer.whole, answer
                assert answer.body == _expected_events(attempt, 4), answer

    fixtures.run(play)


def test_a_stream_whose_target_crashes_after_an_event_is_aborted() -> None:
    """Guards against a crash that looks like the end of a connection.

    The operating system closes the connections of a crashed target, and a
    target usually writes whole events.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=2, plain=0) as fleet:
            _inject(fleet, Fault.CRASH_AT_CLOSE)
            answer = await fleet.call("/chat/x", adapter="a1", attempt="31")
            assert answer.status == 200 and not answer.whole, answer
            assert answer.body == _expected_events("31", 2), answer

    fixtures.run(play)


def test_a_plain_answer_whose_target_crashes_is_not_forwarded() -> None:
    """Guards against half a booking that is forwarded as a whole one."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=3) as fleet:
            _inject(fleet, Fault.CRASH_AT_CLOSE)
            answer = await fleet.call("/book/1", attempt="41")
            assert answer.status == 502, answer
            _inject(fleet, Fault.CRASH_AT_CLOSE)
            answer = await fleet.call("/look/1", attempt="42")
            assert answer.status == 200 and answer.whole, answer
            assert b"}" in answer.body, answer

    fixtures.run(play)


def test_answers_without_a_length_are_forwarded() -> None:
    """Guards against treating all answers that end with a close as cut."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=1, plain=1) as fleet:
            _inject(fleet, Fault.UNFRAMED, times=2)
            answer = await fleet.call("/chat/x", adapter="a1", attempt="51")
            assert answer.whole, answer
            assert answer.body == _expected_events("51", 4), answer
            answer = await fleet.call("/book/1", attempt="52")
            assert answer.status == 200 and answer.whole, answer
            assert b"}" in answer.body, answer

    fixtures.run(play)


def test_an_event_without_an_end_is_not_buffered_without_bound() -> None:
    """Guards against a target that fills the memory of a gateway."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=1, plain=0) as fleet:
            _inject(fleet, Fault.ENDLESS_EVENT)
            answer = await fleet.call("/chat/x", adapter="a1", attempt="61")
            assert answer.status == 502, answer.status

    fixtures.run(play)
    events = event_stream.EventStream()
    events.feed(b"x" * event_stream.MAX_EVENT_BYTES)
    assert not events.is_oversized
    events.feed(b"x")
    assert events.is_oversized


def test_an_answer_that_is_broken_off_clears_no_suspect() -> None:
    """Guards against evidence of a crash that a cut answer removes."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=2, plain=0) as fleet:
            fingerprint = fingerprint_lib.of_request(
                "POST", platform_site.HOST, b"/chat/x", b""
            )
            now_ms = clock.boot_ms()
            suspect = suspicion.Record(
                fingerprint,
                (
                    suspicion.Observation(
                        incarnation.IncarnationId("i-gone", 1),
                        now_ms - 900,
                        now_ms - 500,
                    ),
                ),
            )
            evidence = fleet.gateway.crash_gossip.evidence
            for fault in INSIDE_EVENT:
                evidence.take(suspect)
                _inject(fleet, fault)
                await fleet.call("/chat/x", adapter="a1")
                assert evidence.record(fingerprint).observations, fault

    fixtures.run(play)


class _Transport:
    """A transport that drops what is sent."""

    def __init__(self) -> None:
        self.socket = socket.socket()

    def get_extra_info(self, name: str) -> socket.socket:
        del name
        return self.socket

    def write(self, data: bytes) -> None:
        del data

    def is_closing(self) -> bool:
        return True

    def resume_reading(self) -> None:
        pass


def _encode(framing: Framing, body: bytes) -> bytes:
    """Returns a response with a body of two chunks if it is chunked."""
    head = b"HTTP/1.1 200 OK\r\n"
    if framing is Framing.LENGTH:
        return head + b"Content-Length: %d\r\n\r\n" % len(body) + body
    if framing is Framing.CLOSE:
        return head + b"\r\n" + body
    middle = len(body) // 2
    chunks = b"".join(
        b"%x\r\n%s\r\n" % (len(chunk), chunk)
        for chunk in (body[:middle], body[middle:])
        if chunk
    )
    head += b"Transfer-Encoding: chunked\r\n\r\n"
    return head + chunks + b"0\r\n\r\n"


async def _read_stream(
    data: bytes, *, error: Exception | None = None
) -> tuple[bytes, Any]:
    """Reads a response that ends after some bytes.

    Returns:
        The events that a caller receives, and how the response ended; None if
        HTTP does not take it as complete.
    """
    connection = http_client.Connection()
    connection.connection_made(_Transport())
    connection.send(b"")
    connection.data_received(data)
    connection.connection_lost(error)
    head = await connection.head()
    events = event_stream.EventStream()
    received = b""
    while True:
        piece = await connection.chunk()
        if isinstance(piece, http_client.Lost):
            return received, None
        if not piece:
            break
        for position in range(len(piece)):
            received += events.feed(piece[position : position + 1])
    end = response_end.judge(
        response_end.Ending(
            is_delimited=http_client.framing(head) is not Framing.CLOSE,
            is_inside_event=events.is_inside_event,
            lacks_events=events.is_empty,
        )
    )
    return received, end


LINE_ENDS = (b"\n", b"\r\n", b"\r")


def _events_with(line_end: bytes) -> list[bytes]:
    lines = (b"id: 1|data: a||", b": comment||", b"id: 2|data: b||")
    events = [one.replace(b"|", line_end) for one in lines]
    return [event_stream.BYTE_ORDER_MARK + events[0], *events[1:]]


def test_a_stream_that_is_cut_at_any_byte_is_not_complete() -> None:
    """Guards against cut streams that pass for whole ones in some framing.

    A stream is cut after each of its bytes, by a close and by a reset. Only a
    close at the end of an event leaves it to the state of the target.
    """

    async def play() -> None:
        for line_end in LINE_ENDS:
            events = _events_with(line_end)
            body = b"".join(events)
            ends = {len(b"".join(events[:count])) for count in (1, 2, 3)}
            if line_end == b"\r\n":
                # Its CR alone ends the empty line, too.
                ends |= {size - 1 for size in ends}
            for framing in (Framing.LENGTH, Framing.CHUNKED, Framing.CLOSE):
                data = _encode(framing, body)
                first = data.index(b"\r\n\r\n") + 4
                for size in range(first, len(data) + 1):
                    is_framed = framing is not Framing.CLOSE
                    is_whole = is_framed and size == len(data)
                    reset = ConnectionResetError()
                    _, end = await _read_stream(data[:size], error=reset)
                    assert (end is not None) is is_whole, (framing, size)
                    received, end = await _read_stream(data[:size])
                    case = (framing, line_end, size, end)
                    assert body.startswith(received), case
                    if is_framed:
                        assert (end is not None) is is_whole, case
                    elif size - first in ends:
                        assert end is response_end.Undecided.TARGET_STATE, case
                    else:
                        assert not end.is_complete, case

    fixtures.run(play)


def test_a_frame_that_ends_inside_an_event_is_not_complete() -> None:
    """Guards against trusting a length or last chunk that comes too early."""

    async def play() -> None:
        for line_end in LINE_ENDS:
            events = _events_with(line_end)
            body = b"".join(events)
            for size in range(len(events[0]) + 1, len(body)):
                for framing in (Framing.LENGTH, Framing.CHUNKED):
                    received, end = await _read_stream(
                        _encode(framing, body[:size])
                    )
                    rest = body[len(received) : size].strip(b"\r\n")
                    expected = (
                        response_end.End.INSIDE_EVENT
                        if rest
                        else response_end.End.DELIMITED
                    )
                    assert end is expected, (framing, line_end, size)

    fixtures.run(play)


def test_a_stream_without_length_and_events_is_not_complete() -> None:
    """Guards against a stream that ends before its first event."""

    async def play() -> None:
        for body in (b"", b"\r\n", event_stream.BYTE_ORDER_MARK):
            _, end = await _read_stream(_encode(Framing.CLOSE, body))
            assert end is response_end.End.EMPTY, body
        resumed = event_stream.EventStream()
        resumed.last_id = b"4"
        assert not resumed.is_empty

    fixtures.run(play)
