"""A plain service that counts executions per idempotency key."""

import collections
import hashlib

import anyio
import click

from standins import web


class PlainService:
    """The state of one plain service."""

    def __init__(self, *, work_ms: float = 5.0) -> None:
        """Creates a service without executions.

        Args:
            work_ms: Duration of one call.
        """
        self.work_ms = work_ms
        self.executions: collections.Counter[str] = collections.Counter()

    async def handle(self, request: web.Request) -> None:
        """Executes a call, or returns the counts of executions."""
        if request.path == "/standin/state":
            await request.reply({"executions": dict(self.executions)})
            return
        if request.path == "/standin/faults":
            self.work_ms = float(request.json().get("work_ms", self.work_ms))
            await request.reply({})
            return
        key = request.headers.get("idempotency-key", "")
        self.executions[key or request.headers.get("x-request-id", "")] += 1
        await anyio.sleep(self.work_ms / 1000.0)
        await request.reply(
            {
                "key": key,
                "path": request.path,
                "digest": hashlib.sha256(request.body).hexdigest()[:16],
                "execution": self.executions[key],
            }
        )


async def run(
    host: str,
    port: int,
    *,
    work_ms: float = 5.0,
    task_status: anyio.abc.TaskStatus[PlainService] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Runs a plain service until it is cancelled."""
    plain = PlainService(work_ms=work_ms)
    async with anyio.create_task_group() as tasks:
        await tasks.start(web.serve, web.make_app(plain.handle), host, port)
        task_status.started(plain)


@click.command()
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", default=8201, show_default=True)
@click.option("--work-ms", default=5.0, show_default=True)
def main(host: str, port: int, work_ms: float) -> None:
    """Runs a stand-in plain service."""

    async def start() -> None:
        await run(host, port, work_ms=work_ms)

    anyio.run(start)


if __name__ == "__main__":
    main()
