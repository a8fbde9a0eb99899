"""The platform's object API and its list of VMs.

``GET /objects/NAME`` returns the value, with its revision as ``ETag``.
``PUT`` with ``If-Match: REVISION``, or with ``If-None-Match: *`` to create,
returns 412 if the current revision differs. ``GET`` with ``watch=REVISION``
waits until the revision differs and returns 304 if it has not changed within
``timeout_ms``. Each call counts against the rate limits; a watch counts once.
"""

import collections
import dataclasses
import time

import anyio
import click

from standins import web

MAX_VALUE_BYTES = 1_048_576
MS_PER_S = 1000.0


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults that a test turns on while the store runs.

    Attributes:
        outage: Whether every call fails with 503.
        lost_write_answers: Number of writes that succeed without a response.
        delay_ms: Delay before every call.
    """

    outage: bool = False
    lost_write_answers: int = 0
    delay_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """The value and revision of one object."""

    value: bytes
    revision: int


class TokenBucket:
    """A token bucket that holds one second's worth of calls."""

    def __init__(self, per_s: float) -> None:
        """Creates a full bucket."""
        self.per_s = per_s
        self._tokens = per_s
        self._at_s = time.monotonic()

    def try_acquire(self) -> bool:
        """Takes one token; returns whether there was one."""
        now_s = time.monotonic()
        gained = (now_s - self._at_s) * self.per_s
        self._tokens = min(self.per_s, self._tokens + gained)
        self._at_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class Objects:
    """The state of the object API and of the VM list."""

    def __init__(
        self, *, writes_per_s: float = 300.0, reads_per_s: float = 2000.0
    ) -> None:
        """Creates an empty store."""
        self.objects: dict[str, StoredObject] = {}
        self.revision = 0
        self.faults = Faults()
        self.calls: collections.Counter[str] = collections.Counter()
        self.vms: list[dict[str, object]] = []
        self.vms_revision = 1
        self._writes = TokenBucket(writes_per_s)
        self._reads = TokenBucket(reads_per_s)
        self._changed = anyio.Event()

    async def handle(self, request: web.Request) -> None:
        """Handles one call."""
        if request.path.startswith("/standin/"):
            await self._handle_control(request)
            return
        if self.faults.delay_ms:
            await anyio.sleep(self.faults.delay_ms / MS_PER_S)
        if self.faults.outage:
            await request.reply({"error": "unavailable"}, status=503)
            return
        self.calls[request.method] += 1
        rate = self._reads if request.method == "GET" else self._writes
        if not rate.try_acquire():
            await request.reply({"error": "too many calls"}, status=429)
            return
        if request.path == "/vms":
            await self._list_vms(request)
        elif not request.path.startswith("/objects/"):
            await request.reply({"error": "no such path"}, status=404)
        elif request.method == "GET":
            await self._get(request)
        elif request.method == "PUT":
            await self._put(request)
        elif request.method == "DELETE":
            await self._delete(request)

    async def _handle_control(self, request: web.Request) -> None:
        if request.path == "/standin/faults":
            for name, value in request.json().items():
                setattr(self.faults, name, value)
            self._notify_watches()
        elif request.path == "/standin/vms":
            self.vms = list(request.json().get("vms", []))
            self.vms_revision += 1
            self._notify_watches()
        await request.reply(
            {"calls": dict(self.calls), "objects": sorted(self.objects)}
        )

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    async def _list_vms(self, request: web.Request) -> None:
        await self._wait_for_change(request, lambda: self.vms_revision)
        if self.faults.outage:
            await request.reply({"error": "unavailable"}, status=503)
            return
        if request.query.get("watch") == str(self.vms_revision):
            await request.reply({}, status=304)
            return
        await request.reply(
            {"vms": self.vms}, headers={"etag": str(self.vms_revision)}
        )

    async def _wait_for_change(
        self, request: web.Request, get_revision: object
    ) -> None:
        watched = request.query.get("watch")
        if watched is None:
            return
        timeout_s = float(request.query.get("timeout_ms", "0")) / MS_PER_S
        with anyio.move_on_after(timeout_s):
            while str(get_revision()) == watched and not self.faults.outage:
                await self._changed.wait()

    def _revision_of(self, name: str) -> int:
        stored = self.objects.get(name)
        return stored.revision if stored else 0

    async def _get(self, request: web.Request) -> None:
        name = request.path.removeprefix("/objects/")
        await self._wait_for_change(request, lambda: self._revision_of(name))
        if self.faults.outage:
            await request.reply({"error": "unavailable"}, status=503)
            return
        stored = self.objects.get(name)
        if request.query.get("watch") == str(self._revision_of(name)):
            await request.reply({}, status=304)
        elif stored is None:
            await request.reply({"error": "no such object"}, status=404)
        else:
            headers = {"etag": str(stored.revision)}
            await request.reply(stored.value, headers=headers)

    async def _put(self, request: web.Request) -> None:
        name = request.path.removeprefix("/objects/")
        expected = request.headers.get("if-match")
        if len(request.body) > MAX_VALUE_BYTES:
            await request.reply({"error": "value too large"}, status=413)
            return
        current = self._revision_of(name)
        if request.headers.get("if-none-match") == "*" and current:
            await request.reply({"error": "exists"}, status=412)
            return
        if expected is not None and expected != str(current):
            await request.reply({"error": "another revision"}, status=412)
            return
        self.revision += 1
        self.objects[name] = StoredObject(request.body, self.revision)
        self._notify_watches()
        if self.faults.lost_write_answers > 0:
            self.faults.lost_write_answers -= 1
            raise ConnectionAbortedError("the answer was lost")
        await request.reply({}, headers={"etag": str(self.revision)})

    async def _delete(self, request: web.Request) -> None:
        name = request.path.removeprefix("/objects/")
        expected = request.headers.get("if-match")
        if expected is not None and expected != str(self._revision_of(name)):
            await request.reply({"error": "another revision"}, status=412)
            return
        self.objects.pop(name, None)
        self._notify_watches()
        await request.reply({})


async def run(
    host: str,
    port: int,
    *,
    writes_per_s: float = 300.0,
    reads_per_s: float = 2000.0,
    task_status: anyio.abc.TaskStatus[Objects] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Runs the object API until it is cancelled."""
    objects = Objects(writes_per_s=writes_per_s, reads_per_s=reads_per_s)
    async with anyio.create_task_group() as tasks:
        await tasks.start(web.serve, web.make_app(objects.handle), host, port)
        task_status.started(objects)


@click.command()
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", default=8401, show_default=True)
@click.option("--writes-per-s", default=300.0, show_default=True)
@click.option("--reads-per-s", default=2000.0, show_default=True)
def main(host: str, port: int, **options: object) -> None:
    """Runs a stand-in object API with a VM list."""

    async def start() -> None:
        await run(host, port, **options)

    anyio.run(start)


if __name__ == "__main__":
    main()
