"""Tests; run with ``python -m tests``."""
