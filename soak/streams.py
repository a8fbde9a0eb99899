"""Streams of callers, and the software versions that wrote their events."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import re

from soak import history as history_lib

EVENT_COUNT = 4
# Route whose streams may be resumed.
RESUMABLE = "long"
SUCCESS = 200
_EVENT = re.compile(r"id: (\d+)\ndata: (\S+) (\d+)(?: (\S+))?\n\n")
# Number of resumed streams from which on their share is judged, and the least
# part of the share of new streams that begin.
MIN_RESUMED = 12
MIN_RESUMED_FRACTION = 0.5
# Number of targets of a software version that must serve for a stream to count.
MIN_TARGETS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Events:
    """The events in the body of an attempt.

    Attributes:
        last: Number of the last complete event, of the one before the first if
            there is none.
        software_versions: Versions that wrote the complete events.
        is_own_prefix: Whether the body is a prefix of the attempt's stream.
        is_whole: Whether it is the whole stream.
    """

    last: int
    software_versions: frozenset[str]
    is_own_prefix: bool
    is_whole: bool


def parse(attempt: history_lib.Attempt) -> Events:
    """Parses the events that an attempt received."""
    position, last = 0, attempt.after_event
    versions = set()
    is_own = True
    for match in _EVENT.finditer(attempt.body):
        number, own_id, repeated, software_version = match.groups()
        is_own = is_own and (
            match.start() == position
            and int(number) == int(repeated) == last + 1
            and own_id == attempt.attempt_id
        )
        position, last = match.end(), int(number)
        if software_version:
            versions.add(software_version)
    rest = attempt.body[position:]
    start = f"id: {last + 1}\ndata: {attempt.attempt_id} {last + 1}"
    may_follow = start.startswith(rest) or rest.startswith(start)
    return Events(
        last,
        frozenset(versions),
        is_own and may_follow,
        is_own and not rest and last == EVENT_COUNT,
    )


def may_resume(attempt: history_lib.Attempt, *, reconnects: bool) -> bool:
    """Whether a caller may resume the stream of an attempt.

    Args:
        attempt: The attempt.
        reconnects: Whether its caller left only to connect again.
    """
    return (
        attempt.route == RESUMABLE
        and attempt.status == SUCCESS
        and not attempt.whole
        and (reconnects or not attempt.left)
        and 0 < parse(attempt).last < EVENT_COUNT
    )


def mixed(attempts: Iterable[history_lib.Attempt]) -> dict[str, set[str]]:
    """Returns the streams that several software versions wrote.

    Args:
        attempts: Attempts of callers.

    Returns:
        The versions, by the attempt that began the stream.
    """
    versions: dict[str, set[str]] = collections.defaultdict(set)
    for attempt in attempts:
        if attempt.route == RESUMABLE:
            began = attempt.resumes or attempt.attempt_id
            versions[began] |= parse(attempt).software_versions
    return {began: found for began, found in versions.items() if len(found) > 1}


def lost_share(
    history: history_lib.History,
    is_undisturbed: Callable[[history_lib.Attempt], bool],
) -> str:
    """Compares the streams that callers resume with new ones.

    Args:
        history: The history.
        is_undisturbed: Whether the gateway of an attempt was undisturbed.

    Returns:
        What was seen if too few resumed streams continue, empty otherwise.
    """
    streams = [
        one
        for one in history.attempts
        if one.route == RESUMABLE and not one.left and is_undisturbed(one)
    ]
    began_at = _versions(history)
    new = [one for one in streams if not one.resumes]
    resumed = [
        one
        for one in streams
        if one.resumes
        and _target_count(history, began_at.get(one.resumes, ""), one)
        >= MIN_TARGETS
    ]
    if len(resumed) < MIN_RESUMED or not new:
        return ""
    continued = sum(_has_progress(one) for one in resumed)
    new_share = sum(_has_progress(one) for one in new) / len(new)
    if continued / len(resumed) >= MIN_RESUMED_FRACTION * new_share:
        return ""
    return f"{continued} of {len(resumed)}, {new_share:.2f} of new ones begin"


def resumable_at_serving_version(
    history: history_lib.History,
) -> list[history_lib.Attempt]:
    """Returns the attempts that resume a stream whose version serves."""
    began_at = _versions(history)
    return [
        one
        for one in history.attempts
        if one.resumes
        and not one.left
        and _target_count(history, began_at.get(one.resumes, ""), one)
        >= MIN_TARGETS
    ]


def _versions(history: history_lib.History) -> dict[str, str]:
    """Returns the software version of each stream, by its attempt."""
    return {
        one.attempt_id: version
        for one in history.attempts
        if one.route == RESUMABLE
        for version in parse(one).software_versions
    }


def _has_progress(attempt: history_lib.Attempt) -> bool:
    return parse(attempt).last > attempt.after_event


def _target_count(
    history: history_lib.History,
    software_version: str,
    attempt: history_lib.Attempt,
) -> int:
    """Returns how many targets of a version serve throughout an attempt."""
    return sum(
        one.software_version == software_version
        and one.from_ms <= attempt.sent_at_ms
        and one.until_ms >= attempt.ended_at_ms
        for one in history.engines
    )
