"""The rules by which two versions of the settings are joined, one for each key. No I/O.

The tables have an entry for each key that the decision module or a front end uses. Joining never loosens a
limit: of two different values the stricter one applies. If the values of a key cannot be joined, its rule
says how the value changes instead.
"""

from __future__ import annotations

from enum import StrEnum

from wheatroute.platform_settings import SETTING_KEYS


class JoinRule(StrEnum):
    """Which value of a key applies while processes act on two successive versions.

    The values are printed for operators, also as reasons why a process cannot use a version.
    """

    MINIMUM = "the smaller value applies"
    MAXIMUM = "the larger value applies"
    BOTH = "only if both versions allow it"
    STRICTER = "the stricter value applies"
    MAY_DIFFER = "may differ: the old value applies until the new version is in force"
    RESTART_ONLY = "can only change with a restart"
    PER_PROCESS = "specific to each process"
    ROUTE = (
        "the old value applies until the new version is in force; "
        "requests that the version in force does not define are rejected unexecuted"
    )
    UNKNOWN = "unknown"  # the key is in none of the tables below


# The keys of a version's two parts: for the platform's node, and for processes configured by a TOML file.
NODE_PART, FILE_PART = "settings", "file"
VERSION_PARTS = (NODE_PART, FILE_PART)
FILE_KEYS = ("nodes", "traffic_types", "customers", "rules")  # the keys of `FILE_PART`

# rules of the decision settings, by field of `DecisionSettings`
SETTING_RULES: dict[str, JoinRule] = {
    "nodes": JoinRule.MAXIMUM,
    "node": JoinRule.PER_PROCESS,
    "tick": JoinRule.RESTART_ONLY,
    "tier": JoinRule.RESTART_ONLY,
    "tiers": JoinRule.RESTART_ONLY,
    "zones": JoinRule.RESTART_ONLY,
    "zone": JoinRule.PER_PROCESS,
    "can_hedge": JoinRule.BOTH,
    "can_cancel": JoinRule.MAY_DIFFER,
    "can_probe": JoinRule.BOTH,
    "has_peers": JoinRule.PER_PROCESS,
    "can_advise_retry": JoinRule.MAY_DIFFER,
    "max_retry_after_s": JoinRule.MINIMUM,
    "max_attempts": JoinRule.MINIMUM,
    "connect_timeout_s": JoinRule.MAY_DIFFER,
    "idle_timeout_s": JoinRule.MINIMUM,
    "calls_per_connection": JoinRule.RESTART_ONLY,
    "max_open_connections": JoinRule.MAY_DIFFER,
    "excess_value_factor": JoinRule.MAY_DIFFER,
    "time_left_passed_on": JoinRule.RESTART_ONLY,
    "connection_price": JoinRule.MAY_DIFFER,
    "crossing_price": JoinRule.MAY_DIFFER,
    "waste_price": JoinRule.MAY_DIFFER,
    "late_price": JoinRule.MAY_DIFFER,
    "report_how": JoinRule.RESTART_ONLY,
    "reported": JoinRule.RESTART_ONLY,
    "work_counts": JoinRule.MAY_DIFFER,
    "list_on_request": JoinRule.RESTART_ONLY,
    "max_servers_per_tick": JoinRule.PER_PROCESS,
    "answer_slack_s": JoinRule.MINIMUM,
    "list_max_age_s": JoinRule.MINIMUM,
    "warmup_s": JoinRule.MAXIMUM,
    "warmup_initial_share": JoinRule.MINIMUM,
    "drain_grace_s": JoinRule.MINIMUM,
    "overload_window_s": JoinRule.MINIMUM,
    "overload_multiple": JoinRule.MINIMUM,
}
# Rules of the keys of the TOML file, by table and key. Keys that are `PER_PROCESS` are not in a version.
FILE_RULES: dict[str, dict[str, JoinRule]] = {
    "File": {
        "name": JoinRule.PER_PROCESS,
        "seed": JoinRule.PER_PROCESS,
        "nodes": JoinRule.MAXIMUM,
        "node": JoinRule.PER_PROCESS,
        "pools": JoinRule.PER_PROCESS,
        "traffic_types": JoinRule.STRICTER,
        "customers": JoinRule.MINIMUM,
        "processor": JoinRule.PER_PROCESS,
        "snapshot": JoinRule.PER_PROCESS,
        "agreement": JoinRule.PER_PROCESS,
    },
    "RequestClass": {
        "name": JoinRule.ROUTE,
        "effect": JoinRule.STRICTER,
        "paths": JoinRule.ROUTE,
        "methods": JoinRule.ROUTE,
        "hard_stop": JoinRule.MINIMUM,
        "target_time": JoinRule.MINIMUM,
        "utility": JoinRule.MAY_DIFFER,
        "late_utility": JoinRule.MAY_DIFFER,
        "group": JoinRule.STRICTER,
        "repeat_window": JoinRule.MINIMUM,
    },
    "Tenant": {"name": JoinRule.ROUTE, "rate": JoinRule.MINIMUM},
    "Rules": {
        "cold_time": JoinRule.MAXIMUM,
        "cold_share": JoinRule.MINIMUM,
        "drain_grace": JoinRule.MINIMUM,
        "fall_span": JoinRule.MINIMUM,
        "fall_multiple": JoinRule.MINIMUM,
        "answer_slack": JoinRule.MINIMUM,
    },
}
# Rules of the top-level keys of the node's file. None of them is in a version: of this file, it contains only
# keys inside the object "settings".
NODE_FILE_RULES: dict[str, JoinRule] = {
    name: JoinRule.PER_PROCESS
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
# Idempotencies and deduplication groups are numbered from the loosest to the strictest, so `STRICTER`
# applies the larger value.
REQUEST_CLASS_RULES: dict[str, JoinRule] = {
    "idempotency": JoinRule.STRICTER,
    "deduplication_group": JoinRule.STRICTER,
    "retry_window": JoinRule.MINIMUM,
    "target_latency": JoinRule.MINIMUM,
    "deadline": JoinRule.MINIMUM,
    "stretch": JoinRule.MAY_DIFFER,
    "value": JoinRule.MAY_DIFFER,
    "late_value": JoinRule.MAY_DIFFER,
    "is_streamed": JoinRule.RESTART_ONLY,
    "paths": JoinRule.ROUTE,
    "methods": JoinRule.ROUTE,
}
TENANT_RULES: dict[str, JoinRule] = {"quota": JoinRule.MINIMUM, "portion": JoinRule.MAY_DIFFER}

# rules of the platform's settings that have no field in `DecisionSettings`
_OTHER_PATH_RULES = {
    "zone": JoinRule.PER_PROCESS,
    "dcs": JoinRule.RESTART_ONLY,
    "skus": JoinRule.RESTART_ONLY,
    "tiers": JoinRule.RESTART_ONLY,
    "membership-mode": JoinRule.RESTART_ONLY,
    "report.fields": JoinRule.RESTART_ONLY,
    "utility-basis": JoinRule.MAY_DIFFER,
}
# rules of the platform's settings, by path
PATH_RULES = {path: SETTING_RULES[name] for name, (path, _) in SETTING_KEYS.items()} | _OTHER_PATH_RULES
# keys of a request class in the platform's settings, and the fields that they set
REQUEST_CLASS_FIELDS = {
    "effect": "idempotency",
    "group": "deduplication_group",
    "target-time": "target_latency",
    "hard-stop": "deadline",
    "aim-stretch": "stretch",
    "utility": "value",
    "overdue-utility": "late_value",
    "repeat-window": "retry_window",
    "streamed": "is_streamed",
}
TENANT_FIELDS = {"portion": "portion", "quota-rps": "quota"}
