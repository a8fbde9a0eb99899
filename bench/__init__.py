"""Benchmarks; each prints a table and keeps JSON in ``bench/results``."""
