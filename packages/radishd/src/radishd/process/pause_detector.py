"""Detects pauses of this process: frozen, suspended or starved of CPU."""

from collections.abc import Callable

import anyio

from radishd.process import clock

TICK_MS = 100
# A busy event loop delays a tick by tens of milliseconds; a delay above this
# means that the VM was frozen or suspended.
MIN_PAUSE_MS = 700
MS_PER_S = 1_000


async def watch(on_pause: Callable[[int], None]) -> None:
    """Calls back after each process pause.

    State from before a pause is outdated: leases have expired, connections are
    closed, targets are gone.

    Args:
        on_pause: Called with the length of the pause in milliseconds.
    """
    before_ms = clock.boot_ms()
    while True:
        await anyio.sleep(TICK_MS / MS_PER_S)
        now_ms = clock.boot_ms()
        late_ms = now_ms - before_ms - TICK_MS
        if late_ms > MIN_PAUSE_MS:
            on_pause(late_ms)
        before_ms = now_ms
