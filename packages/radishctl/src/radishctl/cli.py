"""``radishctl``: the operators' command line."""

import dataclasses
import json
import pathlib
import sys
from typing import Any
from typing import TextIO

import anyio
import click
from radishd.process import exits
from radishd.process import settings as settings_lib
from radishd.process import store as store_lib
from radishstack import result
from radishstack.version import checks
from radishstack.version import commit as commit_lib
from radishstack.version import document as document_lib
from radishstack.version import operation as operation_lib
import yaml

from radishctl import explain as explain_lib
from radishctl import fleet as fleet_lib
from radishctl import output as output_lib
from radishctl import processes
from radishctl import session as session_lib

DEFAULT_PLATFORM = "http://127.0.0.1:8081"

_FILE = click.Path(path_type=pathlib.Path, dir_okay=False, exists=True)
_reason = click.option("--reason", default="", help="Why, for the audit trail.")


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="radishctl")
@click.option(
    "--platform",
    envvar="RADISHSTACK_PLATFORM",
    default=DEFAULT_PLATFORM,
    show_default=True,
    help="URL of the platform's object API.",
)
@click.option(
    "--operator",
    envvar="RADISHSTACK_OPERATOR",
    default=session_lib.default_operator,
    help="Who acts, for the audit trail; by default the login name.",
)
@click.option(
    "--output",
    type=click.Choice([one.value for one in output_lib.Format]),
    default=output_lib.Format.TABLE.value,
    show_default=True,
)
@click.pass_context
def main(
    context: click.Context, platform: str, operator: str, output: str
) -> None:
    """Changes and shows the configuration of a radishstack deployment.

    Exit codes: 0 done, 1 failed, 2 usage, 3 settings invalid, 4 store
    unavailable, 5 conflict, 6 document invalid, 7 outcome uncertain.
    """
    context.obj = session_lib.Session(
        platform=settings_lib.PlatformSettings(url=platform),
        operator=operator,
        output=output_lib.Format(output),
    )


main.add_command(fleet_lib.fleet)


@main.group()
def config() -> None:
    """The whole document."""


def _read_document(path: pathlib.Path) -> document_lib.Document:
    try:
        raw: Any = yaml.safe_load(path.read_text(encoding="utf-8"))
    except yaml.YAMLError as error:
        click.echo(f"{path}: {error}", err=True)
        sys.exit(exits.DOCUMENT_INVALID)
    document = document_lib.parse(raw)
    if isinstance(document, tuple):
        for problem in document:
            click.echo(str(problem), err=True)
        sys.exit(exits.DOCUMENT_INVALID)
    return document


@config.command()
@click.argument("path", type=_FILE)
def validate(path: pathlib.Path) -> None:
    """Checks a document file without the platform."""
    document = _read_document(path)
    counts = ", ".join(
        f"{len(getattr(document, kind))} {kind}" for kind in document_lib.KINDS
    )
    click.echo(f"{path}: ok, {counts}")


@config.command()
def schema() -> None:
    """Prints the JSON Schema of the document."""
    click.echo(json.dumps(document_lib.json_schema(), indent=2))


def _describe(operation: operation_lib.Operation) -> tuple[str, str, str]:
    paths = [
        ".".join(part for part in key if part != operation_lib.WHOLE_ENTITY)
        for key in operation_lib.writes(operation)
    ]
    value = getattr(operation, "value", getattr(operation, "source", ""))
    return operation.op, ", ".join(paths), checks.shorten(value)


@config.command()
@click.argument("path", type=_FILE)
@click.pass_obj
def diff(session: session_lib.Session, path: pathlib.Path) -> None:
    """Shows what applying a document file would change."""
    wanted, held = _read_document(path), session.held()
    operations = operation_lib.diff(held.document, wanted)
    output_lib.show(
        session.output,
        [dataclasses.asdict(one) for one in operations],
        ("operation", "path", "value"),
        map(_describe, operations),
    )


@config.command()
@click.argument("path", type=_FILE)
@_reason
@click.option(
    "--base",
    type=int,
    default=None,
    help="Version the file was made from; by default the one in force.",
)
@click.pass_obj
def apply(
    session: session_lib.Session,
    path: pathlib.Path,
    reason: str,
    base: int | None,
) -> None:
    """Makes the deployment what a document file says."""
    wanted, held = _read_document(path), session.held()
    if base is not None and base != held.version:
        session_lib.fail(
            result.Failure(
                result.CHANGE_CONFLICT,
                f"the file was made from version {base}, version "
                f"{held.version} is in force; look at the diff",
            )
        )
    operations = operation_lib.diff(held.document, wanted)
    session.propose(operations, base=held, reason=reason)


@config.command()
@click.pass_obj
def show(session: session_lib.Session) -> None:
    """Prints the document in force, as YAML or JSON."""
    held = session.held()
    plain = document_lib.to_plain(held.document)
    plain.pop("placements", None)
    if session.output is output_lib.Format.JSON:
        click.echo(json.dumps({"version": held.version, **plain}, indent=2))
    else:
        click.echo(f"# version {held.version}")
        click.echo(yaml.safe_dump(plain, sort_keys=False).rstrip())


def _read_chain(
    session: session_lib.Session, limit: int
) -> tuple[commit_lib.Commit, ...]:
    async def read(
        store: store_lib.Store,
    ) -> result.Outcome[tuple[commit_lib.Commit, ...]]:
        root = await store_lib.read_root(store)
        if isinstance(root, result.Failure):
            return root
        return await store_lib.read_chain(
            store, root[1].write_id, after=0, limit=limit
        )

    return session.call(read)


@config.command()
@click.option("--limit", default=20, show_default=True)
@click.pass_obj
def history(session: session_lib.Session, limit: int) -> None:
    """Lists the accepted versions, newest first."""
    commits = tuple(reversed(_read_chain(session, limit)))
    output_lib.show(
        session.output,
        [
            {"version": one.version, "write_id": one.write_id}
            | dataclasses.asdict(one.audit)
            for one in commits
        ],
        ("version", "at", "operator", "operations", "reason"),
        (
            (
                one.version,
                processes.format_time(one.audit.at_ms),
                one.audit.operator,
                len(one.operations),
                one.audit.reason,
            )
            for one in commits
        ),
    )


@main.command()
@click.option("--limit", default=20, show_default=True)
@click.pass_obj
def audit(session: session_lib.Session, limit: int) -> None:
    """Shows who changed what, when, on which version and why."""
    commits = tuple(reversed(_read_chain(session, limit)))
    output_lib.show(
        session.output,
        [
            {
                "version": one.version,
                "write_id": one.write_id,
                "operations": [dataclasses.asdict(op) for op in one.operations],
            }
            | dataclasses.asdict(one.audit)
            for one in commits
        ],
        ("from", "to", "at", "operator", "operation", "path", "value", "why"),
        (
            (
                one.audit.base_version,
                one.version,
                processes.format_time(one.audit.at_ms),
                one.audit.operator,
                *_describe(operation),
                one.audit.reason,
            )
            for one in commits
            for operation in one.operations
        ),
    )


@main.group()
def adapter() -> None:
    """Adapters and their versions."""


@adapter.command("list")
@click.option("--service", default="", help="Only those of one service.")
@click.pass_obj
def list_adapters(session: session_lib.Session, service: str) -> None:
    """Lists the adapters."""
    adapters = [
        one
        for one in session.held().document.adapters.values()
        if not service or one.service == service
    ]
    output_lib.show(
        session.output,
        [operation_lib.entity_to_plain(one) for one in adapters],
        ("name", "service", "base model", "current", "versions"),
        (
            (
                one.name,
                one.service,
                one.base_model,
                one.current,
                " ".join(str(entry.version) for entry in one.versions),
            )
            for one in sorted(adapters, key=lambda one: one.name)
        ),
    )


@adapter.command("add")
@click.argument("name")
@click.option("--service", required=True)
@click.option("--base-model", required=True)
@click.option("--source", required=True, help="Weights of version 1.")
@_reason
@click.pass_obj
def add_adapter(
    session: session_lib.Session,
    name: str,
    source: str,
    reason: str,
    **rest: str,
) -> None:
    """Adds an adapter with its version 1."""
    value = {
        "name": name,
        **rest,
        "versions": [{"version": 1, "source": source}],
        "current": 1,
    }
    _put(session, "adapters", name, value, reason)


def _put(
    session: session_lib.Session,
    kind: str,
    name: str,
    value: dict[str, Any],
    reason: str,
) -> None:
    operation = operation_lib.PutEntity(kind=kind, name=name, value=value)
    session.propose((operation,), base=session.held(), reason=reason)


@adapter.command("add-version")
@click.argument("name")
@click.argument("version", type=int)
@click.option("--source", required=True)
@_reason
@click.pass_obj
def add_version(
    session: session_lib.Session,
    name: str,
    version: int,
    source: str,
    reason: str,
) -> None:
    """Adds a version without making it current."""
    operation = operation_lib.AddVersion(
        name=name, version=version, source=source
    )
    session.propose((operation,), base=session.held(), reason=reason)


@adapter.command("set-current")
@click.argument("name")
@click.argument("version", type=int)
@_reason
@click.pass_obj
def set_current(
    session: session_lib.Session, name: str, version: int, reason: str
) -> None:
    """Makes a version the one that requests without a version get."""
    _set(session, "adapters", name, "current", version, reason)


def _set(
    session: session_lib.Session,
    kind: str,
    name: str,
    field: str,
    value: Any,
    reason: str,
) -> None:
    operation = operation_lib.SetField(
        kind=kind, name=name, field=field, value=value
    )
    session.propose((operation,), base=session.held(), reason=reason)


def _add_entity_commands(group: click.Group, kind: str, noun: str) -> None:
    @group.command("put", help=f"Creates or replaces a {noun} from YAML.")
    @click.argument("path", type=_FILE)
    @_reason
    @click.pass_obj
    def put(
        session: session_lib.Session, path: pathlib.Path, reason: str
    ) -> None:
        value = yaml.safe_load(path.read_text(encoding="utf-8"))
        if not isinstance(value, dict) or "name" not in value:
            click.echo(f"{path}: write a mapping with a name", err=True)
            sys.exit(exits.DOCUMENT_INVALID)
        _put(session, kind, value["name"], value, reason)

    @group.command("set", help=f"Sets one field of a {noun}, value as YAML.")
    @click.argument("name")
    @click.argument("field")
    @click.argument("value")
    @_reason
    @click.pass_obj
    def set_field(
        session: session_lib.Session,
        name: str,
        field: str,
        value: str,
        reason: str,
    ) -> None:
        _set(session, kind, name, field, yaml.safe_load(value), reason)

    @group.command("remove", help=f"Removes a {noun}.")
    @click.argument("name")
    @_reason
    @click.pass_obj
    def remove(session: session_lib.Session, name: str, reason: str) -> None:
        operation = operation_lib.RemoveEntity(kind=kind, name=name)
        session.propose((operation,), base=session.held(), reason=reason)

    @group.command("show", help=f"Shows one {noun}.")
    @click.argument("name")
    @click.pass_obj
    def show_one(session: session_lib.Session, name: str) -> None:
        entity = getattr(session.held().document, kind).get(name)
        if entity is None:
            click.echo(f"no {noun} {name}", err=True)
            sys.exit(exits.FAILED)
        plain = operation_lib.entity_to_plain(entity)
        if session.output is output_lib.Format.JSON:
            click.echo(json.dumps(plain, indent=2))
        else:
            click.echo(yaml.safe_dump(plain, sort_keys=False).rstrip())


_add_entity_commands(adapter, "adapters", "adapter")

for _kind, _noun in [
    ("services", "service"),
    ("rules", "rule"),
    ("targets", "target"),
    ("customers", "customer"),
]:
    _group = click.Group(_noun, help=f"{_noun.capitalize()}s.")
    main.add_command(_group)
    _add_entity_commands(_group, _kind, _noun)


@main.command()
@click.argument("request_id")
@click.argument("files", nargs=-1, type=click.File())
def explain(request_id: str, files: tuple[TextIO, ...]) -> None:
    """Tells the story of one request from decision logs.

    FILES are logs of gateways and sidecars; without any, standard input.
    """
    sources = files or (click.get_text_stream("stdin"),)
    lines = [line for file in sources for line in explain_lib.read_lines(file)]
    request_lines = explain_lib.request_lines(lines, request_id)
    if not request_lines:
        click.echo(f"no line about {request_id}", err=True)
        sys.exit(exits.FAILED)
    for text in explain_lib.render(request_lines, request_id):
        click.echo(text)


@main.command()
@click.argument("admins", nargs=-1, required=True)
@click.pass_obj
def status(session: session_lib.Session, admins: tuple[str, ...]) -> None:
    """Shows processes by their admin addresses, ``ip:port`` each."""
    reports = anyio.run(processes.collect, admins)
    newest = max((one.get("config_version", 0) for one in reports), default=0)
    output_lib.show(
        session.output,
        reports,
        processes.HEADINGS,
        (processes.row(one, newest) for one in reports),
    )


if __name__ == "__main__":
    main()
