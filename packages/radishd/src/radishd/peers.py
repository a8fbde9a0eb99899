"""Other gateways: who they are, and what one takes over from another."""

from collections.abc import Callable
from collections.abc import Iterable
import json
import random
from typing import Any

import anyio

from radishd.connection import http_client
from radishd.process import clock
from radishd.process import logs
from radishd.process import web

# While the store does not answer, one peer is asked this often.
QUERY_INTERVAL_MS = 700
QUERY_TIMEOUT_MS = 800
CONNECT_TIMEOUT_MS = 300
MAX_PEERS = 1_024
# A gateway that no word has named for so long is taken for replaced. Words
# name a few gateways each, all of them within some seconds.
PEER_TTL_MS = 60_000
# How long the largest count of gateways that a word told is believed: idle
# gateways are told once a second, and some words are lost.
COUNT_TTL_MS = 5_000
PATH = "/known"
MS_PER_S = 1_000
HTTP_OK = 200
HTTP_NOT_FOUND = 404


class Peers:
    """The other gateways that are known here."""

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
            seeds: Addresses to begin with; they may be stale.
            random_source: Chooses whom to ask.
        """
        self._own = own
        self._random = random_source
        self._seeds = {seed for seed in seeds if seed != own}
        self._last_named_at_ms: dict[str, int] = {}
        self._count = 0
        self._count_updated_at_ms = 0

    @property
    def addresses(self) -> set[str]:
        """Where the other gateways are asked."""
        return self._seeds | self._last_named_at_ms.keys()

    @property
    def count(self) -> int:
        """How many gateways there are, as far as is known, this one too."""
        return max(len(self.addresses) + 1, self._count)

    def count_at_least(self, min_count: int, now_ms: int) -> int:
        """Returns how many gateways there are, or a floor while few told.

        Args:
            min_count: What is assumed while no sidecar has told their number.
            now_ms: Now.
        """
        if self._count and now_ms - self._count_updated_at_ms <= COUNT_TTL_MS:
            return self.count
        return max(min_count, self.count)

    def record_gateway_count(self, count: int, now_ms: int) -> None:
        """Records how many gateways a sidecar receives demands from.

        The count is known with the first words, names only some words later;
        a part of a shared allowance that is taken meanwhile is too large.
        """
        is_old = now_ms - self._count_updated_at_ms > COUNT_TTL_MS
        if count >= self._count or is_old:
            self._count = count
            self._count_updated_at_ms = now_ms

    def record_peers(self, addresses: Iterable[str]) -> None:
        """Learns of gateways that a process beside an engine hears."""
        now_ms = clock.boot_ms()
        for address in addresses:
            known = address in self._last_named_at_ms
            if known or len(self._last_named_at_ms) < MAX_PEERS:
                self._last_named_at_ms[address] = now_ms
        self._last_named_at_ms.pop(self._own, None)

    def expire(self, now_ms: int) -> None:
        """Drops gateways that are named no more.

        With VMs replaced every day most names would be of former ones; asked
        in an outage they do not answer. While no word comes, all are kept.
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

    async def query_peer(self) -> dict[str, Any] | None:
        """Asks one peer what it knows."""
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
                answer = await http_client.read_answer(connection)
                if isinstance(answer, http_client.Lost):
                    return None
                if answer.head.status != HTTP_OK:
                    return None
                known: dict[str, Any] = json.loads(answer.body)
                return known
            return None
        finally:
            connection.close()


def make_app(export_objects: Callable[[], dict[str, Any]]) -> web.App:
    """Makes the application that peers ask.

    Args:
        export_objects: Returns what is known here.
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
