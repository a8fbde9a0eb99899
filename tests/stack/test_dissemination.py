"""Dissemination of versions to all processes despite lost datagrams."""

import random

from radishstack.process import dissemination
from radishstack.version import commit as commit_lib

MEMBERS = 300
LOSS = 0.2
ROUNDS = 40


def _commit_applied(version: int) -> dissemination.CommitApplied:
    audit = commit_lib.AuditRecord("o", 0, version - 1, "")
    commit = commit_lib.Commit(
        f"w{version}", version, f"w{version - 1}" * (version > 1), (), audit
    )
    return dissemination.CommitApplied(
        version, commit_lib.encode_commit(commit)
    )


def _spread(loss: float, versions: int) -> list[int]:
    """Gives commits to one member; returns the final version of each member."""
    source = random.Random(7)
    addresses = [("10.0.0.1", port) for port in range(MEMBERS)]
    members = {}
    for address in addresses:
        member = dissemination.Dissemination(address, random_source=source)
        member.peers = addresses
        members[address] = member
    net: list[tuple[dissemination.Address, dissemination.Action]] = []

    def send(sender: dissemination.Address, actions: list) -> None:
        net.extend((sender, action) for action in actions)

    def drain() -> None:
        while net:
            sender, action = net.pop(source.randrange(len(net)))
            if source.random() < loss:
                continue
            member = members.get(getattr(action, "to", None))
            match action:
                case dissemination.PushCommit(to=to, data=data):
                    commit = commit_lib.decode_commit(data)
                    if commit.version == member.version + 1:
                        applied = dissemination.CommitApplied(
                            commit.version, data
                        )
                        send(to, member.handle(applied, 0))
                case dissemination.SendDigest(to=to, reply=reply):
                    digest = dissemination.DigestReceived(
                        sender, members[sender].version, reply, ()
                    )
                    send(to, member.handle(digest, 0))

    for version in range(1, versions + 1):
        applied = _commit_applied(version)
        send(addresses[0], members[addresses[0]].handle(applied, 0))
        drain()
    for _ in range(ROUNDS):
        for address in addresses:
            send(address, members[address].handle(dissemination.RoundDue(), 0))
        drain()
    return [member.version for member in members.values()]


def test_versions_reach_every_member_despite_losses() -> None:
    """Guards against members that stay behind if 20 % of datagrams are lost."""
    assert set(_spread(LOSS, 12)) == {12}


def test_old_and_repeated_events_change_nothing() -> None:
    """Guards against an old commit or version that lowers the version."""
    member = dissemination.Dissemination(
        ("10.0.0.1", 1), random_source=random.Random(1)
    )
    member.handle(_commit_applied(1), 0)
    member.handle(_commit_applied(2), 0)
    assert member.handle(_commit_applied(1), 0) == []
    member.handle(dissemination.VersionAdvanced(1), 0)
    assert member.version == 2


def test_a_peer_that_lags_behind_gets_the_missing_commits() -> None:
    """Guards against gaps and a wrong order in the response to a digest."""
    member = dissemination.Dissemination(
        ("10.0.0.1", 1), random_source=random.Random(1)
    )
    for version in range(1, 6):
        member.handle(_commit_applied(version), 0)
    digest = dissemination.DigestReceived(("10.0.0.2", 2), 2, False, ())
    pushed = [
        commit_lib.decode_commit(action.data).version
        for action in member.handle(digest, 0)
    ]
    assert pushed == [3, 4, 5]


def test_draining_targets_are_forwarded_until_they_expire() -> None:
    """Guards against names that are not forwarded or that never expire."""
    member = dissemination.Dissemination(
        ("10.0.0.1", 1), random_source=random.Random(1)
    )
    digest = dissemination.DigestReceived(("10.0.0.2", 2), 0, False, ("t-1",))
    member.handle(digest, 1_000)
    assert member.draining_names(2_000) == ("t-1",)
    assert member.draining_names(60_000) == ()
