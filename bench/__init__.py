"""Benchmarks; each prints its results and saves JSON in ``bench/results``."""
