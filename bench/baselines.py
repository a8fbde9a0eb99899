"""LRU targets with FIFO queues, and three baseline routing policies."""

import collections
from collections.abc import Callable
import random

from radishstack.process import rendezvous

from bench import model

REPORT_LAG_MS = 1_000.0

Done = Callable[[], None]


class LruTarget:
    """A target that evicts the least recently used adapter."""

    def __init__(
        self,
        clock: model.Clock,
        engine: model.Engine,
        weights: model.WeightStore,
        on_stall: Callable[[str, float], None],
    ) -> None:
        """Starts without resident adapters."""
        self.clock = clock
        self.engine = engine
        self.weights = weights
        self.on_stall = on_stall
        self.resident: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self.loading: set[str] = set()
        self.queue: collections.deque[
            tuple[model.Arrival, float, bool, Done, Done]
        ] = collections.deque()
        self.reported = 0

    @property
    def load(self) -> int:
        """Requests queued or running."""
        return len(self.queue) + self.engine.running

    def report(self) -> None:
        """Publishes the load and repeats after ``REPORT_LAG_MS``."""
        self.reported = self.load
        self.clock.after(REPORT_LAG_MS, self.report)

    def submit(self, arrival: model.Arrival, first: Done, done: Done) -> None:
        """Queues a request and starts it or its load if possible."""
        stalls = arrival.adapter not in self.resident
        self.queue.append((arrival, self.clock.now_ms, stalls, first, done))
        self.advance()

    def advance(self) -> None:
        """Starts queued requests and loads missing adapters."""
        waiting = list(self.queue)
        self.queue.clear()
        for entry in waiting:
            arrival, since_ms, stalls, first, done = entry
            if arrival.adapter not in self.resident:
                self._load(arrival.adapter)
                self.queue.append(entry)
                continue
            if self.engine.running >= self.engine.model.max_batch:
                self.queue.append(entry)
                continue
            if stalls:
                self.on_stall(arrival.service, self.clock.now_ms - since_ms)
            self._run(arrival, first, done)

    def _run(self, arrival: model.Arrival, first: Done, done: Done) -> None:
        adapter = arrival.adapter
        self.resident[adapter] += 1
        self.resident.move_to_end(adapter)
        first()

        def end() -> None:
            self.resident[adapter] -= 1
            done()
            self.advance()

        self.engine.run(arrival.tokens, end)

    def _load(self, adapter: str) -> None:
        if adapter in self.loading:
            return
        if len(self.resident) + len(self.loading) >= (
            self.engine.model.slot_count
        ):
            requested = {entry[0].adapter for entry in self.queue}
            idle = [
                name
                for name, uses in self.resident.items()
                if not uses and name not in requested
            ]
            if not idle:
                return
            del self.resident[idle[0]]
        self.loading.add(adapter)

        def finish_load() -> None:
            self.loading.discard(adapter)
            self.resident[adapter] = 0
            self.advance()

        self.weights.fetch(
            lambda: self.clock.after(self.engine.model.install_ms, finish_load)
        )


Router = Callable[[model.Arrival, tuple[str, ...]], str]


def route_random(source: random.Random) -> Router:
    """Routes to a random target."""
    return lambda arrival, targets: source.choice(targets)


def route_least_loaded(targets_by_name: dict[str, LruTarget]) -> Router:
    """Routes to the target with the lowest (delayed) load report."""
    return lambda arrival, targets: min(
        targets, key=lambda name: targets_by_name[name].reported
    )


def route_hashing() -> Router:
    """Routes each adapter to one target by rendezvous hashing."""
    return lambda arrival, targets: rendezvous.first(arrival.adapter, targets)
