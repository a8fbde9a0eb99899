"""Usage caps of client accounts at one gateway: messages, waits, rejections.

The decisions are made in ``radishstack.process.usage_books``.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Collection
import random

import anyio
import anyio.abc
from radishstack import result
from radishstack.process import usage_books
from radishstack.process import usage_cap
from radishstack.process import usage_loan
from radishstack.version import client_account

from radishd.process import clock
from radishd.process import decision_log
from radishd.process import metrics as metrics_lib

MS_PER_S = 1_000
# Maximum time that a request waits for loans of other gateways.
LOAN_WAIT_MS = 150
# Minimum Retry-After, and the jitter that is added to it.
RETRY_MIN_MS = 100
RETRY_JITTER_MS = 500
EXPIRE_INTERVAL_MS = 5_000

Send = Callable[[str, usage_loan.Message], Awaitable[None]]
FindCap = Callable[[str], usage_cap.UsageCap | None]


class UsageCaps:
    """Admits requests of capped accounts, and lends to other gateways."""

    def __init__(
        self,
        rules: usage_books.Rules,
        others: Callable[[], Collection[str]],
        gateway_count: Callable[[], int],
        find_cap: FindCap,
        send: Send,
        log: decision_log.DecisionLog,
        metrics: metrics_lib.Metrics,
        random_source: random.Random,
    ) -> None:
        """Starts without usage.

        Args:
            rules: Parameters of the accounting.
            others: Returns the names of the other gateways.
            gateway_count: Returns the number of gateways, including this one.
            find_cap: Returns the cap of an account by its name.
            send: Sends a message to a gateway.
            log: Where rejections are logged.
            metrics: Where loans and rejections are counted.
            random_source: Randomizes the retry times of rejected callers.
        """
        self._gateway_count = gateway_count
        self._find_cap = find_cap
        self._send = send
        self._log = log
        self._metrics = metrics
        self._random = random_source
        self._expired_at_ms = clock.boot_ms()
        self._books = usage_books.UsageShares(
            rules, others, gateway_count, self._expired_at_ms, random_source
        )
        self._loan_events: dict[str, anyio.Event] = {}
        self._tasks: anyio.abc.TaskGroup | None = None

    async def run(self) -> None:
        """Runs the tasks that answer other gateways until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            try:
                await anyio.sleep_forever()
            finally:
                self._tasks = None

    async def admit(
        self,
        account: client_account.ClientAccount | None,
        token_count: int | None,
    ) -> result.Outcome[usage_books.Reservation | None]:
        """Reserves the cost of an account's request, or rejects the request.

        Args:
            account: Account of the client, None if it is unknown.
            token_count: Number of tokens that the request states.

        Returns:
            The reservation, None if no cap applies, or the rejection with the
            time after which there is spare capacity for this cost.
        """
        if account is None or account.cap is None:
            return None
        cap, name = account.cap, account.name
        cost = cap.cost(token_count)
        now_ms = clock.boot_ms()
        reservation = self._books.reserve(name, cap, cost, now_ms)
        if reservation is None:
            reservation = await self._borrow_and_reserve(name, cap, cost)
        elif self._books.borrow_ahead_amount(name, cap, now_ms):
            await self._request_loans(name, 0.0)
        if reservation is not None:
            return reservation
        return self._reject(name, cap, cost)

    def renew_reservation(
        self, reservation: usage_books.Reservation | None
    ) -> result.Outcome[usage_books.Reservation | None]:
        """Renews a reservation that has expired or was released."""
        if reservation is None:
            return None
        now_ms = clock.boot_ms()
        age_ms = now_ms - reservation.at_ms
        if not reservation.released and age_ms <= usage_loan.RESERVATION_MS:
            return reservation
        self._books.release(reservation)
        name = reservation.account
        cap = self._find_cap(name)
        if cap is None:
            return None
        renewed = self._books.reserve(name, cap, reservation.cost, now_ms)
        return renewed or self._reject(name, cap, reservation.cost)

    def release(self, reservation: usage_books.Reservation | None) -> None:
        """Releases a reservation whose request provably did not run."""
        if reservation is not None:
            self._books.release(reservation)

    async def _borrow_and_reserve(
        self, name: str, cap: usage_cap.UsageCap, cost: float
    ) -> usage_books.Reservation | None:
        until_ms = clock.boot_ms() + LOAN_WAIT_MS
        while True:
            now_ms = clock.boot_ms()
            if (
                self._books.is_borrowing_paused(name, now_ms)
                or now_ms >= until_ms
            ):
                return None
            event = self._loan_events.setdefault(name, anyio.Event())
            await self._request_loans(
                name, self._books.missing(name, cap, cost, now_ms)
            )
            if self._books.is_borrowing_paused(name, now_ms):
                return None
            pause_ms = min(usage_books.LOAN_TIMEOUT_MS, until_ms - now_ms)
            with anyio.move_on_after(pause_ms / MS_PER_S):
                await event.wait()
            reservation = self._books.reserve(name, cap, cost, clock.boot_ms())
            if reservation is not None:
                return reservation

    async def _request_loans(self, name: str, need: float) -> None:
        for lender, loan_request in self._books.ask(
            name, need, clock.boot_ms()
        ):
            self._metrics.usage_loans.inc({"side": "asked"})
            await self._send(lender, loan_request)

    def _reject(
        self, name: str, cap: usage_cap.UsageCap, cost: float
    ) -> result.Failure:
        self._metrics.usage_refused.inc({})
        wait_ms = max(
            RETRY_MIN_MS,
            self._books.refill_wait_ms(name, cap, cost, clock.boot_ms()),
        )
        jitter_ms = round(self._random.uniform(0, RETRY_JITTER_MS))
        return result.Failure(
            result.USAGE_CAP_REACHED,
            f"account {name} has no room for {cost:g} {cap.unit}s, more in "
            f"{wait_ms} ms ({self._gateway_count()} gateways)",
            wait_ms + jitter_ms,
        )

    def handle(self, message: usage_loan.Message, sender: str) -> None:
        """Handles a message of another gateway."""
        cap = self._find_cap(message.account)
        if cap is None:
            return
        now_ms = clock.boot_ms()
        if isinstance(message, usage_loan.LoanRequest):
            loan = self._books.lend(message, cap, now_ms)
            side = "lent" if loan.amount else "refused"
            self._metrics.usage_loans.inc({"side": side})
            if self._tasks is not None:
                self._tasks.start_soon(self._send, sender, loan)
            return
        self._books.on_loan(message, now_ms)
        event = self._loan_events.pop(message.account, None)
        if event is not None:
            event.set()

    def report(self) -> dict[str, dict[str, float]]:
        """Returns the usage of accounts as plain data."""
        return self._books.report(clock.boot_ms())

    def sweep(self) -> None:
        """Expires unused accounting at an interval."""
        now_ms = clock.boot_ms()
        if now_ms - self._expired_at_ms < EXPIRE_INTERVAL_MS:
            return
        self._expired_at_ms = now_ms
        self._books.forget(now_ms)
