"""How far views, voters, members and disks are explored: worlds at rest, states and steps by slice.

The model, its slices and the faults put in are those of `tests/replication`; this prints their counts. A
world at rest is what a calm time leaves behind; from each all sequences of steps up to the slice's depth are
taken, and after each of them a calm time must reach a leader that has everything acknowledged.

    python benchmarks/membership.py                   the deep slices, some minutes
    python benchmarks/membership.py --workers 4       the same on four processors
    python benchmarks/membership.py --short --json    two small ones; one JSON object as the last line
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


def measured(name, part, workers):
    """One slice's figures."""
    begun = time.monotonic()
    found = explore_slice(part, workers)
    if found.violation:
        print("\n".join([f"{name}: {found.violation}", *found.trace]))
    return {
        "depth": part.bounds.depth,
        "faults": part.bounds.faults,
        "at_rest": found.settled_worlds,
        "states": found.states,
        "steps": found.steps,
        "whole": found.is_complete,
        "violations": int(bool(found.violation)),
        "seconds": round(time.monotonic() - begun, 1),
    }


def main():
    """Prints a line for each slice, the leases and the losses beyond what may be lost."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--short", action="store_true")
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--workers", type=int, default=1)
    asked = parser.parse_args()
    slices = {name: SLICES[name] for name in SHORT} if asked.short else DEEP
    told = {}
    for name, part in slices.items():
        told[name] = measured(name, part, asked.workers)
        print(name, told[name], flush=True)
    states, both = explore(Limits(heartbeats=1, restarts=0 if asked.short else 1))
    told["leases"] = {"states": states, "violations": int(both is not None)}
    print("leases", told["leases"])
    told["beyond"] = {
        name: outcome(machines, tolerate, losses) for name, (machines, tolerate, losses, _) in TABLE.items()
    }
    for name, left in told["beyond"].items():
        print(f"{name}: {left}")
    if asked.json:
        print(json.dumps(told))


if __name__ == "__main__":
    main()
