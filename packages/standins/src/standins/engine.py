"""A model engine with an OpenAI-style HTTP API and LoRA adapter slots."""

import dataclasses
import json
import random
import secrets

import anyio
import click
import httpcore

from standins import answer
from standins import batch as batch_lib
from standins import web

INCARNATION_HEADER = "x-engine-incarnation"


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSettings:
    """Behaviour of the engine.

    Attributes:
        base_model: Name of its base model.
        slot_count: Number of adapter slots.
        max_batch: Maximum number of running sequences.
        step_ms: Time between tokens when one sequence runs.
        step_ms_per_sequence: Added time per further sequence.
        load_ms: Time to load an adapter once its weights are fetched.
        load_failure_rate: Share of loads that fail.
        checks_fencing: Whether it rejects orders with an old fencing number.
        weight_store_url: Store to fetch weights from; empty to skip the fetch.
        report_lag_ms: Maximum age of its load report.
        seed: Seed for the random failures.
    """

    base_model: str = "piedmont-7b"
    slot_count: int = 8
    max_batch: int = 16
    step_ms: float = 10.0
    step_ms_per_sequence: float = 0.5
    load_ms: float = 150.0
    load_failure_rate: float = 0.0
    checks_fencing: bool = True
    weight_store_url: str = ""
    report_lag_ms: int = 500
    seed: int = 1


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults that a test turns on while the engine runs.

    Attributes:
        load_failure_rate: Share of loads that fail.
        lost_load_answers: Number of loads that succeed but return 500.
        wrong_adapter: Adapter to run in place of the requested one; empty for
            none.
    """

    load_failure_rate: float = 0.0
    lost_load_answers: int = 0
    wrong_adapter: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Execution:
    """One request that the engine ran, for tests to inspect."""

    request_id: str
    model: str
    key: str


class Engine:
    """The state of one engine process."""

    def __init__(self, settings: EngineSettings) -> None:
        """Creates an engine without loaded adapters."""
        self.settings = settings
        self.random = random.Random(settings.seed)
        self.faults = Faults(settings.load_failure_rate)
        self.batch = batch_lib.Batch(
            max_size=settings.max_batch,
            step_ms=settings.step_ms,
            step_ms_per_sequence=settings.step_ms_per_sequence,
        )
        self.executions: list[Execution] = []
        self.violations: list[str] = []
        self.loads = 0
        self.cancelled = 0
        self.streams: dict[str, tuple[str, batch_lib.Sequence]] = {}
        self.report = {"running": 0, "waiting": 0}
        self._reset_state()

    def _reset_state(self) -> None:
        self.incarnation = secrets.token_hex(4)
        self.resident: set[str] = set()
        self.loading: set[str] = set()
        self.serving: dict[str, int] = {}
        self.max_fencing_number = 0

    def restart(self) -> None:
        """Restarts: aborts all streams and unloads all adapters."""
        self.batch.cut_all("the engine restarted")
        self.streams.clear()
        self._reset_state()

    async def run(self) -> None:
        """Runs the batch loop, and refreshes the load report at intervals."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.batch.run)
            tasks.start_soon(self._report_loop)

    async def _report_loop(self) -> None:
        while True:
            self.report = {
                "running": len(self.batch.running),
                "waiting": len(self.batch.waiting),
            }
            await anyio.sleep(self.settings.report_lag_ms / 1000.0)

    async def handle(self, request: web.Request) -> None:
        """Answers one request."""
        match (request.method, request.path):
            case ("POST", "/v1/completions" | "/v1/chat/completions"):
                await self._complete(request)
            case ("POST", "/v1/load_lora_adapter"):
                await self._load(request)
            case ("POST", "/v1/unload_lora_adapter"):
                await self._unload(request)
            case ("GET", "/v1/models"):
                await self._reply(request, self._models())
            case ("GET", "/metrics"):
                await self._metrics(request)
            case ("POST", "/v1/cancel"):
                await self._cancel(request)
            case ("GET", "/standin/state"):
                await self._reply(request, self._state())
            case ("POST", "/standin/restart"):
                self.restart()
                await self._reply(request, {})
            case ("POST", "/standin/faults"):
                for name, value in request.json().items():
                    setattr(self.faults, name, value)
                await self._reply(request, {})
            case _:
                await self._error(request, 404, "no such path")

    def _models(self) -> dict[str, object]:
        names = [self.settings.base_model, *sorted(self.resident)]
        return {
            "object": "list",
            "incarnation": self.incarnation,
            "data": [{"id": name, "object": "model"} for name in names],
        }

    def _state(self) -> dict[str, object]:
        return {
            "incarnation": self.incarnation,
            "resident": sorted(self.resident),
            "loads": self.loads,
            "cancelled": self.cancelled,
            "violations": self.violations,
            "executions": [dataclasses.asdict(one) for one in self.executions],
        }

    async def _reply(
        self, request: web.Request, value: object, status: int = 200
    ) -> None:
        headers = {INCARNATION_HEADER: self.incarnation}
        await request.reply(value, status=status, headers=headers)

    async def _error(
        self, request: web.Request, status: int, message: str
    ) -> None:
        await self._reply(request, {"error": {"message": message}}, status)

    def _is_fenced_off(self, body: dict[str, object]) -> bool:
        number = int(body.get("fencing_number", 0) or 0)
        if self.settings.checks_fencing and number < self.max_fencing_number:
            return True
        self.max_fencing_number = max(self.max_fencing_number, number)
        return False

    async def _load(self, request: web.Request) -> None:
        body = request.json()
        name = str(body.get("lora_name", ""))
        if self._is_fenced_off(body):
            await self._error(request, 409, "old fencing number")
            return
        if name in self.resident:
            await self._reply(request, {"loaded": name})
            return
        taken = len(self.resident) + len(self.loading)
        if taken >= self.settings.slot_count:
            await self._error(request, 409, "no free adapter slot")
            return
        incarnation = self.incarnation
        self.loading.add(name)
        self.loads += 1
        fetched = await self._fetch(str(body.get("lora_path", "")))
        await anyio.sleep(self.settings.load_ms / 1000.0)
        if incarnation != self.incarnation:
            await self._error(request, 503, "the engine restarted")
            return
        self.loading.discard(name)
        if not fetched or self.random.random() < self.faults.load_failure_rate:
            await self._error(request, 500, "the load failed")
            return
        self.resident.add(name)
        if self.faults.lost_load_answers > 0:
            self.faults.lost_load_answers -= 1
            await self._error(request, 500, "the answer was lost")
            return
        await self._reply(request, {"loaded": name})

    async def _fetch(self, source: str) -> bool:
        if not self.settings.weight_store_url:
            return True
        url = f"{self.settings.weight_store_url}/weights?source={source}"
        try:
            async with httpcore.AsyncConnectionPool() as pool:
                response = await pool.request("GET", url)
        except (OSError, httpcore.NetworkError, httpcore.ProtocolError):
            return False
        return response.status == 200

    async def _unload(self, request: web.Request) -> None:
        body = request.json()
        name = str(body.get("lora_name", ""))
        if self._is_fenced_off(body):
            await self._error(request, 409, "old fencing number")
            return
        if self.serving.get(name, 0) > 0:
            self.violations.append(f"{name} unloaded while serving")
        if name not in self.resident:
            await self._error(request, 404, "not loaded")
            return
        self.resident.discard(name)
        await self._reply(request, {"unloaded": name})

    async def _metrics(self, request: web.Request) -> None:
        lines = (
            f"num_requests_running {self.report['running']}\n"
            f"num_requests_waiting {self.report['waiting']}\n"
        )
        await request.reply(lines.encode())

    async def _cancel(self, request: web.Request) -> None:
        stream = self.streams.pop(str(request.json().get("request_id")), None)
        if stream is not None:
            self.batch.remove(stream[1], "cancelled")
            self.cancelled += 1
        await self._reply(request, {"cancelled": stream is not None})

    async def _complete(self, request: web.Request) -> None:
        body = request.json()
        model = str(body.get("model", ""))
        if model not in self.resident and model != self.settings.base_model:
            await self._error(request, 404, f"{model} is not loaded")
            return
        executed_model = self.faults.wrong_adapter or model
        request_id = request.headers.get("x-request-id", secrets.token_hex(8))
        key = request.headers.get("idempotency-key", "")
        self.executions.append(Execution(request_id, executed_model, key))
        count = int(body.get("max_tokens", 16))
        words = answer.generate_words(
            executed_model, answer.get_prompt(body), count
        )
        sequence = batch_lib.Sequence(words, int(body.get("priority", 0)))
        self.streams[request_id] = (executed_model, sequence)
        incarnation = self.incarnation
        self.serving[model] = self.serving.get(model, 0) + 1
        self.batch.add(sequence)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._watch_disconnect, request, sequence)
                await self._answer(request, body, executed_model, sequence)
                tasks.cancel_scope.cancel()
        finally:
            self.streams.pop(request_id, None)
            if incarnation == self.incarnation:
                self.serving[model] -= 1

    async def _watch_disconnect(
        self, request: web.Request, sequence: batch_lib.Sequence
    ) -> None:
        await request.wait_disconnected()
        if not sequence.finished and not sequence.failed:
            self.cancelled += 1
            self.batch.remove(sequence, "the caller left")

    async def _answer(
        self,
        request: web.Request,
        body: dict[str, object],
        model: str,
        sequence: batch_lib.Sequence,
    ) -> None:
        chat = "messages" in body
        headers = {INCARNATION_HEADER: self.incarnation, "x-model": model}
        if not body.get("stream"):
            while not sequence.finished and not sequence.failed:
                await sequence.changed.wait()
            if sequence.failed:
                await self._error(request, 500, sequence.failed)
                return
            text = "".join(f"{word} " for word in sequence.produced)
            await request.reply(
                _completion_body(model, text, chat=chat), headers=headers
            )
            return
        await request.start(200, "text/event-stream", headers)
        sent = 0
        while True:
            done = sequence.finished
            if sequence.failed:
                raise ConnectionAbortedError(sequence.failed)
            if sent < len(sequence.produced):
                words = sequence.produced[sent:]
                sent += len(words)
                await request.write(
                    b"".join(_stream_event(model, w, chat=chat) for w in words)
                )
            if done:
                break
            if sent == len(sequence.produced) and not sequence.finished:
                await sequence.changed.wait()
        await request.write(b"data: [DONE]\n\n", more=False)


def _completion_body(model: str, text: str, *, chat: bool) -> dict[str, object]:
    choice: dict[str, object] = {"index": 0, "finish_reason": "stop"}
    if chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    kind = "chat.completion" if chat else "text_completion"
    return {"id": "cmpl-0", "object": kind, "model": model, "choices": [choice]}


def _stream_event(model: str, word: str, *, chat: bool) -> bytes:
    choice: dict[str, object] = {"index": 0}
    if chat:
        choice["delta"] = {"content": f"{word} "}
    else:
        choice["text"] = f"{word} "
    kind = "chat.completion.chunk" if chat else "text_completion"
    event = {"id": "cmpl-0", "object": kind, "model": model}
    event["choices"] = [choice]
    return b"data: " + json.dumps(event).encode() + b"\n\n"


async def run(
    settings: EngineSettings,
    host: str,
    port: int,
    *,
    task_status: anyio.abc.TaskStatus[Engine] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Runs an engine until it is cancelled.

    Args:
        settings: Behaviour of the engine.
        host: IP address to listen on.
        port: Port to listen on.
        task_status: Receives the engine once its port listens.
    """
    engine = Engine(settings)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(engine.run)
        await tasks.start(web.serve, web.make_app(engine.handle), host, port)
        task_status.started(engine)


@click.command()
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", default=8101, show_default=True)
@click.option("--slot-count", default=8, show_default=True)
@click.option("--max-batch", default=16, show_default=True)
@click.option("--step-ms", default=10.0, show_default=True)
@click.option("--load-ms", default=150.0, show_default=True)
@click.option("--load-failure-rate", default=0.0, show_default=True)
@click.option("--checks-fencing/--ignores-fencing", default=True)
@click.option("--weight-store-url", default="")
@click.option("--seed", default=1, show_default=True)
def main(host: str, port: int, **options: object) -> None:
    """Runs a stand-in model engine."""
    anyio.run(run, EngineSettings(**options), host, port)


if __name__ == "__main__":
    main()
