"""Derives the decision settings of nodes from a plan. No I/O."""

from __future__ import annotations

from wheatroute.balancing.interface import DeduplicationGroup, Idempotency
from wheatroute.balancing.settings import DecisionSettings, RequestClass, TenantQuota
from wheatroute.fleet.plan import FleetPlan, RequestClassPlan

IDEMPOTENCY = {
    "pure": Idempotency.IDEMPOTENT,
    "receipted": Idempotency.KEYED,
    "effectful": Idempotency.NON_IDEMPOTENT,
}
DEDUPLICATION_GROUPS = {
    "all": DeduplicationGroup.ALL,
    "zone": DeduplicationGroup.ZONE,
    "cell": DeduplicationGroup.CELL,
}
REPORTED_NAMES = ("held", "rate", "error_rate")  # names of the values in `LoadReporter.report`
MAX_RETRY_AFTER_S = 2.0
LIST_MAX_AGE_S = 10.0
MAX_OPEN_CONNECTIONS = 20_000


def decision_settings(
    plan: FleetPlan, depth: int, number: int, zone: int, node_count: int
) -> DecisionSettings:
    """Returns the settings of node `number` of the `node_count` nodes that send to the tier at this depth."""
    tier, network, rules = plan.tiers[depth], plan.network, plan.rules
    quota = plan.quota()
    has_reports = tier.reports is not None
    return DecisionSettings(
        nodes=node_count,
        node=number,
        tick=plan.tick_s,
        tier=depth,
        tiers=len(plan.tiers),
        zone=zone,
        zones=len(network.zones),
        can_hedge=plan.can_hedge,
        can_cancel=tier.cancellable != "none",
        can_probe=True,
        has_peers=False,
        can_advise_retry=True,
        max_retry_after_s=MAX_RETRY_AFTER_S,
        max_attempts=plan.max_attempts,
        connect_timeout_s=network.connect_timeout_s,
        idle_timeout_s=network.idle_timeout_s,
        calls_per_connection=1,
        max_open_connections=MAX_OPEN_CONNECTIONS,
        excess_value_factor=plan.clients.excess_value_factor,
        time_left_passed_on=plan.time_left_passed_on,
        connection_price=0.0,
        crossing_price=plan.crossing_price,
        waste_price=0.0,
        late_price=0.0,
        report_how="answers" if has_reports else "none",
        answer_slack_s=rules.answer_slack_s,
        list_max_age_s=LIST_MAX_AGE_S,
        warmup_s=tier.warmup_s,
        warmup_initial_share=tier.warmup_initial_share,
        drain_grace_s=rules.drain_grace_s,
        overload_window_s=rules.overload_window_s,
        overload_multiple=rules.overload_multiple,
        list_on_request=False,
        work_counts=False,
        reported=list(REPORTED_NAMES) if has_reports else [],
        request_classes=[_request_class(request_class) for request_class in plan.request_classes],
        tenants=[TenantQuota(tenant.portion, tenant.portion * quota) for tenant in plan.tenants],
    )


def _request_class(plan: RequestClassPlan) -> RequestClass:
    return RequestClass(
        target_latency=plan.target_latency_s,
        stretch=0.0,
        deadline=plan.deadline_s,
        value=plan.value,
        late_value=plan.late_value,
        idempotency=IDEMPOTENCY[plan.idempotency],
        deduplication_group=DEDUPLICATION_GROUPS[plan.deduplication_group],
        retry_window=plan.retry_window_s,
        is_streamed=False,
    )
