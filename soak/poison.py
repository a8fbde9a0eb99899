"""Requests that crash each target that runs them, sent to any gateway.

One request is repeated, or requests share a block of their prompts and are
equal in nothing else.
"""

import asyncio
from collections.abc import Callable
import contextlib
import random
import secrets

from radishd.connection import http_client
from standins import platform_site

from soak import accounts
from soak import callers
from soak import history as history_lib
from soak import prompts

BODY = b"what is asked here ends whatever runs it"
ROUTES = ("chat", "book")
ADAPTER = "a0"
# Range of the pause before it is sent again, and the fraction of times that two
# copies are sent concurrently.
CALL_INTERVAL_S = (0.1, 1.2)
CONCURRENT_FRACTION = 0.3
REQUEST_TIMEOUT_MS = 3_000
ANSWER_GRACE_MS = 1_000
MS_PER_S = 1_000


class PoisonRequest:
    """One request that is sent repeatedly, or requests that share a block."""

    def __init__(
        self,
        history: history_lib.History,
        source: random.Random,
        choose: Callable[[], tuple[int, str] | None],
        *,
        by_block: bool = False,
    ) -> None:
        """Creates the request without sending it.

        Args:
            history: History to record attempts in.
            source: Random source.
            choose: Chooses a gateway; returns its number and address, or None
                if no gateway accepts connections.
            by_block: Whether requests share only a block of their prompts.
        """
        self._history = history
        self._random = source
        self._choose = choose
        self._route = source.choice(ROUTES)
        # The random path makes it distinct from other such requests.
        self._path = f"/{self._route}/{secrets.token_hex(4)}"
        self._block = prompts.new_poison_block() if by_block else ""

    async def run(self, for_s: float) -> None:
        """Sends the request repeatedly for a time."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(for_s):
                while True:
                    both = self._random.random() < CONCURRENT_FRACTION
                    await asyncio.gather(
                        *(self._call() for _ in range(1 + both))
                    )
                    await asyncio.sleep(self._random.uniform(*CALL_INTERVAL_S))

    async def _call(self) -> None:
        chosen = self._choose()
        if chosen is None:
            return
        number, address = chosen
        connection = await http_client.open_connection(
            address, callers.CONNECT_TIMEOUT_MS
        )
        if isinstance(connection, http_client.Lost):
            return
        attempt_id = secrets.token_hex(8)
        credential = accounts.Credential(
            accounts.STEADY, accounts.KEYS[accounts.STEADY]
        )
        sent_at_ms = history_lib.now_ms()
        self._history.poison_attempts[attempt_id] = history_lib.PoisonAttempt(
            self._block or self._path, number, sent_at_ms
        )
        further = list(credential.headers())
        body = BODY
        if self._block:
            further.append(prompts.header(self._block))
            body = secrets.token_bytes(16)
        connection.send(
            platform_site.request(
                "POST",
                self._path,
                attempt_id,
                adapter=ADAPTER if self._route in callers.ENGINE_ROUTES else "",
                body=body,
                left_ms=REQUEST_TIMEOUT_MS,
                further=further,
            )
        )
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(
                (REQUEST_TIMEOUT_MS + ANSWER_GRACE_MS) / MS_PER_S
            ):
                await http_client.read_answer(connection)
        connection.close()
