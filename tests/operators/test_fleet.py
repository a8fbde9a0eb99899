"""``radishctl fleet`` against a running fleet on loopback."""

import json

import anyio
from click import testing
from radishctl import cli
from radishstack.version import client_account
from radishstack.version import route_table
from radishstack.version import table_changes

from tests.fleet import fixtures


def _route(**changes: object) -> route_table.Route:
    fields = {
        "name": "chat",
        "host": "films.example",
        "path_prefix": "/chat/",
        "repeat": route_table.Repeat.ONCE,
        "streams": True,
        "resumable": False,
        "timeout_ms": 400,
        "objective_ms": 200,
        "gap_objective_ms": 600,
        "priority": 0,
        "max_targets": 1,
        "shares": (route_table.WeightedService("engines", 1.0),),
    }
    return route_table.Route(**(fields | changes))


def _table(version: int, *routes: route_table.Route) -> route_table.RouteTable:
    return route_table.make_table(
        version, list(routes), [], route_table.EMPTY.limits
    )


def test_a_change_is_described_by_name_field_and_both_values() -> None:
    """Operators see that a timeout was lowered, and its new value."""
    before = _table(1, _route(), _route(name="old"))
    after = _table(2, _route(timeout_ms=300), _route(name="new"))
    assert table_changes.describe(before, after) == (
        "route chat: timeout_ms 400 to 300",
        "route new added",
        "route old removed",
    )


def test_added_and_removed_keys_are_counted_by_account() -> None:
    """Guards against changes of keys that operators cannot see."""
    crew = client_account.ClientAccount("crew")

    def table(version: int, *keys: bytes) -> route_table.RouteTable:
        digests = [client_account.digest_of(key) for key in keys]
        directory, _ = client_account.make_directory([(crew, digests)])
        return route_table.make_table(
            version, [], [], route_table.EMPTY.limits, directory
        )

    changes = table_changes.describe(table(1, b"a", b"b"), table(2, b"a", b"c"))
    assert changes == ("account crew: keys 1 added, 1 removed",)


def test_the_stored_changes_of_a_version_are_bounded() -> None:
    """Guards against memory growth by megabytes when routes are bulk-added.

    One version adds two thousand routes. Gateways kept a line for each of them
    for the last thirty-two versions.
    """
    routes = [_route(name=f"r{number}") for number in range(2_000)]
    changes = table_changes.describe(_table(1), _table(2, *routes))
    assert len(changes) == table_changes.MAX_DETAILS + 1
    assert changes[-1] == "1900 further changes"


async def _radishctl(fleet: fixtures.Fleet, *words: str) -> testing.Result:
    platform = f"http://{fleet.subnet}.1:{fixtures.STORE_PORT}"
    return await anyio.to_thread.run_sync(
        lambda: testing.CliRunner().invoke(
            cli.main, ["--platform", platform, *words]
        )
    )


def test_operators_see_what_is_in_force_and_what_changed() -> None:
    """Status, configuration and history of one fleet after one change."""

    async def play() -> None:
        async with fixtures.running_fleet() as fleet:
            admin = fleet.gateway.settings.gateway.admin
            changed = fixtures.configuration()
            changed["version"] += 1
            changed["routes"][0]["timeoutMs"] += 1_000
            fleet.store.put("config", "main", changed)
            await fleet.until(
                lambda: fleet.gateway.table.version == changed["version"],
                "the change is in force",
            )
            history = await _radishctl(fleet, "fleet", "history", admin)
            assert history.exit_code == 0, history.output
            name = changed["routes"][0]["name"]
            assert f"route {name}: timeout_ms" in history.output
            shown = await _radishctl(fleet, "fleet", "config")
            assert f"version: {changed['version']}" in shown.output
            status = await _radishctl(
                fleet, "--output", "json", "fleet", "status", admin
            )
            assert status.exit_code == 0, status.output
            seen = json.loads(status.output)
            roles = sorted(one["role"] for one in seen["processes"])
            assert roles == ["gateway", "sidecar", "sidecar"], roles
            assert len(seen["targets"]) == 4
            table = await _radishctl(fleet, "fleet", "status", admin)
            assert table.exit_code == 0 and "behind" not in table.output

    fixtures.run(play)


def test_a_store_that_does_not_answer_has_its_own_exit_code() -> None:
    """Scripts can distinguish a store outage from a usage error."""
    run = testing.CliRunner().invoke(
        cli.main, ["--platform", "http://127.0.0.1:1", "fleet", "config"]
    )
    assert run.exit_code == 4, run.output


def test_one_bad_entry_hides_no_target_from_operators() -> None:
    """Guards against an invalid object that fails ``fleet`` commands.

    Another writer stores an object that cannot be decoded. ``fleet status``
    and ``fleet config`` failed at the first one, so that an operator could not
    find out who wrote it.
    """

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=1) as fleet:
            fleet.store.put("servers", "a-foreign", {"state": "resting"})
            admin = fleet.gateway.settings.gateway.admin
            shown = await _radishctl(fleet, "fleet", "status", admin)
            assert shown.exit_code == 0, shown.output
            assert "i-plain0" in shown.output
            assert "a-foreign" in shown.output
            assert (await _radishctl(fleet, "fleet", "config")).exit_code == 0

    fixtures.run(play)
