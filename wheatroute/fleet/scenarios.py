"""Ten scenarios at any size to compare policies on, from a calm one to the loss of a zone. No I/O.

A scenario is a plan with the keys of plan files; it depends only on its name and on the number of servers in
each tier. Each scenario changes one thing, and none is fitted to a policy.
"""

from __future__ import annotations

from typing import Any

SIZES = {"small": 8, "middle": 100, "large": 1000}  # servers in each tier, by the name of the size
MAX_NODES = 200
SERVERS_PER_NODE = 5

REQUEST_CLASSES: list[dict[str, Any]] = [
    {
        "name": "look",
        "share": 3.0,
        "work": 0.05,
        "cv": 1.5,
        "effect": "pure",
        "utility": 2.0,
        "target_time": 0.6,
        "hard_stop": 2.0,
    },
    {
        "name": "change",
        "share": 1.0,
        "work": 0.1,
        "cv": 1.5,
        "effect": "receipted",
        "utility": 4.0,
        "target_time": 1.0,
        "hard_stop": 3.0,
    },
    {
        "name": "buy",
        "share": 1.0,
        "work": 0.15,
        "law": "pareto",
        "cv": 2.0,
        "effect": "effectful",
        "utility": 8.0,
        "target_time": 1.0,
        "hard_stop": 3.0,
    },
]
MODELS = [
    {"name": "quick", "share": 1.0, "speed": 1.5, "speed_cv": 0.1},
    {"name": "usual", "share": 2.0, "speed": 1.0, "speed_cv": 0.1},
]


def _fault(kind: str, **settings: Any) -> dict[str, Any]:
    return {"kind": kind, "at": 6.0, "length": 8.0, **settings}


# By the name of the scenario: what it changes in the clients and the faults.
SCENARIOS: dict[str, dict[str, Any]] = {
    "calm": {"callers": {"load": 0.5, "swing": 0.2}},
    "rush": {"callers": {"load": 0.5, "waves": [{"at": 6.0, "length": 5.0, "times": 1.8, "rise": 0.5}]}},
    "overload": {"callers": {"load": 1.2}},
    "crash": {"faults": [_fault("crash", part=0.15)]},
    "hang": {"faults": [_fault("hang", part=0.1)]},
    "slow": {"faults": [_fault("slow", part=0.12, size=6.0)]},
    "errors": {"faults": [_fault("errors", part=0.12, size=0.7)]},
    "deploy": {"faults": [_fault("deploy", part=0.9, length=16.0, every=1.0)]},
    "zone_loss": {
        "callers": {"load": 0.45},
        "faults": [_fault("zone_loss", zone="b"), _fault("list_late", size=5.0)],
    },
    "metastable": {
        "callers": {
            "load": 0.65,
            "retries": 8,
            "patience": 0.35,
            "backoff": 0.05,
            "waves": [{"at": 6.0, "length": 4.0, "times": 2.2}],
        }
    },
}


def scenario_plan(name: str, servers: int) -> dict[str, Any]:
    """Returns the tables of a scenario's plan; `servers` is the number of servers in each tier.

    Raises KeyError for an unknown scenario.
    """
    changes = SCENARIOS[name]
    tier = {"servers": servers, "models": MODELS, "reports": {}, "slots": 24, "queue": 200, "thrash": 0.1}
    return {
        "name": f"{name} {servers}",
        "length": 24.0,
        "kinds": REQUEST_CLASSES,
        "nodes": max(2, min(MAX_NODES, servers // SERVERS_PER_NODE)),
        "tiers": [
            {"name": "front", "work": 0.5, "collapse": {}, **tier},
            {"name": "back", "work": 0.5, "calls": 1.0, **tier},
        ],
        "customers": [{"name": "one", "portion": 0.6}, {"name": "two", "portion": 0.4}],
        "network": {"zones": ["a", "b", "c"]},
        "callers": {"load": 0.5, "retries": 1, **changes.get("callers", {})},
        "faults": changes.get("faults", []),
    }
