"""Signals: SIGTERM and SIGINT drain, then exit; SIGHUP reloads settings."""

from collections.abc import Callable
import os
import pathlib
import signal

import anyio
from radishstack import result

from radishd.process import exits
from radishd.process import logs
from radishd.process import settings as settings_lib

OnReload = Callable[[settings_lib.Settings], None]


class ReloadHook:
    """Holds the callback for reloaded settings."""

    def __init__(self) -> None:
        """Starts without a callback."""
        self.on_reload: OnReload | None = None


async def stop_on_signal(stop: anyio.Event) -> None:
    """Sets an event on the first SIGTERM or SIGINT.

    A second signal exits the process at once: the operator accepts that
    requests in flight are aborted.

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


async def reload_on_signal(path: pathlib.Path, reload_hook: ReloadHook) -> None:
    """Reloads the settings on each SIGHUP, without a restart.

    Invalid settings are logged, and the current settings stay in force.

    Args:
        path: The settings file.
        reload_hook: Holds the callback for the new settings.
    """
    with anyio.open_signal_receiver(signal.SIGHUP) as signals:
        async for _ in signals:
            settings = settings_lib.read(path)
            if isinstance(settings, result.Failure):
                logs.error(
                    "reload_refused", settings.code, reason=settings.message
                )
                continue
            logs.info("reloaded", path=str(path))
            if reload_hook.on_reload is not None:
                reload_hook.on_reload(settings)
