"""The initial settings of a run, with the keys of the platform, and changes to them."""

from __future__ import annotations

from collections.abc import Mapping
from copy import deepcopy
from typing import Any

# A document of settings, or a table of it, with the keys of the platform.
Settings = dict[str, Any]

DEFAULT_SETTINGS: Settings = {
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


def with_changes(settings: Settings, changes: Mapping[str, object], node_count: int) -> Settings:
    """Returns the settings for all nodes, with changes by path.

    The path `look__effect` means the key `effect` of the request class, tenant or table `look`; a single
    underscore in such a key becomes a hyphen. A path without a double underscore is a top-level key.
    """
    changed = deepcopy(settings) | {"balancers": node_count}
    changed.pop("me", None)
    changed.pop("zone", None)
    for path, value in changes.items():
        table, _, key = path.partition("__")
        if key:
            _table_of(changed, table)[key.replace("_", "-")] = value
        else:
            changed[table] = value
    return changed


def _table_of(settings: Settings, name: str) -> Settings:
    """Returns the request class or tenant of this name, else the table of this name (added if missing)."""
    for key in ("traffic-types", "tenants"):
        for table in settings.get(key, []):
            if table["name"] == name:
                found: Settings = table
                return found
    added: Settings = settings.setdefault(name, {})
    return added
