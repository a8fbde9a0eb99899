"""Tells other gateways up to which change this one has read the store.

One that has read less, because the answer to its watch was lost, reads again.
Its watch would show that only seconds later, as the kinds that change rarely
have long watches.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import random

import anyio
from radishstack.connection import fleet_wire
from radishstack.process import change_lag
from radishstack.process import store_position

from radishd.process import clock
from radishd.process import decision_log
from radishd.process import fleet_socket
from radishd.process import follow

MS_PER_S = 1_000
# A new change is told to a few others at once; with three, one gateway in
# twenty hears of it only by the periodic message.
RECEIVERS_OF_CHANGE = 3
COALESCE_MS = 100
CHECK_INTERVAL_MS = 250
TELL_INTERVAL_MS = 1_000


class ChangeGossip:
    """Positions of changes, exchanged with other gateways."""

    def __init__(
        self,
        followers: dict[str, follow.Follower],
        others: Callable[[], list[fleet_socket.Address]],
        send: Callable[
            [Iterable[fleet_socket.Address], fleet_wire.ChangeReport],
            Awaitable[None],
        ],
        log: decision_log.DecisionLog,
        random_source: random.Random,
    ) -> None:
        """Starts without changes.

        Args:
            followers: The followers of the kinds that are told, by kind.
            others: Returns the datagram addresses of the other gateways.
            send: Sends a report to the given addresses.
            log: Where missed changes are logged.
            random_source: Chooses the receivers.
        """
        self._followers = followers
        self._others = others
        self._send = send
        self._log = log
        self._random = random_source
        self._lag = change_lag.ChangeLag()
        self._read: dict[str, store_position.StorePosition] = {}
        self._changed = anyio.Event()

    def record_read(
        self, kind: str, position: store_position.StorePosition
    ) -> None:
        """Records the position of a change that this gateway has read."""
        known_position = self._read.get(kind, change_lag.NO_POSITION)
        if kind in self._followers and position > known_position:
            self._read[kind] = position
            self._changed.set()

    def handle(self, report: fleet_wire.ChangeReport) -> None:
        """Handles the report of another gateway."""
        told = {
            kind: position
            for kind, position in report.positions.items()
            if kind in self._followers
        }
        self._lag.record(told, clock.boot_ms())

    async def tell(self) -> None:
        """Tells others about changes until cancelled."""
        while True:
            receiver_count = 1
            with anyio.move_on_after(TELL_INTERVAL_MS / MS_PER_S):
                await self._changed.wait()
                receiver_count = RECEIVERS_OF_CHANGE
                await anyio.sleep(COALESCE_MS / MS_PER_S)
            self._changed = anyio.Event()
            others = self._others()
            receivers = self._random.sample(
                others, min(receiver_count, len(others))
            )
            if receivers and self._read:
                report = fleet_wire.ChangeReport(dict(self._read))
                await self._send(receivers, report)

    async def check(self) -> None:
        """Replaces watches that have missed changes, until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_MS / MS_PER_S)
            read = {
                kind: follower.read_position
                for kind, follower in self._followers.items()
            }
            for kind in self._lag.missed(read, clock.boot_ms()):
                self._log.must(
                    "watch_missed_change",
                    kind=kind,
                    read_revision=read[kind].revision,
                    read_era=read[kind].era,
                )
                self._followers[kind].renew()
