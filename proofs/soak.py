"""Long randomised runs: ``python -m proofs.soak --seed N --minutes M``."""

import collections
import sys
import time
import traceback

import click
from hypothesis import stateful

from proofs import crashes
from proofs import listing
from proofs import publication
from proofs import rate_limits
from proofs import runner
from proofs import serving
from proofs import starts
from proofs import streams
from proofs import usage

SECONDS_PER_MINUTE = 60.0
EXAMPLES_PER_SEED = 100

MACHINES: dict[
    str, tuple[type[stateful.RuleBasedStateMachine], int, collections.Counter]
] = {
    "serving": (serving.ServingMachine, 150, serving.COUNTS),
    "starts": (starts.IncarnationsMachine, 60, starts.COUNTS),
    "crashes": (crashes.CrashesMachine, 60, crashes.COUNTS),
    "usage": (usage.UsageMachine, 60, usage.COUNTS),
    "rate_limits": (
        rate_limits.RateLimitsMachine,
        60,
        rate_limits.COUNTS,
    ),
    "streams": (streams.StreamsMachine, 60, streams.COUNTS),
    "listing": (listing.ListingMachine, 60, listing.COUNTS),
    "publication": (publication.PublicationMachine, 60, publication.COUNTS),
}


def run_for(
    name: str, first_seed: int, seconds: float, *, shrink: bool = True
) -> tuple[int, int]:
    """Runs one state machine with one seed after another.

    Args:
        name: Name of the state machine.
        first_seed: Seed of the first round.
        seconds: Time after which no further round is started.
        shrink: Whether to shrink a failing run, which is slow.

    Returns:
        Number of rounds and of violations; stops at the first violation.
    """
    machine, steps, _ = MACHINES[name]
    started_s = time.monotonic()
    rounds = violations = 0
    while not rounds or time.monotonic() - started_s < seconds:
        seed = first_seed + rounds
        rounds += 1
        try:
            runner.run(
                machine,
                seed=seed,
                examples=EXAMPLES_PER_SEED,
                steps=steps,
                shrink=shrink,
            )
        except Exception:
            violations += 1
            print(f"{name}: violation with seed {seed}")
            traceback.print_exc(limit=-4)
            break
    return rounds, violations


def show(name: str, rounds: int, violations: int) -> None:
    """Prints the counts of one state machine."""
    counts = MACHINES[name][2]
    print(f"\n{name}: {rounds} rounds of {EXAMPLES_PER_SEED} runs")
    for key in sorted(counts):
        if key != "checks":
            print(f"  {key:32} {counts[key]}")
    faults = sum(n for key, n in counts.items() if key.startswith("fault"))
    print(
        f"{name}: {faults} faults injected, {counts['checks']} checks, "
        f"{violations} violations"
    )


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--minutes", default=1.0, show_default=True)
@click.option(
    "--machine",
    "names",
    multiple=True,
    type=click.Choice(sorted(MACHINES)),
    help="Which state machines; by default all, sharing the time.",
)
@click.option("--shrink/--no-shrink", default=True, show_default=True)
def main(
    seed: int, minutes: float, names: tuple[str, ...], shrink: bool
) -> None:
    """Runs the state machines for a while and counts what they did."""
    chosen = names or tuple(sorted(MACHINES))
    seconds = minutes * SECONDS_PER_MINUTE / len(chosen)
    total = 0
    for name in chosen:
        rounds, violations = run_for(name, seed, seconds, shrink=shrink)
        show(name, rounds, violations)
        total += violations
    print(f"\nviolations: {total}")
    sys.exit(1 if total else 0)


if __name__ == "__main__":
    main()
