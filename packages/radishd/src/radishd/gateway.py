"""The gateway role: takes callers' requests to registered targets.

It keeps soft state only. Configuration, targets and announced versions are
read from the platform's store, and from other gateways while the store does
not answer; what engines hold is told by the process beside each.
"""

from collections.abc import Iterable
import dataclasses
import functools
import itertools
import random
from typing import Any

import anyio
import anyio.abc
from radishstack import invariant
from radishstack import result
from radishstack.connection import fleet_wire
from radishstack.process import adapter_keeper
from radishstack.process import crash as crash_lib
from radishstack.process import crash_evidence
from radishstack.process import incarnation
from radishstack.process import placement as placement_lib
from radishstack.process import roster as roster_lib
from radishstack.process import shared_budget
from radishstack.request import forwarding
from radishstack.version import route_table

from radishd import peers as peers_lib
from radishd.connection import crash_watch as crash_watch_lib
from radishd.connection import http_client
from radishd.connection import pool as pool_lib
from radishd.platform import front
from radishd.platform import store as store_lib
from radishd.process import admin
from radishd.process import clock
from radishd.process import crash_news as crash_news_lib
from radishd.process import decision_log
from radishd.process import fleet_socket
from radishd.process import kept_crashes as kept_crashes_lib
from radishd.process import knowledge as knowledge_lib
from radishd.process import logs
from radishd.process import metrics as metrics_lib
from radishd.process import news as news_lib
from radishd.process import settings as settings_lib
from radishd.process import signals
from radishd.process import stillness
from radishd.process import supervise
from radishd.process import web
from radishd.process import wishes as wishes_lib
from radishd.request import forward as forward_lib

MS_PER_S = 1_000
CONNECT_TIMEOUT_MS = 400
# How often each process beside an engine is told what is used and wanted;
# it believes a word for five times as long.
DEMAND_EVERY_MS = 400
SWEEP_EVERY_MS = 500
FORGET_VIEWS_MS = 30_000
# The balancer takes a VM out after two misses a second apart; until then it
# sends new connections, and for as long these are served.
UNREADY_MS = 2_600
EXIT_MARGIN_MS = 700
# Part of the time until the forced end for which a request may wait for its
# adapter; the rest is for its answer. One that waits on would be cut with the
# process, though it was read and never sent.
WAITS_PART = 0.5
# Gateways assumed to share the retry allowance while fewer are known, as in
# the first second after a start.
MIN_GATEWAYS = 12
# Part of the allowance that is used, so that requests that are counted in
# another window elsewhere do not break it.
BUDGET_PART = 0.7
HTTP_SERVER_ERROR = 500

Outcome = forwarding.Outcome


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
        self.wishes = wishes_lib.Wishes(self.placement, log, self._send_demand)
        self.budgets: dict[str, shared_budget.SharedBudget] = {}
        self.news = news_lib.News()
        self.crash_watch = crash_watch_lib.CrashWatch(
            self.pool, log, metrics, self._target_crashed
        )
        self.draining = False
        self.waits_end_at_ms = 0
        self.in_flight = 0
        self.refusals: dict[int, int] = {}
        self.socket: fleet_socket.FleetSocket | None = None
        self.server: web.Server | None = None
        store_address = settings.platform.url.removeprefix("http://")
        self.store = store_lib.Store(store_address, metrics)
        self.peers = peers_lib.Peers(
            own=self.own.peers,
            seeds=settings.seeds,
            random_source=random_source,
        )
        own_host, _ = settings_lib.split_address(self.own.peers)
        self.crash_news = crash_news_lib.CrashNews(
            own_host,
            self._other_gateways,
            self._send_crash_news,
            log,
            metrics,
            random_source,
            self._quarantined,
        )
        self.kept_crashes = kept_crashes_lib.KeptCrashes(
            self.store,
            functools.partial(self.crash_news.take, told_by="store"),
            log,
        )
        self.knowledge = knowledge_lib.Knowledge(
            self.store,
            self.peers,
            self.roster,
            self.placement,
            self.holder,
            log,
            metrics,
            leaving_ms=self.own.leaving_ms,
            configuration_ms=self.own.configuration_ms,
            on_listed=self._start_known,
            on_news=self.news.tell_all,
            on_limits=self._take_limits,
            on_store_back=self.crash_news.ask_soon,
        )

    @property
    def table(self) -> route_table.RouteTable:
        """The route table in force here."""
        return self.holder.table

    def _start_known(self, member: roster_lib.Member) -> None:
        """Takes that a start of a target is known that was not before."""
        # Connections to a start before it lead nowhere; a request that must
        # not run twice would be lost on one.
        self.pool.drop(member.listing.address)
        self.wishes.introduce(member)

    def _target_crashed(self, crash: crash_lib.Crash) -> None:
        """Takes that a target was seen to have ended."""
        self.crash_news.crashed(crash)

    def _other_gateways(self) -> list[fleet_socket.Address]:
        """Returns where the other gateways take datagrams."""
        _, port = settings_lib.split_address(self.own.control)
        return [
            (settings_lib.split_address(address)[0], port)
            for address in sorted(self.peers.addresses)
        ]

    async def _send_crash_news(
        self,
        addresses: Iterable[fleet_socket.Address],
        news: fleet_wire.CrashNews,
    ) -> None:
        if self.socket is not None:
            await self.socket.send_all(addresses, news)

    def _quarantined(self, record: crash_evidence.Record) -> None:
        """Takes that a request is refused from now on."""
        self.kept_crashes.keep(record)
        # Those that wait for an adapter are to be refused at once, too.
        self.news.tell_all()

    def _take_limits(self, limits: route_table.Limits) -> None:
        if self.server is not None:
            web.set_idle_timeout(self.server, limits.idle_timeout_ms)

    # What a request asks of the gateway.

    def pick_service(self, route: route_table.Route) -> str:
        """Picks a service of a route by weight."""
        if len(route.shares) == 1:
            return route.shares[0].service
        weights = [share.weight for share in route.shares]
        if not any(weights):
            return route.shares[0].service
        return self.random.choices(route.shares, weights)[0].service

    def spread(self, bounds_ms: tuple[int, int]) -> int:
        """Returns a time within bounds, so that returners do not meet."""
        return round(self.random.uniform(*bounds_ms))

    def budget(self, service: str) -> shared_budget.SharedBudget:
        """Returns this gateway's part of a service's retry budget."""
        # As many as are known now: a part that was taken while fewer were
        # known would let all of them together send several times too much.
        gateways = max(MIN_GATEWAYS, self.peers.count)
        part = self.own.retry_extra * BUDGET_PART / gateways
        budget = self.budgets.get(service)
        if budget is None:
            budget = shared_budget.SharedBudget(
                self.own.retry_ratio * BUDGET_PART,
                part,
                self.own.retry_window_ms,
            )
            self.budgets[service] = budget
        budget.part = part
        return budget

    def has_other(self, service: str, member: roster_lib.Member) -> bool:
        """Whether another target could take a request of a service."""
        usable = self.roster.usable(service, clock.boot_ms())
        return any(one is not member for one in usable)

    def note_outcome(
        self, member: roster_lib.Member, outcome: Outcome, adapter: str
    ) -> None:
        """Takes evidence on a target from a send that came to nothing."""
        instance = member.listing.instance
        now_ms = clock.boot_ms()
        address = member.listing.address
        if not self.roster.is_current(member):
            # It tells of a start that is over, not of the one that runs.
            return
        if outcome is Outcome.UNSENT:
            self.roster.unreachable(instance, now_ms)
            self.pool.drop(address)
        elif outcome is Outcome.GONE:
            self.roster.ended(instance)
            self.pool.drop(address)
        elif outcome is Outcome.MISMATCH:
            self.placement.disbelieve(member, adapter)
        else:
            self.roster.failed(instance, now_ms)

    def note_broke(
        self, member: roster_lib.Member, fingerprint: str, began_at_ms: int
    ) -> None:
        """Takes that a target broke an answer off."""
        # One that leaves ends by itself and cuts what it still runs: a slow
        # request would be held to end each target of a release.
        if self.roster.is_staying(member, clock.boot_ms()):
            self.crash_watch.broke(member, fingerprint, began_at_ms)

    def note_failure_answer(
        self, member: roster_lib.Member, status: int
    ) -> None:
        """Takes evidence on a target from its own failure."""
        if status >= HTTP_SERVER_ERROR and self.roster.is_current(member):
            self.roster.failed(member.listing.instance, clock.boot_ms())

    def note_silence(self, member: roster_lib.Member) -> None:
        """Takes evidence on a target from a long wait for a first byte."""
        if self.roster.is_current(member):
            self.roster.failed(member.listing.instance, clock.boot_ms())

    def note_success(self, member: roster_lib.Member, took_ms: int) -> None:
        """Takes evidence on a target from a good answer."""
        if self.roster.is_current(member):
            self.roster.answered(member.listing.instance, took_ms)

    def note_news(
        self,
        member: roster_lib.Member,
        news: front.TargetNews,
        attempt_id: str,
    ) -> None:
        """Takes what a target tells of itself in an answer."""
        start = member.listing.start
        if news.leaving:
            self._take_leaving(start, told_by="answer", request=attempt_id)
        if news.rest_ms:
            self.roster.rests(member, news.rest_ms, clock.boot_ms())
            self.log.write(
                "target_rests",
                target=start.name,
                rest_ms=news.rest_ms,
                request=attempt_id,
            )

    def _take_leaving(
        self, start: incarnation.Start, *, told_by: str, request: str = ""
    ) -> None:
        if not self.roster.leaves(start):
            return
        self.log.must(
            "target_said_leaving",
            target=start.name,
            born_ms=start.born_ms,
            told_by=told_by,
            request=request,
        )
        # What waits for a load there is to choose anew.
        self.news.tell_all()

    def keep(self, address: str, connection: http_client.Connection) -> None:
        """Keeps a connection whose answer was read whole."""
        keep_s = connection.announced_keep_s()
        if connection.finish():
            self.pool.give_back(address, connection, keep_s)

    def put_away(self, connection: http_client.Connection) -> None:
        """Closes a connection that was not kept."""
        if connection.is_busy:
            connection.close()

    # The callers' port.

    async def app(
        self, scope: web.Scope, receive: web.Receive, send: web.Send
    ) -> None:
        """The ASGI application of the callers' port."""
        if scope["type"] != "http":
            return
        arrived_at_ms = clock.boot_ms()
        self.in_flight += 1
        try:
            await self._take(scope, receive, send, arrived_at_ms)
        finally:
            self.in_flight -= 1

    async def _take(
        self,
        scope: web.Scope,
        receive: web.Receive,
        send: web.Send,
        arrived_at_ms: int,
    ) -> None:
        request = front.decode(scope)
        if isinstance(request, result.Failure):
            await self._refuse(request, "", send)
            return
        body = await _read_body(receive, self.table.limits.max_body_bytes)
        if body is None:
            return
        if isinstance(body, result.Failure):
            await self._refuse(body, request.attempt_id, send)
            return
        # The route is looked up once the request is whole, so that a change
        # that came while it was read is in force for it.
        route = self._route(request)
        if isinstance(route, result.Failure):
            await self._refuse(route, request.attempt_id, send)
            return
        forward = forward_lib.Forward(
            self, request, route, body, send, arrived_at_ms
        )
        self.budget(forward.service).earn(arrived_at_ms)
        await self._run(forward, receive)

    def _route(
        self, request: front.Request
    ) -> result.Outcome[route_table.Route]:
        if not self.table.version:
            return result.Failure(
                result.NOT_READY,
                "no configuration yet",
                self.spread(forward_lib.NO_TARGET_RETRY_MS),
            )
        route = self.table.find(request.host, request.path)
        if route is None:
            return result.Failure(
                result.ROUTE_UNKNOWN,
                f"no route for {request.host}{request.path}",
            )
        return route

    async def _refuse(
        self, failure: result.Failure, attempt_id: str, send: web.Send
    ) -> None:
        self._count(failure)
        self.log.write(
            "request",
            request=attempt_id,
            code=failure.code.number,
            reason=failure.message,
            config=self.table.version,
        )
        status, headers, body = front.failure(failure, attempt_id)
        if self.draining:
            headers.append((b"connection", b"close"))
        await web.reply(send, status, headers, body)

    async def _run(
        self, forward: forward_lib.Forward, receive: web.Receive
    ) -> None:
        left = done = False

        async def watch() -> None:
            nonlocal left
            while (await receive())["type"] != "http.disconnect":
                pass
            left = not done
            tasks.cancel_scope.cancel()

        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(watch)
                await forward.run()
                done = True
                tasks.cancel_scope.cancel()
        except* forward_lib.CutError:
            # The server closes the connection without ending the answer.
            raise forward_lib.CutError from None
        except* Exception as group:
            await self._broke(forward, group)
        finally:
            if forward.is_trial:
                self.crash_news.end_trial(forward.fingerprint())
            self._log_request(forward, left=left)

    async def _broke(
        self, forward: forward_lib.Forward, group: ExceptionGroup
    ) -> None:
        """Logs what stopped one request; the others go on."""
        code = result.INTERNAL
        for error in group.exceptions:
            if isinstance(error, invariant.InvariantBrokenError):
                code = error.code
        logs.exception("request_broke", request=forward.request.attempt_id)
        self.metrics.broken.inc({"code": str(code.number)})
        forward.failure = result.Failure(code, repr(group.exceptions[0]))
        if forward.began:
            raise forward_lib.CutError
        forward.state.may_have_run = forward.sent
        failure = result.Failure(
            result.INTERNAL, "this gateway broke off the request"
        )
        await forward.reply(failure)

    def _count(self, failure: result.Failure | None) -> None:
        number = failure.code.number if failure is not None else 0
        self.metrics.requests.inc({"code": str(number)})
        if number:
            self.refusals[number] = self.refusals.get(number, 0) + 1

    def _log_request(self, forward: forward_lib.Forward, *, left: bool) -> None:
        failure = forward.failure
        if left and failure is None:
            failure = result.Failure(result.CANCELLED, "the caller left")
        self._count(failure)
        now_ms = clock.boot_ms()
        fields: dict[str, Any] = {}
        if failure is not None:
            fields["reason"] = failure.message
        if forward.needs_adapter:
            fields["adapter"] = forward.request.adapter
        if failure is not None and forward.known_fingerprint:
            fields["fingerprint"] = forward.known_fingerprint
        self.log.write(
            "request",
            request=forward.request.attempt_id,
            route=forward.route.name,
            service=forward.service,
            config=self.table.version,
            status=forward.status,
            code=failure.code.number if failure is not None else 0,
            sends=forward.trail,
            took_ms=now_ms - forward.arrived_at_ms,
            left_ms=forward.deadline_at_ms - now_ms,
            **fields,
        )

    # The processes beside engines.

    def _spec_of(
        self, member: roster_lib.Member
    ) -> route_table.ServiceSpec | None:
        spec = self.table.services.get(member.listing.service)
        if spec is None or not spec.adapter_limit:
            return None
        return spec

    async def _send_demand(self, member: roster_lib.Member) -> None:
        spec = self._spec_of(member)
        if spec is None or self.socket is None or member.gone:
            return
        listing = member.listing
        uses, wants = self.wishes.take(listing.address)
        demand = adapter_keeper.Demand(
            gateway=self.settings.name,
            instance=listing.instance,
            adapter_limit=spec.adapter_limit,
            base_models=spec.base_models,
            uses=uses,
            wants=wants,
            announced=self.placement.outdated(member),
        )
        if uses or wants:
            self.placement.asked(member, clock.boot_ms())
        host, _ = settings_lib.split_address(listing.address)
        datagram = fleet_wire.DemandDatagram(demand, self.own.peers)
        left_out_count = fleet_wire.left_out_count(datagram)
        if left_out_count:
            self.log.write(
                "demand_cut",
                target=listing.instance,
                left_out=left_out_count,
            )
        await self.socket.send((host, self.own.sidecar_port), datagram)

    async def tell_demand(self) -> None:
        """Tells every process beside an engine what is used and wanted."""
        for turn in itertools.count():
            for member in list(self.roster.members.values()):
                if self.wishes.is_due(member, turn):
                    await self._send_demand(member)
            await anyio.sleep(DEMAND_EVERY_MS / MS_PER_S)

    def hear(
        self, datagram: fleet_wire.Datagram, sender: fleet_socket.Address
    ) -> None:
        """Takes a datagram."""
        if isinstance(datagram, fleet_wire.CrashNews):
            # One that has just started is told from now on.
            _, port = settings_lib.split_address(self.own.peers)
            self.peers.heard((f"{sender[0]}:{port}",))
            self.crash_news.hear(datagram, sender)
        elif isinstance(datagram, fleet_wire.State):
            self._hear_state(datagram, sender)

    def _hear_state(
        self, datagram: fleet_wire.State, sender: fleet_socket.Address
    ) -> None:
        self.peers.heard(datagram.peer_addresses)
        self.peers.counted(datagram.gateway_count, clock.boot_ms())
        member = self.roster.members.get(datagram.instance)
        if member is None:
            return
        host, _ = settings_lib.split_address(member.listing.address)
        if host != sender[0]:
            return
        spec = self._spec_of(member)
        if spec is None:
            return
        start = incarnation.Start(datagram.instance, datagram.born_ms)
        renewed = self.roster.restarted(start, datagram.former_born_ms)
        if renewed is not None:
            member = renewed
            self.log.must(
                "target_restarted",
                target=start.name,
                born_ms=start.born_ms,
                former_born_ms=datagram.former_born_ms,
                told_by="sidecar",
            )
            self._start_known(member)
        if start.is_other(member.listing.start):
            # A word on a start that is not known to run: the list will tell.
            return
        if datagram.leaving:
            self._take_leaving(start, told_by="sidecar")
        before = self.placement.views.get(member.listing.address)
        view = placement_lib.View(
            instance=datagram.instance,
            heard_at_ms=clock.boot_ms(),
            running=datagram.running,
            queued=datagram.queued,
            residents=datagram.residents,
            pending=datagram.pending,
            own_in_flight=member.health.in_flight,
            load_wait=datagram.load_wait,
            adapter_limit=spec.adapter_limit,
            born_ms=start.born_ms,
            next_ms=datagram.next_ms,
            recent=datagram.recent,
        )
        self.placement.hear(member.listing.address, view)
        if before is None:
            # The first word of this engine: requests may wait for any.
            self.news.tell_all()
            return
        for adapter, version in view.residents.items():
            if before.residents.get(adapter) != version:
                self.news.tell(adapter)

    # Its own life.

    async def sweep(self) -> None:
        """Drops what is too old, now and then."""
        while True:
            await anyio.sleep(SWEEP_EVERY_MS / MS_PER_S)
            now_ms = clock.boot_ms()
            self.pool.sweep()
            self.peers.forget(now_ms)
            self.log.flush()
            self.crash_news.sweep()
            self.placement.forget(now_ms, FORGET_VIEWS_MS)
            for name in self.roster.drop_lapsed(now_ms):
                self.log.write("target_lapsed", target=name)
            addresses = {
                member.listing.address
                for member in self.roster.members.values()
            }
            self.wishes.forget(addresses)

    def stood_still(self, late_ms: int) -> None:
        """Distrusts what was believed before this process stood still."""
        self.metrics.still.inc({})
        self.log.must("stood_still", late_ms=late_ms)
        self.pool.drop_all()
        self.store.drop_connections()
        self.placement.views.clear()
        self.roster.forget_evidence()
        self.crash_news.ask_soon()
        for follower in self.knowledge.followers.values():
            follower.restart()

    def reload(self, settings: settings_lib.Settings) -> None:
        """Takes settings that were read again; addresses stay as they are."""
        self.settings = settings
        self.own = settings.gateway
        self.peers.heard(settings.seeds)
        self.budgets.clear()
        self.log.must("reload", config=self.table.version)

    def ready(self) -> str:
        """Returns why it is not ready, empty if it is."""
        if self.draining:
            return "draining"
        if not self.table.version:
            return "no configuration"
        if not self.roster.members:
            return "no targets"
        return ""

    def status(self) -> dict[str, Any]:
        """Returns what ``/status`` answers."""
        now_ms = clock.boot_ms()
        quarantined = self.crash_news.evidence.quarantined(now_ms)
        return {
            "name": self.settings.name,
            "role": str(self.settings.role),
            "ready": self.ready() or "yes",
            "config_version": self.table.version,
            "changes": [
                dataclasses.asdict(one) for one in self.knowledge.changes
            ],
            "peers": sorted(self.peers.addresses),
            "in_flight": self.in_flight,
            "draining": self.draining,
            "refusals": self.refusals,
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


async def _read_body(
    receive: web.Receive, max_bytes: int
) -> bytes | result.Failure | None:
    """Reads a body; returns None if the caller left."""
    pieces: list[bytes] = []
    size_bytes = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return None
        piece = message.get("body", b"")
        size_bytes += len(piece)
        if size_bytes > max_bytes:
            return result.Failure(
                result.BODY_TOO_LARGE, f"more than {max_bytes} bytes"
            )
        pieces.append(piece)
        if not message.get("more_body"):
            return b"".join(pieces)


async def run(
    settings: settings_lib.Settings,
    *,
    stop: anyio.Event,
    reloads: signals.Reloads,
    task_status: anyio.abc.TaskStatus[Gateway] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Runs a gateway until it is told to stop, then drains it.

    Args:
        settings: Its settings.
        stop: Set to start the drain.
        reloads: Tells it of settings that were read again.
        task_status: Given the gateway once it listens.
    """
    own = settings.gateway
    metrics = metrics_lib.Metrics(name=settings.name)
    log = decision_log.open_log(vm=settings.name)
    gateway = Gateway(settings, metrics, log, random.Random())
    reloads.on_reload = gateway.reload
    log.must("start", role=str(settings.role), listen=own.listen)
    async with anyio.create_task_group() as tasks:
        gateway.socket = await fleet_socket.open_socket(
            own.control, metrics, gateway.hear
        )
        jobs = {
            "receive": gateway.socket.run,
            "tell_demand": gateway.tell_demand,
            "tell_hurried": gateway.wishes.tell_hurried,
            "sweep": gateway.sweep,
            "crash_watch": gateway.crash_watch.run,
            "tell_crashes": gateway.crash_news.tell_others,
            "keep_crashes": gateway.kept_crashes.run,
            "pass_on_crashes": gateway.crash_news.pass_on,
            "ask_for_crashes": gateway.crash_news.ask_at_start,
            "ask_peers": gateway.knowledge.ask_peers,
            "stillness": functools.partial(
                stillness.watch, gateway.stood_still
            ),
        }
        for kind, follower in gateway.knowledge.followers.items():
            jobs[f"follow_{kind}"] = follower.run
        for name, job in jobs.items():
            tasks.start_soon(supervise.forever, name, job, metrics)
        for app, address in (
            (_admin_app(gateway), own.admin),
            (peers_lib.make_app(gateway.knowledge.tell), own.peers),
            (_readiness_app(gateway), own.readiness),
        ):
            server = web.make_server(app, *settings_lib.split_address(address))
            await tasks.start(functools.partial(web.serve, server))
        gateway.server = web.make_server(
            gateway.app,
            *settings_lib.split_address(own.listen),
            backlog=1_024,
            http=web.ForwardingProtocol,
            timeout_keep_alive=route_table.EMPTY.limits.idle_timeout_ms
            // MS_PER_S,
        )
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


def _readiness_app(gateway: Gateway) -> web.App:
    async def app(
        scope: web.Scope, receive: web.Receive, send: web.Send
    ) -> None:
        del scope, receive
        status = 503 if gateway.ready() else 200
        headers = [(b"content-length", b"0")]
        await web.reply(send, status, headers, b"")

    return app


async def _drain(gateway: Gateway) -> None:
    """Serves until the balancer has noticed, then finishes what is here."""
    began_ms = clock.boot_ms()
    gateway.draining = True
    gateway.waits_end_at_ms = began_ms + round(
        WAITS_PART * gateway.own.shutdown_ms
    )
    gateway.log.must("draining", in_flight=gateway.in_flight)
    await anyio.sleep(UNREADY_MS / MS_PER_S)
    gateway.server.should_exit = True
    left_ms = gateway.own.shutdown_ms - EXIT_MARGIN_MS
    left_ms -= clock.boot_ms() - began_ms
    with anyio.move_on_after(max(0, left_ms) / MS_PER_S):
        while gateway.in_flight or gateway.server.server_state.connections:
            await anyio.sleep(web.START_POLL_S)
