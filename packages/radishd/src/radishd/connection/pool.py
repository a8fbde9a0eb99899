"""Kept connections to targets, and which of them may be trusted.

A kept connection saves a handshake; one that the peer is about to close costs
a request, which for a request that must not run twice is lost for good.
"""

import dataclasses

from radishd.connection import http_client
from radishd.process import clock

# Idle time after which a connection is not trusted, where the peer said
# nothing of its own; and the part of what it said that is used, since its
# clock started earlier than ours.
DEFAULT_IDLE_MS = 2_000
KEEP_ALIVE_FRACTION = 0.5
MAX_IDLE_MS = 10_000
# Requests that must not run twice take only connections used this recently.
MAX_FRESH_IDLE_MS = 1_500
MAX_IDLE_PER_ADDRESS = 32
MS_PER_S = 1_000


@dataclasses.dataclass(slots=True)
class _IdleConnection:
    connection: http_client.Connection
    idle_since_ms: int
    expires_at_ms: int


class Pool:
    """Kept connections by address."""

    def __init__(self, connect_timeout_ms: int) -> None:
        """Starts empty.

        Args:
            connect_timeout_ms: How long a new connection may take.
        """
        self._kept: dict[str, list[_IdleConnection]] = {}
        self._connect_timeout_ms = connect_timeout_ms

    async def acquire(
        self, address: str, *, fresh: bool
    ) -> http_client.Connection | http_client.Lost:
        """Returns a pooled connection, or opens one.

        Args:
            address: Where to.
            fresh: Whether the request may not be sent again.

        Returns:
            The connection, or why there is none.
        """
        now_ms = clock.boot_ms()
        kept = self._kept.get(address, [])
        while kept:
            one = kept.pop()
            usable_until_ms = one.expires_at_ms
            if fresh:
                fresh_until_ms = one.idle_since_ms + MAX_FRESH_IDLE_MS
                usable_until_ms = min(usable_until_ms, fresh_until_ms)
            if one.connection.is_open and now_ms < usable_until_ms:
                return one.connection
            one.connection.close()
        return await http_client.open_connection(
            address, self._connect_timeout_ms
        )

    def release(
        self,
        address: str,
        connection: http_client.Connection,
        keep_alive_s: int,
    ) -> None:
        """Returns a connection to the pool after a whole response.

        Args:
            address: Where it leads.
            connection: The connection, already finished.
            keep_alive_s: Idle seconds that the peer announced, 0 if it did not.
        """
        kept = self._kept.setdefault(address, [])
        if len(kept) >= MAX_IDLE_PER_ADDRESS:
            connection.close()
            return
        now_ms = clock.boot_ms()
        idle_ms = DEFAULT_IDLE_MS
        if keep_alive_s:
            idle_ms = min(
                int(keep_alive_s * MS_PER_S * KEEP_ALIVE_FRACTION), MAX_IDLE_MS
            )
        kept.append(_IdleConnection(connection, now_ms, now_ms + idle_ms))

    async def exchange(
        self, address: str, connection: http_client.Connection, data: bytes
    ) -> http_client.Answer | http_client.Lost:
        """Sends a request and reads the complete response.

        Args:
            address: The address that the connection is open to.
            connection: The connection. It is returned to the pool if it can be
                reused and closed otherwise.
            data: The encoded request.
        """
        try:
            connection.send(data)
            answer = await http_client.read_answer(connection)
        except BaseException:
            connection.close()
            raise
        if isinstance(answer, http_client.Lost):
            connection.close()
        elif connection.finish():
            keep_alive_s = http_client.keep_alive_s(answer.head)
            self.release(address, connection, keep_alive_s)
        return answer

    def has_open(self, address: str) -> bool:
        """Whether a kept connection to an address has not been ended."""
        return any(
            one.connection.is_open for one in self._kept.get(address, ())
        )

    def drop(self, address: str) -> None:
        """Closes what is kept for an address."""
        for one in self._kept.pop(address, []):
            one.connection.close()

    def drop_all(self) -> None:
        """Closes all that is kept, as after this process stood still."""
        for address in list(self._kept):
            self.drop(address)

    def sweep(self) -> None:
        """Closes what has been idle too long."""
        now_ms = clock.boot_ms()
        for address, kept in list(self._kept.items()):
            stale = [
                one
                for one in kept
                if now_ms >= one.expires_at_ms or not one.connection.is_open
            ]
            for one in stale:
                kept.remove(one)
                one.connection.close()
            if not kept:
                del self._kept[address]
