"""Client accounts: admission by API key, and headers sent to targets."""

import json
import logging
from typing import Any

import anyio
from click import testing
from radishctl import cli
from radishd.connection import http_client
from radishd.platform import front
from radishd.platform import wire
from radishd.request import received_request
from radishstack import result
from radishstack.request import admission
from radishstack.request import fingerprint
from radishstack.version import client_account
from radishstack.version import route_table
from standins import platform_engine
from standins import platform_site

from tests.fleet import fixtures

KEY = "k3y-of-the-crew-9f1c"
OTHER_KEY = "k3y-of-the-lab-77aa"
BEARER = f"Bearer {KEY}"


def _configuration(version: int = 2, **fields: Any) -> dict[str, Any]:
    accounts = [
        platform_site.account("crew", KEY),
        platform_site.account("lab", OTHER_KEY),
    ]
    fields.setdefault("tenants", accounts)
    return platform_site.configuration(version, **fields)


async def _put(fleet: fixtures.Fleet, configuration: dict[str, Any]) -> None:
    fleet.store.put("config", "main", configuration)
    version = configuration["version"]
    await fleet.until(
        lambda: fleet.gateway.table.version == version,
        "the configuration is in force",
    )


def _seen(fleet: fixtures.Fleet) -> list[platform_engine.ReceivedRequest]:
    return [one for target in fleet.targets.values() for one in target.seen]


def _decode(*headers: tuple[bytes, bytes]) -> received_request.ReceivedRequest:
    scope = {
        "headers": [(b"x-attempt-id", b"a1"), *headers],
        "method": "POST",
        "radishstack.target": b"/chat/x",
        "path": "/chat/x",
    }
    request = front.decode(scope)
    assert isinstance(request, received_request.ReceivedRequest)
    return request


def test_targets_get_the_account_name_and_no_key() -> None:
    """Guards against keys sent to targets and accounts set by callers."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=1, plain=1) as fleet:
            await _put(fleet, _configuration())
            forged = {"X_TENANT": "lab", "Connection": "x-tenant"}
            for path, adapter in (("/chat/x", "a1"), ("/look/1", "")):
                answer = await fleet.call(
                    path, adapter=adapter, Authorization=BEARER, **forged
                )
                assert answer.status == 200, answer
            for seen in _seen(fleet):
                assert seen.headers["x-tenant"] == "crew"
                assert "authorization" not in seen.headers
                assert KEY not in str(seen)

    fixtures.run(play)


def test_only_one_well_formed_key_counts() -> None:
    """Guards against admission by a repeated, folded or partial header."""
    digest = client_account.digest_of(KEY.encode())
    name = b"authorization"
    for value in (BEARER, f"bearer  {KEY}", f" BEARER {KEY} "):
        assert _decode((name, value.encode())).key_digest == digest
    for value in ("", "Bearer", KEY, f"Basic {KEY}", f"Bearer {KEY} x"):
        decoded = _decode((name, value.encode()))
        assert decoded.key_digest == client_account.NO_KEY, value
    twice = _decode((name, BEARER.encode()), (name, BEARER.encode()))
    assert twice.key_digest == client_account.NO_KEY
    assert not any(pair[0] == name for pair in twice.headers)


def test_without_a_known_key_a_request_is_rejected_unread() -> None:
    """Guards against reading a large body before the rejection."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=1) as fleet:
            await _put(fleet, _configuration())
            assert (await fleet.call("/look/1")).status == 401
            for authorization in ("Bearer none", f"Basic {KEY}", "Bearer"):
                answer = await fleet.call(
                    "/look/1", Authorization=authorization
                )
                assert answer.status == 401, authorization
                assert answer.headers["www-authenticate"] == "Bearer"
                error = json.loads(answer.body)["error"]
                assert error["executed"] == "no"
            connection = await http_client.open_connection(
                fleet.gateway.own.listen, 2_000
            )
            assert isinstance(connection, http_client.Connection)
            head = platform_site.request("POST", "/book/1", "a1", body=b"x" * 9)
            connection.send(head[:-9])
            answer = await fixtures.read_answer(connection)
            assert answer.status == 401, answer
            connection.close()
            assert not _seen(fleet)

    fixtures.run(play)


def test_a_trailer_is_no_header() -> None:
    """Guards against credentials smuggled in a trailer after the body."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=1) as fleet:
            await _put(fleet, _configuration())
            connection = await http_client.open_connection(
                fleet.gateway.own.listen, 2_000
            )
            assert isinstance(connection, http_client.Connection)
            connection.send(
                b"POST /book/1 HTTP/1.1\r\nHost: shop.example\r\n"
                b"X-Attempt-Id: a1\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"1\r\nx\r\n0\r\n"
                b"Authorization: " + BEARER.encode() + b"\r\n"
                b"X-Tenant: lab\r\n\r\n"
            )
            answer = await fixtures.read_answer(connection)
            connection.close()
            assert answer.status == 401, answer
            assert not _seen(fleet)

    fixtures.run(play)


def test_a_public_route_needs_no_key_and_passes_none_on() -> None:
    """Guards against a key that reaches a target over a public route."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=1) as fleet:
            routes = [
                platform_site.route(
                    "look",
                    "idempotent",
                    service=platform_site.PLAIN,
                    public=True,
                )
            ]
            await _put(fleet, _configuration(routes=routes))
            for headers in ({}, {"Authorization": "Bearer none"}):
                answer = await fleet.call("/look/1", X_Tenant="lab", **headers)
                assert answer.status == 200
            for seen in _seen(fleet):
                assert not {"authorization", "x-tenant"} & seen.headers.keys()

    fixtures.run(play)


def test_removed_and_added_keys_are_in_force() -> None:
    """Guards against admission by a removed key or rejection of a new one."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=1) as fleet:
            await _put(fleet, _configuration())
            swapped = [platform_site.account("crew", "k3y-next")]
            await _put(fleet, _configuration(3, tenants=swapped))
            old = await fleet.call("/look/1", Authorization=BEARER)
            new = await fleet.call("/look/1", Authorization="Bearer k3y-next")
            assert (old.status, new.status) == (401, 200)

    fixtures.run(play)


def test_a_request_whose_key_goes_while_it_waits_is_not_sent() -> None:
    """Guards against a run on a key that was removed before the send."""

    async def play() -> None:
        timing = platform_engine.Timing(load_ms=1_000.0)
        async with fixtures.running_fleet(engines=1, timing=timing) as fleet:
            await _put(fleet, _configuration())
            answers = []

            async def call() -> None:
                answers.append(
                    await fleet.call(
                        "/chat/x", adapter="cold", Authorization=BEARER
                    )
                )

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(call)
                engine = fleet.targets["i-engine0"]
                await fleet.until(
                    lambda: bool(engine.in_transit), "the adapter is loaded"
                )
                lab = [platform_site.account("lab", OTHER_KEY)]
                await _put(fleet, _configuration(3, tenants=lab))
            error = json.loads(answers[0].body)["error"]
            assert error["code"] == result.CREDENTIALS_UNKNOWN.number
            assert error["executed"] == "no"
            assert not engine.ran

    fixtures.run(play)


def test_a_key_that_moves_to_another_account_is_not_sent_for_the_first() -> (
    None
):
    """Guards against a waiting request sent for the key's former account."""
    table = wire.configuration(wire.without_secrets(_configuration()))
    head = admission.Head(
        "shop.example", "/chat/x", client_account.digest_of(KEY.encode())
    )
    admitted = admission.admit(table, head, retry_after_ms=1)
    assert admitted.account_name == "crew"
    assert admission.readmit(table, admitted, head.key_digest) is None
    moved = wire.configuration(
        wire.without_secrets(
            _configuration(3, tenants=[platform_site.account("lab", KEY)])
        )
    )
    failure = admission.readmit(moved, admitted, head.key_digest)
    assert failure.code is result.CREDENTIALS_UNKNOWN


def test_no_configuration_admits_nobody() -> None:
    """Guards against a new process that serves before it has the keys."""
    head = admission.Head("shop.example", "/chat/x", client_account.NO_KEY)
    failure = admission.admit(route_table.EMPTY, head, retry_after_ms=300)
    assert failure.code is result.NOT_READY and failure.retry_after_ms == 300


def test_bad_accounts_admit_nobody_and_hide_nothing() -> None:
    """Guards against an invalid entry that rejects or admits other keys."""
    accounts = [
        platform_site.account("crew", KEY, "", "\ud800"),
        platform_site.account("twice", "shared", "own"),
        platform_site.account("thrice", "shared"),
        platform_site.account("negative", "k3y-negative", ratePerS=-1.0),
        platform_site.account("unit", "k3y-unit", ratePerS=1.0, unit="parsec"),
        {"name": "keyless"},
        {"name": "forged", "keyDigests": [fingerprint.SIZE_BYTES * "00"]},
        "nonsense",
    ]
    lines: list[str] = []

    class Handler(logging.Handler):
        def emit(self, record: logging.LogRecord) -> None:
            lines.append(str(vars(record)))

    handler = Handler()
    logger = logging.getLogger("radishstack")
    logger.addHandler(handler)
    try:
        spec = wire.without_secrets(_configuration(tenants=accounts))
        table = wire.configuration(spec)
    finally:
        logger.removeHandler(handler)
    assert isinstance(table, route_table.RouteTable), table
    admitted = {
        key
        for key in (KEY, "", "shared", "own", "k3y-negative", "k3y-unit")
        if table.accounts.find(client_account.digest_of(key.encode()))
    }
    assert admitted == {KEY, "own"}
    assert len(lines) == 1 and "k3y" not in lines[0], lines


def test_an_account_ranks_before_its_route() -> None:
    """Guards against ignoring the priority of an account."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=1, plain=0) as fleet:
            accounts = [
                platform_site.account("crew", KEY, priority=3),
                platform_site.account("lab", OTHER_KEY),
            ]
            await _put(fleet, _configuration(tenants=accounts))
            for key in (KEY, OTHER_KEY):
                await fleet.call(
                    "/chat/x", adapter="a1", Authorization=f"Bearer {key}"
                )
            ranks = [one.headers["x-request-priority"] for one in _seen(fleet)]
            assert ranks == ["4", "1"]

    fixtures.run(play)


def test_fingerprints_differ_between_accounts() -> None:
    """Guards against a quarantine that spreads to another account."""
    request = ("POST", "shop.example", b"/chat/x", b"body")
    crew = fingerprint.of_request(*request, "crew")
    assert crew != fingerprint.of_request(*request, "lab")
    assert crew != fingerprint.of_request(*request)


def test_keys_never_leak() -> None:
    """Guards against keys in status, metrics, logs, peers and commands."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=1) as fleet:
            written: list[bytes] = []
            fleet.gateway.log._enqueue = written.append
            await _put(fleet, _configuration())
            await fleet.call("/look/1", Authorization=BEARER)
            await fleet.call("/look/1", Authorization=f"Bearer {KEY} {KEY}")
            gateway = fleet.gateway
            own = gateway.settings.gateway
            outputs = [
                b"".join(written).decode(),
                json.dumps(gateway.discovery.export_objects()),
                json.dumps(gateway.status(), default=str),
                str(gateway.table),
                str(_decode((b"authorization", BEARER.encode()))),
                *(
                    str(one.get_all())
                    for one in gateway.metrics.registry.get_all()
                ),
            ]
            platform = f"http://{fleet.subnet}.1:{fixtures.STORE_PORT}"
            for words in (
                ("fleet", "config"),
                ("fleet", "status", own.admin),
                ("fleet", "history", own.admin),
                ("fleet", "accounts", own.admin),
            ):
                shown = await anyio.to_thread.run_sync(
                    lambda words=words: testing.CliRunner().invoke(
                        cli.main, ["--platform", platform, *words]
                    )
                )
                assert shown.exit_code == 0, shown.output
                outputs.append(shown.output)
            assert "crew" in outputs[-4] and "crew" in outputs[-1]
            for text in outputs:
                assert KEY not in text and OTHER_KEY not in text

    fixtures.run(play)


def test_a_gateway_that_starts_in_an_outage_admits_by_its_peers() -> None:
    """Guards against a new gateway that gets no keys during an outage."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=1) as fleet:
            await _put(fleet, _configuration())
            faults = await fleet.add_store_address()
            faults.refuses = True
            late = await fleet.add_gateway(
                seeds=(fleet.gateway.own.peers,),
                store_host=fleet.second_store_host,
            )
            await fleet.until(lambda: not late.ready(), "it is told by a peer")
            good = await fleet.call(
                "/look/1", gateway=late, Authorization=BEARER
            )
            bad = await fleet.call("/look/1", gateway=late)
            assert (good.status, bad.status) == (200, 401)

    fixtures.run(play)
