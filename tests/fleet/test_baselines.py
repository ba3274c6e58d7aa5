"""Baseline policies keep the rules that they are meant to keep."""

import pytest

from fleet.emulated_runs import fault, play
from wheatroute.fleet import baselines
from wheatroute.fleet.rules import Rule


@pytest.mark.parametrize("name", sorted(baselines.BASELINES))
def test_baselines_keep_the_rules_on_repeats_and_drains(name):
    world = play(name, faults=fault("crash"))
    broken = [rule for rule, count in world.rules.counts.items() if count]
    assert not set(broken) - {Rule.NO_WARMUP_OVERLOAD}, world.rules.violations
