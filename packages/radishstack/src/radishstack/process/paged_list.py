"""A list that is read in pages, each of them as of its own revision."""

from collections.abc import Iterable
import dataclasses
from typing import Generic
from typing import TypeVar

T = TypeVar("T")


@dataclasses.dataclass(slots=True)
class PagedList(Generic[T]):
    """The pages that were read so far.

    What changes on a page after it was read is not in the list, so the watch
    that follows begins at the earliest page. It repeats changes that later
    pages contain, in their order; applied again, they lead to the same state.

    Attributes:
        records: The objects of all pages.
        revision: Revision from which changes are to be watched, 0 before the
            first page.
    """

    records: list[T] = dataclasses.field(default_factory=list)
    revision: int = 0

    def add_page(self, records: Iterable[T], revision: int) -> None:
        """Adds a page.

        Args:
            records: Its objects.
            revision: Revision as of which it was read.
        """
        self.records.extend(records)
        self.revision = min(self.revision or revision, revision)
