"""Keeps the tasks of a process running: one error never ends the process."""

from collections.abc import Awaitable
from collections.abc import Callable

import anyio

from radishd.process import logs
from radishd.process import metrics as metrics_lib

# Pause before a task that broke is begun anew, so that one that breaks at
# once does not take the processor.
RESTART_DELAY_MS = 200
MS_PER_S = 1_000


async def run_forever(
    name: str, run: Callable[[], Awaitable[None]], metrics: metrics_lib.Metrics
) -> None:
    """Runs a task, and begins it anew whenever it breaks.

    Args:
        name: Its name, for the log.
        run: The task.
        metrics: Where breaks are counted.
    """
    while True:
        try:
            await run()
        except Exception:
            logs.exception("task_broke", task=name)
            metrics.broken.inc({"code": name})
        await anyio.sleep(RESTART_DELAY_MS / MS_PER_S)
