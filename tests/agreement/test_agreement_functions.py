"""Unit tests of single functions, without sockets or a clock."""

from wheatroute.agreement import operator_output, versions
from wheatroute.agreement.join_rules import TENANT_RULES
from wheatroute.agreement.joint_settings import join_fields
from wheatroute.agreement.setting_check import value_error
from wheatroute.agreement.setting_differences import values_by_path
from wheatroute.balancing.settings import TenantQuota


def test_join_fields():
    old, new = TenantQuota(portion=0.5, quota=9.0), TenantQuota(portion=0.7, quota=4.0)
    assert join_fields(TENANT_RULES, old, new) == TenantQuota(portion=0.5, quota=4.0)


def test_values_by_path():
    assert values_by_path({"allowed": {"cancel": True}, "tenants": [{"name": "a", "portion": 1.0}]}) == {
        "allowed.cancel": True,
        "tenants.a.name": "a",
        "tenants.a.portion": 1.0,
    }


def test_value_errors():
    assert (
        value_error("allowed.connect-timeout", "soon"),
        value_error("tick", True),
        value_error("rules.cold", 9),
    ) == (
        "must be a finite number of at least 0, got 'soon'",
        "must be a finite number of at least 0, got True",
        "",
    )


def test_operator_table():
    assert operator_output.table([["name", "phase"], ["n1", "joint"]]) == ["name  phase", "n1    joint"]


def test_versions_canonical():
    assert versions.canonical({"b": 1.0, "a": [True]}) == versions.canonical({"a": [True], "b": 1})
