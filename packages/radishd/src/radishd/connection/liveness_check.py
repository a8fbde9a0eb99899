"""Checks whether an incarnation of a target is still running.

An accepted connection does not show it: the operating system closes the sockets
of a killed process one by one, and the next process at the address accepts
connections as well. An answer shows it, if its incarnation is the expected one.
"""

from collections.abc import Callable
import dataclasses

import anyio
from radishstack.process import roster as roster_lib
from radishstack.request import response_end
from radishstack.version import route_table

from radishd.connection import http_client
from radishd.connection import pool as pool_lib
from radishd.platform import health
from radishd.process import clock

MS_PER_S = 1_000
# A full target may queue the request. That its connection stays open for this
# long shows as well that the process was not killed.
ANSWER_TIMEOUT_MS = 400
# Time within which all sockets of a killed process are closed.
SOCKETS_CLOSED_MS = 150
# Interval between connections that are closed without an answer.
RETRY_INTERVAL_MS = 25
# How long a connection must stay open if the target has no health endpoint.
HOLD_MS = 50

TargetState = response_end.TargetState


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """Result of a check.

    Attributes:
        state: The state of the target.
        reason: What showed it, for logs.
        at_ms: When it was observed.
    """

    state: TargetState
    reason: str
    at_ms: int


class LivenessCheck:
    """Sends health requests to targets."""

    def __init__(
        self,
        pool: pool_lib.Pool,
        find_service: Callable[[str], route_table.ServiceSpec | None],
    ) -> None:
        """Initializes the check.

        Args:
            pool: Connections to targets.
            find_service: Returns the configuration of a service.
        """
        self._pool = pool
        self._find_service = find_service

    async def observe(self, listing: roster_lib.Listing) -> Observation:
        """Checks whether a listed incarnation is running.

        Args:
            listing: The target.
        """
        state, reason = await self._observe(listing)
        return Observation(state, reason, clock.boot_ms())

    async def _observe(
        self, listing: roster_lib.Listing
    ) -> tuple[TargetState, str]:
        began_ms = clock.boot_ms()
        path = self._health_path(listing)
        while True:
            # On an idle connection, a late second response to an earlier
            # request could be taken for the answer.
            connection = await self._pool.open(listing.address)
            if isinstance(connection, http_client.Lost):
                return TargetState.UNREACHABLE, connection.reason
            if not path:
                if await self._stays_open(listing.address, connection):
                    return TargetState.ACCEPTS, "holds a connection"
                answer = http_client.Lost("closed by peer")
            else:
                answer = await self._ask(listing, connection, path)
            if isinstance(answer, http_client.Answer):
                state = health.decode(answer, listing, path)
                return state, f"{path} {answer.head.status}"
            if answer is None:
                return TargetState.ACCEPTS, f"{path} waits"
            if clock.boot_ms() - began_ms >= SOCKETS_CLOSED_MS:
                # A target at its limit of connections resets further ones.
                return TargetState.ACCEPTS, answer.reason
            await anyio.sleep(RETRY_INTERVAL_MS / MS_PER_S)

    def _health_path(self, listing: roster_lib.Listing) -> str:
        """Returns the path of a target's health endpoint, empty if none.

        Only the report of an engine contains its start time, which differs
        between incarnations of one name.
        """
        spec = self._find_service(listing.service)
        if spec is None:
            return ""
        if spec.base_models and (listing.born_ms or not spec.health_path):
            return health.REPORT_PATH
        return spec.health_path

    async def _ask(
        self,
        listing: roster_lib.Listing,
        connection: http_client.Connection,
        path: str,
    ) -> http_client.Answer | http_client.Lost | None:
        """Requests the health of a target; returns None after the timeout.

        The connection is not reused: a late second response to this request
        could be taken for the response to the next one.
        """
        try:
            with anyio.move_on_after(ANSWER_TIMEOUT_MS / MS_PER_S):
                connection.send(health.encode(listing, path))
                return await http_client.read_answer(connection)
            return None
        finally:
            connection.close()

    async def _stays_open(
        self, address: str, connection: http_client.Connection
    ) -> bool:
        await anyio.sleep(HOLD_MS / MS_PER_S)
        if not connection.is_open:
            return False
        self._pool.release(address, connection, keep_alive_s=0)
        return True
