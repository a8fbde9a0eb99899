"""Tests a rush in which demand moves to many cold adapters at once.

Engines load four adapters at a time, so a rush above that rate queues. Accepted
requests must be served in time. The others must be rejected at once, with a
retry delay that matches the queue. Only decisions are simulated, in virtual
time.
"""

import collections
import dataclasses
import itertools
import random
import statistics

from radishstack.process import adapter_keeper
from radishstack.process import placement as placement_lib
from radishstack.process import roster as roster_lib

ENGINES = 6
SLOTS = 16
LOAD_MS = 250
WARM_LOAD_MS = 25
MAX_WARM = 96
# Probability of two requests in one step, which gives 115 requests a second.
PAIR_PROBABILITY = 0.575
RUN_MS = 600
STEP_MS = 10
RUSH_MS = 4_000
# An engine loads 16 adapters a second and six engines 96; the rush is twice
# that.
ARRIVALS_PER_STEP = 2
WAIT_BOUND_MS = 1_500
OBJECTIVE_MS = 800


@dataclasses.dataclass(slots=True)
class _Engine:
    keeper: adapter_keeper.Keeper
    residents: dict[str, int]
    transit: dict[str, int]
    accepted: int = 0
    warm: dict[str, None] = dataclasses.field(default_factory=dict)
    fetches: int = 0

    def step(self, now_ms: int) -> None:
        for name, done_ms in list(self.transit.items()):
            if now_ms >= done_ms:
                del self.transit[name]
                self.residents[name] = 1
        while True:
            report = adapter_keeper.Report(
                self.accepted,
                {"base": 1} | self.residents,
                dict.fromkeys(self.transit, 1),
                False,
                0,
                0,
            )
            self.keeper.observe(report)
            order = self.keeper.decide(now_ms)
            if order is None:
                return
            self.accepted += 1
            if order.operation is adapter_keeper.Operation.LOAD:
                self.transit[order.adapter] = now_ms + self.fetch(order.adapter)
            else:
                del self.residents[order.adapter]
            self.keeper.settled(order, now_ms, refused=False)
            assert len(self.residents) + len(self.transit) <= SLOTS

    def fetch(self, adapter: str) -> int:
        """Loads an adapter; returns how long that takes."""
        held = adapter in self.warm
        self.warm.pop(adapter, None)
        self.warm[adapter] = None
        while len(self.warm) > MAX_WARM:
            del self.warm[next(iter(self.warm))]
        if held:
            return WARM_LOAD_MS
        self.fetches += 1
        return LOAD_MS


@dataclasses.dataclass(slots=True)
class _Waiting:
    adapter: str
    since_ms: int
    home: str = ""

    @property
    def due_at_ms(self) -> int:
        """When it must be sent to be answered in time."""
        return self.since_ms + OBJECTIVE_MS


class _Rush:
    engine_count = ENGINES
    length_ms = RUSH_MS

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.roster = roster_lib.Roster(2_500)
        self.placement = placement_lib.Placement(self.random, "north")
        self.engines: dict[str, _Engine] = {}
        for number in range(self.engine_count):
            name = f"i{number}"
            listing = roster_lib.Listing(
                name, "llm", f"10.0.0.{number}:80", "north", False, 64
            )
            self.roster.upsert(listing)
            self.engines[name] = _Engine(adapter_keeper.Keeper(), {}, {})
        self.waiting: list[_Waiting] = []
        self.running: list[tuple[str, str, int]] = []
        self.waits_ms: list[int] = []
        self.rejected_ms: list[int] = []
        self.timed_out = 0

    def demand(self, name: str, now_ms: int) -> adapter_keeper.Demand:
        """Returns the gateway's uses and load requests at an engine."""
        uses = tuple(
            adapter_keeper.Use(adapter, 1, 0)
            for at, adapter, _ in self.running
            if at == name
        )
        dues_ms = collections.defaultdict(list)
        for one in self.waiting:
            if one.home == name:
                dues_ms[one.adapter].append(one.due_at_ms - now_ms)
        wants = tuple(
            adapter_keeper.LoadRequest(
                adapter, 0, len(dues), min(dues), max(dues)
            )
            for adapter, dues in dues_ms.items()
        )
        return adapter_keeper.Demand(
            "g", name, SLOTS, ("base",), uses, wants, {}
        )

    def exchange_updates(self, now_ms: int) -> None:
        """Exchanges demands and status updates with all sidecars."""
        for name, engine in self.engines.items():
            demand = self.demand(name, now_ms)
            engine.keeper.handle_update(demand, now_ms)
            member = self.roster.members[name]
            view = placement_lib.View(
                name,
                now_ms,
                len(demand.uses),
                0,
                {"base": 1} | engine.residents,
                engine.keeper.pending(now_ms),
                load_wait=engine.keeper.load_wait(now_ms),
            )
            self.placement.handle_update(member.listing.address, view)

    def place(self, request: _Waiting, now_ms: int) -> bool:
        """Places one request; returns whether it continues to wait."""
        usable = self.roster.usable("llm", now_ms)
        waited_ms = now_ms - request.since_ms
        patience = placement_lib.WaitLimits(
            in_time_ms=OBJECTIVE_MS,
            max_wait_ms=WAIT_BOUND_MS - waited_ms,
            is_late=waited_ms >= OBJECTIVE_MS,
        )
        choice = self.placement.choose(
            request.adapter, usable, now_ms, patience
        )
        if choice.full_for_ms:
            self.rejected_ms.append(waited_ms)
            return False
        if choice.send is not None:
            name = choice.send.listing.instance
            self.sent(name, now_ms)
            self.running.append((name, request.adapter, now_ms + RUN_MS))
            self.waits_ms.append(waited_ms)
            return False
        request.home = ""
        if choice.load is not None:
            self.placement.record_load_request(choice.load, request.adapter)
            request.home = choice.load.listing.instance
        if waited_ms > WAIT_BOUND_MS:
            self.timed_out += 1
            return False
        return True

    def sent(self, instance: str, now_ms: int) -> None:
        """Records the result of a send."""
        self.roster.answered(instance, 50)

    def arrivals(self) -> list[str]:
        """Returns the adapters requested in one step."""
        return [
            f"base/a{self.random.randrange(3_000)}"
            for _ in range(ARRIVALS_PER_STEP)
        ]

    def run(self) -> None:
        """Simulates the rush and the time after it."""
        for now_ms in range(1_000, 4_000 + self.length_ms, STEP_MS):
            self.running = [one for one in self.running if one[2] > now_ms]
            for engine in self.engines.values():
                engine.step(now_ms)
            self.exchange_updates(now_ms)
            if now_ms < 1_000 + self.length_ms:
                self.waiting.extend(
                    _Waiting(adapter, now_ms) for adapter in self.arrivals()
                )
            self.waiting = [
                one for one in self.waiting if self.place(one, now_ms)
            ]


def test_a_rush_of_cold_adapters_is_served_at_the_engines_load_rate() -> None:
    """Guards against late answers to nearly all requests in a rush.

    Twice as many cold adapters are requested as engines can load. All requests
    queued, so each waited for loads whose callers had timed out.
    """
    for seed in range(5):
        rush = _Rush(seed)
        rush.run()
        possible = ENGINES * adapter_keeper.MAX_IN_TRANSIT * RUSH_MS / LOAD_MS
        in_time = sum(wait_ms <= OBJECTIVE_MS for wait_ms in rush.waits_ms)
        assert in_time >= possible, (in_time, possible)
        assert rush.timed_out == 0, rush.timed_out
        # Requests are rejected at once, not after a useless wait.
        assert statistics.mean(rush.rejected_ms) <= STEP_MS


class _Ordinary(_Rush):
    """Zipf popularity, four of six engines and occasional failures."""

    engine_count = 4
    length_ms = 12_000

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        weights = [1 / rank**1.2 for rank in range(1, 3_001)]
        self.weights = list(itertools.accumulate(weights))
        self.requested: set[str] = set()

    def sent(self, instance: str, now_ms: int) -> None:
        """Records a failure for one send in ten, as if answers were lost."""
        if self.random.random() < 0.1:
            self.roster.failed(instance, now_ms)
        else:
            self.roster.answered(instance, 50)

    def arrivals(self) -> list[str]:
        """Returns the adapters of about 115 requests a second."""
        if self.random.random() > PAIR_PROBABILITY:
            return []
        picked = self.random.choices(
            range(3_000), cum_weights=self.weights, k=2
        )
        names = [f"base/a{rank}" for rank in picked]
        self.requested.update(names)
        return names


def test_adapters_stay_on_few_engines() -> None:
    """Guards against fetching every adapter twice from the weight store.

    Under ordinary load on four of six engines, one send in ten fails. A single
    failure had all adapters of an engine loaded elsewhere, and a queue of four
    loads moved an adapter to an engine that had never held it. Each adapter has
    to be fetched once: over three seeds there were 1.28 fetches per adapter
    before the fix and 1.06 after it.
    """
    for seed in range(3):
        load = _Ordinary(seed)
        load.run()
        fetches = sum(engine.fetches for engine in load.engines.values())
        assert fetches <= 1.15 * len(load.requested), (
            fetches,
            len(load.requested),
        )
        assert load.timed_out == 0
