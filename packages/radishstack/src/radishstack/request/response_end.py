"""Decides whether the end of a response is the end of the answer.

Load pattern: a target that breaks off single answers, or that crashes with many
answers under way. Such an answer may look complete to HTTP: its connection is
closed like that of a whole answer without a length, or its last chunk is sent
in the middle of an event.
"""

import dataclasses
import enum


class End(enum.Enum):
    """How a response ended; the values are log and metric labels.

    Attributes:
        DELIMITED: Its length or its last chunk was reached.
        CLOSED: It has neither, and its target closed the connection and accepts
            new ones.
        INSIDE_EVENT: It ended in the middle of an event.
        EMPTY: It has neither, and ended before the first event of its stream.
        UNREACHABLE: It has neither, and its target closed the connection and
            accepts no new one, as after a crash.
        LOST: Its connection was lost before its length or last chunk.
        STALLED: The target stopped sending.
        INVALID: It was invalid or too large.
    """

    DELIMITED = "delimited"
    CLOSED = "closed"
    INSIDE_EVENT = "inside_event"
    EMPTY = "empty"
    UNREACHABLE = "unreachable"
    LOST = "lost"
    STALLED = "stalled"
    INVALID = "invalid"

    @property
    def is_complete(self) -> bool:
        """Whether the answer is complete."""
        return self in (End.DELIMITED, End.CLOSED)


class Undecided(enum.Enum):
    """A sentinel: only the state of the target tells how the response ended."""

    TARGET_STATE = "target_state"


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


def judge_closed(*, target_accepts: bool) -> End:
    """Decides how a response ended that its bytes do not tell.

    Args:
        target_accepts: Whether the target accepted a connection after it had
            closed that of the response.
    """
    return End.CLOSED if target_accepts else End.UNREACHABLE
