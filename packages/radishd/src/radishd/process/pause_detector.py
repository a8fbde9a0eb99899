"""Notices that this process stood still: frozen, suspended or starved."""

from collections.abc import Callable

import anyio

from radishd.process import clock

TICK_MS = 100
# A tick this late means that the VM was frozen or suspended; a busy loop is
# late by tens of milliseconds.
MIN_PAUSE_MS = 700
MS_PER_S = 1_000


async def watch(on_pause: Callable[[int], None]) -> None:
    """Calls back after each standstill.

    What was believed before it is old: leases have passed, connections are
    closed, targets have gone.

    Args:
        on_pause: Given how long it was.
    """
    before_ms = clock.boot_ms()
    while True:
        await anyio.sleep(TICK_MS / MS_PER_S)
        now_ms = clock.boot_ms()
        late_ms = now_ms - before_ms - TICK_MS
        if late_ms > MIN_PAUSE_MS:
            on_pause(late_ms)
        before_ms = now_ms
