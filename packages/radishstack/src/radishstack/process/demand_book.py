"""What a gateway tells each process beside an engine: uses and wants."""

from radishstack.process import adapter_keeper

# A wish for a further copy, for which no request waits, is renewed by each
# request that the busy holder gets; without one it is dropped.
COPY_MS = 300


class DemandBook:
    """Uses and wants of one gateway at one engine."""

    def __init__(self) -> None:
        """Starts with none."""
        self._in_flight: dict[str, int] = {}
        self._sent: dict[str, int] = {}
        self._copies: dict[str, tuple[int, int]] = {}
        self._waits: dict[str, tuple[int, int]] = {}
        self._told_some = False

    def began(self, adapter: str) -> None:
        """Counts a request that is sent."""
        self._in_flight[adapter] = self._in_flight.get(adapter, 0) + 1
        self._sent[adapter] = self._sent.get(adapter, 0) + 1

    def ended(self, adapter: str) -> bool:
        """Counts a request that has ended.

        Returns:
            Whether none uses the adapter any more.
        """
        left = self._in_flight.get(adapter, 0) - 1
        if left > 0:
            self._in_flight[adapter] = left
            return False
        self._in_flight.pop(adapter, None)
        return True

    @property
    def busy(self) -> bool:
        """Whether requests are under way or wait."""
        return bool(self._in_flight or self._waits)

    @property
    def has_news(self) -> bool:
        """Whether there is anything to tell.

        That nothing is used any more is news too: untold, the adapter that
        was used last would keep its place for as long as it is believed.
        """
        return self.busy or bool(self._sent) or self._told_some

    def wait(self, adapter: str, version: int) -> bool:
        """Counts a request that waits; returns whether it is the first."""
        known, count = self._waits.get(adapter, (0, 0))
        self._waits[adapter] = (max(known, version), count + 1)
        return not count

    def waits_no_more(self, adapter: str) -> bool:
        """Counts one that waits no more; returns whether none is left."""
        version, count = self._waits.get(adapter, (0, 0))
        if count > 1:
            self._waits[adapter] = (version, count - 1)
            return False
        self._waits.pop(adapter, None)
        return True

    def copy(self, adapter: str, version: int, now_ms: int) -> bool:
        """Asks for a further copy; returns whether this is a new wish."""
        known = self._copies.get(adapter)
        self._copies[adapter] = (version, now_ms + COPY_MS)
        return known is None or known[0] != version or known[1] < now_ms

    def take(
        self, now_ms: int
    ) -> tuple[tuple[adapter_keeper.Use, ...], tuple[adapter_keeper.Want, ...]]:
        """Takes what is to be told now; counts of sends begin anew."""
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
        wants = [
            adapter_keeper.Want(name, version, count)
            for name, (version, count) in self._waits.items()
        ]
        wants += [
            adapter_keeper.Want(name, version)
            for name, (version, _) in self._copies.items()
            if name not in self._waits
        ]
        self._told_some = bool(uses or wants)
        return uses, tuple(wants)
