"""Translates the platform's settings, a JSON object with its own key names, to decision settings. No I/O.

Missing keys get a default; unknown keys are ignored. Types are not checked here but in
`wheatroute/net/node_settings.py` and, for versions of the settings, `wheatroute/agreement/setting_check.py`.
"""

from collections.abc import Mapping
from typing import Any

from wheatroute.balancing.interface import DeduplicationGroup, Idempotency
from wheatroute.balancing.settings import DecisionSettings, RequestClass, TenantQuota
from wheatroute.wire_names import DEDUPLICATION_GROUP_NAMES, IDEMPOTENCY_NAMES, REPORT_FIGURES

# Maps each field of `DecisionSettings` to the path of its key and the default for a missing key.
SETTING_KEYS: dict[str, tuple[str, Any]] = {
    "nodes": ("balancers", 1),
    "node": ("me", 0),
    "tick": ("tick", 0.005),
    "tier": ("tier", 0),
    "can_hedge": ("allowed.second-copies", False),
    "can_cancel": ("allowed.cancel", False),
    "can_probe": ("allowed.probes", False),
    "has_peers": ("allowed.peers", False),
    "can_advise_retry": ("allowed.retry-after", False),
    "max_retry_after_s": ("allowed.max-retry-after", 0.0),
    "max_attempts": ("allowed.most-relays", 1),
    "connect_timeout_s": ("allowed.connect-timeout", 0.0),
    "idle_timeout_s": ("allowed.conn-idle", float("inf")),
    "calls_per_connection": ("allowed.streams-per-conn", 1),
    "max_open_connections": ("allowed.max-open", 0),
    "excess_value_factor": ("excess-utility", 1.0),
    "time_left_passed_on": ("family-info.passes-deadline", None),
    "connection_price": ("tariffs.connection", 0.0),
    "crossing_price": ("tariffs.cross-zone", 0.0),
    "waste_price": ("tariffs.waste", 0.0),
    "late_price": ("tariffs.late-fail", 0.0),
    "report_how": ("report.how", "none"),
    "answer_slack_s": ("rules.answer-slack", 0.0),
    "list_max_age_s": ("rules.ask-within", 0.0),
    "warmup_s": ("rules.cold", 0.0),
    "warmup_initial_share": ("rules.cold-share", 1.0),
    "drain_grace_s": ("rules.drain-grace", 0.0),
    "overload_window_s": ("rules.fall", 0.0),
    "overload_multiple": ("rules.fall-multiple", 1.0),
}


def decision_settings(info: Mapping[str, Any], zones: Mapping[str, int]) -> DecisionSettings:
    """Returns the decision settings for the platform's settings; `zones` maps zone names to numbers."""
    values = {field: _at_path(info, path, default) for field, (path, default) in SETTING_KEYS.items()}
    return DecisionSettings(
        **values,
        zone=zones.get(info.get("zone", ""), 0),
        zones=max(1, len(info.get("dcs") or [])),
        tiers=len(info.get("tiers") or [None]),
        list_on_request=info.get("membership-mode") == "on_request",
        reported=[REPORT_FIGURES.get(name, name) for name in _at_path(info, "report.fields", [])],
        work_counts=info.get("utility-basis") == "work",
        request_classes=[_request_class(fields) for fields in info.get("traffic-types") or []],
        tenants=[
            TenantQuota(fields.get("portion", 0.0), fields.get("quota-rps", 0.0))
            for fields in info.get("tenants") or []
        ],
    )


def _at_path(info: Mapping[str, Any], path: str, default: Any) -> Any:
    """Returns the value at a path of dot-separated keys; `default` if a key is missing or its value null."""
    value: Any = info
    for key in path.split("."):
        value = value.get(key) if isinstance(value, dict) else None
    return default if value is None else value


def _request_class(info: Mapping[str, Any]) -> RequestClass:
    deadline = info.get("hard-stop", 0.0)
    return RequestClass(
        target_latency=info.get("target-time", deadline),
        stretch=info.get("aim-stretch", 0.0),
        deadline=deadline,
        value=info.get("utility", 1.0),
        late_value=info.get("overdue-utility", 0.0),
        # An unknown value is treated as the strictest one.
        idempotency=IDEMPOTENCY_NAMES.get(info.get("effect", ""), Idempotency.NON_IDEMPOTENT),
        deduplication_group=DEDUPLICATION_GROUP_NAMES.get(info.get("group", "all"), DeduplicationGroup.CELL),
        retry_window=info.get("repeat-window", 0.0),
        is_streamed=info.get("streamed", False),
    )
