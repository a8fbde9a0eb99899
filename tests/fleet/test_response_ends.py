"""Responses that a target breaks off although they look complete to HTTP."""

import functools
import socket
from typing import Any

import anyio
from radishd import gateway as gateway_lib
from radishd.connection import http_client
from radishd.platform import health
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


def test_a_crash_that_closes_the_listening_socket_last_is_a_crash() -> None:
    """Guards against a cut answer that is taken as complete.

    A killed process has its sockets closed one by one, so that it still accepts
    connections when the end of a cut answer arrives.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=2, plain=3) as fleet:
            _inject(fleet, Fault.CRASH_LISTENER_LAST)
            answer = await fleet.call("/chat/x", adapter="a1", attempt="71")
            assert answer.status == 200 and not answer.whole, answer
            assert answer.body == _expected_events("71", 2), answer
            _inject(fleet, Fault.CRASH_LISTENER_LAST)
            answer = await fleet.call("/book/1", attempt="72")
            assert answer.status == 502, answer

    fixtures.run(play)


def test_a_stream_continues_after_a_crash_that_closes_sockets_late() -> None:
    """Guards against a resumable stream that ends where a target crashed."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=2, plain=0) as fleet:
            _inject(fleet, Fault.CRASH_LISTENER_LAST)
            answer = await fleet.call("/long/x", adapter="a1", attempt="73")
            assert answer.whole, answer
            assert answer.body == _expected_events("73", 4), answer

    fixtures.run(play)


def _start_draining(fleet: fixtures.Fleet, instance: str) -> None:
    entry = fleet.store.objects["servers"][instance]["spec"]
    fleet.store.put("servers", instance, {**entry, "state": "draining"})


def test_a_whole_answer_of_a_draining_target_is_complete() -> None:
    """Guards against the last answer of a target that is taken as cut.

    A draining target closes its listening socket, finishes what it runs, and
    exits. Its refused connections are no sign of a crash.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=1, plain=1) as fleet:
            engine, plain = fleet.targets.values()
            roster = fleet.gateway.roster

            def drain(
                seen: platform_engine.ReceivedRequest,
            ) -> platform_engine.Fault:
                del seen
                _start_draining(fleet, engine.instance)
                return Fault.LEAVE_AT_END

            engine.fault = drain
            engine.timing.event_ms = 400.0
            answer = await fleet.call("/chat/x", adapter="a1", attempt="81")
            assert answer.whole, answer
            assert answer.body == _expected_events("81", 4), answer
            # The target says only in its answers that it drains.
            plain.leaving = True
            _inject(fleet, Fault.LEAVE_AT_END)
            answer = await fleet.call("/book/1", attempt="82")
            assert answer.status == 200 and b"}" in answer.body, answer
            member = roster.members[engine.instance]
            assert not roster.is_active(member, clock.boot_ms())

    fixtures.run(play)


def test_a_draining_target_that_crashes_cuts_its_answers() -> None:
    """Guards against crashes that a drain hides.

    All responses of the target end at once, one of them without its last chunk.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=1, plain=0) as fleet:
            engine = fleet.targets["i-engine0"]
            engine.timing.event_ms = 100.0
            engine.event_count = 40
            faults = iter([Fault.NONE, Fault.CRASH_AT_CLOSE])
            engine.fault = lambda seen: next(faults)
            answers: dict[str, fixtures.Answer] = {}

            async def call(attempt: str) -> None:
                answers[attempt] = await fleet.call(
                    "/chat/x", adapter="a1", attempt=attempt, left_ms=8_000
                )

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(call, "91")
                await fleet.until(lambda: len(engine.ran) == 1, "one runs")
                tasks.start_soon(call, "92")
                await fleet.until(lambda: len(engine.ran) == 2, "both run")
                _start_draining(fleet, engine.instance)
            assert not any(one.whole for one in answers.values()), answers

    fixtures.run(play)


TargetState = response_end.TargetState
Closing = response_end.Closing
Deregistration = response_end.Deregistration
End = response_end.End


def test_the_end_of_a_response_without_a_length_is_judged_by_evidence() -> None:
    """Guards against crashes taken as ends, and ends taken as crashes."""
    gone = TargetState.UNREACHABLE
    draining = {"target": gone, "is_draining": True}
    removed = {"deregistration": Deregistration.REMOVED}
    listed = {"deregistration": Deregistration.LISTED}
    unknown = {"deregistration": Deregistration.UNKNOWN}
    pending = response_end.Undecided.DEREGISTRATION
    cases: tuple[tuple[dict[str, Any], Any], ...] = (
        ({"target": TargetState.ANSWERS}, End.CLOSED),
        ({"target": TargetState.ACCEPTS}, End.CLOSED),
        ({"target": TargetState.REPLACED}, End.UNREACHABLE),
        ({"target": gone}, End.UNREACHABLE),
        ({"target": gone, **removed}, End.UNREACHABLE),
        (draining, pending),
        ({**draining, **removed}, End.CLOSED_BY_EXIT),
        ({**draining, **listed}, End.UNREACHABLE),
        ({**draining, **unknown}, End.CLOSED_BY_EXIT),
        ({**draining, "outlived_count": 1}, End.CLOSED_BY_EXIT),
        ({**draining, "cut_count": 1}, End.UNREACHABLE),
        ({**draining, "cut_count": 1, **removed}, End.UNREACHABLE),
        ({**draining, "has_short_notice": True}, End.UNREACHABLE),
        ({**draining, "closed_count": 1}, pending),
        ({**draining, "closed_count": 1, **removed}, End.CLOSED_BY_EXIT),
        ({**draining, "closed_count": 1, **unknown}, End.UNREACHABLE),
    )
    for known, expected in cases:
        assert response_end.judge_closed(Closing(**known)) is expected, known


async def _end_responses(
    fleet: fixtures.Fleet,
    gateway: gateway_lib.Gateway,
    *,
    deregisters: bool,
    count: int = 2,
    pauses: bool = False,
) -> list[fixtures.Answer]:
    """Lets a draining target end its responses at once as it exits."""
    engine = fleet.targets["i-engine0"]
    engine.timing.event_ms = 150.0
    engine.fault = lambda seen: Fault.UNFRAMED
    answers: list[fixtures.Answer] = []

    async def call() -> None:
        answers.append(
            await fleet.call("/chat/x", adapter="a1", gateway=gateway)
        )

    async with anyio.create_task_group() as tasks:
        for _ in range(count):
            tasks.start_soon(call)
        await fleet.until(lambda: len(engine.ran) == count, "all run")
        _start_draining(fleet, engine.instance)
        member = gateway.roster.members[engine.instance]
        await fleet.until(lambda: member.listing.leaving, "it drains")
        engine.stop_listening()
        await fleet.until(
            lambda: not sum(engine.running.values()), "all have ended"
        )
        if pauses:
            gateway.on_process_pause(1_000)
        if deregisters:
            fleet.store.delete("servers", engine.instance)
    return answers


async def _play_ends(**options: Any) -> bool:
    """Returns whether all answers are whole; they end at the same time."""
    async with fixtures.running_fleet(engines=1, plain=0) as fleet:
        gateway = await fleet.add_gateway(leaving_ms=100, heartbeat_ms=400)
        await fleet.until(
            lambda: not gateway.ready() and len(gateway.placement.views) == 1,
            "the second gateway is up",
        )
        answers = await _end_responses(fleet, gateway, **options)
        whole = {one.whole for one in answers}
        assert len(whole) == 1, answers
        return whole.pop()


def test_a_target_that_deregisters_has_finished_its_responses() -> None:
    """Guards against an exit that is taken as a crash.

    The last two responses of a draining target end at the same time, as in a
    crash. A crashed target does not remove its entry, which expires later.
    """

    async def play() -> None:
        assert await _play_ends(deregisters=True)

    fixtures.run(play)


def test_responses_without_a_deregistration_are_cut() -> None:
    """Guards against a crash of a draining target that is taken as its exit.

    After a pause of the gateway, a missing entry may have expired.
    """

    async def play() -> None:
        assert not await _play_ends(deregisters=False)
        assert not await _play_ends(deregisters=False, count=1)
        assert not await _play_ends(deregisters=True, pauses=True)

    fixtures.run(play)


def test_a_response_outlives_the_end_of_another() -> None:
    """Guards against a whole answer that is cut while its target still runs.

    A target drains without a word: its entry is gone, and it accepts no
    connection. It ends one response after the other.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=1, plain=0) as fleet:
            gateway = await fleet.add_gateway(leaving_ms=100)
            await fleet.until(
                lambda: (
                    not gateway.ready() and len(gateway.placement.views) == 1
                ),
                "the second gateway is up",
            )
            engine = fleet.targets["i-engine0"]
            engine.timing.event_ms = 150.0
            faults = iter([Fault.UNFRAMED, Fault.UNFRAMED, Fault.NONE])
            engine.fault = lambda seen: next(faults)
            answers: list[fixtures.Answer] = []

            async def call() -> None:
                answers.append(
                    await fleet.call("/chat/x", adapter="a1", gateway=gateway)
                )

            async with anyio.create_task_group() as tasks:
                for _ in range(2):
                    tasks.start_soon(call)
                await fleet.until(lambda: len(engine.ran) == 2, "both run")
                await anyio.sleep(0.1)
                tasks.start_soon(call)
                await fleet.until(lambda: len(engine.ran) == 3, "all run")
                fleet.store.delete("servers", engine.instance)
                await fleet.until(
                    lambda: not gateway.roster.members, "it is unlisted"
                )
                engine.stop_listening()
            assert all(one.whole for one in answers), answers

    fixtures.run(play)


def test_an_answer_shows_which_incarnation_runs() -> None:
    """Guards against a new incarnation that passes for the one that crashed.

    A gateway that pauses while a target crashes and restarts connects to the
    next process at its address.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=1, plain=1) as fleet:
            observe = fleet.gateway.liveness_check.observe
            members = fleet.gateway.roster.members
            engine = fleet.targets["i-engine0"]
            listing = members["i-engine0"].listing
            assert (await observe(listing)).state is TargetState.ANSWERS
            engine.restart(engine.born_ms + 1)
            assert (await observe(listing)).state is TargetState.REPLACED
            plain = fleet.targets["i-plain0"]
            listing = members["i-plain0"].listing
            assert (await observe(listing)).state is TargetState.ANSWERS
            plain.instance = "i-other"
            assert (await observe(listing)).state is TargetState.REPLACED
            await plain.stop()
            assert (await observe(listing)).state is TargetState.UNREACHABLE

    fixtures.run(play)


def _reach_limit(
    target: platform_engine.PlatformEngine,
    seen: platform_engine.ReceivedRequest,
) -> Fault:
    del seen
    target.connection_limit = 0
    return Fault.UNFRAMED


def test_a_rejected_health_request_shows_another_incarnation() -> None:
    """Guards against a rejection of the next process that passes for life."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=1) as fleet:
            listing = fleet.gateway.roster.members["i-plain0"].listing
            for status, expected in (
                (200, TargetState.ANSWERS),
                (503, TargetState.ANSWERS),
                (421, TargetState.REPLACED),
            ):
                answer = http_client.Answer(http_client.Head(status, ()), b"")
                state = health.decode(answer, listing, "/healthz")
                assert state is expected, status

    fixtures.run(play)


def test_a_late_second_response_is_no_answer_to_a_health_request() -> None:
    """Guards against a sound target that passes for another incarnation.

    A target rejects a request of which it lacks the adapter, and sends the
    rejection once more on that connection.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=1, plain=0) as fleet:
            (engine,) = fleet.targets.values()
            engine.adapters["a1"] = 1
            gateway = fleet.gateway
            member = gateway.roster.members[engine.instance]
            name = f"{fixtures.MODEL}/a1"
            await fleet.until(
                lambda: (
                    name in gateway.placement.residents(member, clock.boot_ms())
                ),
                "the gateway knows the adapter",
            )
            engine.adapters.clear()
            engine.answers_twice = lambda seen, status: status == 421
            engine.timing.load_ms = 1_000.0
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(
                    functools.partial(fleet.call, "/chat/x", adapter="a1")
                )
                await fleet.until(lambda: bool(engine.seen), "it is rejected")
                observation = await gateway.liveness_check.observe(
                    member.listing
                )
                tasks.cancel_scope.cancel()
            assert observation.state is TargetState.ANSWERS, observation

    fixtures.run(play)


def test_a_health_request_leaves_no_used_connection() -> None:
    """Guards against a sound response that cannot be attributed.

    A response that names no request is only trusted on a connection that has
    carried no other one.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=1) as fleet:
            (target,) = fleet.targets.values()
            member = fleet.gateway.roster.members[target.instance]
            await fleet.gateway.liveness_check.observe(member.listing)
            target.endless_form = "responses"
            _inject(fleet, Fault.ENDLESS_BYTES)
            answer = await fleet.call("/book/1")
            assert answer.status == 500, answer

    fixtures.run(play)


def test_a_crash_shows_without_a_path_for_the_health() -> None:
    """Guards against half a booking of a service without a health path."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=2) as fleet:
            services = fixtures.configuration()["services"]
            for service in services:
                service.pop("healthPath", None)
            fleet.store.put(
                "config", "main", fixtures.configuration(3, services=services)
            )
            await fleet.until(
                lambda: fleet.gateway.table.version == 3, "it is in force"
            )
            _inject(fleet, Fault.CRASH_LISTENER_LAST)
            answer = await fleet.call("/book/1")
            assert answer.status == 502, answer
            _inject(fleet, Fault.UNFRAMED)
            answer = await fleet.call("/book/1")
            assert answer.status == 200 and answer.whole, answer

    fixtures.run(play)


def test_a_target_at_its_connection_limit_is_not_taken_as_crashed() -> None:
    """Guards against sound answers cut since further connections are reset."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=1, plain=1) as fleet:
            for target in fleet.targets.values():
                target.fault = functools.partial(_reach_limit, target)
            answer = await fleet.call("/chat/x", adapter="a1", attempt="93")
            assert answer.whole, answer
            answer = await fleet.call("/book/1", attempt="94")
            assert answer.status == 200 and answer.whole, answer

    fixtures.run(play)


def test_a_crash_that_closes_sockets_late_is_recorded() -> None:
    """Guards against a crash without evidence, as connections were accepted."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=2, plain=0) as fleet:
            _inject(fleet, Fault.CRASH_LISTENER_LAST)
            await fleet.call("/chat/x", adapter="a1")
            await fleet.until(
                lambda: fixtures.count_aborted_responses(
                    fleet.gateway, ended=True
                ),
                "the crash is recorded",
            )

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
