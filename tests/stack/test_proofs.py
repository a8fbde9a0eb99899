"""Runs the state machines with fixed seeds; ``proofs.soak`` runs longer."""

from proofs import crashes
from proofs import publication
from proofs import rate_limits
from proofs import runner
from proofs import serving
from proofs import starts
from proofs import streams
from proofs import usage


def test_serving_promises_hold_under_faults() -> None:
    """Guards against broken serving promises under any mix of faults."""
    for seed in (1, 2):
        runner.run(serving.ServingMachine, seed=seed, examples=80, steps=100)
    assert serving.COUNTS["executions"] > 100
    assert serving.COUNTS["fault kill"] > 20


def test_accepted_configuration_never_reverts() -> None:
    """Guards against lost changes when operators race and writes are late."""
    runner.run(publication.PublicationMachine, seed=1, examples=150, steps=50)
    assert publication.COUNTS["accepted"] > 50


def test_only_crashing_requests_are_quarantined() -> None:
    """Guards against quarantines of requests that don't crash targets.

    Targets crash, also from power cuts under popular requests; reports are
    lost, duplicated and late.
    """
    for seed in (1, 2, 3):
        runner.run(crashes.CrashesMachine, seed=seed, examples=100, steps=60)
    assert crashes.COUNTS["fault crash"] > 100
    assert crashes.COUNTS["refused"] > 100
    assert crashes.COUNTS["cleared"] > 50


def test_state_of_former_incarnations_is_ignored() -> None:
    """Guards against use of a former incarnation's adapters after a restart.

    Store entries, status updates and reports arrive in any order.
    """
    for seed in (1, 2, 3, 4, 5, 8, 9, 210):
        runner.run(
            starts.IncarnationsMachine, seed=seed, examples=100, steps=60
        )
    assert starts.COUNTS["fault restart"] > 100
    assert starts.COUNTS["fault late write"] > 20
    assert starts.COUNTS["fault restore"] > 100


def test_a_stream_continues_only_at_its_software_version() -> None:
    """Guards against a resumed stream at another version than it began.

    Gateways are killed and cut off, read the list late and lose messages.
    """
    for seed in (1, 2, 3):
        runner.run(streams.StreamsMachine, seed=seed, examples=60, steps=60)
    assert streams.COUNTS["fault kill"] > 100
    assert streams.COUNTS["fault cut"] > 100
    assert streams.COUNTS["fault version"] > 100
    assert streams.COUNTS["resumed"] > 1_000


def test_no_window_exceeds_a_usage_cap() -> None:
    """Guards against a cap that gateways under faults exceed together."""
    for seed in (1, 2, 6, 50):
        runner.run(usage.UsageMachine, seed=seed, examples=60, steps=60)
    assert usage.COUNTS["fault cut"] > 100
    assert usage.COUNTS["fault freeze"] > 100
    assert usage.COUNTS["judged at the cap"] > 100


def test_no_window_exceeds_a_rate_limit_that_a_target_names() -> None:
    """Guards against gateways that exceed a target's rate limit together."""
    for seed in range(1, 7):
        runner.run(
            rate_limits.RateLimitsMachine, seed=seed, examples=60, steps=60
        )
    assert rate_limits.COUNTS["fault restart"] > 100
    assert rate_limits.COUNTS["judged at the limit"] > 100
