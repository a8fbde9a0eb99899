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
        self.popular_crashes = 0
        self.any_report_lost = False

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
    ) -> None:
        """Crashes a target; each gateway observes its own aborted requests."""
        for number, requests in requests_by_gateway.items():
            suspects = tuple(
                crash_lib.Suspect(fingerprint, began_ms)
                for fingerprint, began_ms in requests
            )
            crash = crash_lib.Crash(incarnation_id, self.now_ms, suspects)
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
        self._check_agreement()

    def _check_agreement(self) -> None:
        """Checks that gateways agree once all reports have arrived."""
        COUNTS["checks"] += 1
        for fingerprint in (POISON, POPULAR):
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

    @stateful.invariant()
    def no_neighbour_is_refused(self) -> None:
        """A request that ran at only one crash is never quarantined."""
        COUNTS["checks"] += 1
        for evidence in self.gateways:
            quarantined = evidence.quarantined(self.now_ms)
            assert quarantined.keys() <= {POISON, POPULAR}, quarantined

    @stateful.invariant()
    def memory_is_bounded(self) -> None:
        """The number of records is bounded for any number of reports."""
        for evidence in self.gateways:
            assert len(evidence) <= crash_evidence.MAX_RECORDS
