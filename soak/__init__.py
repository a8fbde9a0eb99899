"""A fault soak: the real programs, faults from outside, a judge."""
