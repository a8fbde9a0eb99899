"""Which requests end the targets that run them.

A target that ends takes all that it runs with it: up to a full batch of
requests, of which one at most is to blame. What tells that one is that it was
there each time, and that no equal request has ended well since. Gateways join
what they saw, so one that comes back at another gateway is known there too.

The load pattern: a request that comes again every second or so, at any
gateway, alone or twice at once, and ends each target some hundred
milliseconds after it was sent.
"""

from collections.abc import Iterator
import dataclasses

from radishstack.process import crash as crash_lib
from radishstack.process import incarnation

# A request is held to end targets once so many ended under it, at moments
# apart, and at least so many of the sends came after the one before had ended
# its target. One cut of power ends many targets, but at one moment.
MIN_CRASHES = 3
MIN_CONSECUTIVE = 2
# What ends targets never ends well. A request that did so lately stands at a
# crash by chance, as one of the popular ones always does, unless targets go on
# ending under it: a new version may have made it one.
RECENT_SUCCESS_MS = 60_000
MIN_CRASHES_IF_SERVED = 10
MAX_SUCCESSES = 4_096
# Crashes within this time count as one, if the request was sent before the
# first: a cut of power, or a rack that fails.
SIMULTANEOUS_MS = 250
# Where another request was at the last crash and at as many before, either
# may be the one: one more crash tells them apart, or both are refused.
AMBIGUOUS_EXTRA_CRASHES = 1
# Word of a crash comes some milliseconds after it, so a request that is sent
# again at once seems to have been sent before.
REPORT_LAG_MS = 25
# For how long it is refused before one is tried: an innocent one is back after
# minutes, and one that goes on ending targets ends three more in its first day.
QUARANTINE_MS = 5 * 60_000
QUARANTINE_GROWTH = 6
# The same where others that recur stood at the crashes, but for fewer than so
# many: while several requests end targets, a popular one stands beside them
# each time, and refused everywhere it cannot end well.
TRIAL_DELAY_MS = 10_000
MIN_CRASHES_ALONE = 2
# How long after its last crash a request is under suspicion; one crash alone
# says little, and a site has some each hour.
SINGLE_CRASH_RETENTION_MS = 3_600_000
REPEATED_CRASH_RETENTION_MS = 24 * 3_600_000
MAX_RECORDS = 2_048
MAX_OBSERVATIONS = 16
# Before all times: clocks count from a VM's start, and a crash that is told of
# may lie before it.
NEVER_MS = -(2**62)


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """One crash with one request running.

    Attributes:
        start: The start of a target that ended.
        began_at_ms: When the request was sent there.
        ended_at_ms: When the target ended.
    """

    incarnation_id: incarnation.IncarnationId
    began_at_ms: int
    ended_at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """What is known against one request.

    Attributes:
        fingerprint: The request's.
        observations: Crashes with it running.
        cleared_at_ms: When an equal request ended well last, as far as that
            is remembered. Crashes until then are not counted.
    """

    fingerprint: str
    observations: tuple[Observation, ...] = ()
    cleared_at_ms: int = NEVER_MS


@dataclasses.dataclass(frozen=True, slots=True)
class Quarantine:
    """A request that is held to end targets.

    Attributes:
        moments: Moments at which targets ended under it.
        last_at_ms: The last of them.
        until_ms: Until when all of it is refused; from then on one is to be
            tried, see ``may_try``.
        left_ms: How long that is from now, 0 if it is past.
    """

    moments: int
    last_at_ms: int
    until_ms: int
    left_ms: int


class CrashEvidence:
    """What one gateway knows of requests that were running at crashes."""

    def __init__(self) -> None:
        """Starts with none."""
        self._records: dict[str, Record] = {}
        self._suspects_by_incarnation: dict[
            incarnation.IncarnationId, set[str]
        ] = {}
        self._succeeded_at_ms: dict[str, int] = {}

    @property
    def success_count(self) -> int:
        """How many requests are remembered that ended well."""
        return len(self._succeeded_at_ms)

    def __len__(self) -> int:
        """How many requests are under suspicion."""
        return len(self._records)

    def record(self, fingerprint: str) -> Record:
        """Returns what is known against a request."""
        return self._records.get(fingerprint, Record(fingerprint))

    def crashed(self, crash: crash_lib.Crash) -> list[Record]:
        """Records a crash that was seen here; returns what to report."""
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
            What to tell others, None if it was under no suspicion.
        """
        # The one that ended well last goes last: the oldest is dropped.
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
        """Joins what is told of a request; returns whether it was news."""
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
        """Returns what who told a record has not heard, if anything.

        What cleared a request leaves nothing to pass on, and who refuses it
        never sees it end well: a lost word would be lost for good.
        """
        known = self._records.get(report.fingerprint)
        if known is None or not report.observations:
            return None
        cleared_at_ms = known.cleared_at_ms
        if report.cleared_at_ms >= cleared_at_ms:
            return None
        # A later crash that it tells of says nothing of what it has heard.
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
        """Says whether a request is to be refused, None if it is not."""
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
        """Returns how long after the last crash one is to be tried."""
        alone = [
            observation
            for observation in record.observations
            if self._was_alone(record.fingerprint, observation.incarnation_id)
        ]
        if len(alone) < MIN_CRASHES_ALONE:
            return TRIAL_DELAY_MS
        return QUARANTINE_MS * QUARANTINE_GROWTH ** (crash_count - MIN_CRASHES)

    def may_send_trial(self, fingerprint: str, now_ms: int, rank: int) -> bool:
        """Whether a gateway may send a request that is refused, to try it.

        Let through everywhere at once, a popular one would end a target for
        each gateway. The gateways' turns come one after the other, in an order
        that all of them know; the first may be gone, or never be asked.

        Args:
            fingerprint: The request's.
            now_ms: Now.
            rank: Place of the gateway in that order.
        """
        quarantine = self.quarantine(fingerprint, now_ms)
        if quarantine is None:
            return False
        return now_ms >= quarantine.until_ms + rank * TRIAL_DELAY_MS

    def _was_alone(
        self, fingerprint: str, incarnation_id: incarnation.IncarnationId
    ) -> bool:
        """Whether no other request that recurs was at a crash."""
        others = self._suspects_by_incarnation.get(incarnation_id, set()) - {
            fingerprint
        }
        return not any(
            len(self._records[other].observations) > 1 for other in others
        )

    def _is_ambiguous(self, record: Record, crash_count: int) -> bool:
        """Whether another request was there as often as this one."""
        others = self._suspects_by_incarnation.get(
            record.observations[-1].incarnation_id, set()
        )
        return any(
            _count_crashes(self._records[other]) >= crash_count
            for other in others - {record.fingerprint}
        )

    def recurring(self) -> Iterator[Record]:
        """Yields the requests that were running at more than one crash."""
        for record in self._records.values():
            if len(record.observations) > 1:
                yield record

    def quarantined(self, now_ms: int) -> dict[str, Quarantine]:
        """Returns the requests that are refused, by fingerprint."""
        quarantines = {
            record.fingerprint: self.quarantine(record.fingerprint, now_ms)
            for record in self.recurring()
        }
        return {
            name: one for name, one in quarantines.items() if one is not None
        }

    def forget(self, now_ms: int) -> None:
        """Drops what is too old to count."""
        for record in list(self._records.values()):
            if is_expired(record, now_ms):
                self._remove(record.fingerprint)


def is_expired(record: Record, now_ms: int) -> bool:
    """Whether a record is too old to count."""
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
    """Orders records by what they tell: crashes, then how late the last was."""
    return len(record.observations), _last_ms(record)


def _merge(one: Record, other: Record) -> Record:
    by_incarnation = {
        observation.incarnation_id: observation
        for observation in one.observations
    }
    for observation in other.observations:
        known = by_incarnation.get(observation.incarnation_id, observation)
        # Word of it comes late, so the earliest is nearest to the truth.
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
    """Whether an equal request ended well shortly before the first crash."""
    first_ms = record.observations[0].ended_at_ms
    return first_ms - record.cleared_at_ms <= RECENT_SUCCESS_MS


def _count_crashes(record: Record) -> int:
    """Counts the crashes of a record, those of one moment once.

    A request that was sent after a crash cannot be a victim of the same cut.
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
    """Counts sends that each began after the one before had crashed."""
    count = 0
    earliest_send_ms = NEVER_MS
    for observation in record.observations:
        if observation.began_at_ms >= earliest_send_ms:
            count += 1
            earliest_send_ms = observation.ended_at_ms - REPORT_LAG_MS
    return count
