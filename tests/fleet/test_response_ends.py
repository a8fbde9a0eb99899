"""Responses that a target breaks off although they look complete to HTTP."""

from radishd.process import clock
from radishstack.process import crash_evidence
from radishstack.process import incarnation
from radishstack.request import fingerprint as fingerprint_lib
from standins import platform_engine
from standins import platform_site

from tests.fleet import fixtures

Fault = platform_engine.Fault
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


def test_an_answer_that_is_broken_off_clears_no_suspect() -> None:
    """Guards against evidence of a crash that a cut answer removes."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=2, plain=0) as fleet:
            fingerprint = fingerprint_lib.of_request(
                "POST", platform_site.HOST, b"/chat/x", b""
            )
            now_ms = clock.boot_ms()
            suspect = crash_evidence.Record(
                fingerprint,
                (
                    crash_evidence.Observation(
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
