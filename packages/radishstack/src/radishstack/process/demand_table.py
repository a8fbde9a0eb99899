"""What a gateway tells each process beside an engine: uses and wants."""

import dataclasses

from radishstack.process import adapter_keeper

# A load request for a further copy, for which no caller waits, is renewed by
# each request that the busy holder gets; without one it is dropped.
COPY_REQUEST_TTL_MS = 300


@dataclasses.dataclass(slots=True)
class _WaitingRequests:
    """The requests that wait for one adapter."""

    version: int = 0
    due_at_ms: list[int] = dataclasses.field(default_factory=list)

    def load_request(
        self, adapter: str, now_ms: int
    ) -> adapter_keeper.LoadRequest:
        """Returns what is told of them."""
        return adapter_keeper.LoadRequest(
            adapter,
            self.version,
            len(self.due_at_ms),
            _remaining_ms(min(self.due_at_ms), now_ms),
            _remaining_ms(max(self.due_at_ms), now_ms),
        )


def _remaining_ms(due_at_ms: int, now_ms: int) -> int:
    if due_at_ms == adapter_keeper.NEVER_DUE_MS:
        return due_at_ms
    return due_at_ms - now_ms


class DemandTable:
    """Uses and wants of one gateway at one engine."""

    def __init__(self) -> None:
        """Starts with none."""
        self._in_flight: dict[str, int] = {}
        self._sent: dict[str, int] = {}
        self._copies: dict[str, tuple[int, int]] = {}
        self._waiting: dict[str, _WaitingRequests] = {}
        self._reported_any = False

    def began(self, adapter: str) -> None:
        """Counts a request that is sent."""
        self._in_flight[adapter] = self._in_flight.get(adapter, 0) + 1
        self._sent[adapter] = self._sent.get(adapter, 0) + 1

    def ended(self, adapter: str) -> bool:
        """Counts a request that has ended.

        Returns:
            Whether none uses the adapter any more.
        """
        remaining = self._in_flight.get(adapter, 0) - 1
        if remaining > 0:
            self._in_flight[adapter] = remaining
            return False
        self._in_flight.pop(adapter, None)
        return True

    @property
    def busy(self) -> bool:
        """Whether requests are under way or wait."""
        return bool(self._in_flight or self._waiting)

    @property
    def has_update(self) -> bool:
        """Whether there is anything to tell.

        That nothing is used any more is news too: untold, the adapter that
        was used last would keep its place for as long as it is believed.
        """
        return self.busy or bool(self._sent) or self._reported_any

    def wait(
        self,
        adapter: str,
        version: int,
        due_at_ms: int = adapter_keeper.NEVER_DUE_MS,
    ) -> bool:
        """Counts a request that waits.

        Args:
            adapter: What it waits for.
            version: The version that it needs.
            due_at_ms: When it must be sent to be answered in time.

        Returns:
            Whether it is the first that waits for it.
        """
        waiting = self._waiting.setdefault(adapter, _WaitingRequests())
        waiting.version = max(waiting.version, version)
        waiting.due_at_ms.append(due_at_ms)
        return len(waiting.due_at_ms) == 1

    def stop_waiting(
        self, adapter: str, due_at_ms: int = adapter_keeper.NEVER_DUE_MS
    ) -> bool:
        """Counts one that waits no more; returns whether none is left."""
        waiting = self._waiting.get(adapter)
        if waiting is None:
            return True
        waiting.due_at_ms.remove(due_at_ms)
        if waiting.due_at_ms:
            return False
        del self._waiting[adapter]
        return True

    def request_copy(self, adapter: str, version: int, now_ms: int) -> bool:
        """Asks for a further copy; returns whether this is a new wish."""
        known = self._copies.get(adapter)
        self._copies[adapter] = (version, now_ms + COPY_REQUEST_TTL_MS)
        return known is None or known[0] != version or known[1] < now_ms

    def take(
        self, now_ms: int
    ) -> tuple[
        tuple[adapter_keeper.Use, ...], tuple[adapter_keeper.LoadRequest, ...]
    ]:
        """Returns what is to be sent now; counts of sends begin anew."""
        names = self._in_flight.keys() | self._sent.keys()
        uses = tuple(
            adapter_keeper.Use(
                name, self._in_flight.get(name, 0), self._sent.get(name, 0)
            )
            for name in sorted(names)
        )
        self._sent.clear()
        self._copies = {
            name: copy
            for name, copy in self._copies.items()
            if copy[1] >= now_ms
        }
        load_requests = [
            waiting.load_request(name, now_ms)
            for name, waiting in self._waiting.items()
        ]
        load_requests += [
            adapter_keeper.LoadRequest(name, version)
            for name, (version, _) in self._copies.items()
            if name not in self._waiting
        ]
        self._reported_any = bool(uses or load_requests)
        return uses, tuple(load_requests)
