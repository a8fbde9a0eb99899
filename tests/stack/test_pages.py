"""The documentation, the examples and the package layout match the code."""

import ast
import pathlib
import re

from radishctl import cli as radishctl_cli
from radishd.process import metrics as metrics_lib
from radishd.process import settings as settings_lib
from radishstack import result
from radishstack.version import document as document_lib
import yaml

ROOT = pathlib.Path(__file__).parent.parent.parent
PACKAGES = ROOT / "packages"
LIFE_SPANS = ("request", "connection", "version", "process")
CODE_ROW = re.compile(
    r"^\| (\d{4}) \| `(\w+)` \| (\S+) \| (\w+) \| (\w+) \|", re.MULTILINE
)


def test_result_codes_page_matches_the_code() -> None:
    """The page lists number, name, status, proof and retry of every code."""
    page = (ROOT / "docs/RESULT_CODES.md").read_text(encoding="utf-8")
    rows = {
        int(number): (name, status, executed, retry_elsewhere)
        for number, name, status, executed, retry_elsewhere in CODE_ROW.findall(
            page
        )
    }
    expected = {
        code.number: (
            code.name,
            str(code.status or "-"),
            str(code.executed),
            "yes" if code.retry_elsewhere else "no",
        )
        for code in result.BY_NUMBER.values()
    }
    assert rows == expected


def test_operators_page_names_every_metric() -> None:
    """Every metric is documented for on-call operators."""
    page = (ROOT / "docs/OPERATIONS.md").read_text(encoding="utf-8")
    metrics = metrics_lib.Metrics()
    names = [one.name for one in metrics.registry.get_all()]
    missing = [name for name in names if f"`{name}`" not in page]
    assert not missing, missing


def test_examples_are_valid() -> None:
    """The documents and settings under ``examples`` are valid as they are."""
    for path in sorted((ROOT / "examples").glob("document-*.yaml")):
        raw = yaml.safe_load(path.read_text(encoding="utf-8"))
        document = document_lib.parse(raw)
        assert isinstance(document, document_lib.Document), document
    for path in sorted((ROOT / "examples").glob("settings-*.yaml")):
        settings = settings_lib.read(path)
        assert isinstance(settings, settings_lib.Settings), settings


def _imports(path: pathlib.Path) -> list[ast.ImportFrom]:
    tree = ast.parse(path.read_text(encoding="utf-8"))
    return [node for node in ast.walk(tree) if isinstance(node, ast.ImportFrom)]


def test_modules_are_imported_not_names() -> None:
    """Imports from our own packages name modules, never their members."""
    modules = {
        ".".join(path.relative_to(source).with_suffix("").parts)
        for source in PACKAGES.glob("*/src")
        for path in source.rglob("*.py")
    }
    for path in PACKAGES.rglob("*.py"):
        for node in _imports(path):
            if not (node.module or "").startswith(("radish", "standins")):
                continue
            for alias in node.names:
                name = f"{node.module}.{alias.name}"
                assert name in modules, f"{path}: {name}"


def test_modules_import_only_equal_or_longer_life_spans() -> None:
    """A module imports no module with a shorter life span.

    The subpackages request, connection, version and process are life spans,
    the shortest first. Modules at the top of a package combine several life
    spans and may import all of them.
    """
    allowed = {("radishd", "connection/listener.py", "request")}
    for package in ("radishstack", "radishd"):
        source = PACKAGES / package / "src" / package
        for index, span in enumerate(LIFE_SPANS):
            shorter = LIFE_SPANS[:index]
            for path in (source / span).glob("*.py"):
                for node in _imports(path):
                    imported_package, *part = (node.module or "").split(".")
                    if (
                        imported_package != package
                        or not part
                        or part[0] not in shorter
                    ):
                        continue
                    module_path = str(path.relative_to(source))
                    assert (package, module_path, part[0]) in allowed, (
                        f"{path}: {node.module}"
                    )


def test_every_command_has_a_help_text() -> None:
    """Every command and subcommand has a help text."""
    pending = [radishctl_cli.main]
    while pending:
        command = pending.pop()
        assert command.help, command.name
        pending.extend(getattr(command, "commands", {}).values())
