"""Signals: the first starts the drain, the second ends the process."""

import os
import signal

import anyio

from radishd.process import exits
from radishd.process import logs


async def stop_on_signal(stop: anyio.Event) -> None:
    """Sets an event on the first SIGTERM or SIGINT.

    A second signal ends the process at once: the operator has decided that
    what is in flight may be cut.

    Args:
        stop: Set on the first signal.
    """
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for number in signals:
            if stop.is_set():
                logs.warn("second_signal", signal=int(number))
                os._exit(exits.CUT_AT_SHUTDOWN)
            logs.info("draining", signal=int(number))
            stop.set()
