"""A plain runner: one answer for each request, a few at once."""

import asyncio
import dataclasses

from standins import http
from standins import record as record_lib

WORK_S = 0.09
BODY = b"y" * 800


@dataclasses.dataclass(slots=True)
class Arrival:
    """A request that reached a runner.

    Attributes:
        attempt: Id of the client's attempt.
        at_s: When it arrived.
        answered: Whether its run ended with an answer.
    """

    attempt: str
    at_s: float
    answered: bool = False


class PlainRunner:
    """One boot of a runner of a plain service.

    Attributes:
        arrivals: The requests that it has begun, in order.
        left_at_s: When the store removed its entry, None while it is there.
    """

    def __init__(self, name: str, record: record_lib.Record) -> None:
        """Creates a runner that does not listen yet."""
        self.name = name
        self.arrivals: list[Arrival] = []
        self.left_at_s: float | None = None
        self._record = record
        self._server: asyncio.Server | None = None
        self._channels: set[http.Channel] = set()

    async def start(self, host: str, port: int) -> None:
        """Starts listening."""
        self._server = await http.serve(self.handle, host, port)

    def exit(self) -> None:
        """Stops listening and ends all channels, as a process that exits."""
        if self._server is not None:
            self._server.close()
        for channel in self._channels:
            channel.abort()

    def entry(self, service: str, address: str, zone: str) -> dict[str, object]:
        """Returns its entry in the platform's store."""
        return {
            "service": service,
            "address": address,
            "zone": zone,
            "version": "1",
            "slots": 6,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 0,
        }

    async def handle(
        self, request: http.Request, channel: http.Channel
    ) -> None:
        """Runs one request."""
        self._channels.add(channel)
        attempt = request.headers.get("x-attempt-id", "")
        headers = {"X-Attempt-Id": attempt, "X-Instance-Id": self.name}
        named = request.headers.get("x-target-instance", self.name)
        if named != self.name:
            await channel.write(http.encode(421, headers, b"{}"))
            return
        arrival = Arrival(attempt, self._record.now_s())
        self.arrivals.append(arrival)
        self._record.write("run", attempt=attempt, runner=self.name)
        await asyncio.sleep(WORK_S)
        if channel.writer.is_closing():
            self._record.write("cut", attempt=attempt, runner=self.name)
            return
        headers["X-Server-Signature"] = f"sig.{self.name}.{attempt}"
        await channel.write(http.encode(200, headers, BODY))
        arrival.answered = True
