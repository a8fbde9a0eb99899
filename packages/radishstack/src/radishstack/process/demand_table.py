"""The uses and load requests that a gateway sends to an engine's sidecar."""

import dataclasses

from radishstack.process import adapter_keeper

# No caller waits for a further copy. Each request that the busy holder gets
# renews the load request for the copy, which otherwise expires.
COPY_REQUEST_TTL_MS = 300


@dataclasses.dataclass(slots=True)
class _WaitingRequests:
    """The requests that wait for one adapter."""

    version: int = 0
    due_at_ms: list[int] = dataclasses.field(default_factory=list)

    def load_request(
        self, adapter: str, now_ms: int
    ) -> adapter_keeper.LoadRequest:
        """Returns the load request to send for them."""
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
    """Uses and load requests of one gateway at one engine."""

    def __init__(self) -> None:
        """Creates an empty table."""
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
            Whether no request uses the adapter any more.
        """
        remaining = self._in_flight.get(adapter, 0) - 1
        if remaining > 0:
            self._in_flight[adapter] = remaining
            return False
        self._in_flight.pop(adapter, None)
        return True

    @property
    def busy(self) -> bool:
        """Whether requests are in flight or wait."""
        return bool(self._in_flight or self._waiting)

    @property
    def has_update(self) -> bool:
        """Whether there is anything to send.

        The end of all uses must be sent too. Otherwise the last used adapter
        would keep its slot until the sidecar expires its use.
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
            Whether no other request waits for the adapter.
        """
        waiting = self._waiting.setdefault(adapter, _WaitingRequests())
        waiting.version = max(waiting.version, version)
        waiting.due_at_ms.append(due_at_ms)
        return len(waiting.due_at_ms) == 1

    def stop_waiting(
        self, adapter: str, due_at_ms: int = adapter_keeper.NEVER_DUE_MS
    ) -> bool:
        """Counts the end of a wait; returns whether no request waits now."""
        waiting = self._waiting.get(adapter)
        if waiting is None:
            return True
        waiting.due_at_ms.remove(due_at_ms)
        if waiting.due_at_ms:
            return False
        del self._waiting[adapter]
        return True

    def request_copy(self, adapter: str, version: int, now_ms: int) -> bool:
        """Requests a further copy; returns whether the request is new."""
        known = self._copies.get(adapter)
        self._copies[adapter] = (version, now_ms + COPY_REQUEST_TTL_MS)
        return known is None or known[0] != version or known[1] < now_ms

    def take(
        self, now_ms: int
    ) -> tuple[
        tuple[adapter_keeper.Use, ...], tuple[adapter_keeper.LoadRequest, ...]
    ]:
        """Returns what to send now and resets the counts of sent requests."""
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
