"""The rules by which versions are joined, and the joined settings and errors that result."""

import dataclasses
import inspect
import itertools
import re

from wheatroute.agreement import join_rules
from wheatroute.agreement.join_rules import JoinRule
from wheatroute.agreement.joint_settings import joined
from wheatroute.agreement.setting_check import setting_errors
from wheatroute.agreement.setting_differences import differences
from wheatroute.balancing import settings
from wheatroute.balancing.interface import Idempotency
from wheatroute.balancing.settings import DecisionSettings
from wheatroute.config.pools import PoolRules, PoolSettings, ServerSettings
from wheatroute.config.processor import ProcessorSettings
from wheatroute.config.request_classes import RequestClassSettings, TenantSettings
from wheatroute.config.settings import Settings
from wheatroute.net import node_settings
from wheatroute.platform_settings import SETTING_KEYS, decision_settings
from wheatroute.processor.worker_settings import derive_worker_settings
from wheatroute.rig.settings import DEFAULT_SETTINGS


def test_every_field_of_the_settings_has_a_rule():
    fields = {field.name for field in dataclasses.fields(DecisionSettings)}
    assert set(SETTING_KEYS) <= fields == set(join_rules.SETTING_RULES) | {"request_classes", "tenants"}
    class_fields = {field.name for field in dataclasses.fields(settings.RequestClass)}
    assert class_fields == set(join_rules.REQUEST_CLASS_RULES) | {"can_trial"}
    assert {field.name for field in dataclasses.fields(settings.TenantQuota)} == set(join_rules.TENANT_RULES)
    file = Settings(
        pools=[PoolSettings(name="p", servers=[ServerSettings(id="s", address="127.0.0.1:1")])],
        traffic_types=[RequestClassSettings(name="t", effect="pure", paths=["/"], hard_stop=1.0)],
        customers=[TenantSettings(name="c")],
        processor=ProcessorSettings(listen="127.0.0.1:1", pool="p"),
    )
    processor_settings = derive_worker_settings(file).decision
    assert isinstance(processor_settings, DecisionSettings)
    assert isinstance(processor_settings.request_classes[0], settings.RequestClass)
    assert isinstance(processor_settings.tenants[0], settings.TenantQuota)
    assert {path for path, _ in SETTING_KEYS.values()} <= set(join_rules.PATH_RULES)


def test_every_key_of_the_files_has_a_rule():
    tables = {
        "File": Settings,
        "RequestClass": RequestClassSettings,
        "Tenant": TenantSettings,
        "Rules": PoolRules,
    }
    for name, table in tables.items():
        keys = {field.alias or field_name for field_name, field in table.model_fields.items()}
        assert keys == set(join_rules.FILE_RULES[name])
    text = inspect.getsource(node_settings)
    assert set(re.findall(r'document\.get\("([a-z_]+)"[,)]', text)) <= set(join_rules.NODE_FILE_RULES)
    assert set(join_rules.FILE_KEYS) - {"rules"} <= {
        key for key, rule in join_rules.FILE_RULES["File"].items() if rule != JoinRule.PER_PROCESS
    }


def test_each_difference_has_the_rule_of_its_key():
    old = {
        "file": {
            "nodes": 1,
            "rules": {"cold_time": 20.0},
            "customers": [],
            "traffic_types": [{"name": "view", "effect": "pure", "utility": 1.0}],
        }
    }
    new = {
        "file": {
            "nodes": 2,
            "rules": {"cold_time": 30.0},
            "customers": [],
            "traffic_types": [{"name": "view", "effect": "effectful", "utility": 2.0}],
        },
        "settings": {"tick": 0.01, "tenants": [{"name": "c", "quota-rps": 5.0}]},
    }
    assert {path: rule for path, _, _, rule in differences(old, new)} == {
        "file.nodes": JoinRule.MAXIMUM,
        "file.rules.cold_time": JoinRule.MAXIMUM,
        "file.traffic_types.view.effect": JoinRule.STRICTER,
        "file.traffic_types.view.utility": JoinRule.MAY_DIFFER,
        "settings.tenants.c.name": JoinRule.ROUTE,
        "settings.tenants.c.quota-rps": JoinRule.MINIMUM,
        "settings.tick": JoinRule.RESTART_ONLY,
    }


def test_joined_settings_are_never_looser_than_either_version():
    loose = dataclasses.replace(decision_settings(DEFAULT_SETTINGS, {}), tick=0.005)
    for idempotencies in itertools.permutations(Idempotency, 2):
        old, new = (
            dataclasses.replace(
                loose,
                request_classes=[dataclasses.replace(loose.request_classes[0], idempotency=idempotency)],
            )
            for idempotency in idempotencies
        )
        assert joined(old, new).request_classes[0].idempotency == max(idempotencies)
    tight = dataclasses.replace(
        loose, max_attempts=1, overload_multiple=1.0, warmup_s=99.0, can_hedge=False, nodes=7
    )
    for pair in ((loose, tight), (tight, loose)):
        both = joined(*pair)
        assert [both.max_attempts, both.overload_multiple, both.warmup_s, both.can_hedge, both.nodes] == [
            1,
            1.0,
            99.0,
            False,
            7,
        ]


def test_invalid_content_yields_one_line_for_each_error():
    errors = setting_errors(
        {
            "tick": 1,
            "novel": 2,
            "allowed": {"cancel": True, "peers": True},
            "traffic-types": [{"name": "a", "colour": 1}, {"name": "a"}],
            "tenants": 3,
        }
    )
    assert errors == [
        "settings.traffic-types: duplicate name 'a'",
        "settings.traffic-types.a.colour: unknown key",
        "settings.tenants: must be a list of tables, each with a name",
        "settings.novel: unknown key",
        "settings.allowed.peers: specific to each process, so it must not be in a version",
    ]
