"""The clocks of a process."""

import time

NS_PER_MS = 1_000_000


def now_ms() -> int:
    """Returns the monotonic clock in milliseconds."""
    return time.monotonic_ns() // NS_PER_MS


def unix_ms() -> int:
    """Returns the wall clock in milliseconds since 1970."""
    return time.time_ns() // NS_PER_MS
