"""Store entries that are unreadable or were written by other software."""

import json
from typing import Any

import hypothesis
from hypothesis import strategies
from radishd.connection import http_client
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
# Values that are invalid for every field, or for most of them.
WRONG_VALUES = (None, True, -1, 1.5, "", "no such", [7], {"a": 1}, "a\r\nb: c")


def _target(spec: Any) -> Any:
    return wire.target("i1", spec, 1, 1)


def test_a_valid_entry_is_decoded() -> None:
    """Guards against rejecting unknown fields, which newer writers may add."""
    assert isinstance(_target(GOOD), roster_lib.Listing)
    assert isinstance(_target(GOOD | {"x": [1]}), roster_lib.Listing)


def test_an_address_that_cannot_be_connected_to_is_rejected() -> None:
    """Guards against a port whose connect fails with an unexpected error.

    Its requests failed at once, so that the target looked like the fastest.
    """
    for port in (
        "99999",
        "65536",
        "0",
        "-1",
        "1e3",
        "\u0668\u0660",
        "",
        "080808",
    ):
        listing = _target(GOOD | {"address": f"10.0.0.1:{port}"})
        assert not isinstance(listing, roster_lib.Listing), port
    for host in ("256.0.0.1", "10.0.0", "::1", "name"):
        listing = _target(GOOD | {"address": f"{host}:8080"})
        assert not isinstance(listing, roster_lib.Listing), host
    highest = _target(GOOD | {"address": "10.0.0.1:65535"})
    assert isinstance(highest, roster_lib.Listing)


def test_an_impossible_port_counts_as_unreachable() -> None:
    """Guards against an error at a connect that is no ``OSError``."""

    async def play() -> None:
        for address in ("127.0.0.1:99999", "127.0.0.1:x"):
            lost = await http_client.open_connection(address, 100)
            assert isinstance(lost, http_client.Lost), lost

    fixtures.run(play)


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    field=strategies.sampled_from(sorted(GOOD)),
    value=strategies.sampled_from(WRONG_VALUES)
    | strategies.text(max_size=4)
    | strategies.lists(strategies.integers(), max_size=2),
)
def test_an_invalid_entry_is_rejected(field: str, value: Any) -> None:
    """Guards against requests to a target whose state is unknown.

    Fields were not validated: the state ``resting`` counted as ready, and an
    address of null and a service of 7 were listed.
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
def test_an_entry_without_a_required_field_is_rejected(spec: Any) -> None:
    """Guards against treating a missing field as an empty one."""
    assert not isinstance(_target(spec), roster_lib.Listing)


def _usable(fleet: fixtures.Fleet) -> set[str]:
    members = fleet.gateway.roster.usable(platform_site.PLAIN, clock.boot_ms())
    return {member.listing.instance for member in members}


async def _until_all_is_read(fleet: fixtures.Fleet) -> None:
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


def test_a_target_whose_entry_becomes_invalid_gets_no_requests() -> None:
    """Guards against using the previous state of an entry that is invalid."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=2) as fleet:
            for invalid in ({"state": "resting"}, {"address": None}):
                spec = _plain_spec(fleet, "i-plain0")
                fleet.store.put(TARGETS, "i-plain0", spec | invalid)
                await _until_all_is_read(fleet)
                assert _usable(fleet) == {"i-plain1"}
                fleet.store.put(TARGETS, "i-plain0", spec)
                await _until_all_is_read(fleet)
                assert _usable(fleet) == {"i-plain0", "i-plain1"}

    fixtures.run(play)


def test_an_entry_of_an_unknown_service_does_not_replace_a_target() -> None:
    """Guards against dropping a target because of an unusable entry.

    Another writer adds an entry at the address of a target, for a service that
    is not configured. The target counted as gone, because its entry is older.
    The new entry is used once the service is configured.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=1) as fleet:
            spec = _plain_spec(fleet, "i-plain0")
            fleet.store.put(TARGETS, "i-other", spec | {"service": "later"})
            await _until_all_is_read(fleet)
            assert _usable(fleet) == {"i-plain0"}
            assert "i-other" not in fleet.gateway.roster.members
            elsewhere = spec | {
                "service": "later",
                "address": f"{fleet.host()}:{fixtures.TARGET_PORT}",
            }
            fleet.store.put(TARGETS, "i-other", elsewhere)
            await _until_all_is_read(fleet)
            body = fixtures.configuration(version=2)
            body["services"].append({"name": "later", "maxConnections": 8})
            fleet.store.put("config", "main", body)
            await fleet.until(
                lambda: "i-other" in fleet.gateway.roster.members,
                "the entry is used",
            )

    fixtures.run(play)


def test_one_invalid_object_does_not_hide_the_others() -> None:
    """Guards against a gateway that can never read the list of targets.

    One object of many has no name or contains bytes that are not valid text.
    The whole response counted as unreadable, or the reader failed and restarted
    indefinitely.
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
            # Checks the watch, then the list.
            await _until_all_is_read(fleet)
            assert _usable(fleet) == {"i-plain0", "i-plain9"}
            for follower in gateway.discovery.followers.values():
                follower.restart()
            fleet.store.put(TARGETS, "i-plain9", spec | {"address": other})
            await _until_all_is_read(fleet)
            assert _usable(fleet) == {"i-plain0", "i-plain9"}
            assert gateway.metrics.broken.get_all() == restarts
            answer = await fleet.call("/book/1")
            assert answer.status in (200, 502), answer

    fixtures.run(play)


def test_announced_versions_are_integers() -> None:
    """Guards against invalid versions that are announced or stop the reader."""
    good = {"model": "base7", "adapter": "a1", "version": 2}
    assert wire.announced(good).version == 2
    for field in good:
        for value in (None, True, 1.5, [7], {"a": 1}, -1):
            if field == "adapter" and value is None:
                continue
            invalid = wire.announced(good | {field: value})
            assert not hasattr(invalid, "version"), (field, value)
    assert not hasattr(wire.announced(None), "version")
