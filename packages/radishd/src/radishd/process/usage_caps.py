"""Usage caps of client accounts at one gateway: messages, waits, rejections.

What is decided is in ``radishstack.process.usage_books``.
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
# How long a request waits at most for loans of other gateways.
LOAN_WAIT_MS = 150
# By how much the times differ at which several callers are told to return.
RETRY_MIN_MS = 100
RETRY_SPREAD_MS = 500
FORGET_EVERY_MS = 5_000

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
        """Starts with empty books.

        Args:
            rules: How caps are judged.
            others: Returns the names of the other gateways.
            gateway_count: Returns how many gateways there are, this one too.
            find_cap: Returns the cap of an account by its name.
            send: Sends a message to a gateway.
            log: Where rejections are logged.
            metrics: Where loans and rejections are counted.
            random_source: Spreads callers that are told to come back.
        """
        self._gateway_count = gateway_count
        self._find_cap = find_cap
        self._send = send
        self._log = log
        self._metrics = metrics
        self._random = random_source
        self._forgot_ms = clock.boot_ms()
        self._books = usage_books.UsageShares(
            rules, others, gateway_count, self._forgot_ms, random_source
        )
        self._answered: dict[str, anyio.Event] = {}
        self._tasks: anyio.abc.TaskGroup | None = None

    async def run(self) -> None:
        """Runs the tasks that answer others, until cancelled."""
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
        """Books a request of an account, or rejects it.

        Args:
            account: On whose behalf it runs, None if for nobody known.
            token_count: Tokens that the request states.

        Returns:
            The booking, None where no cap applies, or the rejection with the
            time at which there is room for a request of this cost.
        """
        if account is None or account.cap is None:
            return None
        cap, name = account.cap, account.name
        cost = cap.cost(token_count)
        now_ms = clock.boot_ms()
        booking = self._books.reserve(name, cap, cost, now_ms)
        if booking is None:
            booking = await self._borrow_and_book(name, cap, cost)
        elif self._books.borrow_ahead_amount(name, cap, now_ms):
            await self._ask(name, 0.0)
        if booking is not None:
            return booking
        return self._reject(name, cap, cost)

    def rebook(
        self, booking: usage_books.Reservation | None
    ) -> result.Outcome[usage_books.Reservation | None]:
        """Books a request anew that waited too long since its booking."""
        if booking is None:
            return None
        now_ms = clock.boot_ms()
        age_ms = now_ms - booking.at_ms
        if not booking.released and age_ms <= usage_loan.RESERVATION_MS:
            return booking
        self._books.release(booking)
        name = booking.account
        cap = self._find_cap(name)
        if cap is None:
            return None
        renewed = self._books.reserve(name, cap, booking.cost, now_ms)
        return renewed or self._reject(name, cap, booking.cost)

    def release(self, booking: usage_books.Reservation | None) -> None:
        """Gives a booking back whose request provably did not run."""
        if booking is not None:
            self._books.release(booking)

    async def _borrow_and_book(
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
            event = self._answered.setdefault(name, anyio.Event())
            await self._ask(name, self._books.missing(name, cap, cost, now_ms))
            if self._books.is_borrowing_paused(name, now_ms):
                return None
            pause_ms = min(usage_books.LOAN_TIMEOUT_MS, until_ms - now_ms)
            with anyio.move_on_after(pause_ms / MS_PER_S):
                await event.wait()
            booking = self._books.reserve(name, cap, cost, clock.boot_ms())
            if booking is not None:
                return booking

    async def _ask(self, name: str, need: float) -> None:
        for lender, ask in self._books.ask(name, need, clock.boot_ms()):
            self._metrics.usage_loans.inc({"side": "asked"})
            await self._send(lender, ask)

    def _reject(
        self, name: str, cap: usage_cap.UsageCap, cost: float
    ) -> result.Failure:
        self._metrics.usage_refused.inc({})
        room_ms = max(
            RETRY_MIN_MS,
            self._books.refill_wait_ms(name, cap, cost, clock.boot_ms()),
        )
        spread_ms = round(self._random.uniform(0, RETRY_SPREAD_MS))
        return result.Failure(
            result.USAGE_CAP_REACHED,
            f"account {name} has no room for {cost:g} {cap.unit}s, more in "
            f"{room_ms} ms ({self._gateway_count()} gateways)",
            room_ms + spread_ms,
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
        event = self._answered.pop(message.account, None)
        if event is not None:
            event.set()

    def report(self) -> dict[str, dict[str, float]]:
        """Returns the use of accounts as plain data."""
        return self._books.report(clock.boot_ms())

    def sweep(self) -> None:
        """Drops what was not used for long, now and then."""
        now_ms = clock.boot_ms()
        if now_ms - self._forgot_ms < FORGET_EVERY_MS:
            return
        self._forgot_ms = now_ms
        self._books.forget(now_ms)
