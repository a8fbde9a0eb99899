"""Streams that callers resume while several software versions serve.

The world simulates what gateways do with the shipped decisions, in virtual
time: they read the list of targets late, begin streams and report their origins
to others, are killed and replaced, and are asked to resume the streams of
others. Messages are lost, gateways are cut from each other and from the store,
and have different views of the membership. All gateways may be killed at once;
sidecars hold origins as well, and are replaced.
"""

import collections
from collections.abc import Callable
import dataclasses
import random

from hypothesis import stateful
from hypothesis import strategies as st
from radishstack.connection import fleet_wire
from radishstack.process import hash_ring
from radishstack.process import roster as roster_lib
from radishstack.process import stream_origins

COUNTS: collections.Counter[str] = collections.Counter()
MS_PER_S = 1_000
SERVICE = "llm"
VERSIONS = ("v1", "v2", "v3")
TIMEOUT_MS = 12_000
# Deadline of callers that allow several attempts of the longest duration.
LONG_DEADLINE_MS = 60_000
LIFETIME_MS = stream_origins.retention_ms(TIMEOUT_MS, TIMEOUT_MS)
# Delay until a gateway that can reach the store reads a change of the list, and
# until a gateway that cannot reach it notices.
MAX_LIST_DELAY_MS = 1_200
OUTAGE_DETECTION_MS = 3_500
OBSERVE_INTERVAL_MS = 500
UDP_IP_HEADER_BYTES = 28

Select = Callable[[int, list[str]], list[str]]


@dataclasses.dataclass(slots=True)
class Target:
    """One incarnation of a target.

    Attributes:
        name: Name of the incarnation.
        software_version: Version of its software.
        is_running: Whether it runs.
    """

    name: str
    software_version: str
    is_running: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Stream:
    """One stream that its caller may resume.

    Attributes:
        attempt_id: The attempt that began it.
        software_version: The version that wrote its first event.
        gateway: The gateway that began it.
        until_ms: When its caller gives up.
    """

    attempt_id: str
    software_version: str
    gateway: str
    until_ms: int


class Gateway:
    """One simulated gateway that runs the shipped decisions."""

    def __init__(self, world: "World", name: str, domain: int) -> None:
        """Starts without state.

        Args:
            world: The world.
            name: Its name.
            domain: Number of its failure domain.
        """
        self.world = world
        self.name = name
        self.domain = domain
        self.is_running = True
        self.unknown: set[str] = set()
        self.restart()

    def restart(self) -> None:
        """Restarts the gateway, which loses all records and observations."""
        self.is_running = True
        self.records = stream_origins.StreamRecords()
        self.history = stream_origins.VersionHistory()
        self.listed: dict[str, Target] = {}
        self.cut_since_ms: int | None = None
        self.read_list()

    def others(self) -> list[str]:
        """Returns the other gateways that it knows."""
        return [
            name
            for name in self.world.gateways
            if name != self.name and name not in self.unknown
        ]

    def read_list(self) -> None:
        """Reads the list of targets, unless it is cut from the store."""
        if self.cut_since_ms is None:
            self.listed = dict(self.world.listed)
        self.observe()

    def observe(self) -> None:
        """Records the listed software versions."""
        now_ms = self.world.now_ms
        cut_ms = self.cut_since_ms
        is_current = cut_ms is None or now_ms - cut_ms < OUTAGE_DETECTION_MS
        self.history.observe(
            [member.listing for member in self.members()],
            now_ms,
            is_current=is_current,
        )
        self.history.expire(now_ms)
        self.records.expire(now_ms)

    def members(self) -> list[roster_lib.Member]:
        """Returns the targets that it knows."""
        return [
            roster_lib.Member(
                roster_lib.Listing(
                    instance=target.name,
                    service=SERVICE,
                    address=f"10.0.0.1:{number}",
                    failure_domain="north",
                    leaving=False,
                    slot_count=8,
                    software_version=target.software_version,
                ),
                roster_lib.Health(),
            )
            for number, target in enumerate(self.listed.values())
        ]

    def begin_stream(self) -> Stream | None:
        """Begins a stream at a random running target that it knows."""
        world = self.world
        members = self.members()
        preferred = world.preferred(members) or members
        names = [member.listing.instance for member in preferred]
        running = [name for name in names if self.listed[name].is_running]
        if not running:
            return None
        software_version = self.listed[
            world.random.choice(running)
        ].software_version
        stream = Stream(
            f"{self.name}/{world.next_number()}",
            software_version,
            self.name,
            world.now_ms + world.random.choice((TIMEOUT_MS, LONG_DEADLINE_MS)),
        )
        stream_id = stream_origins.stream_id_of(stream.attempt_id)
        retention_ms = stream_origins.retention_ms(
            TIMEOUT_MS, stream.until_ms - world.now_ms
        )
        until_ms = world.now_ms + retention_ms
        origin = stream_origins.Origin(SERVICE, software_version)
        self.records.record(stream_id, origin, until_ms)
        message = fleet_wire.StreamRecord(stream_id, origin, retention_ms)
        for name in world.holders(self, stream_id):
            if world.deliver(self.name, name, message):
                world.gateways[name].records.record(stream_id, origin, until_ms)
        for name in world.sidecar_holders(stream_id):
            if world.deliver_to_sidecar(message):
                world.sidecars[name].record(stream_id, origin, until_ms)
        return stream

    def resume_stream(self, stream: Stream) -> str:
        """Returns the version at which it continues a stream, empty if none."""
        world = self.world
        now_ms = world.now_ms
        stream_id = stream_origins.stream_id_of(stream.attempt_id)
        origin = self.records.find(stream_id, now_ms)
        if origin is not None:
            return origin.software_version
        asked = world.candidates(self, stream_id)
        asked_sidecars = world.sidecar_candidates(stream_id)
        lookup = stream_origins.Lookup([*asked, *asked_sidecars])
        query = fleet_wire.StreamQuery(
            stream_id, SERVICE, stream_origins.MAX_RETENTION_MS
        )
        for name in asked:
            if not world.deliver(self.name, name, query):
                continue
            other = world.gateways[name]
            answer = stream_origins.Answer(
                stream_id,
                other.records.find(stream_id, now_ms),
                other.history.view(
                    SERVICE, stream_origins.MAX_RETENTION_MS, now_ms
                ),
            )
            if world.deliver(name, self.name, answer):
                lookup.record(name, answer)
        for name in asked_sidecars:
            if not world.deliver_to_sidecar(query):
                continue
            answer = stream_origins.Answer(
                stream_id,
                world.sidecars[name].find(stream_id, now_ms),
                stream_origins.NO_VIEW,
            )
            if world.deliver_to_sidecar(answer):
                lookup.record(name, answer)
        origin = lookup.found()
        if origin is not None:
            return origin.software_version
        if self.cut_since_ms is not None:
            return ""
        self.read_list()
        lifetime_ms = stream_origins.MAX_RETENTION_MS
        own_view = self.history.view(SERVICE, lifetime_ms, now_ms)
        return lookup.sole_version(own_view, lifetime_ms)


class World:
    """Gateways, targets, the list of targets and a shared clock.

    Attributes:
        now_ms: Current virtual time.
        gateways: The gateways by name.
        targets: All incarnations of targets.
        listed: The list of targets in the store.
        loss: Fraction of messages that are lost.
        sides: Side of a network partition, by gateway.
        sent_bytes: Bytes of the messages, with their headers, by type.
        holders: Selects where the origin of a stream is reported.
        candidates: Selects which gateways are asked for it.
        sidecars: Records of the sidecars by name.
        sidecar_holders: Selects the sidecars where it is reported.
        sidecar_candidates: Selects which sidecars are asked for it.
        preferred: Selects the targets at which new streams begin.
    """

    def __init__(
        self, count: int, domain_count: int, source: random.Random
    ) -> None:
        """Starts gateways that know each other, in front of v1 targets.

        Args:
            count: Number of gateways.
            domain_count: Number of failure domains.
            source: Random source of the simulation.
        """
        self.now_ms = 1_000_000
        self.random = source
        self.loss = 0.0
        self.targets: list[Target] = []
        self.listed: dict[str, Target] = {}
        self.sides: dict[str, int] = {}
        self.sent_bytes: collections.Counter[str] = collections.Counter()
        self.holders: Callable[[Gateway, int], list[str]] = (
            lambda gateway, stream_id: stream_origins.holders(
                stream_id, gateway.others()
            )
        )
        self.candidates: Callable[[Gateway, int], list[str]] = (
            lambda gateway, stream_id: stream_origins.candidates(
                stream_id, gateway.others()
            )
        )
        self.preferred = stream_origins.replaceable
        self.sidecars: dict[str, stream_origins.StreamRecords] = {}
        self._ring = hash_ring.make_ring(())
        self.sidecar_holders: Callable[[int], list[str]] = (
            self._default_sidecar_holders
        )
        self.sidecar_candidates: Callable[[int], list[str]] = (
            self._default_sidecar_candidates
        )
        self._numbers = 0
        self._pending_reads: list[tuple[int, Gateway]] = []
        self.gateways: dict[str, Gateway] = {}
        for number in range(count):
            name = f"10.{number // 250}.0.{number % 250}"
            domain = number % domain_count
            self.gateways[name] = Gateway(self, name, domain)

    def _default_sidecar_holders(self, stream_id: int) -> list[str]:
        return stream_origins.sidecar_holders(stream_id, self._ring)

    def _default_sidecar_candidates(self, stream_id: int) -> list[str]:
        return stream_origins.sidecar_candidates(stream_id, self._ring)

    def next_number(self) -> int:
        """Returns a number that was not used before."""
        self._numbers += 1
        return self._numbers

    def deliver(
        self, sender: str, receiver: str, message: fleet_wire.Datagram
    ) -> bool:
        """Counts a message; returns whether it arrives."""
        size_bytes = len(fleet_wire.encode(message)) + UDP_IP_HEADER_BYTES
        self.sent_bytes[type(message).__name__] += size_bytes
        return (
            self.gateways[receiver].is_running
            and self.sides.get(sender, 0) == self.sides.get(receiver, 0)
            and self.random.random() >= self.loss
        )

    def deliver_to_sidecar(self, message: fleet_wire.Datagram) -> bool:
        """Counts a message to or from a sidecar; returns whether it arrives."""
        size_bytes = len(fleet_wire.encode(message)) + UDP_IP_HEADER_BYTES
        self.sent_bytes[type(message).__name__] += size_bytes
        return self.random.random() >= self.loss

    def replace_sidecar(self, ended: str = "") -> None:
        """Starts a sidecar on a new VM, in place of another one if named."""
        self.sidecars.pop(ended, None)
        name = f"s{self.next_number()}"
        self.sidecars[name] = stream_origins.StreamRecords()
        self._ring = hash_ring.make_ring(self.sidecars)

    def start_target(self, software_version: str) -> None:
        """Starts a target and registers it."""
        target = Target(f"i{self.next_number()}", software_version)
        self.targets.append(target)
        self.listed[target.name] = target
        self._publish()

    def end_target(self, target: Target) -> None:
        """Ends a target; its entry disappears."""
        target.is_running = False
        self.listed.pop(target.name, None)
        self._publish()

    def _publish(self) -> None:
        for gateway in self.gateways.values():
            delay_ms = self.random.randint(0, MAX_LIST_DELAY_MS)
            self._pending_reads.append((self.now_ms + delay_ms, gateway))

    def advance(self, for_ms: int) -> None:
        """Advances the clock; gateways read and observe the list."""
        until_ms = self.now_ms + for_ms
        while self.now_ms < until_ms:
            self.now_ms = min(until_ms, self.now_ms + OBSERVE_INTERVAL_MS)
            due = [one for one in self._pending_reads if one[0] <= self.now_ms]
            self._pending_reads = [
                one for one in self._pending_reads if one[0] > self.now_ms
            ]
            for _, gateway in due:
                gateway.read_list()
            for gateway in self.gateways.values():
                if gateway.is_running:
                    gateway.observe()

    def cut_from_store(self, gateway: Gateway, *, is_cut: bool) -> None:
        """Cuts a gateway from the store, or connects it again."""
        if is_cut and gateway.cut_since_ms is None:
            gateway.cut_since_ms = self.now_ms
        elif not is_cut and gateway.cut_since_ms is not None:
            gateway.cut_since_ms = None
            gateway.read_list()


class StreamsMachine(stateful.RuleBasedStateMachine):
    """Streams begin, lose their gateways and are resumed at others."""

    GATEWAYS = 6
    DOMAINS = 3

    def __init__(self) -> None:
        """Starts without a world; ``begin`` creates it."""
        super().__init__()
        self.world: World | None = None
        self.names: list[str] = []
        self.streams: list[Stream] = []

    @stateful.initialize(seed=st.integers(0, 2**16))
    def begin(self, seed: int) -> None:
        """Creates the world, which serves one version for a while."""
        self.world = World(self.GATEWAYS, self.DOMAINS, random.Random(seed))
        self.names = sorted(self.world.gateways)
        for _ in range(3):
            self.world.start_target("v1")
            self.world.replace_sidecar()
        self.world.advance(2 * LIFETIME_MS)

    def _gateway(self, at: int) -> Gateway:
        return self.world.gateways[self.names[at]]

    @stateful.rule(for_ms=st.integers(10, 8_000))
    def pass_time(self, for_ms: int) -> None:
        """Advances the clock."""
        self.world.advance(for_ms)
        now_ms = self.world.now_ms
        self.streams = [one for one in self.streams if one.until_ms > now_ms]

    @stateful.rule(software_version=st.sampled_from(VERSIONS))
    def start_target(self, software_version: str) -> None:
        """A target of any version starts; versions have no order."""
        if sum(one.is_running for one in self.world.targets) < 8:
            self.world.start_target(software_version)
            COUNTS["fault version"] += software_version != "v1"

    @stateful.rule(at=st.integers(0, 7))
    def end_target(self, at: int) -> None:
        """A target ends."""
        running = [one for one in self.world.targets if one.is_running]
        if len(running) > 1:
            self.world.end_target(running[at % len(running)])
            COUNTS["fault target"] += 1

    @stateful.rule(at=st.integers(0, GATEWAYS - 1), count=st.integers(1, 5))
    def begin_streams(self, at: int, count: int) -> None:
        """Callers request new streams at one gateway."""
        gateway = self._gateway(at)
        for _ in range(count if gateway.is_running else 0):
            stream = gateway.begin_stream()
            if stream is not None:
                self.streams.append(stream)
                COUNTS["begun"] += 1

    @stateful.rule(at=st.integers(0, GATEWAYS - 1))
    def kill(self, at: int) -> None:
        """A gateway is killed and restarts without state."""
        self._gateway(at).restart()
        COUNTS["fault kill"] += 1

    @stateful.rule(down_ms=st.integers(0, 3 * LIFETIME_MS))
    def kill_all(self, down_ms: int) -> None:
        """All gateways lose power, and are back after some time."""
        for gateway in self.world.gateways.values():
            gateway.is_running = False
        self.world.advance(down_ms)
        for gateway in self.world.gateways.values():
            gateway.restart()
        COUNTS["fault kill all"] += 1

    @stateful.rule(at=st.integers(0, 7))
    def replace_sidecar(self, at: int) -> None:
        """A sidecar is lost with its VM, and another one starts."""
        names = sorted(self.world.sidecars)
        self.world.replace_sidecar(names[at % len(names)])
        COUNTS["fault sidecar"] += 1

    @stateful.rule(at=st.integers(0, GATEWAYS - 1), down=st.booleans())
    def stop(self, at: int, down: bool) -> None:
        """A gateway is gone, or comes back."""
        gateway = self._gateway(at)
        if down:
            gateway.is_running = False
            COUNTS["fault stop"] += 1
        elif not gateway.is_running:
            gateway.restart()

    @stateful.rule(loss=st.sampled_from((0.0, 0.3, 1.0)))
    def lose_messages(self, loss: float) -> None:
        """Sets the fraction of messages that are lost."""
        self.world.loss = loss

    @stateful.rule(
        sides=st.lists(st.integers(0, 1), min_size=GATEWAYS, max_size=GATEWAYS)
    )
    def cut(self, sides: list[int]) -> None:
        """Cuts the gateways into two parts; equal sides heal the cut."""
        self.world.sides = dict(zip(self.names, sides, strict=True))
        COUNTS["fault cut"] += len(set(sides)) > 1

    @stateful.rule(at=st.integers(0, GATEWAYS - 1), is_cut=st.booleans())
    def cut_from_store(self, at: int, is_cut: bool) -> None:
        """Cuts a gateway from the store, or connects it again."""
        self.world.cut_from_store(self._gateway(at), is_cut=is_cut)
        COUNTS["fault store cut"] += is_cut

    @stateful.rule(
        at=st.integers(0, GATEWAYS - 1), unknown=st.integers(0, GATEWAYS - 1)
    )
    def hide_gateway(self, at: int, unknown: int) -> None:
        """Sets a gateway's view to all others except one."""
        self._gateway(at).unknown = {self.names[unknown]}
        COUNTS["fault view"] += 1

    @stateful.rule(at=st.integers(0, GATEWAYS - 1))
    def resume_streams(self, at: int) -> None:
        """Callers resume all their streams at one gateway."""
        gateway = self._gateway(at)
        if not gateway.is_running:
            return
        for stream in self.streams:
            software_version = gateway.resume_stream(stream)
            COUNTS["resumed" if software_version else "rejected"] += 1
            COUNTS["checks"] += 1
            assert software_version in ("", stream.software_version), (
                f"{stream} continues at {software_version}"
            )
