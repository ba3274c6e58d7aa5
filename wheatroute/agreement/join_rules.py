"""The rules by which two versions of the settings are joined: a rule for each key. No I/O.

A table has a line for each key that the decision module or a front end acts on. Joining never loosens
anything: of two different values the stricter one counts, and a key that cannot be joined says how it changes
instead.
"""

from __future__ import annotations

from enum import StrEnum

from wheatroute.platform_settings import SETTING_KEYS


class JoinRule(StrEnum):
    """What holds while one process acts on one version and another on the next, as printed."""

    MINIMUM = "the smaller"
    MAXIMUM = "the larger"
    BOTH = "only if both"
    STRICT = "the stricter"
    FREE = "may differ: the old one until the new one is in force"
    FIXED = "changes with a restart only"
    OWN = "each process has its own"
    ROUTE = "the old one until the new one is in force: who asks too early or late is refused unharmed"
    UNKNOWN = "unknown"  # of a key that no table has


NODE_PART, FILE_PART = (
    "settings",
    "file",
)  # of a version: for the platform's node, for the TOML file's processes
VERSION_PARTS = (NODE_PART, FILE_PART)
FILE_KEYS = ("nodes", "traffic_types", "customers", "rules")  # of the part for the TOML file

# the decision settings, by field
SETTING_RULES: dict[str, JoinRule] = {
    "nodes": JoinRule.MAXIMUM,
    "node": JoinRule.OWN,
    "tick": JoinRule.FIXED,
    "tier": JoinRule.FIXED,
    "tiers": JoinRule.FIXED,
    "zones": JoinRule.FIXED,
    "zone": JoinRule.OWN,
    "can_hedge": JoinRule.BOTH,
    "can_cancel": JoinRule.FREE,
    "can_probe": JoinRule.BOTH,
    "has_peers": JoinRule.OWN,
    "can_advise_retry": JoinRule.FREE,
    "max_retry_after_s": JoinRule.MINIMUM,
    "max_attempts": JoinRule.MINIMUM,
    "connect_timeout_s": JoinRule.FREE,
    "idle_timeout_s": JoinRule.MINIMUM,
    "calls_per_connection": JoinRule.FIXED,
    "max_open_connections": JoinRule.FREE,
    "excess_value_factor": JoinRule.FREE,
    "time_left_passed_on": JoinRule.FIXED,
    "connection_price": JoinRule.FREE,
    "crossing_price": JoinRule.FREE,
    "waste_price": JoinRule.FREE,
    "late_price": JoinRule.FREE,
    "report_how": JoinRule.FIXED,
    "reported": JoinRule.FIXED,
    "work_counts": JoinRule.FREE,
    "list_on_request": JoinRule.FIXED,
    "max_servers_per_tick": JoinRule.OWN,
    "answer_slack_s": JoinRule.MINIMUM,
    "list_max_age_s": JoinRule.MINIMUM,
    "warmup_s": JoinRule.MAXIMUM,
    "warmup_initial_share": JoinRule.MINIMUM,
    "drain_grace_s": JoinRule.MINIMUM,
    "overload_window_s": JoinRule.MINIMUM,
    "overload_multiple": JoinRule.MINIMUM,
}
# the TOML file, by table: what a version's part for it holds, and what each process keeps to itself
FILE_RULES: dict[str, dict[str, JoinRule]] = {
    "File": {
        "name": JoinRule.OWN,
        "seed": JoinRule.OWN,
        "nodes": JoinRule.MAXIMUM,
        "node": JoinRule.OWN,
        "pools": JoinRule.OWN,
        "traffic_types": JoinRule.STRICT,
        "customers": JoinRule.MINIMUM,
        "processor": JoinRule.OWN,
        "snapshot": JoinRule.OWN,
        "agreement": JoinRule.OWN,
    },
    "RequestClass": {
        "name": JoinRule.ROUTE,
        "effect": JoinRule.STRICT,
        "paths": JoinRule.ROUTE,
        "methods": JoinRule.ROUTE,
        "hard_stop": JoinRule.MINIMUM,
        "target_time": JoinRule.MINIMUM,
        "utility": JoinRule.FREE,
        "late_utility": JoinRule.FREE,
        "group": JoinRule.STRICT,
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
# the platform's file beside its settings: none of it is in a version
NODE_FILE_RULES: dict[str, JoinRule] = {
    name: JoinRule.OWN
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
REQUEST_CLASS_RULES: dict[str, JoinRule] = {
    "idempotency": JoinRule.STRICT,
    "deduplication_group": JoinRule.STRICT,
    "retry_window": JoinRule.MINIMUM,
    "target_latency": JoinRule.MINIMUM,
    "deadline": JoinRule.MINIMUM,
    "stretch": JoinRule.FREE,
    "value": JoinRule.FREE,
    "late_value": JoinRule.FREE,
    "is_streamed": JoinRule.FIXED,
    "paths": JoinRule.ROUTE,
    "methods": JoinRule.ROUTE,
}
TENANT_RULES: dict[str, JoinRule] = {"quota": JoinRule.MINIMUM, "portion": JoinRule.FREE}

# the settings' other keys, by what becomes of them
_OTHER_PATH_RULES = {
    "zone": JoinRule.OWN,
    "dcs": JoinRule.FIXED,
    "skus": JoinRule.FIXED,
    "tiers": JoinRule.FIXED,
    "membership-mode": JoinRule.FIXED,
    "report.fields": JoinRule.FIXED,
    "utility-basis": JoinRule.FREE,
}
# the platform's settings, by path
PATH_RULES = {path: SETTING_RULES[name] for name, (path, _) in SETTING_KEYS.items()} | _OTHER_PATH_RULES
# keys of a request class in the platform's settings, and the fields that they give
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
