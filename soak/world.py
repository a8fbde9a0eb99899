"""One run: the programs, the stand-ins around them, and the faults."""

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses
import functools
import pathlib
import random
import signal
import time
from typing import Any

import anyio
from standins import foreign_entries
from standins import platform_engine
from standins import platform_site
from standins import platform_store
from standins import web as standins_web

from soak import accounts as accounts_lib
from soak import callers
from soak import history as history_lib
from soak import hostile_clients
from soak import judge
from soak import poison
from soak import processes
from soak import prompts
from soak import relay
from soak import schedule
from soak import streams

Kind = schedule.Kind

GATEWAY_PORT = 8_140
READY_PORT = 8_141
PEERS_PORT = 8_142
CONTROL_PORT = 8_143
ADMIN_PORT = 8_144
STORE_PORT = 8_145
TARGET_PORT = 8_146
LINK_PORT = 8_147
# Ports of a gateway that speak HTTP.
HTTP_PORTS = (GATEWAY_PORT, READY_PORT, PEERS_PORT, ADMIN_PORT)
CALLER_COUNT = 10
# Versions of the software of targets, and how many targets begin with each.
SOFTWARE_VERSIONS = ("v1", "v2")
TARGETS_PER_VERSION = 2
RETRY_EXTRA = 20
PAGE_SIZE = 3
MS_PER_S = 1_000
# Limit from the start of the programs to the first request, on a slow machine.
START_LIMIT_S = 60.0
POLL_S = 0.05
# How long the store refuses calls before it is restored, and the maximum delay
# before lost objects are written again.
RESTORE_OUTAGE_S = 0.3
MAX_REWRITE_DELAY_S = 2.0
# Interval of events before all gateways are killed.
SLOW_EVENT_MS = 300.0
STORE_DELAY_MS = (50.0, 900.0)
STORE_THROTTLED_FRACTION = 0.6
# Kinds of objects that gateways read, and how many entries one fault writes.
FOREIGN_KINDS = ("servers", "servers", "versions", "config", "crashes")
FOREIGN_ENTRY_COUNT = 8
# Kinds of objects that the operator and targets write.
REWRITTEN_KINDS = frozenset({"servers", "config", "versions"})
# The rate limit that a target advertises, and the minimum time for which it
# does so.
RATE_LIMIT_PER_S = 2.0
MIN_RATE_LIMIT_S = 6.0
# How long a draining target still serves, and how long its address stays unused
# before another target gets it.
DRAIN_S = 4.0
# Time from the entry of a draining target to the end of its listening, interval
# of its events, so that streams outlast that, and limit of the wait for them.
UNDER_ANSWERS_DRAIN_S = 2.1
UNDER_ANSWERS_EVENT_MS = 650.0
UNDER_ANSWERS_LIMIT_S = 4.0
ADDRESS_REUSE_S = 2.2
# A target's entry in the store expires only after some missed renewals.
LISTING_TTL_S = 1.5
HEARTBEAT_MS = 900
# Traffic after the recovery time, in which requests must be served again.
LAST_WINDOW_S = 3.0
SHUTDOWN_S = 10.0
FAULT_FRACTION = 0.3
# Share of responses that are sent once more.
SECOND_RESPONSE_FRACTION = 0.5
SLOW_MS = 150
SWALLOWED_ORDERS = 8
# How long the load balancer still sends connections to a gateway after SIGTERM.
UNREADY_MS = 2_000
ROUTE_SETTLING_MS = 2_500
# Long enough for disconnects and faults to occur while a request runs.
TIMING = platform_engine.Timing(
    load_ms=150.0, reload_ms=25.0, event_ms=25.0, work_ms=15.0
)
# Backoff that a target asks for.
BACKOFF_S = 2.5
# Minimum time over which a request that crashes targets is repeated.
MIN_POISON_S = 12.0
# Minimum time for which one gateway gets all new connections.
MIN_SKEW_S = 8.0
# Time after which a crashed target is restarted.
CRASH_RESTART_S = 0.4
FAULTS_WITHOUT_RUN = frozenset(
    {
        platform_engine.Fault.SHED,
        platform_engine.Fault.ENDLESS_REJECTION,
        platform_engine.Fault.RESET_UNRUN,
        platform_engine.Fault.HANG,
    }
)
# Faults that end or empty a target, which other kinds of the schedule inject.
ENDS = frozenset(
    {
        platform_engine.Fault.CRASH,
        platform_engine.Fault.CRASH_AT_CLOSE,
        platform_engine.Fault.CRASH_LISTENER_LAST,
        platform_engine.Fault.LEAVE_AT_END,
    }
)
FAULTS = tuple(
    fault
    for fault in platform_engine.Fault
    if fault is not platform_engine.Fault.NONE and fault not in ENDS
)
CRASHES_AT_CLOSE = {
    Kind.CRASH_AT_CLOSE: platform_engine.Fault.CRASH_AT_CLOSE,
    Kind.CRASH_LISTENER_LAST: platform_engine.Fault.CRASH_LISTENER_LAST,
}
ENDLESS_FORMS = tuple(platform_engine.ENDLESS_FORMS)


class Target(platform_engine.PlatformEngine):
    """A target that records the requests that reach it."""

    def __init__(
        self,
        instance: str,
        history: history_lib.History,
        *,
        model: str,
        software_version: str,
    ) -> None:
        """Creates a target that does not listen yet."""
        super().__init__(
            instance,
            model=model,
            timing=TIMING,
            software_version=software_version,
        )
        self.marks_events = True
        self._history = history
        self.on_crash: Callable[[], None] = lambda: None

    def _record_arrival(
        self, request: platform_engine.ReceivedRequest, *, ran: bool
    ) -> None:
        self._history.arrivals.append(
            history_lib.Arrival(
                request.attempt_id,
                self.instance,
                history_lib.now_ms(),
                ran,
                request.headers.get("x-tenant", ""),
                "authorization" in request.headers,
            )
        )

    async def _answer(
        self,
        request: platform_engine.ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> None:
        if not request.target.startswith("/-/"):
            expected = request.headers.get("x-target-instance", self.instance)
            if expected != self.instance or not self._holds(request):
                self._record_arrival(request, ran=False)
        await super()._answer(request, writer)

    async def _run(
        self,
        request: platform_engine.ReceivedRequest,
        writer: asyncio.StreamWriter,
        fault: platform_engine.Fault,
    ) -> None:
        if request.body == poison.BODY or prompts.is_poison(request.headers):
            fault = platform_engine.Fault.CRASH
        elif self.backoff_s:
            fault = platform_engine.Fault.SHED
            self._history.rests.append(
                history_lib.BackoffResponse(
                    request.attempt_id,
                    self.instance,
                    history_lib.now_ms(),
                    round(self.backoff_s * MS_PER_S),
                )
            )
        self._record_arrival(request, ran=fault not in FAULTS_WITHOUT_RUN)
        try:
            await super()._run(request, writer, fault)
            if fault is platform_engine.Fault.UNFRAMED:
                self._history.whole_answers.append(
                    history_lib.WholeAnswer(
                        request.attempt_id, self.instance, history_lib.now_ms()
                    )
                )
        finally:
            if self.ended:
                self.on_crash()


class TargetVm:
    """One target VM: its link, its current target and its sidecar.

    Attributes:
        busy: Whether its target is being replaced.
        software_version: Version of the software that its next target runs.
        serving_since_ms: When its target was registered, 0 if it does not
            serve.
    """

    def __init__(self, number: int, host: str, *, engine: bool) -> None:
        """Creates a VM without a target."""
        self.number = number
        self.host = host
        self.engine = engine
        self.starts = 0
        self.target: Target | None = None
        self.link = relay.Relay((host, TARGET_PORT))
        self.sidecar: processes.Program | None = None
        self.busy = False
        pair = number // TARGETS_PER_VERSION
        self.software_version = SOFTWARE_VERSIONS[pair % len(SOFTWARE_VERSIONS)]
        self.serving_since_ms = 0


class SoakRun:
    """The programs, stand-ins and faults of one run."""

    def __init__(
        self,
        seed: int,
        size: schedule.Size,
        folder: pathlib.Path,
        kinds: tuple[Kind, ...] = tuple(Kind),
    ) -> None:
        """Creates everything without starting it."""
        self.kinds = kinds
        self.seed = seed
        self.size = size
        self.folder = folder
        self.random = random.Random(seed)
        self.history = history_lib.History(seed, RETRY_EXTRA)
        self.store = platform_store.PlatformStore()
        # Changes come between the pages of a list.
        self.store.page_size = PAGE_SIZE
        self.subnet = f"127.{60 + seed // 250 % 150}.{seed % 250}"
        self.vms = [
            TargetVm(number, f"{self.subnet}.{30 + number}", engine=engine)
            for number, engine in enumerate(
                [True] * size.engines + [False] * size.plain
            )
        ]
        self.gateways = [self._gateway(n) for n in range(size.gateways)]
        self.stopping_since_ms: dict[int, int] = {}
        # Skews of the load balancer that are in effect.
        self.skew_count = 0
        # Held from a silence until its target has left: a second silence would
        # count as a disturbance while it drains.
        self._silence = asyncio.Lock()
        self.restarts: list[asyncio.Task[None]] = []
        self.routes: list[tuple[str, int]] = []
        self.version = 1
        self.accounts = accounts_lib.Accounts(self.history, random.Random(seed))
        self.config_version = 1

    def _gateway_host(self, number: int) -> str:
        return f"{self.subnet}.{10 + number}"

    def _gateway(self, number: int) -> processes.Program:
        host = self._gateway_host(number)
        settings = {
            "role": "gateway",
            "name": f"gateway-{number}",
            "failure_domain": "site/north",
            "platform": {"url": f"http://{self.subnet}.1:{STORE_PORT}"},
            "seeds": [f"{self._gateway_host(0)}:{PEERS_PORT}"],
            "gateway": {
                "listen": f"{host}:{GATEWAY_PORT}",
                "readiness": f"{host}:{READY_PORT}",
                "peers": f"{host}:{PEERS_PORT}",
                "control": f"{host}:{CONTROL_PORT}",
                "admin": f"{host}:{ADMIN_PORT}",
                "sidecar_port": CONTROL_PORT,
                "retry_extra": RETRY_EXTRA,
                "leaving_ms": judge.DRAINING_SETTLING_MS,
                "heartbeat_ms": HEARTBEAT_MS,
                "usage_window_ms": accounts_lib.RULES.window_ms,
                "usage_overage": accounts_lib.RULES.overage,
                "usage_tolerance": accounts_lib.RULES.tolerance,
            },
        }
        return processes.Program(f"gateway-{number}", settings, self.folder)

    def _sidecar(self, vm: TargetVm) -> processes.Program:
        settings = {
            "role": "sidecar",
            "name": f"side-{vm.number}",
            "failure_domain": "site/north",
            "platform": {"url": f"http://{self.subnet}.1:{STORE_PORT}"},
            "sidecar": {
                "engine": f"{vm.host}:{TARGET_PORT}",
                "control": f"{vm.host}:{CONTROL_PORT}",
                "admin": f"{vm.host}:{ADMIN_PORT}",
            },
        }
        return processes.Program(f"side-{vm.number}", settings, self.folder)

    # Targets.

    async def _start_target(self, vm: TargetVm) -> None:
        """Starts a new target on a VM, and registers it."""
        vm.starts += 1
        name = f"i-{vm.number}-{vm.starts}"
        model = platform_site.MODEL if vm.engine else ""
        vm.target = Target(
            name,
            self.history,
            model=model,
            software_version=vm.software_version,
        )
        await vm.target.start(vm.host, TARGET_PORT)
        vm.target.on_crash = functools.partial(self._handle_crash, vm)
        if not vm.link.is_open:
            await vm.link.start(vm.host, LINK_PORT)
        self._register(vm)
        vm.serving_since_ms = history_lib.now_ms()

    def _end_serving(self, vm: TargetVm) -> None:
        """Records that a target begins to drain, or ends."""
        since_ms, vm.serving_since_ms = vm.serving_since_ms, 0
        if vm.engine and since_ms:
            self.history.engines.append(
                history_lib.EngineSpan(
                    vm.target.instance,
                    vm.target.software_version,
                    since_ms,
                    history_lib.now_ms(),
                )
            )

    def _handle_crash(self, vm: TargetVm) -> None:
        """Schedules the restart of a target that a request crashed."""
        target = vm.target
        self._end_serving(vm)
        target.on_crash = lambda: None
        # Connections are refused until the restart.
        vm.link.stop()
        if not vm.busy:
            vm.busy = True
            self.restarts.append(
                asyncio.create_task(self._restart_after_crash(vm))
            )

    async def _restart_after_crash(self, vm: TargetVm) -> None:
        target = vm.target
        self._record_orders(target)
        await asyncio.sleep(CRASH_RESTART_S)
        await self._start_target(vm)
        vm.busy = False
        await asyncio.sleep(LISTING_TTL_S)
        self.store.delete("servers", target.instance)

    def _register(self, vm: TargetVm, state: str = "ready") -> None:
        service = platform_site.ENGINES if vm.engine else platform_site.PLAIN
        entry = vm.target.listing(service, f"{vm.host}:{LINK_PORT}", "north")
        self.store.put("servers", vm.target.instance, entry | {"state": state})

    def _record_orders(self, target: Target) -> None:
        """Records the orders that a target received."""
        if target.crashed:
            self.history.overfilled.append(target.instance)
        holders = sorted({str(one["holder"]) for one in target.orders})
        self.history.holders[target.instance] = holders

    async def _replace_software(self, vm: TargetVm) -> None:
        """Restarts a target under its name with other software.

        Its entry in the store follows late.
        """
        self._end_serving(vm)
        vm.software_version = self.random.choice(SOFTWARE_VERSIONS)
        vm.target.software_version = vm.software_version
        vm.target.restart(time.time_ns() // history_lib.NS_PER_MS)
        await asyncio.sleep(self.random.uniform(0, LISTING_TTL_S))
        self._register(vm)
        vm.serving_since_ms = history_lib.now_ms()

    async def _restart_target(self, vm: TargetVm) -> None:
        target = vm.target
        self._end_serving(vm)
        await target.stop()
        self._record_orders(target)
        await asyncio.sleep(0.2)
        await self._start_target(vm)
        await asyncio.sleep(LISTING_TTL_S)
        self.store.delete("servers", target.instance)

    async def _drain_by_listing(self, vm: TargetVm) -> None:
        target = vm.target
        self._end_serving(vm)
        self._register(vm, "draining")
        self.history.leaving[target.instance] = history_lib.now_ms()
        await self._finish_draining(vm)

    async def _drain_under_answers(self, vm: TargetVm) -> None:
        """Drains a target that ends its listening before its last answers.

        It finishes them, removes its entry and exits.
        """
        target = vm.target
        target.timing = dataclasses.replace(
            TIMING, event_ms=UNDER_ANSWERS_EVENT_MS
        )
        target.fault = _send_unframed
        await asyncio.sleep(self.random.uniform(0, 1))
        self._end_serving(vm)
        self._register(vm, "draining")
        self.history.leaving[target.instance] = history_lib.now_ms()
        await asyncio.sleep(UNDER_ANSWERS_DRAIN_S)
        vm.link.stop_listening()
        target.stop_listening()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(UNDER_ANSWERS_LIMIT_S):
                while any(target.running.values()):
                    await asyncio.sleep(POLL_S)
        await self._deregister(target)
        await target.stop()
        # A link that dropped delayed bytes and then closed its connections in
        # order would cut answers that the target has sent whole.
        await vm.link.finish()
        vm.link.stop()
        self._record_orders(target)
        await asyncio.sleep(ADDRESS_REUSE_S)
        await self._start_target(vm)

    async def _leave_after_silence(self, vm: TargetVm) -> None:
        """Removes a target's entry while nothing is disturbed any more.

        All open connections to the store fell silent before, and the target
        does not announce that it drains.
        """
        async with self._silence:
            now_ms = history_lib.now_ms()
            self.store.silence_connections()
            self.history.events.append(
                history_lib.Event("connections_silent", "store", now_ms, now_ms)
            )
            await asyncio.sleep(judge.UNDISTURBED_MS / MS_PER_S + POLL_S)
            target = vm.target
            self._end_serving(vm)
            self.store.delete("servers", target.instance)
            self.history.leaving[target.instance] = history_lib.now_ms()
            await self._finish_draining(vm)

    async def _finish_draining(self, vm: TargetVm) -> None:
        """Lets a draining target serve for a while, then replaces it."""
        target = vm.target
        await asyncio.sleep(DRAIN_S)
        await target.stop()
        self._record_orders(target)
        await self._deregister(target)
        await asyncio.sleep(ADDRESS_REUSE_S)
        await self._start_target(vm)

    async def _deregister(self, target: Target) -> None:
        """Removes the entry of a target that exits, or that has crashed."""
        if target.ended:
            await asyncio.sleep(LISTING_TTL_S)
        self.store.delete("servers", target.instance)

    async def _drain_by_header(self, vm: TargetVm) -> None:
        """Drains a target that announces it in its responses only."""
        self._end_serving(vm)
        vm.target.leaving = True
        await self._finish_draining(vm)

    def _draw_target_fault(
        self, request: platform_engine.ReceivedRequest
    ) -> platform_engine.Fault:
        del request
        if self.random.random() > FAULT_FRACTION:
            return platform_engine.Fault.NONE
        return self.random.choice(FAULTS)

    def _draw_second_response(
        self, request: platform_engine.ReceivedRequest, status: int
    ) -> bool:
        del request, status
        return self.random.random() < SECOND_RESPONSE_FRACTION

    # Faults.

    async def inject(self, fault: schedule.Fault) -> None:
        """Injects one fault of the schedule, and waits until it ends."""
        began_ms = history_lib.now_ms()
        for_s = fault.for_ms / MS_PER_S
        if fault.kind in schedule.GATEWAY_KINDS:
            victim = f"gateway-{fault.victim}"
            await self._inject_gateway(fault.kind, fault.victim, for_s)
        elif fault.kind in schedule.SIDECAR_KINDS:
            vm = self.vms[fault.victim]
            victim = f"side-{fault.victim}"
            await self._inject_sidecar(fault.kind, vm, for_s)
        elif fault.kind in schedule.TARGET_KINDS:
            vm = self.vms[fault.victim]
            victim = f"target-{fault.victim}"
            await self._inject_target(fault.kind, vm, for_s)
        else:
            victim = schedule.SITE_VICTIMS.get(fault.kind, "store")
            await self._inject_site(fault.kind, for_s)
        self.history.events.append(
            history_lib.Event(
                str(fault.kind), victim, began_ms, history_lib.now_ms()
            )
        )

    async def _inject_gateway(
        self, kind: Kind, number: int, for_s: float
    ) -> None:
        program = self.gateways[number]
        if kind is Kind.RELOAD:
            program.signal(signal.SIGHUP)
            return
        if kind is Kind.GATEWAY_PAUSE:
            program.signal(signal.SIGSTOP)
            await asyncio.sleep(for_s)
            program.signal(signal.SIGCONT)
            return
        if kind is Kind.GATEWAY_TERM:
            self.stopping_since_ms.setdefault(number, history_lib.now_ms())
            program.signal(signal.SIGTERM)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(program.wait(), SHUTDOWN_S)
        await program.kill()
        await self._start(program)
        self.stopping_since_ms.pop(number, None)

    async def _start(self, program: processes.Program) -> None:
        if not program.is_running:
            await program.start()

    async def _inject_sidecar(
        self, kind: Kind, vm: TargetVm, for_s: float
    ) -> None:
        if kind is Kind.ORDERS_SWALLOWED:
            vm.target.swallow_orders = SWALLOWED_ORDERS
        elif kind is Kind.SIDE_PAUSE:
            vm.sidecar.signal(signal.SIGSTOP)
            await asyncio.sleep(for_s)
            vm.sidecar.signal(signal.SIGCONT)
        else:
            await vm.sidecar.kill()
            await self._start(vm.sidecar)

    async def _inject_target(
        self, kind: Kind, vm: TargetVm, for_s: float
    ) -> None:
        if kind is Kind.LINK_RESET:
            vm.link.reset()
        elif kind is Kind.LINK_SILENT:
            vm.link.link.silent = True
            await asyncio.sleep(for_s)
            vm.link.link.silent = False
        elif kind is Kind.LINK_SLOW:
            vm.link.link.delay_ms = SLOW_MS
            await asyncio.sleep(for_s)
            vm.link.link.delay_ms = 0
        elif kind is Kind.REST:
            target = vm.target
            target.backoff_s = BACKOFF_S
            await asyncio.sleep(for_s)
            target.backoff_s = 0.0
        elif kind in CRASHES_AT_CLOSE:
            crash = CRASHES_AT_CLOSE[kind]
            vm.target.fault = lambda request: crash
        elif kind is Kind.SECOND_RESPONSES:
            target = vm.target
            target.answers_twice = self._draw_second_response
            # Requests are rejected until their adapters are loaded again.
            target.adapters.clear()
            await asyncio.sleep(for_s)
            target.answers_twice = lambda request, status: False
        elif kind is Kind.RATE_LIMIT:
            await self._advertise_rate_limit(vm.target, for_s)
        elif kind is Kind.TARGET_FAULTS:
            target = vm.target
            target.endless_form = self.random.choice(ENDLESS_FORMS)
            target.fault = self._draw_target_fault
            await asyncio.sleep(for_s)
            target.fault = lambda request: platform_engine.Fault.NONE
        elif not vm.busy:
            # Only one replacement of a VM's target at a time.
            vm.busy = True
            if kind is Kind.RELEASE:
                # The next target at this address runs other software.
                vm.software_version = self.random.choice(SOFTWARE_VERSIONS)
            if kind is Kind.SOFTWARE:
                await self._replace_software(vm)
            elif kind is Kind.TARGET_RESTART:
                await self._restart_target(vm)
            elif kind is Kind.LEAVE_BY_WORD:
                await self._drain_by_header(vm)
            elif kind is Kind.LEAVE_AFTER_SILENCE:
                await self._leave_after_silence(vm)
            elif kind is Kind.LEAVE_UNDER_ANSWERS:
                await self._drain_under_answers(vm)
            else:
                await self._drain_by_listing(vm)
            vm.busy = False

    async def _advertise_rate_limit(self, target: Target, for_s: float) -> None:
        """Makes a target advertise a rate limit until gateways have settled."""
        if target.rate_limit is not None:
            return
        from_ms = history_lib.now_ms()
        target.rate_limit = f"{RATE_LIMIT_PER_S:g}"
        await asyncio.sleep(for_s + MIN_RATE_LIMIT_S)
        target.rate_limit = None
        self.history.rate_limits.append(
            history_lib.RateLimit(
                target.instance, RATE_LIMIT_PER_S, from_ms, history_lib.now_ms()
            )
        )

    async def _inject_site(self, kind: Kind, for_s: float) -> None:
        faults = self.store.faults
        match kind:
            case Kind.ALL_KILL:
                sidecars = [one.sidecar for one in self.vms if one.engine]
                programs = [*self.gateways, *sidecars]
                for program in programs:
                    await program.kill()
                for program in programs:
                    await self._start(program)
            case Kind.GATEWAYS_KILL:
                await self._kill_gateways(for_s)
            case Kind.STORE_REFUSES:
                faults.refuses = True
                await asyncio.sleep(for_s)
                faults.refuses = False
            case Kind.STORE_SILENT:
                faults.silent = True
                await asyncio.sleep(for_s)
                faults.silent = False
            case Kind.STORE_HOLDS:
                faults.holds = True
                await asyncio.sleep(for_s)
                self.store.release()
            case Kind.STORE_SLOW:
                faults.delay_ms = self.random.uniform(*STORE_DELAY_MS)
                await asyncio.sleep(for_s)
                faults.delay_ms = 0.0
            case Kind.STORE_THROTTLES:
                faults.throttled_fraction = STORE_THROTTLED_FRACTION
                await asyncio.sleep(for_s)
                faults.throttled_fraction = 0.0
            case Kind.FOREIGN_ENTRIES:
                await self._write_foreign_entries(for_s)
            case Kind.STORE_CUTS:
                self.store.cut_watches()
            case Kind.STORE_FORGETS:
                self.store.compact()
            case Kind.STORE_RESTORED:
                await self._restore_store(for_s)
            case Kind.VERSION:
                self._announce_version()
            case Kind.CONFIGURATION:
                self._add_route()
            case Kind.KEYS:
                self.accounts.rotate()
                self._write_configuration()
            case Kind.RUSH:
                await accounts_lib.send_burst(
                    self.history, self._choose_gateway, for_s
                )
            case Kind.POISON | Kind.POISON_BLOCK:
                source = random.Random(self.random.random())
                await poison.PoisonRequest(
                    self.history,
                    source,
                    self._choose_gateway,
                    by_block=kind is Kind.POISON_BLOCK,
                ).run(for_s + MIN_POISON_S)
            case Kind.HOSTILE_CLIENTS:
                source = random.Random(self.random.random())
                hosts = [
                    self._gateway_host(number)
                    for number in range(self.size.gateways)
                ]
                address = (source.choice(hosts), source.choice(HTTP_PORTS))
                await hostile_clients.run_crowd(address, source, for_s)
            case Kind.CONNECTIONS_SKEWED:
                self.skew_count += 1
                await asyncio.sleep(for_s + MIN_SKEW_S)
                self.skew_count -= 1

    async def _write_foreign_entries(self, for_s: float) -> None:
        """Writes entries as another writer; half of them stay for good."""
        address = f"{self.subnet}.250:{TARGET_PORT}"
        spec = platform_engine.PlatformEngine("i", model="").listing(
            platform_site.PLAIN, address, "north"
        )
        entries = list(foreign_entries.all_entries(spec))
        written = [
            (self.random.choice(FOREIGN_KINDS), *entry)
            for entry in self.random.sample(entries, FOREIGN_ENTRY_COUNT)
        ]
        for kind, name, value in written:
            self.store.put(kind, name, value)
        await asyncio.sleep(for_s)
        for kind, name, _ in written[::2]:
            self.store.delete(kind, name)

    async def _kill_gateways(self, for_s: float) -> None:
        """Kills all gateways at once, with many streams under way."""
        slow = dataclasses.replace(TIMING, event_ms=SLOW_EVENT_MS)
        targets = [one.target for one in self.vms if one.engine]
        for target in targets:
            target.timing = slow
        await asyncio.sleep(SLOW_EVENT_MS * streams.EVENT_COUNT / MS_PER_S)
        for program in self.gateways:
            await program.kill()
        for target in targets:
            target.timing = TIMING
        await asyncio.sleep(for_s)
        for program in self.gateways:
            await self._start(program)

    async def _restore_store(self, for_s: float) -> None:
        """Restores the store from an older copy, then rewrites lost objects."""
        snapshot = self.store.snapshot()
        await asyncio.sleep(for_s)
        self.store.faults.refuses = True
        await asyncio.sleep(RESTORE_OUTAGE_S)
        latest = self.store.snapshot()
        self.store.restore(snapshot)
        self.store.faults.refuses = False
        await asyncio.sleep(self.random.uniform(0, MAX_REWRITE_DELAY_S))
        for kind, objects in latest.objects.items():
            if kind in REWRITTEN_KINDS:
                self._rewrite_objects(kind, objects, snapshot)

    def _rewrite_objects(
        self,
        kind: str,
        latest: dict[str, dict[str, Any]],
        snapshot: platform_store.Snapshot,
    ) -> None:
        """Repeats the writes and deletions that a restore has undone."""
        restored = snapshot.objects.get(kind, {})
        for name in restored.keys() | latest.keys():
            current = self.store.objects.get(kind, {}).get(name)
            if current != restored.get(name):
                # The object has changed since the restore.
                continue
            if name not in latest:
                self.store.delete(kind, name)
            elif latest[name] != restored.get(name):
                self.store.put(kind, name, latest[name]["spec"])

    def _announce_version(self) -> None:
        adapter = f"a{self.random.randrange(callers.ADAPTER_COUNT)}"
        self.version += 1
        for vm in self.vms:
            vm.target.newest[adapter] = self.version
        spec = {
            "model": platform_site.MODEL,
            "adapter": adapter,
            "version": self.version,
        }
        self.store.put("versions", f"{platform_site.MODEL}.{adapter}", spec)

    def _add_route(self) -> None:
        name = f"added{len(self.routes)}"
        self.routes.append((name, history_lib.now_ms()))
        self._write_configuration()

    def _write_configuration(self) -> None:
        self.config_version += 2
        body = platform_site.configuration(
            self.config_version, tenants=self.accounts.to_configuration()
        )
        for route in body["routes"]:
            # With one allowed attempt a request would never be resent to
            # another target, and a gateway that wrongly assumes that the first
            # attempt did not run would go undetected. In half of the runs,
            # streams are resent to the same target only.
            one_target = route["name"] == "chat" and self.seed % 2 == 0
            route["maxAttempts"] = 1 if one_target else 2
        body["routes"] += [
            platform_site.route(
                one, "non_idempotent", service=platform_site.PLAIN
            )
            for one, _ in self.routes
        ]
        self.store.put("config", "main", body)

    # Callers.

    def _choose_gateway(self) -> tuple[int, str] | None:
        now_ms = history_lib.now_ms()
        accepting = [
            number
            for number, program in enumerate(self.gateways)
            if program.is_running
            and now_ms - self.stopping_since_ms.get(number, now_ms)
            <= UNREADY_MS
        ]
        if not accepting:
            return None
        # While connections are skewed, the next gateway gets them once the
        # first one is out.
        number = self.random.choice(accepting)
        if self.skew_count:
            number = accepting[0]
        return number, f"{self._gateway_host(number)}:{GATEWAY_PORT}"

    def _added_routes(self) -> list[str]:
        until_ms = history_lib.now_ms() - ROUTE_SETTLING_MS
        return [name for name, at_ms in self.routes if at_ms < until_ms]

    # The run.

    async def run(self, length_ms: int) -> history_lib.History:
        """Runs a schedule, and returns the history."""
        async with anyio.create_task_group() as tasks:
            app = standins_web.make_app(self.store.handle)
            await tasks.start(
                functools.partial(
                    standins_web.serve, app, f"{self.subnet}.1", STORE_PORT
                )
            )
            try:
                await self._run_programs(length_ms)
            finally:
                with anyio.CancelScope(shield=True):
                    await self._stop_all()
                tasks.cancel_scope.cancel()
        return self.history

    async def _run_programs(self, length_ms: int) -> None:
        self._write_configuration()
        for vm in self.vms:
            await self._start_target(vm)
            if vm.engine:
                vm.sidecar = self._sidecar(vm)
                await vm.sidecar.start()
        for program in self.gateways:
            await program.start()
        await self._wait_accepting()
        calling = [
            asyncio.create_task(
                callers.Caller(
                    self.history,
                    random.Random(self.random.random()),
                    self._choose_gateway,
                    self._added_routes,
                    self.accounts.draw,
                    lambda: bool(self.skew_count),
                ).run()
            )
            for _ in range(CALLER_COUNT)
        ]
        calling.append(asyncio.create_task(self._measure()))
        try:
            await self._run_schedule(length_ms)
            self.history.quiet_from_ms = history_lib.now_ms()
            await asyncio.sleep(judge.RECOVERY_MS / MS_PER_S + LAST_WINDOW_S)
            await self._stop_gracefully()
        finally:
            for task in calling:
                task.cancel()
            await asyncio.gather(*calling, return_exceptions=True)

    async def _wait_accepting(self) -> None:
        async with asyncio.timeout(START_LIMIT_S):
            for number in range(self.size.gateways):
                address = (self._gateway_host(number), GATEWAY_PORT)
                while True:
                    try:
                        _, writer = await asyncio.open_connection(*address)
                    except OSError:
                        await asyncio.sleep(POLL_S)
                        continue
                    writer.close()
                    break

    async def _run_schedule(self, length_ms: int) -> None:
        began_ms = history_lib.now_ms()
        injections = []
        faults = schedule.draw(self.seed, length_ms, self.size, self.kinds)
        for fault in faults:
            wait_ms = began_ms + fault.at_ms - history_lib.now_ms()
            await asyncio.sleep(max(0, wait_ms) / MS_PER_S)
            injections.append(asyncio.create_task(self.inject(fault)))
        await asyncio.gather(*injections)
        while self.restarts:
            await self.restarts.pop()
        self.store.faults = platform_store.Faults()
        for program in self.gateways:
            await self._start(program)

    async def _stop_gracefully(self) -> None:
        for number, program in enumerate(self.gateways):
            now_ms = history_lib.now_ms()
            self.stopping_since_ms[number] = now_ms
            self.history.events.append(
                history_lib.Event(
                    "final_stop", f"gateway-{number}", now_ms, now_ms
                )
            )
            program.signal(signal.SIGTERM)
        for program in self.gateways:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(program.wait(), SHUTDOWN_S)

    def _programs(self) -> list[processes.Program]:
        sidecars = [one.sidecar for one in self.vms if one.sidecar]
        return [*self.gateways, *sidecars]

    async def _measure(self) -> None:
        """Measures the programs until cancelled."""
        while True:
            for program in self._programs():
                program.measure()
                self.history.memory_mib[program.name] = program.memory_mib
            await asyncio.sleep(POLL_S)

    async def _stop_all(self) -> None:
        for program in self._programs():
            await program.kill()
        for vm in self.vms:
            vm.link.stop()
            if vm.target is not None:
                self._end_serving(vm)
                await vm.target.stop()
                self._record_orders(vm.target)


def _send_unframed(
    request: platform_engine.ReceivedRequest,
) -> platform_engine.Fault:
    """Sends an answer without a length."""
    del request
    return platform_engine.Fault.UNFRAMED


async def run(
    seed: int,
    length_ms: int,
    size: schedule.Size,
    folder: pathlib.Path,
    kinds: tuple[Kind, ...] = tuple(Kind),
) -> history_lib.History:
    """Runs one seed; settings and logs are written to a folder."""
    return await SoakRun(seed, size, folder, kinds).run(length_ms)


def outcome_counts(history: history_lib.History) -> dict[str, Any]:
    """Returns the counts of outcomes for the table of a soak."""
    good = sum(one.status == judge.SUCCESS for one in history.attempts)
    left = sum(one.left for one in history.attempts)
    return {
        "asked": len(history.attempts),
        "served": good,
        "left": left,
        "events": len(history.events),
    }
