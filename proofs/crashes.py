"""The state machine over requests that end targets, and others beside them.

Gateways see crashes and requests that end well, and tell each other; words are
lost, come twice and in any order, gateways restart knowing nothing.
"""

import collections
import dataclasses

from hypothesis import stateful
from hypothesis import strategies as st
from radishstack.connection import fleet_wire
from radishstack.process import crash as crash_lib
from radishstack.process import crash_evidence
from radishstack.process import incarnation

COUNTS: collections.Counter[str] = collections.Counter()
GATEWAYS = 3
POISON = "50" * 16
POPULAR = "07" * 16
# A target runs a request for longer than a word takes, and nobody sends the
# next one sooner; gateways could not agree on what came first otherwise.
MIN_RUN_MS = 30
MAX_RUN_MS = 900
# On the road of a word.
ROAD_MS = 3
MAX_PAUSE_MS = 30_000
MAX_NEIGHBOURS = 6
# Targets that may end under a request that is always refused by those who
# know, if no word is lost.
MOST_ENDED = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Word:
    """A datagram on its way.

    Attributes:
        to: Number of the gateway.
        by: Number of the gateway that told it, -1 for the store.
        data: Its bytes.
    """

    to: int
    by: int
    data: bytes
    told_at_ms: int


class CrashesMachine(stateful.RuleBasedStateMachine):
    """Gateways; one request that ends targets, a popular one, many others."""

    def __init__(self) -> None:
        """Starts with gateways that know nothing."""
        super().__init__()
        self.now_ms = 100_000
        self.gateways = [
            crash_evidence.CrashEvidence() for _ in range(GATEWAYS)
        ]
        self.words: list[Word] = []
        self.starts = 0
        self.neighbours: list[str] = []
        self.ended_in_a_row = 0
        self.popular_moments = 0
        self.lost_any = False

    def _start(self) -> incarnation.IncarnationId:
        self.starts += 1
        return incarnation.IncarnationId(f"i{self.starts}", self.starts)

    def _tell(
        self,
        by: int,
        records: list[crash_evidence.Record],
        only: int | None = None,
    ) -> None:
        told = tuple(
            fleet_wire.to_reported_record(one, self.now_ms) for one in records
        )
        data = fleet_wire.encode(fleet_wire.CrashReport(told))
        for to in range(GATEWAYS):
            if to != by and only in (None, to):
                self.words.append(Word(to, by, data, self.now_ms))

    def _crash(
        self,
        incarnation_id: incarnation.IncarnationId,
        seen: dict[int, list[tuple[str, int]]],
    ) -> None:
        """Ends a target; each gateway sees its own requests break off."""
        for number, requests in seen.items():
            suspects = tuple(
                crash_lib.Suspect(fingerprint, began_ms)
                for fingerprint, began_ms in requests
            )
            crash = crash_lib.Crash(incarnation_id, self.now_ms, suspects)
            self._tell(number, self.gateways[number].crashed(crash))

    def _fresh(self, count: int) -> list[tuple[str, int]]:
        """Returns requests of others, each of them asked once."""
        fresh = [
            f"{len(self.neighbours) + number:032x}" for number in range(count)
        ]
        self.neighbours += fresh
        return [
            (one, self.now_ms - 10 * number) for number, one in enumerate(fresh)
        ]

    def _quarantine(
        self, number: int, fingerprint: str
    ) -> crash_evidence.Quarantine | None:
        return self.gateways[number].quarantine(fingerprint, self.now_ms)

    def _is_sent(self, number: int, fingerprint: str) -> bool:
        if self._quarantine(number, fingerprint) is None:
            return True
        tried = self.gateways[number].may_send_trial(
            fingerprint, self.now_ms, number
        )
        COUNTS["tried"] += tried
        return tried

    @stateful.rule(
        number=st.integers(0, GATEWAYS - 1),
        run_ms=st.integers(MIN_RUN_MS, MAX_RUN_MS),
        beside=st.lists(
            st.integers(0, MAX_NEIGHBOURS), min_size=GATEWAYS, max_size=GATEWAYS
        ),
        popular_at=st.integers(-1, GATEWAYS - 1),
    )
    def poison_comes(
        self, number: int, run_ms: int, beside: list[int], popular_at: int
    ) -> None:
        """It ends its target, unless it is refused; others run there too."""
        if not self._is_sent(number, POISON):
            COUNTS["refused"] += 1
            return
        self.now_ms += MIN_RUN_MS
        began_ms = self.now_ms
        seen = {
            gateway: self._fresh(count) for gateway, count in enumerate(beside)
        }
        seen[number].append((POISON, began_ms))
        if popular_at >= 0 and self._is_sent(popular_at, POPULAR):
            seen[popular_at].append((POPULAR, began_ms))
            self.popular_moments += 1
        self.now_ms += run_ms
        self._crash(self._start(), seen)
        self.ended_in_a_row += 1
        COUNTS["fault crash"] += 1

    @stateful.rule(count=st.integers(2, 8), spread_ms=st.integers(0, 200))
    def power_is_cut(self, count: int, spread_ms: int) -> None:
        """Many targets end at one moment, popular requests on all of them."""
        self.now_ms += MIN_RUN_MS
        began_ms = self.now_ms
        self.now_ms += MAX_RUN_MS
        cut_at_ms = self.now_ms
        for target in range(count):
            self.now_ms = cut_at_ms + spread_ms * target // count
            self._crash(
                self._start(),
                {target % GATEWAYS: [(POPULAR, began_ms), *self._fresh(3)]},
            )
        self.popular_moments += 1
        COUNTS["fault power"] += 1

    @stateful.rule(number=st.integers(0, GATEWAYS - 1))
    def popular_ends_well(self, number: int) -> None:
        """One of the many equal requests is answered."""
        if not self._is_sent(number, POPULAR):
            return
        self.now_ms += MIN_RUN_MS
        record = self.gateways[number].succeeded(POPULAR, self.now_ms)
        if record is not None:
            self._tell(number, [record])
            self.popular_moments = 0
            COUNTS["cleared"] += 1

    @stateful.rule(pick=st.integers(0, 10**6), keep=st.booleans())
    def word_arrives(self, pick: int, keep: bool) -> None:
        """Any word, in any order; one that is kept comes once more."""
        if not self.words:
            return
        index = pick % len(self.words)
        word = self.words[index] if keep else self.words.pop(index)
        self._hear(word)

    def _hear(self, word: Word) -> None:
        news = fleet_wire.decode(word.data)
        evidence = self.gateways[word.to]
        for told in news.records:
            record = fleet_wire.from_reported_record(
                told, word.told_at_ms + ROAD_MS
            )
            evidence.take(record)
            unheard = evidence.missed_clearance(record)
            if unheard is not None:
                self._tell(word.to, [unheard], only=word.by)

    @stateful.rule(pick=st.integers(0, 10**6))
    def word_is_lost(self, pick: int) -> None:
        """Datagrams are lost."""
        if self.words:
            self.words.pop(pick % len(self.words))
            self.lost_any = True
            COUNTS["fault lost word"] += 1

    @stateful.rule(number=st.integers(0, GATEWAYS - 1))
    def gateway_restarts(self, number: int) -> None:
        """It knows nothing, and asks another."""
        self.gateways[number] = crash_evidence.CrashEvidence()
        other = (number + 1) % GATEWAYS
        self._tell(other, list(self.gateways[other].recurring()), only=number)
        self.lost_any = True
        COUNTS["fault restart"] += 1

    @stateful.rule(pause_ms=st.integers(0, MAX_PAUSE_MS))
    def time_passes(self, pause_ms: int) -> None:
        """All words on their way arrive, and what matters is passed on."""
        for _ in range(2):
            while self.words:
                self._hear(self.words.pop(0))
            for number, evidence in enumerate(self.gateways):
                self._tell(number, list(evidence.recurring()))
        while self.words:
            self._hear(self.words.pop(0))
        self.now_ms += pause_ms
        self._check_settled()

    def _check_settled(self) -> None:
        """With all words told, gateways agree."""
        COUNTS["checks"] += 1
        for fingerprint in (POISON, POPULAR):
            quarantines = {
                self._quarantine(number, fingerprint) is not None
                for number in range(GATEWAYS)
            }
            assert len(quarantines) == 1, (fingerprint, self.gateways)
        if self._quarantine(0, POPULAR) is not None and not self.lost_any:
            assert self.popular_moments >= MOST_ENDED
        if self.ended_in_a_row > MOST_ENDED and not self.lost_any:
            known = self.gateways[0].record(POISON).observations
            held = self._quarantine(0, POISON)
            assert held is not None or len(known) <= MOST_ENDED, known

    @stateful.invariant()
    def no_neighbour_is_refused(self) -> None:
        """Who stands at one crash is never refused."""
        COUNTS["checks"] += 1
        for evidence in self.gateways:
            refused = evidence.quarantined(self.now_ms)
            assert refused.keys() <= {POISON, POPULAR}, refused

    @stateful.invariant()
    def memory_is_bounded(self) -> None:
        """However much is told."""
        for evidence in self.gateways:
            assert len(evidence) <= crash_evidence.MAX_RECORDS
