"""Draining and graceful shutdown of real processes."""

import threading

from radishstack import result

from tests.daemon import fixtures


def _stream_in_background(
    site: fixtures.Site, entry: str, answers: list[fixtures.Answer]
) -> threading.Thread:
    def work() -> None:
        answers.append(
            site.complete(
                entry, "adapter-1", "long", stream=True, max_tokens=120
            )
        )

    thread = threading.Thread(target=work)
    thread.start()
    return thread


def _running(site: fixtures.Site, name: str) -> int:
    status = site.status(name)
    return status.get("running", status.get("in_flight", 0))


def _check_drain(name: str) -> None:
    with fixtures.running_site(
        engines=1, plain_targets=0, step_ms=10.0
    ) as site:
        answers: list[fixtures.Answer] = []
        caller = _stream_in_background(site, "entry-1", answers)
        fixtures.wait_until(
            lambda: _running(site, "engine-1") == 1, "the stream runs"
        )
        assert site.stop(name) == 0
        caller.join()
        assert answers[0].whole, answers
        assert len(fixtures.text_of_stream(answers[0].body).split()) == 120


def test_entry_drains_with_a_stream_in_flight() -> None:
    """SIGTERM to an entry daemon truncates no started answer."""
    _check_drain("entry-1")


def test_target_drains_with_a_stream_in_flight() -> None:
    """SIGTERM to a target process aborts no run in flight."""
    _check_drain("engine-1")


def test_drain_limit_aborts_and_logs() -> None:
    """Runs in flight at the drain limit are aborted, logged and counted."""
    target = {"drain_ms": 100}
    with fixtures.running_site(
        engines=1, plain_targets=0, step_ms=30.0, target=target
    ) as site:
        answers: list[fixtures.Answer] = []
        caller = _stream_in_background(site, "entry-1", answers)
        fixtures.wait_until(
            lambda: _running(site, "engine-1") == 1, "the stream runs"
        )
        site.stop("engine-1")
        caller.join()
        log = (site.folder / "engine-1.log").read_text(encoding="utf-8")
        assert str(result.CUT_AT_SHUTDOWN.number) in log
        assert not answers[0].whole or answers[0].status != 200


def test_a_request_at_the_drain_limit_of_an_entry_is_answered() -> None:
    """Guards against an exit that cuts a request without an answer."""
    entry = {"drain_ms": 600}
    with fixtures.running_site(
        engines=1, plain_targets=0, step_ms=30.0, entry=entry
    ) as site:
        answers: list[fixtures.Answer] = []

        def work() -> None:
            answers.append(
                site.complete("entry-1", "adapter-1", "long", max_tokens=2_000)
            )

        caller = threading.Thread(target=work)
        caller.start()
        fixtures.wait_until(
            lambda: _running(site, "engine-1") == 1, "the request runs"
        )
        assert site.stop("entry-1") == 0
        caller.join()
        (answer,) = answers
        assert answer.status == 504 and answer.whole, answer


def test_second_signal_exits_at_once() -> None:
    """A second SIGTERM exits without waiting for the drain."""
    with fixtures.running_site(
        engines=1, plain_targets=0, step_ms=30.0
    ) as site:
        answers: list[fixtures.Answer] = []
        caller = _stream_in_background(site, "entry-1", answers)
        fixtures.wait_until(
            lambda: _running(site, "engine-1") == 1, "the stream runs"
        )
        site.signal("engine-1", 15)
        fixtures.wait_until(
            lambda: site.status("engine-1")["ready"] == "leaving", "it drains"
        )
        assert site.stop("engine-1") == 8
        caller.join()


def test_draining_target_gets_no_new_work() -> None:
    """Guards against work that is lost with a VM announced as leaving.

    The platform lists a target as leaving. Entry daemons may observe this
    before the target, after it or never, so the target process itself rejects
    new work and other targets run it.
    """
    with fixtures.running_site() as site:
        for index in range(4):
            site.complete("entry-1", f"adapter-{index}", "warm")
        site.list_vms("engine-1")
        fixtures.wait_until(
            lambda: site.status("engine-1")["ready"] == "leaving",
            "engine-1 learned that it leaves",
        )
        before = len(site.state("engine-1-behind")["executions"])
        for index in range(6):
            for entry in site.entries:
                answer = site.complete(entry, f"adapter-{index}", "x")
                assert answer.status == 200, answer
                target = answer.headers["x-radishstack-target"]
                assert target == "engine-2"
        after = len(site.state("engine-1-behind")["executions"])
        assert before == after
