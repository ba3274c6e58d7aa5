"""The rule of each setting while two versions are joint."""

import inspect
import itertools
import re

from wheatroute import words
from wheatroute.agreement import joint_terms
from wheatroute.balancing.interface import Idempotency
from wheatroute.config import (
    File,
    Pool,
    Processor,
    RequestClass,
    Rules,
    Server,
    Tenant,
    told_to_processor,
)
from wheatroute.net import node_settings
from wheatroute.rig.settings import SETTINGS


def test_every_key_of_both_configurations_has_a_rule():
    assert set(words.TERMS) | set(words.terms({}, {})) <= set(joint_terms.TERMS) | {
        "request_classes",
        "tenants",
    }
    kind = words._request_class({})
    assert set(kind) <= set(joint_terms.REQUEST_CLASS)
    file = File(
        pools=[Pool(name="p", servers=[Server(id="s", address="127.0.0.1:1")])],
        traffic_types=[RequestClass(name="t", effect="pure", paths=["/"], hard_stop=1.0)],
        customers=[Tenant(name="c")],
        processor=Processor(listen="127.0.0.1:1", pool="p"),
    )
    terms = told_to_processor(file)["terms"]
    assert set(terms) <= set(joint_terms.TERMS) | {"request_classes", "tenants"}
    assert set(terms["request_classes"][0]) <= set(joint_terms.REQUEST_CLASS)
    assert set(terms["tenants"][0]) <= set(joint_terms.TENANT)
    assert {path for path, _ in words.TERMS.values()} <= set(joint_terms.PATHS)


def test_every_key_of_the_files_has_a_rule():
    for table in (File, RequestClass, Tenant, Rules):
        assert set(table.model_fields) == set(joint_terms.FILE[table.__name__])
    text = inspect.getsource(node_settings)
    assert set(re.findall(r'document\.get\("([a-z_]+)"[,)]', text)) <= set(joint_terms.BOOT)
    assert set(joint_terms.FILE_KEYS) - {"rules"} <= {
        key for key, rule in joint_terms.FILE["File"].items() if rule != joint_terms.OWN
    }


def test_a_difference_is_marked_where_two_processes_must_not_differ():
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
    assert {path: rule for path, _, _, rule in joint_terms.differences(old, new)} == {
        "file.nodes": joint_terms.MAXIMUM,
        "file.rules.cold_time": joint_terms.MAXIMUM,
        "file.traffic_types.view.effect": joint_terms.STRICT,
        "file.traffic_types.view.utility": joint_terms.FREE,
        "settings.tenants.c.name": joint_terms.ROUTE,
        "settings.tenants.c.quota-rps": joint_terms.MINIMUM,
        "settings.tick": joint_terms.FIXED,
    }


def test_joined_terms_are_never_looser_than_either_version():
    loose = words.terms(SETTINGS, {}) | {"tick": 0.005}
    for effects in itertools.permutations(Idempotency, 2):
        one, other = (
            {**loose, "request_classes": [loose["request_classes"][0] | {"effect": effect}]}
            for effect in effects
        )
        assert joint_terms.joined(one, other)["request_classes"][0]["effect"] == max(effects)
    tight = loose | {"most_attempts": 1, "fall_multiple": 1.0, "cold_time": 99.0, "hedges": False, "nodes": 7}
    for pair in ((loose, tight), (tight, loose)):
        met = joint_terms.joined(*pair)
        assert [met[name] for name in ("most_attempts", "fall_multiple", "cold_time", "hedges", "nodes")] == [
            1,
            1.0,
            99.0,
            False,
            7,
        ]


def test_bad_content_gets_a_line_for_each_mistake():
    told = joint_terms.setting_errors(
        {
            "tick": 1,
            "novel": 2,
            "allowed": {"cancel": True, "peers": True},
            "traffic-types": [{"name": "a", "colour": 1}, {"name": "a"}],
            "tenants": 3,
        }
    )
    assert told == [
        "settings.traffic-types: two of the name 'a'",
        "settings.traffic-types.a.colour: is no key that this program knows",
        "settings.tenants: is no list of tables with names",
        "settings.novel: is no key that this program knows",
        "settings.allowed.peers: each process has its own",
    ]
