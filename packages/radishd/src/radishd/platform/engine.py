"""Client of the engine on this process' own VM: its report, and orders."""

import dataclasses
import enum

import anyio
from radishstack import result
from radishstack.process import adapter_keeper

from radishd.connection import http_client
from radishd.connection import pool as pool_lib
from radishd.platform import front
from radishd.platform import wire

# The engine answers on its own VM within some milliseconds. An order that is
# not answered by then may have been accepted, or may be later; the next report
# tells, so nothing is gained by waiting longer, and all who wait for a load
# would wait with it.
REPORT_TIMEOUT_MS = 500
ORDER_TIMEOUT_MS = 60
CONNECT_TIMEOUT_MS = 300
MS_PER_S = 1_000
# One process on one VM gives this engine its orders, so its number never has
# to rise; what must not happen is that it falls.
FENCING_TOKEN = 1
HTTP_OK = 200
HTTP_ACCEPTED = 202
HTTP_CONFLICT = 409
HTTP_MISDIRECTED = 421


class Verdict(enum.Enum):
    """How an order was answered."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    OTHER_INSTANCE = "other_instance"
    REFUSED = "refused"
    UNANSWERED = "unanswered"


@dataclasses.dataclass(frozen=True, slots=True)
class OrderResult:
    """The answer to an order, with what the engine said."""

    verdict: Verdict
    detail: str


class Engine:
    """The engine beside this process."""

    def __init__(self, address: str, holder: str) -> None:
        """Makes the client.

        Args:
            address: ``ip:port`` of the engine.
            holder: Name under which orders are given.
        """
        self._address = address
        self._holder = holder
        self._pool = pool_lib.Pool(CONNECT_TIMEOUT_MS)

    async def report(self) -> result.Outcome[adapter_keeper.Report]:
        """Reads the engine's report on itself."""
        head = f"GET /-/report HTTP/1.1\r\nHost: {self._address}\r\n\r\n"
        answer = await self._call(head.encode(), REPORT_TIMEOUT_MS)
        if isinstance(answer, http_client.Lost):
            return result.Failure(result.TARGET_COLD, answer.reason)
        if answer.head.status != HTTP_OK:
            return result.Failure(
                result.TARGET_COLD, f"report status {answer.head.status}"
            )
        report = wire.report(answer.body)
        if isinstance(report, result.Failure):
            return report
        leaving = front.is_leaving(answer.head)
        return dataclasses.replace(report, leaving=leaving)

    async def order(
        self, order: adapter_keeper.Order, instance: str
    ) -> OrderResult:
        """Gives an order to one start of the engine.

        Args:
            order: The order.
            instance: The start that it is meant for.

        Returns:
            How it was answered; without an answer it may be carried out now,
            later, or never.
        """
        body = wire.order(order, self._holder, FENCING_TOKEN)
        head = (
            f"POST /-/order HTTP/1.1\r\nHost: {self._address}\r\n"
            f"Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n"
            f"X-Target-Instance: {instance}\r\n\r\n"
        )
        answer = await self._call(head.encode() + body, ORDER_TIMEOUT_MS)
        if isinstance(answer, http_client.Lost):
            return OrderResult(Verdict.UNANSWERED, answer.reason)
        detail = answer.body[:200].decode("utf-8", "replace")
        status = answer.head.status
        if status in (HTTP_OK, HTTP_ACCEPTED):
            return OrderResult(Verdict.ACCEPTED, detail)
        if status == HTTP_CONFLICT:
            return OrderResult(Verdict.CONFLICT, detail)
        if status == HTTP_MISDIRECTED:
            return OrderResult(Verdict.OTHER_INSTANCE, detail)
        return OrderResult(Verdict.REFUSED, f"{status} {detail}")

    async def _call(
        self, data: bytes, timeout_ms: int
    ) -> http_client.Answer | http_client.Lost:
        connection = await self._pool.acquire(self._address, fresh=True)
        if isinstance(connection, http_client.Lost):
            return connection
        with anyio.move_on_after(timeout_ms / MS_PER_S):
            return await self._pool.exchange(self._address, connection, data)
        return http_client.Lost(f"no answer in {timeout_ms} ms")

    def drop_connections(self) -> None:
        """Trusts no kept connection, as after this process stood still."""
        self._pool.drop_all()
