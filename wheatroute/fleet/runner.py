"""Simulates the runs of an experiment in several processes and stores their records. Writes files.

The stored file depends neither on the number of processes nor on the order in which runs complete.
"""

from __future__ import annotations

import multiprocessing
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path

from wheatroute.fleet import results
from wheatroute.fleet.experiment import Experiment, Run, expand_runs
from wheatroute.fleet.plan import parse_plan
from wheatroute.fleet.policies import decision_maker_factory
from wheatroute.fleet.records import (
    MAX_LATENCY_US,
    RUNS_FILE,
    RunRecord,
    new_histogram,
    stored_lines,
)
from wheatroute.fleet.requests import RequestOutcome
from wheatroute.fleet.world import World

MICROSECONDS_PER_S = 1e6


def simulate_run(run: Run) -> RunRecord:
    """Simulates one run and returns its record."""
    world = World(parse_plan(run.fleet), run.seed, decision_maker_factory(run.policy)).run()
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
            latency_us = int((request.ended_at - request.arrived_at) * MICROSECONDS_PER_S)
            histogram.record_value(min(MAX_LATENCY_US, max(1, latency_us)))
    encoded: bytes = histogram.encode()
    return encoded.decode("ascii")


def run_experiment(
    experiment: Experiment,
    folder: Path,
    workers: int,
    on_progress: Callable[[int, int], None] = lambda done, total: None,
) -> int:
    """Simulates the runs that are not stored yet, stores their records and returns their number.

    Each record is appended as soon as its run completes; at the end the file is rewritten in the order of
    the runs. After each run, `on_progress` is called with the number of completed runs and the number of runs
    to simulate.
    """
    folder.mkdir(parents=True, exist_ok=True)
    runs = list(expand_runs(experiment))
    lines = stored_lines(folder)
    missing = [run for run in runs if run.run_id not in lines]
    path = folder / RUNS_FILE
    with path.open("ab") as file:
        if path.stat().st_size and not path.read_bytes().endswith(b"\n"):
            # Terminates the partial line that an interrupted experiment left.
            file.write(b"\n")
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
    """Simulates runs in `workers` processes; yields records in the order of completion."""
    if workers <= 1:
        yield from map(simulate_run, runs)
        return
    with ProcessPoolExecutor(workers, multiprocessing.get_context("spawn")) as pool:
        for future in as_completed([pool.submit(simulate_run, run) for run in runs]):
            yield future.result()
