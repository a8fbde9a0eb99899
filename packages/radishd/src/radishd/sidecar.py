"""The sidecar role: the process beside one engine.

It alone gives the engine its orders, follows the demand that gateways tell
it, and tells them what the engine holds. It keeps soft state only: a restart
loses nothing that the engine's own report does not bring back.
"""

import functools
from typing import Any

import anyio
import anyio.abc
from radishstack import result
from radishstack.connection import fleet_wire
from radishstack.process import adapter_keeper
from radishstack.process import incarnation

from radishd.platform import engine as engine_lib
from radishd.process import admin
from radishd.process import clock
from radishd.process import decision_log
from radishd.process import fleet_socket
from radishd.process import metrics as metrics_lib
from radishd.process import settings as settings_lib
from radishd.process import signals
from radishd.process import stillness
from radishd.process import supervise
from radishd.process import web

MS_PER_S = 1_000
# How often the engine is asked for its report: while something is on its
# way, requests wait for the word that it has come.
IDLE_POLL_MS = 100
PENDING_POLL_MS = 15
# How often gateways are told the state when nothing changed.
TELL_EVERY_MS = 200
GATEWAY_MS = 3_000
MAX_GATEWAYS = 512

Verdict = engine_lib.Verdict


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
        self.keeper = adapter_keeper.Keeper()
        self.engine = engine_lib.Engine(self.own.engine, settings.name)
        self.socket: fleet_socket.FleetSocket | None = None
        self.gateways: dict[fleet_socket.Address, int] = {}
        self.peer_addresses: dict[str, int] = {}
        self.incarnations = incarnation.Incarnations()
        self.report: adapter_keeper.Report | None = None
        self.engine_lost = False
        self.wake = anyio.Event()
        self._told_at_ms = 0
        self._told: tuple[Any, ...] = ()

    @property
    def instance(self) -> str:
        """The start of the engine that orders are for, empty if unknown."""
        return self.incarnations.current

    def hear(
        self, datagram: fleet_wire.Datagram, sender: fleet_socket.Address
    ) -> None:
        """Takes a gateway's demand."""
        if not isinstance(datagram, fleet_wire.DemandDatagram):
            return
        now_ms = clock.boot_ms()
        if sender in self.gateways or len(self.gateways) < MAX_GATEWAYS:
            self.gateways[sender] = now_ms
            self.peer_addresses[datagram.peer_address] = now_ms
        demand = datagram.demand
        known = self.incarnations.current
        if not self.incarnations.named(demand.instance):
            return
        if demand.instance != known:
            self.log.must(
                "engine_instance", instance=demand.instance, before=known
            )
            self.keeper.restarted()
        before = self.keeper.pending(now_ms)
        self.keeper.hear(demand, now_ms)
        if self.keeper.pending(now_ms) - before:
            self.wake.set()

    async def run(self) -> None:
        """Keeps the engine until cancelled."""
        while True:
            await self._round()
            now_ms = clock.boot_ms()
            pending = self.keeper.pending(now_ms)
            poll_ms = PENDING_POLL_MS if pending else IDLE_POLL_MS
            if not pending:
                self.wake = anyio.Event()
            with anyio.move_on_after(poll_ms / MS_PER_S):
                if pending:
                    await anyio.sleep(poll_ms / MS_PER_S)
                else:
                    await self.wake.wait()

    async def _round(self) -> None:
        report = await self.engine.report()
        if isinstance(report, result.Failure):
            self._lost(report)
        else:
            self._observe(report)
            await self._give_orders()
        await self._tell()

    def _lost(self, failure: result.Failure) -> None:
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
        self.keeper.observe(report)

    async def _give_orders(self) -> None:
        """Gives orders one by one, each on a new report."""
        while self.instance:
            order = self.keeper.decide(clock.boot_ms())
            if order is None:
                return
            began_ms = clock.boot_ms()
            ordered = await self.engine.order(order, self.instance)
            now_ms = clock.boot_ms()
            self._note(order, ordered, now_ms - began_ms)
            refused = ordered.verdict is Verdict.REFUSED
            self.keeper.settled(order, now_ms, refused=refused)
            if ordered.verdict is Verdict.OTHER_INSTANCE:
                self.log.must("engine_instance_ended", instance=self.instance)
                self.incarnations.refused()
                self.keeper.restarted()
            report = await self.engine.report()
            if isinstance(report, result.Failure):
                self._lost(report)
                return
            self._observe(report)

    def _note(
        self,
        order: adapter_keeper.Order,
        ordered: engine_lib.Ordered,
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

    async def _tell(self) -> None:
        """Tells the gateways the state, at once if residency changed."""
        now_ms = clock.boot_ms()
        if not self.instance:
            return
        report = self.report
        residents = dict(report.residents) if report is not None else {}
        pending = self.keeper.pending(now_ms)
        told = (self.instance, residents)
        regular = now_ms - self._told_at_ms >= TELL_EVERY_MS
        if told == self._told and not regular:
            return
        self._told, self._told_at_ms = told, now_ms
        self._forget_gateways(now_ms)
        state = fleet_wire.State(
            instance=self.instance,
            running=report.running if report is not None else 0,
            queued=report.queued if report is not None else 0,
            residents=residents,
            pending=pending,
            peer_addresses=tuple(sorted(self.peer_addresses)),
            load_wait=self.keeper.load_wait(now_ms),
        )
        for address in list(self.gateways):
            await self.socket.send(address, state)

    def _forget_gateways(self, now_ms: int) -> None:
        oldest_ms = now_ms - GATEWAY_MS
        self.gateways = {
            address: at_ms
            for address, at_ms in self.gateways.items()
            if at_ms >= oldest_ms
        }
        self.peer_addresses = {
            address: at_ms
            for address, at_ms in self.peer_addresses.items()
            if at_ms >= oldest_ms
        }

    def stood_still(self, late_ms: int) -> None:
        """Distrusts what was believed before this process stood still."""
        self.metrics.still.inc({})
        self.log.must("stood_still", late_ms=late_ms)
        self.engine.drop_connections()
        self.keeper.hold(clock.boot_ms() + self.own.thaw_ms)

    def reload(self, settings: settings_lib.Settings) -> None:
        """Takes settings that were read again; addresses stay as they are."""
        self.settings = settings
        self.own = settings.sidecar
        self.log.must("reload")

    def ready(self) -> str:
        """Returns why it is not ready, empty if it is."""
        return "engine does not answer" if self.engine_lost else ""

    def status(self) -> dict[str, Any]:
        """Returns what ``/status`` answers."""
        report = self.report
        return {
            "name": self.settings.name,
            "instance": self.instance,
            "residents": dict(report.residents) if report is not None else {},
            "pending": sorted(self.keeper.pending(clock.boot_ms())),
            "gateways": len(self.gateways),
        }

    def refresh(self) -> None:
        """Sets the gauges."""
        report = self.report
        count = len(report.residents) if report is not None else 0
        self.metrics.resident.set({}, count)
        self.metrics.queued.set({}, report.queued if report is not None else 0)


async def run(
    settings: settings_lib.Settings,
    *,
    stop: anyio.Event,
    reloads: signals.Reloads,
    task_status: anyio.abc.TaskStatus[Sidecar] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Runs the process until it is told to stop.

    Args:
        settings: Its settings.
        stop: Set to stop it.
        reloads: Tells it of settings that were read again.
        task_status: Given the process once it listens.
    """
    own = settings.sidecar
    metrics = metrics_lib.Metrics(name=settings.name)
    log = decision_log.open_log(vm=settings.name)
    sidecar = Sidecar(settings, metrics, log)
    reloads.on_reload = sidecar.reload
    log.must("start", role=str(settings.role), engine=own.engine)
    async with anyio.create_task_group() as tasks:
        sidecar.socket = await fleet_socket.open_socket(
            own.control, metrics, sidecar.hear
        )
        jobs = {
            "receive": sidecar.socket.run,
            "keep": sidecar.run,
            "stillness": functools.partial(
                stillness.watch, sidecar.stood_still
            ),
        }
        for name, job in jobs.items():
            tasks.start_soon(supervise.forever, name, job, metrics)
        app = admin.make_app(
            metrics,
            ready=sidecar.ready,
            status=sidecar.status,
            refresh=sidecar.refresh,
        )
        server = web.make_server(app, *settings_lib.split_address(own.admin))
        await tasks.start(functools.partial(web.serve, server))
        task_status.started(sidecar)
        await stop.wait()
        tasks.cancel_scope.cancel()
    log.must("stop")
