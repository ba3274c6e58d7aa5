"""Tests that the balancer keeps the rules during each kind of fault."""

import pytest

from fleet.simulated_runs import fault, simulate
from wheatroute.fleet import results
from wheatroute.fleet.rules import Rule


@pytest.mark.parametrize(
    "kind, settings",
    [
        ("crash", {}),
        ("hang", {}),
        ("slow", {"size": 5.0}),
        ("errors", {"size": 0.8}),
        ("pauses", {"size": 0.4}),
        ("neighbour", {"size": 0.7}),
        ("shared_slow", {"size": 2.0}),
        ("deploy", {"part": 0.9, "every": 0.5, "length": 8.0}),
        ("zone_loss", {"zone": "x"}),
        ("list_late", {"size": 10.0}),
        ("cut_off", {"zone": "y"}),
        ("cut_off", {}),
        ("node_loss", {"part": 0.7}),
        ("lossy", {"size": 0.1}),
    ],
)
def test_the_balancer_keeps_the_rules_during_each_fault(kind, settings):
    world = simulate(faults=fault(kind, **settings))
    assert world.rules.counts == dict.fromkeys(Rule, 0), world.rules.violations
    assert results.figures(world).served > 0.8
