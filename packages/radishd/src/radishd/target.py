"""The target role: only this process sends its target requests and orders."""

import contextlib
import functools
import random
import secrets
from typing import Any

import anyio
import anyio.abc
import httpcore
from radishstack import attempt as attempt_lib
from radishstack import invariant
from radishstack import load as load_lib
from radishstack import result
from radishstack import target as target_lib
from radishstack import target_event as event_lib
from radishstack.connection import frame
from radishstack.process import ledger as ledger_lib
from radishstack.process import load_budget
from radishstack.version import checks
from radishstack.version import holder as holder_lib

from radishd.connection import backend
from radishd.connection import link as link_lib
from radishd.connection import listener as listener_lib
from radishd.connection import transfer
from radishd.process import admin
from radishd.process import client_ports
from radishd.process import clock
from radishd.process import configuration as configuration_lib
from radishd.process import configuration_gossip as configuration_gossip_lib
from radishd.process import control as control_lib
from radishd.process import engine as engine_lib
from radishd.process import logs
from radishd.process import metrics as metrics_lib
from radishd.process import settings as settings_lib
from radishd.process import store as store_lib
from radishd.process import web
from radishd.request import engine_call
from radishd.request import serving as serving_lib
from radishd.request import target_actions

MS_PER_S = 1000.0
TICK_MS = 50
IDLE_TICK_MS = 500
SEAL_TIMEOUT_MS = 1_000
VERSION_WAIT_MS = 1_000
FAILED_POLLS_BEFORE_LOST = 2
PROCESS_ID_BYTES = 8
ORDER_NUMBERS_PER_MS = 1_000
VM_LIST_RETRY_MS = 1_000


class TargetProcess:
    """Connects the state machine of one target to sockets and clocks."""

    def __init__(
        self,
        settings: settings_lib.Settings,
        tasks: anyio.abc.TaskGroup,
        *,
        metrics: metrics_lib.Metrics,
        random_source: random.Random,
    ) -> None:
        """Builds the process; nothing listens yet.

        Args:
            settings: Its settings, of the role target.
            tasks: Task group that runs its work.
            metrics: Its metrics.
            random_source: Its random source.
        """
        own = settings.target
        self.settings = settings
        self.own = own
        self.tasks = tasks
        self.metrics = metrics
        self.client_ports = client_ports.ClientPorts(settings.clients, metrics)
        self.identity = secrets.token_bytes(PROCESS_ID_BYTES)
        self.configuration = configuration_lib.Configuration()
        self.store = store_lib.Store(settings.platform, metrics)
        self.pool = httpcore.AsyncConnectionPool(
            max_connections=4 * own.max_running + 16,
            max_keepalive_connections=own.max_running,
            network_backend=backend.Backend(),
        )
        self.engine = engine_lib.Engine(
            self.pool,
            own.url,
            load_timeout_ms=own.load_timeout_ms,
            call_timeout_ms=settings.platform.call_timeout_ms,
        )
        self.links = link_lib.Links(
            tasks, process=self.identity, connect_timeout_ms=500
        )
        self.machine = target_lib.Target(
            target_lib.TargetSettings(
                name=settings.name,
                kind=own.kind,
                slot_count=own.slot_count,
                max_running=own.max_running,
                max_queued=own.max_queued,
                max_parallel_loads=own.max_parallel_loads,
                quarantine_ms=own.quarantine_ms,
                # Must exceed the order numbers of earlier processes in this
                # slot.
                first_order=clock.unix_ms() * ORDER_NUMBERS_PER_MS,
            ),
            now_ms=clock.now_ms(),
            random_source=random_source,
            budget=load_budget.BudgetSettings(own.site_loads_per_s),
        )
        self.servings: dict[bytes, serving_lib.ServedRun] = {}
        self.owners: dict[bytes, bytes] = {}
        self.kept_bytes = 0
        self._work_arrived = anyio.Event()
        self._poll_requested = anyio.Event()
        self.configuration_gossip: (
            configuration_gossip_lib.ConfigurationGossip | None
        ) = None
        self.seals: dict[int, tuple[Any, int]] = {}
        self.configuration.listen(self._on_version_change)

    def _on_version_change(self, held: holder_lib.HeldVersion) -> None:
        self.links.version = held.version
        self.handle(event_lib.VersionActivated(held))

    def handle(self, event: event_lib.Event) -> None:
        """Passes an event to the state machine and performs its actions."""
        try:
            actions = self.machine.handle(event, clock.now_ms())
        except invariant.InvariantBrokenError as error:
            self.metrics.broken.inc({"code": str(error.code.number)})
            logs.error("invariant_broken", error.code, detail=error.detail)
            raise
        for action in actions:
            target_actions.perform(action, self)

    def load(self, adapter: str = "") -> load_lib.Load:
        """Returns the load report of this target."""
        return self.machine.report(adapter, self.identity, clock.now_ms())

    def submit(
        self, attempt: attempt_lib.Attempt, reader: serving_lib.ReaderId
    ) -> None:
        """Handles an attempt from a connection."""
        if attempt.attempt_id not in self.owners:
            keep_bytes = self.own.keep_bytes if attempt.key else 0
            serving = serving_lib.ServedRun(
                adapter=attempt.adapter, keep_bytes=keep_bytes
            )
            serving.attach(reader, 0)
            self.servings[attempt.attempt_id] = serving
            self.owners[attempt.attempt_id] = attempt.attempt_id
        if attempt.version > self.configuration.held.version:
            self.tasks.start_soon(self._submit_later, attempt)
            return
        self.handle(event_lib.Submitted(attempt))
        self._work_arrived.set()

    async def _submit_later(self, attempt: attempt_lib.Attempt) -> None:
        """Submits an attempt after waiting for its configuration version."""
        await self.configuration.wait_for(attempt.version, VERSION_WAIT_MS)
        if attempt.attempt_id in self.servings:
            self.handle(event_lib.Submitted(attempt))

    def attach(self, body: frame.Attach, reader: serving_lib.ReaderId) -> None:
        """Resumes a run for a reader whose connection was lost."""
        owner_id = self.owners.get(body.attempt_id, b"")
        serving = self.servings.get(owner_id)
        if serving is None or not serving.attach(reader, body.next_number):
            failure = result.Failure(
                result.RUN_UNKNOWN, "this process does not hold that run"
            )
            refusal = serving_lib.refusal_frame(failure, self.load())
            reader.writer.write(frame.encode(reader.stream, refusal))
            return
        serving.orphaned_at_ms = 0
        serving.flush(self.load())

    def serve_version(self, reader: serving_lib.ReaderId) -> bytes:
        """Sends a peer the whole configuration as a separate run.

        Args:
            reader: Reader that requested it.

        Returns:
            The id of the run, which detaches the reader later.
        """
        run_id = secrets.token_bytes(frame.ATTEMPT_ID_BYTES)
        serving = serving_lib.ServedRun(adapter="", keep_bytes=0)
        self.servings[run_id] = serving
        self.owners[run_id] = run_id
        serving.attach(reader, 0)
        for chunk in transfer.encode_chunks(self.configuration.held):
            serving.run.append(chunk)
        serving.run.end(None)
        serving.flush(self.load())
        return run_id

    def serving_of(self, attempt_id: bytes) -> serving_lib.ServedRun | None:
        """Returns the run that an attempt reads."""
        return self.servings.get(self.owners.get(attempt_id, b""))

    def detach_reader(
        self, attempt_id: bytes, reader: serving_lib.ReaderId, *, cut: bool
    ) -> None:
        """Detaches a reader from its run.

        Args:
            attempt_id: Attempt whose run it read.
            reader: The reader.
            cut: Whether its connection was lost, so that it may reconnect.
        """
        owner_id = self.owners.get(attempt_id, b"")
        serving = self.servings.get(owner_id)
        if serving is None:
            return
        serving.detach(reader)
        if serving.run.readers:
            return
        if cut:
            serving.orphaned_at_ms = clock.now_ms()
        else:
            self._abandon(owner_id, serving)

    def _abandon(self, owner_id: bytes, serving: serving_lib.ServedRun) -> None:
        if serving.run.ended is None:
            self.handle(event_lib.Cancelled(owner_id))
        elif not serving.run.keep_bytes:
            self.drop(owner_id)

    def drop(self, owner_id: bytes) -> None:
        """Drops a run and the attempts that read it."""
        serving = self.servings.pop(owner_id, None)
        self.owners.pop(owner_id, None)
        if serving is not None and serving.run.keep_bytes:
            self.kept_bytes -= serving.kept_bytes
            for alias in [a for a, o in self.owners.items() if o == owner_id]:
                del self.owners[alias]

    async def run_attempt(
        self, attempt: attempt_lib.Attempt, serving: serving_lib.ServedRun
    ) -> None:
        """Runs a dispatched attempt to its end."""
        try:
            failure: result.Failure | None = None
            with serving.scope:
                failure = await self._stream_response(attempt, serving)
            if serving.failure is not None:
                failure = serving.failure
            serving.run.end(failure)
            serving.flush(self.load(attempt.adapter))
        finally:
            self._run_ended(attempt, serving)

    def _run_ended(
        self, attempt: attempt_lib.Attempt, serving: serving_lib.ServedRun
    ) -> None:
        failure = serving.run.ended.failure if serving.run.ended else None
        logs.info(
            "run_ended",
            request_id=attempt.request_id,
            customer=attempt.customer,
            adapter=attempt.adapter,
            target=self.settings.name,
            config_version=attempt.version,
            code=failure.code.number if failure else 0,
        )
        ran = failure is None or failure.code is not result.TARGET_COLD
        if not ran:
            self._poll_requested.set()
        if attempt.key and ran:
            self._keep_answer(serving)
        elif not serving.run.readers and not serving.orphaned_at_ms:
            self.drop(attempt.attempt_id)
        self.handle(event_lib.RunEnded(attempt.attempt_id, ran))

    def _keep_answer(self, serving: serving_lib.ServedRun) -> None:
        """Keeps the answer for a key, within the limit for all answers."""
        serving.kept_bytes = serving.run.bytes_held
        self.kept_bytes += serving.kept_bytes
        for other in self.servings.values():
            if self.kept_bytes <= self.own.keep_total_bytes:
                return
            if other.kept_bytes and not other.run.readers:
                self.kept_bytes -= other.kept_bytes
                other.kept_bytes = 0
                other.run.drop_chunks()

    async def _stream_response(
        self, attempt: attempt_lib.Attempt, serving: serving_lib.ServedRun
    ) -> result.Failure | None:
        limits = engine_call.Limits(
            self.settings.platform.call_timeout_ms, self.own.max_answer_bytes
        )

        def report(adapter: str) -> bool:
            self.handle(event_lib.AdapterReported(attempt.attempt_id, adapter))
            return serving.failure is None

        events = engine_call.call(
            self.pool, self.own.url, attempt, limits, report
        )
        load = self.load(attempt.adapter)
        async with contextlib.aclosing(events):
            async for event in events:
                match event:
                    case bytes():
                        serving.heard_at_ms = clock.now_ms()
                        serving.run.append(event)
                        serving.flush(load)
                        if serving.is_backlogged:
                            # The reader is slow, so idle time must not count
                            # against the target.
                            serving.heard_at_ms = 0
                            await serving.wait_for_readers()
                    case engine_call.Head():
                        serving.run.status = event.status
                        serving.run.content_type = event.content_type
                        serving.head_known = True
                    case result.Failure():
                        return event
        return None

    async def run_load(self, action: event_lib.StartLoad) -> None:
        """Sends a load order and determines its outcome."""
        source = self._source_of(action.adapter)
        answer = await self.engine.load(action.adapter, source, action.order)
        if isinstance(answer, result.Failure):
            # The order may have taken effect although its answer was lost.
            answer = (
                await self._confirm_residency(action.adapter, True) or answer
            )
        outcome = "failed" if isinstance(answer, result.Failure) else "loaded"
        self.metrics.loads.inc({"outcome": outcome})
        if isinstance(answer, result.Failure):
            logs.warn(
                "load_failed", adapter=action.adapter, reason=answer.message
            )
            self.handle(
                event_lib.LoadFailed(
                    action.adapter,
                    action.incarnation,
                    action.order,
                    answer.message,
                )
            )
            return
        self._check_incarnation(answer, action.incarnation)
        self.handle(event_lib.Loaded(action.adapter, answer, action.order))

    async def run_unload(self, action: event_lib.StartUnload) -> None:
        """Sends an unload order and determines its outcome."""
        answer = await self.engine.unload(action.adapter, action.order)
        if isinstance(answer, result.Failure):
            answer = (
                await self._confirm_residency(action.adapter, False) or answer
            )
        failed = isinstance(answer, result.Failure)
        self.metrics.unloads.inc(
            {"outcome": "failed" if failed else "unloaded"}
        )
        if failed:
            self.handle(
                event_lib.UnloadFailed(
                    action.adapter, action.incarnation, action.order
                )
            )
            return
        self._check_incarnation(answer, action.incarnation)
        self.handle(event_lib.Unloaded(action.adapter, answer, action.order))

    async def _confirm_residency(self, adapter: str, resident: bool) -> str:
        """Returns the engine's incarnation if residency is as expected.

        Args:
            adapter: ``name@version``.
            resident: Whether the adapter should be resident.

        Returns:
            The incarnation, empty if the residency differs or is unknown.
        """
        state = await self.engine.get_state()
        if isinstance(state, result.Failure):
            return ""
        is_confirmed = (adapter in state.resident) == resident
        return state.incarnation if is_confirmed else ""

    def _check_incarnation(self, answering: str, ordered: str) -> None:
        """Polls the engine at once if a new incarnation answered an order."""
        if answering != ordered:
            self._poll_requested.set()

    def _source_of(self, exact: str) -> str:
        name, _, version_text = exact.partition("@")
        adapter = self.configuration.held.document.adapters.get(name)
        if adapter is None:
            return ""
        for entry in adapter.versions:
            if str(entry.version) == version_text:
                return entry.source
        return ""

    async def ask_prior_homes(self, action: event_lib.AskPriorHomes) -> None:
        """Asks the prior homes of an idempotency key whether its request ran.

        Reports the worst answer: ``RAN`` if any home gave it, otherwise
        ``UNKNOWN`` if any home gave it, otherwise ``SEALED``.
        """
        answers: list[ledger_lib.SealReply] = []

        async def ask(name: str) -> None:
            answers.append(await self._ask_prior_home(name, action.key))

        async with anyio.create_task_group() as tasks:
            for name in action.targets:
                tasks.start_soon(ask, name)
        worst = ledger_lib.SealReply.SEALED
        if ledger_lib.SealReply.RAN in answers:
            worst = ledger_lib.SealReply.RAN
        elif ledger_lib.SealReply.UNKNOWN in answers:
            worst = ledger_lib.SealReply.UNKNOWN
        self.handle(event_lib.PriorHomesAnswered(action.attempt_id, worst))

    async def _ask_prior_home(
        self, name: str, key: ledger_lib.Key
    ) -> ledger_lib.SealReply:
        target = self.configuration.held.document.targets.get(name)
        if target is None:
            return ledger_lib.SealReply.UNKNOWN
        link = await self.links.get(name, target.address)
        if isinstance(link, result.Failure):
            return ledger_lib.SealReply.UNKNOWN
        stream, inbox = link.open()
        try:
            link.send(stream, frame.Seal(*key, self.settings.name))
            with anyio.move_on_after(SEAL_TIMEOUT_MS / MS_PER_S):
                answer = await inbox.take()
                if isinstance(answer, frame.Sealed) and answer.answer in (0, 1):
                    return ledger_lib.SealReply(answer.answer)
        finally:
            link.close(stream)
        return ledger_lib.SealReply.UNKNOWN

    async def watch_engine(self) -> None:
        """Polls the state of the engine until cancelled."""
        failed_polls = 0
        while True:
            asked_at_ms = clock.now_ms()
            state = await self.engine.get_state()
            if isinstance(state, result.Failure):
                failed_polls += 1
                if failed_polls == FAILED_POLLS_BEFORE_LOST:
                    logs.warn("engine_lost", reason=state.message)
                    self.handle(event_lib.EngineLost())
            else:
                failed_polls = 0
                if state.incarnation != self.machine.residency.incarnation:
                    # An order of this slot's former process may still be in
                    # flight and would unload an adapter in use here. An engine
                    # that checks fencing numbers rejects it from now on.
                    await self.engine.raise_fence(self.machine.residency.order)
                self.handle(
                    event_lib.EngineObserved(
                        state.incarnation, state.resident, asked_at_ms
                    )
                )
            self._poll_requested = anyio.Event()
            with anyio.move_on_after(self.own.poll_ms / MS_PER_S):
                await self._poll_requested.wait()

    async def tick(self) -> None:
        """Sends time events to the state machine until cancelled."""
        while True:
            if self.machine.idle:
                self._work_arrived = anyio.Event()
                with anyio.move_on_after(IDLE_TICK_MS / MS_PER_S):
                    await self._work_arrived.wait()
            else:
                await anyio.sleep(TICK_MS / MS_PER_S)
            self.handle(event_lib.Ticked())
            now_ms = clock.now_ms()
            self._abort_stalled_runs(now_ms)
            oldest_ms = now_ms - self.own.resume_ms
            for owner_id, serving in list(self.servings.items()):
                if 0 < serving.orphaned_at_ms < oldest_ms:
                    serving.orphaned_at_ms = 0
                    self._abandon(owner_id, serving)

    def _abort_stalled_runs(self, now_ms: int) -> None:
        """Aborts runs whose target has sent nothing for too long.

        Reads of a response have no timeout of their own, see ``backend``.
        """
        oldest_ms = now_ms - self.own.run_timeout_ms
        for serving in list(self.servings.values()):
            is_stalled = 0 < serving.heard_at_ms < oldest_ms
            if is_stalled and serving.run.ended is None:
                serving.heard_at_ms = 0
                serving.failure = result.Failure(
                    result.TARGET_FAILED,
                    f"the target sent nothing for {self.own.run_timeout_ms} ms",
                )
                serving.scope.cancel()

    def on_leaving_reported(self, names: frozenset[str]) -> None:
        """Handles a peer's report of which targets are draining."""
        if self.settings.name in names:
            self.handle(event_lib.DrainRequested())

    async def watch_vms(self) -> None:
        """Watches the platform's list for the draining of this VM.

        Only watchers read the list; other targets receive it from peers.
        """
        revision: int | None = None
        while True:
            if (
                self.configuration_gossip is not None
                and not self.configuration_gossip.watches()
            ):
                await anyio.sleep(VM_LIST_RETRY_MS / MS_PER_S)
                continue
            listed = await self.store.list_vms(watch=revision)
            if isinstance(listed, result.Failure):
                revision = None
                await anyio.sleep(VM_LIST_RETRY_MS / MS_PER_S)
                continue
            if isinstance(listed, str):
                continue
            revision, vms = listed
            leaving = tuple(sorted(vm.name for vm in vms if vm.leaving))
            self.on_leaving_reported(frozenset(leaving))
            if self.configuration_gossip is not None:
                self.configuration_gossip.announce_leaving(leaving)

    def ready(self) -> str:
        """Returns why the process is not ready, empty if it is."""
        if self.configuration.held.version == 0:
            return "no configuration yet"
        if self.machine.leaving:
            return "leaving"
        if not self.machine.engine_up:
            return "the engine does not answer"
        return ""

    def refresh(self) -> None:
        """Sets the gauges."""
        machine = self.machine
        self.metrics.version.set({}, self.configuration.held.version)
        self.metrics.in_flight.set({}, len(machine.running))
        self.metrics.queued.set({}, len(machine.queue))
        self.metrics.resident.set({}, len(machine.residency.slots))
        self.metrics.kept_bytes.set({}, self.kept_bytes)
        self.client_ports.refresh()

    def status(self) -> dict[str, Any]:
        """Returns what ``radishctl status`` shows."""
        machine = self.machine
        return {
            "role": "target",
            "name": self.settings.name,
            "failure_domain": self.settings.failure_domain,
            "config_version": self.configuration.held.version,
            "ready": self.ready() or "ok",
            "incarnation": machine.residency.incarnation,
            "queued": len(machine.queue),
            "running": len(machine.running),
            "resident": {
                name: slot.adapter_state.name.lower()
                for name, slot in sorted(machine.residency.slots.items())
            },
            "keys": len(machine.ledger.records),
        }

    async def drain(self) -> int:
        """Rejects new work and waits for running work.

        Returns:
            The number of runs aborted at the time limit.
        """
        self.handle(event_lib.DrainRequested())
        with anyio.move_on_after(self.own.drain_ms / MS_PER_S):
            while not self.machine.idle or self._has_unread_runs():
                await anyio.sleep(TICK_MS / MS_PER_S)
        for running in self.machine.running.values():
            self.metrics.cut.inc({"reason": "drain"})
            logs.error(
                "run_cut",
                result.CUT_AT_SHUTDOWN,
                request_id=running.attempt.request_id,
                adapter=running.attempt.adapter,
            )
        return len(self.machine.running)

    def _has_unread_runs(self) -> bool:
        return any(
            serving.run.readers or serving.orphaned_at_ms
            for serving in self.servings.values()
        )


async def run(
    settings: settings_lib.Settings,
    *,
    stop: anyio.Event,
    random_source: random.Random | None = None,
    task_status: anyio.abc.TaskStatus[TargetProcess] = (
        anyio.TASK_STATUS_IGNORED
    ),
) -> None:
    """Runs a target process until ``stop`` is set, then drains it.

    Args:
        settings: Its settings.
        stop: Set to start the drain.
        random_source: Its random source.
        task_status: Receives the process once it listens.
    """
    own = settings.target
    metrics = metrics_lib.Metrics(name=settings.name)
    async with anyio.create_task_group() as tasks:
        process = TargetProcess(
            settings,
            tasks,
            metrics=metrics,
            random_source=random_source or random.Random(),
        )
        control = await control_lib.open_control_socket(own.listen, metrics)
        control.on_probe = lambda probe: process.load(probe.adapter)
        configuration_gossip = configuration_gossip_lib.ConfigurationGossip(
            settings,
            own.listen,
            control,
            process.configuration,
            random_source or random.Random(),
        )
        configuration_gossip.on_leaving = process.on_leaving_reported
        process.configuration_gossip = configuration_gossip
        tasks.start_soon(control.run)
        tasks.start_soon(
            configuration_lib.follow,
            process.configuration,
            process.store,
            random.Random(),
            configuration_gossip.watches,
        )
        tasks.start_soon(
            transfer.seed, process.configuration, process.links, settings.seeds
        )
        tasks.start_soon(configuration_gossip.run)
        tasks.start_soon(process.tick)
        tasks.start_soon(process.watch_vms)
        if own.kind is checks.TargetKind.ENGINE:
            tasks.start_soon(process.watch_engine)
        app = admin.make_app(
            metrics,
            ready=process.ready,
            status=process.status,
            refresh=process.refresh,
        )
        server = web.make_server(
            app,
            *settings_lib.split_address(own.admin),
            process.client_ports.control_port(),
        )
        await tasks.start(functools.partial(web.serve, server))
        await tasks.start(listener_lib.listen, process)
        logs.info("listening", role="target", address=own.listen)
        task_status.started(process)
        await stop.wait()
        cut = await process.drain()
        logs.info("drained", cut=cut)
        tasks.cancel_scope.cancel()
    with anyio.CancelScope(shield=True):
        await process.store.aclose()
        await process.pool.aclose()
