"""State machine over operators, the object API and followers."""

import collections
import dataclasses

from hypothesis import stateful
from hypothesis import strategies as st
from radishstack import result
from radishstack.version import commit as commit_lib
from radishstack.version import document as document_lib
from radishstack.version import holder as holder_lib
from radishstack.version import operation as operation_lib
from radishstack.version import publish

COUNTS: collections.Counter[str] = collections.Counter()
FOLLOWERS = 3
SNAPSHOT_EVERY = 5
NAMES = ("c1", "c2", "c3")


@dataclasses.dataclass(slots=True)
class Operator:
    """An operator's proposal in progress.

    Attributes:
        publisher: The shipped publisher under test.
        step: The next step.
    """

    publisher: publish.Publisher
    step: publish.Next


class Store:
    """The object API: revisions, and writes that may take effect late."""

    def __init__(self) -> None:
        """Starts empty."""
        self.values: dict[str, bytes] = {}
        self.revision = 0
        self.late_updates: list[publish.UpdateRoot] = []

    def root(self) -> commit_lib.Root:
        """Returns the root in force."""
        data = self.values.get(commit_lib.ROOT_NAME)
        if data is None:
            return commit_lib.EMPTY_ROOT
        return commit_lib.decode_root(data)

    def update_root(self, step: publish.UpdateRoot) -> bool:
        """Applies a conditional update."""
        if step.expected_revision != self.revision:
            return False
        self.revision += 1
        self.values[commit_lib.ROOT_NAME] = step.data
        return True

    def chain(self, after: int) -> tuple[commit_lib.Commit, ...]:
        """Returns the commits after a version, oldest first."""
        commits: list[commit_lib.Commit] = []
        write_id = self.root().write_id
        while write_id:
            data = self.values[commit_lib.commit_name(write_id)]
            commit = commit_lib.decode_commit(data)
            if commit.version <= after:
                break
            commits.append(commit)
            write_id = commit.parent_id
        return tuple(reversed(commits))

    def catch_up(
        self, held: holder_lib.HeldVersion, root: commit_lib.Root
    ) -> holder_lib.HeldVersion:
        """Reads snapshots and commits up to a root's version."""
        while (plan := holder_lib.plan_catch_up(held, root)) is not None:
            if isinstance(plan, holder_lib.ReadSnapshot):
                parts = [self.values[name] for name in plan.part_names]
                document = commit_lib.decode_snapshot(parts)
                held = holder_lib.HeldVersion(
                    plan.version, root.snapshot_write_id, document
                )
                continue
            for name in plan.names:
                commit = commit_lib.decode_commit(self.values[name])
                held = holder_lib.follow(held, commit)
                if isinstance(held, result.Failure):
                    raise AssertionError(held)
        return held


class PublicationMachine(stateful.RuleBasedStateMachine):
    """Operators race, responses are lost, writes take effect late."""

    @stateful.initialize()
    def begin(self) -> None:
        self.store = Store()
        self.operators: list[Operator] = []
        self.proposal_count = 0
        self.accepted: dict[str, int] = {}
        self.rejected: set[str] = set()
        self.holders = [holder_lib.Holder() for _ in range(FOLLOWERS)]
        self.roots = [commit_lib.EMPTY_ROOT]

    @stateful.rule(
        name=st.sampled_from(NAMES),
        share=st.sampled_from((None, 1.0, 2.0, 3.0)),
        limit=st.sampled_from((None, 5, 6)),
        stale=st.integers(0, 2),
    )
    def propose(
        self, name: str, share: float | None, limit: int | None, stale: int
    ) -> None:
        """An operator makes a proposal based on a follower's version."""
        base = self.holders[stale].held
        operations: list[operation_lib.Operation] = []
        if name not in base.document.customers:
            operations.append(
                operation_lib.PutEntity(
                    kind="customers", name=name, value={"name": name}
                )
            )
        elif share is None and limit is None:
            operations.append(
                operation_lib.RemoveEntity(kind="customers", name=name)
            )
        for field, value in (("share", share), ("max_in_flight", limit)):
            if value is not None:
                operations.append(
                    operation_lib.SetField(
                        kind="customers", name=name, field=field, value=value
                    )
                )
        self.proposal_count += 1
        proposal = publish.Proposal(
            write_id=f"w{self.proposal_count}",
            operator=f"operator-{self.proposal_count}",
            reason="",
            base=base,
            operations=tuple(operations),
        )
        publisher = publish.Publisher(proposal, now_ms=self.proposal_count)
        self.operators.append(Operator(publisher, publisher.start()))
        COUNTS["proposals"] += 1

    def step(self, index: int, outcome: int) -> None:
        """Performs one operator's next call.

        Args:
            index: Which operator.
            outcome: 0 to 2: the response arrives. 3: the response is lost.
                4: the call is lost. 5: the response is lost, and a root update
                takes effect late.
        """
        if not self.operators:
            return
        operator = self.operators[index % len(self.operators)]
        if outcome >= 3:
            COUNTS["fault lost answer"] += 1
        event = self._perform(operator, outcome)
        operator.step = operator.publisher.handle(event)
        self._record_outcome(operator)

    def _perform(self, operator: Operator, outcome: int) -> publish.Event:
        match operator.step:
            case publish.CatchUp(held=held):
                return self._catch_up(held)
            case publish.WriteCommit(name=name, data=data):
                if outcome != 4:
                    self.store.values[name] = data
                return publish.Written() if outcome < 3 else publish.Uncertain()
            case publish.UpdateRoot() as update:
                if outcome == 5:
                    COUNTS["fault late write"] += 1
                    self.store.late_updates.append(update)
                    return publish.Uncertain()
                if outcome == 4:
                    return publish.Uncertain()
                applied = self.store.update_root(update)
                if outcome == 3:
                    return publish.Uncertain()
                return publish.Written() if applied else publish.Conflicted()
        raise AssertionError(operator.step)

    def _catch_up(self, held: holder_lib.HeldVersion) -> publish.CaughtUp:
        root = self.store.root()
        return publish.CaughtUp(
            self.store.revision,
            root,
            self.store.catch_up(held, root),
            self.store.chain(held.version),
        )

    def _record_outcome(self, operator: Operator) -> None:
        write_id = operator.publisher.proposal.write_id
        match operator.step:
            case publish.Accepted(version=version):
                COUNTS["accepted"] += 1
                self.accepted[write_id] = version
            case result.Failure(code=code):
                COUNTS[f"refused {code.name}"] += 1
                if code is not result.CHANGE_RACED:
                    self.rejected.add(write_id)
            case _:
                return
        self.operators.remove(operator)

    @stateful.rule()
    def land_late_write(self) -> None:
        if self.store.late_updates:
            self.store.update_root(self.store.late_updates.pop(0))

    @stateful.rule(
        steps=st.lists(
            st.tuples(st.integers(0, 9), st.integers(0, 5)),
            min_size=4,
            max_size=24,
        )
    )
    def race(self, steps: list[tuple[int, int]]) -> None:
        """Operators' calls interleave; most responses arrive."""
        for index, outcome in steps:
            self.step(index, outcome if index < 4 else 0)

    @stateful.rule(unlucky=st.integers(0, 5))
    def crash_operator(self, unlucky: int) -> None:
        """An operator's process crashes during a proposal."""
        if self.operators and unlucky == 0:
            COUNTS["fault crash"] += 1
            self.operators.pop(0)

    @stateful.rule()
    def snapshot(self) -> None:
        root = self.store.root()
        if len(root.recent) < SNAPSHOT_EVERY:
            return
        held = self.store.catch_up(holder_lib.EMPTY, root)
        parts = commit_lib.encode_snapshot(held.document, held.write_id)
        self.store.values.update(parts)
        data = commit_lib.encode_root(commit_lib.compact(root, tuple(parts)))
        self.store.update_root(publish.UpdateRoot(self.store.revision, data))
        COUNTS["snapshots"] += 1

    @stateful.rule(index=st.integers(0, FOLLOWERS - 1), old=st.integers(0, 4))
    def follow(self, index: int, old: int) -> None:
        """A follower reads the root, possibly from an old response."""
        root = self.roots[max(0, len(self.roots) - 1 - old)]
        holder = self.holders[index]
        before = holder.held.version
        holder.offer(self.store.catch_up(holder.held, root))
        if holder.held.version < before:
            raise AssertionError("the held version decreased")

    @stateful.rule(
        index=st.integers(0, FOLLOWERS - 1), peer=st.integers(0, FOLLOWERS - 1)
    )
    def take_peers_version(self, index: int, peer: int) -> None:
        """A process receives a peer's version, which may be older."""
        self.holders[index].offer(self.holders[peer].held)

    @stateful.rule(index=st.integers(0, FOLLOWERS - 1))
    def restart_follower(self, index: int) -> None:
        """A process restarts and starts from a peer's version."""
        COUNTS["fault restart"] += 1
        peer = self.holders[(index + 1) % FOLLOWERS].held
        self.holders[index] = holder_lib.Holder(peer)

    @stateful.invariant()
    def accepted_changes_stay(self) -> None:
        if not hasattr(self, "store"):
            return
        COUNTS["checks"] += 1
        root = self.store.root()
        if root.version < self.roots[-1].version:
            raise AssertionError("the version of the root decreased")
        if root != self.roots[-1]:
            self.roots.append(root)
        chain = self.store.chain(0)
        numbers = [commit.version for commit in chain]
        if numbers != list(range(1, root.version + 1)):
            raise AssertionError(f"versions {numbers} are not consecutive")
        found = {commit.write_id: commit.version for commit in chain}
        if len(found) != len(chain):
            raise AssertionError("a change was applied twice")
        for write_id, version in self.accepted.items():
            if found.get(write_id) != version:
                raise AssertionError(f"accepted {write_id} is lost")
        for write_id in self.rejected & found.keys():
            raise AssertionError(f"rejected {write_id} was applied")
        self._check_documents(chain, root)

    def _check_documents(
        self, chain: tuple[commit_lib.Commit, ...], root: commit_lib.Root
    ) -> None:
        held = holder_lib.EMPTY
        documents: list[document_lib.Document] = [held.document]
        for commit in chain:
            held = holder_lib.follow(held, commit)
            if isinstance(held, result.Failure):
                raise AssertionError(held)
            documents.append(held.document)
        in_force = self.store.catch_up(holder_lib.EMPTY, root)
        if in_force.document != held.document:
            raise AssertionError("the snapshot and the commits differ")
        for holder in self.holders:
            if holder.held.document != documents[holder.held.version]:
                raise AssertionError(
                    "a follower's document differs from its version"
                )
