"""Detects requests that crash the targets that run them.

All requests on a crashing target fail with it: up to a full batch, of which at
most one caused the crash. Its feature, the request as a whole or a block of its
prompt, is identified because it was running at every crash and no request with
it has succeeded since. Gateways merge their observations, so a feature is also
recognized at a gateway that did not see the crashes.

Load pattern: a request that is repeated about every second, at any gateway,
alone or as two concurrent copies, and crashes each target a few hundred
milliseconds after it is sent.
"""

from collections.abc import Iterator
import dataclasses

from radishstack.process import crash as crash_lib
from radishstack.process import incarnation
from radishstack.process import quarantine_rules
from radishstack.process import suspicion

# Number of remembered successes, for requests and for prompt blocks each.
MAX_SUCCESSES = 4_096
# A success of a prompt block is reported only if it clears this many crashes.
# Reports of crashes carry the time of the last success, so that a popular block
# rarely has more than one.
MIN_REPORTED_CRASHES = 2
# How long a suspect is kept after its last crash. A single crash is weak
# evidence, and a site has a few every hour.
SINGLE_CRASH_RETENTION_MS = 3_600_000
REPEATED_CRASH_RETENTION_MS = 24 * 3_600_000
MAX_RECORDS = 2_048


class CrashEvidence:
    """The evidence of one gateway about suspects of crashes."""

    def __init__(self) -> None:
        """Starts without evidence."""
        self._records: dict[str, suspicion.Record] = {}
        self._suspects_by_incarnation: dict[
            incarnation.IncarnationId, set[str]
        ] = {}
        self._succeeded_at_ms: dict[crash_lib.FeatureKind, dict[str, int]] = {
            kind: {} for kind in crash_lib.FeatureKind
        }

    @property
    def success_count(self) -> int:
        """Number of remembered features that succeeded."""
        return sum(map(len, self._succeeded_at_ms.values()))

    def __len__(self) -> int:
        """Returns the number of suspects."""
        return len(self._records)

    def record(self, fingerprint: str) -> suspicion.Record:
        """Returns the evidence about a feature."""
        return self._records.get(fingerprint, suspicion.Record(fingerprint))

    def crashed(self, crash: crash_lib.Crash) -> list[suspicion.Record]:
        """Records a crash that this gateway observed.

        Returns:
            The records to report to other gateways.
        """
        records = [
            suspicion.Record(
                one.fingerprint,
                (
                    suspicion.Observation(
                        crash.incarnation_id, one.began_at_ms, crash.at_ms
                    ),
                ),
                block_position=one.block_position,
            )
            for one in crash.suspects
        ]
        report = []
        for record in records:
            self.take(record)
            cleared_at_ms = self._records[record.fingerprint].cleared_at_ms
            report.append(
                dataclasses.replace(record, cleared_at_ms=cleared_at_ms)
            )
        return report

    def succeeded(
        self,
        fingerprint: str,
        at_ms: int,
        kind: crash_lib.FeatureKind = crash_lib.FeatureKind.REQUEST,
    ) -> suspicion.Record | None:
        """Records that a request with a feature completed without a crash.

        Args:
            fingerprint: Fingerprint of the feature.
            at_ms: When it completed; for a prompt block, when its answer began.
            kind: Kind of the feature.

        Returns:
            The record to report to others, None if there is nothing to report.
        """
        successes = self._succeeded_at_ms[kind]
        # Moves the feature to the end, so that the oldest one is dropped.
        before_ms = successes.pop(fingerprint, at_ms)
        successes[fingerprint] = max(before_ms, at_ms)
        if len(successes) > MAX_SUCCESSES:
            del successes[next(iter(successes))]
        known = self._records.get(fingerprint)
        if known is None or not known.observations:
            return None
        record = dataclasses.replace(
            known, observations=(), cleared_at_ms=at_ms
        )
        if not self.take(record):
            return None
        left_count = len(self._records[fingerprint].observations)
        cleared_count = len(known.observations) - left_count
        if (
            kind is crash_lib.FeatureKind.PROMPT_BLOCK
            and cleared_count < MIN_REPORTED_CRASHES
        ):
            return None
        return record

    def take(self, record: suspicion.Record) -> bool:
        """Merges a reported record; returns whether it changed the evidence."""
        known = self._records.get(record.fingerprint)
        if known is None:
            if not record.observations:
                return False
            self._evict_if_full()
            served_at_ms = self._succeeded_at_ms[record.kind].get(
                record.fingerprint, suspicion.NEVER_MS
            )
            known = suspicion.Record(
                record.fingerprint, (), served_at_ms, record.block_position
            )
        merged = suspicion.merge(known, record)
        if merged == self._records.get(record.fingerprint):
            return False
        self._remove(record.fingerprint)
        self._records[record.fingerprint] = merged
        for observation in merged.observations:
            suspects = self._suspects_by_incarnation.setdefault(
                observation.incarnation_id, set()
            )
            suspects.add(record.fingerprint)
        return True

    def missed_clearance(
        self, report: suspicion.Record
    ) -> suspicion.Record | None:
        """Returns a clearance that the sender of a report does not know.

        A cleared request has no crashes left to report, and a gateway that
        rejects the request never sees it succeed. Without this answer, a
        gateway that lost the message about the success would never learn of it.
        """
        known = self._records.get(report.fingerprint)
        if known is None or not report.observations:
            return None
        cleared_at_ms = known.cleared_at_ms
        if report.cleared_at_ms >= cleared_at_ms:
            return None
        # The sender may know a later crash without knowing the clearance.
        missed = report.observations[0].ended_at_ms <= cleared_at_ms
        knows_of_success = quarantine_rules.succeeded_recently(report)
        with_clearance = dataclasses.replace(
            report, cleared_at_ms=cleared_at_ms
        )
        if missed or (
            quarantine_rules.succeeded_recently(with_clearance)
            and not knows_of_success
        ):
            return dataclasses.replace(
                report, observations=(), cleared_at_ms=cleared_at_ms
            )
        return None

    def _evict_if_full(self) -> None:
        if len(self._records) < MAX_RECORDS:
            return
        by_priority = sorted(self._records.values(), key=_retention_priority)
        for record in by_priority[: MAX_RECORDS // 4]:
            self._remove(record.fingerprint)

    def _remove(self, fingerprint: str) -> None:
        record = self._records.pop(fingerprint, None)
        if record is None:
            return
        for observation in record.observations:
            suspects = self._suspects_by_incarnation[observation.incarnation_id]
            suspects.discard(fingerprint)
            if not suspects:
                del self._suspects_by_incarnation[observation.incarnation_id]

    def quarantine(
        self, fingerprint: str, now_ms: int
    ) -> quarantine_rules.Quarantine | None:
        """Returns the quarantine of a feature, None if there is none."""
        record = self._records.get(fingerprint)
        if record is None:
            return None
        return quarantine_rules.decide(record, self._suspects_at, now_ms)

    def _suspects_at(
        self, incarnation_id: incarnation.IncarnationId
    ) -> Iterator[suspicion.Record]:
        """Yields the records of the suspects of a crash."""
        for name in self._suspects_by_incarnation.get(incarnation_id, ()):
            yield self._records[name]

    def may_send_trial(self, fingerprint: str, now_ms: int, rank: int) -> bool:
        """Whether a gateway may send a request with a feature as a trial.

        If all gateways sent a popular request at once, it could crash one
        target per gateway. The gateways therefore take turns in an order that
        they all know. All of them get a turn, because the first one may be down
        or may not receive such a request.

        Args:
            fingerprint: Fingerprint of the feature.
            now_ms: Now.
            rank: Position of the gateway in that order.
        """
        quarantine = self.quarantine(fingerprint, now_ms)
        if quarantine is None:
            return False
        turn_ms = rank * quarantine_rules.TRIAL_DELAY_MS
        return now_ms >= quarantine.until_ms + turn_ms

    def recurring(self) -> Iterator[suspicion.Record]:
        """Yields the suspects of more than one crash."""
        for record in self._records.values():
            if len(record.observations) > 1:
                yield record

    def quarantined(
        self, now_ms: int
    ) -> dict[str, quarantine_rules.Quarantine]:
        """Returns the quarantines of features by fingerprint."""
        quarantines = {
            record.fingerprint: self.quarantine(record.fingerprint, now_ms)
            for record in self.recurring()
        }
        return {
            name: one for name, one in quarantines.items() if one is not None
        }

    def forget(self, now_ms: int) -> None:
        """Drops expired records."""
        for record in list(self._records.values()):
            if is_expired(record, now_ms):
                self._remove(record.fingerprint)


def is_expired(record: suspicion.Record, now_ms: int) -> bool:
    """Whether a record has passed its retention time."""
    kept_ms = (
        REPEATED_CRASH_RETENTION_MS
        if len(record.observations) > 1
        else SINGLE_CRASH_RETENTION_MS
    )
    return now_ms - suspicion.last_ms(record) > kept_ms


def _retention_priority(record: suspicion.Record) -> tuple[int, int]:
    """Orders records by number of crashes, then by time of the last event."""
    return len(record.observations), suspicion.last_ms(record)
