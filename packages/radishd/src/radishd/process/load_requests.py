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
HURRY_MS = 15
# Where nothing is used or wanted every third regular word is enough for this
# gateway to stay known there.
IDLE_TURNS = 3

Tell = Callable[[roster_lib.Member], Awaitable[None]]


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
        tell: Tell,
    ) -> None:
        """Starts with none.

        Args:
            placement: Learns of load requests before the engine's next word.
            log: Where a wish for a load is logged.
            tell: Sends a word to the process beside an engine.
        """
        self._placement = placement
        self._log = log
        self._tell = tell
        self._books: dict[str, demand_table.DemandTable] = {}
        self._hurried: dict[str, roster_lib.Member] = {}
        self._hurry_event = anyio.Event()

    def take(
        self, address: str
    ) -> tuple[
        tuple[adapter_keeper.Use, ...], tuple[adapter_keeper.LoadRequest, ...]
    ]:
        """Returns what is to be sent of one engine now."""
        return self._book(address).take(clock.boot_ms())

    def is_due(self, member: roster_lib.Member, turn: int) -> bool:
        """Whether the regular word of this turn is to be told.

        Args:
            member: An engine.
            turn: Number of the turn.
        """
        if self._book(member.listing.address).has_update:
            return True
        if not self._placement.has_fresh_status(member, clock.boot_ms()):
            # It may have started after the last word, and knows neither this
            # gateway nor which start of its engine is listed.
            return True
        return not turn % IDLE_TURNS

    def _book(self, address: str) -> demand_table.DemandTable:
        return self._books.setdefault(address, demand_table.DemandTable())

    def _version(self, adapter: str) -> int:
        announced = self._placement.announced.get(adapter)
        return announced.version if announced is not None else 0

    def began(self, member: roster_lib.Member, adapter: str) -> None:
        """Counts a request that is sent to an engine."""
        self._book(member.listing.address).began(adapter)

    def ended(self, member: roster_lib.Member, adapter: str) -> None:
        """Counts a request that an engine has ended."""
        idle = self._book(member.listing.address).ended(adapter)
        view = self._placement.view_of(member)
        if idle and view is not None and view.pending:
            # Loads wait there for the place of an adapter that is not used.
            self._hurry(member)

    async def follow(
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
                self._copy(member, load_request.adapter)
            return
        if member is load_request.home:
            return
        self.drop(load_request)
        if member is None:
            return
        load_request.home = member
        self._placement.record_load_request(member, load_request.adapter)
        version = self._version(load_request.adapter)
        first = self._book(member.listing.address).wait(
            load_request.adapter, version, load_request.due_at_ms
        )
        if not first:
            self._hurry(member)
            return
        self._log.write(
            "load_wanted",
            adapter=load_request.adapter,
            version=version,
            target=member.listing.instance,
        )
        await self._tell(member)

    def drop(self, load_request: LoadRequest) -> None:
        """Drops the load request of a caller that no longer waits."""
        home, load_request.home = load_request.home, None
        if home is None:
            return
        book = self._book(home.listing.address)
        if book.stop_waiting(load_request.adapter, load_request.due_at_ms):
            # Unheard, the load would be for nobody and keep a place from
            # those that wait.
            self._hurry(home)

    def _copy(self, member: roster_lib.Member, adapter: str) -> None:
        self._placement.record_load_request(member, adapter)
        version = self._version(adapter)
        book = self._book(member.listing.address)
        if not book.request_copy(adapter, version, clock.boot_ms()):
            return
        self._hurry(member)
        self._log.write(
            "copy_wanted",
            adapter=adapter,
            version=version,
            target=member.listing.instance,
        )

    def introduce(self, member: roster_lib.Member) -> None:
        """Has a new start of an engine told of at once.

        The process beside an engine that has just started learns from this
        word which start that is and which base model it needs. Left to the
        next regular word, every engine would stand empty until then after a
        power cut.
        """
        self._hurry(member)

    def _hurry(self, member: roster_lib.Member) -> None:
        """Has a word told soon, together with others of this moment."""
        self._hurried[member.listing.instance] = member
        self._hurry_event.set()

    async def tell_hurried(self) -> None:
        """Sends demands that cannot wait for the regular interval."""
        while True:
            await self._hurry_event.wait()
            await anyio.sleep(HURRY_MS / MS_PER_S)
            self._hurry_event = anyio.Event()
            hurried, self._hurried = self._hurried, {}
            for member in hurried.values():
                await self._tell(member)

    def forget(self, addresses: set[str]) -> None:
        """Drops what is known of engines that are gone, once it is settled."""
        for address in list(self._books):
            if address not in addresses and not self._books[address].busy:
                del self._books[address]
