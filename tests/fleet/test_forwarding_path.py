"""Requests through a gateway: what callers receive, and what targets run."""

import collections

import anyio
from radishstack import result
from standins import platform_engine

from tests.fleet import fixtures

Fault = platform_engine.Fault


def _run_counts(fleet: fixtures.Fleet) -> collections.Counter[str]:
    return collections.Counter(
        attempt for target in fleet.targets.values() for attempt in target.ran
    )


def _expected_stream(attempt: str, count: int = 4) -> bytes:
    return b"".join(
        f"id: {number}\ndata: {attempt} {number}\n\n".encode()
        for number in range(1, count + 1)
    )


def test_stream_waits_until_its_adapter_is_loaded() -> None:
    """No engine holds the adapter: one loads it while the caller waits."""

    async def play() -> None:
        async with fixtures.running_fleet() as fleet:
            answer = await fleet.call("/chat/x?a=", adapter="a7", attempt="0a")
            assert answer.status == 200 and answer.whole, answer
            assert answer.body == _expected_stream("0a")
            seen = [
                one for target in fleet.targets.values() for one in target.seen
            ]
            assert [one.target for one in seen] == ["/chat/x?a="]
            assert int(seen[0].headers["x-deadline-ms"]) <= 3_000

    fixtures.run(play)


def test_non_repeatable_request_is_not_retried_after_a_reset() -> None:
    """A non-repeatable request, such as a booking, runs at most once.

    The target runs it and resets the connection. A proxy that treats the reset
    as proof that nothing ran sends it to another target, and it runs twice.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=0) as fleet:
            for target in fleet.targets.values():
                target.fault = lambda seen: Fault.RESET_AFTER_RUN
            answer = await fleet.call("/book/1", attempt="0b")
            assert answer.status == 502, answer
            assert _run_counts(fleet)["0b"] == 1

    fixtures.run(play)


def test_repeatable_request_is_retried_on_another_target() -> None:
    """The first target resets the connection, the second one responds."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=0) as fleet:
            lost = set()

            def lose_first(seen: platform_engine.ReceivedRequest) -> Fault:
                if seen.attempt_id in lost:
                    return Fault.NONE
                lost.add(seen.attempt_id)
                return Fault.RESET_AFTER_RUN

            for target in fleet.targets.values():
                target.fault = lose_first
            answer = await fleet.call("/look/1", method="GET", attempt="0c")
            assert answer.status == 200, answer
            assert _run_counts(fleet)["0c"] == 2

    fixtures.run(play)


def test_unproven_503_is_not_forwarded() -> None:
    """A 503 without proof that the request did not run becomes a 502.

    Callers treat a 503 as a promise that nothing ran. Forwarded from a target
    that ran the request, it makes a caller repeat a booking.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=0) as fleet:
            for target in fleet.targets.values():
                target.fault = lambda seen: Fault.PROMISE_AFTER_RUN
            answer = await fleet.call("/book/1", attempt="0d")
            assert answer.status == 502, answer
            assert "x-server-signature" not in answer.headers

    fixtures.run(play)


def test_proven_rejection_carries_retry_after() -> None:
    """A full target proves that nothing ran; the caller may retry soon."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=0) as fleet:
            for target in fleet.targets.values():
                target.fault = lambda seen: Fault.SHED
            answer = await fleet.call("/book/1", attempt="0e")
            assert answer.status == 503, answer
            assert float(answer.headers["retry-after"]) > 0
            assert _run_counts(fleet)["0e"] == 0

    fixtures.run(play)


def test_interrupted_resumable_stream_is_completed() -> None:
    """A stream that one target interrupts is continued by another one.

    The target closes the connection in the middle of an event. The caller's
    text has a gap or a repetition if the incomplete event is forwarded, or if
    the second target starts from the beginning.
    """

    async def play() -> None:
        async with fixtures.running_fleet() as fleet:
            cut = set()

            def cut_first(seen: platform_engine.ReceivedRequest) -> Fault:
                if seen.attempt_id in cut:
                    return Fault.NONE
                cut.add(seen.attempt_id)
                return Fault.CUT_MIDWAY

            for target in fleet.targets.values():
                target.fault = cut_first
            answer = await fleet.call("/long/x", adapter="a1", attempt="0f")
            assert answer.whole, answer
            assert answer.body == _expected_stream("0f")

    fixtures.run(play)


def test_interrupted_non_resumable_stream_is_aborted() -> None:
    """A stream that cannot be resumed is aborted, not ended normally.

    Ended normally by the gateway, half a draft looks complete to its caller.
    """

    async def play() -> None:
        async with fixtures.running_fleet() as fleet:
            for target in fleet.targets.values():
                target.fault = lambda seen: Fault.CUT_MIDWAY
            answer = await fleet.call("/chat/x", adapter="a1")
            assert answer.status == 200 and not answer.whole, answer
            assert answer.body == _expected_stream(
                answer.headers["x-attempt-id"], 1
            )

    fixtures.run(play)


def test_duplicate_response_is_discarded() -> None:
    """A caller never receives the response to another request.

    A target responds to a request twice. The second response arrives on the
    reused connection while the next request is sent on it, and must not be
    taken for the response to that request.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=1) as fleet:
            (target,) = fleet.targets.values()
            target.fault = lambda seen: Fault.TWICE
            for number in range(6):
                attempt = f"1{number}"
                answer = await fleet.call("/book/1", attempt=attempt)
                if answer.status == 200:
                    assert f'"{attempt}"'.encode() in answer.body, answer

    fixtures.run(play)


def test_response_without_length_ends_when_the_connection_closes() -> None:
    """The response is complete when the target closes without an error."""

    async def play() -> None:
        async with fixtures.running_fleet() as fleet:
            for target in fleet.targets.values():
                target.fault = lambda seen: Fault.UNFRAMED
            answer = await fleet.call("/chat/x", adapter="a1", attempt="20")
            assert answer.whole, answer
            assert answer.body == _expected_stream("20")

    fixtures.run(play)


def test_engine_control_headers_of_callers_are_dropped() -> None:
    """Headers that control an engine are not forwarded from callers.

    With them, a caller could raise its priority in the engine's queue or read
    the memory of another request.
    """

    async def play() -> None:
        async with fixtures.running_fleet() as fleet:
            await fleet.call(
                "/chat/x",
                adapter="a1",
                X_Hold="1",
                X_Pin_Ms="4000",
                Kv_From="10.0.0.1:1/2",
                X_Request_Priority="0",
                X_Custom="kept",
            )
            seen = [
                one for target in fleet.targets.values() for one in target.seen
            ]
            headers = seen[0].headers
            assert headers["x-custom"] == "kept"
            assert not {"x-hold", "x-pin-ms", "kv-from"} & headers.keys()
            assert headers["x-request-priority"] != "0"

    fixtures.run(play)


def test_unknown_route_and_large_body_are_rejected() -> None:
    """The gateway responds to both itself, and nothing reaches a target."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=0) as fleet:
            answer = await fleet.call("/nowhere/1")
            assert answer.status == result.ROUTE_UNKNOWN.status
            large = await fleet.call("/book/1", body=b"x" * 70_000)
            assert large.status == result.BODY_TOO_LARGE.status
            assert not _run_counts(fleet)

    fixtures.run(play)


def test_caller_disconnect_stops_the_work_at_the_target() -> None:
    """The gateway closes the connection to the target, whose work stops."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=1) as fleet:
            (target,) = fleet.targets.values()
            target.timing.work_ms = 60_000.0
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fleet.call, "/book/1")
                await fleet.until(lambda: bool(target.ran), "it runs")
                tasks.cancel_scope.cancel()
            await fleet.until(
                lambda: fleet.gateway.in_flight == 0, "the gateway let go"
            )
            member = fleet.gateway.roster.members[target.instance]
            assert member.health.in_flight == 0

    fixtures.run(play)


def test_stalled_stream_is_kept_if_no_other_target_can_resume_it() -> None:
    """A stalled stream stays at its target if no other one can resume it.

    The target pauses for longer than the gap objective; no other target holds
    the adapter or can load it. Without a check that another target can resume
    the stream, the gateway abandons the target and the stream is lost.
    """

    async def play() -> None:
        async with fixtures.running_fleet() as fleet:
            await fleet.call("/long/x", adapter="a1")
            (holder,) = (one for one in fleet.targets.values() if one.adapters)
            for target in fleet.targets.values():
                if target is not holder:
                    target.swallow_orders = 1_000_000
            body = fixtures.configuration(version=2)
            for one in body["routes"]:
                one["gapTargetMs"] = 60
            fleet.store.put("config", "main", body)
            await fleet.until(
                lambda: fleet.gateway.table.version == 2, "the gap is known"
            )
            holder.timing.event_ms = 200.0
            answer = await fleet.call("/long/x", adapter="a1", attempt="30")
            assert answer.whole, answer
            assert answer.body == _expected_stream("30")
            assert _run_counts(fleet)["30"] == 1

    fixtures.run(play)


async def _one_slow_and_one_full_engine(
    fleet: fixtures.Fleet, event_ms: float
) -> platform_engine.PlatformEngine:
    """Makes both engines hold an adapter; one pauses, the other is full."""
    await fleet.call("/long/x", adapter="a1")
    (holder,) = (one for one in fleet.targets.values() if one.adapters)
    (other,) = (
        one for one in fleet.targets.values() if one.model and one is not holder
    )
    other.adapters["a1"] = 1
    other.fault = lambda seen: Fault.SHED
    for member in fleet.gateway.roster.members.values():
        if member.listing.instance == other.instance:
            # The first send goes to the engine that pauses.
            member.health.failure_share = 0.3
    views = fleet.gateway.placement.views
    await fleet.until(
        lambda: (
            sum("base7/a1" in view.residents for view in views.values()) == 2
        ),
        "both are known as holders",
    )
    body = fixtures.configuration(version=2)
    for one in body["routes"]:
        one["gapTargetMs"] = 300
        one["targetLatencyMs"] = 2_000
    fleet.store.put("config", "main", body)
    await fleet.until(
        lambda: fleet.gateway.table.version == 2, "the gap is known"
    )
    holder.timing.event_ms = event_ms
    return holder


def test_slow_stream_is_not_aborted_when_the_other_engine_is_full() -> None:
    """A draining gateway keeps a stream whose engine pauses repeatedly.

    The engine processes prompts between tokens, so its pauses exceed the
    objective. If the gateway takes a pause for a failed run, it sends the
    request to the other engine that holds the adapter. That one is full, and
    its rejection must not abort the stream.
    """

    async def play() -> None:
        async with fixtures.running_fleet() as fleet:
            await _one_slow_and_one_full_engine(fleet, event_ms=450.0)
            answers = []

            async def call() -> None:
                answers.append(
                    await fleet.call("/long/x", adapter="a1", attempt="32")
                )

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(call)
                await fleet.until(
                    lambda: fleet.gateway.in_flight > 0, "it is under way"
                )
                fleet.stop.set()
            (answer,) = answers
            assert answer.whole, answer
            assert answer.body == _expected_stream("32")

    fixtures.run(play)


def test_a_planned_stop_does_not_move_a_stream_that_pauses() -> None:
    """Guards against a stream that is given up for a place that is not there.

    Its engine pauses for longer than is waited at most; the other one seems to
    have room, and rejects it until no send is left.
    """

    async def play() -> None:
        async with fixtures.running_fleet() as fleet:
            holder = await _one_slow_and_one_full_engine(fleet, event_ms=10.0)
            holder.event_count = 100
            answers = []

            async def call() -> None:
                answers.append(
                    await fleet.call("/long/x", adapter="a1", attempt="34")
                )

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(call)
                await fleet.until(lambda: "34" in holder.ran, "it runs")
                fleet.stop.set()
                await fleet.until(lambda: fleet.gateway.draining, "it drains")
                holder.timing.event_ms = 1_300.0
                # The pause has begun by the next event.
                await anyio.sleep(0.1)
                holder.timing.event_ms = 1.0
            (answer,) = answers
            assert answer.whole, answer
            assert _run_counts(fleet)["34"] == 1

    fixtures.run(play)


def test_interrupted_stream_is_resumed_after_a_rejection() -> None:
    """An interrupted stream is resumed although one engine rejects it.

    The engine fails in the middle of the run; the other engine that holds
    the adapter is full for a moment and rejects the request. The rejection
    proves that nothing ran there, and most of the stream's time is left: it
    must not abort a stream that the first engine can resume.
    """

    async def play() -> None:
        async with fixtures.running_fleet() as fleet:
            holder = await _one_slow_and_one_full_engine(fleet, event_ms=5.0)
            shed = []
            (other,) = (
                one
                for one in fleet.targets.values()
                if one.model and one is not holder
            )

            def full_once(seen: platform_engine.ReceivedRequest) -> Fault:
                shed.append(seen.attempt_id)
                return Fault.SHED if len(shed) == 1 else Fault.NONE

            other.fault = full_once
            holder.fault = lambda seen: Fault.CUT_MIDWAY
            answer = await fleet.call("/long/x", adapter="a1", attempt="33")
            assert answer.whole, answer
            assert answer.body == _expected_stream("33")

    fixtures.run(play)


def test_lost_response_is_not_reported_as_not_executed() -> None:
    """The outcome is unknown after a lost response and a failed retry.

    An engine runs the request and resets the connection; no other engine can
    load the adapter. That the retry was not sent does not prove that the first
    send did not run.
    """

    async def play() -> None:
        async with fixtures.running_fleet() as fleet:
            await fleet.call("/long/x", adapter="a1")
            (holder,) = (one for one in fleet.targets.values() if one.adapters)
            for target in fleet.targets.values():
                if target is not holder:
                    target.swallow_orders = 1_000_000
            holder.fault = lambda seen: Fault.RESET_AFTER_RUN
            answer = await fleet.call("/long/x", adapter="a1", attempt="31")
            assert _run_counts(fleet)["31"] == 1
            assert answer.status == result.OUTCOME_UNKNOWN.status, answer
            assert b'"executed": "unknown"' in answer.body

    fixtures.run(play)
