"""Client for the engine on the same VM: reads reports, sends orders."""

import dataclasses

import anyio
from radishstack import result
from radishstack.process import adapter_keeper

from radishd.connection import http_client
from radishd.connection import pool as pool_lib
from radishd.platform import front
from radishd.platform import wire
from radishd.process import engine_order

# The engine is on the same VM and answers within a few milliseconds. An order
# that times out may have been accepted or may yet be. The next report shows
# which, so a longer timeout would only delay all requests that wait for a load.
REPORT_TIMEOUT_MS = 500
ORDER_TIMEOUT_MS = 60
CONNECT_TIMEOUT_MS = 300
MS_PER_S = 1_000
# Must never decrease; need not increase, since only one process sends orders.
FENCING_TOKEN = 1
HTTP_OK = 200
HTTP_ACCEPTED = 202
HTTP_CONFLICT = 409
HTTP_MISDIRECTED = 421

Verdict = engine_order.Verdict


class Engine:
    """Client for the engine on this VM."""

    def __init__(self, address: str, holder: str) -> None:
        """Creates the client.

        Args:
            address: ``ip:port`` of the engine.
            holder: Name of this process in its orders.
        """
        self._address = address
        self._holder = holder
        self._pool = pool_lib.Pool(CONNECT_TIMEOUT_MS)

    async def report(self) -> result.Outcome[adapter_keeper.Report]:
        """Reads the engine's report on its state."""
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
    ) -> engine_order.OrderResult:
        """Sends an order to one incarnation of the engine.

        Args:
            order: The order.
            instance: The incarnation that the order is meant for.

        Returns:
            The outcome; an unanswered order may execute now, later or never.
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
            return engine_order.OrderResult(Verdict.UNANSWERED, answer.reason)
        detail = answer.body[:200].decode("utf-8", "replace")
        status = answer.head.status
        if status in (HTTP_OK, HTTP_ACCEPTED):
            return engine_order.OrderResult(Verdict.ACCEPTED, detail)
        if status == HTTP_CONFLICT:
            return engine_order.OrderResult(Verdict.CONFLICT, detail)
        if status == HTTP_MISDIRECTED:
            return engine_order.OrderResult(Verdict.OTHER_INSTANCE, detail)
        return engine_order.OrderResult(Verdict.REFUSED, f"{status} {detail}")

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
        """Closes all idle connections, as after a process pause."""
        self._pool.drop_all()
