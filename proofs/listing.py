"""State machine over a list that is read in pages, and the watch after it.

Objects are created, changed, deleted and created again between the pages; the
history expires, and the reader begins anew.
"""

import collections

from hypothesis import stateful
from hypothesis import strategies as st
from radishstack.process import paged_list

COUNTS: collections.Counter[str] = collections.Counter()
NAMES = tuple("abcdefgh")
PAGE_SIZE = 2


class ListingMachine(stateful.RuleBasedStateMachine):
    """A store, and a reader that lists and then watches."""

    def __init__(self) -> None:
        """Starts with an empty store and a reader that has read nothing."""
        super().__init__()
        self.objects: dict[str, int] = {}
        self.history: list[tuple[int, str, bool]] = []
        self.oldest = 0
        self.revision = 1
        self.view: dict[str, int] = {}
        self.watched = 0
        self._begin_list()

    def _begin_list(self) -> None:
        self.pages: paged_list.PagedList[tuple[str, int]] | None = (
            paged_list.PagedList()
        )
        self.after = ""

    @stateful.rule(name=st.sampled_from(NAMES))
    def put(self, name: str) -> None:
        """Creates or changes an object."""
        self.revision += 1
        self.objects[name] = self.revision
        self.history.append((self.revision, name, False))

    @stateful.rule(name=st.sampled_from(NAMES))
    def delete(self, name: str) -> None:
        """Deletes an object."""
        if self.objects.pop(name, None) is not None:
            self.revision += 1
            self.history.append((self.revision, name, True))

    @stateful.rule()
    def expire_history(self) -> None:
        """Forgets all changes so far."""
        self.oldest = self.revision

    @stateful.rule()
    def read(self) -> None:
        """Reads the next page, or what changed since the last read."""
        if self.pages is not None:
            self._read_page(self.pages)
        else:
            self._watch()

    def _read_page(self, pages: paged_list.PagedList[tuple[str, int]]) -> None:
        names = sorted(name for name in self.objects if name > self.after)
        page = names[:PAGE_SIZE]
        pages.add_page(
            [(name, self.objects[name]) for name in page], self.revision
        )
        if len(names) > PAGE_SIZE:
            COUNTS["page"] += 1
            self.after = page[-1]
            return
        COUNTS["list"] += 1
        self.view = dict(pages.records)
        self.watched = pages.revision
        self.pages = None

    def _watch(self) -> None:
        if self.watched < self.oldest:
            COUNTS["fault expired"] += 1
            self._begin_list()
            return
        for revision, name, deleted in self.history:
            if revision <= self.watched:
                continue
            if deleted:
                self.view.pop(name, None)
            else:
                self.view[name] = revision
        self.watched = self.revision
        assert self.view == self.objects, (self.view, self.objects)
        COUNTS["compared"] += 1
