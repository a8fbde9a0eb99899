"""State machine over a target that restarts under the same name.

Store entries, status updates of its sidecar and engine reports arrive late,
duplicated and reordered. The resident adapters of each incarnation are named
after its start time. Start times are random, since clocks may be set back or
ahead.
"""

import collections
import dataclasses
import random

from hypothesis import stateful
from hypothesis import strategies as st
from radishstack.process import adapter_keeper
from radishstack.process import incarnation
from radishstack.process import placement as placement_lib
from radishstack.process import roster as roster_lib
from radishstack.process import store_position

COUNTS: collections.Counter[str] = collections.Counter()
NAME = "i1"
BASE = "base"
SERVICE = "llm"
ADDRESS = "10.0.0.1:80"
NOW_MS = 100_000
MAX_START_TIME_MS = 10**6
# A small number, so that messages about different incarnations interleave.
MAX_INCARNATIONS = 5


@dataclasses.dataclass(frozen=True, slots=True)
class StatusUpdate:
    """What the sidecar reports about the engine."""

    born_ms: int
    former_born_ms: int


def _residents_of(born_ms: int) -> dict[str, int]:
    """Returns adapters that only the incarnation of this start time holds."""
    return {BASE: 1, f"{BASE}/{born_ms}": 1}


class IncarnationsMachine(stateful.RuleBasedStateMachine):
    """An engine, its sidecar, the store, and one gateway's state."""

    def __init__(self) -> None:
        """Starts with a registered engine that the gateway has read."""
        super().__init__()
        self.start_times_ms = [500_000]
        self.records: list[roster_lib.Listing] = []
        self.updates: list[StatusUpdate] = []
        self.era = 1
        self.revision = 0
        self.read_position = store_position.StorePosition()
        self.keeper = adapter_keeper.Keeper()
        self.former_born_ms = 0
        self.roster = roster_lib.Roster(2_500)
        self.placement = placement_lib.Placement(random.Random(1), "north")
        self._register(self.start_times_ms[-1])
        self._read(self.records[-1])
        self._report()

    @property
    def born_ms(self) -> int:
        """Start time of the current incarnation."""
        return self.start_times_ms[-1]

    @property
    def member(self) -> roster_lib.Member:
        """The gateway's state of the target."""
        return self.roster.members[NAME]

    def _register(self, born_ms: int) -> None:
        self.revision += 1
        self.records.append(
            roster_lib.Listing(
                instance=NAME,
                service=SERVICE,
                address=ADDRESS,
                failure_domain="north",
                leaving=False,
                slot_count=8,
                listed_at=1,
                changed_at=self.revision,
                residents=_residents_of(born_ms),
                born_ms=born_ms,
                era=self.era,
            )
        )

    def _read(self, record: roster_lib.Listing) -> None:
        self.read_position = max(self.read_position, record.changed_position)
        self.roster.upsert(record)

    def _report(self) -> None:
        report = adapter_keeper.Report(
            accepted_count=len(self.start_times_ms),
            residents=_residents_of(self.born_ms),
            in_transit={},
            busy=False,
            running=0,
            queued=0,
            born_ms=self.born_ms,
        )
        self.former_born_ms = self.keeper.observe(report) or self.former_born_ms
        self.updates.append(StatusUpdate(self.born_ms, self.former_born_ms))

    @stateful.rule(born_ms=st.integers(1, MAX_START_TIME_MS))
    def restart(self, born_ms: int) -> None:
        """The engine restarts with any start time not used before."""
        if (
            born_ms in self.start_times_ms
            or len(self.start_times_ms) >= MAX_INCARNATIONS
        ):
            return
        self.start_times_ms.append(born_ms)
        COUNTS["fault restart"] += 1

    @stateful.rule(first=st.integers(1, 500), second=st.integers(501, 1_000))
    def start_briefly(self, first: int, second: int) -> None:
        """An incarnation registers and ends before its sidecar polls it."""
        self.restart(first)
        self._register(self.born_ms)
        self.restart(second)

    @stateful.rule()
    def register(self) -> None:
        """The engine writes its entry, immediately or later."""
        self._register(self.born_ms)

    @stateful.rule()
    def write_lands_late(self) -> None:
        """A write of a former incarnation takes effect after its end."""
        position = store_position.StorePosition(self.era, self.revision)
        if len(self.start_times_ms) < 2 or self.read_position < position:
            return
        if self.member.listing.born_ms != self.born_ms:
            return
        if self.start_times_ms[-2] not in self.member.former:
            # The gateway can't distinguish an incarnation that it never
            # observed from a new one.
            return
        self._register(self.start_times_ms[-2])
        COUNTS["fault late write"] += 1

    @stateful.rule(pick=st.integers(0, 10**6))
    def restore(self, pick: int) -> None:
        """The store is restored from an older backup and reuses revisions."""
        current = [record for record in self.records if record.era == self.era]
        record = current[pick % len(current)]
        self.era += 1
        self.revision = record.changed_at
        self.records.append(dataclasses.replace(record, era=self.era))
        COUNTS["fault restore"] += 1

    @stateful.rule()
    def settle(self) -> None:
        """The roster applies entries that it has withheld."""
        self.roster.apply_withheld(NOW_MS)

    @stateful.rule()
    def read_newest(self) -> None:
        """The gateway's watch delivers the newest entry."""
        self._read(self.records[-1])

    @stateful.rule(pick=st.integers(0, 10**6))
    def read_old(self, pick: int) -> None:
        """A peer or a late response delivers any former entry."""
        self._read(self.records[pick % len(self.records)])
        COUNTS["fault old entry"] += 1

    @stateful.rule()
    def report(self) -> None:
        """The sidecar polls the engine and sends a status update."""
        self._report()

    @stateful.rule(pick=st.integers(0, 10**6))
    def handle_update(self, pick: int) -> None:
        """The gateway receives any status update that was ever sent."""
        update = self.updates[pick % len(self.updates)]
        incarnation_id = incarnation.IncarnationId(NAME, update.born_ms)
        self.roster.restarted(incarnation_id, update.former_born_ms)
        if incarnation_id.is_other(self.member.listing.incarnation_id):
            return
        view = placement_lib.View(
            NAME, NOW_MS, 0, 0, _residents_of(update.born_ms), frozenset()
        )
        view.born_ms = update.born_ms
        self.placement.handle_update(ADDRESS, view)

    @stateful.rule()
    def refuse(self) -> None:
        """The target rejects a request for a former incarnation."""
        if self.member.listing.born_ms != self.born_ms:
            self.roster.ended(NAME)

    @stateful.invariant()
    def nothing_of_a_former_start_is_believed(self) -> None:
        """Resident and warm adapters belong to the listed incarnation."""
        COUNTS["checks"] += 1
        expected = _residents_of(self.member.listing.born_ms)
        residents = self.placement.residents(self.member, NOW_MS)
        assert set(residents) <= set(expected), (residents, expected)
        view = self.placement.view_of(self.member)
        if view is not None:
            assert set(self.placement.warm[ADDRESS]) <= set(expected)

    @stateful.invariant()
    def the_list_is_believed_in_the_end(self) -> None:
        """The current incarnation is usable once the newest entry is read."""
        newest = self.records[-1]
        is_latest_current = newest.born_ms == self.born_ms
        if (
            not is_latest_current
            or self.read_position < newest.changed_position
        ):
            return
        if self.member.withheld is not None:
            self.roster.apply_withheld(NOW_MS)
        COUNTS["checks"] += 1
        assert self.member.listing.born_ms == self.born_ms
        assert self.roster.usable(SERVICE, NOW_MS) == [self.member]

    @stateful.invariant()
    def orders_name_the_count_of_this_start(self) -> None:
        """The keeper's warm adapters all belong to the last report."""
        report = self.keeper.report
        assert report is not None
        assert set(self.keeper._warm) <= set(report.residents)
