"""No import cycles between modules, including imports for type checkers."""

import ast
import functools
import graphlib
import pathlib

PACKAGES = pathlib.Path(__file__).parents[2] / "packages"
# Existing cycles of modules in our own interface, which import each other's
# classes for type checkers. No module may be added to them.
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
    """Returns a module's imports, including those only for type checkers."""
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
    """Modules outside the known cycles do not import each other.

    Guards against a request's module that can be understood only together with
    the whole gateway: the gateway creates a request, and the request's module
    imports the gateway class, of which it needs only a few members.
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
