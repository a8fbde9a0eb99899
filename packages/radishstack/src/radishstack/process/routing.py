"""Ranks the targets that an entry daemon tries, based on stale information.

Every entry daemon computes the same rendezvous order of an adapter's candidates
and takes the cheapest of the first few. The cost is the larger of the expected
queue wait and the weighted load stall, plus a small cost for each step down the
order. The step cost keeps an adapter on few targets while they have capacity,
and makes all entry daemons spill over in the same order when they have none.
"""

from collections.abc import Iterable
import dataclasses

from radishstack import load as load_lib
from radishstack.process import residency

AdapterState = residency.AdapterState


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingSettings:
    """How candidates are ranked.

    Attributes:
        width: How many candidates of the order are considered.
        probe_count: How many of them are probed for one request.
        fresh_ms: How long a target's status is fresh.
        remember_ms: How long a target's status and residency are kept.
        step_ms: Cost of one step down the order.
        load_ms: Expected time of an adapter load.
        blocked_ms: Additional cost of a target whose adapter slots are all in
            use.
        unreachable_ms: How long an unreachable target is skipped.
        stall_floor: Cost of a load stall, relative to the same wait in a queue,
            for a service whose stall weight is 0.
        stall_ceiling: The same for a service whose stall weight is 1.
    """

    width: int = 4
    probe_count: int = 2
    fresh_ms: int = 1_000
    remember_ms: int = 30_000
    step_ms: int = 40
    load_ms: int = 2_000
    blocked_ms: int = 2_000
    unreachable_ms: int = 2_000
    stall_floor: float = 0.1
    stall_ceiling: float = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """A target's last status and the attempts sent there since.

    Attributes:
        load: Its status.
        at_ms: When the status arrived.
        sent: Attempts sent there since.
    """

    load: load_lib.Load
    at_ms: int
    sent: int = 0


class Router:
    """One entry daemon's soft state about the targets."""

    def __init__(self, settings: RoutingSettings | None = None) -> None:
        """Creates a router without observations."""
        self.settings = settings or RoutingSettings()
        self.observations: dict[str, Observation] = {}
        self.residencies: dict[tuple[str, str], tuple[AdapterState, int]] = {}
        self.unreachable: dict[str, int] = {}
        self.listed_leaving: frozenset[str] = frozenset()

    def observe(
        self, target: str, adapter: str, load: load_lib.Load, now_ms: int
    ) -> None:
        """Applies a target's status, from a probe or a response."""
        self.observations[target] = Observation(load, now_ms)
        self.unreachable.pop(target, None)
        if adapter:
            self._record_residency(
                target, adapter, AdapterState(load.residency), now_ms
            )

    def sent(self, target: str, adapter: str, now_ms: int) -> None:
        """Records a sent attempt, so that the next ranking includes it."""
        observation = self.observations.get(target)
        if observation is not None:
            self.observations[target] = dataclasses.replace(
                observation, sent=observation.sent + 1
            )
        known = self.residency(target, adapter, now_ms)
        if adapter and known in (None, AdapterState.ABSENT):
            self._record_residency(
                target, adapter, AdapterState.LOADING, now_ms
            )

    def failed(self, target: str, now_ms: int) -> None:
        """Records that a target could not be reached."""
        self.unreachable[target] = now_ms + self.settings.unreachable_ms

    def _record_residency(
        self,
        target: str,
        adapter: str,
        adapter_state: AdapterState,
        now_ms: int,
    ) -> None:
        self.residencies[(target, adapter)] = (adapter_state, now_ms)

    def forget_old(self, now_ms: int) -> None:
        """Expires old observations and residencies."""
        oldest_ms = now_ms - self.settings.remember_ms
        self.residencies = {
            key: value
            for key, value in self.residencies.items()
            if value[1] >= oldest_ms
        }
        self.observations = {
            target: observation
            for target, observation in self.observations.items()
            if observation.at_ms >= oldest_ms
        }

    def residency(
        self, target: str, adapter: str, now_ms: int
    ) -> AdapterState | None:
        """Returns the last known state of an adapter at a target."""
        known = self.residencies.get((target, adapter))
        if known is None or now_ms - known[1] > self.settings.remember_ms:
            return None
        return known[0]

    def usable(self, target: str, now_ms: int) -> bool:
        """Whether a target may get new work, as far as is known here."""
        if target in self.listed_leaving:
            return False
        if self.unreachable.get(target, now_ms) > now_ms:
            return False
        observation = self.observations.get(target)
        return observation is None or not observation.load.leaving

    def shortlist(
        self, candidates: Iterable[str], adapter: str, now_ms: int
    ) -> list[str]:
        """Returns the candidates to rank for a request.

        Args:
            candidates: Targets in rendezvous order.
            adapter: ``name@version``, empty for a plain service.
            now_ms: Now.

        Returns:
            The first usable candidates and all that hold the adapter as far as
            is known here.
        """
        picked = []
        with_capacity = 0
        for target in candidates:
            if not self.usable(target, now_ms):
                continue
            known = self.residency(target, adapter, now_ms)
            if (
                with_capacity < self.settings.width
                or known is AdapterState.RESIDENT
            ):
                picked.append(target)
                # Full targets do not count, so that an adapter with more
                # requests than a few engines can serve spreads down the order.
                with_capacity += not self._full(target)
        return picked

    def _full(self, target: str) -> bool:
        observation = self.observations.get(target)
        return observation is not None and observation.load.wait_ms > 0

    def to_probe(
        self, shortlist: list[str], adapter: str, now_ms: int
    ) -> list[str]:
        """Returns the first few candidates without a fresh status.

        A candidate whose residency of the adapter is unknown is probed too.
        """
        fresh_after_ms = now_ms - self.settings.fresh_ms
        first = shortlist[: self.settings.probe_count]
        return [
            target
            for target in first
            if (known := self.observations.get(target)) is None
            or known.at_ms < fresh_after_ms
            or (adapter and self.residency(target, adapter, now_ms) is None)
        ]

    def rank(
        self,
        shortlist: list[str],
        adapter: str,
        stall_weight: float,
        now_ms: int,
    ) -> list[str]:
        """Orders candidates by expected cost.

        Args:
            shortlist: What ``shortlist`` returned.
            adapter: ``name@version``, empty for a plain service.
            stall_weight: The service's weight of load stalls, 0 to 1.
            now_ms: Now.

        Returns:
            The candidates, the cheapest first.
        """
        costs = {
            target: self._cost(target, adapter, stall_weight, now_ms)
            + position * self.settings.step_ms
            for position, target in enumerate(shortlist)
        }
        return sorted(shortlist, key=costs.__getitem__)

    def _cost(
        self, target: str, adapter: str, stall_weight: float, now_ms: int
    ) -> float:
        observation = self.observations.get(target)
        wait_ms = 0.0
        if observation is not None:
            wait_ms = observation.load.wait_ms
            wait_ms += self._wait_of_sent(observation)
        if not adapter:
            return wait_ms
        # One weight store serves all targets, so a load takes about the same
        # time at each. Using their differing estimates would scatter a cold
        # adapter over many targets, and each copy costs a load and a slot.
        load_ms = float(self.settings.load_ms)
        match self.residency(target, adapter, now_ms):
            case AdapterState.RESIDENT:
                stall_ms = 0.0
            case AdapterState.LOADING:
                stall_ms = load_ms / 2
            case AdapterState.FAILED:
                stall_ms = load_ms * 8
            case _:
                stall_ms = load_ms
                if observation is not None and observation.load.blocked:
                    stall_ms += self.settings.blocked_ms
        floor = self.settings.stall_floor
        weight = floor + (self.settings.stall_ceiling - floor) * stall_weight
        return max(wait_ms, weight * stall_ms)

    def _wait_of_sent(self, observation: Observation) -> float:
        load = observation.load
        if observation.sent == 0 or load.wait_ms == 0:
            return 0.0
        ahead = max(1, load.queued)
        return load.wait_ms / ahead * observation.sent
