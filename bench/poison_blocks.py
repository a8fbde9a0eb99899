"""Compares how prompt blocks that crash targets are found.

Run it with ``python -m bench.poison_blocks``. All ways get the same requests,
crashes and losses, in virtual time. Requests share their first block with all
others of their route and the next one with some; about one a second has a
poison block and crashes the target that begins to answer it; in a small fleet
three blocks do so at a time. Targets also crash for other reasons, once many of
them at a time. Figures: targets that the block crashed, requests with it sent
later than the stable window after the fifth crash, sound requests that were
rejected, and bytes of crash reports with UDP and IP headers. Limits: no queues,
no CPU time, no gossip between reports.
"""

from collections.abc import Callable
import contextlib
import dataclasses
import heapq
import itertools
import random
from unittest import mock

import click
from radishstack.connection import fleet_wire
from radishstack.process import crash as crash_lib
from radishstack.process import crash_evidence
from radishstack.process import incarnation
from radishstack.process import quarantine_rules
from radishstack.process import suspicion

from bench import report

MS_PER_S = 1_000
DURATION_MS = 60_000
STABLE_WINDOW_MS = 3_000
FIRST_BYTE_MS = 70
ANSWER_MS = (300, 2_000)
RESTART_MS = 3_000
POISON_PER_S = 1.0
POISON_FROM_MS = 10_000
# Other crashes per target and second, and when a share of the targets loses
# power.
CRASHES_PER_TARGET_S = 0.0005
POWER_CUT_AT_MS = 35_000
POWER_CUT_FRACTION = 0.2
ROUTE_COUNT = 2
BLOCK_COUNT = 400
REPORT_DELAY_MS = 5
DETECTION_MS = 12
LOSS = 0.01
UDP_IP_HEADER_BYTES = 28
RECORDS_PER_DATAGRAM = 24
REQUEST = crash_lib.FeatureKind.REQUEST
BLOCK = crash_lib.FeatureKind.PROMPT_BLOCK


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """Size of a fleet.

    Attributes:
        gateways: Number of gateways.
        targets: Number of targets.
        requests_per_s: Rate of sound requests.
        poison_blocks: Number of poison blocks, each with its own requests.
    """

    gateways: int
    targets: int
    requests_per_s: float
    poison_blocks: int = 1


SIZES = (
    Size(6, 6, 70.0, poison_blocks=3),
    Size(21, 20, 290.0),
    Size(390, 360, 550.0),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Way:
    """A way to find poison blocks.

    Attributes:
        patches: Returns changes of the shipped rules.
        uses_blocks: Whether blocks count as features.
        clears_by_end: Whether an answer clears its blocks by when it ended.
    """

    patches: Callable[[], list[contextlib.AbstractContextManager[object]]] = (
        list
    )
    uses_blocks: bool = True
    clears_by_end: bool = False


def _patched(name: str, value: object) -> Callable[[], list[object]]:
    return lambda: [mock.patch.object(quarantine_rules, name, value)]


WAYS = {
    "whole requests only": Way(uses_blocks=False),
    "blocks (in force)": Way(),
    "cleared by the end of an answer": Way(clears_by_end=True),
    "no likelier feature": Way(_patched("_is_likelier", lambda *_: False)),
    "ten crashes if served": Way(
        _patched("MIN_CRASHES_IF_BLOCK_SERVED", 10),
    ),
}


@dataclasses.dataclass(eq=False, slots=True)
class Request:
    """One request under way."""

    gateway: int
    target: int
    features: tuple[crash_lib.Suspect, ...]
    began_at_ms: int
    poison_block: str


class World:
    """Gateways with shipped evidence, and simulated targets and requests."""

    def __init__(
        self, size: Size, way: Way, seed: int, *, was_sound: bool
    ) -> None:
        """Draws the arrivals.

        Args:
            size: Size of the fleet.
            way: How poison blocks are found.
            seed: Seed of the arrivals and losses.
            was_sound: Whether requests with the block were served before.
        """
        self.size = size
        self.way = way
        self.was_sound = was_sound
        self.random = random.Random(seed)
        self.gateways = [
            crash_evidence.CrashEvidence() for _ in range(size.gateways)
        ]
        self.names = itertools.count(1)
        self.incarnations = [next(self.names) for _ in range(size.targets)]
        self.back_at_ms = [0] * size.targets
        self.running: list[set[Request]] = [set() for _ in range(size.targets)]
        self.events: list[tuple[int, int, Callable[[int], None]]] = []
        self.order = itertools.count()
        self.poison_crashes_ms: dict[str, list[int]] = {
            f"50{number:0>30}": [] for number in range(size.poison_blocks)
        }
        self.late_count = self.rejected = self.sound = self.sent_bytes = 0

    def at(self, at_ms: float, action: Callable[[int], None]) -> None:
        """Schedules an action."""
        heapq.heappush(self.events, (round(at_ms), next(self.order), action))

    def run(self) -> dict[str, float]:
        """Plays all events and returns the figures."""
        self._repeat(self.size.requests_per_s, 0, self._sound_request)
        from_ms = 0 if self.was_sound else POISON_FROM_MS
        poison_per_s = POISON_PER_S * self.size.poison_blocks
        self._repeat(poison_per_s, from_ms, self._poison_request)
        rate_per_s = CRASHES_PER_TARGET_S * self.size.targets
        self._repeat(rate_per_s, 0, self._other_crash)
        self.at(POWER_CUT_AT_MS, self._cut_power)
        while self.events:
            now_ms, _, action = heapq.heappop(self.events)
            if now_ms > DURATION_MS:
                break
            action(now_ms)
        return {
            "crashes": sum(map(len, self.poison_crashes_ms.values())),
            "late": self.late_count,
            "rejected": 1_000 * self.rejected / self.sound,
            "kilobytes": self.sent_bytes / 1_000 / self.size.gateways,
        }

    def _repeat(
        self, rate_per_s: float, from_ms: int, action: Callable[[int], None]
    ) -> None:
        def step(now_ms: int) -> None:
            action(now_ms)
            wait_s = self.random.expovariate(rate_per_s)
            self.at(now_ms + wait_s * MS_PER_S, step)

        self.at(from_ms, step)

    def _features(
        self, now_ms: int, blocks: tuple[str, ...]
    ) -> tuple[crash_lib.Suspect, ...]:
        whole = f"{next(self.names):032x}"
        if not self.way.uses_blocks:
            blocks = ()
        return (
            crash_lib.Suspect(whole, now_ms),
            *(
                crash_lib.Suspect(one, now_ms, position)
                for position, one in enumerate(blocks, 1)
            ),
        )

    def _sound_request(self, now_ms: int) -> None:
        route = f"{self.random.randrange(ROUTE_COUNT):0>32}"
        skewed = round(BLOCK_COUNT * self.random.random() ** 3)
        self.sound += 1
        self.rejected += not self._send(now_ms, (route, f"b{skewed:0>31}"))

    def _poison_request(self, now_ms: int) -> None:
        route = f"{0:0>32}"
        block = self.random.choice(list(self.poison_crashes_ms))
        known_ms = self.poison_crashes_ms[block]
        is_poison = now_ms >= POISON_FROM_MS
        is_sent = self._send(now_ms, (route, block), block if is_poison else "")
        if is_sent and len(known_ms) >= 5:
            self.late_count += now_ms > known_ms[4] + STABLE_WINDOW_MS

    def _send(
        self, now_ms: int, blocks: tuple[str, ...], poison_block: str = ""
    ) -> bool:
        """Sends a request unless it is rejected; returns if it was sent."""
        number = self.random.randrange(self.size.gateways)
        target = self.random.randrange(self.size.targets)
        duration_ms = self.random.uniform(*ANSWER_MS)
        features = self._features(now_ms, blocks)
        evidence = self.gateways[number]
        if any(
            evidence.quarantine(one.fingerprint, now_ms) is not None
            and not evidence.may_send_trial(one.fingerprint, now_ms, number)
            for one in features
        ):
            return False
        if self.back_at_ms[target] > now_ms:
            return True
        request = Request(number, target, features, now_ms, poison_block)
        self.running[target].add(request)
        if poison_block:
            began_ms = now_ms + FIRST_BYTE_MS
            self.at(began_ms, lambda at: self._poison(request, at))
        else:
            self.at(now_ms + duration_ms, lambda at: self._finish(request, at))
        return True

    def _poison(self, request: Request, now_ms: int) -> None:
        if request in self.running[request.target]:
            self.poison_crashes_ms[request.poison_block].append(now_ms)
            self._crash(request.target, now_ms)

    def _finish(self, request: Request, now_ms: int) -> None:
        if request not in self.running[request.target]:
            return
        self.running[request.target].discard(request)
        evidence = self.gateways[request.gateway]
        answer_began_ms = request.began_at_ms + FIRST_BYTE_MS
        for one in request.features:
            is_block = one.kind is BLOCK and not self.way.clears_by_end
            at_ms = answer_began_ms if is_block else now_ms
            record = evidence.succeeded(one.fingerprint, at_ms, one.kind)
            if record is not None:
                self._report(request.gateway, [record], now_ms)

    def _other_crash(self, now_ms: int) -> None:
        self._crash(self.random.randrange(self.size.targets), now_ms)

    def _cut_power(self, now_ms: int) -> None:
        count = round(POWER_CUT_FRACTION * self.size.targets)
        for target in self.random.sample(range(self.size.targets), count):
            at_ms = now_ms + self.random.uniform(0, 200)
            self.at(at_ms, lambda at, target=target: self._crash(target, at))

    def _crash(self, target: int, now_ms: int) -> None:
        name = self.incarnations[target]
        incarnation_id = incarnation.IncarnationId(f"i{name}", name)
        self.incarnations[target] = next(self.names)
        self.back_at_ms[target] = now_ms + RESTART_MS
        requests, self.running[target] = self.running[target], set()
        by_gateway: dict[int, dict[str, crash_lib.Suspect]] = {}
        for request in sorted(requests, key=lambda one: one.began_at_ms):
            suspects = by_gateway.setdefault(request.gateway, {})
            for one in request.features:
                suspects.setdefault(one.fingerprint, one)
        for number, suspects in by_gateway.items():
            crash = crash_lib.Crash(
                incarnation_id, now_ms, tuple(suspects.values())
            )
            self.at(
                now_ms + DETECTION_MS,
                lambda at, number=number, crash=crash: self._report(
                    number, self.gateways[number].crashed(crash), at
                ),
            )

    def _report(
        self, sender: int, records: list[suspicion.Record], now_ms: int
    ) -> None:
        """Reports records to all other gateways; some datagrams are lost."""
        for first in range(0, len(records), RECORDS_PER_DATAGRAM):
            batch = records[first : first + RECORDS_PER_DATAGRAM]
            reported = tuple(
                fleet_wire.to_reported_record(one, now_ms) for one in batch
            )
            data = fleet_wire.encode(fleet_wire.CrashReport(reported))
            size_bytes = len(data) + UDP_IP_HEADER_BYTES
            receivers = [
                number
                for number in range(self.size.gateways)
                if number != sender
            ]
            self.sent_bytes += size_bytes * len(receivers)
            arrived = [one for one in receivers if self.random.random() >= LOSS]
            self.at(
                now_ms + REPORT_DELAY_MS,
                lambda at, batch=batch, arrived=arrived: self._take(
                    arrived, batch
                ),
            )

    def _take(
        self, receivers: list[int], records: list[suspicion.Record]
    ) -> None:
        for number in receivers:
            for record in records:
                self.gateways[number].take(record)


def play(
    size: Size, way: Way, seed: int, *, was_sound: bool
) -> dict[str, float]:
    """Plays one way and returns its figures."""
    with contextlib.ExitStack() as stack:
        for patch in way.patches():
            stack.enter_context(patch)
        return World(size, way, seed, was_sound=was_sound).run()


@click.command()
@click.option("--seeds", default=3, show_default=True)
def main(seeds: int) -> None:
    """Plays all ways with the same seeds and prints the mean figures."""
    rows = []
    results = {}
    for size in SIZES:
        for was_sound in (False, True):
            for name, way in WAYS.items():
                plays = [
                    play(size, way, seed, was_sound=was_sound)
                    for seed in range(1, seeds + 1)
                ]
                means = {
                    key: sum(one[key] for one in plays) / seeds
                    for key in plays[0]
                }
                key = f"{name}/{size.gateways}/{was_sound}"
                results[key] = means
                rows.append(
                    [
                        size.gateways,
                        "yes" if was_sound else "no",
                        name,
                        *(f"{value:.1f}" for value in means.values()),
                    ]
                )
    headings = [
        "gateways",
        "sound before",
        "way",
        "targets crashed",
        "sent late",
        "rejected of 1,000 sound",
        "kB sent per gateway",
    ]
    print(report.table(headings, rows))
    report.save("poison-blocks", results)


if __name__ == "__main__":
    main()
