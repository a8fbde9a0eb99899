"""The load report that a target process sends to entry daemons."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """The state of a target, as its process reports it.

    Attributes:
        residency: ``residency.AdapterState`` of the requested adapter.
        leaving: Whether it accepts no new work.
        version: Configuration version in force at the target.
        queued: Queued attempts.
        running: Dispatched attempts.
        wait_ms: Predicted wait for a request slot.
        load_ms: Predicted time to load the adapter, 0 if resident.
        process: Identity of the target process.
        blocked: Whether every adapter slot is in use, so that a load would
            have to wait for a run to end.
    """

    residency: int
    leaving: bool
    version: int
    queued: int
    running: int
    wait_ms: int
    load_ms: int
    process: bytes
    blocked: bool = False
