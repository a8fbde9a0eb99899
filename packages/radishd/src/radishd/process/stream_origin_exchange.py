"""Exchange of the origins of streams with other gateways and with sidecars.

Which of them hold a record, and at which software version a stream continues,
is decided in ``radishstack.process.stream_origins``.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence

import anyio
from radishstack import result
from radishstack.connection import fleet_wire
from radishstack.process import roster as roster_lib
from radishstack.process import stream_origins

from radishd.process import clock
from radishd.process import decision_log
from radishd.process import fleet_socket
from radishd.process import metrics as metrics_lib
from radishd.process import sidecar_ring
from radishd.process import stream_origin_holder

MS_PER_S = 1_000
# Queries are repeated once, since datagrams can be lost. An answer takes one
# round trip between regions at most.
QUERY_TIMEOUT_MS = 100
QUERY_ATTEMPTS = 2
STORE_TIMEOUT_MS = 200

ReadChangedTargets = Callable[[], Awaitable[list[roster_lib.Listing] | None]]


class StreamOriginExchange:
    """Origins of streams, as one gateway knows them.

    Attributes:
        history: Software versions that this gateway has observed.
    """

    def __init__(
        self,
        others: Callable[[], list[fleet_socket.Address]],
        sidecars: sidecar_ring.SidecarRing,
        send: stream_origin_holder.Send,
        read_changed_targets: ReadChangedTargets,
        log: decision_log.DecisionLog,
        metrics: metrics_lib.Metrics,
    ) -> None:
        """Starts without records.

        Args:
            others: Returns the datagram addresses of the other gateways.
            sidecars: The sidecars of each service.
            send: Sends a message to the given addresses.
            read_changed_targets: Reads the listings that changed since the last
                read of the list from the store; returns None if it cannot.
            log: Where lookups are logged.
            metrics: Where lookups and records are counted.
        """
        self._others = others
        self._sidecars = sidecars
        self._send = send
        self._read_changed_targets = read_changed_targets
        self._log = log
        self._metrics = metrics
        self._holder = stream_origin_holder.StreamOriginHolder(
            send, log, metrics, self._view
        )
        self.history = stream_origins.VersionHistory()
        self._lookups: dict[int, list[_PendingLookup]] = {}
        self._confirm_lock = anyio.Lock()
        self._confirmed_at_ms = 0

    async def report(
        self,
        attempt_id: str,
        origin: stream_origins.Origin,
        retention_ms: int,
    ) -> None:
        """Records the origin of a stream here and at its holders.

        Args:
            attempt_id: The attempt that begins the stream.
            origin: Its origin.
            retention_ms: How long the stream may be resumed.
        """
        stream_id = stream_origins.stream_id_of(attempt_id)
        self._holder.record(stream_id, origin, retention_ms)
        record = fleet_wire.StreamRecord(stream_id, origin, retention_ms)
        ring = self._sidecars.ring(origin.service)
        await self._send(
            [
                *self._select(stream_origins.holders, stream_id),
                *self._sidecars.addresses(
                    stream_origins.sidecar_holders(stream_id, ring)
                ),
            ],
            record,
        )

    def _view(
        self, service: str, lifetime_ms: int
    ) -> stream_origins.VersionView:
        return self.history.view(service, lifetime_ms, clock.boot_ms())

    def _select(
        self,
        select: Callable[[int, Iterable[str]], list[str]],
        stream_id: int,
    ) -> list[fleet_socket.Address]:
        by_host = {address[0]: address for address in self._others()}
        return [by_host[host] for host in select(stream_id, by_host)]

    async def find(
        self,
        attempt_id: str,
        services: Sequence[str],
        retention_ms: int,
        *,
        request: str,
    ) -> result.Outcome[stream_origins.Origin]:
        """Finds the software that began a stream.

        Args:
            attempt_id: The attempt that began the stream, empty if not stated.
            services: The services that can have begun it.
            retention_ms: How long the stream may be resumed from now on.
            request: The attempt that resumes it, for the log.

        Returns:
            The origin, or why it is unknown.
        """
        began_ms = clock.boot_ms()
        stream_id = stream_origins.stream_id_of(attempt_id)
        lookup = stream_origins.Lookup(())
        source = "own"
        origin = None
        if attempt_id:
            origin = self._holder.find(stream_id)
        if origin is None:
            sidecars = self._select_sidecars(stream_id, services)
            lookup = await self._query(stream_id, services, sidecars)
            origin, source = lookup.found(), "gateway"
            if origin is not None:
                if lookup.found_at() in {host for host, _ in sidecars}:
                    source = "sidecar"
                self._holder.record(stream_id, origin, retention_ms)
        if origin is None:
            origin = await self._assume_origin(lookup, services)
            source = "unknown" if origin is None else "sole_version"
        self._metrics.stream_lookups.inc({"source": source})
        self._log.write(
            "stream_origin",
            request=request,
            resumes=attempt_id,
            service=origin.service if origin else "",
            software_version=origin.software_version if origin else "",
            source=source,
            answered=len(lookup.answers),
            unanswered=len(lookup.unanswered),
            took_ms=clock.boot_ms() - began_ms,
        )
        if origin is not None:
            return origin
        return result.Failure(
            result.STREAM_ORIGIN_UNKNOWN,
            "the software version that began the stream is unknown; it can be "
            "requested anew from its beginning",
        )

    async def _assume_origin(
        self, lookup: stream_origins.Lookup, services: Sequence[str]
    ) -> stream_origins.Origin | None:
        """Returns the origin if the only service has had only one version."""
        if len(services) != 1:
            return None
        (service,) = services

        def sole_version() -> str:
            lifetime_ms = stream_origins.MAX_RETENTION_MS
            own_view = self._view(service, lifetime_ms)
            return lookup.sole_version(own_view, lifetime_ms)

        if not sole_version():
            return None
        if not await self._confirm_versions(clock.boot_ms()):
            return None
        software_version = sole_version()
        if not software_version:
            return None
        return stream_origins.Origin(service, software_version)

    async def _confirm_versions(self, since_ms: int) -> bool:
        """Reads from the store which software versions are listed.

        Lookups at the same time share one call, which is billed.

        Args:
            since_ms: How recent the read must be.

        Returns:
            Whether the store answered.
        """
        async with self._confirm_lock:
            if self._confirmed_at_ms >= since_ms:
                return True
            now_ms = clock.boot_ms()
            listings = None
            with anyio.move_on_after(STORE_TIMEOUT_MS / MS_PER_S):
                listings = await self._read_changed_targets()
            if listings is None:
                return False
            self.history.observe(listings, clock.boot_ms(), is_current=True)
            self._confirmed_at_ms = now_ms
            return True

    def _select_sidecars(
        self, stream_id: int, services: Sequence[str]
    ) -> list[fleet_socket.Address]:
        return [
            address
            for service in services
            for address in self._sidecars.addresses(
                stream_origins.sidecar_candidates(
                    stream_id, self._sidecars.ring(service)
                )
            )
        ]

    async def _query(
        self,
        stream_id: int,
        services: Sequence[str],
        sidecars: list[fleet_socket.Address],
    ) -> stream_origins.Lookup:
        addresses = self._select(stream_origins.candidates, stream_id)
        addresses += sidecars
        lookup = stream_origins.Lookup(host for host, _ in addresses)
        pending = _PendingLookup(lookup)
        self._lookups.setdefault(stream_id, []).append(pending)
        query = fleet_wire.StreamQuery(
            stream_id,
            services[0] if len(services) == 1 else "",
            stream_origins.MAX_RETENTION_MS,
        )
        try:
            for _ in range(QUERY_ATTEMPTS):
                if lookup.is_complete:
                    break
                waiting_for = [
                    address
                    for address in addresses
                    if address[0] in lookup.unanswered
                ]
                await self._send(waiting_for, query)
                with anyio.move_on_after(QUERY_TIMEOUT_MS / MS_PER_S):
                    await pending.completed.wait()
        finally:
            self._lookups[stream_id].remove(pending)
            if not self._lookups[stream_id]:
                del self._lookups[stream_id]
        return lookup

    def handle(
        self, message: fleet_wire.StreamMessage, sender: fleet_socket.Address
    ) -> None:
        """Handles a message of another gateway."""
        match message:
            case fleet_wire.StreamRecord() | fleet_wire.StreamQuery():
                self._holder.handle(message, sender)
            case stream_origins.Answer():
                for pending in self._lookups.get(message.stream_id, ()):
                    pending.record(sender[0], message)

    async def answer_queries(self) -> None:
        """Answers the queries of other gateways until cancelled."""
        await self._holder.answer_queries()

    def observe(
        self, listings: Iterable[roster_lib.Listing], *, is_current: bool
    ) -> None:
        """Records the listed software versions, and expires old state."""
        now_ms = clock.boot_ms()
        self.history.observe(listings, now_ms, is_current=is_current)
        self.history.expire(now_ms)
        self._holder.expire()

    def on_process_pause(self) -> None:
        """Handles a pause, in which versions may have come and gone."""
        self.history.restart()


class _PendingLookup:
    """A lookup that a request waits for."""

    def __init__(self, lookup: stream_origins.Lookup) -> None:
        self._lookup = lookup
        self.completed = anyio.Event()

    def record(self, gateway: str, answer: stream_origins.Answer) -> None:
        self._lookup.record(gateway, answer)
        if self._lookup.is_complete:
            self.completed.set()
