"""Tests that scenarios are valid plans at every size."""

import orjson

from wheatroute.fleet import plan, scenarios


def test_a_scenario_depends_on_its_name_and_size():
    assert (
        scenarios.scenario_plan("calm", 100)["nodes"],
        scenarios.scenario_plan("crash", 8)["faults"][0]["kind"],
    ) == (
        20,
        "crash",
    )


def test_every_scenario_is_a_valid_plan_at_every_size():
    for name in scenarios.SCENARIOS:
        for size in scenarios.SIZES.values():
            assert plan.parse_plan(scenarios.scenario_plan(name, size)).capacity() > size
    assert orjson.dumps(scenarios.SCENARIOS)
