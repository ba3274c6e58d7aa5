"""What single functions give, one after the other; no sockets, no clock."""

from wheatroute.agreement import joint_terms, operator_output, versions
from wheatroute.balancing.settings import TenantQuota


def test_joined_terms():
    old, new = TenantQuota(portion=0.5, quota=9.0), TenantQuota(portion=0.7, quota=4.0)
    assert joint_terms._joined(joint_terms.TENANT, old, new) == TenantQuota(portion=0.5, quota=4.0)


def test_paths_of_joint_terms():
    assert joint_terms._paths({"allowed": {"cancel": True}, "tenants": [{"name": "a", "portion": 1.0}]}) == {
        "allowed.cancel": True,
        "tenants.a.name": "a",
        "tenants.a.portion": 1.0,
    }


def test_joint_terms_that_are_unfit():
    assert (
        joint_terms._value_error("allowed.connect-timeout", "soon"),
        joint_terms._value_error("tick", True),
        joint_terms._value_error("rules.cold", 9),
    ) == ("is no number from 0 on: 'soon'", "is no number from 0 on: True", "")


def test_operator_table():
    assert operator_output.table([["name", "phase"], ["n1", "joint"]]) == ["name  phase", "n1    joint"]


def test_versions_canonical():
    assert versions.canonical({"b": 1.0, "a": [True]}) == versions.canonical({"a": [True], "b": 1})
