"""A target's own word on its state, as it travels between processes."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """A target's own word on its state.

    Attributes:
        residency: Of the adapter asked about, a ``residency.AdapterState``.
        leaving: Whether it takes no new work.
        version: Configuration version it holds.
        queued: Queued attempts.
        running: Dispatched attempts.
        wait_ms: Predicted wait for a place in the batch.
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
