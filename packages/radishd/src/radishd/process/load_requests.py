"""Demand that a gateway sends to sidecars: uses, load requests, copies.

Each message contains the entire demand for one engine, so a lost message only
costs the time until the next one.
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
# Delay of urgent messages, so that several changes share one message.
URGENT_DELAY_MS = 15
# Without any demand, a message at every third regular interval, or turn, is
# enough for a sidecar not to forget this gateway.
IDLE_TURN_INTERVAL = 3

SendDemand = Callable[[roster_lib.Member], Awaitable[None]]


class LoadRequest:
    """The adapter load that one request waits for.

    Attributes:
        adapter: The adapter.
        due_at_ms: When the request must be sent to be answered in time.
        home: Engine that is to load the adapter, None while none is chosen.
    """

    __slots__ = ("adapter", "due_at_ms", "home")

    def __init__(self, adapter: str, due_at_ms: int) -> None:
        """Starts without a chosen engine."""
        self.adapter = adapter
        self.due_at_ms = due_at_ms
        self.home: roster_lib.Member | None = None


class LoadRequests:
    """Demand of all requests of this gateway, by engine."""

    def __init__(
        self,
        placement: placement_lib.Placement,
        log: decision_log.DecisionLog,
        send_demand: SendDemand,
    ) -> None:
        """Starts without demand.

        Args:
            placement: Records load requests before the engine's next status
                update shows them.
            log: Where load requests are logged.
            send_demand: Sends the demand for an engine to its sidecar.
        """
        self._placement = placement
        self._log = log
        self._send_demand = send_demand
        self._demand_tables: dict[str, demand_table.DemandTable] = {}
        self._urgent: dict[str, roster_lib.Member] = {}
        self._urgent_event = anyio.Event()

    def collect(
        self, address: str
    ) -> tuple[
        tuple[adapter_keeper.Use, ...], tuple[adapter_keeper.LoadRequest, ...]
    ]:
        """Returns the demand to send for one engine now."""
        return self._demand_table(address).take(clock.boot_ms())

    def is_due(self, member: roster_lib.Member, turn: int) -> bool:
        """Whether the demand for an engine is to be sent in this turn.

        Args:
            member: The engine.
            turn: Number of the regular interval, from 0.
        """
        if self._demand_table(member.listing.address).has_update:
            return True
        if not self._placement.has_fresh_status(member, clock.boot_ms()):
            # The sidecar may have started after the last message, and know
            # neither this gateway nor the listed incarnation of its engine.
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
        """Counts a request that has completed at an engine."""
        is_idle = self._demand_table(member.listing.address).ended(adapter)
        view = self._placement.view_of(member)
        if is_idle and view is not None and view.pending:
            # Loads there wait for an adapter slot, and the slot of this adapter
            # is no longer in use.
            self._send_soon(member)

    async def apply_choice(
        self, load_request: LoadRequest, choice: placement_lib.Choice
    ) -> None:
        """Applies a placement choice to the load request of a request.

        Args:
            load_request: The load that the request waits for.
            choice: The current choice for the request.
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
        self._placement.record_load_request(member, load_request.adapter)
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
        if table.stop_waiting(load_request.adapter, load_request.due_at_ms):
            # Otherwise the engine would load the adapter for no request, in an
            # adapter slot that waiting requests need.
            self._send_soon(home)

    def _request_copy(self, member: roster_lib.Member, adapter: str) -> None:
        self._placement.record_load_request(member, adapter)
        version = self._version(adapter)
        table = self._demand_table(member.listing.address)
        if not table.request_copy(adapter, version, clock.boot_ms()):
            return
        self._send_soon(member)
        self._log.write(
            "copy_wanted",
            adapter=adapter,
            version=version,
            target=member.listing.instance,
        )

    def notify_new_incarnation(self, member: roster_lib.Member) -> None:
        """Sends the demand for a new incarnation of an engine at once.

        From this message, the sidecar of an engine that has just started
        receives the listed incarnation and the base model to load. If this
        waited for the next regular message, all engines would stay empty until
        then after a power cut.
        """
        self._send_soon(member)

    def _send_soon(self, member: roster_lib.Member) -> None:
        """Queues an urgent message, which is sent after a short delay."""
        self._urgent[member.listing.instance] = member
        self._urgent_event.set()

    async def send_urgent(self) -> None:
        """Sends demand that cannot wait for the regular interval."""
        while True:
            await self._urgent_event.wait()
            await anyio.sleep(URGENT_DELAY_MS / MS_PER_S)
            self._urgent_event = anyio.Event()
            urgent, self._urgent = self._urgent, {}
            for member in urgent.values():
                await self._send_demand(member)

    def forget(self, addresses: set[str]) -> None:
        """Drops the demand tables of removed engines without requests."""
        for address in list(self._demand_tables):
            if (
                address not in addresses
                and not self._demand_tables[address].busy
            ):
                del self._demand_tables[address]
