"""``radishd``: run a process, check its settings, or show a demo."""

import importlib
import pathlib
import sys

import anyio
import click
from radishstack import result

from radishd.process import exits
from radishd.process import logs
from radishd.process import settings as settings_lib
from radishd.process import signals


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="radishd")
def main() -> None:
    """Serving layer for very many LoRA adapters.

    One radishd runs on each entry VM (role entry) and one in the slot of each
    target VM (role target).
    """


def _read(path: pathlib.Path) -> settings_lib.Settings:
    settings = settings_lib.read(path)
    if isinstance(settings, result.Failure):
        click.echo(settings.message, err=True)
        sys.exit(exits.SETTINGS_INVALID)
    return settings


_FILE = click.Path(path_type=pathlib.Path, dir_okay=False)


@main.command()
@click.option(
    "--settings",
    "path",
    type=_FILE,
    required=True,
    help="YAML file with the settings of this process.",
)
def run(path: pathlib.Path) -> None:
    """Runs the process that the settings describe.

    The first SIGTERM or SIGINT drains it, a second one ends it at once.
    """
    settings = _read(path)
    logs.configure(settings.log_level, name=settings.name)
    anyio.run(run_role, settings, path)


# A process imports only the module of its own role. Importing the others would
# cost it about ten megabytes of memory for code that it never uses.
_ROLES = {
    settings_lib.Role.ENTRY: "radishd.entry",
    settings_lib.Role.TARGET: "radishd.target",
    settings_lib.Role.GATEWAY: "radishd.gateway",
    settings_lib.Role.SIDECAR: "radishd.sidecar",
}
_RELOADABLE = (settings_lib.Role.GATEWAY, settings_lib.Role.SIDECAR)


async def run_role(settings: settings_lib.Settings, path: pathlib.Path) -> None:
    """Runs one role until a signal stops it and it has drained.

    Args:
        settings: Settings of the process.
        path: Settings file, which is read again on SIGHUP.
    """
    stop = anyio.Event()
    reloads = signals.ReloadHook()
    module = importlib.import_module(_ROLES[settings.role])

    async def drive() -> None:
        if settings.role in _RELOADABLE:
            await module.run(settings, stop=stop, reloads=reloads)
        else:
            await module.run(settings, stop=stop)
        tasks.cancel_scope.cancel()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(signals.stop_on_signal, stop)
        tasks.start_soon(signals.reload_on_signal, path, reloads)
        tasks.start_soon(drive)


@main.command()
@click.argument("path", type=_FILE)
def check(path: pathlib.Path) -> None:
    """Checks a settings file and says what to mend."""
    settings = _read(path)
    click.echo(f"{path}: ok, {settings.role} {settings.name}")


@main.command()
@click.option("--port", default=8080, show_default=True, help="Callers' port.")
@click.option(
    "--quiet/--logs", default=True, help="Keep the JSON log lines back."
)
def demo(port: int, quiet: bool) -> None:
    """Brings up everything on loopback, with built-in stand-ins."""
    try:
        from standins import demo as demo_lib
    except ImportError:
        click.echo("install radishd[demo] for the stand-ins", err=True)
        sys.exit(exits.FAILED)
    logs.configure("ERROR" if quiet else "INFO", name="demo")
    anyio.run(demo_lib.run, port)


if __name__ == "__main__":
    main()
