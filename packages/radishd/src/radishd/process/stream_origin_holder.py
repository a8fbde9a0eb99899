"""Holds origins of streams for gateways that ask for them.

Gateways and sidecars do. Which of them hold an origin is decided in
``radishstack.process.stream_origins``.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable

import anyio
from radishstack.connection import fleet_wire
from radishstack.process import stream_origins

from radishd.process import clock
from radishd.process import decision_log
from radishd.process import fleet_socket
from radishd.process import metrics as metrics_lib

# Maximum number of queries that wait for an answer; further ones are dropped
# and repeated by their senders.
MAX_PENDING_QUERIES = 256
# Interval at which expired records are dropped.
EXPIRY_INTERVAL_MS = 500

Send = Callable[
    [Iterable[fleet_socket.Address], fleet_wire.StreamMessage], Awaitable[None]
]
View = Callable[[str, int], stream_origins.VersionView]


def _no_view(service: str, lifetime_ms: int) -> stream_origins.VersionView:
    del service, lifetime_ms
    return stream_origins.NO_VIEW


class StreamOriginHolder:
    """Records of origins, and the queries for them."""

    def __init__(
        self,
        send: Send,
        log: decision_log.DecisionLog,
        metrics: metrics_lib.Metrics,
        view: View = _no_view,
    ) -> None:
        """Starts without records.

        Args:
            send: Sends a message to the given addresses.
            log: Where dropped records are logged.
            metrics: Where records are counted.
            view: Returns what this process knows of the software versions of a
                service, within the lifetime of its streams.
        """
        self._send = send
        self._log = log
        self._metrics = metrics
        self._view = view
        self._records = stream_origins.StreamRecords()
        self._queries: list[
            tuple[fleet_socket.Address, fleet_wire.StreamQuery]
        ] = []
        self._wake = anyio.Event()
        self._dropped_count = 0
        self._expired_at_ms = 0

    def record(
        self,
        stream_id: int,
        origin: stream_origins.Origin,
        retention_ms: int,
    ) -> None:
        """Records the origin of a stream.

        Args:
            stream_id: The stream.
            origin: Its origin.
            retention_ms: How long the stream may be resumed.
        """
        now_ms = clock.boot_ms()
        if now_ms - self._expired_at_ms >= EXPIRY_INTERVAL_MS:
            self.expire()
        retained_ms = min(retention_ms, stream_origins.MAX_RETENTION_MS)
        if not self._records.record(stream_id, origin, now_ms + retained_ms):
            self._metrics.stream_records_dropped.inc({})
            self._dropped_count += 1

    def find(self, stream_id: int) -> stream_origins.Origin | None:
        """Returns the origin of a stream, None if it is not recorded here."""
        return self._records.find(stream_id, clock.boot_ms())

    def handle(
        self,
        message: fleet_wire.StreamRecord | fleet_wire.StreamQuery,
        sender: fleet_socket.Address,
    ) -> None:
        """Handles a record or query of a gateway."""
        if isinstance(message, fleet_wire.StreamRecord):
            self.record(message.stream_id, message.origin, message.retention_ms)
        elif len(self._queries) < MAX_PENDING_QUERIES:
            self._queries.append((sender, message))
            self._wake.set()

    async def answer_queries(self) -> None:
        """Answers queries until cancelled."""
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            queries, self._queries = self._queries, []
            for sender, query in queries:
                answer = stream_origins.Answer(
                    query.stream_id,
                    self.find(query.stream_id),
                    self._view(query.service, query.lifetime_ms),
                )
                await self._send((sender,), answer)

    def expire(self) -> None:
        """Drops expired records."""
        self._expired_at_ms = clock.boot_ms()
        self._records.expire(self._expired_at_ms)
        self._metrics.stream_records.set({}, len(self._records))
        if self._dropped_count:
            self._log.write("stream_records_full", dropped=self._dropped_count)
            self._dropped_count = 0
