"""Calls to the store, and what they show of its availability.

Late reads are repeated on a new connection, since an open one may fall silent.
"""

from collections.abc import Callable
import dataclasses
from typing import TypeVar

import anyio
from radishstack import result
from radishstack.process import availability

from radishd.connection import hedged_call
from radishd.connection import http_client
from radishd.connection import pool as pool_lib
from radishd.process import clock
from radishd.process import metrics as metrics_lib

MS_PER_S = 1_000
CALL_TIMEOUT_MS = 1_500
CONNECT_TIMEOUT_MS = 500
# An answer this long after a watch's wait time, not the usual few milliseconds,
# indicates that the store was paused, although no call failed. The call is then
# repeated, since its connection may have fallen silent.
LATE_ANSWER_MARGIN_MS = 400

# A page of a list has about a megabyte, and ends with an entry of another one.
# Decoded, an answer takes up to 24 times its size.
MAX_ANSWER_BYTES = 4 * 1024 * 1024

T = TypeVar("T")


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """A read of the store.

    Attributes:
        kind: Kind of object, for metrics.
        path: Path and query.
        second_path: Path and query if it is repeated, empty for the same.
        wait_ms: How long the store may hold the call.
    """

    kind: str
    path: str
    second_path: str = ""
    wait_ms: int = 0


class StoreClient:
    """Client of the store, over pooled connections.

    Attributes:
        on_outage_ended: Called with the requested kind when an outage ends,
            before the first answer is returned.
    """

    def __init__(self, address: str, metrics: metrics_lib.Metrics) -> None:
        """Creates the client without connecting.

        Args:
            address: ``ip:port`` of the store.
            metrics: Metrics that count the calls.
        """
        self._address = address
        self._metrics = metrics
        self._pool = pool_lib.Pool(CONNECT_TIMEOUT_MS)
        self._availability = availability.Availability()
        self.on_outage_ended: Callable[[str, availability.Outage], None] = (
            lambda kind, outage: None
        )

    async def write(
        self, method: str, path: str, body: bytes
    ) -> result.Outcome[http_client.Answer]:
        """Sends a request that changes an object; it is not repeated.

        Args:
            method: HTTP method.
            path: Path and query.
            body: JSON, if any.
        """
        with anyio.move_on_after(CALL_TIMEOUT_MS / MS_PER_S):
            connection = await self._pool.acquire(self._address, fresh=False)
            return await self._exchange(connection, method, path, body)
        return result.Failure(
            result.STORE_UNAVAILABLE, f"no answer in {CALL_TIMEOUT_MS} ms"
        )

    async def read(
        self,
        read: Read,
        interpret: Callable[[http_client.Answer], result.Outcome[T]],
    ) -> result.Outcome[T]:
        """Reads a path; repeats a late read on a new connection.

        Args:
            read: The read.
            interpret: Interprets a response; a failure is no answer.
        """

        async def first() -> result.Outcome[T]:
            connection = await self._pool.acquire(self._address, fresh=False)
            return await call(connection, read.path)

        async def second() -> result.Outcome[T]:
            self._count(read.kind, "repeated")
            connection = await self._pool.open(self._address)
            outcome = await call(connection, read.second_path or read.path)
            if _is_answer(outcome):
                # Idle connections from before may be silent as well.
                self._pool.drop_older(self._address, connection.number)
            return outcome

        async def call(
            connection: http_client.Connection | http_client.Lost, path: str
        ) -> result.Outcome[T]:
            answer = await self._exchange(connection, "GET", path)
            if isinstance(answer, result.Failure):
                return answer
            return interpret(answer)

        timeout_ms = read.wait_ms + CALL_TIMEOUT_MS
        answer = await hedged_call.run(
            first,
            second,
            is_answer=_is_answer,
            late_ms=read.wait_ms + LATE_ANSWER_MARGIN_MS,
            prompt_ms=LATE_ANSWER_MARGIN_MS,
            timeout_ms=timeout_ms,
        )
        outcome = answer.value
        if outcome is None:
            outcome = result.Failure(
                result.STORE_UNAVAILABLE, f"no answer in {timeout_ms} ms"
            )
        if isinstance(outcome, result.Failure):
            self._count(read.kind, "failed")
            self._availability.failed(outcome.message)
            return outcome
        self._count(read.kind, "answered")
        outage = self._availability.answered(
            clock.boot_ms(), late=answer.is_late, silent=answer.is_silent
        )
        if outage is not None:
            self.on_outage_ended(read.kind, outage)
        return outcome

    def _count(self, kind: str, outcome: str) -> None:
        self._metrics.store_calls.inc({"outcome": outcome, "kind": kind})

    async def _exchange(
        self,
        connection: http_client.Connection | http_client.Lost,
        method: str,
        path: str,
        body: bytes = b"",
    ) -> result.Outcome[http_client.Answer]:
        if isinstance(connection, http_client.Lost):
            return result.Failure(result.STORE_UNAVAILABLE, connection.reason)
        lines = [f"{method} {path} HTTP/1.1", f"Host: {self._address}"]
        if body:
            lines.append("Content-Type: application/json")
            lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join(lines) + "\r\n\r\n"
        answer = await self._pool.exchange(
            self._address, connection, head.encode() + body, MAX_ANSWER_BYTES
        )
        if isinstance(answer, http_client.Lost):
            if not answer.timed_out:
                self._availability.connection_broken(clock.boot_ms())
            code = (
                result.STORE_CORRUPT
                if answer.malformed
                else result.STORE_UNAVAILABLE
            )
            return result.Failure(code, answer.reason)
        return answer

    def drop_connections(self) -> None:
        """Closes all idle connections, as after a process pause."""
        self._pool.drop_all()


def _is_answer(outcome: result.Outcome[T]) -> bool:
    return not isinstance(outcome, result.Failure)
