"""What a gateway tells each process beside an engine: uses and wants."""

from radishstack.process import adapter_keeper

# A want that no waiting request has renewed is dropped.
WANT_MS = 300


class DemandBook:
    """Uses and wants of one gateway at one engine."""

    def __init__(self) -> None:
        """Starts with none."""
        self._in_flight: dict[str, int] = {}
        self._sent: dict[str, int] = {}
        self._wants: dict[str, tuple[int, int]] = {}

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
        """Whether requests are under way."""
        return bool(self._in_flight)

    def want(self, adapter: str, version: int, now_ms: int) -> bool:
        """Asks for an adapter; returns whether this is a new wish."""
        known = self._wants.get(adapter)
        self._wants[adapter] = (version, now_ms + WANT_MS)
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
        self._wants = {
            name: want
            for name, want in self._wants.items()
            if want[1] >= now_ms
        }
        wants = tuple(
            adapter_keeper.Want(name, version)
            for name, (version, _) in self._wants.items()
        )
        return uses, wants
