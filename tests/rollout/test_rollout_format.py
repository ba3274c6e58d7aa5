"""Records of rollouts and a node's figures keep their stored format, which is fixed here byte for byte.

The digests guard against changes that would break the chain of existing records.
"""

from types import SimpleNamespace

import orjson

from wheatroute.agreement.versions import digest
from wheatroute.balancing.settings import RequestClass
from wheatroute.rollout import plan
from wheatroute.rollout.progress import RolloutProgress, StepKind
from wheatroute.rollout.request_accounting import RequestAccounting

PLAN = {
    "name": "a change",
    "old": "v1",
    "new": "v2",
    "stages": [
        {"name": "one", "nodes": ["n0"], "least": 2.0, "most": 20.0, "ask": True},
        {"name": "rest", "nodes": ["n1", "n2"], "least": 2.0, "most": 20.0, "ask": False},
    ],
    "before": 6.0,
    "away": 1,
    "patience": 10.0,
    "risk": 0.01,
    "unsure": "hold",
    "margins": {"worth": 0.2, "refused": 0.06, "terminated": 0.06, "slow": 0.3},
    "watched": ["worth", "refused", "terminated", "slow"],
}
STEPS = [
    {"kind": "start", "plan": PLAN, "who": "on call", "when": 1780000000.0},
    {"kind": "stage", "stage": 0},
    {"kind": "pass", "stage": 0},
    {"kind": "hold", "reason": "asked for"},
    {"kind": "go", "who": "on call"},
    {"kind": "stage", "stage": 1},
    {"kind": "back", "reason": "refused"},
    {"kind": "end", "outcome": "taken back"},
]
DIGESTS = [
    "6faabdc2774aa0bf9fe5c2455e7d7e10f8e8de26ccba3c050029fec40cdedfae",
    "dcebe9f54a3135e8fd596198f57702e0c42386a1406c5ec4058f5ebdaf7dca3d",
    "a377c6c2c1c93630ec9107304790e59b96870d21e854febdbfa472bb2abba14d",
    "625a603bce379d35ed56bc2000f80e50f366b908024dca23adabfd4e7c9d1f29",
    "deda77b4cd06885696c8060ad17233a297e34401aa42648d58afdd17064ce85b",
    "59711fbd1c29f59ac8b9bdcbb09a134f849f64b5eb5856c738e3389c93d18b20",
    "d6586fb1deaa9e6f7027926c98598c7eb357e32d9a2dd7cd1a17817ca7c12c7a",
    "9bf17ebccad0a4cb0b7c46fad7d6e6af5a0c83966a75126cac7674e2821acf4d",
]
FIGURES = {
    "format": 1,
    "lost": 0,
    "cells": [["look", "acme", 2, 1, 1, 0, 1, 0]],
    "times": {"look": {"-15": 1}},
    "worth": {"look": 2.0},
}


def test_a_plan_keeps_its_stored_format():
    assert orjson.dumps(plan.parse_plan(PLAN).model_dump()) == orjson.dumps(PLAN)


def test_records_keep_their_stored_format_and_digests():
    progress = RolloutProgress()
    phases = []
    for step, expected in zip(STEPS, DIGESTS, strict=True):
        fields = {name: value for name, value in step.items() if name != "kind"}
        record = progress.next_record(StepKind(step["kind"]), **fields)
        assert list(record) == ["format", "seq", "before", "kind", *fields]
        assert digest(record) == expected
        progress.apply(record)
        phases.append(str(progress.phase))
    assert phases == [
        "before a stage",
        "in a stage",
        "before a stage",
        "held",
        "before a stage",
        "in a stage",
        "going back",
        "ended",
    ]


def test_a_nodes_figures_keep_their_stored_format():
    accounting = RequestAccounting({"look": 0}, {"acme": 0}, [RequestClass(value=2.0, target_latency=1.0)])
    exchange = SimpleNamespace(
        number=1,
        is_complete=False,
        deadline=13.0,
        time_left_s=3.0,
        request_class=0,
        tenant=0,
        attempts=[0, 1],
        response=SimpleNamespace(status=200),
    )
    accounting.request_accepted(exchange)
    accounting.request_answered(exchange, 10.5)
    accounting.request_rejected(exchange)
    assert orjson.dumps(accounting.figures(11.0)) == orjson.dumps(FIGURES)
