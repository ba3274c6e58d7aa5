"""The rule of each setting while two versions are joint, and the terms that keep the limits of both. No I/O.

The tables have a line for every key that the decisions, a node or the processor act on. Joining never loosens
anything: of two different values the stricter one counts, and a key that can't be joined says how it changes
instead.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from math import inf
from typing import Any

from wheatroute import words
from wheatroute.balancing.interface import Idempotency

MINIMUM, MAXIMUM, BOTH, STRICT = "the smaller", "the larger", "only if both", "the stricter"
FREE = "may differ: the old one until the new one is in force"
FIXED = "changes with a restart only"
OWN = "each process has its own"
ROUTE = "the old one until the new one is in force: who asks too early or late is refused unharmed"

TERMS = {
    "nodes": MAXIMUM,
    "node": OWN,
    "tick": FIXED,
    "tier": FIXED,
    "tiers": FIXED,
    "zones": FIXED,
    "zone": OWN,
    "hedges": BOTH,
    "withdrawals": FREE,
    "probes": BOTH,
    "peers": OWN,
    "refusal_advice": FREE,
    "longest_advice": MINIMUM,
    "most_attempts": MINIMUM,
    "connect_within": FREE,
    "idle_closed": MINIMUM,
    "calls_per_connection": FIXED,
    "most_open": FREE,
    "excess_worth": FREE,
    "time_left_passed_on": FIXED,
    "connection_price": FREE,
    "crossing_price": FREE,
    "waste_price": FREE,
    "late_price": FREE,
    "report_how": FIXED,
    "reported": FIXED,
    "work_counts": FREE,
    "list_on_request": FIXED,
    "large": OWN,
    "answer_slack": MINIMUM,
    "ask_within": MINIMUM,
    "cold_time": MAXIMUM,
    "cold_share": MINIMUM,
    "drain_grace": MINIMUM,
    "fall_span": MINIMUM,
    "fall_multiple": MINIMUM,
}
# the TOML file, by table: what a version's part for it holds, and what each process keeps to itself
FILE = {
    "File": {
        "name": OWN,
        "seed": OWN,
        "nodes": MAXIMUM,
        "node": OWN,
        "pools": OWN,
        "traffic_types": STRICT,
        "customers": MINIMUM,
        "processor": OWN,
        "snapshot": OWN,
        "agreement": OWN,
    },
    "RequestClass": {
        "name": ROUTE,
        "effect": STRICT,
        "paths": ROUTE,
        "methods": ROUTE,
        "hard_stop": MINIMUM,
        "target_time": MINIMUM,
        "utility": FREE,
        "late_utility": FREE,
        "group": STRICT,
        "repeat_window": MINIMUM,
    },
    "Tenant": {"name": ROUTE, "rate": MINIMUM},
    "Rules": {
        "cold_time": MAXIMUM,
        "cold_share": MINIMUM,
        "drain_grace": MINIMUM,
        "fall_span": MINIMUM,
        "fall_multiple": MINIMUM,
        "answer_slack": MINIMUM,
    },
}
# the platform's file beside its settings: none of it is in a version
BOOT = {
    name: OWN
    for name in (
        "name",
        "listen",
        "discovery",
        "seed",
        "limits",
        "known",
        "settings",
        "peers",
        "work_header",
        "agreement",
        "servers",
        "rollout",
        "beside",
    )
}
# effects and groups are numbered from the loosest to the strictest, so the larger one binds
REQUEST_CLASS = {
    "effect": STRICT,
    "group": STRICT,
    "repeat_window": MINIMUM,
    "target_latency": MINIMUM,
    "deadline": MINIMUM,
    "stretch": FREE,
    "worth": FREE,
    "late_worth": FREE,
    "streamed": FIXED,
    "paths": ROUTE,
    "methods": ROUTE,
}
TENANT = {"quota": MINIMUM, "portion": FREE}
ABSENT_CLASS = {"worth": 0.0, "late_worth": 0.0}  # nothing comes in of it any more
ABSENT_TENANT = {"quota": 0.0, "portion": 0.0}
CONSERVATIVE_WARMUP_RATIO = 0.25
PARTS = ("settings", "file")  # of a version: for the platform's node, and for the fronts of the TOML file
FILE_KEYS = ("nodes", "traffic_types", "customers", "rules")  # of its part for the TOML file

_JOIN: dict[str, Callable[[Any, Any], Any]] = {
    MINIMUM: min,
    MAXIMUM: max,
    STRICT: max,
    BOTH: lambda old, new: old and new,
}

# the settings' other keys, by what becomes of them under our names
_OTHER_PATHS = {
    "zone": OWN,
    "dcs": FIXED,
    "skus": FIXED,
    "tiers": FIXED,
    "membership-mode": FIXED,
    "report.fields": FIXED,
    "utility-basis": FREE,
}
PATHS = {path: TERMS[name] for name, (path, _) in words.TERMS.items()} | _OTHER_PATHS
CLASS_KEYS = {
    "name",
    "effect",
    "group",
    "target-time",
    "hard-stop",
    "aim-stretch",
    "utility",
    "overdue-utility",
    "repeat-window",
    "streamed",
}
TENANT_KEYS = {"name", "portion", "quota-rps"}


def joined(old: Mapping[str, Any], new: Mapping[str, Any]) -> dict[str, Any]:
    """Return terms that keep the limits of both; classes and tenants have the same numbers in both."""
    out = _joined(TERMS, old, new)
    out["request_classes"] = [
        _joined(REQUEST_CLASS, one, other)
        for one, other in zip(old["request_classes"], new["request_classes"], strict=True)
    ]
    out["tenants"] = [
        _joined(TENANT, one, other) for one, other in zip(old["tenants"], new["tenants"], strict=True)
    ]
    return out


def _joined(table: Mapping[str, str], old: Mapping[str, Any], new: Mapping[str, Any]) -> dict[str, Any]:
    return {
        key: _JOIN[table[key]](value, new[key]) if table[key] in _JOIN else value
        for key, value in old.items()
        if key in table
    }


def conservative(terms: Mapping[str, Any]) -> dict[str, Any]:
    """Return terms for a process that does not know which version is active: what every version allows.

    No request is retried unless it provably never ran, none that may have run is rejected, nothing is hedged,
    and servers that warm up get a quarter. A first attempt is as harmless as it was.
    """
    return {
        **terms,
        "hedges": False,
        "fall_multiple": terms["fall_multiple"] * CONSERVATIVE_WARMUP_RATIO,
        "request_classes": [
            kind
            | {"harmless": kind["effect"] == Idempotency.IDEMPOTENT, "effect": Idempotency.NON_IDEMPOTENT}
            for kind in terms["request_classes"]
        ],
    }


def differences(old: Mapping[str, Any], new: Mapping[str, Any]) -> list[tuple[str, Any, Any, str]]:
    """Return what differs between two contents: path, both values, and the rule while they are joint."""
    out = []
    olds, news = _paths(old), _paths(new)
    for path in sorted(olds.keys() | news.keys()):
        before, after = olds.get(path), news.get(path)
        if before != after:
            out.append((path, before, after, _rule(path)))
    return out


def _rule(path: str) -> str:
    part, _, path = path.partition(".")
    if part == "file":
        first, _, key = path.partition(".")
        table = {"traffic_types": "RequestClass", "customers": "Tenant", "rules": "Rules"}.get(first, "File")
        return FILE[table].get(key.rsplit(".", 1)[-1] or first, "unknown")
    if path.startswith("traffic-types."):
        name = {
            "target-time": "target_latency",
            "hard-stop": "deadline",
            "aim-stretch": "stretch",
            "utility": "worth",
            "overdue-utility": "late_worth",
            "repeat-window": "repeat_window",
        }
        key = path.rsplit(".", 1)[1]
        return ROUTE if path.endswith(".name") else REQUEST_CLASS[name.get(key, key)]
    if path.startswith("tenants."):
        key = path.rsplit(".", 1)[1]
        return ROUTE if key == "name" else TENANT["quota" if key == "quota-rps" else "portion"]
    return PATHS.get(path, "unknown")


def _paths(told: Any, before: str = "") -> dict[str, Any]:
    if isinstance(told, dict):
        return {
            path: value
            for key, one in told.items()
            for path, value in _paths(one, f"{before}.{key}" if before else str(key)).items()
        }
    if isinstance(told, list) and told and all(isinstance(one, dict) and "name" in one for one in told):
        return {path: value for one in told for path, value in _paths(one, f"{before}.{one['name']}").items()}
    return {before: told}


def setting_errors(settings: Any) -> list[str]:
    """Return a line for each error: unknown keys, keys that each process has of its own, unfit values."""
    if not isinstance(settings, dict):
        return ["settings: is no table"]
    out = []
    for key, known in (("traffic-types", CLASS_KEYS), ("tenants", TENANT_KEYS)):
        told = settings.get(key, [])
        if not isinstance(told, list) or not all(
            isinstance(one, dict) and isinstance(one.get("name"), str) for one in told
        ):
            out.append(f"settings.{key}: is no list of tables with names")
            continue
        names = [one["name"] for one in told]
        out += [
            f"settings.{key}: two of the name {name!r}"
            for name in sorted(set(names))
            if names.count(name) > 1
        ]
        out += [
            f"settings.{key}.{one['name']}.{name}: is no key that this program knows"
            for one in told
            for name in sorted(one.keys() - known)
        ]
        out += [
            f"settings.{key}.{one['name']}.{name}: {error}"
            for one in told
            for name, value in sorted(one.items())
            if (error := _value_error(name, value))
        ]
    rest = {key: one for key, one in settings.items() if key not in ("traffic-types", "tenants")}
    for path, value in _paths(rest).items():
        if path not in PATHS:
            out.append(f"settings.{path}: is no key that this program knows")
        elif PATHS[path] == OWN:
            out.append(f"settings.{path}: {OWN}")
        elif error := _value_error(path, value):
            out.append(f"settings.{path}: {error}")
    return out


_NUMBER_KEYS = {
    path
    for path, default in words.TERMS.values()
    if isinstance(default, int | float) and not isinstance(default, bool)
} | {
    "target-time",
    "hard-stop",
    "aim-stretch",
    "utility",
    "overdue-utility",
    "repeat-window",
    "portion",
    "quota-rps",
}
_BOOLEANS = {path for path, default in words.TERMS.values() if isinstance(default, bool)} | {"streamed"}
_CHOICES: dict[str, list[str]] = {"effect": list(words.EFFECTS), "group": list(words.GROUPS)}


def _value_error(path: str, value: Any) -> str:
    """Return why a value cannot be that of a key; empty if it can."""
    if path in _NUMBER_KEYS and (
        isinstance(value, bool) or not isinstance(value, int | float) or not 0.0 <= value < inf
    ):
        return f"is no number from 0 on: {value!r}"
    if path == "hard-stop" and not value:
        return "is 0"
    if path in _BOOLEANS and not isinstance(value, bool):
        return f"is neither true nor false: {value!r}"
    if path in _CHOICES and value not in _CHOICES[path]:
        return f"is none of {', '.join(_CHOICES[path])}: {value!r}"
    return ""


def without_own(settings: Mapping[str, Any]) -> tuple[dict[str, Any], list[str]]:
    """Return settings without the keys that each process has of its own, and these keys."""
    out, left = dict(settings), []
    for path, rule in PATHS.items():
        if rule == OWN and "." not in path and path in out:
            del out[path]
            left.append(path)
        elif rule == OWN and "." in path:
            table, key = path.split(".", 1)
            if isinstance(out.get(table), dict) and key in out[table]:
                out[table] = {name: one for name, one in out[table].items() if name != key}
                left.append(path)
    return out, left
