"""Objects of the platform's store, as returned by its client."""

import dataclasses
from typing import Any


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """A stored object.

    Attributes:
        name: Name of the object.
        spec: Content of the object.
        created: Store revision at which the object was created.
        revision: Store revision at which the object last changed.
        deleted: Whether the object was deleted.
    """

    name: str
    spec: Any
    created: int = 0
    revision: int = 0
    deleted: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Objects read from the store at one revision.

    Attributes:
        records: The objects.
        revision: Store revision of the read.
        nameless_count: Number of objects that were skipped because they lack
            a name or a store revision.
    """

    records: tuple[Record, ...]
    revision: int
    nameless_count: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Expired:
    """Sentinel: the history since the revision of a watch has expired."""
