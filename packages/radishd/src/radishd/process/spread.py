"""Telling peers of new versions, and hearing of them, over datagrams."""

from collections.abc import Callable
import functools
import random

import anyio
from radishstack import result
from radishstack.connection import frame
from radishstack.process import dissemination as dissemination_lib
from radishstack.process import rendezvous
from radishstack.version import commit as commit_lib
from radishstack.version import document as document_lib
from radishstack.version import holder as holder_lib

from radishd.process import clock
from radishd.process import configuration as configuration_lib
from radishd.process import control as control_lib
from radishd.process import settings as settings_lib

MS_PER_S = 1000.0
ROUND_MS = 1_000
WATCHERS_PER_DOMAIN = 2
MAX_HEARD = 512


class Spread:
    """The dissemination of one process on its control socket."""

    def __init__(
        self,
        settings: settings_lib.Settings,
        address: str,
        control: control_lib.Control,
        configuration: configuration_lib.Configuration,
        random_source: random.Random,
    ) -> None:
        """Hooks itself into the control socket and the configuration.

        Args:
            settings: Of this process.
            address: Of its control socket.
            control: The control socket.
            configuration: The version in force here.
            random_source: Picks the peers.
        """
        self.settings = settings
        self.configuration = configuration
        self.control = control
        self.random = random_source
        self.machine = dissemination_lib.Dissemination(
            settings_lib.split_address(address), random_source=random_source
        )
        self.on_leaving: Callable[[frozenset[str]], None] | None = None
        self._heard: dict[control_lib.Address, None] = {}
        self._targets: tuple[control_lib.Address, ...] = ()
        self._outbox: list[dissemination_lib.Action] = []
        self._wake = anyio.Event()
        control.on_change = self.hear
        configuration.listen(self._version_raised)
        configuration.on_commit = self._commit_raised

    def _version_raised(self, held: holder_lib.Held) -> None:
        targets = held.document.targets.values()
        self._targets = tuple(
            settings_lib.split_address(target.address) for target in targets
        )
        self._set_peers()

    def _set_peers(self) -> None:
        self.machine.peers = (*self._targets, *self._heard)

    def _commit_raised(self, commit: commit_lib.Commit) -> None:
        data = commit_lib.encode_commit(commit)
        self._feed(dissemination_lib.CommitApplied(commit.version, data))

    def _feed(self, event: dissemination_lib.Event) -> None:
        version = self.configuration.held.version
        if version > self.machine.version and not isinstance(
            event, dissemination_lib.CommitApplied
        ):
            jumped = dissemination_lib.VersionAdvanced(version)
            self.machine.handle(jumped, clock.now_ms())
        self._outbox.extend(self.machine.handle(event, clock.now_ms()))
        self._wake.set()

    def tell_leaving(self, names: tuple[str, ...]) -> None:
        """Passes on who leaves."""
        if names:
            self._feed(dissemination_lib.DrainingReported(names))

    async def hear(
        self,
        body: frame.Digest | frame.PushedCommit,
        sender: control_lib.Address,
    ) -> None:
        """Handles a peer's datagram."""
        if isinstance(body, frame.PushedCommit):
            commit = commit_lib.decode_commit(body.data)
            if not isinstance(commit, result.Failure):
                self._take_commit(commit, sender)
            return
        if sender not in self._heard and len(self._heard) < MAX_HEARD:
            self._heard[sender] = None
            self._set_peers()
        self._feed(
            dissemination_lib.DigestReceived(
                sender, body.version, body.reply, body.leaving
            )
        )
        if body.leaving and self.on_leaving is not None:
            self.on_leaving(
                frozenset(self.machine.draining_names(clock.now_ms()))
            )

    def _take_commit(
        self, commit: commit_lib.Commit, sender: control_lib.Address
    ) -> None:
        if self.configuration.advance(commit):
            return
        if commit.version > self.configuration.held.version:
            # A gap: ask the sender for what lies between.
            ask = dissemination_lib.SendDigest(sender, False)
            self._outbox.append(ask)
            self._wake.set()

    def watches(self) -> bool:
        """Whether this process watches the object API.

        Entry daemons do; of the target processes a few per failure domain,
        picked by rendezvous among the document's targets. It is soft: two
        views of the document only make one watcher more or less.
        """
        if self.settings.role is settings_lib.Role.ENTRY:
            return True
        return is_watcher(
            self.settings.name,
            self.settings.failure_domain,
            self.configuration.held.document,
        )

    async def run(self) -> None:
        """Sends what is due until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._rounds)
            while True:
                actions, self._outbox = self._outbox, []
                for action in actions:
                    await _send(action, self)
                if not self._outbox:
                    self._wake = anyio.Event()
                    await self._wake.wait()

    async def _rounds(self) -> None:
        while True:
            pause_ms = ROUND_MS * self.random.uniform(0.8, 1.2)
            await anyio.sleep(pause_ms / MS_PER_S)
            self._feed(dissemination_lib.RoundDue())


def is_watcher(
    name: str, failure_domain: str, document: document_lib.Document
) -> bool:
    """Whether a target process is one of its domain's watchers."""
    names = [
        target.name
        for target in document.targets.values()
        if target.failure_domain == failure_domain
    ]
    if name not in names:
        return True
    return name in rendezvous.order(
        f"watch/{failure_domain}", names, WATCHERS_PER_DOMAIN
    )


@functools.singledispatch
async def _send(action: object, spread: Spread) -> None:
    raise TypeError(f"unknown action {action!r}")


@_send.register
async def _send_digest(
    action: dissemination_lib.SendDigest, spread: Spread
) -> None:
    digest = frame.Digest(
        spread.configuration.held.version,
        action.reply,
        spread.machine.draining_names(clock.now_ms()),
    )
    await spread.control.send(action.to, 0, digest)


@_send.register
async def _push_commit(
    action: dissemination_lib.PushCommit, spread: Spread
) -> None:
    await spread.control.send(action.to, 0, frame.PushedCommit(action.data))


@_send.register
async def _read_store(
    action: dissemination_lib.ReadStore, spread: Spread
) -> None:
    del action
    spread.configuration.nudge()
