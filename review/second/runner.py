"""A runner of the platform, as a process of its own.

It registers in the store, serves requests and, on SIGTERM, drains as a sound
server does: it reports that it is draining, serves on for a while, closes its
listening socket, finishes what it runs and exits.
"""

import argparse
import asyncio
import contextlib
import json
import pathlib
import secrets
import signal
import time
from typing import Any

from second import wire

HEARTBEAT_S = 1.2
LOAD_S = 2.1


class Runner:
    """One boot of a runner."""

    def __init__(self, own: argparse.Namespace) -> None:
        """Starts a new boot.

        Args:
            own: The arguments of the process.
        """
        self.own = own
        self.id = f"i-{secrets.token_hex(5)}"
        self.state = "ready"
        self.sequence = 0
        self.held = [own.model] if own.model and not own.empty else []
        self.busy = False
        self.running = 0
        self.waiting = 0
        self._slots = asyncio.Semaphore(own.slots)
        self._paused_until = 0.0
        self._record = pathlib.Path(own.record)
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[Any]] = set()

    def note(self, what: str, **fields: Any) -> None:
        """Writes a line of the record."""
        entry = {
            "at": round(time.time(), 3),
            "who": f"runner {self.id} at {self.own.address}",
            "what": what,
            **fields,
        }
        with self._record.open("a", encoding="utf-8") as record:
            record.write(json.dumps(entry) + "\n")

    async def run(self) -> None:
        """Serves until the end of a drain."""
        host, _, port = self.own.address.rpartition(":")
        self._server = await asyncio.start_server(
            self._serve, host, int(port), backlog=512
        )
        self.note("started")
        drain = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, drain.set)
        loop.add_signal_handler(signal.SIGUSR1, self._pause)
        beats = asyncio.create_task(self._beat())
        await drain.wait()
        self.state = "draining"
        await self._register()
        self.note("reported draining")
        await asyncio.sleep(self.own.drain_s)
        self._server.close()
        self.note("listens no longer")
        while self.running:
            await asyncio.sleep(0.01)
        beats.cancel()
        await wire.call(
            self.own.store, "DELETE", f"/-/objects/servers/{self.id}"
        )
        self.note("exits")

    def _pause(self) -> None:
        """Pauses all streams for a while, as for a long prompt."""
        self._paused_until = time.monotonic() + self.own.pause_s
        self.note("pauses all its streams", for_s=self.own.pause_s)

    async def _next_event(self, writer: asyncio.StreamWriter) -> None:
        """Waits until an event is made; ends a run whose channel closed."""
        until = time.monotonic() + self.own.gap_ms / 1000
        while time.monotonic() < max(until, self._paused_until):
            if writer.transport.is_closing():
                raise ConnectionResetError
            await asyncio.sleep(0.005)

    async def _beat(self) -> None:
        while True:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await self._register()
            await asyncio.sleep(HEARTBEAT_S)

    async def _register(self) -> None:
        spec: dict[str, Any] = {
            "service": self.own.service,
            "address": self.own.address,
            "zone": "alpha",
            "version": "1",
            "slots": self.own.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self.sequence,
        }
        if self.own.model:
            spec["models"] = self._models()
        await wire.call(
            self.own.store,
            "PUT",
            f"/-/objects/servers/{self.id}",
            {"metadata": {"name": self.id}, "spec": spec},
        )

    def _models(self) -> list[dict[str, Any]]:
        return [{"name": n, "version": 1, "adapters": []} for n in self.held]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while request := await wire.read_request(reader):
                if not await self._answer(request, writer):
                    break
        writer.close()

    async def _answer(
        self, request: wire.Request, writer: asyncio.StreamWriter
    ) -> bool:
        """Answers a request; returns whether the channel is kept."""
        path = request.path
        if path == "/-/report":
            writer.write(wire.json_answer(200, self._report()))
            return True
        if request.get("x-target-instance") not in ("", self.id):
            headers = [("X-Instance-Id", self.id)]
            writer.write(wire.answer(421, b"", headers))
            return True
        if path == "/-/order":
            status = self._order(json.loads(request.body))
            writer.write(wire.json_answer(status, {}))
            return True
        if path == "/healthz":
            headers = [("X-Instance-Id", self.id)]
            writer.write(wire.answer(200, b"", headers))
            return True
        model = request.get("x-model").partition("/")[0]
        if self.own.model and model not in self.held:
            headers = [("X-Attempt-Id", request.get("x-attempt-id"))]
            writer.write(wire.answer(421, b"", headers))
            return True
        if self.running + self.waiting >= self.own.slots + self.own.queue:
            headers = [("X-Attempt-Id", request.get("x-attempt-id"))]
            headers.append(("X-Not-Executed", "1"))
            self.note("sheds", request=request.get("x-attempt-id"))
            writer.write(wire.answer(503, b"", headers))
            return True
        self.waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            return await self._work(request, writer)
        finally:
            self.running -= 1
            self._slots.release()

    def _report(self) -> dict[str, Any]:
        return {
            "stage": "unified",
            "models": self._models(),
            "busy": self.busy,
            "sequence": self.sequence,
            "waiting": self.waiting,
            "running": self.running,
            "kvUsed": 0,
            "kvTotal": 240_000,
            "handles": 0,
            "incoming": [],
        }

    def _order(self, order: dict[str, Any]) -> int:
        if self.busy or order.get("expect", self.sequence) != self.sequence:
            return 409
        if order["operation"] != "model_load" or order.get("adapter"):
            return 400
        self.sequence += 1
        if order["model"] in self.held:
            return 200
        self.busy = True
        task = asyncio.create_task(self._load(order["model"]))
        self._tasks.add(task)
        return 202

    async def _load(self, model: str) -> None:
        await asyncio.sleep(LOAD_S)
        self.held.append(model)
        self.busy = False

    async def _work(
        self, request: wire.Request, writer: asyncio.StreamWriter
    ) -> bool:
        own = self.own
        attempt = request.get("x-attempt-id")
        self.note(
            "runs",
            request=attempt,
            method=request.method,
            target=request.target,
            body_bytes=len(request.body),
        )
        headers = [
            ("X-Attempt-Id", attempt),
            ("X-Server-Signature", f"{self.id}.{attempt}"),
        ]
        if not own.events:
            await asyncio.sleep(own.work_ms / 1000)
            body = f"answer to {attempt} by {own.service}".encode()
            writer.write(wire.answer(200, body, headers))
            await writer.drain()
            self.note("answered whole", request=attempt)
            return True
        after = int(request.get("last-event-id") or 0)
        headers.append(("Content-Type", "text/event-stream"))
        if own.unframed:
            headers.append(("Connection", "close"))
        else:
            headers.append(("Transfer-Encoding", "chunked"))
        lines = [f"{name}: {value}" for name, value in headers]
        head = "\r\n".join(["HTTP/1.1 200 OK", *lines]) + "\r\n\r\n"
        writer.write(head.encode())
        for number in range(after + 1, own.events + 1):
            try:
                await self._next_event(writer)
            except OSError:
                self.note("its caller closed the channel", request=attempt)
                raise
            event = f"id: {number}\ndata: part {number} of {attempt}\n\n"
            data = event.encode()
            if not own.unframed:
                data = b"%x\r\n%s\r\n" % (len(data), data)
            writer.write(data)
            await writer.drain()
            self.note("sent event", request=attempt, event=number)
        if not own.unframed:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.note("answered whole", request=attempt, events=own.events)
        return not own.unframed


def main() -> None:
    """Runs the process."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--address", required=True)
    parser.add_argument("--store", required=True)
    parser.add_argument("--record", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--model", default="")
    parser.add_argument("--empty", action="store_true")
    parser.add_argument("--slots", type=int, default=64)
    parser.add_argument("--queue", type=int, default=192)
    parser.add_argument("--pause-s", type=float, default=0.0)
    parser.add_argument("--events", type=int, default=0)
    parser.add_argument("--gap-ms", type=float, default=100.0)
    parser.add_argument("--work-ms", type=float, default=60.0)
    parser.add_argument("--unframed", action="store_true")
    parser.add_argument("--drain-s", type=float, default=2.5)
    asyncio.run(Runner(parser.parse_args()).run())


if __name__ == "__main__":
    main()
