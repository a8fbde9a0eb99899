"""A weight store that limits the rate and speed of transfers."""

import time

import anyio
import click

from standins import web

MS_PER_S = 1000.0


class WeightStore:
    """A weight store.

    More concurrent transfers than ``at_full_speed`` share the bandwidth.
    """

    def __init__(
        self,
        *,
        rate_per_s: float = 4.0,
        at_full_speed: int = 3,
        transfer_ms: float = 100.0,
    ) -> None:
        """Creates an idle store.

        Args:
            rate_per_s: Transfers that it starts per second.
            at_full_speed: Concurrent transfers before each slows down.
            transfer_ms: Duration of a transfer at full speed.
        """
        self.rate_per_s = rate_per_s
        self.at_full_speed = at_full_speed
        self.transfer_ms = transfer_ms
        self.active = 0
        self.transfers = 0
        self._next_at_s = 0.0

    async def handle(self, request: web.Request) -> None:
        """Transfers one adapter's weights."""
        if request.path == "/standin/state":
            await request.reply({"transfers": self.transfers})
            return
        self.transfers += 1
        now_s = time.monotonic()
        # One second's worth of transfers may start as a burst; others queue.
        self._next_at_s = max(self._next_at_s, now_s - 1.0)
        self._next_at_s += 1.0 / self.rate_per_s
        await anyio.sleep(max(0.0, self._next_at_s - now_s))
        self.active += 1
        try:
            slowdown = max(1.0, self.active / self.at_full_speed)
            await anyio.sleep(self.transfer_ms * slowdown / MS_PER_S)
        finally:
            self.active -= 1
        await request.reply({"source": request.query.get("source", "")})


async def run(
    host: str,
    port: int,
    *,
    rate_per_s: float = 4.0,
    at_full_speed: int = 3,
    transfer_ms: float = 100.0,
    task_status: anyio.abc.TaskStatus[WeightStore] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Runs a weight store until it is cancelled."""
    weights = WeightStore(
        rate_per_s=rate_per_s,
        at_full_speed=at_full_speed,
        transfer_ms=transfer_ms,
    )
    async with anyio.create_task_group() as tasks:
        await tasks.start(web.serve, web.make_app(weights.handle), host, port)
        task_status.started(weights)


@click.command()
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", default=8301, show_default=True)
@click.option("--rate-per-s", default=4.0, show_default=True)
@click.option("--at-full-speed", default=3, show_default=True)
@click.option("--transfer-ms", default=100.0, show_default=True)
def main(host: str, port: int, **options: object) -> None:
    """Runs a stand-in weight store."""

    async def start() -> None:
        await run(host, port, **options)

    anyio.run(start)


if __name__ == "__main__":
    main()
