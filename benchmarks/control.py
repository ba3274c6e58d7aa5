"""Checks replication's invariants and measures its speed: random histories, injected bugs, failovers.

The machines, faults and invariants are those of `tests/replication`. Times are virtual times of the
simulation (a write to disk takes 2 ms, a message 0.5 to 2.5 ms), except for the times to distribute a
configuration version to edge nodes, which are measured on this machine.

    python benchmarks/control.py                  1,000 histories, 500 failovers
    python benchmarks/control.py --short --json   some of each; one JSON object as the last line
"""

import argparse
import json
import sys
import time
from math import ceil
from pathlib import Path
from random import Random

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

from replication.histories import random_history  # noqa: E402
from replication.mutants import MUTANTS, RULES, with_rule  # noqa: E402
from replication.simulation import Simulation, ViolationError  # noqa: E402
from replication.test_voting import explore  # noqa: E402

from wheatroute.cluster.configuration import Configuration, Route, Service  # noqa: E402
from wheatroute.cluster.distribution import NO_SEQUENCE, decode_difference  # noqa: E402
from wheatroute.control.versions import ConfigurationVersions  # noqa: E402
from wheatroute.edge.routing import EMPTY_TABLE  # noqa: E402

ROUTES = (20, 1520, 12_000)  # sizes of the configurations whose distribution is measured
WARM_UP_S = 3.0  # time to elect a leader
WRITE_INTERVAL_S = 0.005
MAX_FAILOVER_S = 10.0  # time after which a failover counts as failed
FULL, SHORT = (1000, 500, 500), (60, 60, 40)  # (histories, failovers, histories for each injected bug)


def quantile(values: list[float], fraction: float) -> float:
    """Returns the smallest value that at least this fraction of the values does not exceed."""
    return sorted(values)[max(0, ceil(len(values) * fraction) - 1)]


def play_histories(count: int) -> tuple[int, int]:
    """Plays random histories; returns how many violate an invariant, and how many writes they committed."""
    violations = commits = 0
    for seed in range(count):
        try:
            commits += random_history(seed).commits
        except ViolationError as error:
            violations += 1
            print(f"history {seed}: {error}")
    return violations, commits


class Writer:
    """Sends a write at regular intervals to every serving leader, and records when it is acknowledged."""

    def __init__(self, simulation: Simulation) -> None:
        self.simulation = simulation
        self.acknowledged: list[float] = []  # times of acknowledgements
        self.durations: list[float] = []
        self._started_at: dict[int, float] = {}
        simulation.on_write = self.on_write
        simulation.at(0.0, self.write)

    def write(self) -> None:
        for name in self.simulation.serving():
            before = set(self.simulation.writing)
            self.simulation.write(name)
            for request in set(self.simulation.writing) - before:
                self._started_at.setdefault(request, self.simulation.now)
        self.simulation.at(WRITE_INTERVAL_S, self.write)

    def on_write(self, request: int, done: bool) -> None:
        if done:
            self.acknowledged.append(self.simulation.now)
            if request in self._started_at:
                self.durations.append(self.simulation.now - self._started_at[request])


def failover(seed: int) -> tuple[float, list[float]]:
    """Kills a leader; returns the seconds to the next acknowledgement and the durations of earlier writes."""
    simulation = Simulation(seed)
    writer = Writer(simulation)
    simulation.run(WARM_UP_S + Random(seed).random())
    write_times = list(writer.durations)
    killed_at = simulation.now
    simulation.kill(simulation.serving()[0])
    simulation.run(killed_at + MAX_FAILOVER_S)
    later = [moment for moment in writer.acknowledged if moment > killed_at]
    return (later[0] - killed_at if later else MAX_FAILOVER_S), write_times


def is_found(seeds: int, make_core: type | None = None) -> bool:
    """Returns whether random histories reveal an injected bug."""
    for seed in range(seeds):
        try:
            random_history(seed, **({"make_core": make_core} if make_core else {}))
        except ViolationError:
            return True
    return False


def search_mutants(seeds: int, until: float) -> tuple[int, int]:
    """Searches for each injected bug; returns how many were tried before `until`, and how many were found."""
    tried = found_count = 0
    for make_core in MUTANTS.values():
        if time.monotonic() < until:
            tried, found_count = tried + 1, found_count + is_found(seeds, make_core)
    for name in RULES:
        if time.monotonic() < until:
            with with_rule(name):
                tried, found_count = tried + 1, found_count + is_found(seeds)
    return tried, found_count


def make_configuration(count: int, generation: int) -> Configuration:
    """Returns a configuration with random names, so that it compresses no better than an operator's."""
    rng = Random(1)
    routes = [
        Route(f"r-{rng.getrandbits(40):x}", f"{rng.getrandbits(32):x}.example", f"/{number}/")
        for number in range(count)
    ]
    return Configuration(generation, tuple(routes), (Service("s"),))


def distribution_cost(routes: int) -> dict[str, float]:
    """Measures a version that adds one route, for a configuration of `routes` routes.

    Returns the bytes of the version and of the complete configuration, and the milliseconds that the version
    costs at a control node and at an edge node.
    """
    versions = ConfigurationVersions()
    versions.commit(make_configuration(routes, 1), 1)
    complete = versions.difference_since(NO_SEQUENCE)
    table = EMPTY_TABLE.apply_difference(decode_difference(complete))
    next_configuration = make_configuration(routes + 1, 2)
    started = time.perf_counter()
    versions.commit(next_configuration, 2)
    difference = versions.difference_since(1)
    encoded = time.perf_counter()
    table.apply_difference(decode_difference(difference))
    applied = time.perf_counter()
    return {
        f"version_bytes_{routes}": len(difference),
        f"whole_bytes_{routes}": len(complete),
        f"version_control_ms_{routes}": round(1000 * (encoded - started), 2),
        f"version_edge_ms_{routes}": round(1000 * (applied - encoded), 2),
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--short", action="store_true")
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    count, failovers, seeds = SHORT if options.short else FULL
    violations, commits = play_histories(count)
    states, voting_violations = explore()
    times, write_times = [], []
    for seed in range(failovers):
        took, before = failover(seed)
        times.append(took)
        write_times += before
    limit = time.monotonic() + (15.0 if options.short else 3600.0)
    tried, found_count = search_mutants(seeds, limit)
    figures = {
        "histories": count,
        "commits": commits,
        "states": states,
        "violations": violations + voting_violations,
        "mutants": tried,
        "mutants_found": found_count,
        "histories_per_mutant": seeds,
        "failover_p50_ms": round(1000 * quantile(times, 0.5)),
        "failover_worst_ms": round(1000 * max(times)),
        "ack_p99_ms": round(1000 * quantile(write_times, 0.99), 1),
    }
    for routes in ROUTES:
        figures |= distribution_cost(routes)
    for name, figure in figures.items():
        print(f"{name:22} {figure}")
    if options.json:
        print(json.dumps(figures))


if __name__ == "__main__":
    main()
