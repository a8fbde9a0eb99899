"""Objects of the platform's store, as returned by its client."""

import dataclasses
from typing import Any

from radishstack.process import store_position


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A JSON object that the store returned, with the store's era.

    Attributes:
        fields: Members of the JSON object.
        era: Store era at the time of the answer.
    """

    fields: dict[str, Any]
    era: int

    def entries(self, field: str) -> list[Any]:
        """Returns the list in a field, or an empty one if it holds none."""
        entries = self.fields.get(field)
        return entries if isinstance(entries, list) else []


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """A stored object.

    Attributes:
        name: Name of the object.
        spec: Content of the object.
        created: Store revision at which the object was created.
        revision: Store revision at which the object last changed.
        deleted: Whether the object was deleted.
        era: Store era of the revisions.
    """

    name: str
    spec: Any
    created: int = 0
    revision: int = 0
    deleted: bool = False
    era: int = 0

    @property
    def position(self) -> store_position.StorePosition:
        """Position at which the object last changed."""
        return store_position.StorePosition(self.era, self.revision)


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Objects read from the store at one revision.

    Attributes:
        records: The objects.
        revision: Store revision of the read.
        nameless_count: Number of objects that were skipped because they lack
            a name or a store revision.
        era: Store era of the revision.
    """

    records: tuple[Record, ...]
    revision: int
    nameless_count: int = 0
    era: int = 0

    @property
    def position(self) -> store_position.StorePosition:
        """Position of the read."""
        return store_position.StorePosition(self.era, self.revision)


@dataclasses.dataclass(frozen=True, slots=True)
class Expired:
    """Sentinel: the history since the revision of a watch has expired."""
