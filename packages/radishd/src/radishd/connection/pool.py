"""Pool of idle connections to targets.

A reused connection saves a handshake. If the peer is about to close it, the
request fails, and a request that must not run twice cannot be retried.
"""

from collections.abc import Set
import dataclasses

from radishd.connection import http_client
from radishd.process import clock
from radishd.process import response_bounds

# Connections idle for longer are not reused, unless the peer announced a
# keep-alive timeout. Only a fraction of that timeout is used, because the
# peer's idle timer started earlier than ours.
DEFAULT_IDLE_MS = 2_000
KEEP_ALIVE_FRACTION = 0.5
MAX_IDLE_MS = 10_000
# Requests that must not run twice use only connections used this recently.
MAX_FRESH_IDLE_MS = 1_500
MAX_IDLE_PER_ADDRESS = 32
MS_PER_S = 1_000


@dataclasses.dataclass(slots=True)
class _IdleConnection:
    connection: http_client.Connection
    idle_since_ms: int
    expires_at_ms: int


class Pool:
    """Idle connections by address."""

    def __init__(self, connect_timeout_ms: int) -> None:
        """Starts empty.

        Args:
            connect_timeout_ms: Connect timeout of new connections.
        """
        self._idle: dict[str, list[_IdleConnection]] = {}
        self._connect_timeout_ms = connect_timeout_ms

    async def acquire(
        self,
        address: str,
        *,
        fresh: bool,
        excluded: Set[int] = frozenset(),
    ) -> http_client.Connection | http_client.Lost:
        """Returns a pooled connection, or opens one.

        Args:
            address: Address to connect to.
            fresh: Whether to reuse only a recently used connection, for a
                request that must not run twice.
            excluded: Numbers of connections not to reuse.

        Returns:
            The connection, or why none could be opened.
        """
        connection = self._take_idle(address, excluded, fresh=fresh)
        if connection is not None:
            return connection
        return await self.open(address)

    async def open(
        self, address: str
    ) -> http_client.Connection | http_client.Lost:
        """Opens a connection; returns it, or why it could not be opened."""
        return await http_client.open_connection(
            address, self._connect_timeout_ms
        )

    def _take_idle(
        self, address: str, excluded: Set[int], *, fresh: bool
    ) -> http_client.Connection | None:
        """Takes the usable connection that was used last, closes stale ones."""
        now_ms = clock.boot_ms()
        idle = self._idle.get(address, [])
        for one in reversed(idle.copy()):
            if one.connection.number in excluded:
                continue
            idle.remove(one)
            usable_until_ms = one.expires_at_ms
            if fresh:
                fresh_until_ms = one.idle_since_ms + MAX_FRESH_IDLE_MS
                usable_until_ms = min(usable_until_ms, fresh_until_ms)
            if one.connection.is_open and now_ms < usable_until_ms:
                return one.connection
            one.connection.close()
        return None

    def release(
        self,
        address: str,
        connection: http_client.Connection,
        keep_alive_s: int,
    ) -> None:
        """Returns a connection to the pool after a complete response.

        Args:
            address: Address that the connection is open to.
            connection: The connection, already finished.
            keep_alive_s: Keep-alive timeout that the peer announced, 0 if none.
        """
        idle = self._idle.setdefault(address, [])
        if len(idle) >= MAX_IDLE_PER_ADDRESS:
            connection.close()
            return
        now_ms = clock.boot_ms()
        idle_ms = DEFAULT_IDLE_MS
        if keep_alive_s:
            idle_ms = min(
                int(keep_alive_s * MS_PER_S * KEEP_ALIVE_FRACTION), MAX_IDLE_MS
            )
        idle.append(_IdleConnection(connection, now_ms, now_ms + idle_ms))

    async def exchange(
        self,
        address: str,
        connection: http_client.Connection,
        data: bytes,
        max_bytes: int = response_bounds.MAX_WHOLE_BYTES,
    ) -> http_client.Answer | http_client.Lost:
        """Sends a request and reads the complete response.

        Args:
            address: The address that the connection is open to.
            connection: The connection. It is returned to the pool if it can be
                reused and closed otherwise.
            data: The encoded request.
            max_bytes: Maximum size of the response.
        """
        try:
            connection.send(data)
            answer = await http_client.read_answer(connection, max_bytes)
        except BaseException:
            connection.close()
            raise
        if isinstance(answer, http_client.Lost):
            connection.close()
        elif connection.finish():
            keep_alive_s = http_client.keep_alive_s(answer.head)
            self.release(address, connection, keep_alive_s)
        return answer

    def drop(self, address: str) -> None:
        """Closes all idle connections to an address."""
        for one in self._idle.pop(address, []):
            one.connection.close()

    def drop_older(self, address: str, connection_number: int) -> None:
        """Closes idle connections opened before another one.

        Args:
            address: Address that they are open to.
            connection_number: Number of the other connection.
        """
        for one in self._idle.get(address, []).copy():
            if one.connection.number < connection_number:
                self._idle[address].remove(one)
                one.connection.close()

    def drop_all(self) -> None:
        """Closes all idle connections, as after a process pause."""
        for address in list(self._idle):
            self.drop(address)

    def sweep(self) -> None:
        """Closes connections that expired or that the peer closed."""
        now_ms = clock.boot_ms()
        for address, idle in list(self._idle.items()):
            stale = [
                one
                for one in idle
                if now_ms >= one.expires_at_ms or not one.connection.is_open
            ]
            for one in stale:
                idle.remove(one)
                one.connection.close()
            if not idle:
                del self._idle[address]
