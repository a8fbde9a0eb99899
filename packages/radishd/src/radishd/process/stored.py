"""Objects of the platform's store, as returned by its client."""

from collections.abc import Iterable
import dataclasses
from typing import Any

from radishstack.process import store_position

_REVISIONS = range(2**63)


def revision_of(value: Any) -> int | None:
    """Returns a revision of the store, None if the value is none."""
    is_valid = type(value) is int and value in _REVISIONS
    return value if is_valid else None


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A JSON object that the store returned, with the store's era.

    Attributes:
        fields: Members of the JSON object.
        era: Store era at the time of the answer.
    """

    fields: dict[str, Any]
    era: int

    def entries(self, field: str) -> list[Any] | None:
        """Returns the list in a field, None if it holds none."""
        entries = self.fields.get(field)
        return entries if isinstance(entries, list) else None

    @property
    def revision(self) -> int | None:
        """The store's revision as of the answer, None if it has none."""
        return revision_of(self.fields.get("at"))


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """A stored object.

    Attributes:
        name: Name of the object.
        spec: Content of the object, ``untrusted_json.Unreadable`` if it cannot
            be decoded.
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


def make_batch(
    decoded: Iterable[Record | None], revision: int, era: int
) -> Batch:
    """Makes a batch of decoded objects.

    Args:
        decoded: The objects, None for one without a name or a revision.
        revision: Store revision of the read.
        era: Store era of the revision.
    """
    decoded = list(decoded)
    records = tuple(one for one in decoded if one is not None)
    return Batch(records, revision, len(decoded) - len(records), era)


@dataclasses.dataclass(frozen=True, slots=True)
class Expired:
    """Sentinel: the history since the revision of a watch has expired."""
