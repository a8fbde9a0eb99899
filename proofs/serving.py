"""State machine over entries, targets and engines, with faults."""

import collections

from hypothesis import stateful
from hypothesis import strategies as st
from radishstack import target_event as event_lib
from radishstack.request import exchange as exchange_lib
from radishstack.version import operation as operation_lib

from proofs import actors
from proofs import deployment
from proofs import world as world_lib

COUNTS: collections.Counter[str] = collections.Counter()

_index = st.integers(0, 63)
_engines = st.sampled_from(deployment.ENGINES)
_plain_targets = st.sampled_from(deployment.PLAIN_TARGETS)
_nodes = st.sampled_from((*deployment.ENGINES, *deployment.PLAIN_TARGETS))
_adapters = st.sampled_from(deployment.ADAPTERS)
_keys = st.sampled_from(("k1", "k2", "k3"))
_entries = st.integers(0, 1)
FAULTS = (
    "kill",
    "freeze",
    "cut",
    "leaving",
    "engine restart",
    "engine silent",
)


class ServingMachine(stateful.RuleBasedStateMachine):
    """Requests, kills, lost connections, pauses and moves in any order."""

    @stateful.initialize(seed=st.integers(0, 2**32 - 1))
    def begin(self, seed: int) -> None:
        self.world = world_lib.World(seed, COUNTS)
        self.first_use_ms: dict[tuple[str, str], int] = {}
        self.key_generation = 0

    def _submit(self, service: str, adapter: str, key: str, entry: int) -> None:
        if not key:
            self.world.submit(service, adapter, key, entry)
            return
        # A caller reuses a key within one retry window only.
        name = f"{key}-{self.key_generation}"
        first_use_ms = self.first_use_ms.setdefault(
            (service, name), self.world.now_ms
        )
        remaining_ms = (
            first_use_ms + deployment.RETRY_WINDOW_MS - self.world.now_ms
        )
        if remaining_ms <= deployment.TIMEOUT_MS:
            self.key_generation += 1
            self.first_use_ms.clear()
            return
        self.world.submit(service, adapter, name, entry)

    @stateful.rule(adapter=_adapters, key=_keys, entry=_entries)
    def ask_adapter(self, adapter: str, key: str, entry: int) -> None:
        if adapter == "a0":
            self._submit("pact", adapter, key, entry)
        else:
            self._submit("assist", adapter, "", entry)

    @stateful.rule(key=_keys, entry=_entries)
    def book(self, key: str, entry: int) -> None:
        self._submit("book", "", key, entry)

    @stateful.rule(indices=st.lists(_index, min_size=1, max_size=12))
    def deliver(self, indices: list[int]) -> None:
        for index in indices:
            self.world.deliver(index)

    @stateful.rule()
    def deliver_oldest(self) -> None:
        for _ in range(8):
            self.world.deliver(0)

    @stateful.rule(index=_index)
    def repeat_message(self, index: int) -> None:
        COUNTS["fault repeat"] += 1
        self.world.deliver(index, repeat=True)

    @stateful.rule(name=_engines, index=_index, fate=st.integers(0, 2))
    def obey(self, name: str, index: int, fate: int) -> None:
        if fate:
            COUNTS[f"fault order {fate}"] += 1
        self.world.execute_order(self.world.nodes[name], index, fate)

    @stateful.rule(name=_nodes, kind=st.sampled_from(FAULTS))
    def fault(self, name: str, kind: str) -> None:
        node = self.world.nodes[name]
        is_engine = name in deployment.ENGINES
        COUNTS[f"fault {kind}"] += 1
        match kind:
            case "kill" if node.state_machine is not None:
                self.world.kill(node)
            case "freeze":
                node.paused = True
            case "cut":
                self.world.cut_connections(node)
            case "leaving":
                self.world.start_draining(node)
            case "engine restart" if is_engine:
                self.world.restart_engine(node)
            case "engine silent" if is_engine:
                self.world.feed(node, event_lib.EngineLost())

    @stateful.rule(name=_nodes)
    def mend(self, name: str) -> None:
        """Starts stopped, resumes paused and replaces draining processes."""
        node = self.world.nodes[name]
        node.paused = False
        if node.state_machine is not None and node.state_machine.leaving:
            self.world.kill(node)
        if node.state_machine is None:
            self.world.draining_since_ms.pop(name, None)
            self.world.start(node)
        if name in deployment.ENGINES:
            self.world.poll_engine(node)

    @stateful.rule(rounds=st.integers(1, 6))
    def work(self, rounds: int) -> None:
        """Lets all healthy processes make progress."""
        for _ in range(rounds):
            for _ in range(len(self.world.messages)):
                self.world.deliver(0)
            for name, node in self.world.nodes.items():
                if name in deployment.ENGINES:
                    self.world.execute_order(node, 0, 0)
                self.produce_all(node)
            self.world.advance(1)

    @stateful.rule(name=_nodes, steps=st.integers(1, 8))
    def produce(self, name: str, steps: int) -> None:
        for _ in range(steps):
            self.produce_all(self.world.nodes[name])

    def produce_all(self, node: actors.Node) -> None:
        """Lets each run of a target produce one chunk or its end."""
        if node.state_machine is None or node.paused:
            return
        for attempt_id in list(node.engine.runs):
            if attempt_id in node.engine.runs:
                self.world.produce(node, attempt_id)

    @stateful.rule(by_ms=st.sampled_from((1, 10, 100, 1_000, 5_000)))
    def advance(self, by_ms: int) -> None:
        self.world.advance(by_ms)

    @stateful.rule(
        desks=st.lists(_plain_targets, min_size=1, max_size=3, unique=True)
    )
    def move_booking(self, desks: list[str]) -> None:
        COUNTS["fault move"] += 1
        self.world.change_configuration(
            operation_lib.SetField(
                kind="services", name="book", field="targets", value=desks
            )
        )

    @stateful.rule(
        engines=st.lists(_engines, min_size=1, max_size=2, unique=True)
    )
    def move_pact(self, engines: list[str]) -> None:
        COUNTS["fault move"] += 1
        self.world.change_configuration(
            operation_lib.SetField(
                kind="services", name="pact", field="targets", value=engines
            )
        )

    @stateful.rule(adapter=_adapters, version=st.integers(2, 3))
    def roll_out(self, adapter: str, version: int) -> None:
        self.world.change_configuration(
            operation_lib.AddVersion(name=adapter, version=version, source="s")
        )
        self.world.change_configuration(
            operation_lib.SetField(
                kind="adapters", name=adapter, field="current", value=version
            )
        )

    @stateful.rule(name=_nodes, to=st.integers(0, 3))
    def spread_to_target(self, name: str, to: int) -> None:
        """A process receives a version, possibly an old one."""
        versions = self.world.versions
        held = versions[max(0, len(versions) - 1 - to)]
        self.world.feed(
            self.world.nodes[name], event_lib.VersionActivated(held)
        )

    @stateful.rule(entry=_entries)
    def spread_to_entry(self, entry: int) -> None:
        self.world.entry_versions[entry] = len(self.world.versions) - 1

    @stateful.rule(index=_index)
    def caller_leaves(self, index: int) -> None:
        waiting = [c for c in self.world.callers if not c.exchange.done]
        if not waiting:
            return
        caller = waiting[index % len(waiting)]
        COUNTS["fault caller left"] += 1
        self.world.perform_exchange_actions(
            caller,
            caller.exchange.handle(
                exchange_lib.CallerDisconnected(), self.world.now_ms
            ),
        )

    @stateful.invariant()
    def promises_hold(self) -> None:
        if hasattr(self, "world"):
            COUNTS["checks"] += 1
            self.world.check()
