"""Tests that small runs with fixed seeds reproduce their recorded figures, down to the number of events.

The policies are baselines, so that changes to the balancer have no effect here. A difference means that the
simulation itself has changed: explain that change, and never update a recorded figure without it.
"""

import pytest

from wheatroute.fleet.experiment import Run
from wheatroute.fleet.runner import simulate_run
from wheatroute.fleet.stored_keys import to_stored

FLEET = {
    "length": 6.0,
    "nodes": 4,
    "kinds": [
        {"name": "look", "work": 0.1},
        {"name": "change", "work": 0.1, "effect": "receipted", "group": "cell"},
        {"name": "buy", "work": 0.1, "effect": "effectful", "law": "pareto"},
    ],
    "callers": {"load": 0.55, "retries": 2},
    "network": {"zones": ["x", "y"], "list_delay": 0.5},
    "customers": [
        {"name": "one", "portion": 0.6},
        {"name": "two", "portion": 0.4, "usage": 1.5},
    ],
    "tiers": [
        {"name": "front", "servers": 8, "reports": {}},
        {
            "name": "back",
            "servers": 10,
            "calls": 1.4,
            "collapse": {"span": 1.0, "rest": 1.0, "above": 2.0},
        },
    ],
}
FAULTS = {
    "random": {"kind": "crash"},
    "hedging": {"kind": "zone_loss", "zone": "x"},
    "probing": {"kind": "deploy", "every": 0.5},
    "top": {"kind": "pauses", "size": 0.4},
}
RECORDED = {
    "random": {
        "commands": 470,
        "utility": 0.7829787234042553,
        "handled": 0.9212765957446809,
        "bounced": 0.02553191489361702,
        "terminated": 0.05319148936170213,
        "left": 0.0,
        "late": 0.13829787234042554,
        "by_kind": [0.7962962962962963, 0.8089171974522293, 0.7417218543046358],
        "by_customer": [0.7725321888412017, 0.7932489451476793],
        "p50": 0.28521805985951687,
        "p95": 1.9355955184691993,
        "p99": 2.649308175682222,
        "tries": 1.0085106382978724,
        "collapses": 3,
        "breaks": [0, 0, 0, 0],
        "worst_cold": 0.46468155346410445,
        "events": 10830,
    },
    "hedging": {
        "commands": 470,
        "utility": 0.6212765957446809,
        "handled": 0.8659574468085106,
        "bounced": 0.031914893617021274,
        "terminated": 0.0851063829787234,
        "left": 0.01702127659574468,
        "late": 0.24468085106382978,
        "by_kind": [0.6419753086419753, 0.7070063694267515, 0.5099337748344371],
        "by_customer": [0.6223175965665236, 0.620253164556962],
        "p50": 0.34767819064256855,
        "p95": 2.5430984111897033,
        "p99": 2.8990449951747905,
        "tries": 5.721276595744681,
        "collapses": 5,
        "breaks": [0, 0, 0, 0],
        "worst_cold": 0.7077464337365322,
        "events": 17005,
    },
    "probing": {
        "commands": 470,
        "utility": 0.9340425531914893,
        "handled": 0.9914893617021276,
        "bounced": 0.0,
        "terminated": 0.00851063829787234,
        "left": 0.0,
        "late": 0.0574468085106383,
        "by_kind": [0.9506172839506173, 0.9044585987261147, 0.9470198675496688],
        "by_customer": [0.9356223175965666, 0.9324894514767933],
        "p50": 0.22008860382334205,
        "p95": 1.0417947167692319,
        "p99": 1.4457498936575348,
        "tries": 1.0,
        "collapses": 0,
        "breaks": [0, 0, 0, 0],
        "worst_cold": 0.3466958255494944,
        "events": 17700,
    },
    "top": {
        "commands": 470,
        "utility": 0.9638297872340426,
        "handled": 0.9936170212765958,
        "bounced": 0.0,
        "terminated": 0.006382978723404255,
        "left": 0.0,
        "late": 0.029787234042553193,
        "by_kind": [0.9691358024691358, 0.9426751592356688, 0.9801324503311258],
        "by_customer": [0.9742489270386266, 0.9535864978902954],
        "p50": 0.17227846493108245,
        "p95": 0.7366089401989484,
        "p99": 1.4135583031232954,
        "tries": 1.0,
        "collapses": 0,
        "breaks": [0, 0, 0, 0],
        "worst_cold": 0.0,
        "events": 10190,
    },
}


@pytest.mark.parametrize("policy", sorted(RECORDED))
def test_a_run_has_its_recorded_figures(policy):
    fault = {"at": 2.0, "length": 2.5, "part": 0.4, **FAULTS[policy]}
    fleet = {**FLEET, "faults": [fault]}
    run = Run(run_id="-", point={}, policy=policy, seed=7, fleet=fleet)
    figures = to_stored(simulate_run(run).figures)
    recorded = RECORDED[policy]
    assert list(figures) == list(recorded)
    assert figures["events"] == recorded["events"]
    for name, figure in recorded.items():
        assert figures[name] == pytest.approx(figure, rel=1e-9), name
