"""Callers that reuse a connection for as long as it stays open."""

import asyncio
from collections.abc import Callable
import random
import secrets

from radishd.connection import http_client
from standins import platform_site

from soak import accounts
from soak import history as history_lib
from soak import prompts
from soak import streams

REQUEST_TIMEOUT_MS = 3_000
# How long a caller waits for the end of an answer beyond its deadline.
ANSWER_GRACE_MS = 1_000
CONNECT_TIMEOUT_MS = 1_000
CALL_INTERVAL_S = (0.02, 0.12)
# Share of requests whose caller disconnects early, and after how long.
DISCONNECT_FRACTION = 0.05
DISCONNECT_AFTER_S = (0.005, 0.4)
# Share of requests to routes that were added during the run.
ADDED_ROUTE_FRACTION = 0.15
ADAPTER_COUNT = 10
# Maximum number of times that a caller resumes a stream.
MAX_RESUMES = 4
REJECTED = 503
REJECTED_RETRY_S = 1.0
# Share of resumable streams whose caller loses its connection.
RECONNECT_FRACTION = 0.25
# How long, and how often, a caller with a stream tries to connect again.
RECONNECT_LIMIT_MS = 5_000
RECONNECT_INTERVAL_S = 0.1
MS_PER_S = 1_000
ROUTES = ("chat", "long", "book", "look")
ENGINE_ROUTES = frozenset({"chat", "long"})


class Caller:
    """One caller, with one connection at a time."""

    def __init__(
        self,
        history: history_lib.History,
        source: random.Random,
        choose: Callable[[], tuple[int, str] | None],
        added_routes: Callable[[], list[str]],
        draw_credential: Callable[[], accounts.Credential],
        reconnects: Callable[[], bool] = lambda: False,
    ) -> None:
        """Creates a caller.

        Args:
            history: History to record attempts in.
            source: Random source.
            choose: Chooses a gateway; returns its number and address, or None
                if no gateway accepts connections.
            added_routes: Returns the routes that must be in effect by now.
            draw_credential: Draws the credential of the next request.
            reconnects: Whether to open a connection for each request.
        """
        self._history = history
        self._random = source
        self._choose = choose
        self._added_routes = added_routes
        self._draw_credential = draw_credential
        self._reconnects = reconnects
        self._connection: http_client.Connection | None = None
        self._gateway = 0

    async def run(self) -> None:
        """Sends requests until cancelled."""
        while True:
            await asyncio.sleep(self._random.uniform(*CALL_INTERVAL_S))
            if await self._connected():
                await self._call()

    async def _connected(self) -> bool:
        if self._connection is not None and self._connection.is_open:
            if not self._reconnects():
                return True
            self._connection.close()
        chosen = self._choose()
        if chosen is None:
            return False
        self._gateway, address = chosen
        opened = await http_client.open_connection(address, CONNECT_TIMEOUT_MS)
        if isinstance(opened, http_client.Lost):
            return False
        self._connection = opened
        return True

    async def _reconnected(self) -> bool:
        """Connects again, once a gateway accepts connections."""
        until_ms = history_lib.now_ms() + RECONNECT_LIMIT_MS
        while not await self._connected():
            if history_lib.now_ms() > until_ms:
                return False
            await asyncio.sleep(RECONNECT_INTERVAL_S)
        return True

    def _route(self) -> str:
        added = self._added_routes()
        if added and self._random.random() < ADDED_ROUTE_FRACTION:
            return self._random.choice(added)
        return self._random.choice(ROUTES)

    async def _call(self) -> None:
        route = self._route()
        adapter = ""
        if route in ENGINE_ROUTES:
            # Popularity is skewed: a few adapters get most requests.
            adapter = f"a{int(ADAPTER_COUNT * self._random.random() ** 2)}"
        credential = self._draw_credential()
        max_events = 0
        if (
            route == streams.RESUMABLE
            and self._random.random() < RECONNECT_FRACTION
        ):
            max_events = self._random.randint(1, streams.EVENT_COUNT - 1)
        attempt = await self._attempt(
            route, adapter, credential, max_events=max_events
        )
        began = attempt.attempt_id
        for _ in range(MAX_RESUMES):
            if not streams.may_resume(attempt, reconnects=max_events > 0):
                return
            if not await self._reconnected():
                return
            max_events = 0
            after_event = streams.parse(attempt).last
            resumed = await self._attempt(
                route, adapter, credential, began, after_event
            )
            if resumed.status == REJECTED:
                await asyncio.sleep(REJECTED_RETRY_S)
                continue
            attempt = resumed

    async def _attempt(
        self,
        route: str,
        adapter: str,
        credential: accounts.Credential,
        resumes: str = "",
        after_event: int = 0,
        *,
        max_events: int = 0,
    ) -> history_lib.Attempt:
        connection = self._connection
        attempt_id = secrets.token_hex(8)
        block_number = self._random.randrange(prompts.SOUND_BLOCK_COUNT)
        prompt = prompts.header(prompts.sound_block(block_number))
        further = [*credential.headers(), prompt]
        if resumes:
            further.append(("Resumes", resumes))
            further.append(("Last-Event-Id", str(after_event)))
        sent_at_ms = history_lib.now_ms()
        connection.send(
            platform_site.request(
                "POST",
                f"/{route}/x",
                attempt_id,
                adapter=adapter,
                left_ms=REQUEST_TIMEOUT_MS,
                further=further,
            )
        )
        leaves = self._random.random() < DISCONNECT_FRACTION
        wait_s = (REQUEST_TIMEOUT_MS + ANSWER_GRACE_MS) / MS_PER_S
        if leaves:
            wait_s = self._random.uniform(*DISCONNECT_AFTER_S)
        pieces: list[bytes] = []
        whole, ended, head = False, False, None
        try:
            async with asyncio.timeout(wait_s):
                head, whole = await _read(connection, pieces, max_events)
                ended = whole or not max_events
        except TimeoutError:
            pass
        if not (whole and connection.finish()):
            connection.close()
            self._connection = None
        status = 0
        if head is not None:
            status = head.status
            self._record_target_state(head)
        attempt = history_lib.Attempt(
            attempt_id=attempt_id,
            route=route,
            gateway=self._gateway,
            sent_at_ms=sent_at_ms,
            ended_at_ms=history_lib.now_ms(),
            status=status,
            whole=whole,
            body=b"".join(pieces).decode("utf-8", "replace"),
            left=(leaves or max_events > 0) and not ended,
            account=credential.account,
            key=credential.key,
            resumes=resumes,
            after_event=after_event,
        )
        self._history.attempts.append(attempt)
        return attempt

    def _record_target_state(self, head: http_client.Head) -> None:
        """Records whether the target is draining or advertises a rate limit."""
        signature = head.get(b"x-server-signature") or b""
        target = signature.decode().partition(".")[2]
        now_ms = history_lib.now_ms()
        if head.get(b"server-leaving"):
            self._history.leavers.append(
                history_lib.DrainingResponse(self._gateway, target, now_ms)
            )
        if head.get(b"server-limit"):
            self._history.limited_responses.append(
                history_lib.LimitedResponse(self._gateway, target, now_ms)
            )


async def _read(
    connection: http_client.Connection, pieces: list[bytes], max_events: int
) -> tuple[http_client.Head | None, bool]:
    """Reads an answer, or at most some events of a stream if that is not 0.

    Returns:
        The response head, or None if the connection was lost before it, and
        whether the response is complete.
    """
    head = await connection.head()
    if isinstance(head, http_client.Lost):
        return None, False
    while True:
        piece = await connection.chunk()
        if isinstance(piece, http_client.Lost):
            return head, False
        if not piece:
            return head, True
        pieces.append(piece)
        if max_events and b"".join(pieces).count(b"\n\n") >= max_events:
            return head, False
