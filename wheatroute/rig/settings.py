"""The settings that a run starts with, changes of them, and the processor's file for them."""

from __future__ import annotations

import json
from copy import deepcopy
from typing import Any

EFFECTS = {"retryable": "pure", "dedup": "receipted", "fragile": "effectful"}
SETTINGS: dict[str, Any] = {
    "balancers": 1,
    "tick": 0.005,
    "tier": 0,
    "tiers": ["shop"],
    "skus": ["toy"],
    "membership-mode": "pushed",
    "utility-basis": "request",
    "excess-utility": 0.05,
    "allowed": {
        "cancel": True,
        "conn-idle": 30.0,
        "connect-timeout": 0.15,
        "max-retry-after": 2.0,
        "most-relays": 5,
        "retry-after": True,
        "second-copies": True,
        "streams-per-conn": 1,
    },
    "report": {"how": "answers", "fields": ["active"]},
    "rules": {
        "answer-slack": 0.02,
        "ask-within": 10.0,
        "cold": 9.0,
        "cold-share": 0.37,
        "drain-grace": 2.0,
        "fall": 1.0,
        "fall-multiple": 3.0,
    },
    "tenants": [{"name": "shop", "portion": 1.0, "quota-rps": 1000.0}],
    "traffic-types": [
        {
            "name": "look",
            "effect": "retryable",
            "group": "all",
            "target-time": 1.0,
            "hard-stop": 2.0,
            "utility": 5.0,
            "overdue-utility": 0.5,
            "repeat-window": 2.0,
        },
        {
            "name": "change",
            "effect": "dedup",
            "group": "all",
            "target-time": 1.0,
            "hard-stop": 2.0,
            "utility": 8.0,
            "overdue-utility": 0.2,
            "repeat-window": 2.0,
        },
        {
            "name": "buy",
            "effect": "fragile",
            "group": "all",
            "target-time": 1.0,
            "hard-stop": 2.0,
            "utility": 10.0,
            "overdue-utility": 0.3,
            "repeat-window": 2.0,
        },
    ],
}


def change(settings: dict[str, Any], changes: dict[str, Any], nodes: int) -> dict[str, Any]:
    """Settings for all nodes, some of them changed."""
    out = deepcopy(settings) | {"balancers": nodes}
    out.pop("me", None)
    out.pop("zone", None)
    for path, value in changes.items():
        table, _, key = path.partition("__")
        named = [
            one for name in ("traffic-types", "tenants") for one in out.get(name, []) if one["name"] == table
        ]
        if not key:
            out[table] = value
        elif named:
            named[0][key.replace("_", "-")] = value
        else:
            out.setdefault(table, {})[key.replace("_", "-")] = value
    return out


def file_text(settings: dict[str, Any], nodes: int, own: dict[str, Any]) -> str:
    """The processor's file for settings in the platform's words; `own` is one process's alone, as TOML."""
    own = {
        "list_service": '"127.0.0.1:1"',
        "listen": '"127.0.0.1:1"',
        "name": '"any"',
        "node": 0,
        "workers": 1,
    } | own
    rules = settings["rules"]
    lines = [
        f"name = {own['name']}",
        f"nodes = {nodes}",
        f"node = {own['node']}",
        "[[pools]]",
        'name = "shop"',
        f"list_service = {own['list_service']}",
        f"zones = {json.dumps(settings.get('dcs', []))}",
        "[pools.rules]",
    ]
    lines += [
        f"{name} = {rules[key]}"
        for name, key in (
            ("cold_time", "cold"),
            ("cold_share", "cold-share"),
            ("drain_grace", "drain-grace"),
            ("fall_span", "fall"),
            ("fall_multiple", "fall-multiple"),
            ("answer_slack", "answer-slack"),
        )
    ]
    for kind in settings["traffic-types"]:
        lines += [
            "[[traffic_types]]",
            f'paths = ["/{kind["name"]}"]',
            f'effect = "{EFFECTS[kind["effect"]]}"',
            f"late_utility = {kind['overdue-utility']}",
        ]
        lines += [
            f"{key.replace('-', '_')} = {json.dumps(kind[key])}"
            for key in ("name", "group", "target-time", "hard-stop", "utility", "repeat-window")
            if key in kind
        ]
    for tenant in settings["tenants"]:
        lines += ["[[customers]]", f"name = {json.dumps(tenant['name'])}", f"rate = {tenant['quota-rps']}"]
    return "\n".join(
        [
            *lines,
            "[processor]",
            f"listen = {own['listen']}",
            'pool = "shop"',
            "tries = 4",
            f"workers = {own['workers']}",
            "[processor.headers]",
            'request_id = "request-id"',
            "",
        ]
    )
