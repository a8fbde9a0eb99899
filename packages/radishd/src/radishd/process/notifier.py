"""Wakes the requests that wait for an adapter, and no others.

Status updates of sidecars change the known residency tens of times a second. If
each change made every waiting request choose a target again, the gateway's CPU
time would grow with requests times engines. A request is woken when its own
adapter has been loaded, and polls for all other changes.
"""

import anyio


class Notifier:
    """The waiting requests of one gateway, by adapter."""

    def __init__(self) -> None:
        """Starts without waiting requests."""
        self._waiting: dict[str, set[anyio.Event]] = {}

    async def wait(self, adapter: str) -> None:
        """Waits until the adapter's or all requests are notified.

        Args:
            adapter: The adapter.
        """
        event = anyio.Event()
        waiting = self._waiting.setdefault(adapter, set())
        waiting.add(event)
        try:
            await event.wait()
        finally:
            waiting.discard(event)
            if not waiting and self._waiting.get(adapter) is waiting:
                del self._waiting[adapter]

    def notify(self, adapter: str) -> None:
        """Wakes the requests that wait for an adapter."""
        for event in self._waiting.get(adapter, ()):
            event.set()

    def notify_all(self) -> None:
        """Wakes all waiting requests, whichever adapter they wait for.

        Used after changes other than the residency of a single adapter.
        """
        for adapter in list(self._waiting):
            self.notify(adapter)
