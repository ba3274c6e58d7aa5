"""Whole runs: the same in, the same out; and how policies compare."""

import json
import os
import subprocess
import sys
from pathlib import Path

from fleet.emulated_runs import fault, play
from wheatroute.fleet import results
from wheatroute.fleet.stored_keys import to_stored


def test_the_same_file_and_seed_give_the_same_figures_in_any_process():
    expected = json.dumps(to_stored(results.figures(play(faults=fault("crash")))))
    text = (
        "import json, sys; sys.path[:0] = [%r, %r]; from fleet.test_world import *;"
        "print(json.dumps(to_stored(results.figures(play(faults=fault('crash'))))))"
    )
    here = Path(__file__).parent.parent
    for salt in ("1", "2"):
        again = subprocess.run(
            [sys.executable, "-c", text % (str(here), str(here.parent))],
            check=True,
            capture_output=True,
            text=True,
            env={**os.environ, "PYTHONHASHSEED": salt},
        )
        assert again.stdout.strip() == expected


def test_policies_that_are_compared_meet_the_same_requests():
    first, second = (
        [(request.arrived_at, request.class_number, request.size) for request in world.clients.requests]
        for world in (play(), play("random"))
    )
    assert first == second


def test_true_state_serves_best_and_the_design_comes_between():
    tight = {
        "callers": {"load": 0.75},
        "length": 20.0,
        "kinds": [{"name": "look", "work": 0.1, "target_time": 0.5}],
    }
    random, shortest_queue = (
        results.figures(play(name, **tight)).value for name in ("random", "shortest_queue")
    )
    assert random < shortest_queue and results.figures(play(**tight)).value > random - 0.02
