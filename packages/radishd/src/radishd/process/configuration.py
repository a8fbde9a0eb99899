"""Follows the configuration in the store, and proposes changes to it."""

from collections.abc import Callable
import random
import secrets

import anyio
from radishstack import result
from radishstack.version import commit as commit_lib
from radishstack.version import holder as holder_lib
from radishstack.version import operation as operation_lib
from radishstack.version import publish

from radishd.process import clock
from radishd.process import logs
from radishd.process import store as store_lib

RETRY_FIRST_MS = 100
RETRY_MAX_MS = 5_000
UNWATCHED_POLL_MS = 60_000
MS_PER_S = 1000.0

Listener = Callable[[holder_lib.HeldVersion], None]


class Configuration:
    """The version in force in this process, with listeners for new ones."""

    def __init__(self) -> None:
        """Starts with the empty version."""
        self.holder = holder_lib.Holder()
        self._listeners: list[Listener] = []
        self._version_changed = anyio.Event()
        self._read_requested = anyio.Event()
        self.on_commit: Callable[[commit_lib.Commit], None] | None = None

    @property
    def held(self) -> holder_lib.HeldVersion:
        """The version in force here."""
        return self.holder.held

    def listen(self, listener: Listener) -> None:
        """Adds a function that is called with every newer version."""
        self._listeners.append(listener)

    def offer(self, held: holder_lib.HeldVersion) -> None:
        """Applies a version, and notifies the listeners if it is newer."""
        if not self.holder.offer(held):
            return
        for listener in self._listeners:
            listener(self.held)
        self._version_changed.set()
        self._version_changed = anyio.Event()
        logs.info("config_in_force", config_version=held.version)

    def advance(self, commit: commit_lib.Commit) -> bool:
        """Applies a commit from the store or a peer if it is the next one.

        Args:
            commit: The commit.

        Returns:
            Whether it was applied.
        """
        if commit.version != self.held.version + 1:
            return False
        held = holder_lib.follow(self.held, commit)
        if isinstance(held, result.Failure):
            logs.error("bad_commit", held.code, reason=held.message)
            return False
        self.offer(held)
        if self.on_commit is not None:
            self.on_commit(commit)
        return True

    def request_read(self) -> None:
        """Makes a follower that does not watch the store read it now."""
        self._read_requested.set()

    async def wait_for_read_request(self, timeout_ms: float) -> None:
        """Waits for a requested read, or until the timeout."""
        with anyio.move_on_after(timeout_ms / MS_PER_S):
            await self._read_requested.wait()
        self._read_requested = anyio.Event()

    async def wait_for(self, version: int, timeout_ms: int) -> bool:
        """Waits until a version is in force here.

        Args:
            version: The version.
            timeout_ms: How long to wait.

        Returns:
            Whether it is in force.
        """
        with anyio.move_on_after(timeout_ms / MS_PER_S):
            while self.held.version < version:
                await self._version_changed.wait()
        return self.held.version >= version


async def follow(
    configuration: Configuration,
    store: store_lib.Store,
    random_source: random.Random,
    watches: Callable[[], bool] = lambda: True,
) -> None:
    """Keeps the configuration in sync with the store until cancelled.

    Args:
        configuration: Receives new versions.
        store: The object API.
        random_source: Adds jitter to the retries of many processes.
        watches: Whether this process is one of the few that watch the store;
            the others receive commits from peers and poll the store.
    """
    revision: int | None = None
    failures = 0
    while True:
        outcome = await _follow_once(configuration, store, revision)
        if isinstance(outcome, result.Failure):
            failures += 1
            revision = None
            if failures == 1:
                logs.warn("config_unavailable", reason=outcome.message)
            base_ms = min(RETRY_FIRST_MS * 2**failures, RETRY_MAX_MS)
            pause_ms = base_ms * random_source.uniform(0.5, 1.5)
            await anyio.sleep(pause_ms / MS_PER_S)
            continue
        failures = 0
        revision = outcome
        if configuration.held.version and not watches():
            revision = None
            pause_ms = UNWATCHED_POLL_MS * random_source.uniform(0.5, 1.5)
            await configuration.wait_for_read_request(pause_ms)


async def _follow_once(
    configuration: Configuration,
    store: store_lib.Store,
    revision: int | None,
) -> result.Outcome[int]:
    read = await store_lib.read_root(store, watch=revision)
    if isinstance(read, result.Failure):
        return read
    if isinstance(read, str):
        return revision or 0
    revision, root = read
    if root.version > configuration.held.version:
        failure = await _catch_up(configuration, store, root)
        if failure is not None:
            return failure
    return revision


async def _catch_up(
    configuration: Configuration,
    store: store_lib.Store,
    root: commit_lib.Root,
) -> result.Failure | None:
    plan = holder_lib.plan_catch_up(configuration.held, root)
    if isinstance(plan, holder_lib.ReadCommits):
        for name in plan.names:
            commit = await store_lib.read_commit(store, name)
            if isinstance(commit, result.Failure):
                return commit
            # Has no effect if a peer has pushed the commit meanwhile.
            configuration.advance(commit)
        return None
    held = await store_lib.catch_up(store, configuration.held, root)
    if isinstance(held, result.Failure):
        return held
    configuration.offer(held)
    return None


async def read_now(
    store: store_lib.Store,
) -> result.Outcome[holder_lib.HeldVersion]:
    """Reads the version in force from the store, for an operator's tool."""
    read = await store_lib.read_root(store)
    if isinstance(read, result.Failure):
        return read
    return await store_lib.catch_up(store, holder_lib.EMPTY, read[1])


async def propose(
    store: store_lib.Store,
    *,
    operations: tuple[operation_lib.Operation, ...],
    base: holder_lib.HeldVersion,
    operator: str,
    reason: str,
) -> result.Outcome[publish.Accepted]:
    """Proposes a change until it is accepted or rejected.

    Args:
        store: The object API.
        operations: The change.
        base: Version that the operator based the change on.
        operator: Operator's name, for the audit trail.
        reason: Reason of the change, for the audit trail.

    Returns:
        The version that includes the change, or why it was rejected.
    """
    proposal = publish.Proposal(
        write_id=secrets.token_hex(12),
        operator=operator,
        reason=reason,
        base=base,
        operations=operations,
    )
    publisher = publish.Publisher(proposal, now_ms=clock.unix_ms())
    step: publish.Next = publisher.start()
    while not isinstance(step, publish.Accepted | result.Failure):
        event = await _perform(step, store)
        if isinstance(event, result.Failure):
            return _uncertain(event, publisher)
        step = publisher.handle(event)
    if isinstance(step, publish.Accepted):
        await _snapshot_if_due(store)
    return step


def _uncertain(
    failure: result.Failure, publisher: publish.Publisher
) -> result.Failure:
    if publisher.commit is None:
        return failure
    return result.Failure(
        result.CHANGE_UNCERTAIN,
        f"{failure.message}; look for write id "
        f"{publisher.proposal.write_id} in the audit trail before proposing "
        "again",
    )


async def _perform(
    step: publish.Step, store: store_lib.Store
) -> result.Outcome[publish.Event]:
    match step:
        case publish.CatchUp(held=held):
            return await _catch_up_for(held, store)
        case publish.WriteCommit(name=name, data=data):
            return await store.put(name, data, expected=None)
        case publish.UpdateRoot(expected_revision=revision, data=data):
            return await store.put(
                commit_lib.ROOT_NAME, data, expected=revision
            )


async def _catch_up_for(
    base: holder_lib.HeldVersion, store: store_lib.Store
) -> result.Outcome[publish.CaughtUp]:
    read = await store_lib.read_root(store)
    if isinstance(read, result.Failure):
        return read
    revision, root = read
    held = await store_lib.catch_up(store, base, root)
    if isinstance(held, result.Failure):
        return held
    since = await store_lib.read_chain(store, root.write_id, after=base.version)
    if isinstance(since, result.Failure):
        return since
    return publish.CaughtUp(revision, root, held, since)


async def _snapshot_if_due(store: store_lib.Store) -> None:
    """Writes a snapshot once enough commits have accumulated.

    If this is interrupted, the next writer of a commit tries again: parts
    that the root does not reference are never read.
    """
    read = await store_lib.read_root(store)
    if isinstance(read, result.Failure | str):
        return
    revision, root = read
    if not commit_lib.snapshot_is_due(root):
        return
    held = await store_lib.catch_up(store, holder_lib.EMPTY, root)
    if isinstance(held, result.Failure):
        return
    parts = commit_lib.encode_snapshot(held.document, held.write_id)
    for name, data in parts.items():
        written = await store.put(name, data, expected=None)
        if not isinstance(written, publish.Written):
            return
    compacted = commit_lib.compact(root, tuple(parts))
    await store.put(
        commit_lib.ROOT_NAME,
        commit_lib.encode_root(compacted),
        expected=revision,
    )
