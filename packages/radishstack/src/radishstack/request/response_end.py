"""Decides whether the end of a response is the end of the answer.

Load pattern: a target that breaks off single answers, or that crashes with many
answers under way. Such an answer may look complete to HTTP: its connection is
closed like that of a whole answer without a length, or its last chunk is sent
in the middle of an event. Beside it, targets that drain: they close their
listening socket, finish their answers and exit, and must not pass for crashed.
"""

import dataclasses
import enum


class End(enum.Enum):
    """How a response ended; the values are log and metric labels.

    Attributes:
        DELIMITED: Its length or its last chunk was reached.
        CLOSED: It has neither, and its target closed the connection and has
            outlived that.
        CLOSED_BY_EXIT: It has neither, and its target was draining and exited.
        INSIDE_EVENT: It ended in the middle of an event.
        EMPTY: It has neither, and ended before the first event of its stream.
        UNREACHABLE: It has neither, and its target closed the connection and
            did not outlive that, as after a crash.
        LOST: Its connection was lost before its length or last chunk.
        STALLED: The target stopped sending.
        INVALID: It was invalid or too large.
    """

    DELIMITED = "delimited"
    CLOSED = "closed"
    CLOSED_BY_EXIT = "closed_by_exit"
    INSIDE_EVENT = "inside_event"
    EMPTY = "empty"
    UNREACHABLE = "unreachable"
    LOST = "lost"
    STALLED = "stalled"
    INVALID = "invalid"

    @property
    def is_complete(self) -> bool:
        """Whether the answer is complete."""
        return self in (End.DELIMITED, End.CLOSED, End.CLOSED_BY_EXIT)


class Undecided(enum.Enum):
    """A sentinel: what is still needed to tell how the response ended.

    Attributes:
        TARGET_STATE: Whether the target has outlived the response.
        DEREGISTRATION: Whether the target removes its entry from the list.
    """

    TARGET_STATE = "target_state"
    DEREGISTRATION = "deregistration"


class Deregistration(enum.Enum):
    """Whether a target removed its entry; values are log labels.

    Attributes:
        PENDING: It may still do so.
        REMOVED: It did, so soon after the response that the entry cannot have
            expired.
        LISTED: It did not, although the list is up to date.
        UNKNOWN: Its entry was removed before, or the list is not up to date.
    """

    PENDING = "pending"
    REMOVED = "removed"
    LISTED = "listed"
    UNKNOWN = "unknown"


class TargetState(enum.Enum):
    """What a check of a target found after a response; values are log labels.

    An accepted connection proves nothing by itself: the operating system closes
    the sockets of a killed process one by one, the listening socket perhaps
    last.

    Attributes:
        ANSWERS: This incarnation has answered a request.
        ACCEPTS: It has not, but connections were still accepted, or stayed
            open, when all sockets of a killed process are closed.
        REPLACED: Another incarnation has answered.
        UNREACHABLE: Connections are refused.
    """

    ANSWERS = "answers"
    ACCEPTS = "accepts"
    REPLACED = "replaced"
    UNREACHABLE = "unreachable"

    @property
    def is_alive(self) -> bool:
        """Whether the incarnation has outlived the response."""
        return self in (TargetState.ANSWERS, TargetState.ACCEPTS)


@dataclasses.dataclass(frozen=True, slots=True)
class Ending:
    """What is known of a response that HTTP takes as complete.

    Attributes:
        is_delimited: Whether it has a length or chunks.
        is_inside_event: Whether it ended in the middle of an event.
        lacks_events: Whether it is a stream of which its caller has received
            no event, in this response or before.
    """

    is_delimited: bool
    is_inside_event: bool = False
    lacks_events: bool = False


def judge(ending: Ending) -> End | Undecided:
    """Decides how a response ended, as far as its bytes tell."""
    if ending.is_inside_event:
        return End.INSIDE_EVENT
    if ending.is_delimited:
        return End.DELIMITED
    if ending.lacks_events:
        return End.EMPTY
    return Undecided.TARGET_STATE


@dataclasses.dataclass(frozen=True, slots=True)
class Closing:
    """Evidence on a response whose target closed its connection.

    Attributes:
        target: What a check after the response found.
        is_draining: Whether it was known to drain when the response ended.
        has_short_notice: Whether it is removed at a fixed time, with all that
            it still runs.
        cut_count: Other responses of the incarnation that were evidently cut at
            nearly the same time.
        closed_count: Other responses without a length that it closed at nearly
            the same time.
        outlived_count: Its responses that were still under way after that.
        deregistration: Whether its entry was removed after the response.
    """

    target: TargetState
    is_draining: bool = False
    has_short_notice: bool = False
    cut_count: int = 0
    closed_count: int = 0
    outlived_count: int = 0
    deregistration: Deregistration = Deregistration.PENDING


def judge_closed(closing: Closing) -> End | Undecided:
    """Decides how a response ended that its bytes do not tell.

    A draining target exits after its last response, so that its refused
    connections prove no crash. A crash ends all its responses at nearly the
    same time, and leaves its entry in the list until that expires. If neither
    tells, the response counts as complete, since targets that drain seldom
    crash.
    """
    if closing.target.is_alive:
        return End.CLOSED
    if not closing.is_draining or closing.has_short_notice:
        return End.UNREACHABLE
    if closing.cut_count:
        return End.UNREACHABLE
    if closing.outlived_count:
        return End.CLOSED_BY_EXIT
    match closing.deregistration:
        case Deregistration.PENDING:
            return Undecided.DEREGISTRATION
        case Deregistration.REMOVED:
            return End.CLOSED_BY_EXIT
        case Deregistration.LISTED:
            return End.UNREACHABLE
    return End.UNREACHABLE if closing.closed_count else End.CLOSED_BY_EXIT
