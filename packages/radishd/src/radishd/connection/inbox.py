"""Queue of received frames of one stream."""

import collections

import anyio
from radishstack import result
from radishstack.connection import frame


class Inbox:
    """A queue between a connection's reader and one request."""

    __slots__ = ("_items", "_wake")

    def __init__(self) -> None:
        """Starts empty."""
        self._items: collections.deque[object] = collections.deque()
        self._wake: anyio.Event | None = None

    def __len__(self) -> int:
        """Returns the number of queued items."""
        return len(self._items)

    def put(self, item: object) -> None:
        """Adds an item without blocking; the peer's window bounds the queue."""
        self._items.append(item)
        if self._wake is not None:
            self._wake.set()

    def take_ready(self) -> object | None:
        """Returns the next queued item, or None."""
        return self._items.popleft() if self._items else None

    async def take(self) -> object:
        """Waits for the next item."""
        while not self._items:
            self._wake = anyio.Event()
            await self._wake.wait()
        self._wake = None
        return self._items.popleft()


LINK_LOST = result.Failure(result.LINK_LOST, "the connection was cut")

Item = frame.Body | result.Failure
