"""What this gateway tells the processes beside engines: uses, waits, copies.

Each word says all that is used and waited for at one engine, so a word that
is lost costs only the time to the next one.
"""

from collections.abc import Awaitable
from collections.abc import Callable

import anyio
from radishstack.process import adapter_keeper
from radishstack.process import demand_table
from radishstack.process import placement as placement_lib
from radishstack.process import roster as roster_lib

from radishd.process import clock
from radishd.process import decision_log

MS_PER_S = 1_000
# Words that others wait for are gathered this long.
URGENT_DELAY_MS = 15
# Where nothing is used or wanted every third regular word is enough for this
# gateway to stay known there.
IDLE_TURN_INTERVAL = 3

SendDemand = Callable[[roster_lib.Member], Awaitable[None]]


class LoadRequest:
    """The load that one request waits for.

    Attributes:
        adapter: The adapter.
        due_at_ms: When it must be sent to be answered in time.
        home: Where it is to be loaded, None while nowhere.
    """

    __slots__ = ("adapter", "due_at_ms", "home")

    def __init__(self, adapter: str, due_at_ms: int) -> None:
        """Starts without a home."""
        self.adapter = adapter
        self.due_at_ms = due_at_ms
        self.home: roster_lib.Member | None = None


class LoadRequests:
    """Uses and wishes of all requests of this gateway, by engine."""

    def __init__(
        self,
        placement: placement_lib.Placement,
        log: decision_log.DecisionLog,
        send_demand: SendDemand,
    ) -> None:
        """Starts with none.

        Args:
            placement: Learns of load requests before the engine's next word.
            log: Where a wish for a load is logged.
            send_demand: Sends a word to the process beside an engine.
        """
        self._placement = placement
        self._log = log
        self._send_demand = send_demand
        self._demand_tables: dict[str, demand_table.DemandTable] = {}
        self._urgent: dict[str, roster_lib.Member] = {}
        self._urgent_event = anyio.Event()

    def collect(
        self, address: str
    ) -> tuple[tuple[adapter_keeper.Use, ...], tuple[adapter_keeper.Want, ...]]:
        """Returns what is to be sent of one engine now."""
        return self._demand_table(address).take(clock.boot_ms())

    def is_due(self, member: roster_lib.Member, turn: int) -> bool:
        """Whether the regular word of this turn is to be told.

        Args:
            member: An engine.
            turn: Number of the turn.
        """
        if self._demand_table(member.listing.address).has_news:
            return True
        if not self._placement.is_heard(member, clock.boot_ms()):
            # It may have started after the last word, and knows neither this
            # gateway nor which start of its engine is listed.
            return True
        return not turn % IDLE_TURN_INTERVAL

    def _demand_table(self, address: str) -> demand_table.DemandTable:
        return self._demand_tables.setdefault(
            address, demand_table.DemandTable()
        )

    def _version(self, adapter: str) -> int:
        announced = self._placement.announced.get(adapter)
        return announced.version if announced is not None else 0

    def began(self, member: roster_lib.Member, adapter: str) -> None:
        """Counts a request that is sent to an engine."""
        self._demand_table(member.listing.address).began(adapter)

    def ended(self, member: roster_lib.Member, adapter: str) -> None:
        """Counts a request that an engine has ended."""
        is_idle = self._demand_table(member.listing.address).ended(adapter)
        view = self._placement.view_of(member)
        if is_idle and view is not None and view.pending:
            # Loads wait there for the place of an adapter that is not used.
            self._send_soon(member)

    async def apply_choice(
        self, load_request: LoadRequest, choice: placement_lib.Choice
    ) -> None:
        """Applies what was chosen for a request.

        Args:
            load_request: The load that the request waits for.
            choice: What was chosen for it now.
        """
        member = choice.load
        if choice.send is not None:
            self.drop(load_request)
            if member is not None:
                self._request_copy(member, load_request.adapter)
            return
        if member is load_request.home:
            return
        self.drop(load_request)
        if member is None:
            return
        load_request.home = member
        self._placement.wished(member, load_request.adapter)
        version = self._version(load_request.adapter)
        first = self._demand_table(member.listing.address).wait(
            load_request.adapter, version, load_request.due_at_ms
        )
        if not first:
            self._send_soon(member)
            return
        self._log.write(
            "load_wanted",
            adapter=load_request.adapter,
            version=version,
            target=member.listing.instance,
        )
        await self._send_demand(member)

    def drop(self, load_request: LoadRequest) -> None:
        """Drops the load request of a caller that no longer waits."""
        home, load_request.home = load_request.home, None
        if home is None:
            return
        table = self._demand_table(home.listing.address)
        if table.waits_no_more(load_request.adapter, load_request.due_at_ms):
            # Unheard, the load would be for nobody and keep a place from
            # those that wait.
            self._send_soon(home)

    def _request_copy(self, member: roster_lib.Member, adapter: str) -> None:
        self._placement.wished(member, adapter)
        version = self._version(adapter)
        table = self._demand_table(member.listing.address)
        if not table.copy(adapter, version, clock.boot_ms()):
            return
        self._send_soon(member)
        self._log.write(
            "copy_wanted",
            adapter=adapter,
            version=version,
            target=member.listing.instance,
        )

    def notify_new_incarnation(self, member: roster_lib.Member) -> None:
        """Has a new start of an engine told of at once.

        The process beside an engine that has just started learns from this
        word which start that is and which base model it needs. Left to the
        next regular word, every engine would stand empty until then after a
        power cut.
        """
        self._send_soon(member)

    def _send_soon(self, member: roster_lib.Member) -> None:
        """Has a word told soon, together with others of this moment."""
        self._urgent[member.listing.instance] = member
        self._urgent_event.set()

    async def send_urgent(self) -> None:
        """Sends demands that cannot wait for the regular interval."""
        while True:
            await self._urgent_event.wait()
            await anyio.sleep(URGENT_DELAY_MS / MS_PER_S)
            self._urgent_event = anyio.Event()
            urgent, self._urgent = self._urgent, {}
            for member in urgent.values():
                await self._send_demand(member)

    def forget(self, addresses: set[str]) -> None:
        """Drops what is known of engines that are gone, once it is settled."""
        for address in list(self._demand_tables):
            if (
                address not in addresses
                and not self._demand_tables[address].busy
            ):
                del self._demand_tables[address]
