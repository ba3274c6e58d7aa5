"""What replication keeps and how fast it is, in virtual time: drawn histories, faults put in, failovers.

Owns its counts and times; the machines, faults and invariants are those of `tests/replication`. Times are of
the simulation (a write to disk 2 ms, a message 0.5 to 2.5 ms), not of this machine; those of a version's
distribution to edge nodes are of this machine's processor.

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

ROUTES = (20, 1520, 12_000)  # of the configurations whose distribution is measured
WARM_UP = 3.0  # seconds until a leader is there
WRITE_EVERY = 0.005  # seconds between two writes
LONGEST = 10.0  # seconds until a failover counts as not come
FULL, SHORT = (1000, 500, 500), (60, 60, 40)  # histories, failovers, histories for each fault put in


def quantile(values: list[float], part: float) -> float:
    """The value that this part of them stays below or at."""
    return sorted(values)[max(0, ceil(len(values) * part) - 1)]


def histories(count: int) -> tuple[int, int]:
    """How many of the drawn histories break an invariant, and how many writes they committed."""
    violations = commits = 0
    for seed in range(count):
        try:
            commits += random_history(seed).commits
        except ViolationError as error:
            violations += 1
            print(f"history {seed}: {error}")
    return violations, commits


class Writer:
    """Writes to whoever leads, one write at a time, and notes when each is acknowledged."""

    def __init__(self, it: Simulation) -> None:
        self.it = it
        self.acknowledged: list[float] = []
        self.took: list[float] = []
        self._begun: dict[int, float] = {}
        it.on_write = self.on_write
        it.at(0.0, self.write)

    def write(self) -> None:
        for name in self.it.serving():
            before = set(self.it.writing)
            self.it.write(name)
            for request in set(self.it.writing) - before:
                self._begun.setdefault(request, self.it.now)
        self.it.at(WRITE_EVERY, self.write)

    def on_write(self, request: int, done: bool) -> None:
        if done:
            self.acknowledged.append(self.it.now)
            if request in self._begun:
                self.took.append(self.it.now - self._begun[request])


def failover(seed: int) -> tuple[float, list[float]]:
    """Seconds from a leader's death to the next acknowledgement, and the calm times of writes before it."""
    it = Simulation(seed)
    writer = Writer(it)
    it.run(WARM_UP + Random(seed).random())
    calm = list(writer.took)
    died = it.now
    it.kill(it.serving()[0])
    it.run(died + LONGEST)
    later = [moment for moment in writer.acknowledged if moment > died]
    return (later[0] - died if later else LONGEST), calm


def found(seeds: int, make_core: type | None = None) -> bool:
    """Whether drawn histories show a fault that was put in."""
    for seed in range(seeds):
        try:
            random_history(seed, **({"make_core": make_core} if make_core else {}))
        except ViolationError:
            return True
    return False


def faults_found(seeds: int, until: float) -> tuple[int, int]:
    """Of the faults put in on purpose: how many were looked for before `until`, and how many were found."""
    looked = seen = 0
    for make_core in MUTANTS.values():
        if time.monotonic() < until:
            looked, seen = looked + 1, seen + found(seeds, make_core)
    for name in RULES:
        if time.monotonic() < until:
            with with_rule(name):
                looked, seen = looked + 1, seen + found(seeds)
    return looked, seen


def many_routes(count: int, generation: int) -> Configuration:
    """A configuration with drawn names, so that compression finds no more in it than in an operator's."""
    chance = Random(1)
    routes = [
        Route(f"r-{chance.getrandbits(40):x}", f"{chance.getrandbits(32):x}.example", f"/{number}/")
        for number in range(count)
    ]
    return Configuration(generation, tuple(routes), (Service("s"),))


def distribution(routes: int) -> dict[str, float]:
    """Bytes of a version with one route more, and of the whole; milliseconds at control and edge node."""
    versions = ConfigurationVersions()
    versions.commit(many_routes(routes, 1), 1)
    whole = versions.difference_since(NO_SEQUENCE)
    table = EMPTY_TABLE.apply_difference(decode_difference(whole))
    newer = many_routes(routes + 1, 2)
    began = time.perf_counter()
    versions.commit(newer, 2)
    told = versions.difference_since(1)
    encoded = time.perf_counter()
    table.apply_difference(decode_difference(told))
    applied = time.perf_counter()
    return {
        f"version_bytes_{routes}": len(told),
        f"whole_bytes_{routes}": len(whole),
        f"version_control_ms_{routes}": round(1000 * (encoded - began), 2),
        f"version_edge_ms_{routes}": round(1000 * (applied - encoded), 2),
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--short", action="store_true")
    parser.add_argument("--json", action="store_true")
    told = parser.parse_args()
    count, failovers, seeds = SHORT if told.short else FULL
    violations, commits = histories(count)
    states, two = explore()
    times, calm = [], []
    for seed in range(failovers):
        took, before = failover(seed)
        times.append(took)
        calm += before
    limit = time.monotonic() + (15.0 if told.short else 3600.0)
    looked, seen = faults_found(seeds, limit)
    figures = {
        "histories": count,
        "commits": commits,
        "states": states,
        "violations": violations + two,
        "mutants": looked,
        "mutants_found": seen,
        "histories_per_mutant": seeds,
        "failover_p50_ms": round(1000 * quantile(times, 0.5)),
        "failover_worst_ms": round(1000 * max(times)),
        "ack_p99_ms": round(1000 * quantile(calm, 0.99), 1),
    }
    for routes in ROUTES:
        figures |= distribution(routes)
    for name, figure in figures.items():
        print(f"{name:22} {figure}")
    if told.json:
        print(json.dumps(figures))


if __name__ == "__main__":
    main()
