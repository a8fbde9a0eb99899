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


def kind_at(block_position: int) -> FeatureKind:
    """Returns the kind of the feature at a position of the prompt."""
    if block_position:
        return FeatureKind.PROMPT_BLOCK
    return FeatureKind.REQUEST


@dataclasses.dataclass(frozen=True, slots=True)
class Suspect:
    """A feature of requests that ran on a target when the target crashed.

    Attributes:
        fingerprint: Identifies the feature, see ``request.fingerprint``.
        began_at_ms: When the first of these requests was sent to the target.
        block_position: Position of the feature, a block of the prompt; 0 if it
            is the whole request.
    """

    fingerprint: str
    began_at_ms: int
    block_position: int = 0

    @property
    def kind(self) -> FeatureKind:
        """Kind of the feature."""
        return kind_at(self.block_position)


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
