"""The entry role: forwards callers' requests to targets; keeps soft state."""

import functools
import json
import random
import secrets
from typing import Any

import anyio
import anyio.abc
from radishstack import invariant
from radishstack import result
from radishstack.process import retry_budget
from radishstack.process import routing
from radishstack.request import resolve
from radishstack.version import document as document_lib
from radishstack.version import holder as holder_lib

from radishd.connection import link as link_lib
from radishd.connection import transfer
from radishd.process import admin
from radishd.process import client_ports
from radishd.process import clock
from radishd.process import configuration as configuration_lib
from radishd.process import configuration_gossip as configuration_gossip_lib
from radishd.process import control as control_lib
from radishd.process import logs
from radishd.process import metrics as metrics_lib
from radishd.process import settings as settings_lib
from radishd.process import store as store_lib
from radishd.process import web
from radishd.request import caller as caller_lib
from radishd.request import intake as intake_lib

MS_PER_S = 1000.0
PROCESS_ID_BYTES = 8
EXPIRE_INTERVAL_MS = 5_000
DRAIN_POLL_MS = 20
# Part of the drain time in which the last answers are sent.
LAST_ANSWERS_MS = 300
VM_LIST_RETRY_MS = 1_000
RETRY_AFTER_MS = 200


class Entry:
    """One entry daemon."""

    def __init__(
        self,
        settings: settings_lib.Settings,
        tasks: anyio.abc.TaskGroup,
        *,
        metrics: metrics_lib.Metrics,
        control: control_lib.ControlSocket,
        random_source: random.Random,
    ) -> None:
        """Builds the daemon; nothing listens yet.

        Args:
            settings: Its settings, of the role entry.
            tasks: Task group that runs its work.
            metrics: Its metrics.
            control: Its control socket.
            random_source: Its random source.
        """
        self.settings = settings
        self.own = settings.entry
        self.metrics = metrics
        self.client_ports = client_ports.ClientPorts(settings.clients, metrics)
        self.control = control
        self.random = random_source
        self.configuration = configuration_lib.Configuration()
        self.store = store_lib.Store(settings.platform, metrics)
        self.links = link_lib.Links(
            tasks,
            process=secrets.token_bytes(PROCESS_ID_BYTES),
            connect_timeout_ms=self.own.connect_timeout_ms,
        )
        self.router = routing.Router()
        self.listed_leaving: frozenset[str] = frozenset()
        self.reported_leaving: frozenset[str] = frozenset()
        self.budget = retry_budget.RetryBudget()
        self.in_flight: set[caller_lib.Caller] = set()
        self.draining = False
        self.rejecting = False
        self.last_failures: dict[int, int] = {}
        self.configuration.listen(self._on_version_change)
        self.configuration_gossip = (
            configuration_gossip_lib.ConfigurationGossip(
                settings,
                self.own.control,
                control,
                self.configuration,
                random_source,
            )
        )
        self.configuration_gossip.on_leaving = self._on_leaving_reported

    def _on_leaving_reported(self, names: frozenset[str]) -> None:
        self.reported_leaving = names
        self.router.listed_leaving = self.listed_leaving | names

    def _on_version_change(self, held: holder_lib.HeldVersion) -> None:
        self.links.version = held.version

    async def app(
        self, scope: web.Scope, receive: web.Receive, send: web.Send
    ) -> None:
        """ASGI application that serves callers."""
        if scope["type"] != "http":
            return
        accepted_at_ms = clock.now_ms()
        headers = intake_lib.headers_of(scope)
        request_id = intake_lib.request_id_of(headers)
        received = await self._receive_request(
            scope, receive, headers, request_id
        )
        if isinstance(received, result.Failure):
            self.count(received)
            if received.code is not result.CANCELLED:
                await caller_lib.reply_failure(received, request_id, send)
            return
        if scope["path"] == "/v1/models":
            await self._reply_models(send)
            return
        held = self.configuration.held
        resolution = resolve.resolve(received.asked, held)
        if isinstance(resolution, result.Failure):
            self.count(resolution)
            await caller_lib.reply_failure(resolution, request_id, send)
            return
        caller = caller_lib.Caller(
            self, received, held, resolution, send, accepted_at_ms
        )
        await self._run(caller, receive)

    async def _receive_request(
        self,
        scope: web.Scope,
        receive: web.Receive,
        headers: dict[str, str],
        request_id: str,
    ) -> result.Outcome[intake_lib.Intake]:
        failure = (
            self._check_open()
            or intake_lib.check_route(scope)
            or intake_lib.check_headers(scope, self.own.max_header_bytes)
        )
        if failure is not None:
            if headers.get("idempotency-key") and failure.retry_after_ms:
                # An earlier request with this key may have run; only the
                # key's home target knows.
                proof = result.Executed.UNKNOWN
                return result.Failure(
                    failure.code,
                    failure.message,
                    failure.retry_after_ms,
                    proof,
                )
            return failure
        body = await intake_lib.read_body(
            receive, headers, self.own.max_body_bytes
        )
        if isinstance(body, result.Failure):
            return body
        if scope["path"] == "/v1/models":
            body = b'{"model": ""}'
        return intake_lib.parse(scope, headers, request_id, body)

    def _check_open(self) -> result.Failure | None:
        if self.rejecting:
            return result.Failure(
                result.ENTRY_DRAINING,
                f"{self.settings.name} is shutting down",
                RETRY_AFTER_MS,
            )
        if self.configuration.held.version == 0:
            return result.Failure(
                result.NOT_READY,
                f"{self.settings.name} has no configuration yet",
                RETRY_AFTER_MS,
            )
        if len(self.in_flight) >= self.own.max_in_flight:
            return result.Failure(
                result.ENTRY_FULL,
                f"{self.settings.name} has {len(self.in_flight)} requests in "
                "flight",
                round(RETRY_AFTER_MS * self.random.uniform(0.5, 1.5)),
            )
        return None

    async def _run(
        self, caller: caller_lib.Caller, receive: web.Receive
    ) -> None:
        self.in_flight.add(caller)
        started_ms = clock.now_ms()
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._watch_caller, caller, receive)
                await caller.run()
                tasks.cancel_scope.cancel()
        except* caller_lib.ResponseAbortedError as group:
            caller.failure = group.exceptions[0].failure
            raise group.exceptions[0] from None
        except* Exception as group:
            caller.failure = self._handle_exceptions(group)
            await caller.reply(caller.failure)
        finally:
            self.in_flight.discard(caller)
            self.count(caller.failure)
            took_ms = clock.now_ms() - started_ms
            caller_lib.log_outcome(caller, caller.failure, took_ms)

    def _handle_exceptions(self, group: ExceptionGroup) -> result.Failure:
        """Logs exceptions that failed one request; the others continue."""
        logs.exception("request_broke")
        code = result.INTERNAL
        for error in group.exceptions:
            if isinstance(error, invariant.InvariantBrokenError):
                code = error.code
        self.metrics.broken.inc({"code": str(code.number)})
        return result.Failure(code, "this entry broke off the request")

    async def _watch_caller(
        self, caller: caller_lib.Caller, receive: web.Receive
    ) -> None:
        """Interrupts a request on disconnect or after its deadline."""
        remaining_ms = caller.deadline_at_ms - clock.now_ms()
        grace_ms = caller_lib.DEADLINE_GRACE_MS
        with anyio.move_on_after((remaining_ms + grace_ms) / MS_PER_S):
            while (await receive())["type"] != "http.disconnect":
                pass
            caller.interrupt(caller_lib.Disconnected())
            return
        caller.interrupt(caller_lib.DeadlineExceeded())

    def count(self, failure: result.Failure | None) -> None:
        """Counts the outcome of a request; called once per request."""
        number = failure.code.number if failure else 0
        self.metrics.requests.inc({"code": str(number)})
        if number:
            self.last_failures[number] = self.last_failures.get(number, 0) + 1

    async def rank(
        self, resolution: resolve.Resolution, held: holder_lib.HeldVersion
    ) -> list[str]:
        """Ranks the candidates of a request, probing some of them first."""
        candidates = list(resolution.candidates)
        if resolution.key:
            return candidates
        now_ms = clock.now_ms()
        adapter = resolution.adapter
        shortlist = self.router.shortlist(candidates, adapter, now_ms)
        to_probe = self.router.to_probe(shortlist, adapter, now_ms)
        if to_probe:
            async with anyio.create_task_group() as tasks:
                for target in to_probe:
                    tasks.start_soon(self._probe, target, adapter, held)
            now_ms = clock.now_ms()
            shortlist = self.router.shortlist(candidates, adapter, now_ms)
        return self.router.rank(
            shortlist, adapter, resolution.service.stall_weight, now_ms
        )

    async def _probe(
        self, name: str, adapter: str, held: holder_lib.HeldVersion
    ) -> None:
        target = held.document.targets[name]
        address = settings_lib.split_address(target.address)
        report = await self.control.probe(
            address, adapter, held.version, self.own.probe_timeout_ms
        )
        if report is not None:
            self.router.observe(name, adapter, report, clock.now_ms())

    async def _reply_models(self, send: web.Send) -> None:
        body = json.dumps(
            {
                "object": "list",
                "data": list_models(self.configuration.held.document),
            }
        ).encode()
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(body)).encode()),
        ]
        await send(
            {"type": "http.response.start", "status": 200, "headers": headers}
        )
        await send({"type": "http.response.body", "body": body})

    async def expire_router_state(self) -> None:
        """Drops outdated router state at an interval, until cancelled."""
        while True:
            await anyio.sleep(EXPIRE_INTERVAL_MS / MS_PER_S)
            self.router.forget_old(clock.now_ms())

    async def watch_vms(self) -> None:
        """Watches the platform's VM list for targets that are draining."""
        revision: int | None = None
        while True:
            listed = await self.store.list_vms(watch=revision)
            if isinstance(listed, result.Failure):
                revision = None
                await anyio.sleep(VM_LIST_RETRY_MS / MS_PER_S)
                continue
            if isinstance(listed, str):
                continue
            revision, vms = listed
            self.listed_leaving = frozenset(vm.name for vm in vms if vm.leaving)
            self.router.listed_leaving = (
                self.listed_leaving | self.reported_leaving
            )
            self.configuration_gossip.announce_leaving(
                tuple(sorted(self.listed_leaving))
            )

    def ready(self) -> str:
        """Returns why the daemon is not ready, empty if it is."""
        if self.draining:
            return "draining"
        if self.configuration.held.version == 0:
            return "no configuration yet"
        return ""

    def refresh(self) -> None:
        """Sets the gauges."""
        self.metrics.version.set({}, self.configuration.held.version)
        self.metrics.in_flight.set({}, len(self.in_flight))
        self.client_ports.refresh()

    def status(self) -> dict[str, Any]:
        """Returns what ``radishctl status`` shows."""
        return {
            "role": "entry",
            "name": self.settings.name,
            "failure_domain": self.settings.failure_domain,
            "config_version": self.configuration.held.version,
            "ready": self.ready() or "ok",
            "in_flight": len(self.in_flight),
            "links": self.links.open_count(),
            "failures": {
                str(number): count
                for number, count in sorted(self.last_failures.items())
            },
        }

    async def drain(self) -> int:
        """Reports unready to the balancer, then waits for open requests.

        Returns:
            The number of requests aborted at the time limit.
        """
        self.draining = True
        await anyio.sleep(self.own.unready_ms / MS_PER_S)
        self.rejecting = True
        await self._wait_idle(max(0, self.own.drain_ms - LAST_ANSWERS_MS))
        cut = list(self.in_flight)
        for caller in cut:
            self.metrics.cut.inc({"reason": "drain"})
            logs.error(
                "request_cut",
                result.CUT_AT_SHUTDOWN,
                request_id=caller.intake.asked.request_id,
                target=caller.target,
            )
            # It gets its answer: without one, its caller could not tell whether
            # it may have run.
            caller.interrupt(caller_lib.DeadlineExceeded())
        await self._wait_idle(LAST_ANSWERS_MS)
        return len(cut)

    async def _wait_idle(self, timeout_ms: float) -> None:
        """Waits until no request is in flight, or a time has passed."""
        with anyio.move_on_after(timeout_ms / MS_PER_S):
            while self.in_flight:
                await anyio.sleep(DRAIN_POLL_MS / MS_PER_S)


def list_models(document: document_lib.Document) -> list[dict[str, str]]:
    """Lists the values that callers may send as ``model``."""
    names = [
        service.name
        for service in document.services.values()
        if service.kind is document_lib.ServiceKind.MODEL
    ]
    for adapter in document.adapters.values():
        names.append(adapter.name)
        names.extend(
            f"{adapter.name}@{one.version}" for one in adapter.versions
        )
    return [{"id": name, "object": "model"} for name in sorted(names)]


async def run(
    settings: settings_lib.Settings,
    *,
    stop: anyio.Event,
    random_source: random.Random | None = None,
    task_status: anyio.abc.TaskStatus[Entry] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Runs an entry daemon until ``stop`` is set, then drains it.

    Args:
        settings: Its settings.
        stop: Set to start the drain.
        random_source: Its random source.
        task_status: Receives the daemon once it listens.
    """
    own = settings.entry
    metrics = metrics_lib.Metrics(name=settings.name)
    async with anyio.create_task_group() as tasks:
        control = await control_lib.open_control_socket(own.control, metrics)
        entry = Entry(
            settings,
            tasks,
            metrics=metrics,
            control=control,
            random_source=random_source or random.Random(),
        )
        tasks.start_soon(control.run)
        tasks.start_soon(
            configuration_lib.follow,
            entry.configuration,
            entry.store,
            random.Random(),
        )
        tasks.start_soon(
            transfer.seed, entry.configuration, entry.links, settings.seeds
        )
        tasks.start_soon(entry.configuration_gossip.run)
        tasks.start_soon(entry.expire_router_state)
        tasks.start_soon(entry.watch_vms)
        admin_app = admin.make_app(
            metrics,
            ready=entry.ready,
            status=entry.status,
            refresh=entry.refresh,
        )
        admin_server = web.make_server(
            admin_app,
            *settings_lib.split_address(own.admin),
            entry.client_ports.control_port(),
        )
        await tasks.start(functools.partial(web.serve, admin_server))
        server = web.make_server(
            entry.app,
            *settings_lib.split_address(own.listen),
            entry.client_ports.callers_port(own.max_header_bytes),
            limit_concurrency=own.max_connections,
            backlog=1_024,
        )
        await tasks.start(functools.partial(web.serve, server))
        logs.info("listening", role="entry", address=own.listen)
        task_status.started(entry)
        await stop.wait()
        cut = await entry.drain()
        logs.info("drained", cut=cut)
        tasks.cancel_scope.cancel()
    with anyio.CancelScope(shield=True):
        await entry.store.aclose()
