"""Other gateways: their addresses, and queries for what they know."""

from collections.abc import Callable
from collections.abc import Iterable
import json
import random
from typing import Any

import anyio

from radishd.connection import http_client
from radishd.process import clock
from radishd.process import logs
from radishd.process import peer_objects
from radishd.process import untrusted_json
from radishd.process import web

# During a store outage, one peer is queried at this interval.
QUERY_INTERVAL_MS = 700
QUERY_TIMEOUT_MS = 800
CONNECT_TIMEOUT_MS = 300
MAX_PEERS = 1_024
# Maximum size of what a peer knows: thousands of targets and the versions of
# tens of thousands of adapters.
MAX_ANSWER_BYTES = 16 * 1024 * 1024
# Number of recently named gateways from which on seeds are not needed.
MIN_RECENT_PEERS = 3
# A gateway that no message has named for this long counts as replaced. Each
# status update names a few gateways, so naming all of them takes some seconds.
PEER_TTL_MS = 60_000
# How long the largest reported gateway count stays valid. Idle gateways receive
# a status update once a second, and some updates are lost.
COUNT_TTL_MS = 5_000
PATH = "/known"
MS_PER_S = 1_000
HTTP_OK = 200
HTTP_NOT_FOUND = 404


class Peers:
    """Other gateways that this gateway knows."""

    def __init__(
        self,
        *,
        own: str,
        seeds: Iterable[str],
        random_source: random.Random,
    ) -> None:
        """Starts with the seeds of the settings.

        Args:
            own: This gateway's own address, which is no peer.
            seeds: Initial addresses, which may be stale.
            random_source: Chooses the peer to query.
        """
        self._own = own
        self._random = random_source
        self._seeds = {seed for seed in seeds if seed != own}
        self._last_named_at_ms: dict[str, int] = {}
        self._count = 0
        self._count_updated_at_ms = 0

    @property
    def addresses(self) -> set[str]:
        """Addresses at which other gateways can be queried."""
        return self._seeds | self._last_named_at_ms.keys()

    @property
    def recent_addresses(self) -> set[str]:
        """Addresses without seeds that may be stale, if enough are known."""
        named = set(self._last_named_at_ms)
        return named if len(named) >= MIN_RECENT_PEERS else self.addresses

    @property
    def count(self) -> int:
        """Known number of gateways, including this one."""
        return max(len(self.addresses) + 1, self._count)

    def count_at_least(self, min_count: int, now_ms: int) -> int:
        """Returns the number of gateways, assuming a minimum if in doubt.

        Args:
            min_count: Minimum while no sidecar has reported a recent count.
            now_ms: Now.
        """
        if self._count and now_ms - self._count_updated_at_ms <= COUNT_TTL_MS:
            return self.count
        return max(min_count, self.count)

    def record_gateway_count(self, count: int, now_ms: int) -> None:
        """Records from how many gateways a sidecar receives demand.

        The first status update contains the count, but the names take several
        updates. A share of an allowance computed from the names known until
        then would be too large.
        """
        is_old = now_ms - self._count_updated_at_ms > COUNT_TTL_MS
        if count >= self._count or is_old:
            self._count = count
            self._count_updated_at_ms = now_ms

    def record_peers(self, addresses: Iterable[str]) -> None:
        """Records addresses of gateways from messages or reloaded settings."""
        now_ms = clock.boot_ms()
        for address in addresses:
            known = address in self._last_named_at_ms
            if known or len(self._last_named_at_ms) < MAX_PEERS:
                self._last_named_at_ms[address] = now_ms
        self._last_named_at_ms.pop(self._own, None)

    def expire(self, now_ms: int) -> None:
        """Drops gateways that are no longer named.

        VMs are replaced every day, so most addresses would belong to former
        gateways, which answer no query in a store outage. While no address
        is named at all, all are kept.
        """
        newest_ms = max(self._last_named_at_ms.values(), default=0)
        if now_ms - newest_ms > PEER_TTL_MS:
            return
        oldest_ms = now_ms - PEER_TTL_MS
        self._last_named_at_ms = {
            address: at_ms
            for address, at_ms in self._last_named_at_ms.items()
            if at_ms >= oldest_ms
        }

    async def query_peer(self) -> Any:
        """Queries a random peer for the objects that it knows."""
        if not self.addresses:
            return None
        address = self._random.choice(sorted(self.addresses))
        connection = await http_client.open_connection(
            address, CONNECT_TIMEOUT_MS
        )
        if isinstance(connection, http_client.Lost):
            logs.info("peer_unreachable", peer=address)
            return None
        try:
            head = f"GET {PATH} HTTP/1.1\r\nHost: {address}\r\n\r\n"
            connection.send(head.encode())
            with anyio.move_on_after(QUERY_TIMEOUT_MS / MS_PER_S):
                answer = await http_client.read_answer(
                    connection, MAX_ANSWER_BYTES
                )
                if isinstance(answer, http_client.Lost):
                    return None
                if answer.head.status != HTTP_OK:
                    return None
                return untrusted_json.decode(
                    answer.body, isolated_levels=peer_objects.ISOLATED_LEVELS
                )
            return None
        except ValueError:
            logs.warn("peer_answer_invalid", peer=address)
            return None
        finally:
            connection.close()


def make_app(export_objects: Callable[[], dict[str, Any]]) -> web.App:
    """Makes the application that answers queries of peers.

    Args:
        export_objects: Returns the objects known to this gateway.
    """

    async def app(
        scope: web.Scope, receive: web.Receive, send: web.Send
    ) -> None:
        del receive
        if scope["type"] != "http":
            return
        known = scope["path"] == PATH
        status = HTTP_OK if known else HTTP_NOT_FOUND
        body = json.dumps(export_objects()).encode() if known else b""
        headers = [(b"content-length", b"%d" % len(body))]
        await web.reply(send, status, headers, body)

    return app
