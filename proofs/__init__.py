"""Randomised tests of the system's invariants, and mutants they must catch."""
