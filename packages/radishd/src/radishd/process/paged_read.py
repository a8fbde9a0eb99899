"""Reads a list of the store page by page."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from radishstack import result
from radishstack.process import paged_list

from radishd.process import stored

MAX_PAGES = 1_000
# Longer names are no marks of a page, since a request line is limited.
MAX_MARK_BYTES = 4_096


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """One page of a list.

    Attributes:
        records: Its objects, None for one without a valid name or revision.
        names: The names of its objects, in the order of the store.
        revision: Store revision as of which it was read.
        era: Store era of the revision.
        has_more: Whether the list continues after it.
    """

    records: list[stored.Record | None]
    names: list[str]
    revision: int
    era: int
    has_more: bool


ReadPage = Callable[[str], Awaitable[result.Outcome[Page]]]


async def read_all(
    kind: str, read_page: ReadPage
) -> result.Outcome[stored.Batch]:
    """Reads all objects of a kind.

    Args:
        kind: Kind of object, for errors.
        read_page: Reads the page after a name.
    """
    pages: paged_list.PagedList[stored.Record | None] = paged_list.PagedList()
    mark = ""
    era: int | None = None
    for _ in range(MAX_PAGES):
        page = await read_page(mark)
        if isinstance(page, result.Failure):
            return page
        era = page.era if era is None else era
        if page.era != era:
            return result.Failure(
                result.STORE_UNAVAILABLE, f"store restored while listing {kind}"
            )
        pages.add_page(page.records, page.revision)
        if not page.has_more:
            return stored.make_batch(pages.records, pages.revision, era)
        last_mark, mark = mark, _mark(page.names)
        if mark in ("", last_mark):
            break
    return result.Failure(result.STORE_CORRUPT, f"{kind}: the list has no end")


def _mark(names: Iterable[str]) -> str:
    """Returns the name after which the next page begins, empty if unknown.

    The names of unreadable objects count as well: a page may contain no others.
    """
    usable = [
        name
        for name in names
        if name and len(name.encode(errors="surrogatepass")) <= MAX_MARK_BYTES
    ]
    return usable[-1] if usable else ""
