"""Joins the settings of two versions into settings that keep the limits of both. No I/O.

A process that knows of a pending version uses the joined settings, so that it stays within the limits of
processes on either version.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Any, TypeVar

from wheatroute.agreement.join_rules import (
    REQUEST_CLASS_RULES,
    SETTING_RULES,
    TENANT_RULES,
    JoinRule,
)
from wheatroute.balancing.interface import Idempotency
from wheatroute.balancing.settings import DecisionSettings, RequestClass, TenantQuota

# Conservative processes use this fraction of the setting `overload_multiple`, which limits the load of
# servers that are warming up.
CONSERVATIVE_WARMUP_RATIO = 0.25

_JOIN: dict[JoinRule, Callable[[Any, Any], Any]] = {
    JoinRule.MINIMUM: min,
    JoinRule.MAXIMUM: max,
    JoinRule.STRICTER: max,
    JoinRule.BOTH: lambda old, new: old and new,
}
_Joinable = TypeVar("_Joinable", DecisionSettings, RequestClass, TenantQuota)


def joined(old: DecisionSettings, new: DecisionSettings) -> DecisionSettings:
    """Returns settings that keep the limits of both.

    Request classes and tenants must have the same numbers in both.
    """
    class_pairs = zip(old.request_classes, new.request_classes, strict=True)
    tenant_pairs = zip(old.tenants, new.tenants, strict=True)
    return replace(
        join_fields(SETTING_RULES, old, new),
        request_classes=[join_fields(REQUEST_CLASS_RULES, *pair) for pair in class_pairs],
        tenants=[join_fields(TENANT_RULES, *pair) for pair in tenant_pairs],
    )


def join_fields(rules: Mapping[str, JoinRule], old: _Joinable, new: _Joinable) -> _Joinable:
    """Returns `old` with each field that has a joining rule replaced by the joined value."""
    return replace(
        old,
        **{
            field: _JOIN[rule](getattr(old, field), getattr(new, field))
            for field, rule in rules.items()
            if rule in _JOIN
        },
    )


def without_value(request_class: RequestClass) -> RequestClass:
    """Returns the settings to use for a request class under a version that does not define it.

    These are the settings given (its last definition), with value and late value 0.
    """
    return replace(request_class, value=0.0, late_value=0.0)


def conservative(settings: DecisionSettings) -> DecisionSettings:
    """Returns settings that every version allows, for a process that cannot tell which version is active.

    A request is sent again only if it provably never ran. A request that may have run is failed, not
    rejected, since a rejection tells the client that it can safely send the request again. No request is
    hedged, and servers that are warming up get a quarter of their usual load. First attempts are not
    restricted, since they are safe under every version. A half-open trial is always a first attempt, so
    requests of an idempotent class may still be trials.
    """
    return replace(
        settings,
        can_hedge=False,
        overload_multiple=settings.overload_multiple * CONSERVATIVE_WARMUP_RATIO,
        request_classes=[_conservative_class(request_class) for request_class in settings.request_classes],
    )


def _conservative_class(request_class: RequestClass) -> RequestClass:
    return replace(
        request_class,
        can_trial=request_class.idempotency == Idempotency.IDEMPOTENT,
        idempotency=Idempotency.NON_IDEMPOTENT,
    )
