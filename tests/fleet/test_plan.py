"""Tests plan files: keys stay the same whatever the names of the fields, and mistakes are reported."""

import pytest

from fleet.simulated_runs import SMALL_PLAN, fault
from wheatroute.fleet import plan

KEYS = {
    "FleetPlan": [
        "name",
        "length",
        "warm_up",
        "nodes",
        "tiers",
        "kinds",
        "customers",
        "callers",
        "network",
        "rules",
        "faults",
        "tick",
        "most_relays",
        "second_copies",
        "time_left_passed_on",
        "crossing_price",
    ],
    "Tier": [
        "name",
        "servers",
        "models",
        "work",
        "calls",
        "discipline",
        "slots",
        "queue",
        "thrash",
        "thrash_at",
        "connection_cost",
        "most_connections",
        "cold_share",
        "cold_time",
        "cancel",
        "error_rate",
        "collapse",
        "reports",
    ],
    "ServerModel": ["name", "share", "cores", "speed", "speed_cv"],
    "Collapse": ["above", "span", "slower", "below", "rest", "longest"],
    "LoadReports": ["every", "noise"],
    "RequestClassPlan": [
        "name",
        "share",
        "work",
        "law",
        "cv",
        "relay_noise",
        "effect",
        "target_time",
        "hard_stop",
        "utility",
        "late_utility",
        "repeat_window",
        "group",
    ],
    "TenantPlan": ["name", "portion", "usage"],
    "LoadWave": ["at", "length", "times", "rise"],
    "ClientsPlan": [
        "load",
        "arrivals",
        "swing",
        "swing_period",
        "waves",
        "recorded",
        "quota",
        "excess_utility",
        "retries",
        "backoff",
        "honour",
        "patience",
        "node_skew",
        "crossing",
    ],
    "NetworkPlan": [
        "zones",
        "inside",
        "between",
        "jitter",
        "handshake",
        "connect_within",
        "idle_closed",
        "list_delay",
        "list_spread",
    ],
    "RuleLimits": ["drain_grace", "fall_span", "fall_multiple", "answer_slack"],
    "FaultPlan": ["kind", "at", "length", "tier", "part", "size", "every", "zone"],
}


@pytest.mark.parametrize("table", sorted(KEYS))
def test_the_keys_of_a_table_do_not_change(table):
    fields = getattr(plan, table).model_fields
    assert [field.alias or name for name, field in fields.items()] == KEYS[table]


def test_the_name_of_an_aliased_field_is_not_a_key():
    with pytest.raises(plan.PlanError, match="max_attempts: Extra inputs are not permitted"):
        plan.parse_plan({"tiers": [{"name": "only", "servers": 1}], "max_attempts": 3})


def test_an_invalid_file_is_reported_with_a_line_for_each_mistake():
    with pytest.raises(plan.PlanError) as raised:
        plan.parse_plan({**SMALL_PLAN, "nodes": 0, "spare": 1, "faults": [{"kind": "fire", "at": 0.0}]})
    assert len(raised.value.lines) == 3 and "nodes" in raised.value.lines[0]
    with pytest.raises(plan.PlanError, match="zone 'q'"):
        plan.parse_plan({**SMALL_PLAN, "faults": fault("zone_loss", zone="q")})
