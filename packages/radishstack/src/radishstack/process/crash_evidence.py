"""Detects requests that crash the targets that run them.

All requests on a crashing target fail with it: up to a full batch, of which at
most one caused the crash. That one is identified because it was running at
every crash and no equal request has succeeded since. Gateways merge their
observations, so a request is also recognized at a gateway that did not see the
crashes.

Load pattern: a request that is repeated about every second, at any gateway,
alone or as two concurrent copies, and crashes each target a few hundred
milliseconds after it is sent.
"""

from collections.abc import Iterator
import dataclasses

from radishstack.process import crash as crash_lib
from radishstack.process import incarnation

# A request is quarantined after MIN_CRASHES crashes at different times, of
# which at least MIN_CONSECUTIVE were consecutive: the request was sent after
# the previous target had crashed. A power cut crashes many targets at one time.
MIN_CRASHES = 3
MIN_CONSECUTIVE = 2
# A request that crashes targets never succeeds. One that succeeded within this
# time before its first crash was running there by chance, as a popular request
# always is. It is still quarantined after MIN_CRASHES_IF_SERVED crashes,
# because a new version can turn it into one that crashes targets.
RECENT_SUCCESS_MS = 60_000
MIN_CRASHES_IF_SERVED = 10
MAX_SUCCESSES = 4_096
# Crashes within this time count as one if the request was sent before the first
# of them: a power cut or a rack failure.
SIMULTANEOUS_MS = 250
# Additional crashes that are required if another request was running at the
# last crash and at as many crashes in total. One more crash either
# distinguishes the two or quarantines both.
AMBIGUOUS_EXTRA_CRASHES = 1
# A crash is observed some milliseconds after it happens, so a request that is
# resent immediately seems to have been sent before the crash.
REPORT_LAG_MS = 25
# Duration of the first quarantine, after which one request is sent as a trial;
# each further crash multiplies it by QUARANTINE_GROWTH. A harmless request is
# served again within minutes, and a harmful one crashes only four more targets
# on its first day.
QUARANTINE_MS = 5 * 60_000
QUARANTINE_GROWTH = 6
# Duration of the quarantine if the request was the only suspect of several
# crashes at fewer than MIN_CRASHES_ALONE of its crashes. While several requests
# crash targets, a popular request runs beside them each time, and could not
# succeed if all gateways rejected it. Also the interval between the gateways'
# turns to send a trial.
TRIAL_DELAY_MS = 10_000
MIN_CRASHES_ALONE = 2
# How long a suspect is kept after its last crash. A single crash is weak
# evidence, and a site has a few every hour.
SINGLE_CRASH_RETENTION_MS = 3_600_000
REPEATED_CRASH_RETENTION_MS = 24 * 3_600_000
MAX_RECORDS = 2_048
MAX_OBSERVATIONS = 16
# Earlier than any other time. Clocks count from the start of the VM, and a
# crash that another gateway reports may have happened before that.
NEVER_MS = -(2**62)


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """A crash at which a request was running.

    Attributes:
        incarnation_id: The incarnation of a target that crashed.
        began_at_ms: When the request was sent to the target.
        ended_at_ms: When the target crashed.
    """

    incarnation_id: incarnation.IncarnationId
    began_at_ms: int
    ended_at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """The evidence about one request.

    Attributes:
        fingerprint: Fingerprint of the request.
        observations: Crashes at which it was running, in order.
        cleared_at_ms: When an equal request last succeeded, ``NEVER_MS`` if
            unknown. Crashes up to that time do not count.
    """

    fingerprint: str
    observations: tuple[Observation, ...] = ()
    cleared_at_ms: int = NEVER_MS


@dataclasses.dataclass(frozen=True, slots=True)
class Quarantine:
    """A request that is rejected because it presumably crashes targets.

    Attributes:
        moments: Number of crashes; simultaneous ones count as one.
        last_at_ms: When the last of them happened.
        until_ms: Until when all copies are rejected. After that, one is sent
            as a trial, see ``may_send_trial``.
        left_ms: Time from now until then, 0 if it has passed.
    """

    moments: int
    last_at_ms: int
    until_ms: int
    left_ms: int


class CrashEvidence:
    """The evidence of one gateway about suspects of crashes."""

    def __init__(self) -> None:
        """Starts without evidence."""
        self._records: dict[str, Record] = {}
        self._suspects_by_incarnation: dict[
            incarnation.IncarnationId, set[str]
        ] = {}
        self._succeeded_at_ms: dict[str, int] = {}

    @property
    def success_count(self) -> int:
        """Number of remembered requests that succeeded."""
        return len(self._succeeded_at_ms)

    def __len__(self) -> int:
        """Returns the number of suspects."""
        return len(self._records)

    def record(self, fingerprint: str) -> Record:
        """Returns the evidence about a request."""
        return self._records.get(fingerprint, Record(fingerprint))

    def crashed(self, crash: crash_lib.Crash) -> list[Record]:
        """Records a crash that this gateway observed.

        Returns:
            The records to report to other gateways.
        """
        records = [
            Record(
                one.fingerprint,
                (
                    Observation(
                        crash.incarnation_id, one.began_at_ms, crash.at_ms
                    ),
                ),
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

    def succeeded(self, fingerprint: str, now_ms: int) -> Record | None:
        """Records that a request completed without a crash.

        Returns:
            The record to report to others, None if it was not a suspect.
        """
        # Moves the request to the end, so that the oldest one is dropped.
        self._succeeded_at_ms.pop(fingerprint, None)
        self._succeeded_at_ms[fingerprint] = now_ms
        if len(self._succeeded_at_ms) > MAX_SUCCESSES:
            del self._succeeded_at_ms[next(iter(self._succeeded_at_ms))]
        known = self._records.get(fingerprint)
        if known is None or not known.observations:
            return None
        record = Record(fingerprint, (), now_ms)
        self.take(record)
        return record

    def take(self, record: Record) -> bool:
        """Merges a reported record; returns whether it changed the evidence."""
        known = self._records.get(record.fingerprint)
        if known is None:
            if not record.observations:
                return False
            self._evict_if_full()
            served_at_ms = self._succeeded_at_ms.get(
                record.fingerprint, NEVER_MS
            )
            known = Record(record.fingerprint, (), served_at_ms)
        merged = _merge(known, record)
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

    def missed_clearance(self, report: Record) -> Record | None:
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
        knows_of_success = _succeeded_recently(report)
        with_clearance = dataclasses.replace(
            report, cleared_at_ms=cleared_at_ms
        )
        if missed or (
            _succeeded_recently(with_clearance) and not knows_of_success
        ):
            return Record(report.fingerprint, (), cleared_at_ms)
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

    def quarantine(self, fingerprint: str, now_ms: int) -> Quarantine | None:
        """Returns the quarantine of a request, None if there is none."""
        record = self._records.get(fingerprint)
        if record is None or not record.observations:
            return None
        crash_count = _count_crashes(record)
        extra = (
            AMBIGUOUS_EXTRA_CRASHES
            if self._is_ambiguous(record, crash_count)
            else 0
        )
        if _succeeded_recently(record):
            extra = MIN_CRASHES_IF_SERVED - MIN_CRASHES
        if (
            crash_count < MIN_CRASHES + extra
            or _count_consecutive(record) < MIN_CONSECUTIVE + extra
        ):
            return None
        last_at_ms = record.observations[-1].ended_at_ms
        until_ms = last_at_ms + self._quarantine_duration_ms(
            record, crash_count - extra
        )
        left_ms = max(0, until_ms - now_ms)
        return Quarantine(crash_count, last_at_ms, until_ms, left_ms)

    def _quarantine_duration_ms(self, record: Record, crash_count: int) -> int:
        """Returns the time from the last crash to the first trial."""
        alone = [
            observation
            for observation in record.observations
            if self._was_alone(record.fingerprint, observation.incarnation_id)
        ]
        if len(alone) < MIN_CRASHES_ALONE:
            return TRIAL_DELAY_MS
        return QUARANTINE_MS * QUARANTINE_GROWTH ** (crash_count - MIN_CRASHES)

    def may_send_trial(self, fingerprint: str, now_ms: int, rank: int) -> bool:
        """Whether a gateway may send a quarantined request as a trial.

        If all gateways sent a popular request at once, it could crash one
        target per gateway. The gateways therefore take turns in an order that
        they all know. All of them get a turn, because the first one may be down
        or may not receive the request.

        Args:
            fingerprint: Fingerprint of the request.
            now_ms: Now.
            rank: Position of the gateway in that order.
        """
        quarantine = self.quarantine(fingerprint, now_ms)
        if quarantine is None:
            return False
        return now_ms >= quarantine.until_ms + rank * TRIAL_DELAY_MS

    def _was_alone(
        self, fingerprint: str, incarnation_id: incarnation.IncarnationId
    ) -> bool:
        """Whether no other suspect of several crashes ran at a crash."""
        others = self._suspects_by_incarnation.get(incarnation_id, set()) - {
            fingerprint
        }
        return not any(
            len(self._records[other].observations) > 1 for other in others
        )

    def _is_ambiguous(self, record: Record, crash_count: int) -> bool:
        """Whether another suspect of the last crash ran at as many crashes."""
        others = self._suspects_by_incarnation.get(
            record.observations[-1].incarnation_id, set()
        )
        return any(
            _count_crashes(self._records[other]) >= crash_count
            for other in others - {record.fingerprint}
        )

    def recurring(self) -> Iterator[Record]:
        """Yields the suspects of more than one crash."""
        for record in self._records.values():
            if len(record.observations) > 1:
                yield record

    def quarantined(self, now_ms: int) -> dict[str, Quarantine]:
        """Returns the quarantined requests by fingerprint."""
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


def is_expired(record: Record, now_ms: int) -> bool:
    """Whether a record has passed its retention time."""
    kept_ms = (
        REPEATED_CRASH_RETENTION_MS
        if len(record.observations) > 1
        else SINGLE_CRASH_RETENTION_MS
    )
    return now_ms - _last_ms(record) > kept_ms


def _last_ms(record: Record) -> int:
    last_ms = (
        record.observations[-1].ended_at_ms if record.observations else NEVER_MS
    )
    return max(last_ms, record.cleared_at_ms)


def _retention_priority(record: Record) -> tuple[int, int]:
    """Orders records by number of crashes, then by time of the last event."""
    return len(record.observations), _last_ms(record)


def _merge(one: Record, other: Record) -> Record:
    by_incarnation = {
        observation.incarnation_id: observation
        for observation in one.observations
    }
    for observation in other.observations:
        known = by_incarnation.get(observation.incarnation_id, observation)
        # Crashes are observed late, so the earliest time is the most accurate.
        by_incarnation[observation.incarnation_id] = min(
            known, observation, key=lambda seen: seen.ended_at_ms
        )
    cleared_at_ms = max(one.cleared_at_ms, other.cleared_at_ms)
    relevant = sorted(
        (
            observation
            for observation in by_incarnation.values()
            if observation.ended_at_ms > cleared_at_ms
        ),
        key=lambda seen: (seen.ended_at_ms, seen.incarnation_id.name),
    )
    return Record(
        one.fingerprint, tuple(relevant[-MAX_OBSERVATIONS:]), cleared_at_ms
    )


def _succeeded_recently(record: Record) -> bool:
    """Whether an equal request succeeded shortly before the first crash."""
    first_ms = record.observations[0].ended_at_ms
    return first_ms - record.cleared_at_ms <= RECENT_SUCCESS_MS


def _count_crashes(record: Record) -> int:
    """Counts the crashes of a record; simultaneous ones count as one.

    A request that was sent after a crash cannot have failed in the same outage.
    """
    count = 0
    at_ms = NEVER_MS
    for observation in record.observations:
        later = observation.ended_at_ms > at_ms + SIMULTANEOUS_MS
        if later or observation.began_at_ms >= at_ms - REPORT_LAG_MS:
            count += 1
            at_ms = observation.ended_at_ms
    return count


def _count_consecutive(record: Record) -> int:
    """Counts consecutive crashes: each send began after the previous crash."""
    count = 0
    earliest_send_ms = NEVER_MS
    for observation in record.observations:
        if observation.began_at_ms >= earliest_send_ms:
            count += 1
            earliest_send_ms = observation.ended_at_ms - REPORT_LAG_MS
    return count
