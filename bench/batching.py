"""Model of a continuously batching engine with adapter slots.

Time is virtual. A step generates one token for every running sequence. Prompts
are prefilled in chunks, and a step with a prompt chunk takes longer for all
sequences. Adapters are loaded from the weight store or, ten times as fast, from
the host cache of the engine.
"""

from collections.abc import Callable
import dataclasses
import heapq
import itertools

from radishstack.process import adapter_keeper

from bench import model

BASE = "base"

Callback = Callable[[], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Speeds:
    """Speeds and capacities that the users publish for their engines.

    Attributes:
        max_batch: Maximum number of running sequences.
        step_ms: Duration of a step with one sequence.
        step_ms_per_sequence: Added step duration per sequence.
        prompt_tokens_per_ms: Prefill speed.
        chunk_tokens: Maximum number of prompt tokens in a step.
        event_tokens: Tokens per streamed event.
        slot_count: Number of adapter slots.
        in_transit_count: Maximum number of concurrent adapter loads.
        load_ms: Load time of an adapter from the weight store.
        warm_load_ms: Load time of an adapter from the host cache.
        host_cache_count: Number of adapters in the host cache.
        base_load_ms: Load time of the base model after a restart.
    """

    max_batch: int = 64
    step_ms: float = 4.43
    step_ms_per_sequence: float = 0.0194
    prompt_tokens_per_ms: float = 38.1
    chunk_tokens: int = 4_096
    event_tokens: int = 5
    slot_count: int = 16
    in_transit_count: int = 4
    load_ms: float = 250.0
    warm_load_ms: float = 25.0
    host_cache_count: int = 96
    base_load_ms: float = 2_100.0


@dataclasses.dataclass(slots=True)
class Sequence:
    """One request in an engine.

    Attributes:
        adapter: Adapter that the request uses.
        rank: Priority, 0 is the highest.
        prompt_tokens: Prompt tokens that are not prefilled yet.
        tokens: Tokens to generate.
        on_first: Called with its first event.
        on_end: Called with its last token.
        on_lost: Called if the engine restarts before the last token.
        cancelled: Whether the caller has disconnected.
    """

    adapter: str
    rank: int
    prompt_tokens: int
    tokens: int
    on_first: Callback | None
    on_end: Callback
    on_lost: Callback
    cancelled: bool = False


class Engine:
    """An engine over its successive incarnations, in virtual time."""

    def __init__(self, clock: model.Clock, speeds: Speeds, name: str) -> None:
        """Starts with the base model and no adapters.

        Args:
            clock: Virtual time.
            speeds: Speeds and capacities.
            name: Prefix of the name of each incarnation.
        """
        self.clock = clock
        self.speeds = speeds
        self.name = name
        self.incarnation = 0
        self.up = True
        self.fetches = 0
        self.residents: set[str] = {BASE}
        self.in_transit: dict[str, float] = {}
        self.accepted_count = 0
        self._host_cache: dict[str, None] = {}
        self._waiting: list[tuple[int, int, Sequence]] = []
        self._running: list[Sequence] = []
        self._count = itertools.count()
        self._stepping = False

    @property
    def instance(self) -> str:
        """Name of the current incarnation."""
        return f"{self.name}-{self.incarnation}"

    def report(self) -> adapter_keeper.Report | None:
        """Returns the engine's status report, None while it is down."""
        if not self.up:
            return None
        return adapter_keeper.Report(
            accepted_count=self.accepted_count,
            residents=dict.fromkeys(self.residents, 1),
            in_transit=dict.fromkeys(self.in_transit, 1),
            busy=False,
            running=len(self._running),
            queued=len(self._waiting),
        )

    def restart(self, down_ms: float) -> None:
        """Drops all requests and adapters; is up again after ``down_ms``."""
        self.up = False
        self.incarnation += 1
        self.residents.clear()
        self.in_transit.clear()
        self._host_cache.clear()
        lost = self._running + [entry[2] for entry in self._waiting]
        self._waiting, self._running = [], []
        self._stepping = False
        self.accepted_count = 0
        for sequence in lost:
            sequence.on_lost()

        def come_up() -> None:
            self.up = True

        def base_loaded() -> None:
            self.residents.add(BASE)

        self.clock.after(down_ms, come_up)
        self.clock.after(down_ms + self.speeds.base_load_ms, base_loaded)

    def order(self, order: adapter_keeper.Order) -> None:
        """Executes a load or unload order of the sidecar."""
        self.accepted_count += 1
        if order.operation is adapter_keeper.Operation.UNLOAD:
            self.residents.discard(order.adapter)
            return
        if adapter_keeper.is_base(order.adapter):
            return
        occupied = len(self.residents) - 1 + len(self.in_transit)
        assert occupied < self.speeds.slot_count, "an adapter too many"
        took_ms = self._fetch_ms(order.adapter)
        self.in_transit[order.adapter] = self.clock.now_ms + took_ms
        incarnation = self.incarnation

        def arrived() -> None:
            if incarnation == self.incarnation:
                del self.in_transit[order.adapter]
                self.residents.add(order.adapter)

        self.clock.after(took_ms, arrived)

    def _fetch_ms(self, adapter: str) -> float:
        is_cached = adapter in self._host_cache
        self._host_cache.pop(adapter, None)
        self._host_cache[adapter] = None
        while len(self._host_cache) > self.speeds.host_cache_count:
            del self._host_cache[next(iter(self._host_cache))]
        if is_cached:
            return self.speeds.warm_load_ms
        self.fetches += 1
        return self.speeds.load_ms

    def submit(self, sequence: Sequence) -> bool:
        """Queues a request; returns False if down or without the adapter."""
        if not self.up or sequence.adapter not in self.residents:
            return False
        entry = (sequence.rank, next(self._count), sequence)
        heapq.heappush(self._waiting, entry)
        if not self._stepping:
            self._stepping = True
            self._step()
        return True

    def _step(self) -> None:
        while self._waiting and len(self._running) < self.speeds.max_batch:
            self._running.append(heapq.heappop(self._waiting)[2])
        self._running = [one for one in self._running if not one.cancelled]
        if not self._running:
            self._stepping = False
            return
        token_budget = self.speeds.chunk_tokens
        reading = [one for one in self._running if one.prompt_tokens]
        for sequence in sorted(reading, key=lambda one: one.rank):
            chunk = min(token_budget, sequence.prompt_tokens)
            sequence.prompt_tokens -= chunk
            token_budget -= chunk
            if not token_budget:
                break
        read = self.speeds.chunk_tokens - token_budget
        took_ms = self.speeds.step_ms + read / self.speeds.prompt_tokens_per_ms
        took_ms += self.speeds.step_ms_per_sequence * len(self._running)
        incarnation = self.incarnation
        self.clock.after(took_ms, lambda: self._finish_step(incarnation))

    def _finish_step(self, incarnation: int) -> None:
        if incarnation != self.incarnation:
            return
        unfinished = []
        for sequence in self._running:
            if sequence.prompt_tokens or sequence.cancelled:
                unfinished.append(sequence)
                continue
            sequence.tokens -= 1
            if sequence.on_first is not None:
                sequence.on_first()
                sequence.on_first = None
            if sequence.tokens > 0:
                unfinished.append(sequence)
            else:
                sequence.on_end()
        self._running = unfinished
        self._step()
