"""The gateway role: forwards callers' requests to registered targets.

It keeps soft state only. Configuration, targets and announced versions are
read from the platform's store, or from other gateways during a store outage.
The sidecar beside each engine reports which adapters the engine holds.
"""

from collections.abc import Iterable
import dataclasses
import functools
import random
from typing import Any

import anyio
import anyio.abc
from radishstack.connection import fleet_wire
from radishstack.process import crash as crash_lib
from radishstack.process import placement as placement_lib
from radishstack.process import roster as roster_lib
from radishstack.process import shared_budget
from radishstack.process import stream_origins
from radishstack.process import suspicion
from radishstack.process import target_rate_limits
from radishstack.process import usage_books
from radishstack.process import usage_cap
from radishstack.process import usage_loan
from radishstack.version import route_table

from radishd import peers as peers_lib
from radishd import sidecar_exchange
from radishd import target_evidence
from radishd.connection import crash_watch as crash_watch_lib
from radishd.connection import http_client
from radishd.connection import liveness_check as liveness_check_lib
from radishd.connection import pool as pool_lib
from radishd.platform import store as store_lib
from radishd.platform import wire
from radishd.process import admin
from radishd.process import change_gossip as change_gossip_lib
from radishd.process import client_ports
from radishd.process import clock
from radishd.process import crash_gossip as crash_gossip_lib
from radishd.process import decision_log
from radishd.process import discovery as discovery_lib
from radishd.process import entry_watch
from radishd.process import fleet_socket
from radishd.process import incarnation_check
from radishd.process import kept_crashes as kept_crashes_lib
from radishd.process import metrics as metrics_lib
from radishd.process import notifier as notifier_lib
from radishd.process import pause_detector
from radishd.process import rate_limits
from radishd.process import settings as settings_lib
from radishd.process import sidecar_ring
from radishd.process import signals
from radishd.process import stream_origin_exchange
from radishd.process import supervise
from radishd.process import usage_caps
from radishd.process import web
from radishd.request import callers_port
from radishd.request import closing_check as closing_check_lib
from radishd.request import connection_draining as connection_draining_lib

MS_PER_S = 1_000
CONNECT_TIMEOUT_MS = 400
SWEEP_INTERVAL_MS = 500
VIEW_TTL_MS = 30_000
# Number of gateways assumed to share an allowance while fewer are known, as in
# the first second after a start.
MIN_GATEWAYS = 12
# Fraction of the retry budget that is used. Gateways count requests in
# different windows, and the margin keeps their sum within the budget.
BUDGET_FRACTION = 0.7


class Gateway:
    """One gateway process."""

    def __init__(
        self,
        settings: settings_lib.Settings,
        metrics: metrics_lib.Metrics,
        log: decision_log.DecisionLog,
        random_source: random.Random,
    ) -> None:
        """Builds the gateway; nothing listens yet.

        Args:
            settings: Its settings, of the role gateway.
            metrics: Its metrics.
            log: Its decision log.
            random_source: Its random source.
        """
        self.settings = settings
        self.own = settings.gateway
        self.metrics = metrics
        self.log = log
        self.random = random_source
        self.holder = route_table.TableHolder()
        self.roster = roster_lib.Roster(
            self.own.lapse_grace_ms, self.own.heartbeat_ms
        )
        _, _, domain = settings.failure_domain.partition("/")
        self.placement = placement_lib.Placement(random_source, domain)
        self.pool = pool_lib.Pool(CONNECT_TIMEOUT_MS)
        self.budgets: dict[str, shared_budget.SharedBudget] = {}
        self.notifier = notifier_lib.Notifier()
        self.liveness_check = liveness_check_lib.LivenessCheck(
            self.pool, lambda service: self.table.services.get(service)
        )
        self.crash_watch = crash_watch_lib.CrashWatch(
            self.liveness_check, log, metrics, self._on_target_crash
        )
        self.evidence = target_evidence.TargetEvidence(
            self.roster,
            self.placement,
            self.pool,
            self.crash_watch,
            log,
            # Requests waiting for a load on that target choose another one.
            on_draining=self.notifier.notify_all,
        )
        self.connection_draining = connection_draining_lib.ConnectionDraining()
        self.in_flight = 0
        self.refusals: dict[int, int] = {}
        self.socket: fleet_socket.FleetSocket | None = None
        self.server: web.Server | None = None
        self.client_ports = client_ports.ClientPorts(settings.clients, metrics)
        store_address = settings.platform.url.removeprefix("http://")
        self.store = store_lib.Store(store_address, metrics)
        self.peers = peers_lib.Peers(
            own=self.own.peers,
            seeds=settings.seeds,
            random_source=random_source,
        )
        self.sidecars = sidecar_exchange.SidecarExchange(
            settings,
            lambda: self.table,
            self.roster,
            self.placement,
            self.peers,
            self.evidence,
            self.notifier,
            log,
            self._on_new_incarnation,
        )
        self.load_requests = self.sidecars.load_requests
        self.callers = callers_port.CallersPort(self)
        self.usage_caps = usage_caps.UsageCaps(
            usage_books.Rules(
                self.own.usage_window_ms,
                self.own.usage_overage,
                self.own.usage_tolerance,
            ),
            lambda: self.peers.addresses,
            self._gateway_count,
            self._find_cap,
            self._send_usage,
            log,
            metrics,
            random_source,
        )
        self.rate_limits = rate_limits.RateLimits(
            target_rate_limits.TargetRateLimits(
                self.own.peers,
                lambda: self.peers.addresses,
                lambda: self.peers.count,
                random_source,
            ),
            self._other_gateways,
            self._send_to_gateways,
            log,
            metrics,
            random_source,
        )
        self.stream_origins = stream_origin_exchange.StreamOriginExchange(
            self._recent_gateways,
            sidecar_ring.SidecarRing(
                self.roster, lambda: self.table, self.own.sidecar_port
            ),
            self._send_to_gateways,
            # Not created yet.
            lambda: self.discovery.read_changed_targets(),
            log,
            metrics,
        )
        self.incarnation_check = incarnation_check.IncarnationCheck(
            settings.name
        )
        own_host, _ = settings_lib.split_address(self.own.peers)
        self.crash_gossip = crash_gossip_lib.CrashGossip(
            own_host,
            self._other_gateways,
            self._send_to_gateways,
            log,
            metrics,
            random_source,
            self._quarantined,
            self.notifier.notify_all,
        )
        self.kept_crashes = kept_crashes_lib.KeptCrashes(
            self.store,
            functools.partial(self.crash_gossip.merge, source="store"),
            log,
            metrics,
        )
        self.discovery = discovery_lib.Discovery(
            self.store,
            self.peers,
            self.roster,
            self.placement,
            self.holder,
            log,
            metrics,
            leaving_ms=self.own.leaving_ms,
            configuration_ms=self.own.configuration_ms,
            on_listed=self._on_new_incarnation,
            on_change=self.notifier.notify_all,
            on_limits=self.apply_limits,
            on_store_back=self.crash_gossip.request_reports_soon,
            on_store_restored=self._rewrite_crash_records,
        )
        self.change_gossip = change_gossip_lib.ChangeGossip(
            {
                kind: self.discovery.followers[kind]
                for kind in discovery_lib.RARE_KINDS
            },
            self._other_gateways,
            self._send_to_gateways,
            log,
            random_source,
        )
        self.discovery.on_read = self.change_gossip.record_read
        self.closing_check = closing_check_lib.ClosingCheck(
            self.roster,
            self.liveness_check,
            log,
            entry_watch.EntryWatch(
                self.store, self.discovery.followers[wire.KIND_TARGETS]
            ),
            self.own.heartbeat_ms,
            self.connection_draining.exits_at_ms,
        )

    @property
    def table(self) -> route_table.RouteTable:
        """The route table in force here."""
        return self.holder.table

    @property
    def draining(self) -> bool:
        """Whether the process is shutting down."""
        return self.connection_draining.schedule is not None

    def _on_new_incarnation(self, member: roster_lib.Member) -> None:
        """Handles an incarnation of a target that was not known before."""
        # Connections to the previous incarnation are dead. A request that must
        # not run twice would be lost on one, as it is not sent again.
        self.pool.drop(member.listing.address)
        self.load_requests.notify_new_incarnation(member)

    def _on_target_crash(self, crash: crash_lib.Crash) -> None:
        """Handles a target crash that this gateway observed."""
        self.crash_gossip.crashed(crash)

    def _other_gateways(self) -> list[fleet_socket.Address]:
        """Returns the datagram addresses of the other gateways."""
        return self._datagram_addresses(self.peers.addresses)

    def _recent_gateways(self) -> list[fleet_socket.Address]:
        """Returns those of the other gateways that probably still run."""
        return self._datagram_addresses(self.peers.recent_addresses)

    def _datagram_addresses(
        self, peer_addresses: Iterable[str]
    ) -> list[fleet_socket.Address]:
        _, port = settings_lib.split_address(self.own.control)
        return [
            (settings_lib.split_address(address)[0], port)
            for address in sorted(peer_addresses)
        ]

    def _gateway_count(self) -> int:
        return self.peers.count_at_least(MIN_GATEWAYS, clock.boot_ms())

    def _find_cap(self, account: str) -> usage_cap.UsageCap | None:
        accounts = self.table.accounts
        found = None if accounts is None else accounts.accounts.get(account)
        return None if found is None else found.cap

    async def _send_usage(self, name: str, message: usage_loan.Message) -> None:
        if self.socket is not None:
            host, _ = settings_lib.split_address(name)
            _, port = settings_lib.split_address(self.own.control)
            await self.socket.send((host, port), message)

    async def _send_to_gateways(
        self,
        addresses: Iterable[fleet_socket.Address],
        report: fleet_wire.CrashReport
        | fleet_wire.RateLimitReport
        | fleet_wire.ChangeReport
        | fleet_wire.StreamMessage,
    ) -> None:
        if self.socket is not None:
            await self.socket.send_all(addresses, report)

    def _quarantined(self, record: suspicion.Record) -> None:
        """Handles a newly quarantined request."""
        self.kept_crashes.keep(record)
        # Equal requests that wait for an adapter must be rejected at once, too.
        self.notifier.notify_all()

    def _rewrite_crash_records(self) -> None:
        """Queues crash records that a restored store may have lost."""
        for lost_record in self.crash_gossip.records_to_rewrite():
            self.kept_crashes.keep(lost_record)

    def apply_limits(self, limits: route_table.Limits) -> None:
        """Applies the limits of a configuration to callers' connections."""
        if self.server is not None:
            web.apply_limits(
                self.server,
                self.client_ports.callers_limits(
                    limits.max_header_bytes,
                    limits.header_timeout_ms,
                    limits.idle_timeout_ms,
                ),
            )

    # Methods for requests, see ``gateway_interface``.

    def pick_service(self, route: route_table.Route) -> str:
        """Picks a service of a route by weight."""
        if len(route.shares) == 1:
            return route.shares[0].service
        weights = [share.weight for share in route.shares]
        if not any(weights):
            return route.shares[0].service
        return self.random.choices(route.shares, weights)[0].service

    def random_delay_ms(self, bounds_ms: tuple[int, int]) -> int:
        """Returns a random time within bounds, to spread out retries."""
        return round(self.random.uniform(*bounds_ms))

    def budget(self, service: str) -> shared_budget.SharedBudget:
        """Returns this gateway's share of a service's retry budget."""
        # Uses the number of gateways known now. With shares computed while
        # fewer were known, all together would send several times the budget.
        gateways = max(MIN_GATEWAYS, self.peers.count)
        part = self.own.retry_extra * BUDGET_FRACTION / gateways
        ratio = self.own.retry_ratio * BUDGET_FRACTION
        window_ms = self.own.retry_window_ms
        budget = self.budgets.get(service)
        if budget is None:
            budget = shared_budget.SharedBudget(ratio, part, window_ms)
            self.budgets[service] = budget
        # Reloaded settings apply to the sends that were counted before.
        budget.ratio, budget.part, budget.window_ms = ratio, part, window_ms
        return budget

    def release(self, address: str, connection: http_client.Connection) -> None:
        """Returns a connection to the pool after a whole response."""
        keep_s = connection.announced_keep_alive_s()
        if connection.finish():
            self.pool.release(address, connection, keep_s)

    def discard(self, connection: http_client.Connection) -> None:
        """Closes a connection that was not released."""
        if connection.is_busy:
            connection.close()

    def handle_datagram(
        self, datagram: fleet_wire.Datagram, sender: fleet_socket.Address
    ) -> None:
        """Handles a datagram from another gateway or a sidecar."""
        if isinstance(datagram, fleet_wire.CrashReport):
            # The sender may have started after the last update of the peer
            # addresses.
            _, port = settings_lib.split_address(self.own.peers)
            self.peers.record_peers((f"{sender[0]}:{port}",))
            self.crash_gossip.handle_report(datagram, sender)
        elif isinstance(datagram, fleet_wire.RateLimitReport):
            self.rate_limits.handle(datagram, sender)
        elif isinstance(datagram, fleet_wire.ChangeReport):
            self.change_gossip.handle(datagram)
        elif isinstance(datagram, fleet_wire.StreamMessage):
            # Sidecars answer queries as well, but make none.
            if not isinstance(datagram, stream_origins.Answer):
                _, port = settings_lib.split_address(self.own.peers)
                self.peers.record_peers((f"{sender[0]}:{port}",))
            self.stream_origins.handle(datagram, sender)
        elif isinstance(datagram, fleet_wire.StatusUpdate):
            self.sidecars.handle_status(datagram, sender)
        elif isinstance(datagram, usage_loan.Message):
            _, port = settings_lib.split_address(self.own.peers)
            name = f"{sender[0]}:{port}"
            self.peers.record_peers((name,))
            self.usage_caps.handle(datagram, name)

    # Lifecycle.

    async def sweep(self) -> None:
        """Drops expired state at an interval, until cancelled."""
        while True:
            await anyio.sleep(SWEEP_INTERVAL_MS / MS_PER_S)
            now_ms = clock.boot_ms()
            self.pool.sweep()
            self.peers.expire(now_ms)
            self.log.flush()
            self.crash_gossip.sweep()
            self.usage_caps.sweep()
            self.stream_origins.observe(
                (member.listing for member in self.roster.members.values()),
                is_current=self.discovery.has_current_targets,
            )
            self.placement.forget(now_ms, VIEW_TTL_MS)
            for name in self.roster.drop_expired(now_ms):
                self.log.write("target_lapsed", target=name)
            for member in self.roster.apply_withheld(now_ms):
                self._on_new_incarnation(member)
            addresses = {
                member.listing.address
                for member in self.roster.members.values()
            }
            self.load_requests.forget(addresses)
            self.incarnation_check.forget(addresses)

    def on_process_pause(self, late_ms: int) -> None:
        """Discards state that a pause of this process made unreliable."""
        self.metrics.pauses.inc({})
        self.log.must("process_paused", late_ms=late_ms)
        self.pool.drop_all()
        self.store.drop_connections()
        self.placement.views.clear()
        self.roster.clear_ejections()
        self.crash_gossip.request_reports_soon()
        self.stream_origins.on_process_pause()
        self.incarnation_check.drop_connections()
        self.closing_check.on_process_pause()
        for follower in self.discovery.followers.values():
            follower.restart()

    def reload(self, settings: settings_lib.Settings) -> None:
        """Applies reloaded settings; addresses stay as they are."""
        self.settings = settings
        self.own = settings.gateway
        self.peers.record_peers(settings.seeds)
        self.log.must("reload", config=self.table.version)

    def ready(self) -> str:
        """Returns why the gateway is not ready, empty if it is."""
        if self.draining:
            return "draining"
        if not self.table.version:
            return "no configuration"
        if not self.roster.members:
            return "no targets"
        return ""

    def status(self) -> dict[str, Any]:
        """Returns the content of ``/status``."""
        now_ms = clock.boot_ms()
        quarantined = self.crash_gossip.evidence.quarantined(now_ms)
        return {
            "name": self.settings.name,
            "role": str(self.settings.role),
            "ready": self.ready() or "yes",
            "config_version": self.table.version,
            "changes": [
                dataclasses.asdict(one) for one in self.discovery.changes
            ],
            "peers": sorted(self.peers.addresses),
            "in_flight": self.in_flight,
            "draining": self.draining,
            "refusals": self.refusals,
            "accounts": self.usage_caps.report(),
            "rate_limits_per_s": self.rate_limits.report(),
            "quarantined_requests": {
                fingerprint: dataclasses.asdict(quarantine)
                for fingerprint, quarantine in quarantined.items()
            },
            "targets": {
                name: {
                    "listing": dataclasses.asdict(member.listing),
                    "health": dataclasses.asdict(member.health),
                    "residents": dict(self.placement.residents(member, now_ms)),
                }
                for name, member in self.roster.members.items()
            },
        }

    def refresh(self) -> None:
        """Sets the gauges."""
        self.metrics.version.set({}, self.table.version)
        self.metrics.in_flight.set({}, self.in_flight)
        self.metrics.log_dropped.set({}, self.log.dropped)
        self.client_ports.refresh()


async def run(
    settings: settings_lib.Settings,
    *,
    stop: anyio.Event,
    reloads: signals.ReloadHook,
    task_status: anyio.abc.TaskStatus[Gateway] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Runs a gateway until ``stop`` is set, then drains it.

    Args:
        settings: Its settings.
        stop: Set to start the drain.
        reloads: Passes reloaded settings to the gateway.
        task_status: Receives the gateway once it listens.
    """
    own = settings.gateway
    metrics = metrics_lib.Metrics(name=settings.name)
    log = decision_log.open_log(vm=settings.name)
    gateway = Gateway(settings, metrics, log, random.Random())
    reloads.on_reload = gateway.reload
    log.must("start", role=str(settings.role), listen=own.listen)
    async with anyio.create_task_group() as tasks:
        gateway.socket = await fleet_socket.open_socket(
            own.control, metrics, gateway.handle_datagram
        )
        gateway.sidecars.attach(gateway.socket)
        jobs = {
            "receive": gateway.socket.run,
            "send_demands": gateway.sidecars.send_demands,
            "tell_hurried": gateway.load_requests.send_urgent,
            "sweep": gateway.sweep,
            "crash_watch": gateway.crash_watch.run,
            "tell_crashes": gateway.crash_gossip.send_reports,
            "keep_crashes": gateway.kept_crashes.run,
            "pass_on_crashes": gateway.crash_gossip.gossip_recurring,
            "ask_for_crashes": gateway.crash_gossip.request_reports_at_start,
            "ask_peers": gateway.discovery.ask_peers,
            "tell_changes": gateway.change_gossip.tell,
            "check_changes": gateway.change_gossip.check,
            "usage_caps": gateway.usage_caps.run,
            "report_rate_limits": gateway.rate_limits.run,
            "answer_stream_queries": gateway.stream_origins.answer_queries,
            "pause_detector": functools.partial(
                pause_detector.watch, gateway.on_process_pause
            ),
        }
        for kind, follower in gateway.discovery.followers.items():
            jobs[f"follow_{kind}"] = follower.run
        for name, job in jobs.items():
            tasks.start_soon(supervise.run_forever, name, job, metrics)
        for app, address in (
            (_admin_app(gateway), own.admin),
            (peers_lib.make_app(gateway.discovery.export_objects), own.peers),
            (admin.make_readiness_app(gateway.ready), own.readiness),
        ):
            server = web.make_server(
                app,
                *settings_lib.split_address(address),
                gateway.client_ports.control_port(),
            )
            await tasks.start(functools.partial(web.serve, server))
        gateway.server = web.make_server(
            gateway.callers.app,
            *settings_lib.split_address(own.listen),
            gateway.client_ports.callers_port(
                gateway.table.limits.max_header_bytes
            ),
            backlog=1_024,
        )
        # The configuration may have been read already.
        gateway.apply_limits(gateway.table.limits)
        await tasks.start(functools.partial(web.serve, gateway.server))
        task_status.started(gateway)
        await stop.wait()
        await _drain(gateway)
        tasks.cancel_scope.cancel()
    log.must("stop", in_flight=gateway.in_flight)


def _admin_app(gateway: Gateway) -> web.App:
    return admin.make_app(
        gateway.metrics,
        ready=gateway.ready,
        status=gateway.status,
        refresh=gateway.refresh,
    )


async def _drain(gateway: Gateway) -> None:
    """Serves until the balancer removes the VM, then finishes open requests."""
    schedule = gateway.connection_draining.begin(gateway.own.shutdown_ms)
    gateway.log.must("draining", in_flight=gateway.in_flight)
    accepts_ms = schedule.accepts_until_ms - clock.boot_ms()
    await anyio.sleep(accepts_ms / MS_PER_S)
    gateway.server.should_exit = True
    left_ms = schedule.exits_at_ms - clock.boot_ms()
    with anyio.move_on_after(max(0, left_ms) / MS_PER_S):
        while gateway.in_flight or gateway.server.server_state.connections:
            await anyio.sleep(web.START_POLL_S)
