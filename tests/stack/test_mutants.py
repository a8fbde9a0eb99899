"""Tests that mutants still match the code that they change."""

import pathlib

from proofs import mutants as proof_mutants
from soak import mutants as soak_mutants

PACKAGES = pathlib.Path(__file__).parents[2] / "packages"


def test_each_mutant_matches_exactly_once() -> None:
    """Guards against mutants whose quoted code was rewritten.

    Such a mutant no longer tests its promise, which goes unnoticed until
    somebody runs it. Mutants of ``placement.py`` (former incarnations) and
    ``roster.py`` (draining targets, in the soak) matched 0 times.
    """
    for mutant in (*proof_mutants.MUTANTS, *soak_mutants.MUTANTS):
        package, _, _ = mutant.path.partition("/")
        path = PACKAGES / package / "src" / mutant.path
        count = path.read_text(encoding="utf-8").count(mutant.old)
        assert count == 1, f"{mutant.path}: {mutant.old!r} stands {count} times"
