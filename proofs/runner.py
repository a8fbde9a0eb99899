"""Runs a state machine with a seed, in CI and in long runs."""

import hypothesis
from hypothesis import stateful

SUPPRESSED = list(hypothesis.HealthCheck)


def run(
    machine: type[stateful.RuleBasedStateMachine],
    *,
    seed: int,
    examples: int,
    steps: int,
    shrink: bool = True,
) -> None:
    """Runs a state machine; raises on a violation.

    Args:
        machine: The state machine.
        seed: Seed of all random choices.
        examples: Number of runs.
        steps: Maximum number of steps per run.
        shrink: Whether to shrink a failing run.
    """
    seeded = hypothesis.seed(seed)(
        type(machine.__name__, (machine,), {"__module__": machine.__module__})
    )
    phases = [hypothesis.Phase.generate]
    if shrink:
        phases.append(hypothesis.Phase.shrink)
    stateful.run_state_machine_as_test(
        seeded,
        settings=hypothesis.settings(
            max_examples=examples,
            stateful_step_count=steps,
            deadline=None,
            database=None,
            phases=phases,
            suppress_health_check=SUPPRESSED,
            print_blob=False,
        ),
    )
