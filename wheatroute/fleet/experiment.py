"""Experiments: a file names a fleet, policies, seeds and sweeps; all runs of it are played and kept.

Owns the file's shape, the list of runs and what is kept of each: one JSON line a run, with its delays as an
HDR histogram. A run is named by what it is made of, so that an experiment that was stopped goes on where it
was. It must never let the number of workers or their order show in what is kept.
"""

from __future__ import annotations

import hashlib
import multiprocessing
import tomllib
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from copy import deepcopy
from itertools import product
from pathlib import Path
from typing import Annotated, Any

import orjson
from hdrh.histogram import HdrHistogram
from pydantic import Field, ValidationError

from wheatroute.decide import Balancer
from wheatroute.fleet import baselines, plan, results
from wheatroute.fleet.nodes import DecisionsFactory
from wheatroute.fleet.requests import RequestOutcome
from wheatroute.fleet.world import World

DESIGN = "design"
KEPT = "runs.jsonl"
LONGEST = 3_600_000_000  # microseconds that a histogram of delays reaches to


class Sweep(plan.Table):
    """One figure of the fleet, by its path in the file, at several values."""

    key: plan.Name
    values: Annotated[list[Any], Field(min_length=1)]


class Experiment(plan.Table):
    """A whole file."""

    name: plan.Name = "experiment"
    policies: Annotated[list[plan.Name], Field(min_length=1)] = [DESIGN]
    seeds: Annotated[int, Field(ge=1, le=10_000)] = 5
    first_seed: int = 1
    sweeps: list[Sweep] = []
    fleet: dict[str, Any]


def read(path: str) -> Experiment:
    """The experiment of a TOML file; its `fleet` is a table, or the path of a fleet's file beside it."""
    try:
        told = tomllib.loads(Path(path).read_text(encoding="utf-8"))
        if isinstance(told.get("fleet"), str):
            beside = Path(path).parent / told["fleet"]
            told["fleet"] = tomllib.loads(beside.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as trouble:
        raise plan.PlanError([f"{path}: {trouble}"]) from None
    try:
        experiment = Experiment.model_validate(told)
    except ValidationError as trouble:
        raise plan.PlanError(
            [f"{path}: {'.'.join(map(str, one['loc'])) or 'whole'}: {one['msg']}" for one in trouble.errors()]
        ) from None
    unknown = [one for one in experiment.policies if one != DESIGN and one not in baselines.BASELINES]
    if unknown:
        known = ", ".join([DESIGN, *sorted(baselines.BASELINES)])
        raise plan.PlanError([f"{path}: policies: no {one!r}; there are {known}" for one in unknown])
    for run in runs(experiment):
        plan.parse_plan(run["fleet"], path)
    return experiment


def put(told: dict[str, Any], key: str, value: Any) -> None:
    """Sets what a path names; numbers in it are places in a list."""
    *way, last = key.split(".")
    here: Any = told
    for name in way:
        here = here[int(name)] if isinstance(here, list) else here.setdefault(name, {})
    if isinstance(here, list):
        here[int(last)] = value
    else:
        here[last] = value


def runs(experiment: Experiment) -> Iterator[dict[str, Any]]:
    """Every run: its name, its point in the sweeps, policy, seed and fleet."""
    for values in product(*(sweep.values for sweep in experiment.sweeps)):
        fleet = deepcopy(experiment.fleet)
        point = {sweep.key: value for sweep, value in zip(experiment.sweeps, values, strict=True)}
        for key, value in point.items():
            try:
                put(fleet, key, value)
            except (KeyError, IndexError, ValueError, TypeError):
                raise plan.PlanError([f"sweeps: nothing is at {key!r}"]) from None
        for policy in experiment.policies:
            for seed in range(experiment.first_seed, experiment.first_seed + experiment.seeds):
                made_of = orjson.dumps([fleet, policy, seed], option=orjson.OPT_SORT_KEYS)
                yield {
                    "run": hashlib.blake2b(made_of, digest_size=8).hexdigest(),
                    "point": point,
                    "policy": policy,
                    "seed": seed,
                    "fleet": fleet,
                }


def maker(policy: str) -> DecisionsFactory:
    """Makes the decisions of a policy."""
    if policy == DESIGN:
        return lambda node, settings, rng: Balancer(settings, rng)
    kind = baselines.BASELINES[policy]
    return lambda node, settings, rng: kind(node, settings, rng)


def play(run: dict[str, Any]) -> dict[str, Any]:
    """One run; what is kept of it."""
    world = World(plan.parse_plan(run["fleet"]), run["seed"], maker(run["policy"])).play()
    delays = HdrHistogram(1, LONGEST, 3)
    for root in world.clients.requests:
        if root.outcome is RequestOutcome.SERVED:
            delays.record_value(min(LONGEST, max(1, int((root.ended_at - root.arrived_at) * 1e6))))
    seconds: list[list[float]] = []
    for root in world.clients.requests:
        at = int(root.arrived_at - world.clients.start)
        while len(seconds) <= at:
            seconds.append([0.0, 0.0])
        asked, earned = results.value(world, root)
        seconds[at][0] += asked
        seconds[at][1] += earned
    return {
        "run": run["run"],
        "point": run["point"],
        "policy": run["policy"],
        "seed": run["seed"],
        "figures": results.figures(world),
        "broken": [tuple(violation) for violation in world.rules.violations],
        "by_second": [earned / asked if asked else 1.0 for asked, earned in seconds],
        "delays": delays.encode().decode("ascii"),
    }


def kept(folder: Path) -> dict[str, dict[str, Any]]:
    """What was kept, by run; a last line that was cut short counts for nothing."""
    out = {}
    path = folder / KEPT
    for line in path.read_bytes().splitlines() if path.exists() else ():
        try:
            one = orjson.loads(line)
            out[one["run"]] = one
        except (orjson.JSONDecodeError, KeyError, TypeError):
            continue
    return out


def carry_out(
    experiment: Experiment,
    folder: Path,
    workers: int,
    told: Callable[[int, int], None] = lambda done, of: None,
) -> int:
    """Plays what is not kept yet; returns how many runs that were. Lines end up in the order of `runs`."""
    folder.mkdir(parents=True, exist_ok=True)
    asked = list(runs(experiment))
    have = kept(folder)
    missing = [run for run in asked if run["run"] not in have]
    path = folder / KEPT
    with path.open("ab") as sink:
        if path.stat().st_size and not path.read_bytes().endswith(b"\n"):
            sink.write(b"\n")  # what was cut short is left behind
        for done, one in enumerate(_played(missing, workers), 1):
            have[one["run"]] = one
            sink.write(orjson.dumps(one) + b"\n")
            sink.flush()
            told(done, len(missing))
    whole = path.with_suffix(".new")
    whole.write_bytes(b"".join(orjson.dumps(have[run["run"]]) + b"\n" for run in asked))
    whole.replace(path)
    return len(missing)


def _played(missing: list[dict[str, Any]], workers: int) -> Iterator[dict[str, Any]]:
    if workers <= 1:
        yield from map(play, missing)
        return
    with ProcessPoolExecutor(workers, multiprocessing.get_context("spawn")) as pool:
        for future in as_completed([pool.submit(play, run) for run in missing]):
            yield future.result()
