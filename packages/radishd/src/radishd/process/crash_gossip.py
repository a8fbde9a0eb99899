"""Exchange of crash evidence between gateways.

A request that crashes targets may be repeated through any gateway. Each crash,
a rare event, is reported to all other gateways at once. Suspects of several
crashes are also gossiped to one gateway at a time, so that the cost grows with
neither gateways nor targets, and a gateway that was cut off or has just started
receives them within seconds.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import random

import anyio
from radishstack.connection import fleet_wire
from radishstack.process import crash as crash_lib
from radishstack.process import crash_evidence
from radishstack.process import quarantine_rules
from radishstack.process import rendezvous
from radishstack.process import suspicion

from radishd.process import clock
from radishd.process import decision_log
from radishd.process import fleet_socket
from radishd.process import metrics as metrics_lib

MS_PER_S = 1_000
# Delay before reports are sent, so that several share a datagram.
COALESCE_MS = 10
# Keeps a datagram below a few kilobytes.
MAX_RECORDS_PER_DATAGRAM = 24
# Interval of gossip, longer once the newest crash is older than
# RECENT_CRASH_MS.
GOSSIP_INTERVAL_MS = 1_000
RECENT_CRASH_MS = 60_000
OLD_GOSSIP_INTERVAL_MS = 10_000
# A gateway knows few others at its start, so it repeats the request.
START_REQUEST_DELAYS_MS = (0, 1_000, 3_000)
MAX_REQUEST_RECEIVERS = 3
# Number of gateways that rewrite each record after a restore of the store.
REWRITER_COUNT = 2
# Average number of gateways that report a success of a popular prompt block.
CLEARANCE_REPORTERS = 8
EXPIRE_INTERVAL_MS = 10_000

Send = Callable[
    [Iterable[fleet_socket.Address], fleet_wire.CrashReport], Awaitable[None]
]


class CrashGossip:
    """Crash evidence of one gateway, exchanged with the others.

    Attributes:
        evidence: Crashes and suspects known here.
    """

    def __init__(
        self,
        own_host: str,
        others: Callable[[], list[fleet_socket.Address]],
        send: Send,
        log: decision_log.DecisionLog,
        metrics: metrics_lib.Metrics,
        random_source: random.Random,
        on_quarantined: Callable[[suspicion.Record], None],
        notify_waiting: Callable[[], None],
    ) -> None:
        """Starts without evidence.

        Args:
            own_host: Host by which the others know this gateway.
            others: Returns the datagram addresses of the other gateways.
            send: Sends a report to the given addresses.
            log: Where quarantines are logged.
            metrics: Where quarantined requests are counted.
            random_source: Chooses the receivers of gossip.
            on_quarantined: Called with the record of a request whose
                quarantine begins or changes with a crash observed here.
            notify_waiting: Wakes waiting requests, since one of them may be
                quarantined now.
        """
        self.evidence = crash_evidence.CrashEvidence()
        self._own_host = own_host
        self._others = others
        self._send = send
        self._log = log
        self._metrics = metrics
        self._random = random_source
        self._on_quarantined = on_quarantined
        self._notify_waiting = notify_waiting
        self._pending: list[suspicion.Record] = []
        self._requesters: set[fleet_socket.Address] = set()
        self._missed_records: dict[
            fleet_socket.Address, list[suspicion.Record]
        ] = {}
        self._request_pending = False
        self._wake = anyio.Event()
        self._quarantined: dict[str, int] = {}
        self._trials: set[str] = set()
        self._expired_at_ms = clock.boot_ms()

    def crashed(self, crash: crash_lib.Crash) -> None:
        """Records a crash observed here, and reports it to all others."""
        records = self.evidence.crashed(crash)
        self._report_soon(records)
        for record in records:
            if self._update_quarantine(record.fingerprint, source=""):
                self._on_quarantined(self.evidence.record(record.fingerprint))

    def succeeded(
        self,
        fingerprint: str,
        at_ms: int,
        kind: crash_lib.FeatureKind = crash_lib.FeatureKind.REQUEST,
    ) -> None:
        """Records that a request with a feature completed without a crash.

        Args:
            fingerprint: Fingerprint of the feature.
            at_ms: When it completed; for a prompt block, when its answer began.
            kind: Kind of the feature.
        """
        is_quarantined = fingerprint in self._quarantined
        record = self.evidence.succeeded(fingerprint, at_ms, kind)
        if record is None:
            return
        self._log.write(
            "suspect_cleared", fingerprint=fingerprint, kind=kind.value
        )
        if is_quarantined or self._may_report_clearance(kind):
            self._report_soon([record])

    def _may_report_clearance(self, kind: crash_lib.FeatureKind) -> bool:
        """Whether to report a success, as not all gateways need to.

        A popular prompt block succeeds at all gateways within a moment.
        """
        if kind is crash_lib.FeatureKind.REQUEST:
            return True
        others = len(self._others())
        return self._random.random() * others < CLEARANCE_REPORTERS

    def _report_soon(self, records: list[suspicion.Record]) -> None:
        self._pending.extend(records)
        self._wake.set()

    def quarantine(
        self, fingerprint: str
    ) -> quarantine_rules.Quarantine | None:
        """Returns the quarantine of a request, None if there is none."""
        return self.evidence.quarantine(fingerprint, clock.boot_ms())

    def is_quarantined(self, fingerprints: Iterable[str]) -> bool:
        """Whether one of the features is quarantined."""
        return bool(len(self.evidence)) and any(
            self.quarantine(one) is not None for one in fingerprints
        )

    @property
    def has_trial(self) -> bool:
        """Whether the trial of a quarantined request is running."""
        return bool(self._trials)

    def begin_trial(self, fingerprint: str) -> bool:
        """Begins a trial of a quarantined request, if one is due here.

        There is at most one trial of a request at a time.

        Returns:
            Whether the trial has begun. The caller must then call
            ``end_trial`` once the request has completed.
        """
        if fingerprint in self._trials:
            return False
        if not self.evidence.may_send_trial(
            fingerprint, clock.boot_ms(), self._rank(fingerprint)
        ):
            return False
        self._trials.add(fingerprint)
        self._log.must("quarantine_trial", fingerprint=fingerprint)
        return True

    def end_trial(self, fingerprint: str) -> None:
        """Ends the trial of a request, whatever its outcome."""
        self._trials.discard(fingerprint)

    def _rank(self, fingerprint: str) -> int:
        names = [self._own_host, *(host for host, _ in self._others())]
        return rendezvous.order(fingerprint, names).index(self._own_host)

    def records_to_rewrite(self) -> list[suspicion.Record]:
        """Returns records that this gateway rewrites to a restored store."""
        return [
            self.evidence.record(fingerprint)
            for fingerprint in self._quarantined
            if self._rank(fingerprint) < REWRITER_COUNT
        ]

    def _update_quarantine(self, fingerprint: str, *, source: str) -> bool:
        """Logs the beginning, change or end of a quarantine.

        Returns:
            Whether the request is in a quarantine that is new or has changed.
        """
        quarantine = self.quarantine(fingerprint)
        moments = quarantine.moments if quarantine is not None else 0
        if self._quarantined.get(fingerprint, 0) == moments:
            return False
        if quarantine is None:
            del self._quarantined[fingerprint]
            self._log.must("quarantine_ended", fingerprint=fingerprint)
            return False
        self._quarantined[fingerprint] = moments
        record = self.evidence.record(fingerprint)
        self._log.must(
            "request_quarantined",
            fingerprint=fingerprint,
            kind=record.kind.value,
            crashes=moments,
            targets=[one.incarnation_id.name for one in record.observations],
            last_ago_ms=clock.boot_ms() - quarantine.last_at_ms,
            refused_for_ms=quarantine.left_ms,
            source=source or "own",
        )
        return True

    def handle_report(
        self, report: fleet_wire.CrashReport, sender: fleet_socket.Address
    ) -> None:
        """Handles a report of another gateway, and answers its request."""
        now_ms = clock.boot_ms()
        entries = [
            fleet_wire.from_reported_record(record, now_ms)
            for record in report.records
        ]
        self.merge(entries, source=sender[0])
        missed_records = list(
            filter(None, map(self.evidence.missed_clearance, entries))
        )
        if missed_records:
            self._missed_records.setdefault(sender, []).extend(missed_records)
            self._wake.set()
        if report.asks:
            self._requesters.add(sender)
            self._wake.set()

    def merge(
        self, records: Iterable[suspicion.Record], *, source: str
    ) -> None:
        """Merges records of other gateways or of the store."""
        is_any_new = False
        for record in records:
            if self.evidence.take(record):
                is_any_new |= self._update_quarantine(
                    record.fingerprint, source=source
                )
        if is_any_new:
            self._notify_waiting()

    async def _send_records(
        self,
        addresses: Iterable[fleet_socket.Address],
        records: list[suspicion.Record],
    ) -> None:
        now_ms = clock.boot_ms()
        entries = [
            fleet_wire.to_reported_record(record, now_ms) for record in records
        ]
        for first in range(0, len(entries), MAX_RECORDS_PER_DATAGRAM):
            batch = tuple(entries[first : first + MAX_RECORDS_PER_DATAGRAM])
            await self._send(addresses, fleet_wire.CrashReport(batch))

    async def send_reports(self) -> None:
        """Sends reports to all others and to requesters until cancelled."""
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            await anyio.sleep(COALESCE_MS / MS_PER_S)
            records, self._pending = self._pending, []
            requesters, self._requesters = self._requesters, set()
            await self._send_records(self._others(), records)
            if self._request_pending:
                self._request_pending = False
                await self._request_reports()
            await self._send_records(
                requesters, list(self.evidence.recurring())
            )
            missed_records, self._missed_records = self._missed_records, {}
            for address, missed in missed_records.items():
                await self._send_records((address,), missed)

    async def gossip_recurring(self) -> None:
        """Reports recurring suspects to one other gateway at an interval."""
        while True:
            records = list(self.evidence.recurring())
            await anyio.sleep(self._pause_ms(records) / MS_PER_S)
            others = self._others()
            if records and others:
                await self._send_records(
                    (self._random.choice(others),), records
                )

    def _pause_ms(self, records: list[suspicion.Record]) -> int:
        newest_ms = max(
            (record.observations[-1].ended_at_ms for record in records),
            default=suspicion.NEVER_MS,
        )
        is_recent = clock.boot_ms() - newest_ms < RECENT_CRASH_MS
        return (
            GOSSIP_INTERVAL_MS
            if is_recent or not records
            else OLD_GOSSIP_INTERVAL_MS
        )

    def request_reports_soon(self) -> None:
        """Requests reports missed while this gateway was unreachable."""
        self._request_pending = True
        self._wake.set()

    async def _request_reports(self) -> None:
        others = self._others()
        receivers = self._random.sample(
            others, min(MAX_REQUEST_RECEIVERS, len(others))
        )
        await self._send(receivers, fleet_wire.CrashReport(asks=True))

    async def request_reports_at_start(self) -> None:
        """Requests reports several times: peers known first may be gone."""
        began_ms = clock.boot_ms()
        for after_ms in START_REQUEST_DELAYS_MS:
            left_ms = began_ms + after_ms - clock.boot_ms()
            await anyio.sleep(max(0, left_ms) / MS_PER_S)
            await self._request_reports()
        await anyio.sleep_forever()

    def sweep(self) -> None:
        """Expires old evidence, and logs quarantines that have ended."""
        now_ms = clock.boot_ms()
        if now_ms - self._expired_at_ms > EXPIRE_INTERVAL_MS:
            self._expired_at_ms = now_ms
            self.evidence.forget(now_ms)
        for fingerprint in list(self._quarantined):
            self._update_quarantine(fingerprint, source="")
        self._metrics.quarantined_requests.set({}, len(self._quarantined))
