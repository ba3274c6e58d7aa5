"""Tests whole runs: they are reproducible, and policies compare as expected."""

import json
import os
import subprocess
import sys
from pathlib import Path

from fleet.simulated_runs import fault, simulate
from wheatroute.fleet import results
from wheatroute.fleet.stored_keys import to_stored


def test_the_same_plan_and_seed_give_the_same_figures_in_any_process():
    expected = json.dumps(to_stored(results.figures(simulate(faults=fault("crash")))))
    script = (
        "import json, sys; sys.path[:0] = [%r, %r]; from fleet.test_world import *;"
        "print(json.dumps(to_stored(results.figures(simulate(faults=fault('crash'))))))"
    )
    here = Path(__file__).parent.parent
    for salt in ("1", "2"):
        again = subprocess.run(
            [sys.executable, "-c", script % (str(here), str(here.parent))],
            check=True,
            capture_output=True,
            text=True,
            env={**os.environ, "PYTHONHASHSEED": salt},
        )
        assert again.stdout.strip() == expected


def test_compared_policies_get_the_same_requests():
    first, second = (
        [(request.arrived_at, request.class_number, request.size) for request in world.clients.requests]
        for world in (simulate(), simulate("random"))
    )
    assert first == second


def test_true_state_beats_random_choice_and_the_balancer_is_not_worse_than_random():
    tight_target = {
        "callers": {"load": 0.75},
        "length": 20.0,
        "kinds": [{"name": "look", "work": 0.1, "target_time": 0.5}],
    }
    random, shortest_queue = (
        results.figures(simulate(name, **tight_target)).value for name in ("random", "shortest_queue")
    )
    assert random < shortest_queue and results.figures(simulate(**tight_target)).value > random - 0.02
