"""Crash of a target, as one gateway observes it."""

import dataclasses
import enum

from radishstack.process import incarnation


class FeatureKind(enum.Enum):
    """Kind of a feature of requests; the values are log labels.

    Attributes:
        REQUEST: The whole request, which may be repeated.
        PROMPT_BLOCK: A block of the prompt, which requests may share that are
            equal in nothing else.
    """

    REQUEST = "request"
    PROMPT_BLOCK = "prompt_block"


@dataclasses.dataclass(frozen=True, slots=True)
class Suspect:
    """A feature of requests that ran on a target when the target crashed.

    Attributes:
        fingerprint: Identifies the feature, see ``request.fingerprint``.
        began_at_ms: When the first of these requests was sent to the target.
        kind: Kind of the feature.
    """

    fingerprint: str
    began_at_ms: int
    kind: FeatureKind = FeatureKind.REQUEST


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """The crash of one incarnation of a target.

    Attributes:
        incarnation_id: The incarnation that crashed.
        at_ms: When its connections broke.
        suspects: Features of the requests of this gateway that were running on
            the target.
    """

    incarnation_id: incarnation.IncarnationId
    at_ms: int
    suspects: tuple[Suspect, ...]
