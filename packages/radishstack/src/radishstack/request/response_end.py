"""How the response of a target ended."""

import enum


class End(enum.Enum):
    """How a response ended; the values are log and metric labels.

    Attributes:
        DELIMITED: Its length or its last chunk was reached.
        CLOSED: It has neither, and its connection was closed.
        LOST: Its connection was lost before its end.
        STALLED: The target stopped sending.
        INVALID: It was invalid or too large.
    """

    DELIMITED = "delimited"
    CLOSED = "closed"
    LOST = "lost"
    STALLED = "stalled"
    INVALID = "invalid"
