"""State machine over requests that crash targets, and requests beside them.

Gateways observe crashes and successful requests and report them to each other.
Reports are lost, duplicated and reordered; gateways restart without state.
"""

import collections
import dataclasses

from hypothesis import stateful
from hypothesis import strategies as st
from radishstack.connection import fleet_wire
from radishstack.process import crash as crash_lib
from radishstack.process import crash_evidence
from radishstack.process import incarnation
from radishstack.process import quarantine_rules
from radishstack.process import suspicion

COUNTS: collections.Counter[str] = collections.Counter()
GATEWAY_COUNT = 3
POISON = "50" * 16
POPULAR = "07" * 16
# A block that crashes targets, in requests that are equal in nothing else, and
# the first block of all prompts.
POISON_BLOCK = "b0" * 16
FIRST_BLOCK = "f1" * 16
# Each run, and the time until the next request, is longer than the delay of a
# report. Otherwise gateways could not agree on the order of events.
MIN_RUN_MS = 30
MAX_RUN_MS = 900
REPORT_DELAY_MS = 3
MAX_PAUSE_MS = 30_000
MAX_NEIGHBOURS = 6
# Targets that a request may crash before all gateways quarantine it, if no
# report is lost.
MAX_CRASHED_TARGETS = 3
# Targets that a block may crash before all gateways quarantine it although it
# was served lately, and pauses in which answers on the first block end.
MAX_CRASHED_BY_BLOCK = 5
MIN_SERVING_PAUSE_MS = 1_000
BLOCK = crash_lib.FeatureKind.PROMPT_BLOCK


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """A datagram in flight.

    Attributes:
        receiver: Number of the gateway that receives it.
        sender: Number of the gateway that sent it, -1 for the store.
        data: The encoded message.
        sent_at_ms: Time of sending.
    """

    receiver: int
    sender: int
    data: bytes
    sent_at_ms: int


class CrashesMachine(stateful.RuleBasedStateMachine):
    """Gateways, a crashing request, a popular request and many others."""

    def __init__(self) -> None:
        """Starts with gateways that have no evidence."""
        super().__init__()
        self.now_ms = 100_000
        self.gateways = [
            crash_evidence.CrashEvidence() for _ in range(GATEWAY_COUNT)
        ]
        self.reports: list[Report] = []
        self.incarnation_count = 0
        self.neighbours: list[str] = []
        self.poison_crashes = 0
        self.block_crashes = 0
        self.unexplained_crashes = 0
        self.popular_crashes = 0
        self.any_report_lost = False
        self.first_served_at_ms = 0
        self._serve_first_block()

    def _new_incarnation(self) -> incarnation.IncarnationId:
        self.incarnation_count += 1
        return incarnation.IncarnationId(
            f"i{self.incarnation_count}", self.incarnation_count
        )

    def _send(
        self,
        sender: int,
        records: list[suspicion.Record],
        only: int | None = None,
    ) -> None:
        wire_records = tuple(
            fleet_wire.to_reported_record(one, self.now_ms) for one in records
        )
        data = fleet_wire.encode(fleet_wire.CrashReport(wire_records))
        for receiver in range(GATEWAY_COUNT):
            if receiver != sender and only in (None, receiver):
                self.reports.append(Report(receiver, sender, data, self.now_ms))

    def _crash(
        self,
        incarnation_id: incarnation.IncarnationId,
        requests_by_gateway: dict[int, list[tuple[str, int]]],
        block: tuple[int, str] | None = None,
    ) -> None:
        """Crashes a target; each gateway observes its own aborted requests.

        All prompts have the first block.

        Args:
            incarnation_id: The incarnation of the target.
            requests_by_gateway: Aborted requests with their send times.
            block: A gateway, and a further block of one of its requests.
        """
        if self.now_ms - self.first_served_at_ms >= MIN_SERVING_PAUSE_MS:
            self._serve_first_block()
        for number, requests in requests_by_gateway.items():
            suspects = [
                crash_lib.Suspect(fingerprint, began_ms)
                for fingerprint, began_ms in requests
            ]
            if requests:
                first_began_ms = min(began_ms for _, began_ms in requests)
                suspects.append(
                    crash_lib.Suspect(FIRST_BLOCK, first_began_ms, 1)
                )
            if block is not None and number == block[0]:
                _, began_ms = requests[-1]
                suspects.append(crash_lib.Suspect(block[1], began_ms, 2))
            crash = crash_lib.Crash(
                incarnation_id, self.now_ms, tuple(suspects)
            )
            self._send(number, self.gateways[number].crashed(crash))

    def _new_neighbours(self, count: int) -> list[tuple[str, int]]:
        """Returns other requests, each of which is sent only once."""
        fresh = [
            f"{len(self.neighbours) + number:032x}" for number in range(count)
        ]
        self.neighbours += fresh
        return [
            (one, self.now_ms - 10 * number) for number, one in enumerate(fresh)
        ]

    def _quarantine(
        self, number: int, fingerprint: str
    ) -> quarantine_rules.Quarantine | None:
        return self.gateways[number].quarantine(fingerprint, self.now_ms)

    def _may_send(self, number: int, fingerprint: str) -> bool:
        if self._quarantine(number, fingerprint) is None:
            return True
        is_trial = self.gateways[number].may_send_trial(
            fingerprint, self.now_ms, number
        )
        COUNTS["tried"] += is_trial
        return is_trial

    @stateful.rule(
        number=st.integers(0, GATEWAY_COUNT - 1),
        run_ms=st.integers(MIN_RUN_MS, MAX_RUN_MS),
        beside=st.lists(
            st.integers(0, MAX_NEIGHBOURS),
            min_size=GATEWAY_COUNT,
            max_size=GATEWAY_COUNT,
        ),
        popular_at=st.integers(-1, GATEWAY_COUNT - 1),
    )
    def poison_comes(
        self, number: int, run_ms: int, beside: list[int], popular_at: int
    ) -> None:
        """The request crashes its target and aborts others, unless rejected."""
        if not self._may_send(number, POISON):
            COUNTS["refused"] += 1
            return
        self.now_ms += MIN_RUN_MS
        began_ms = self.now_ms
        requests_by_gateway = {
            gateway: self._new_neighbours(count)
            for gateway, count in enumerate(beside)
        }
        requests_by_gateway[number].append((POISON, began_ms))
        if popular_at >= 0 and self._may_send(popular_at, POPULAR):
            requests_by_gateway[popular_at].append((POPULAR, began_ms))
            self.popular_crashes += 1
        self.now_ms += run_ms
        self._crash(self._new_incarnation(), requests_by_gateway)
        self.poison_crashes += 1
        COUNTS["fault crash"] += 1

    @stateful.rule(
        number=st.integers(0, GATEWAY_COUNT - 1),
        run_ms=st.integers(MIN_RUN_MS, MAX_RUN_MS),
        beside=st.lists(
            st.integers(0, MAX_NEIGHBOURS),
            min_size=GATEWAY_COUNT,
            max_size=GATEWAY_COUNT,
        ),
    )
    def poison_block_comes(
        self, number: int, run_ms: int, beside: list[int]
    ) -> None:
        """A request with the block crashes its target, unless rejected."""
        if not self._may_send(number, POISON_BLOCK):
            COUNTS["block refused"] += 1
            return
        self.now_ms += MIN_RUN_MS
        requests_by_gateway = {
            gateway: self._new_neighbours(count)
            for gateway, count in enumerate(beside)
        }
        requests_by_gateway[number] += self._new_neighbours(1)
        self.now_ms += run_ms
        self._crash(
            self._new_incarnation(),
            requests_by_gateway,
            (number, POISON_BLOCK),
        )
        self.block_crashes += 1
        COUNTS["fault block crash"] += 1

    @stateful.rule(pause_ms=st.integers(1, MAX_PAUSE_MS))
    def old_answer_ends(self, pause_ms: int) -> None:
        """An answer on the block ends that began before its first crash."""
        if self.block_crashes:
            return
        for number in range(GATEWAY_COUNT):
            self.gateways[number].succeeded(
                POISON_BLOCK, self.now_ms - pause_ms, BLOCK
            )
        self.now_ms += 1

    @stateful.rule(count=st.integers(2, 8), spread_ms=st.integers(0, 200))
    def power_is_cut(self, count: int, spread_ms: int) -> None:
        """Many targets crash simultaneously; all run the popular request."""
        self.now_ms += MIN_RUN_MS
        began_ms = self.now_ms
        self.now_ms += MAX_RUN_MS
        cut_at_ms = self.now_ms
        for target in range(count):
            self.now_ms = cut_at_ms + spread_ms * target // count
            self._crash(
                self._new_incarnation(),
                {
                    target % GATEWAY_COUNT: [
                        (POPULAR, began_ms),
                        *self._new_neighbours(3),
                    ]
                },
            )
        self.popular_crashes += 1
        self.unexplained_crashes += 1
        COUNTS["fault power"] += 1

    @stateful.rule(number=st.integers(0, GATEWAY_COUNT - 1))
    def popular_ends_well(self, number: int) -> None:
        """One instance of the popular request succeeds."""
        if not self._may_send(number, POPULAR):
            return
        self.now_ms += MIN_RUN_MS
        record = self.gateways[number].succeeded(POPULAR, self.now_ms)
        if record is not None:
            self._send(number, [record])
            self.popular_crashes = 0
            COUNTS["cleared"] += 1

    @stateful.rule(pick=st.integers(0, 10**6), keep=st.booleans())
    def word_arrives(self, pick: int, keep: bool) -> None:
        """A report arrives, in any order; a kept one arrives again later."""
        if not self.reports:
            return
        index = pick % len(self.reports)
        report = self.reports[index] if keep else self.reports.pop(index)
        self._handle_report(report)

    def _handle_report(self, report: Report) -> None:
        message = fleet_wire.decode(report.data)
        evidence = self.gateways[report.receiver]
        for wire_record in message.records:
            record = fleet_wire.from_reported_record(
                wire_record, report.sent_at_ms + REPORT_DELAY_MS
            )
            evidence.take(record)
            clearance = evidence.missed_clearance(record)
            if clearance is not None:
                self._send(report.receiver, [clearance], only=report.sender)

    @stateful.rule(pick=st.integers(0, 10**6))
    def word_is_lost(self, pick: int) -> None:
        """A report is lost."""
        if self.reports:
            self.reports.pop(pick % len(self.reports))
            self.any_report_lost = True
            COUNTS["fault lost word"] += 1

    @stateful.rule(number=st.integers(0, GATEWAY_COUNT - 1))
    def gateway_restarts(self, number: int) -> None:
        """A gateway loses its state and requests that of another one."""
        self.gateways[number] = crash_evidence.CrashEvidence()
        other = (number + 1) % GATEWAY_COUNT
        self._send(other, list(self.gateways[other].recurring()), only=number)
        self.any_report_lost = True
        COUNTS["fault restart"] += 1

    @stateful.rule(pause_ms=st.integers(0, MAX_PAUSE_MS))
    def time_passes(self, pause_ms: int) -> None:
        """All reports in flight arrive, and recurring ones are gossiped."""
        for _ in range(2):
            while self.reports:
                self._handle_report(self.reports.pop(0))
            for number, evidence in enumerate(self.gateways):
                self._send(number, list(evidence.recurring()))
        while self.reports:
            self._handle_report(self.reports.pop(0))
        self.now_ms += pause_ms
        self._serve_first_block()
        self._check_agreement()

    def _serve_first_block(self) -> None:
        """Answers on the first block end well at all gateways.

        Some do so every second, unless no target runs.
        """
        self.first_served_at_ms = self.now_ms
        for number, evidence in enumerate(self.gateways):
            record = evidence.succeeded(
                FIRST_BLOCK, self.now_ms - MIN_SERVING_PAUSE_MS // 2, BLOCK
            )
            if record is not None:
                self._send(number, [record])
        self.unexplained_crashes = 0
        COUNTS["first block served"] += 1

    def _check_agreement(self) -> None:
        """Checks that gateways agree once all reports have arrived."""
        COUNTS["checks"] += 1
        for fingerprint in (POISON, POPULAR, POISON_BLOCK):
            quarantines = {
                self._quarantine(number, fingerprint) is not None
                for number in range(GATEWAY_COUNT)
            }
            assert len(quarantines) == 1, (fingerprint, self.gateways)
        if (
            self._quarantine(0, POPULAR) is not None
            and not self.any_report_lost
        ):
            assert self.popular_crashes >= MAX_CRASHED_TARGETS
        if (
            self.poison_crashes > MAX_CRASHED_TARGETS
            and not self.any_report_lost
        ):
            known = self.gateways[0].record(POISON).observations
            quarantine = self._quarantine(0, POISON)
            assert (
                quarantine is not None or len(known) <= MAX_CRASHED_TARGETS
            ), known
        self._check_block()

    def _check_block(self) -> None:
        """Checks that a block that crashed enough targets is quarantined."""
        record = self.gateways[0].record(POISON_BLOCK)
        if self.any_report_lost or not record.observations:
            return
        first, last = record.observations[0], record.observations[-1]
        span_ms = last.ended_at_ms - first.ended_at_ms
        if (
            suspicion.count_crashes(record) >= MAX_CRASHED_BY_BLOCK
            and suspicion.count_consecutive(record) > 1
            and span_ms >= quarantine_rules.MIN_UNSERVED_MS
        ):
            COUNTS["block judged"] += 1
            assert self._quarantine(0, POISON_BLOCK) is not None, record

    @stateful.invariant()
    def no_neighbour_is_refused(self) -> None:
        """A request that ran at only one crash is never quarantined."""
        COUNTS["checks"] += 1
        for evidence in self.gateways:
            quarantined = evidence.quarantined(self.now_ms)
            allowed = {POISON, POPULAR, POISON_BLOCK}
            if self.unexplained_crashes or self.any_report_lost:
                # A power cut has no other cause that a gateway could know.
                allowed.add(FIRST_BLOCK)
            assert quarantined.keys() <= allowed, quarantined

    @stateful.invariant()
    def memory_is_bounded(self) -> None:
        """The number of records is bounded for any number of reports."""
        for evidence in self.gateways:
            assert len(evidence) <= crash_evidence.MAX_RECORDS
