"""Models of engines, the weight store and request arrivals.

Time is virtual. An engine uses continuous batching: a step generates one token
for every running sequence, and its duration grows with their number. The weight
store starts transfers at a bounded rate, and each slows down when more than a
few run concurrently.
"""

from collections.abc import Callable
import dataclasses
import heapq
import itertools
import random

MS_PER_S = 1000.0

Callback = Callable[[], None]


class Clock:
    """Virtual clock with an event queue."""

    def __init__(self) -> None:
        """Starts at zero."""
        self.now_ms = 0.0
        self._heap: list[tuple[float, int, Callback]] = []
        self._count = itertools.count()

    def after(self, delay_ms: float, callback: Callback) -> None:
        """Schedules a callback."""
        entry = (self.now_ms + delay_ms, next(self._count), callback)
        heapq.heappush(self._heap, entry)

    def run(self, until_ms: float) -> None:
        """Runs the scheduled callbacks up to a time."""
        while self._heap and self._heap[0][0] <= until_ms:
            self.now_ms, _, callback = heapq.heappop(self._heap)
            callback()
        self.now_ms = max(self.now_ms, until_ms)


@dataclasses.dataclass(frozen=True, slots=True)
class EngineModel:
    """Speeds of an engine.

    Attributes:
        slot_count: Adapter slots.
        max_batch: Maximum number of running sequences.
        step_ms: Duration of a step with one sequence.
        step_ms_per_sequence: Added step duration per further sequence.
        install_ms: Time to load fetched weights into the engine.
    """

    slot_count: int = 8
    max_batch: int = 16
    step_ms: float = 25.0
    step_ms_per_sequence: float = 1.0
    install_ms: float = 80.0

    def step_time_ms(self, batch: int) -> float:
        """Returns the duration of a step."""
        return self.step_ms + (batch - 1) * self.step_ms_per_sequence


class Engine:
    """One engine's batch in virtual time."""

    def __init__(self, clock: Clock, model: EngineModel) -> None:
        """Starts idle."""
        self.clock = clock
        self.model = model
        self.steps = 0
        self.busy_ms = 0.0
        self.tokens = 0
        self.running = 0
        self._ends: list[tuple[int, int, Callback]] = []
        self._count = itertools.count()
        self._stepping = False

    def run(self, tokens: int, done: Callback) -> None:
        """Runs a sequence; ``done`` is called after its last token."""
        entry = (self.steps + tokens, next(self._count), done)
        heapq.heappush(self._ends, entry)
        self.running += 1
        if not self._stepping:
            self._stepping = True
            self._plan_step()

    def _plan_step(self) -> None:
        took_ms = self.model.step_time_ms(self.running)
        self.busy_ms += took_ms
        self.clock.after(took_ms, self._step)

    def _step(self) -> None:
        self.steps += 1
        self.tokens += self.running
        finished = []
        while self._ends and self._ends[0][0] <= self.steps:
            finished.append(heapq.heappop(self._ends)[2])
            self.running -= 1
        for done in finished:
            done()
        if self.running:
            self._plan_step()
        else:
            self._stepping = False

    def drop_sequences(self) -> None:
        """Drops all sequences, as a restart does."""
        self._ends.clear()
        self.running = 0


class WeightStore:
    """The site's rate-limited weight store in virtual time."""

    def __init__(
        self,
        clock: Clock,
        *,
        rate_per_s: float,
        at_full_speed: int,
        transfer_ms: float = 250.0,
    ) -> None:
        """Starts idle."""
        self.clock = clock
        self.gap_ms = MS_PER_S / rate_per_s
        self.at_full_speed = at_full_speed
        self.transfer_ms = transfer_ms
        self.active = 0
        self.transfers = 0
        self._next_ms = 0.0

    def fetch(self, done: Callback) -> None:
        """Fetches one adapter's weights."""
        self.transfers += 1
        now_ms = self.clock.now_ms
        self._next_ms = max(self._next_ms, now_ms - MS_PER_S)
        self._next_ms += self.gap_ms
        self.clock.after(
            max(0.0, self._next_ms - now_ms), lambda: self._begin(done)
        )

    def _begin(self, done: Callback) -> None:
        self.active += 1
        slowdown = max(1.0, self.active / self.at_full_speed)

        def end() -> None:
            self.active -= 1
            done()

        self.clock.after(self.transfer_ms * slowdown, end)


@dataclasses.dataclass(frozen=True, slots=True)
class Stream:
    """The arrivals of one service.

    Attributes:
        service: Name of the service.
        targets: Targets of the service.
        adapters: Number of adapters.
        rate_per_s: Requests per second.
        tokens: Mean tokens of an answer.
        skew: Exponent of the power law of adapter popularity.
        shift_ms: Interval between popularity shifts, 0 for none.
        timeout_ms: Timeout of its requests.
        stall_weight: Weight of load stalls in routing.
        urgent: Whether its requests have urgent priority.
        warm: Whether its adapters are kept warm.
    """

    service: str
    targets: tuple[str, ...]
    adapters: int
    rate_per_s: float
    tokens: int
    skew: float = 1.0
    shift_ms: float = 0.0
    timeout_ms: int = 20_000
    stall_weight: float = 0.5
    urgent: bool = False
    warm: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One request."""

    at_ms: float
    service: str
    adapter: str
    tokens: int


def make_arrivals(
    streams: tuple[Stream, ...], *, duration_ms: float, seed: int
) -> list[Arrival]:
    """Draws arrivals, which are the same for every policy.

    Args:
        streams: Arrival parameters of the services.
        duration_ms: Duration in virtual time.
        seed: Seed of the random sources.

    Returns:
        The arrivals in order of arrival time.
    """
    arrivals: list[Arrival] = []
    for stream in streams:
        source = random.Random(f"{seed}/{stream.service}")
        ranks = list(range(stream.adapters))
        source.shuffle(ranks)
        weights = [
            1.0 / (rank + 1) ** stream.skew for rank in range(len(ranks))
        ]
        cumulative = list(itertools.accumulate(weights))
        at_ms, shift_ms = 0.0, stream.shift_ms
        while True:
            at_ms += source.expovariate(stream.rate_per_s) * MS_PER_S
            if at_ms >= duration_ms:
                break
            if stream.shift_ms and at_ms >= shift_ms:
                shift_ms += stream.shift_ms
                _shift(ranks, source)
            rank = source.choices(range(len(ranks)), cum_weights=cumulative)[0]
            tokens = max(2, round(source.expovariate(1 / stream.tokens)))
            arrivals.append(
                Arrival(
                    at_ms,
                    stream.service,
                    f"{stream.service}-{ranks[rank]}@1",
                    min(tokens, 4 * stream.tokens),
                )
            )
    return sorted(arrivals, key=lambda one: one.at_ms)


def _shift(ranks: list[int], source: random.Random) -> None:
    """Makes ten unpopular adapters the most popular ones."""
    for rank in range(10):
        other = source.randrange(len(ranks) // 2, len(ranks))
        ranks[rank], ranks[other] = ranks[other], ranks[rank]


@dataclasses.dataclass(slots=True)
class Outcome:
    """Outcomes of one service's requests.

    Attributes:
        request_count: Number of requests.
        answered: Requests with a complete answer.
        rejected: Rejected requests.
        late: Requests answered after their deadline.
        stalled: Requests that waited for an adapter load.
        stall_ms: Total time of these waits.
        first_ms: Time to the first token of each answered request.
    """

    request_count: int = 0
    answered: int = 0
    rejected: int = 0
    late: int = 0
    stalled: int = 0
    stall_ms: float = 0.0
    first_ms: list[float] = dataclasses.field(default_factory=list)
