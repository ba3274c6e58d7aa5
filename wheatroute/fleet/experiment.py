"""Experiments: a file with a fleet, policies, seeds and sweeps, expanded into a list of runs. Reads files.

The id of a run is a hash of its plan, policy and seed, so that an interrupted experiment can be resumed.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterator
from copy import deepcopy
from dataclasses import dataclass
from itertools import product
from pathlib import Path
from typing import Annotated, Any

import orjson
from pydantic import Field, ValidationError

from wheatroute.fleet.plan import Name, PlanError, Table, parse_plan, read_toml, validation_lines
from wheatroute.fleet.policies import DESIGN, is_policy, policy_names

RUN_ID_BYTES = 8


class Sweep(Table):
    """Lists several values for one key of the plan; numbers in the key's path are indexes of a list."""

    key: Name
    values: Annotated[list[Any], Field(min_length=1)]


class Experiment(Table):
    """Describes an experiment: the root table of an experiment file."""

    name: Name = "experiment"
    policies: Annotated[list[Name], Field(min_length=1)] = [DESIGN]
    seeds: Annotated[int, Field(ge=1, le=10_000)] = 5  # number of seeds
    first_seed: int = 1
    sweeps: list[Sweep] = []
    fleet: dict[str, Any]  # tables of the plan


@dataclass(frozen=True, slots=True)
class Run:
    """Describes one run of an experiment."""

    run_id: str
    point: dict[str, Any]  # the swept keys and their values
    policy: str
    seed: int
    fleet: dict[str, Any]  # tables of the plan, with the values of the point


def read_experiment(path: str) -> Experiment:
    """Reads an experiment from a TOML file.

    The key `fleet` is a table or the path of a plan file, relative to the experiment file. Raises PlanError
    with a line for each problem in the file or in any plan that it expands to.
    """
    tables = read_toml(Path(path), path)
    if isinstance(tables.get("fleet"), str):
        tables["fleet"] = read_toml(Path(path).parent / tables["fleet"], path)
    try:
        experiment = Experiment.model_validate(tables)
    except ValidationError as error:
        raise PlanError(validation_lines(error, path)) from None
    unknown = [policy for policy in experiment.policies if not is_policy(policy)]
    if unknown:
        known = ", ".join(policy_names())
        raise PlanError(
            [f"{path}: policies: unknown policy {policy!r}; known policies: {known}" for policy in unknown]
        )
    for run in expand_runs(experiment):
        parse_plan(run.fleet, path)
    return experiment


def set_by_path(tables: dict[str, Any], key: str, value: Any) -> None:
    """Sets the value at a path such as `tiers.0.servers`; creates missing tables.

    Raises KeyError, IndexError, ValueError or TypeError if the path doesn't match the tables.
    """
    *parents, last = key.split(".")
    target: Any = tables
    for name in parents:
        target = target[int(name)] if isinstance(target, list) else target.setdefault(name, {})
    if isinstance(target, list):
        target[int(last)] = value
    else:
        target[last] = value


def expand_runs(experiment: Experiment) -> Iterator[Run]:
    """Yields all runs, ordered by points of the sweeps, then policies, then seeds."""
    for values in product(*(sweep.values for sweep in experiment.sweeps)):
        point = {sweep.key: value for sweep, value in zip(experiment.sweeps, values, strict=True)}
        fleet = _fleet_at(experiment, point)
        for policy in experiment.policies:
            for seed in range(experiment.first_seed, experiment.first_seed + experiment.seeds):
                yield Run(_run_id(fleet, policy, seed), point, policy, seed, fleet)


def _fleet_at(experiment: Experiment, point: dict[str, Any]) -> dict[str, Any]:
    fleet = deepcopy(experiment.fleet)
    for key, value in point.items():
        try:
            set_by_path(fleet, key, value)
        except (KeyError, IndexError, ValueError, TypeError):
            raise PlanError([f"sweeps: {key!r} is not a path in the plan"]) from None
    return fleet


def _run_id(fleet: dict[str, Any], policy: str, seed: int) -> str:
    """Returns a hash of everything that determines a run."""
    identity = orjson.dumps([fleet, policy, seed], option=orjson.OPT_SORT_KEYS)
    return hashlib.blake2b(identity, digest_size=RUN_ID_BYTES).hexdigest()
