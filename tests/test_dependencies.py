"""Each part of the package can be imported with only the packages of its extra in pyproject.toml."""

import ast
import re
import sys
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[1]
PROJECT = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
# By extra ("" for none): the modules that must be importable with it.
ENTRY_MODULES = {
    "": ["__main__", "benchlink.__main__"],
    "cli": ["cli"],
    "agreement": [
        "agreement.node",
        "agreement.monotonic_discovery",
        "agreement.operator",
        "agreement.relay",
        "commands.settings",
        "commands.rollout",
        "rollout.controller",
        "rollout.figures_reporter",
        "rollout.operator",
        "rollout.supervisor",
    ],
    "processor": ["processor.program", "processor.worker"],
    "etcd": ["etcd.discovery", "etcd.services", "agreement.etcd_store", "agreement.processor"],
    "fleet": ["fleet.runner", "fleet.report", "fleet.traced_run", "commands.fleet"],
    "standin": ["standin.etcd", "standin.proxy", "rig.rig", "rig.scenario_player", "rig.run_report"],
    "system": ["system"],
}
DISTRIBUTIONS = {"envoy": "xds-protos", "google": "protobuf", "hdrh": "hdrhistogram", "yaml": "PyYAML"}


def source_of(module):
    """Returns the path of a module's or package's source; None if there is none."""
    path = ROOT.joinpath(*module.split("."))
    return next((file for file in (path.with_suffix(".py"), path / "__init__.py") if file.exists()), None)


def loaded_with(source):
    """Yields the names that a file imports at import time: not in functions, nor for type checking only."""
    pending = [ast.parse(source.read_text())]
    while pending:
        node = pending.pop()
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef | ast.Lambda):
            continue
        if isinstance(node, ast.If) and getattr(node.test, "id", "") == "TYPE_CHECKING":
            continue
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            yield node.module
            yield from (f"{node.module}.{alias.name}" for alias in node.names)
        pending += ast.iter_child_nodes(node)


def packages_for(module):
    """Returns the third-party packages that are loaded with a module."""
    seen, pending, packages = set(), [module], set()
    while pending:
        name = pending.pop()
        if name in seen:
            continue
        seen.add(name)
        top = name.split(".")[0]
        if top != "wheatroute":
            packages |= {DISTRIBUTIONS.get(top, top)} - sys.stdlib_module_names
        elif (source := source_of(name)) is not None:
            pending += loaded_with(source)
    return packages


def installed_by(requirements):
    """Returns the names of the packages in requirements, with those of the project's own extras in them."""
    out = set()
    for requirement in requirements:
        name, _, extras = re.fullmatch(r"([\w-]+)(\[([\w,]+)\])?.*", requirement).groups()
        out |= {name} if name != PROJECT["name"] else set()
        for extra in extras.split(",") if extras and name == PROJECT["name"] else ():
            out |= installed_by(PROJECT["optional-dependencies"][extra])
    return out


@pytest.mark.parametrize("extra", ENTRY_MODULES)
def test_an_extra_installs_all_packages_that_its_modules_load(extra):
    optional = PROJECT["optional-dependencies"][extra] if extra else []
    installed = installed_by(PROJECT["dependencies"]) | installed_by(optional)
    for entry in ENTRY_MODULES[extra]:
        module = f"{PROJECT['name']}.{entry}"
        assert source_of(module) is not None, module
        missing = packages_for(module) - installed
        assert not missing, f"{module} loads {sorted(missing)}"


def test_the_build_of_the_node_installs_what_the_package_requires():
    build = (ROOT / "requirements.txt").read_text().split()
    assert sorted(build) == sorted(PROJECT["dependencies"])
