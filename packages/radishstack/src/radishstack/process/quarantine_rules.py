"""Decides which features of requests are quarantined, and for how long.

A feature that crashes targets runs at every crash and never succeeds. Others
run beside it, most of them at one crash only. Popular blocks of prompts run
beside it each time, but succeed between the crashes.

Load pattern of blocks: requests that share one block, and are equal in nothing
else, arrive about every second at any gateway; sound ones share their other
blocks, several of them a second.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from radishstack.process import crash
from radishstack.process import incarnation
from radishstack.process import suspicion

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
# Crashes after which a block of the prompt is quarantined although it succeeded
# recently, and the least time between the first and the last of them. A popular
# block succeeds within this time if it is harmless and any target runs.
MIN_CRASHES_IF_BLOCK_SERVED = 5
MIN_UNSERVED_MS = 3_000
# Crashes of a block from which on each further one lengthens its quarantine.
# Requests that were under way when it began may crash targets, too.
GROWTH_FREE_CRASHES = 5
# Additional crashes that are required if another request was running at the
# last crash and at as many crashes in total. One more crash either
# distinguishes the two or quarantines both.
AMBIGUOUS_EXTRA_CRASHES = 1
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

SuspectsAt = Callable[[incarnation.IncarnationId], Iterable[suspicion.Record]]


@dataclasses.dataclass(frozen=True, slots=True)
class Quarantine:
    """A feature that presumably crashes targets; requests with it are rejected.

    Attributes:
        moments: Number of crashes; simultaneous ones count as one.
        last_at_ms: When the last of them happened.
        until_ms: Until when all of them are rejected. After that, one is sent
            as a trial, see ``CrashEvidence.may_send_trial``.
        left_ms: Time from now until then, 0 if it has passed.
    """

    moments: int
    last_at_ms: int
    until_ms: int
    left_ms: int


def decide(
    record: suspicion.Record, suspects_at: SuspectsAt, now_ms: int
) -> Quarantine | None:
    """Returns the quarantine of a feature, None if there is none.

    Args:
        record: The evidence about it.
        suspects_at: Returns the records of all suspects of a crash.
        now_ms: Now.
    """
    if not record.observations:
        return None
    crash_count = suspicion.count_crashes(record)
    if record.kind is crash.FeatureKind.PROMPT_BLOCK:
        duration_ms = _block_duration_ms(record, crash_count, suspects_at)
    else:
        duration_ms = _request_duration_ms(record, crash_count, suspects_at)
    if duration_ms is None:
        return None
    last_at_ms = record.observations[-1].ended_at_ms
    until_ms = last_at_ms + duration_ms
    left_ms = max(0, until_ms - now_ms)
    return Quarantine(crash_count, last_at_ms, until_ms, left_ms)


def _request_duration_ms(
    record: suspicion.Record, crash_count: int, suspects_at: SuspectsAt
) -> int | None:
    """Returns how long a request is quarantined, None if it is not."""
    extra = 0
    if _is_ambiguous(record, crash_count, suspects_at):
        extra = AMBIGUOUS_EXTRA_CRASHES
    if succeeded_recently(record):
        extra = MIN_CRASHES_IF_SERVED - MIN_CRASHES
    if (
        crash_count < MIN_CRASHES + extra
        or suspicion.count_consecutive(record) < MIN_CONSECUTIVE + extra
    ):
        return None
    return _request_trial_delay_ms(record, crash_count - extra, suspects_at)


def _block_duration_ms(
    record: suspicion.Record, crash_count: int, suspects_at: SuspectsAt
) -> int | None:
    """Returns how long a prompt block is quarantined, None if it is not."""
    was_served = succeeded_recently(record)
    required = MIN_CRASHES_IF_BLOCK_SERVED if was_served else MIN_CRASHES
    if crash_count < required:
        return None
    unexplained = _without_explained(record, crash_count, suspects_at)
    if (
        suspicion.count_crashes(unexplained) < required
        or suspicion.count_consecutive(unexplained) < MIN_CONSECUTIVE
        or (was_served and _unserved_ms(unexplained) < MIN_UNSERVED_MS)
    ):
        return None
    # Trials crash targets, so a block that is not known to have been sound has
    # few of them.
    first_ms = TRIAL_DELAY_MS if was_served else QUARANTINE_MS
    growth = max(0, crash_count - GROWTH_FREE_CRASHES)
    return first_ms * QUARANTINE_GROWTH**growth


def _unserved_ms(record: suspicion.Record) -> int:
    """Returns for how long crashes were observed without a success."""
    first, last = record.observations[0], record.observations[-1]
    return last.ended_at_ms - first.ended_at_ms


def _without_explained(
    record: suspicion.Record, crash_count: int, suspects_at: SuspectsAt
) -> suspicion.Record:
    """Drops the crashes of a block at which a likelier cause was running."""
    return dataclasses.replace(
        record,
        observations=tuple(
            one
            for one in record.observations
            if not any(
                _is_likelier(other, record, crash_count)
                for other in _others(record, suspects_at(one.incarnation_id))
            )
        ),
    )


def _is_likelier(
    other: suspicion.Record, record: suspicion.Record, crash_count: int
) -> bool:
    """Whether a feature is a likelier cause of a crash than a prompt block.

    It was served less recently and crashed targets earlier; a rare block that
    ran beside the cause a few times did not. If that tells nothing, it is
    narrower or ran at more crashes: a request that is repeated has all blocks
    of its prompt with it, and so has a block those before it.
    """
    other_count = suspicion.count_crashes(other)
    if other_count < MIN_CRASHES:
        return False
    if other.cleared_at_ms < record.cleared_at_ms:
        return _crashed_earlier(other, other_count, record, crash_count)
    if other.cleared_at_ms > record.cleared_at_ms:
        return False
    is_narrower = (
        other.kind is crash.FeatureKind.REQUEST
        or other.block_position > record.block_position
    )
    return is_narrower or other_count > crash_count


def _crashed_earlier(
    other: suspicion.Record,
    other_count: int,
    record: suspicion.Record,
    crash_count: int,
) -> bool:
    """Whether the crashes of a feature began before those of a block.

    If they began with the same crash, or the feature was never served, it must
    have run at half as many.
    """
    other_began_ms = other.observations[0].ended_at_ms
    began_ms = record.observations[0].ended_at_ms
    was_served = other.cleared_at_ms != suspicion.NEVER_MS
    if other_began_ms == began_ms or not was_served:
        return 2 * other_count >= crash_count
    return other_began_ms < began_ms


def succeeded_recently(record: suspicion.Record) -> bool:
    """Whether the feature succeeded shortly before its first crash."""
    first_ms = record.observations[0].ended_at_ms
    return first_ms - record.cleared_at_ms <= RECENT_SUCCESS_MS


def _request_trial_delay_ms(
    record: suspicion.Record, crash_count: int, suspects_at: SuspectsAt
) -> int:
    """Returns the time from the last crash of a request to its first trial."""
    alone = [
        observation
        for observation in record.observations
        if _was_alone(record, observation.incarnation_id, suspects_at)
    ]
    if len(alone) < MIN_CRASHES_ALONE:
        return TRIAL_DELAY_MS
    return QUARANTINE_MS * QUARANTINE_GROWTH ** (crash_count - MIN_CRASHES)


def _others(
    record: suspicion.Record, suspects: Iterable[suspicion.Record]
) -> Iterable[suspicion.Record]:
    return (one for one in suspects if one.fingerprint != record.fingerprint)


def _other_requests(
    record: suspicion.Record, suspects: Iterable[suspicion.Record]
) -> Iterable[suspicion.Record]:
    return (
        one
        for one in _others(record, suspects)
        if one.kind is crash.FeatureKind.REQUEST
    )


def _was_alone(
    record: suspicion.Record,
    incarnation_id: incarnation.IncarnationId,
    suspects_at: SuspectsAt,
) -> bool:
    """Whether no other suspect of several crashes ran at a crash."""
    others = _other_requests(record, suspects_at(incarnation_id))
    return not any(len(one.observations) > 1 for one in others)


def _is_ambiguous(
    record: suspicion.Record, crash_count: int, suspects_at: SuspectsAt
) -> bool:
    """Whether another suspect of the last crash ran at as many crashes."""
    last = record.observations[-1]
    others = _other_requests(record, suspects_at(last.incarnation_id))
    return any(suspicion.count_crashes(one) >= crash_count for one in others)
