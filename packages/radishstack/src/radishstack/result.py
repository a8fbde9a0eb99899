"""Numbered result codes, and failures as return values.

Every code has one row in ``docs/RESULT_CODES.md``; a test compares the two.
"""

import dataclasses
import enum
from typing import TypeVar

T = TypeVar("T")


class Executed(enum.StrEnum):
    """Whether a request ran, as far as this is proven."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Code:
    """One numbered result code.

    Attributes:
        number: Stable number; never reused with another meaning.
        name: Stable name in snake case, the ``type`` of an API error.
        status: HTTP status of a response with this code, 0 if there is none.
        executed: Whether a request with this result ran.
        retry_elsewhere: Whether another target may succeed.
    """

    number: int
    name: str
    status: int
    executed: Executed = Executed.NO
    retry_elsewhere: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """A failed operation and its reason.

    Attributes:
        code: The result code.
        message: Human-readable explanation in one sentence.
        retry_after_ms: When to retry, 0 if a retry does not help.
        proof: Whether the request ran, where that differs from the code's own
            ``executed``: a keyed request may have run under its key before.
    """

    code: Code
    message: str
    retry_after_ms: int = 0
    proof: Executed | None = None

    @property
    def executed(self) -> Executed:
        """Whether the request ran, as far as it is proven."""
        return self.code.executed if self.proof is None else self.proof


Outcome = T | Failure

BODY_MALFORMED = Code(1001, "body_malformed", 400)
BODY_TOO_LARGE = Code(1002, "body_too_large", 413)
MODEL_UNKNOWN = Code(1003, "model_unknown", 404)
VERSION_UNKNOWN = Code(1004, "version_unknown", 404)
SERVICE_UNKNOWN = Code(1005, "service_unknown", 404)
KEY_MISSING = Code(1006, "key_missing", 400)
KEY_REUSED = Code(1007, "key_reused", 422)
TIMEOUT_INVALID = Code(1008, "timeout_invalid", 400)
HEADERS_TOO_LARGE = Code(1009, "headers_too_large", 431)
PATH_UNKNOWN = Code(1010, "path_unknown", 404)
METHOD_UNSUPPORTED = Code(1011, "method_unsupported", 405)
KEY_INVALID = Code(1012, "key_invalid", 400)
SERVICE_KIND_WRONG = Code(1013, "service_kind_wrong", 400)

QUEUE_FULL = Code(2001, "queue_full", 429, retry_elsewhere=True)
DEADLINE_TOO_SHORT = Code(2002, "deadline_too_short", 503, retry_elsewhere=True)
TARGET_LEAVING = Code(2003, "target_leaving", 503, retry_elsewhere=True)
TARGET_UNREACHABLE = Code(2004, "target_unreachable", 503, retry_elsewhere=True)
TARGET_COLD = Code(2005, "target_cold", 503, retry_elsewhere=True)
LOAD_FAILED = Code(2006, "load_failed", 503, retry_elsewhere=True)
VERSION_BEHIND = Code(2007, "version_behind", 503, retry_elsewhere=True)
ASSUMPTION_STALE = Code(2008, "assumption_stale", 503, retry_elsewhere=True)
CUSTOMER_LIMIT = Code(2009, "customer_limit", 429)
SERVICE_LIMIT = Code(2010, "service_limit", 429)
ENTRY_FULL = Code(2011, "entry_full", 503)
ENTRY_DRAINING = Code(2012, "entry_draining", 503)
RETRIES_EXHAUSTED = Code(2013, "retries_exhausted", 503)
NO_TARGET = Code(2014, "no_target", 503)
CANCELLED = Code(2015, "cancelled", 499)
NOT_READY = Code(2016, "not_ready", 503)
ATTEMPT_REFUSED = Code(2017, "attempt_refused", 503)
LEDGER_FULL = Code(2018, "ledger_full", 503, Executed.UNKNOWN)
NOT_HOME = Code(2019, "not_home", 503, Executed.UNKNOWN)

ROUTE_UNKNOWN = Code(1014, "route_unknown", 404)
CREDENTIALS_MISSING = Code(1015, "credentials_missing", 401)
CREDENTIALS_UNKNOWN = Code(1016, "credentials_unknown", 401)
ADAPTER_LOADING = Code(2020, "adapter_loading", 503, retry_elsewhere=True)
TARGET_SHED = Code(2021, "target_shed", 503, retry_elsewhere=True)
TARGET_MISMATCH = Code(2022, "target_mismatch", 503, retry_elsewhere=True)
ROUTE_TIMEOUT_UNSENT = Code(2023, "route_timeout_unsent", 503)
REQUEST_ENDS_TARGETS = Code(2024, "request_ends_targets", 503)
USAGE_CAP_REACHED = Code(2025, "usage_cap_reached", 429)
TARGETS_RATE_LIMITED = Code(2026, "targets_rate_limited", 503)

STREAM_ORIGIN_UNKNOWN = Code(2027, "stream_origin_unknown", 503)
SOFTWARE_VERSION_UNAVAILABLE = Code(2028, "software_version_unavailable", 503)

OUTCOME_UNKNOWN = Code(3001, "outcome_unknown", 504, Executed.UNKNOWN)
KEY_QUARANTINED = Code(3002, "key_quarantined", 503, Executed.UNKNOWN)
HOME_UNREACHABLE = Code(3003, "home_unreachable", 503, Executed.UNKNOWN)
ANSWER_NOT_KEPT = Code(3004, "answer_not_kept", 409, Executed.YES)
ANSWER_CUT = Code(3005, "answer_cut", 502, Executed.UNKNOWN)
TARGET_FAILED = Code(3006, "target_failed", 502, Executed.UNKNOWN)
WRONG_ADAPTER = Code(3007, "wrong_adapter", 502, Executed.YES)
RUN_UNKNOWN = Code(3008, "run_unknown", 502, Executed.UNKNOWN)
PRIOR_HOME_UNKNOWN = Code(3009, "prior_home_unknown", 503, Executed.UNKNOWN)

ROUTE_TIMEOUT = Code(3010, "route_timeout", 504, Executed.UNKNOWN)
ANSWER_LOST = Code(3011, "answer_lost", 502, Executed.UNKNOWN)
ANSWER_SPOILED = Code(3012, "answer_spoiled", 502, Executed.UNKNOWN)

CHANGE_CONFLICT = Code(4001, "change_conflict", 409)
CHANGE_INVALID = Code(4002, "change_invalid", 400)
STORE_UNAVAILABLE = Code(4003, "store_unavailable", 503)
CHANGE_UNCERTAIN = Code(4004, "change_uncertain", 504, Executed.UNKNOWN)
STORE_CORRUPT = Code(4005, "store_corrupt", 500)
CHANGE_RACED = Code(4006, "change_raced", 409)
SETTINGS_INVALID = Code(4007, "settings_invalid", 400)

FRAME_TOO_LARGE = Code(5001, "frame_too_large", 0)
FRAME_MALFORMED = Code(5002, "frame_malformed", 0)
STREAM_UNKNOWN = Code(5003, "stream_unknown", 0)
STREAM_REUSED = Code(5004, "stream_reused", 0)
CHUNK_GAP = Code(5005, "chunk_gap", 0)
STREAMS_EXHAUSTED = Code(5006, "streams_exhausted", 0)
LINK_LOST = Code(5007, "link_lost", 0, Executed.UNKNOWN)
ORDER_REFUSED = Code(5008, "order_refused", 0)

DISPATCHED_TWICE = Code(9001, "dispatched_twice", 500, Executed.UNKNOWN)
REFUSED_AND_RUN = Code(9002, "refused_and_run", 500, Executed.UNKNOWN)
DISPATCH_WRONG_ADAPTER = Code(9003, "dispatch_wrong_adapter", 500)
UNLOAD_WHILE_SERVING = Code(9004, "unload_while_serving", 500)
VERSION_FELL = Code(9005, "version_fell", 500)
ADMITTED_WHILE_LEAVING = Code(9006, "admitted_while_leaving", 500)
CUT_AT_SHUTDOWN = Code(9007, "cut_at_shutdown", 500, Executed.UNKNOWN)
CHUNK_ORDER_BROKEN = Code(9008, "chunk_order_broken", 500, Executed.UNKNOWN)
GRANT_MISCOUNTED = Code(9009, "grant_miscounted", 500, Executed.UNKNOWN)
REPLY_TWICE = Code(9010, "reply_twice", 500, Executed.UNKNOWN)
SLOTS_OVERFILLED = Code(9012, "slots_overfilled", 500)
SENT_AFTER_POSSIBLE_RUN = Code(
    9013, "sent_after_possible_run", 500, Executed.UNKNOWN
)
DEADLINE_GREW = Code(9014, "deadline_grew", 500, Executed.UNKNOWN)
OTHER_SOFTWARE_VERSION = Code(
    9015, "other_software_version", 500, Executed.UNKNOWN
)
CONNECTION_REUSED = Code(9016, "connection_reused", 500, Executed.UNKNOWN)
INTERNAL = Code(9011, "internal", 500, Executed.UNKNOWN)

BY_NUMBER: dict[int, Code] = {
    code.number: code
    for code in list(globals().values())
    if isinstance(code, Code)
}


def find_code(number: int) -> Code:
    """Finds a code by its number.

    Args:
        number: The number, possibly from a newer peer.

    Returns:
        The code, or ``OUTCOME_UNKNOWN`` for an unknown number, since only a
        known code proves anything about the request.
    """
    return BY_NUMBER.get(number, OUTCOME_UNKNOWN)
