"""Faults of real processes; checks callers' records against executions."""

import signal

from tests.daemon import fixtures
from tests.daemon import records

QUARANTINE_MS = 1_500


def _stop_and_check(site: fixtures.Site, callers: records.CallerGroup) -> None:
    """Stops the callers and compares their records with the executions."""
    callers.finish()
    plain_targets = [name for name in site.targets if name.startswith("desk")]
    engines = [name for name in site.targets if name.startswith("engine")]
    callers.check(
        [site.state(f"{name}-behind") for name in plain_targets],
        [site.state(f"{name}-behind") for name in engines],
    )


def _wait_for_more(callers: records.CallerGroup, kind: str, more: int) -> None:
    """Waits until callers have received more successful answers."""
    expected = callers.count(kind, whole=True) + more
    fixtures.wait_until(
        lambda: callers.count(kind, whole=True) >= expected,
        f"{more} more {kind}",
    )


def test_killed_target_processes_repeat_and_lose_nothing() -> None:
    """Guards against a booking that is executed twice after a SIGKILL.

    The target process of a plain service is killed under load after it
    forwarded a booking. The caller sends the key again to its replacement,
    whose empty ledger must not count as proof that the key never ran.
    """
    target = {"quarantine_ms": QUARANTINE_MS, "resume_ms": 500}
    with fixtures.running_site(plain_targets=2, target=target) as site:
        callers = records.CallerGroup(site)
        callers.start(booking_callers=2, streaming_callers=3)
        _wait_for_more(callers, "stream", 4)
        for name in ("desk-1", "engine-1"):
            site.kill(name)
            site.start(name)
            fixtures.wait_until(lambda n=name: site.ready(n), f"{name} is back")
        _wait_for_more(callers, "stream", 4)
        _wait_for_more(callers, "book", 4)
        _stop_and_check(site, callers)


def test_frozen_target_process_runs_nothing_late() -> None:
    """Guards against calls that are executed after their deadline.

    A target process is paused (SIGSTOP) with submissions in its socket and
    continues (SIGCONT) after their deadlines. By then the caller has received
    an unknown outcome and resubmitted the call.
    """
    with fixtures.running_site(plain_targets=1) as site:
        url = site.url("entry-1", "/v1/services/booking/reserve")
        first = site.reserve("entry-1", "warm", {})
        assert first.status == 200
        site.signal("desk-1", signal.SIGSTOP)
        headers = {"Idempotency-Key": "late", "X-Request-Timeout-Ms": "300"}
        answer = fixtures.call("POST", url, {}, headers=headers)
        assert (answer.status, answer.executed) == (504, "unknown"), answer
        site.signal("desk-1", signal.SIGCONT)
        after = site.reserve("entry-2", "after", {})
        assert after.status == 200
        executions = site.state("desk-1-behind")["executions"]
        assert executions == {"warm": 1, "after": 1}


def test_frozen_engine_process_under_load() -> None:
    """An engine's target process is paused and continued under load."""
    with fixtures.running_site() as site:
        callers = records.CallerGroup(site)
        callers.start(booking_callers=1, streaming_callers=3)
        _wait_for_more(callers, "stream", 4)
        site.signal("engine-2", signal.SIGSTOP)
        _wait_for_more(callers, "book", 4)
        site.signal("engine-2", signal.SIGCONT)
        _wait_for_more(callers, "stream", 4)
        _stop_and_check(site, callers)


def test_engine_restarted_cold_in_mid_stream() -> None:
    """Guards against truncated answers and answers of another adapter.

    Engines crash in mid-stream and restart with no adapter loaded. The failure
    occurs if grants outlive the incarnation they were issued for, or if the end
    of the connection counts as the end of the answer.
    """
    with fixtures.running_site() as site:
        callers = records.CallerGroup(site, tokens=30)
        callers.start(booking_callers=0, streaming_callers=4)
        for name in ("engine-1", "engine-2", "engine-1"):
            _wait_for_more(callers, "stream", 3)
            fixtures.call(
                "POST", site.url(f"{name}-behind", "/standin/restart")
            )
        _wait_for_more(callers, "stream", 4)
        _stop_and_check(site, callers)


def test_failed_loads_and_lost_answers_to_loads() -> None:
    """Loads fail, and answers to successful loads are lost."""
    with fixtures.running_site() as site:
        for name in ("engine-1", "engine-2"):
            site.faults(f"{name}-behind", lost_load_answers=3)
        callers = records.CallerGroup(site)
        callers.start(booking_callers=0, streaming_callers=3)
        _wait_for_more(callers, "stream", 6)
        for name in ("engine-1", "engine-2"):
            site.faults(f"{name}-behind", load_failure_rate=0.5)
        _wait_for_more(callers, "stream", 3)
        for name in ("engine-1", "engine-2"):
            site.faults(f"{name}-behind", load_failure_rate=0.0)
        _wait_for_more(callers, "stream", 6)
        _stop_and_check(site, callers)


def test_engine_that_runs_another_adapter_is_detected() -> None:
    """Guards against returning the answer of a wrong adapter."""
    with fixtures.running_site(plain_targets=0, engines=1) as site:
        site.faults("engine-1-behind", wrong_adapter="adapter-9@1")
        for stream in (False, True):
            answer = site.complete("entry-1", "adapter-2", "x", stream=stream)
            assert answer.code == 3007, answer
            assert answer.executed == "yes"
        site.faults("engine-1-behind", wrong_adapter="")
        assert site.complete("entry-1", "adapter-2", "x").status == 200


def test_long_outage_of_the_object_api() -> None:
    """Guards against an outage of the object API that stops requests.

    A process that restarts during the outage is not ready, since it has no
    configuration version. The others keep theirs. An operator's change is
    rejected or its outcome is unknown, but it is never partially applied.
    """
    with fixtures.running_site() as site:
        callers = records.CallerGroup(site)
        callers.start(booking_callers=1, streaming_callers=2)
        _wait_for_more(callers, "stream", 2)
        site.faults("platform", outage=True)
        _wait_for_more(callers, "stream", 4)
        _wait_for_more(callers, "book", 4)
        rejected = site.radishctl("customer", "set", "lab", "share", "3.0")
        assert rejected.returncode == 4, rejected
        site.faults("platform", outage=False)
        accepted = site.radishctl("customer", "set", "lab", "share", "3.0")
        assert accepted.returncode == 0, accepted
        site.wait_in_force(2)
        _stop_and_check(site, callers)


def test_process_that_starts_in_an_outage_asks_its_peers() -> None:
    """Guards against VMs that stay unready when replaced in a store outage.

    The object API fails and an entry daemon is replaced. Unless it reads the
    current version from its peers, it stays unready or serves an old one.
    """
    with fixtures.running_site(engines=1, entries=1) as site:
        changed = site.radishctl("customer", "set", "lab", "share", "2.5")
        assert changed.returncode == 0, changed
        site.wait_in_force(2)
        site.faults("platform", outage=True)
        site.kill("entry-1")
        site.start("entry-1")
        fixtures.wait_until(lambda: site.ready("entry-1"), "entry-1 is back")
        assert site.status("entry-1")["config_version"] == 2
        assert site.complete("entry-1", "adapter-1", "x").status == 200


def test_answer_to_a_commit_is_lost() -> None:
    """Guards against applying a change twice when its answer is lost."""
    with fixtures.running_site(engines=1, entries=1) as site:
        site.faults("platform", lost_write_answers=2)
        changed = site.radishctl("customer", "set", "lab", "share", "4.0")
        assert changed.returncode == 0, changed
        history = site.radishctl("--output", "json", "config", "history")
        assert history.stdout.count('"write_id"') == 2, history.stdout


def test_service_moves_while_its_keys_are_sent() -> None:
    """Guards against a booking that is executed twice after a service moves.

    A key runs on its old home, an operator moves the service to other targets,
    and the caller sends the key again. The new home has no record of the key
    and must ask the old one.
    """
    with fixtures.running_site(plain_targets=3) as site:
        callers = records.CallerGroup(site)
        callers.start(booking_callers=3, streaming_callers=0)
        for targets in ("[desk-1]", "[desk-2, desk-3]", "[desk-1, desk-2]"):
            _wait_for_more(callers, "book", 6)
            moved = site.radishctl(
                "service", "set", "booking", "targets", targets
            )
            assert moved.returncode == 0, moved
        _wait_for_more(callers, "book", 6)
        _stop_and_check(site, callers)


def test_two_operators_at_the_same_moment() -> None:
    """Commuting changes are both accepted; a conflicting one is rejected."""
    with fixtures.running_site(engines=1, entries=1, plain_targets=0) as site:
        first = site.radishctl("customer", "set", "lab", "share", "5.0")
        second = site.radishctl(
            "customer", "set", "rental-house", "share", "6.0"
        )
        assert first.returncode == second.returncode == 0
        path = site.folder / "document.yaml"
        stale = site.radishctl("config", "apply", str(path), "--base", "1")
        assert stale.returncode == 5, stale
        assert "4001" in stale.stderr
