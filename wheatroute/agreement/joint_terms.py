"""The rules by which two versions of the settings are joined: what lies within both. No I/O.

While one process acts on one version and another on the next, every process acts within both. A table has a
line for each key that the decision module or a front end acts on. Joining never loosens anything: of two
different values the stricter one counts, and a key that can't be joined says how it changes instead.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import replace
from math import inf
from typing import Any, TypeVar

from wheatroute.balancing.interface import Idempotency
from wheatroute.balancing.settings import DecisionSettings, RequestClass, TenantQuota
from wheatroute.platform_settings import SETTING_KEYS
from wheatroute.wire_names import DEDUPLICATION_GROUP_NAMES, IDEMPOTENCY_NAMES

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
    "can_hedge": BOTH,
    "can_cancel": FREE,
    "can_probe": BOTH,
    "has_peers": OWN,
    "can_advise_retry": FREE,
    "max_retry_after_s": MINIMUM,
    "max_attempts": MINIMUM,
    "connect_timeout_s": FREE,
    "idle_timeout_s": MINIMUM,
    "calls_per_connection": FIXED,
    "max_open_connections": FREE,
    "excess_value_factor": FREE,
    "time_left_passed_on": FIXED,
    "connection_price": FREE,
    "crossing_price": FREE,
    "waste_price": FREE,
    "late_price": FREE,
    "report_how": FIXED,
    "reported": FIXED,
    "work_counts": FREE,
    "list_on_request": FIXED,
    "max_servers_per_tick": OWN,
    "answer_slack_s": MINIMUM,
    "list_max_age_s": MINIMUM,
    "warmup_s": MAXIMUM,
    "warmup_initial_share": MINIMUM,
    "drain_grace_s": MINIMUM,
    "overload_window_s": MINIMUM,
    "overload_multiple": MINIMUM,
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
    "idempotency": STRICT,
    "deduplication_group": STRICT,
    "retry_window": MINIMUM,
    "target_latency": MINIMUM,
    "deadline": MINIMUM,
    "stretch": FREE,
    "value": FREE,
    "late_value": FREE,
    "is_streamed": FIXED,
    "paths": ROUTE,
    "methods": ROUTE,
}
TENANT = {"quota": MINIMUM, "portion": FREE}
CONSERVATIVE_WARMUP_RATIO = 0.25
PARTS = ("settings", "file")  # of a version: for the platform's node, and for the fronts of the TOML file
FILE_KEYS = ("nodes", "traffic_types", "customers", "rules")  # of its part for the TOML file

_PICK: dict[str, Callable[[Any, Any], Any]] = {
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
PATHS = {path: TERMS[name] for name, (path, _) in SETTING_KEYS.items()} | _OTHER_PATHS
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


def joined(old: DecisionSettings, new: DecisionSettings) -> DecisionSettings:
    """Settings within both; their classes and tenants stand under the same numbers in both."""
    return replace(
        _joined(TERMS, old, new),
        request_classes=[
            _joined(REQUEST_CLASS, *pair)
            for pair in zip(old.request_classes, new.request_classes, strict=True)
        ],
        tenants=[_joined(TENANT, *pair) for pair in zip(old.tenants, new.tenants, strict=True)],
    )


_Joinable = TypeVar("_Joinable", DecisionSettings, RequestClass, TenantQuota)


def _joined(table: Mapping[str, str], old: _Joinable, new: _Joinable) -> _Joinable:
    """`old` with each field that the table joins taken from both."""
    return replace(
        old,
        **{
            field: _PICK[rule](getattr(old, field), getattr(new, field))
            for field, rule in table.items()
            if rule in _PICK
        },
    )


def absent(request_class: RequestClass) -> RequestClass:
    """The class as it counts in a version that doesn't have it: nothing comes in of it any more."""
    return replace(request_class, value=0.0, late_value=0.0)


def conservative(terms: DecisionSettings) -> DecisionSettings:
    """What a process may do that cannot tell which version is in force: only what every version allows.

    Nothing goes out again unless it provably never ran, nothing that may have run is refused, nothing is
    hedged, and cold servers get a quarter. A first attempt is as harmless as it was.
    """
    return replace(
        terms,
        can_hedge=False,
        overload_multiple=terms.overload_multiple * CONSERVATIVE_WARMUP_RATIO,
        request_classes=[
            replace(
                one,
                can_trial=one.idempotency == Idempotency.IDEMPOTENT,
                idempotency=Idempotency.NON_IDEMPOTENT,
            )
            for one in terms.request_classes
        ],
    )


def differences(old: Mapping[str, Any], new: Mapping[str, Any]) -> list[tuple[str, Any, Any, str]]:
    """What differs between two settings: path, both values, and what may be done meanwhile."""
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
            "utility": "value",
            "overdue-utility": "late_value",
            "repeat-window": "retry_window",
            "effect": "idempotency",
            "group": "deduplication_group",
            "streamed": "is_streamed",
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
    """Keys that no version may have: unknown ones, and those that are each process's own; a line each."""
    if not isinstance(settings, dict):
        return ["settings: is no table"]
    out = []
    for key, derived in (("traffic-types", CLASS_KEYS), ("tenants", TENANT_KEYS)):
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
            for name in sorted(one.keys() - derived)
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
    for path, default in SETTING_KEYS.values()
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
_BOOLEANS = {path for path, default in SETTING_KEYS.values() if isinstance(default, bool)} | {"streamed"}
_ONE_OF: dict[str, list[str]] = {"effect": list(IDEMPOTENCY_NAMES), "group": list(DEDUPLICATION_GROUP_NAMES)}


def _value_error(path: str, value: Any) -> str:
    """Why a value cannot be that of a key; a version must not break what it reaches."""
    if path in _NUMBER_KEYS and (
        isinstance(value, bool) or not isinstance(value, int | float) or not 0.0 <= value < inf
    ):
        return f"is no number from 0 on: {value!r}"
    if path == "hard-stop" and not value:
        return "is 0"
    if path in _BOOLEANS and not isinstance(value, bool):
        return f"is neither true nor false: {value!r}"
    if path in _ONE_OF and value not in _ONE_OF[path]:
        return f"is none of {', '.join(_ONE_OF[path])}: {value!r}"
    return ""


def without_own(settings: Mapping[str, Any]) -> tuple[dict[str, Any], list[str]]:
    """Settings without the keys that each process has of its own, and which those were."""
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
