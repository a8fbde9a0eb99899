"""Which target an entry daemon tries first, on information that is stale.

Every entry knows the same rendezvous order of an adapter's candidates. It
walks a short prefix of it and takes the cheapest: the expected wait, plus the
expected load stall, plus a small price for each step down the order. The
price keeps an adapter on few targets while they have room, and lets it spill
in the same order everywhere when they have not.
"""

from collections.abc import Iterable
import dataclasses

from radishstack import load as load_lib
from radishstack.process import residency

AdapterState = residency.AdapterState


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingSettings:
    """How candidates are weighed.

    Attributes:
        width: How many candidates of the order are looked at.
        probe_count: How many of them are probed for one request.
        fresh_ms: How long a target's word counts as fresh.
        remember_ms: How long a word on residency is believed.
        step_ms: Price of one step down the order.
        load_ms: Expected load time where nothing is known.
        blocked_ms: Further price of a target whose slots are all in use.
        unreachable_ms: How long an unreachable target is passed over.
        stall_floor: Price of a load stall, relative to the same wait in a
            queue, for a service whose weight is 0.
        stall_ceiling: The same for a service whose weight is 1.
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
    """A target's word on itself, and what was sent there since.

    Attributes:
        load: Its word.
        at_ms: When it arrived.
        sent: Attempts sent there since.
    """

    load: load_lib.Load
    at_ms: int
    sent: int = 0


class Router:
    """What one entry daemon believes about the targets; soft state."""

    def __init__(self, settings: RoutingSettings | None = None) -> None:
        """Starts knowing nothing."""
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
        """Notes an attempt that was sent, so that the next one sees it."""
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
        """Notes a target that could not be reached."""
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
        """Drops what is no longer believed; called now and then."""
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
        """Returns where an adapter is believed to stand at a target."""
        known = self.residencies.get((target, adapter))
        if known is None or now_ms - known[1] > self.settings.remember_ms:
            return None
        return known[0]

    def usable(self, target: str, now_ms: int) -> bool:
        """Whether a target may take new work, as far as is known here."""
        if target in self.listed_leaving:
            return False
        if self.unreachable.get(target, now_ms) > now_ms:
            return False
        observation = self.observations.get(target)
        return observation is None or not observation.load.leaving

    def shortlist(
        self, candidates: Iterable[str], adapter: str, now_ms: int
    ) -> list[str]:
        """Returns the candidates that are weighed for a request.

        Args:
            candidates: Targets in rendezvous order.
            adapter: ``name@version``, empty for a plain service.
            now_ms: Now.

        Returns:
            The first usable ones, and any that is believed to hold the
            adapter.
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
                # A full target does not count, so that an adapter hotter
                # than a few engines can carry spreads along the order.
                with_capacity += not self._full(target)
        return picked

    def _full(self, target: str) -> bool:
        observation = self.observations.get(target)
        return observation is not None and observation.load.wait_ms > 0

    def to_probe(
        self, shortlist: list[str], adapter: str, now_ms: int
    ) -> list[str]:
        """Returns the first few candidates whose word is not fresh.

        A word on the adapter itself counts, whatever it was asked for.
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
        # One weight store serves all targets, so a load takes about as long
        # at each. Following their differing estimates would scatter a cold
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
