"""Explores the model of views, voters, members and disks, and prints how much of it was explored.

Prints the settled worlds, states and steps of each slice. The model, its slices and the injected faults are
those of `tests/replication`. A settled world is the state after a period without faults. From each settled
world all sequences of steps up to the slice's depth are explored, and after each sequence a period without
faults must lead to a leader that has all acknowledged writes.

    python benchmarks/membership.py                   the deep slices, some minutes
    python benchmarks/membership.py --workers 4       the same on four processors
    python benchmarks/membership.py --short --json    two small slices; one JSON object as the last line
"""

import argparse
import json
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

from replication.lease_model import Limits, explore  # noqa: E402
from replication.membership_beyond import TABLE, outcome  # noqa: E402
from replication.membership_slices import DEEP, SLICES, explore_slice  # noqa: E402

SHORT = ("given up", "returning")


def explore_and_measure(name, membership_slice, workers):
    """Explores a slice; returns its figures."""
    started_at = time.monotonic()
    result = explore_slice(membership_slice, workers)
    if result.violation:
        print("\n".join([f"{name}: {result.violation}", *result.trace]))
    return {
        "depth": membership_slice.bounds.depth,
        "faults": membership_slice.bounds.faults,
        "at_rest": result.settled_worlds,
        "states": result.states,
        "steps": result.steps,
        "whole": result.is_complete,
        "violations": int(bool(result.violation)),
        "seconds": round(time.monotonic() - started_at, 1),
    }


def main():
    """Prints a line for each slice, for the lease model, and for losses of more machines than tolerated."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--short", action="store_true")
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--workers", type=int, default=1)
    options = parser.parse_args()
    slices = {name: SLICES[name] for name in SHORT} if options.short else DEEP
    results = {}
    for name, membership_slice in slices.items():
        results[name] = explore_and_measure(name, membership_slice, options.workers)
        print(name, results[name], flush=True)
    states, violation = explore(Limits(heartbeats=1, restarts=0 if options.short else 1))
    results["leases"] = {"states": states, "violations": int(violation is not None)}
    print("leases", results["leases"])
    results["beyond"] = {
        name: outcome(machines, tolerate, losses) for name, (machines, tolerate, losses, _) in TABLE.items()
    }
    for name, result in results["beyond"].items():
        print(f"{name}: {result}")
    if options.json:
        print(json.dumps(results))


if __name__ == "__main__":
    main()
