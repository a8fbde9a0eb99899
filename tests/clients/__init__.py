"""Clients that ignore the limits, at each listening port of each program."""
