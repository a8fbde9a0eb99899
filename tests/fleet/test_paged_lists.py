"""Objects that change while a gateway reads a list in pages."""

from standins import platform_site

from proofs import listing
from proofs import runner
from tests.fleet import fixtures

VERSIONS = "versions"
TARGETS = "servers"
ADAPTERS = 7


def _announce(fleet: fixtures.Fleet, number: int, version: int) -> None:
    spec = {
        "model": platform_site.MODEL,
        "adapter": f"a{number}",
        "version": version,
    }
    name = f"{platform_site.MODEL}.a{number}"
    fleet.store.put(VERSIONS, name, spec)


def test_changes_between_pages_are_not_lost() -> None:
    """Guards against a change on a page that was read already."""
    for seed in (1, 2, 3):
        runner.run(listing.ListingMachine, seed=seed, examples=100, steps=60)
    assert listing.COUNTS["page"] > 100
    assert listing.COUNTS["compared"] > 100
    assert listing.COUNTS["fault expired"] > 20


def test_a_version_that_is_announced_between_pages_is_learned() -> None:
    """Guards against an adapter that stays at its old version for good."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=1, plain=0) as fleet:
            gateway, store = fleet.gateway, fleet.store
            for number in range(ADAPTERS):
                _announce(fleet, number, 1)
            follower = gateway.discovery.followers[VERSIONS]
            await fleet.until(
                lambda: follower.revision >= store.revision, "all are read"
            )
            store.page_size = 2

            def announce(kind: str) -> None:
                if kind == VERSIONS:
                    store.on_page = lambda kind: None
                    _announce(fleet, 0, 2)

            store.on_page = announce
            follower.restart()
            await fleet.until(
                lambda: follower.revision >= store.revision, "list is read"
            )
            name = f"{platform_site.MODEL}/a0"
            await fleet.until(
                lambda: gateway.placement.announced[name].version == 2,
                "the version is learned",
            )

    fixtures.run(play)


def test_a_target_that_changes_between_pages_is_known() -> None:
    """Guards against requests to a target that drains or has been removed."""

    async def play(removed: bool) -> None:
        async with fixtures.running_fleet(engines=0, plain=5) as fleet:
            gateway, store = fleet.gateway, fleet.store
            store.page_size = 2
            leaving, *remaining = sorted(store.objects[TARGETS])
            spec = store.objects[TARGETS][leaving]["spec"]

            def leave(kind: str) -> None:
                if kind != TARGETS:
                    return
                store.on_page = lambda kind: None
                if removed:
                    store.delete(TARGETS, leaving)
                else:
                    store.put(TARGETS, leaving, spec | {"state": "draining"})

            store.on_page = leave
            gateway.discovery.followers[TARGETS].restart()
            await fleet.until(
                lambda: fixtures.usable_plain(gateway) == set(remaining),
                "the target gets no more requests",
            )

    async def both() -> None:
        await play(removed=False)
        await play(removed=True)

    fixtures.run(both)
