"""No module can only be read together with one that imports it."""

import ast
import functools
import graphlib
import pathlib

PACKAGES = pathlib.Path(__file__).parents[2] / "packages"
# Modules of the own interface that still name each other's classes for type
# checkers. Nothing may join them.
KNOWN_IMPORT_CYCLES = (
    {"radishd.entry", "radishd.request.caller"},
    {
        "radishd.target",
        "radishd.connection.listener",
        "radishd.request.target_actions",
    },
)


@functools.cache
def _modules() -> dict[str, pathlib.Path]:
    modules = {}
    for path in PACKAGES.glob("*/src/**/*.py"):
        source = path.relative_to(PACKAGES)
        parts = source.with_suffix("").parts[2:]
        modules[".".join(parts).removesuffix(".__init__")] = path
    return modules


def _imports(path: pathlib.Path) -> set[str]:
    """Returns what a module imports, also what only type checkers read."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            found.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            for alias in node.names:
                full = f"{node.module}.{alias.name}"
                found.add(full if full in _modules() else node.module)
    return found & _modules().keys()


def test_no_import_cycle_is_added() -> None:
    """Symptom: a change to a request must be read beside the whole gateway.

    Sequence: the gateway makes a request, and the request's module imports
    the gateway's for its class. Cause: a request took the whole gateway where
    it needs a few things of it.
    """
    graph = {}
    for name, path in _modules().items():
        known = set().union(
            *(one for one in KNOWN_IMPORT_CYCLES if name in one)
        )
        graph[name] = _imports(path) - known - {name}
    try:
        graphlib.TopologicalSorter(graph).prepare()
    except graphlib.CycleError as error:
        raise AssertionError(" -> ".join(error.args[1])) from None
