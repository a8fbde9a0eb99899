"""What a gateway sees of a target that ends while it runs requests."""

import dataclasses

from radishstack.process import incarnation


@dataclasses.dataclass(frozen=True, slots=True)
class Suspect:
    """One request that a target was running as it ended.

    Attributes:
        fingerprint: What it asks, see ``request.fingerprint``.
        began_at_ms: When it was sent there.
    """

    fingerprint: str
    began_at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """The end of one start of a target.

    Attributes:
        start: The start that ended.
        at_ms: When its connections broke.
        suspects: The requests of this gateway that it was running.
    """

    incarnation_id: incarnation.IncarnationId
    at_ms: int
    suspects: tuple[Suspect, ...]
