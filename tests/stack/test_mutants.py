"""Mutants still change the code that they were written for."""

import pathlib

from proofs import mutants as proof_mutants
from soak import mutants as soak_mutants

PACKAGES = pathlib.Path(__file__).parents[2] / "packages"


def test_each_mutant_matches_exactly_once() -> None:
    """A promise seems proved though its mutant changes nothing any more.

    The code that a mutant changed was rewritten, and nobody ran the mutant
    since: ``placement.py: 0 times`` for one of former starts, ``roster.py: 0
    times`` for the soak's one of targets that leave.
    """
    for mutant in (*proof_mutants.MUTANTS, *soak_mutants.MUTANTS):
        package, _, _ = mutant.path.partition("/")
        path = PACKAGES / package / "src" / mutant.path
        count = path.read_text(encoding="utf-8").count(mutant.old)
        assert count == 1, f"{mutant.path}: {mutant.old!r} stands {count} times"
