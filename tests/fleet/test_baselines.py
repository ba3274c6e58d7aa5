"""Tests that the baseline policies keep all rules but the one on warm-up overload, which they ignore."""

import pytest

from fleet.simulated_runs import fault, simulate
from wheatroute.fleet import baselines
from wheatroute.fleet.rules import Rule


@pytest.mark.parametrize("name", sorted(baselines.BASELINES))
def test_baselines_keep_the_rules_on_answers_retries_and_drains(name):
    world = simulate(name, faults=fault("crash"))
    violated = [rule for rule, count in world.rules.counts.items() if count]
    assert not set(violated) - {Rule.NO_WARMUP_OVERLOAD}, world.rules.violations
