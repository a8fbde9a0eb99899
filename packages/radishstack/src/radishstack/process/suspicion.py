"""Evidence about one feature of requests that may crash targets.

A feature is a whole request, which may be repeated, or a block of the prompt,
which requests may share that are equal in nothing else.
"""

import dataclasses

from radishstack.process import crash
from radishstack.process import incarnation

# Maximum number of crashes that are remembered of a feature.
MAX_OBSERVATIONS = 16
# Crashes within this time count as one if the request was sent before the first
# of them: a power cut or a rack failure.
SIMULTANEOUS_MS = 250
# A crash is observed some milliseconds after it happens, so a request that is
# resent immediately seems to have been sent before the crash.
REPORT_LAG_MS = 25
# Earlier than any other time. Clocks count from the start of the VM, and a
# crash that another gateway reports may have happened before that.
NEVER_MS = -(2**62)


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """A crash at which a request with the feature was running.

    Attributes:
        incarnation_id: The incarnation of a target that crashed.
        began_at_ms: When the first of these requests was sent to the target.
        ended_at_ms: When the target crashed.
    """

    incarnation_id: incarnation.IncarnationId
    began_at_ms: int
    ended_at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """The evidence about one feature.

    Attributes:
        fingerprint: Fingerprint of the feature.
        observations: Crashes at which it was running, in order.
        cleared_at_ms: When a request with it last succeeded, ``NEVER_MS`` if
            unknown. Crashes up to that time do not count. For a block of the
            prompt, when the last whole answer began: one that began before the
            block turned harmful proves nothing.
        block_position: Position of the feature, a block of the prompt; 0 if it
            is the whole request.
    """

    fingerprint: str
    observations: tuple[Observation, ...] = ()
    cleared_at_ms: int = NEVER_MS
    block_position: int = 0

    @property
    def kind(self) -> crash.FeatureKind:
        """Kind of the feature."""
        return crash.kind_at(self.block_position)


def last_ms(record: Record) -> int:
    """Returns when its last crash or success happened."""
    crashed_at_ms = (
        record.observations[-1].ended_at_ms if record.observations else NEVER_MS
    )
    return max(crashed_at_ms, record.cleared_at_ms)


def merge(one: Record, other: Record) -> Record:
    """Merges two records of a feature, in any order."""
    by_incarnation = {
        observation.incarnation_id: observation
        for observation in one.observations
    }
    for observation in other.observations:
        known = by_incarnation.get(observation.incarnation_id, observation)
        by_incarnation[observation.incarnation_id] = Observation(
            observation.incarnation_id,
            # Several requests may have the feature. If one was sent before an
            # earlier crash, the two crashes may have the same cause.
            min(known.began_at_ms, observation.began_at_ms),
            # Crashes are observed late, so the earliest time is the most
            # accurate.
            min(known.ended_at_ms, observation.ended_at_ms),
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
        one.fingerprint,
        tuple(relevant[-MAX_OBSERVATIONS:]),
        cleared_at_ms,
        max(one.block_position, other.block_position),
    )


def count_crashes(record: Record) -> int:
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


def count_consecutive(record: Record) -> int:
    """Counts consecutive crashes: each send began after the previous crash."""
    count = 0
    earliest_send_ms = NEVER_MS
    for observation in record.observations:
        if observation.began_at_ms >= earliest_send_ms:
            count += 1
            earliest_send_ms = observation.ended_at_ms - REPORT_LAG_MS
    return count
