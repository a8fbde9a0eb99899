"""Entries of the store that another writer made, or that cannot be read."""

import json
from typing import Any

import hypothesis
from hypothesis import strategies
from radishd.platform import wire
from radishd.process import clock
from radishstack.process import roster as roster_lib
from standins import platform_engine
from standins import platform_site

from tests.fleet import fixtures

TARGETS = "servers"
REQUIRED = (
    "service",
    "address",
    "zone",
    "version",
    "slots",
    "state",
    "coldRemainingMs",
    "sequence",
)
GOOD = platform_engine.PlatformEngine("i1", model="base7").listing(
    platform_site.ENGINES, "10.0.0.1:8080", "north"
)
# Of no field's type.
WRONG_VALUES = (None, True, -1, 1.5, "", "no such", [7], {"a": 1}, "a\r\nb: c")


def _target(spec: Any) -> Any:
    return wire.target("i1", spec, 1, 1)


def test_a_good_entry_names_a_target() -> None:
    """Whatever else it holds: writers may be newer."""
    assert isinstance(_target(GOOD), roster_lib.Listing)
    assert isinstance(_target(GOOD | {"x": [1]}), roster_lib.Listing)


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    field=strategies.sampled_from(sorted(GOOD)),
    value=strategies.sampled_from(WRONG_VALUES)
    | strategies.text(max_size=4)
    | strategies.lists(strategies.integers(), max_size=2),
)
def test_a_spoilt_entry_names_no_target(field: str, value: Any) -> None:
    """Requests are sent to a target whose state is not known.

    The state ``resting`` was taken for ready, and an address of null and a
    service of 7 were listed, since fields were read without a look at them.
    """
    spec = GOOD | {field: value}
    listing = _target(spec)
    same_type = type(value) is type(GOOD[field])
    if field == "coldRemainingMs":
        # A time may have a fraction.
        same_type |= isinstance(value, float)
    if not same_type:
        assert not isinstance(listing, roster_lib.Listing)
    elif field in ("address", "state", "service") and value != GOOD[field]:
        usable = isinstance(listing, roster_lib.Listing)
        assert not usable or (field == "service" and value.isprintable())


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    spec=strategies.none()
    | strategies.integers()
    | strategies.text()
    | strategies.lists(strategies.integers())
    | strategies.sampled_from(REQUIRED).map(
        lambda name: {k: v for k, v in GOOD.items() if k != name}
    )
)
def test_an_entry_without_its_fields_names_no_target(spec: Any) -> None:
    """A missing field was taken for an empty one."""
    assert not isinstance(_target(spec), roster_lib.Listing)


def _usable(fleet: fixtures.Fleet) -> set[str]:
    members = fleet.gateway.roster.usable(platform_site.PLAIN, clock.boot_ms())
    return {member.listing.instance for member in members}


async def _has_read_all(fleet: fixtures.Fleet) -> None:
    follower = fleet.gateway.discovery.followers[TARGETS]
    await fleet.until(
        lambda: (
            not follower.failing_since_ms
            and follower.revision >= fleet.store.revision
        ),
        "the gateway has read what the store holds",
    )


def _plain_spec(fleet: fixtures.Fleet, name: str) -> dict[str, Any]:
    spec = fleet.store.objects[TARGETS][name]["spec"]
    return json.loads(json.dumps(spec))


def test_a_target_whose_entry_is_spoilt_gets_no_more_work() -> None:
    """An entry that turns unreadable leaves in force what it said before."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=2) as fleet:
            for spoilt in ({"state": "resting"}, {"address": None}):
                spec = _plain_spec(fleet, "i-plain0")
                fleet.store.put(TARGETS, "i-plain0", spec | spoilt)
                await _has_read_all(fleet)
                assert _usable(fleet) == {"i-plain1"}
                fleet.store.put(TARGETS, "i-plain0", spec)
                await _has_read_all(fleet)
                assert _usable(fleet) == {"i-plain0", "i-plain1"}

    fixtures.run(play)


def test_an_unknown_service_takes_no_target_off_its_address() -> None:
    """A target gets no more work because of an entry that nobody can use.

    Another writer enters a service that no configuration names, at the
    address of a target. The target counted as gone, as its entry is older.
    Once a configuration names the service, the entry is used.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=1) as fleet:
            spec = _plain_spec(fleet, "i-plain0")
            fleet.store.put(TARGETS, "i-other", spec | {"service": "later"})
            await _has_read_all(fleet)
            assert _usable(fleet) == {"i-plain0"}
            assert "i-other" not in fleet.gateway.roster.members
            elsewhere = spec | {
                "service": "later",
                "address": f"{fleet.host()}:{fixtures.TARGET_PORT}",
            }
            fleet.store.put(TARGETS, "i-other", elsewhere)
            await _has_read_all(fleet)
            body = fixtures.configuration(version=2)
            body["services"].append({"name": "later", "maxConnections": 8})
            fleet.store.put("config", "main", body)
            await fleet.until(
                lambda: "i-other" in fleet.gateway.roster.members,
                "the entry is used",
            )

    fixtures.run(play)


def test_one_bad_object_does_not_hide_the_others() -> None:
    """A gateway reads the list of targets again and again, in vain.

    One object of many has no name, or holds bytes that are no text. The whole
    answer counted as unreadable, or the reader broke off and began anew.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=1) as fleet:
            gateway = fleet.gateway
            spec = _plain_spec(fleet, "i-plain0")
            restarts = gateway.metrics.broken.get_all()
            for kind in (TARGETS, "versions", "config"):
                fleet.store.put(kind, "a-nameless", {"x": 1})
                fleet.store.objects[kind]["a-nameless"]["metadata"] = None
                fleet.store.put(kind, "b-bytes", {"state": "\udcff\udcfe"})
                fleet.store.put(kind, "c-none", {})
                fleet.store.objects[kind]["c-none"]["spec"] = None
            other = f"{fleet.host()}:{fixtures.TARGET_PORT}"
            fleet.store.put(TARGETS, "i-plain9", spec | {"address": other})
            # Read by a watch, then by a list.
            await _has_read_all(fleet)
            assert _usable(fleet) == {"i-plain0", "i-plain9"}
            for follower in gateway.discovery.followers.values():
                follower.restart()
            fleet.store.put(TARGETS, "i-plain9", spec | {"address": other})
            await _has_read_all(fleet)
            assert _usable(fleet) == {"i-plain0", "i-plain9"}
            assert gateway.metrics.broken.get_all() == restarts
            answer = await fleet.call("/book/1")
            assert answer.status in (200, 502), answer

    fixtures.run(play)


def test_announced_versions_are_whole_numbers() -> None:
    """A version that is none was announced, or stopped the reader."""
    good = {"model": "base7", "adapter": "a1", "version": 2}
    assert wire.announced(good).version == 2
    for field in good:
        for value in (None, True, 1.5, [7], {"a": 1}, -1):
            if field == "adapter" and value is None:
                continue
            spoilt = wire.announced(good | {field: value})
            assert not hasattr(spoilt, "version"), (field, value)
    assert not hasattr(wire.announced(None), "version")
