"""Randomised proofs of what must always hold, and the mutants they catch."""
