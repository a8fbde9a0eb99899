"""A model runner with adapters: reports, orders and streams of events."""

import asyncio
import collections
import dataclasses
import json
import time
from typing import Any

from standins import http
from standins import record as record_lib

FIRST_EVENT_S = 0.03
ADAPTER_LOAD_S = 0.25
# Adapters that a runner held recently load ten times as fast.
ADAPTER_RELOAD_S = 0.025
MAX_INCOMING = 4


@dataclasses.dataclass(slots=True)
class Run:
    """A run of a request.

    Attributes:
        attempt: Id of the client's attempt.
        engine: The runner.
        at_s: When it began.
        version: Version of its adapter.
    """

    attempt: str
    engine: str
    at_s: float
    version: int


class Engine:
    """One boot of a model runner.

    Attributes:
        runs: All runs that have begun, in order.
        adapters: Versions of the adapters that it holds.
        newest: Versions that the weight store has, 1 if not listed.
        sequence: Number of orders that it has accepted.
        extra_share: Share of its answers that it may send a second time, late,
            0 for none.
        answers: Answers to requests since ``extra_share`` was last set.
        extras: How many of them it sent a second time.
        event_count: Number of events of each stream.
        event_s: Time between two of them.
    """

    def __init__(
        self, name: str, model: str, slots: int, record: record_lib.Record
    ) -> None:
        """Creates a runner that holds its model and no adapter."""
        self.name = name
        self.model = model
        self.adapter_slots = slots
        self.born_ms = time.time_ns() // 1_000_000
        self.runs: list[Run] = []
        self.adapters: dict[str, int] = {}
        self.newest: dict[str, int] = {}
        self.sequence = 0
        self.extra_share = 0.0
        self.answers = 0
        self.extras = 0
        self.event_count = 6
        self.event_s = 0.012
        self._record = record
        self._incoming: dict[str, int] = {}
        self._held: set[str] = set()
        self._unloading: set[str] = set()
        self._running: collections.Counter[str] = collections.Counter()
        self._idle = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()

    def models(self) -> list[dict[str, Any]]:
        """Returns what it holds, as its report and its entry list it."""
        adapters = [f"{name}@{one}" for name, one in self.adapters.items()]
        return [{"name": self.model, "version": 1, "adapters": adapters}]

    def entry(self, service: str, address: str, zone: str) -> dict[str, Any]:
        """Returns its entry in the platform's store."""
        return {
            "service": service,
            "address": address,
            "zone": zone,
            "version": "1",
            "slots": 64,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.born_ms,
            "models": self.models(),
        }

    async def handle(
        self, request: http.Request, channel: http.Channel
    ) -> None:
        """Answers one request of a daemon."""
        if request.target == "/-/report":
            await self._send(channel, 200, self._report())
            return
        if request.target == "/-/order":
            status = self._order(request)
            await self._send(channel, status, {})
            return
        if channel.late_extra:
            # The second answer to the request before on this channel.
            extra, channel.late_extra = channel.late_extra, b""
            self._record.write(
                "second_answer_sent",
                before_attempt=request.headers.get("x-attempt-id", ""),
            )
            await channel.write(extra)
        await self._serve(request, channel)

    async def _send(
        self, channel: http.Channel, status: int, body: dict[str, Any]
    ) -> None:
        headers = {"Content-Type": "application/json"}
        data = json.dumps(body).encode()
        await channel.write(http.encode(status, headers, data))

    def _report(self) -> dict[str, Any]:
        incoming = [
            f"{self.model}/{name}@{one}" for name, one in self._incoming.items()
        ]
        running = sum(self._running.values())
        return {
            "stage": "unified",
            "models": self.models(),
            "incoming": incoming,
            "busy": False,
            "sequence": self.sequence,
            "waiting": 0,
            "running": running,
            "kvUsed": 1_000 * running,
            "kvTotal": 243_661,
            "handles": 0,
            "born": self.born_ms,
        }

    def _order(self, request: http.Request) -> int:
        order = json.loads(request.body)
        if request.headers.get("x-target-instance", self.name) != self.name:
            return 421
        if not order.get("holder") or "fencingToken" not in order:
            return 400
        if order.get("expect", self.sequence) != self.sequence:
            return 409
        adapter = order.get("adapter", "")
        if order["operation"] == "model_load":
            status = self._order_load(adapter, order.get("version"))
        else:
            status = self._order_unload(adapter)
        self._record.write(
            "order",
            engine=self.name,
            operation=order["operation"],
            adapter=adapter,
            version=order.get("version", ""),
            status=status,
        )
        return status

    def _order_load(self, adapter: str, version: int | None) -> int:
        if not adapter:
            return 200
        version = version or self.newest.get(adapter, 1)
        if self.adapters.get(adapter) == version:
            return 200
        if len(self._incoming) >= MAX_INCOMING:
            return 409
        self.sequence += 1
        self._incoming[adapter] = version
        load_s = ADAPTER_LOAD_S
        if adapter in self._held and adapter not in self.adapters:
            load_s = ADAPTER_RELOAD_S
        self._start(self._load(adapter, version, load_s))
        return 202

    def _order_unload(self, adapter: str) -> int:
        if adapter not in self.adapters:
            return 200
        if adapter in self._unloading:
            return 409
        self.sequence += 1
        if not self._running[adapter]:
            del self.adapters[adapter]
            return 200
        self._unloading.add(adapter)
        self._start(self._unload(adapter))
        return 202

    def _start(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _load(self, adapter: str, version: int, load_s: float) -> None:
        await asyncio.sleep(load_s)
        self._unloading.add(adapter)
        await self._wait_idle(adapter)
        self._unloading.discard(adapter)
        self._incoming.pop(adapter, None)
        self.adapters[adapter] = version
        self._held.add(adapter)

    async def _unload(self, adapter: str) -> None:
        await self._wait_idle(adapter)
        self._unloading.discard(adapter)
        self.adapters.pop(adapter, None)

    async def _wait_idle(self, adapter: str) -> None:
        while self._running[adapter]:
            self._idle.clear()
            await self._idle.wait()

    async def _serve(
        self, request: http.Request, channel: http.Channel
    ) -> None:
        attempt = request.headers.get("x-attempt-id", "")
        headers = {"X-Attempt-Id": attempt, "X-Instance-Id": self.name}
        self.answers += 1
        named = request.headers.get("x-target-instance", self.name)
        adapter = request.headers.get("x-model", "").partition("/")[2]
        expected = request.headers.get("x-expected-version")
        held = self.adapters.get(adapter)
        if adapter in self._unloading and held is not None:
            headers["X-Not-Executed"] = "1"
            await channel.write(http.encode(503, headers, b"{}"))
            return
        if (
            named != self.name
            or held is None
            or expected not in (None, str(held))
        ):
            answer = http.encode(421, headers, b"{}")
            self._record.write(
                "rejected",
                attempt=attempt,
                engine=self.name,
                adapter=adapter,
                expected=expected,
                held=held,
            )
            if self._may_answer_twice():
                self.extras += 1
                channel.late_extra = answer
                self._record.write("second_answer_due", attempt=attempt)
            await channel.write(answer)
            return
        await self._run(attempt, adapter, held, headers, channel)

    def _may_answer_twice(self) -> bool:
        return self.extras + 1 <= self.extra_share * self.answers

    async def _run(
        self,
        attempt: str,
        adapter: str,
        version: int,
        headers: dict[str, str],
        channel: http.Channel,
    ) -> None:
        self._running[adapter] += 1
        try:
            await asyncio.sleep(FIRST_EVENT_S)
            if channel.is_closed():
                return
            run = Run(attempt, self.name, self._record.now_s(), version)
            self.runs.append(run)
            self._record.write(
                "run", attempt=attempt, engine=self.name, version=version
            )
            headers |= {
                "X-Server-Signature": f"sig.{self.name}.{attempt}",
                "Content-Type": "text/event-stream",
                "Transfer-Encoding": "chunked",
            }
            await channel.write(http.encode_head(200, headers, None))
            for number in range(1, self.event_count + 1):
                event = f"id: {number}\ndata: {attempt} {number}\n\n".encode()
                await channel.write(b"%x\r\n%b\r\n" % (len(event), event))
                await asyncio.sleep(self.event_s)
                if channel.is_closed():
                    return
            await channel.write(b"0\r\n\r\n")
        finally:
            self._running[adapter] -= 1
            if not self._running[adapter]:
                self._idle.set()
