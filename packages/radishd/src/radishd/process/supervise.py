"""Restarts failed tasks, so that no single error ends the process."""

from collections.abc import Awaitable
from collections.abc import Callable

import anyio

from radishd.process import logs
from radishd.process import metrics as metrics_lib

# Delay before a failed task is restarted, so that a task that fails at once
# does not use up the CPU.
RESTART_DELAY_MS = 200
MS_PER_S = 1_000


async def run_forever(
    name: str, run: Callable[[], Awaitable[None]], metrics: metrics_lib.Metrics
) -> None:
    """Runs a task, and restarts it whenever it fails or returns.

    Args:
        name: Name of the task, for the log.
        run: The task.
        metrics: Where failures are counted.
    """
    while True:
        try:
            await run()
        except Exception:
            logs.exception("task_broke", task=name)
            metrics.broken.inc({"code": name})
        await anyio.sleep(RESTART_DELAY_MS / MS_PER_S)
