"""Crash of a target, as one gateway observes it."""

import dataclasses

from radishstack.process import incarnation


@dataclasses.dataclass(frozen=True, slots=True)
class Suspect:
    """A request that was running on a target when the target crashed.

    Attributes:
        fingerprint: Identifies equal requests, see ``request.fingerprint``.
        began_at_ms: When the request was sent to the target.
    """

    fingerprint: str
    began_at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """The crash of one incarnation of a target.

    Attributes:
        incarnation_id: The incarnation that crashed.
        at_ms: When its connections broke.
        suspects: Requests of this gateway that were running on the target.
    """

    incarnation_id: incarnation.IncarnationId
    at_ms: int
    suspects: tuple[Suspect, ...]
