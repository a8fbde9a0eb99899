"""``radishctl fleet``: inspects a deployment on the users' platform.

Operators write the configuration to the platform's store themselves. These
commands only read: they show the configuration in force, its changes and
processes with an outdated version.
"""

import collections
from collections.abc import Iterable
import dataclasses
import json
from typing import Any

import anyio
import click
from radishd.platform import store as store_lib
from radishd.platform import wire
from radishd.process import metrics as metrics_lib
from radishd.process import settings as settings_lib
from radishstack import result
from radishstack.process import roster as roster_lib
from radishstack.version import route_table
import yaml

from radishctl import output as output_lib
from radishctl import processes
from radishctl import session as session_lib


@click.group()
def fleet() -> None:
    """A deployment on the users' platform: gateways and sidecars."""


@dataclasses.dataclass(frozen=True, slots=True)
class _StoredDeployment:
    """Route table and targets of a deployment, read from the store."""

    table: route_table.RouteTable
    targets: tuple[roster_lib.Listing, ...]


async def _read_store(url: str) -> result.Outcome[_StoredDeployment]:
    store = store_lib.Store(
        url.removeprefix("http://"), metrics_lib.Metrics(name="radishctl")
    )
    configured = await store.list(wire.KIND_CONFIGURATION)
    if isinstance(configured, result.Failure):
        return configured
    listed = await store.list(wire.KIND_TARGETS)
    if isinstance(listed, result.Failure):
        return listed
    table: result.Outcome[route_table.RouteTable] = route_table.EMPTY
    for record in configured.records:
        if record.name == wire.CONFIGURATION_NAME:
            table = wire.configuration(record.spec)
    if isinstance(table, result.Failure):
        return table
    targets = []
    for record in listed.records:
        target = wire.target(
            record.name, record.spec, record.created, record.revision
        )
        if isinstance(target, result.Failure):
            # If the command failed here, an operator could not find out who
            # wrote the invalid object.
            click.echo(f"passed over: {target.message}", err=True)
            continue
        targets.append(target)
    return _StoredDeployment(table, tuple(targets))


def _load_deployment(session: session_lib.Session) -> _StoredDeployment:
    deployment = anyio.run(_read_store, session.platform.url)
    if isinstance(deployment, result.Failure):
        session_lib.fail(deployment)
    return deployment


@fleet.command("config")
@click.pass_obj
def config(session: session_lib.Session) -> None:
    """Prints the configuration that the operator wrote last."""
    table = _load_deployment(session).table
    plain = json.loads(json.dumps(route_table.report(table)))
    if session.output is output_lib.Format.JSON:
        click.echo(json.dumps(plain, indent=2))
    else:
        click.echo(yaml.safe_dump(plain, sort_keys=False).rstrip())


@fleet.command("history")
@click.argument("admin")
@click.pass_obj
def history(session: session_lib.Session, admin: str) -> None:
    """Shows what the last versions changed, newest first.

    ADMIN is the admin address of a gateway, which keeps the differences of
    the versions that came into force there.
    """
    (report,) = anyio.run(processes.collect, (admin,))
    changes = list(reversed(report.get("changes", [])))
    if not changes:
        click.echo(f"{admin}: {report.get('ready', 'no changes')}", err=True)
    output_lib.show(
        session.output,
        changes,
        ("from", "to", "at", "change"),
        (
            (
                one["before"],
                one["version"],
                processes.format_time(one["at_ms"]),
                detail,
            )
            for one in changes
            for detail in one["details"] or ("first version here",)
        ),
    )


@fleet.command("accounts")
@click.argument("admin")
@click.pass_obj
def accounts(session: session_lib.Session, admin: str) -> None:
    """Shows client accounts, their caps and what they use, without keys.

    ADMIN is the admin address of one gateway; the others are found from what
    it knows. Use is what all gateways sent in the last window.
    """
    deployment = _load_deployment(session)
    directory = deployment.table.accounts
    if directory is None:
        click.echo("requests need no API key")
        return
    reports = anyio.run(_ask_all, admin, deployment)
    used: collections.Counter[str] = collections.Counter()
    for report in reports:
        for name, usage in report.get("accounts", {}).items():
            used[name] += round(usage["sent"])
    by_use = sorted(
        directory.accounts.values(), key=lambda one: -used[one.name]
    )
    rows = [
        {
            "account": account.name,
            "keys": account.key_count,
            "priority": account.priority,
            "cap": None if account.cap is None else str(account.cap),
            "used": used[account.name],
        }
        for account in by_use
    ]
    headings = ("account", "keys", "priority", "cap", "used")
    cells = ([row[name] for name in headings] for row in rows)
    output_lib.show(session.output, rows, headings, cells)


@fleet.command("status")
@click.argument("admin")
@click.pass_obj
def status(session: session_lib.Session, admin: str) -> None:
    """Shows all gateways, sidecars and targets.

    ADMIN is the admin address of one gateway; the others are found from what
    it knows. A gateway behind the store's version is marked.
    """
    deployment = _load_deployment(session)
    reports = anyio.run(_ask_all, admin, deployment)
    residents = {
        one["instance"]: one.get("residents", {})
        for one in reports
        if one.get("instance")
    }
    newest = deployment.table.version
    targets = sorted(
        deployment.targets, key=lambda one: (one.service, one.address)
    )
    if session.output is output_lib.Format.JSON:
        click.echo(
            json.dumps(
                {
                    "config_version": newest,
                    "processes": reports,
                    "targets": [dataclasses.asdict(one) for one in targets],
                },
                indent=2,
            )
        )
        return
    click.echo(f"configuration {newest} in the store")
    output_lib.show(
        session.output,
        None,
        processes.HEADINGS,
        (processes.row(one, newest) for one in reports),
    )
    click.echo()
    output_lib.show(
        session.output,
        None,
        ("target", "service", "address", "domain", "state", "holds"),
        (_target_row(one, residents) for one in targets),
    )


async def _ask_all(
    admin: str, deployment: _StoredDeployment
) -> list[dict[str, Any]]:
    (first,) = await processes.collect((admin,))
    _, port = settings_lib.split_address(admin)
    addresses: Iterable[str] = (
        *first.get("peers", ()),
        *(
            one.address
            for one in deployment.targets
            if (spec := deployment.table.services.get(one.service)) is not None
            and spec.adapter_limit
        ),
    )
    hosts = {settings_lib.split_address(one)[0] for one in addresses}
    hosts.discard(settings_lib.split_address(admin)[0])
    others = await processes.collect(
        tuple(f"{host}:{port}" for host in sorted(hosts))
    )
    return [first, *others]


def _target_row(
    target: roster_lib.Listing, residents: dict[str, dict[str, int]]
) -> tuple[object, ...]:
    held = residents.get(target.instance, target.residents)
    return (
        target.instance,
        target.service,
        target.address,
        target.failure_domain,
        "leaving" if target.leaving else "ready",
        " ".join(f"{name}@{version}" for name, version in sorted(held.items()))
        or "-",
    )
