"""Running a state machine with a seed, in CI and in long runs."""

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
        seed: Decides every choice.
        examples: How many runs.
        steps: Steps of each run at most.
        shrink: Whether a failing run is made shorter.
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
