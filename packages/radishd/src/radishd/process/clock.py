"""The clocks of a process."""

import time

NS_PER_MS = 1_000_000


def now_ms() -> int:
    """Returns the monotonic clock in milliseconds."""
    return time.monotonic_ns() // NS_PER_MS


def boot_ms() -> int:
    """Returns a monotonic clock that includes the time the VM is suspended.

    A deadline on the plain monotonic clock would be extended by a suspension,
    and targets would be given time that the caller no longer has.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NS_PER_MS


def unix_ms() -> int:
    """Returns the wall clock in milliseconds since 1970."""
    return time.time_ns() // NS_PER_MS
