"""Exchange of configuration versions between peers, over datagrams."""

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
ROUND_INTERVAL_MS = 1_000
WATCHERS_PER_DOMAIN = 2
MAX_KNOWN_SENDERS = 512


class ConfigurationGossip:
    """Runs the dissemination of one process on its control socket."""

    def __init__(
        self,
        settings: settings_lib.Settings,
        address: str,
        control: control_lib.ControlSocket,
        configuration: configuration_lib.Configuration,
        random_source: random.Random,
    ) -> None:
        """Registers callbacks at the control socket and the configuration.

        Args:
            settings: Settings of this process.
            address: Address of the control socket.
            control: The control socket.
            configuration: The version in force here.
            random_source: Chooses the peers.
        """
        self.settings = settings
        self.configuration = configuration
        self.control = control
        self.random = random_source
        self.machine = dissemination_lib.Dissemination(
            settings_lib.split_address(address), random_source=random_source
        )
        self.on_leaving: Callable[[frozenset[str]], None] | None = None
        self._known_senders: dict[control_lib.Address, None] = {}
        self._targets: tuple[control_lib.Address, ...] = ()
        self._outbox: list[dissemination_lib.Action] = []
        self._wake = anyio.Event()
        control.on_change = self.handle_datagram
        configuration.listen(self._on_new_version)
        configuration.on_commit = self._on_commit

    def _on_new_version(self, held: holder_lib.HeldVersion) -> None:
        targets = held.document.targets.values()
        self._targets = tuple(
            settings_lib.split_address(target.address) for target in targets
        )
        self._set_peers()

    def _set_peers(self) -> None:
        self.machine.peers = (*self._targets, *self._known_senders)

    def _on_commit(self, commit: commit_lib.Commit) -> None:
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

    def announce_leaving(self, names: tuple[str, ...]) -> None:
        """Forwards the names of draining VMs."""
        if names:
            self._feed(dissemination_lib.DrainingReported(names))

    async def handle_datagram(
        self,
        body: frame.Digest | frame.PushedCommit,
        sender: control_lib.Address,
    ) -> None:
        """Handles a peer's datagram."""
        if isinstance(body, frame.PushedCommit):
            commit = commit_lib.decode_commit(body.data)
            if not isinstance(commit, result.Failure):
                self._apply_commit(commit, sender)
            return
        if (
            sender not in self._known_senders
            and len(self._known_senders) < MAX_KNOWN_SENDERS
        ):
            self._known_senders[sender] = None
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

    def _apply_commit(
        self, commit: commit_lib.Commit, sender: control_lib.Address
    ) -> None:
        if self.configuration.advance(commit):
            return
        if commit.version > self.configuration.held.version:
            # Commits are missing: request them from the sender.
            request = dissemination_lib.SendDigest(sender, False)
            self._outbox.append(request)
            self._wake.set()

    def watches(self) -> bool:
        """Whether this process watches the object API.

        All entry daemons do, and a few target processes per failure domain,
        chosen by rendezvous hashing among the document's targets. Different
        views of the document only result in one watcher more or less.
        """
        if self.settings.role is settings_lib.Role.ENTRY:
            return True
        return is_watcher(
            self.settings.name,
            self.settings.failure_domain,
            self.configuration.held.document,
        )

    async def run(self) -> None:
        """Sends digests and commits until cancelled."""
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
            pause_ms = ROUND_INTERVAL_MS * self.random.uniform(0.8, 1.2)
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
async def _send(
    action: object, configuration_gossip: ConfigurationGossip
) -> None:
    raise TypeError(f"unknown action {action!r}")


@_send.register
async def _send_digest(
    action: dissemination_lib.SendDigest,
    configuration_gossip: ConfigurationGossip,
) -> None:
    digest = frame.Digest(
        configuration_gossip.configuration.held.version,
        action.reply,
        configuration_gossip.machine.draining_names(clock.now_ms()),
    )
    await configuration_gossip.control.send(action.to, 0, digest)


@_send.register
async def _push_commit(
    action: dissemination_lib.PushCommit,
    configuration_gossip: ConfigurationGossip,
) -> None:
    await configuration_gossip.control.send(
        action.to, 0, frame.PushedCommit(action.data)
    )


@_send.register
async def _read_store(
    action: dissemination_lib.ReadStore,
    configuration_gossip: ConfigurationGossip,
) -> None:
    del action
    configuration_gossip.configuration.request_read()
