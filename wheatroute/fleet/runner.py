"""Plays the runs of an experiment in several processes, and stores their records. Writes files.

Neither the number of processes nor the order in which they are done shows in what is stored.
"""

from __future__ import annotations

import multiprocessing
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path

from wheatroute.fleet import results
from wheatroute.fleet.experiment import Experiment, Run, expand_runs
from wheatroute.fleet.plan import parse_plan
from wheatroute.fleet.policies import decisions_factory
from wheatroute.fleet.records import (
    MAX_LATENCY_US,
    RUNS_FILE,
    RunRecord,
    new_histogram,
    stored_lines,
)
from wheatroute.fleet.requests import RequestOutcome
from wheatroute.fleet.world import World

MICROSECONDS = 1e6  # in a second


def simulate_run(run: Run) -> RunRecord:
    """Plays one run."""
    world = World(parse_plan(run.fleet), run.seed, decisions_factory(run.policy)).play()
    return RunRecord(
        run_id=run.run_id,
        point=run.point,
        policy=run.policy,
        seed=run.seed,
        figures=results.figures(world),
        violations=world.rules.violations,
        value_by_second=results.value_by_second(world),
        latencies=_encoded_latencies(world),
    )


def _encoded_latencies(world: World) -> str:
    histogram = new_histogram()
    for request in world.clients.requests:
        if request.outcome is RequestOutcome.SERVED:
            latency_us = int((request.ended_at - request.arrived_at) * MICROSECONDS)
            histogram.record_value(min(MAX_LATENCY_US, max(1, latency_us)))
    encoded: bytes = histogram.encode()
    return encoded.decode("ascii")


def run_experiment(
    experiment: Experiment,
    folder: Path,
    workers: int,
    on_progress: Callable[[int, int], None] = lambda done, total: None,
) -> int:
    """Plays the runs that are not stored yet, and returns their number; lines end up in the runs' order.

    `on_progress` is called after each run with the runs played and all that are to be played.
    """
    folder.mkdir(parents=True, exist_ok=True)
    runs = list(expand_runs(experiment))
    lines = stored_lines(folder)
    missing = [run for run in runs if run.run_id not in lines]
    path = folder / RUNS_FILE
    with path.open("ab") as file:
        if path.stat().st_size and not path.read_bytes().endswith(b"\n"):
            file.write(b"\n")  # ends a line that was cut short
        for done, record in enumerate(simulate_runs(missing, workers), 1):
            line = record.encode()
            lines[record.run_id] = line
            file.write(line + b"\n")
            file.flush()
            on_progress(done, len(missing))
    ordered = path.with_suffix(".new")
    ordered.write_bytes(b"".join(lines[run.run_id] + b"\n" for run in runs))
    ordered.replace(path)
    return len(missing)


def simulate_runs(runs: list[Run], workers: int) -> Iterator[RunRecord]:
    """Plays runs in so many processes; records come as they are done."""
    if workers <= 1:
        yield from map(simulate_run, runs)
        return
    with ProcessPoolExecutor(workers, multiprocessing.get_context("spawn")) as pool:
        for future in as_completed([pool.submit(simulate_run, run) for run in runs]):
            yield future.result()
