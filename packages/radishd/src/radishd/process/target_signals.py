"""What a target reports about itself in the headers of a response."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class TargetSignals:
    """State of a target that a response reports in its headers.

    Attributes:
        leaving: Whether the target drains and soon stops, even if requests run.
        backoff_ms: Requested pause in requests from this VM, 0 if not stated.
    """

    leaving: bool = False
    backoff_ms: int = 0


NO_SIGNALS = TargetSignals()
