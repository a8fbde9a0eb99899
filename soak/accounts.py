"""Client accounts of a soak: rotating API keys, and a usage cap."""

import asyncio
from collections.abc import Callable
import dataclasses
import random
import secrets
from typing import Any

from radishd.connection import http_client
from radishstack.process import usage_books
from radishstack.process import usage_cap
from standins import platform_site

from soak import history as history_lib

STEADY = "crew"
CAPPED = "lab"
# The only account whose key is rotated.
ROTATING = "guests"
NO_ACCOUNT = ""
KEYS = {STEADY: "steady-key", CAPPED: "capped-key"}
FORGED = "forged-key"
USAGE_WINDOW_MS = 4_000
RULES = usage_books.Rules(USAGE_WINDOW_MS, 0.1, 10.0)
CAP = usage_cap.UsageCap(15.0, 30.0)
# Shares of the callers' requests by account; the other requests have no key.
SHARES = ((STEADY, 0.7), (ROTATING, 0.15), (CAPPED, 0.08), (FORGED, 0.04))
BURST_INTERVAL_S = 0.02
REQUEST_TIMEOUT_MS = 3_000
CONNECT_TIMEOUT_MS = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class Credential:
    """The account and key of a request.

    Attributes:
        account: The account that holds its key, empty for none.
        key: The key, empty for none.
    """

    account: str
    key: str

    def headers(self) -> list[tuple[str, str]]:
        """Returns the headers.

        They include a forged account header, which gateways must replace.
        """
        made_up = [("X-Tenant", STEADY)]
        if not self.key:
            return made_up
        return [("Authorization", f"Bearer {self.key}"), *made_up]


class Accounts:
    """The accounts of the current configuration."""

    def __init__(
        self, history: history_lib.History, source: random.Random
    ) -> None:
        """Creates the accounts, each with a key."""
        self._history = history
        self._random = source
        self._rotating = ""
        self.rotate()

    def rotate(self) -> None:
        """Replaces the key of the account whose key is rotated."""
        now_ms = history_lib.now_ms()
        if self._rotating:
            self._history.keys_removed_ms[self._rotating] = now_ms
        self._rotating = f"guest-{secrets.token_hex(4)}"
        self._history.keys_added_ms[self._rotating] = now_ms

    def to_configuration(self) -> list[dict[str, Any]]:
        """Returns the accounts as entries of the configuration."""
        return [
            platform_site.account(STEADY, KEYS[STEADY]),
            platform_site.account(
                CAPPED,
                KEYS[CAPPED],
                ratePerS=CAP.rate_per_s,
                burst=CAP.burst,
            ),
            platform_site.account(ROTATING, self._rotating),
        ]

    def draw(self) -> Credential:
        """Draws the credential of the next request."""
        drawn = self._random.random()
        for account, share in SHARES:
            drawn -= share
            if drawn >= 0:
                continue
            if account == FORGED:
                return Credential(NO_ACCOUNT, FORGED)
            if account != ROTATING:
                return Credential(account, KEYS[account])
            # Sometimes uses a key that was removed recently.
            removed = list(self._history.keys_removed_ms)[-2:]
            choices = [self._rotating] * 3 + removed
            return Credential(ROTATING, self._random.choice(choices))
        return Credential(NO_ACCOUNT, "")


async def send_burst(
    history: history_lib.History,
    choose: Callable[[], tuple[int, str] | None],
    for_s: float,
) -> None:
    """Sends requests of the capped account far above its cap."""
    credential = Credential(CAPPED, KEYS[CAPPED])
    until_ms = history_lib.now_ms() + for_s * 1_000
    calls = []
    while history_lib.now_ms() < until_ms:
        calls.append(asyncio.create_task(_call(history, choose, credential)))
        await asyncio.sleep(BURST_INTERVAL_S)
    await asyncio.gather(*calls)


async def _call(
    history: history_lib.History,
    choose: Callable[[], tuple[int, str] | None],
    credential: Credential,
) -> None:
    chosen = choose()
    if chosen is None:
        return
    number, address = chosen
    connection = await http_client.open_connection(address, CONNECT_TIMEOUT_MS)
    if isinstance(connection, http_client.Lost):
        return
    attempt_id = secrets.token_hex(8)
    sent_at_ms = history_lib.now_ms()
    connection.send(
        platform_site.request(
            "POST",
            "/look/x",
            attempt_id,
            left_ms=REQUEST_TIMEOUT_MS,
            further=credential.headers(),
        )
    )
    status, whole, body = 0, False, b""
    try:
        async with asyncio.timeout(2 * REQUEST_TIMEOUT_MS / 1_000):
            answer = await http_client.read_answer(connection)
            if not isinstance(answer, http_client.Lost):
                status, whole, body = answer.head.status, True, answer.body
    except TimeoutError:
        pass
    connection.close()
    history.attempts.append(
        history_lib.Attempt(
            attempt_id=attempt_id,
            route="look",
            gateway=number,
            sent_at_ms=sent_at_ms,
            ended_at_ms=history_lib.now_ms(),
            status=status,
            whole=whole,
            body=body.decode("utf-8", "replace"),
            account=credential.account,
            key=credential.key,
        )
    )
