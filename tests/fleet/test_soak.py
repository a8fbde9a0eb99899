"""Tests of the soak: a short run under faults, and the checks themselves."""

import asyncio
import dataclasses
import json
import os
import pathlib
import tempfile
from unittest import mock

from radishd.connection import http_client

from soak import accounts
from soak import history as history_lib
from soak import judge
from soak import processes
from soak import relay
from soak import schedule
from soak import streams
from soak import world

SEED = 1
FAULTS_MS = 4_000
CAP_BROKEN = {"a usage cap holds over all gateways"}


def test_a_short_soak_breaks_no_promise() -> None:
    """Runs the programs as processes that are killed, paused and cut off."""
    with tempfile.TemporaryDirectory() as folder:
        history = asyncio.run(
            world.run(SEED, FAULTS_MS, schedule.Size(), pathlib.Path(folder))
        )
    assert history.attempts
    assert not judge.judge(history)


def test_a_schedule_follows_from_its_seed() -> None:
    """A failed run must be repeatable from its seed."""
    first = schedule.draw(7, 30_000, schedule.Size())
    assert first == schedule.draw(7, 30_000, schedule.Size())
    assert first != schedule.draw(8, 30_000, schedule.Size())


def _history() -> history_lib.History:
    """Returns a history in which every promise is kept."""
    events = "".join(f"id: {n}\ndata: c1 {n}\n\n" for n in range(1, 5))
    chat = history_lib.Attempt("c1", "chat", 0, 0, 100, 200, True, events)
    book = history_lib.Attempt(
        "b1", "book", 0, 0, 100, 200, True, '{"attempt": "b1"}'
    )
    refused = history_lib.Attempt("b2", "book", 0, 0, 100, 503, True, "")
    late_ms = judge.RECOVERY_MS + 10
    last = dataclasses.replace(
        book, attempt_id="b3", body='{"attempt": "b3"}', sent_at_ms=late_ms
    )
    last = dataclasses.replace(last, ended_at_ms=late_ms + 10)
    arrivals = [
        history_lib.Arrival(name, "i", 10, True) for name in ("c1", "b1", "b3")
    ]
    stop_ms = late_ms + 1_000
    stop = history_lib.Event("final_stop", "gateway-0", stop_ms, stop_ms)
    return history_lib.History(
        1, 20, [chat, book, refused, last], arrivals, [stop], {}, {"i": ["s"]}
    )


def _broken(history: history_lib.History) -> set[str]:
    return {one.promise for one in judge.judge(history)}


def test_the_judge_compares_requests_while_connections_are_skewed() -> None:
    """Guards against a gateway that fails what it reads of all connections."""
    history = _history()
    book = history.attempts[1]
    skew = history_lib.Event("connections_skewed", "callers", 30_000, 38_000)
    history.events.append(skew)
    history.attempts += [
        dataclasses.replace(
            book,
            attempt_id=f"s{number}",
            body=f'{{"attempt": "s{number}"}}',
            sent_at_ms=26_000 + 100 * number,
            status=200 if number < 60 or number % 2 else 429,
        )
        for number in range(120)
    ]
    assert _broken(history) == {"one gateway serves all new connections"}
    history.events.append(
        history_lib.Event("gateway_kill", "gateway-1", 29_000, 29_100)
    )
    assert not _broken(history)


def test_a_late_send_to_a_draining_target_is_found_over_a_sound_link() -> None:
    """Guards against excusing late sends by faults of other links or times.

    A silent link delivers what was sent in time after the bound.
    """
    bound_ms = judge.DRAINING_SETTLING_MS
    arrival = history_lib.Arrival("c1", "i-3-1", bound_ms + 1_480, True)

    def broken(*events: history_lib.Event) -> set[str]:
        history = _history()
        history.leaving["i-3-1"] = 0
        history.arrivals[0] = arrival
        history.events.extend(events)
        return _broken(history)

    late = {"a leaving target gets no work"}
    assert broken() == late
    at_ms = arrival.at_ms
    silent = history_lib.Event("link_silent", "target-3", 500, at_ms - 10)
    assert not broken(silent)
    other_link = dataclasses.replace(silent, victim="target-2")
    other_fault = dataclasses.replace(silent, kind="target_faults")
    later = dataclasses.replace(silent, at_ms=at_ms + 1, until_ms=at_ms + 9)
    ended_ms = at_ms - judge.UNDISTURBED_MS - 1
    earlier = dataclasses.replace(silent, at_ms=ended_ms, until_ms=ended_ms)
    for event in (other_link, other_fault, later, earlier):
        assert broken(event) == late, event


def test_the_judge_finds_each_broken_promise() -> None:
    """Guards against a check that passes whatever the history contains."""
    assert not _broken(_history())
    twice = _history()
    twice.arrivals.append(twice.arrivals[1])
    assert _broken(twice) == {"at most once"}
    ran = _history()
    ran.arrivals.append(history_lib.Arrival("b2", "i", 10, True))
    assert _broken(ran) == {"not run is true"}
    short = _history()
    short.attempts[0] = dataclasses.replace(short.attempts[0], body="id: 1\n")
    assert _broken(short) == {"whole and own"}
    half = _history()
    half.attempts[1] = dataclasses.replace(half.attempts[1], body='{"at')
    assert _broken(half) == {"whole and own"}
    foreign = _history()
    foreign.attempts[1] = dataclasses.replace(
        foreign.attempts[1], body='{"attempt": "b3"}'
    )
    assert _broken(foreign) == {"whole and own"}
    left = _history()
    left.attempts[0] = dataclasses.replace(
        left.attempts[0], left=True, status=0, body=""
    )
    left.arrivals[0] = dataclasses.replace(left.arrivals[0], at_ms=601)
    assert _broken(left) == {"nothing is sent for a caller that left"}
    leaving = _history()
    leaving.leaving["i"] = -judge.DRAINING_SETTLING_MS
    assert _broken(leaving) == {"a leaving target gets no work"}
    filled = _history()
    filled.overfilled.append("i")
    filled.holders["i"].append("other")
    assert _broken(filled) == {
        "no engine is overfilled",
        "one holder of orders",
    }
    unknown = _history()
    unknown.attempts[2] = dataclasses.replace(unknown.attempts[2], status=404)
    assert _broken(unknown) == {"a change takes effect and stays"}
    unserved = _history()
    unserved.attempts[3] = dataclasses.replace(unserved.attempts[3], status=502)
    assert _broken(unserved) == {"served again after all faults"}
    cut = _history()
    stop_ms = cut.events[0].at_ms
    cut.attempts[1] = dataclasses.replace(
        cut.attempts[1], whole=False, ended_at_ms=stop_ms + 10, body=""
    )
    assert _broken(cut) == {"a graceful stop cuts nothing"}
    large = _history()
    large.memory_mib["gateway-0"] = judge.MAX_MEMORY_MIB + 1
    assert _broken(large) == {"memory is bounded"}


def _with_account(
    name: str, account: str, key: str, *, status: int = 200, at_ms: int = 10_000
) -> history_lib.History:
    """Returns a history with one further request, sent for an account."""
    history = _history()
    history.keys_added_ms["guest-1"] = 0
    for number in range(len(history.attempts)):
        history.attempts[number] = dataclasses.replace(
            history.attempts[number],
            account=accounts.STEADY,
            key=accounts.KEYS[accounts.STEADY],
        )
    history.arrivals = [
        dataclasses.replace(one, account=accounts.STEADY)
        for one in history.arrivals
    ]
    body = json.dumps({"attempt": name}) if status == judge.SUCCESS else ""
    history.attempts.append(
        history_lib.Attempt(
            name,
            "look",
            0,
            at_ms,
            at_ms + 5,
            status,
            True,
            body,
            False,
            account,
            key,
        )
    )
    if status == judge.SUCCESS:
        history.arrivals.append(
            history_lib.Arrival(name, "i", at_ms + 2, True, account)
        )
    return history


def test_the_judge_finds_wrong_decisions_on_keys() -> None:
    """Guards against account checks that pass whatever the history contains."""
    guest = _with_account("g", accounts.ROTATING, "guest-1")
    assert not _broken(guest)
    guest.keys_removed_ms["guest-1"] = 1_000
    assert _broken(guest) == {"only a known key is served"}
    refused = _with_account("g", accounts.ROTATING, "guest-1", status=401)
    assert _broken(refused) == {"a known key is let in"}
    forged = _with_account("g", accounts.NO_ACCOUNT, accounts.FORGED)
    assert _broken(forged) == {"only a known key is served"}
    reported = _with_account("g", accounts.ROTATING, "guest-1")
    reported.arrivals[-1] = dataclasses.replace(
        reported.arrivals[-1], had_key=True
    )
    assert _broken(reported) == {"its account is named, and no key is told"}
    other = _with_account("g", accounts.ROTATING, "guest-1")
    other.arrivals[-1] = dataclasses.replace(other.arrivals[-1], account="crew")
    assert _broken(other) == {"its account is named, and no key is told"}


def test_the_judge_finds_a_cap_that_does_not_hold() -> None:
    """Guards against a cap check that passes whatever the history contains."""
    key = accounts.KEYS[accounts.CAPPED]
    limit = accounts.CAP.limit(accounts.USAGE_WINDOW_MS)
    allowed = limit * (1 + accounts.RULES.overage) + accounts.RULES.tolerance
    for count, broken in (
        (int(allowed), set()),
        (int(allowed) + 1, CAP_BROKEN),
    ):
        history = _with_account("g0", accounts.CAPPED, key)
        for number in range(1, count):
            name = f"g{number}"
            history.attempts.append(
                dataclasses.replace(
                    history.attempts[-1],
                    attempt_id=name,
                    body=json.dumps({"attempt": name}),
                )
            )
            history.arrivals.append(
                dataclasses.replace(history.arrivals[-1], attempt_id=name)
            )
        assert _broken(history) == broken


def _poisoned(count: int, gateway: int = 1) -> history_lib.History:
    """Returns a history in which one request crashes ``count`` targets."""
    history = _history()
    for number in range(count):
        name = f"p{number}"
        at_ms = 4_000 * number
        history.poison_attempts[name] = history_lib.PoisonAttempt(
            "/book/p", gateway, at_ms
        )
        history.arrivals.append(
            history_lib.Arrival(name, f"i{number}", at_ms + 10, True)
        )
    return history


def test_the_judge_finds_repeated_crashes_and_false_rejections() -> None:
    """Checks the bound on crashes by one request, and on false rejections.

    After the third crash a request may crash three more targets. No other
    request may be rejected with the code for requests that crash targets.
    """
    assert not _broken(_poisoned(judge.MAX_CRASHES + judge.MAX_REPEATS))
    too_many = _poisoned(judge.MAX_CRASHES + judge.MAX_REPEATS + 1)
    assert _broken(too_many) == {"what ends targets is refused"}
    disturbed = _poisoned(judge.MAX_CRASHES + judge.MAX_REPEATS + 1)
    disturbed.events.append(
        history_lib.Event("gateway_pause", "gateway-1", 20_000, 24_500)
    )
    assert not _broken(disturbed)
    refused = _history()
    refused.attempts[2] = dataclasses.replace(
        refused.attempts[2], body='{"type": "request_ends_targets"}'
    )
    assert _broken(refused) == {"nobody else is refused"}


def test_the_judge_finds_ignored_draining_and_backoff() -> None:
    """A gateway must follow a state that it forwarded, unless it restarted."""
    reported = _history()
    late_ms = judge.DRAINING_SETTLING_MS + 1
    reported.leavers.append(history_lib.DrainingResponse(0, "i", -late_ms))
    # The first two requests are late enough.
    assert _broken(reported) == {"a target's word that it leaves counts"}
    in_time = _history()
    in_time.leavers.append(history_lib.DrainingResponse(0, "other", -late_ms))
    in_time.leavers.append(history_lib.DrainingResponse(1, "i", -late_ms))
    assert not _broken(in_time)
    restarted = _history()
    restarted.leavers.append(history_lib.DrainingResponse(0, "i", -late_ms))
    restarted.events.append(
        history_lib.Event("gateway_kill", "gateway-0", -10, -5)
    )
    assert not _broken(restarted)
    backed_off = _history()
    backed_off.rests.append(history_lib.BackoffResponse("b2", "i", -600, 1_000))
    assert _broken(backed_off) == {"a target that asks for rest gets it"}
    # The response may not have arrived; one of another target's link has.
    vm = history_lib.vm_of("i")
    link_slow = history_lib.Event("link_slow", vm, -700, -500)
    backed_off.events.append(link_slow)
    assert not _broken(backed_off)
    other_link = dataclasses.replace(link_slow, victim="target-99")
    backed_off.events[-1] = other_link
    assert _broken(backed_off) == {"a target that asks for rest gets it"}


def test_the_judge_finds_a_rate_limit_that_is_exceeded() -> None:
    """Guards against a check that counts no request above a limit."""
    limited = _history()
    from_ms = 100_000
    limited.rate_limits.append(
        history_lib.RateLimit("i", 1.0, from_ms, from_ms + 9_000)
    )
    for number in range(20):
        name = f"l{number}"
        at_ms = from_ms + 4_000 + number
        attempt = dataclasses.replace(
            limited.attempts[1], attempt_id=name, status=500, sent_at_ms=at_ms
        )
        limited.attempts.append(attempt)
        limited.arrivals.append(history_lib.Arrival(name, "i", at_ms, True))
    promise = "a target's rate limit holds over all gateways"
    assert promise not in _broken(limited)
    limited.limited_responses.append(
        history_lib.LimitedResponse(0, "i", from_ms + 100)
    )
    assert promise in _broken(limited)
    limited.events.append(
        history_lib.Event(
            "gateway_kill", "gateway-0", from_ms + 200, from_ms + 300
        )
    )
    assert promise not in _broken(limited)


def _stream(
    name: str, software_version: str, numbers: range, **fields: object
) -> history_lib.Attempt:
    """Returns an attempt with some events of one software version."""
    body = "".join(
        f"id: {n}\ndata: {name} {n} {software_version}\n\n" for n in numbers
    )
    whole = numbers.stop > streams.EVENT_COUNT
    values = {"sent_at_ms": 10, "ended_at_ms": 20, "status": 200} | fields
    return history_lib.Attempt(
        name, "long", 0, body=body, whole=whole, **values
    )


def test_the_judge_finds_a_stream_of_two_software_versions() -> None:
    """Guards against a check that compares only the events of one response."""
    first = _stream("s0", "v1", range(1, 3))
    for software_version, broken in (("v1", set()), ("v2", {"s0"})):
        second = _stream(
            "s1", software_version, range(3, 5), resumes="s0", after_event=2
        )
        found = streams.mixed([first, second])
        assert found.keys() == broken


def test_the_judge_finds_that_resumed_streams_are_rejected() -> None:
    """Guards against a gateway that rejects every stream in doubt."""
    promise = "streams that callers resume continue"
    for target_count, expected in ((1, False), (2, True)):
        history = _history()
        history.engines += [
            history_lib.EngineSpan(f"i{number}", "v1", 0, 100)
            for number in range(target_count)
        ]
        for number in range(streams.MIN_RESUMED):
            history.attempts.append(_stream(f"s{number}", "v1", range(1, 5)))
            rejected = _stream(
                f"r{number}",
                "v1",
                range(3, 3),
                resumes=f"s{number}",
                after_event=2,
                status=503,
            )
            history.attempts.append(rejected)
        assert (promise in _broken(history)) is expected


def test_a_history_is_judged_again_from_its_file() -> None:
    """A stored history must give the same violations after it is read."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "history.json"
        broken = _history()
        broken.arrivals.append(broken.arrivals[1])
        broken.save(path)
        assert history_lib.load(path) == broken
        assert judge.judge(history_lib.load(path)) == judge.judge(broken)


def test_a_silent_link_drops_bytes_of_a_reset_connection() -> None:
    """Guards against a request that arrives although it was cancelled.

    The link holds the request up; its sender resets the connection meanwhile.
    """
    received: list[bytes] = []

    async def accept(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        received.append(await reader.read(100))
        writer.close()

    async def play() -> None:
        host = f"127.251.0.{os.getpid() % 200 + 1}"
        server = await asyncio.start_server(accept, host, 0)
        link = relay.Relay(server.sockets[0].getsockname()[:2])
        await link.start(host, world.LINK_PORT)
        for is_reset in (True, False):
            link.link.silent = True
            connection = await http_client.open_connection(
                f"{host}:{world.LINK_PORT}", 1_000
            )
            connection.send(b"request")
            await asyncio.sleep(3 * relay.POLL_S)
            if is_reset:
                connection.close()
                await asyncio.sleep(3 * relay.POLL_S)
            link.link.silent = False
            async with asyncio.timeout(10):
                while len(received) < 1 + (not is_reset):
                    await asyncio.sleep(relay.POLL_S)
        link.stop()
        server.close()

    asyncio.run(play())
    assert received == [b"", b"request"]


def test_two_faults_at_once_start_a_program_once() -> None:
    """Guards against a process that is started twice and never killed."""
    started = 0

    async def start_twice(folder: pathlib.Path) -> None:
        async def create(*args: str, **options: object) -> mock.Mock:
            nonlocal started
            started += 1
            await asyncio.sleep(0)
            return mock.Mock(returncode=None)

        program = processes.Program("gateway-0", {}, folder)
        with mock.patch.object(asyncio, "create_subprocess_exec", create):
            await asyncio.gather(program.start(), program.start())

    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(start_twice(pathlib.Path(folder)))
    assert started == 1
