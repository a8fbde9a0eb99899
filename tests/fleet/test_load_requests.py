"""When gateways send demand to sidecars, and which requests they wake."""

import random

import anyio
from radishd.process import clock
from radishd.process import load_requests as load_requests_lib
from radishd.process import notifier as notifier_lib
from radishstack.process import placement as placement_lib
from radishstack.process import roster as roster_lib


def _member(name: str) -> roster_lib.Member:
    listing = roster_lib.Listing(
        name, "llm", f"{name}:80", "north", False, slot_count=64
    )
    return roster_lib.Member(listing, roster_lib.Health())


class _Log:
    def write(self, event: str, **fields: object) -> None:
        del event, fields


async def _tell(member: roster_lib.Member) -> None:
    del member


def test_demand_is_sent_every_turn_without_status_updates() -> None:
    """Guards against a second without loads after a restart of all VMs.

    The first message of a gateway is lost if the sidecar has not started yet.
    Without demand, the next message was sent in the third turn; until then the
    sidecar knew neither the gateway nor the listed incarnation of its engine.
    """
    placement = placement_lib.Placement(random.Random(1), "north")
    load_requests = load_requests_lib.LoadRequests(placement, _Log(), _tell)
    member = _member("i1")
    turns = range(6)
    assert all(load_requests.is_due(member, turn) for turn in turns)
    view = placement_lib.View("i1", clock.boot_ms(), 0, 0, {}, frozenset())
    placement.handle_update(member.listing.address, view)
    sent = [turn for turn in turns if load_requests.is_due(member, turn)]
    assert sent == [0, 3], sent


def test_demand_is_sent_every_turn_to_an_engine_in_use() -> None:
    """Reported uses expire at the sidecar after two seconds."""
    placement = placement_lib.Placement(random.Random(1), "north")
    load_requests = load_requests_lib.LoadRequests(placement, _Log(), _tell)
    member = _member("i1")
    view = placement_lib.View("i1", clock.boot_ms(), 0, 0, {}, frozenset())
    placement.handle_update(member.listing.address, view)
    load_requests.began(member, "base/a1")
    assert all(load_requests.is_due(member, turn) for turn in range(6))


def test_only_requests_for_the_loaded_adapter_are_woken() -> None:
    """Guards against waking all waiting requests with each status update.

    Forty status updates a second change the known residency. Each woke all
    waiting requests, and each request evaluated every engine again, ten times
    per send. This cost two fifths of a gateway's CPU time.
    """
    notifier = notifier_lib.Notifier()
    woken: list[str] = []

    async def wait(adapter: str) -> None:
        await notifier.wait(adapter)
        woken.append(adapter)

    async def play() -> None:
        async with anyio.create_task_group() as tasks:
            for adapter in ("base/a1", "base/a1", "base/a2", "base/a3"):
                tasks.start_soon(wait, adapter)
            await anyio.wait_all_tasks_blocked()
            notifier.notify("base/a1")
            notifier.notify("base/a9")
            await anyio.wait_all_tasks_blocked()
            assert woken == ["base/a1", "base/a1"]
            notifier.notify_all()
            await anyio.wait_all_tasks_blocked()
            assert sorted(woken[2:]) == ["base/a2", "base/a3"]

    anyio.run(play)
