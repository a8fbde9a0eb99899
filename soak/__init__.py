"""Soak test: runs the programs under injected faults and checks the result."""
