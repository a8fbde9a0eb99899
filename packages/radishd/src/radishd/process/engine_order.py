"""Outcomes of orders to an engine of the platform."""

import dataclasses
import enum


class Verdict(enum.Enum):
    """Outcome of an order."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    OTHER_INSTANCE = "other_instance"
    REFUSED = "refused"
    UNANSWERED = "unanswered"


@dataclasses.dataclass(frozen=True, slots=True)
class OrderResult:
    """Outcome of an order, with the text of the engine's response."""

    verdict: Verdict
    detail: str
