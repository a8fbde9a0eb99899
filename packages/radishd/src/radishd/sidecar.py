"""The sidecar role: the process beside one engine.

Only the sidecar sends orders to its engine. It receives the demand of gateways
and reports to them which adapters the engine holds. It keeps soft state only:
after a restart, the engine's own report restores what was lost.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import functools
from typing import Any

import anyio
import anyio.abc
from radishstack import result
from radishstack.connection import fleet_wire
from radishstack.process import adapter_keeper
from radishstack.process import audience as audience_lib
from radishstack.process import incarnation

from radishd.platform import engine as engine_lib
from radishd.process import admin
from radishd.process import client_ports
from radishd.process import clock
from radishd.process import decision_log
from radishd.process import engine_order
from radishd.process import fleet_socket
from radishd.process import metrics as metrics_lib
from radishd.process import pause_detector
from radishd.process import settings as settings_lib
from radishd.process import signals
from radishd.process import stream_origin_holder
from radishd.process import supervise
from radishd.process import web

MS_PER_S = 1_000
Verdict = engine_order.Verdict


class Sidecar:
    """One process beside an engine."""

    def __init__(
        self,
        settings: settings_lib.Settings,
        metrics: metrics_lib.Metrics,
        log: decision_log.DecisionLog,
    ) -> None:
        """Builds the process; nothing listens yet.

        Args:
            settings: Its settings, of the role sidecar.
            metrics: Its metrics.
            log: Its decision log.
        """
        self.settings = settings
        self.own = settings.sidecar
        self.metrics = metrics
        self.log = log
        self.client_ports = client_ports.ClientPorts(settings.clients, metrics)
        self.keeper = adapter_keeper.Keeper()
        self.engine = engine_lib.Engine(self.own.engine, settings.name)
        self.socket: fleet_socket.FleetSocket | None = None
        self.audience = audience_lib.Audience()
        self.incarnations = incarnation.IncarnationTracker()
        self.report: adapter_keeper.Report | None = None
        self.former_born_ms = 0
        self.engine_lost = False
        self.wake = anyio.Event()
        self.stream_origins = stream_origin_holder.StreamOriginHolder(
            self._send_stream_message, log, metrics
        )
        self._status_sent_at_ms = 0
        self._last_status: tuple[Any, ...] = ()

    @property
    def instance(self) -> str:
        """The engine incarnation that orders are for, empty if unknown."""
        return self.incarnations.current

    def handle_update(
        self, datagram: fleet_wire.Datagram, sender: fleet_socket.Address
    ) -> None:
        """Handles a gateway's demand, or a message about a stream."""
        if isinstance(
            datagram, fleet_wire.StreamRecord | fleet_wire.StreamQuery
        ):
            self.stream_origins.handle(datagram, sender)
            return
        if not isinstance(datagram, fleet_wire.DemandDatagram):
            return
        now_ms = clock.boot_ms()
        demand = datagram.demand
        waiting = frozenset(
            want.adapter for want in demand.wants if want.waiting
        )
        self.audience.record_demand(
            sender,
            datagram.peer_address,
            waiting,
            uses=bool(demand.uses or demand.wants),
            now_ms=now_ms,
        )
        previous_instance = self.incarnations.current
        if not self.incarnations.select(demand.instance):
            return
        if demand.instance != previous_instance:
            self.log.must(
                "engine_instance",
                instance=demand.instance,
                before=previous_instance,
            )
            self.keeper.restarted()
        has_update = self.keeper.handle_update(demand, now_ms)
        if has_update or not waiting.isdisjoint(self._residents()):
            self.wake.set()

    async def _send_stream_message(
        self,
        addresses: Iterable[fleet_socket.Address],
        message: fleet_wire.StreamMessage,
    ) -> None:
        if self.socket is not None:
            await self.socket.send_all(addresses, message)

    def _residents(self) -> Mapping[str, int]:
        return self.report.residents if self.report is not None else {}

    async def run(self) -> None:
        """Polls the engine and sends it orders until cancelled."""
        while True:
            await self._poll_engine()
            poll_ms = self.keeper.next_poll_ms(clock.boot_ms())
            with anyio.move_on_after(poll_ms / MS_PER_S):
                await self.wake.wait()
            self.wake = anyio.Event()

    async def _poll_engine(self) -> None:
        report = await self.engine.report()
        if isinstance(report, result.Failure):
            self._on_engine_lost(report)
        else:
            self._observe(report)
            await self._send_orders()
        await self._send_status()

    def _on_engine_lost(self, failure: result.Failure) -> None:
        if not self.engine_lost:
            self.engine_lost = True
            self.log.must("engine_lost", reason=failure.message)
        self.report = None
        self.keeper.restarted()

    def _observe(self, report: adapter_keeper.Report) -> None:
        if self.engine_lost:
            self.engine_lost = False
            self.log.must("engine_back", residents=len(report.residents))
        self.report = report
        former_born_ms = self.keeper.observe(report)
        if former_born_ms:
            self.former_born_ms = former_born_ms
            self.incarnations.restarted()
            self.log.must(
                "engine_restarted",
                instance=self.instance,
                born_ms=report.born_ms,
                former_born_ms=former_born_ms,
                accepted_count=report.accepted_count,
            )

    async def _send_orders(self) -> None:
        """Sends orders one by one, each based on a new report."""
        while self.instance:
            order = self.keeper.decide(clock.boot_ms())
            if order is None:
                return
            began_ms = clock.boot_ms()
            ordered = await self.engine.order(order, self.instance)
            now_ms = clock.boot_ms()
            self._record_order(order, ordered, now_ms - began_ms)
            refused = ordered.verdict is Verdict.REFUSED
            self.keeper.settled(order, now_ms, refused=refused)
            if ordered.verdict is Verdict.OTHER_INSTANCE:
                self.log.must("engine_instance_ended", instance=self.instance)
                self.incarnations.refused()
                self.keeper.restarted()
            report = await self.engine.report()
            if isinstance(report, result.Failure):
                self._on_engine_lost(report)
                return
            self._observe(report)
            if self._is_status_due(clock.boot_ms()):
                # An engine that does not answer orders would otherwise delay
                # status updates, and gateways would treat it as gone.
                await self._send_status()

    def _is_status_due(self, now_ms: int) -> bool:
        return (
            now_ms - self._status_sent_at_ms
            >= self.audience.active_interval_ms()
        )

    def _record_order(
        self,
        order: adapter_keeper.Order,
        ordered: engine_order.OrderResult,
        took_ms: int,
    ) -> None:
        verdict = ordered.verdict.value
        self.metrics.orders.inc({"verdict": verdict})
        self.metrics.order_ms.observe({}, took_ms)
        self.log.write(
            "order",
            operation=str(order.operation),
            adapter=order.adapter,
            version=order.version,
            accepted_count=order.accepted_count,
            instance=self.instance,
            verdict=verdict,
            detail=ordered.detail,
            took_ms=took_ms,
        )

    async def _send_status(self) -> None:
        """Sends status updates to the gateways that are due."""
        now_ms = clock.boot_ms()
        if not self.instance:
            return
        self._status_sent_at_ms = now_ms
        report = self.report
        residents = dict(self._residents())
        born_ms = report.born_ms if report is not None else 0
        leaving = report is not None and report.leaving
        status = (self.instance, born_ms, residents, leaving)
        changed, self._last_status = status != self._last_status, status
        recipient_groups = self.audience.due(
            now_ms, changed=changed, held=frozenset(residents)
        )
        if not recipient_groups:
            return
        state = fleet_wire.StatusUpdate(
            instance=self.instance,
            running=report.running if report is not None else 0,
            queued=report.queued if report is not None else 0,
            residents=residents,
            pending=self.keeper.pending(now_ms),
            peer_addresses=self.audience.next_names(),
            load_wait=self.keeper.load_wait(now_ms),
            born_ms=born_ms,
            former_born_ms=self.former_born_ms if born_ms else 0,
            gateway_count=len(self.audience),
            recent=self.keeper.recently_held(),
            leaving=leaving,
        )
        for recipient_group in recipient_groups:
            update = dataclasses.replace(state, next_ms=recipient_group.next_ms)
            await self.socket.send_all(recipient_group.addresses, update)

    def on_process_pause(self, late_ms: int) -> None:
        """Drops connections and sends no orders for a while after a pause."""
        self.metrics.pauses.inc({})
        self.log.must("process_paused", late_ms=late_ms)
        self.engine.drop_connections()
        self.keeper.hold(clock.boot_ms() + self.own.thaw_ms)

    def reload(self, settings: settings_lib.Settings) -> None:
        """Applies reloaded settings; addresses stay as they are."""
        self.settings = settings
        self.own = settings.sidecar
        self.log.must("reload")

    def ready(self) -> str:
        """Returns why the sidecar is not ready, empty if it is."""
        return "engine does not answer" if self.engine_lost else ""

    def status(self) -> dict[str, Any]:
        """Returns the content of ``/status``."""
        report = self.report
        return {
            "name": self.settings.name,
            "role": str(self.settings.role),
            "ready": self.ready() or "yes",
            "instance": self.instance,
            "residents": dict(report.residents) if report is not None else {},
            "pending": sorted(self.keeper.pending(clock.boot_ms())),
            "gateways": len(self.audience),
        }

    def refresh(self) -> None:
        """Sets the gauges."""
        report = self.report
        count = len(report.residents) if report is not None else 0
        self.metrics.resident.set({}, count)
        self.client_ports.refresh()
        self.metrics.queued.set({}, report.queued if report is not None else 0)


async def run(
    settings: settings_lib.Settings,
    *,
    stop: anyio.Event,
    reloads: signals.ReloadHook,
    task_status: anyio.abc.TaskStatus[Sidecar] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Runs the process until ``stop`` is set.

    Args:
        settings: Its settings.
        stop: Set to stop it.
        reloads: Passes reloaded settings to the sidecar.
        task_status: Receives the sidecar once it listens.
    """
    own = settings.sidecar
    metrics = metrics_lib.Metrics(name=settings.name)
    log = decision_log.open_log(vm=settings.name)
    sidecar = Sidecar(settings, metrics, log)
    reloads.on_reload = sidecar.reload
    log.must("start", role=str(settings.role), engine=own.engine)
    async with anyio.create_task_group() as tasks:
        sidecar.socket = await fleet_socket.open_socket(
            own.control, metrics, sidecar.handle_update
        )
        jobs = {
            "receive": sidecar.socket.run,
            "keep": sidecar.run,
            "answer_stream_queries": sidecar.stream_origins.answer_queries,
            "pause_detector": functools.partial(
                pause_detector.watch, sidecar.on_process_pause
            ),
        }
        for name, job in jobs.items():
            tasks.start_soon(supervise.run_forever, name, job, metrics)
        app = admin.make_app(
            metrics,
            ready=sidecar.ready,
            status=sidecar.status,
            refresh=sidecar.refresh,
        )
        server = web.make_server(
            app,
            *settings_lib.split_address(own.admin),
            sidecar.client_ports.control_port(),
        )
        await tasks.start(functools.partial(web.serve, server))
        task_status.started(sidecar)
        await stop.wait()
        tasks.cancel_scope.cancel()
    log.must("stop")
