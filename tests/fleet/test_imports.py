"""Tests that the modules of the simulated fleet have no import cycles and are layered from plan to world."""

import ast
from graphlib import TopologicalSorter
from pathlib import Path

import wheatroute.fleet

FOLDER = Path(wheatroute.fleet.__file__).parent
PACKAGE = "wheatroute.fleet."


def modules():
    """Yields the name and the syntax tree of each module, the name without that of the package."""
    for path in FOLDER.rglob("*.py"):
        name = ".".join(path.relative_to(FOLDER).with_suffix("").parts)
        yield name.removesuffix(".__init__") or "__init__", ast.parse(path.read_text(encoding="utf-8"))


def imported(tree):
    """Yields the names of the modules that a module may import, including those of imported attributes."""
    # Imports in functions and under TYPE_CHECKING count too.
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module is not None:
            yield node.module
            yield from (f"{node.module}.{alias.name}" for alias in node.names)


def test_modules_have_no_import_cycles():
    trees = dict(modules())
    graph = {
        name: {target.removeprefix(PACKAGE) for target in imported(tree) if target.startswith(PACKAGE)}
        & trees.keys()
        for name, tree in trees.items()
    }
    order = list(TopologicalSorter(graph).static_order())  # raises CycleError for a cycle
    layers = ["plan", "engine", "servers", "nodes", "clients", "world"]
    assert [name for name in order if name in layers[2:]] == layers[2:]
    assert max(order.index("plan"), order.index("engine")) < order.index("servers")
