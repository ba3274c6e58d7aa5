"""Usage of isolated nodes and usage before a primary's term, and the initial levels of its buckets."""

import pytest

from wheatroute.cluster.configuration import Tenant
from wheatroute.cluster.messages import USAGE_SLOT_S, QuotaDemand, QuotaGrant, UsageReport
from wheatroute.control.edge_nodes import NODE_FORGOTTEN_S, NODE_LOST_S, NODE_UNRESPONSIVE_S, EdgeNodes
from wheatroute.control.prior_usage import PriorUsage
from wheatroute.control.quotas import BucketLevels, QuotaBuckets, handle_usage_report
from wheatroute.edge.quota_leases import QuotaLeases
from wheatroute.edge.usage_history import UsageHistory

RATE, BURST, WINDOW_S = 1000.0, 500.0, 8.0
TENANT = Tenant("t", ("k",), unit="token_usage", rate_per_s=RATE, burst=BURST)


def new_primary_buckets(nodes=3, levels=None, age=0.0):
    """The buckets of a new primary, set up as after an election: the tenants are configured last."""
    buckets = QuotaBuckets(0.0, 0.0, is_first=False)
    buckets.begin_term(0.0, nodes, WINDOW_S)
    if levels is not None:
        buckets.restore({"t": BucketLevels(levels, 0.0)}, age)
    buckets.configure([TENANT], 0.0)
    return buckets


def limit_level(buckets):
    return buckets.levels()["t"].limit


def report_recent_usage(
    buckets, node, recent=(), now=0.0, span_s=WINDOW_S, isolated_usage=0.0, isolated_usage_acknowledged=0.0
):
    demand = QuotaDemand(0.0, 0.0, 0.0, isolated_usage, isolated_usage_acknowledged, tuple(recent))
    return handle_usage_report(
        buckets, EdgeNodes(), now, UsageReport(node, {"t": demand}, recent_usage_span_s=span_s)
    )


def test_restored_levels_are_applied_once_the_tenants_are_configured():
    assert limit_level(new_primary_buckets(levels=1.0)) == 1.0
    # The rate since then is added, but no bucket starts with more than it would without levels.
    assert limit_level(new_primary_buckets(levels=1.0, age=0.1)) == 101.0
    assert limit_level(new_primary_buckets(levels=BURST, age=1.0)) == 0.4 * BURST
    assert limit_level(new_primary_buckets(levels=1.0, age=5.0)) == 1.0


def test_usage_counts_for_a_tenant_whose_limit_is_removed_and_set_again():
    buckets = new_primary_buckets()
    buckets.grant(0.0, "a", "t", QuotaDemand(150.0))
    buckets.configure([Tenant("t", ("k",))], 0.0)
    buckets.configure([TENANT], 0.0)
    assert limit_level(buckets) == 50.0


@pytest.mark.parametrize("levels", [BURST, 1.0, None])
def test_once_all_nodes_have_reported_the_level_follows_from_their_prior_usage(levels):
    buckets = new_primary_buckets(levels=levels)
    report_recent_usage(buckets, "a", [100])
    report_recent_usage(buckets, "b", [100])
    assert limit_level(buckets) <= 0.4 * BURST
    report_recent_usage(buckets, "c")
    assert limit_level(buckets) == pytest.approx(BURST + RATE * USAGE_SLOT_S / 2 - 200)


def test_grants_before_the_reports_remain_deducted():
    buckets = new_primary_buckets(levels=BURST)
    buckets.grant(0.0, "a", "t", QuotaDemand(150.0))
    for node in "abc":
        report_recent_usage(buckets, node, [200])
    assert limit_level(buckets) == pytest.approx(BURST + RATE * USAGE_SLOT_S / 2 - 600 - 150)


def test_a_node_that_reports_its_recent_usage_twice_counts_once():
    buckets = new_primary_buckets()
    for _ in range(3):
        report_recent_usage(buckets, "a", [450])
    assert limit_level(buckets) == pytest.approx(BURST + RATE * USAGE_SLOT_S / 2 - 450)


def test_no_tokens_are_added_if_a_process_is_younger_than_the_window():
    buckets = new_primary_buckets()
    for node, span_s in (("a", WINDOW_S), ("b", 1.0), ("c", WINDOW_S)):
        report_recent_usage(buckets, node, [10], span_s=span_s)
    assert limit_level(buckets) == 0.4 * BURST


def test_prior_usage_of_any_span_counts():
    usage = PriorUsage()
    # used at once, more than two seconds ago: the rate has filled the bucket since then
    usage.add([0.0] * 8 + [600.0], 0.0)
    assert usage.max_level(RATE, BURST) == BURST
    usage.add([400.0] * 4, 0.0)  # used in the last second: more than the rate
    assert usage.max_level(RATE, BURST) == pytest.approx(BURST + RATE * 3.5 * USAGE_SLOT_S - 1600)
    later = PriorUsage()
    later.add([0.0, 0.0, 400.0], 2 * USAGE_SLOT_S)  # reported half a second later
    assert later.max_level(RATE, BURST) == pytest.approx(BURST + RATE * USAGE_SLOT_S / 2 - 400)


def test_isolated_usage_is_charged_once_however_often_it_is_reported():
    buckets = new_primary_buckets()
    level_before = limit_level(buckets)
    for _ in range(3):
        buckets.grant(0.0, "a", "t", QuotaDemand(isolated_usage=70.0, isolated_usage_acknowledged=20.0))
    assert limit_level(buckets) == level_before - 50
    buckets.grant(0.0, "a", "t", QuotaDemand(isolated_usage=30.0))  # a new process of that node
    assert limit_level(buckets) == level_before - 80
    # Usage that is part of the recent usage isn't charged again.
    other = new_primary_buckets()
    report_recent_usage(other, "a", [50], isolated_usage=50.0)
    report_recent_usage(other, "a", [50], isolated_usage=60.0)
    assert limit_level(other) == 0.4 * BURST - 10


def test_the_debt_of_a_bucket_is_two_seconds_of_its_rate_at_most():
    buckets = new_primary_buckets()
    buckets.grant(0.0, "a", "t", QuotaDemand(isolated_usage=1e9))
    assert limit_level(buckets) == -2 * RATE
    # After a limit was lowered, usage under the previous limit must not block the tenant for long.
    lowered = new_primary_buckets()
    report_recent_usage(lowered, "a", [100_000] * 8)
    assert limit_level(lowered) == -2 * RATE
    assert lowered.grant(3.0, "a", "t", QuotaDemand(400.0)).tokens == 400.0


def test_a_new_primary_starts_with_the_number_of_nodes_that_the_previous_one_counted():
    nodes = EdgeNodes(10.0, 63)
    nodes.record_contact(10.1, "a")
    assert nodes.count(10.1) == 63
    nodes.record_contact(10.0 + NODE_LOST_S, "a")
    assert nodes.count(10.0 + NODE_LOST_S) == 1
    assert EdgeNodes(10.0).count(10.1) == 1


def test_a_node_reports_its_isolated_usage_and_has_no_local_tokens_while_a_primary_responds():
    lease = QuotaLeases(WINDOW_S)
    lease.apply_grant("t", QuotaGrant(30.0, 0.0, 100.0, 100.0), 1.0)
    lease.refill_isolated(TENANT, 1.0, 4, slack=0.0)
    assert lease.try_use("t", 80.0)  # 30 of them were granted
    demand = lease.demand("t", 0.0, 0.0, 1.0, with_recent_usage=False)
    assert (demand.isolated_usage, demand.isolated_usage_acknowledged, demand.recent_usage) == (50.0, 0.0, ())
    period = lease.apply_grant("t", QuotaGrant(0.0), 1.5, isolated_usage=demand.isolated_usage)
    assert period is not None and (period.tokens, period.edge_node_count) == (50.0, 4)
    assert not lease.try_use("t", 1.0)
    assert lease.demand("t", 0.0, 0.0, 1.5, with_recent_usage=False).isolated_usage_acknowledged == 50.0


def test_recent_usage_includes_used_tokens_and_leased_tokens():
    lease = QuotaLeases(WINDOW_S)
    lease.apply_grant("t", QuotaGrant(100.0), 1.0)
    lease.record_demand("t", 60.0, 1.0)
    assert lease.try_use("t", 60.0)
    lease.refund("t", 20.0)
    assert lease.demand("t", 0.0, 0.0, 1.0 + 2 * USAGE_SLOT_S, with_recent_usage=True).recent_usage == (
        60,
        0,
        40,
    )


def test_a_usage_history_forgets_usage_before_its_span():
    history = UsageHistory(1.0)
    for step in range(1000):
        history.add(step / 10, 1.0)
    found = history.by_age(99.9)
    assert len(found) == 1.0 / USAGE_SLOT_S + 1 and sum(found) == pytest.approx(12, abs=2)
    assert len(history._slots) <= 1.0 / USAGE_SLOT_S + 2
    assert UsageHistory(1.0).by_age(5.0) == []


def report_demand(buckets, nodes, node, now, rate=100.0):
    """Reports a node's demand; returns its grant."""
    return handle_usage_report(
        buckets, nodes, now, UsageReport(node, {"t": QuotaDemand(0.0, 0.0, rate)})
    ).grants["t"]


def test_the_share_of_an_unresponsive_node_is_reserved_until_it_reports():
    buckets, nodes = QuotaBuckets(0.0, 0.0, is_first=True), EdgeNodes()
    buckets.configure([TENANT], 0.0)
    grants = [report_demand(buckets, nodes, node, 0.0) for node in "ab"]
    level_before = limit_level(buckets)
    nodes.record_contact(NODE_UNRESPONSIVE_S + 0.1, "b")
    buckets.reserve(NODE_UNRESPONSIVE_S + 0.1, nodes)
    reserved = grants[0].local_burst + grants[0].local_rate * (NODE_UNRESPONSIVE_S + 0.1)
    # the bucket has filled up in the meantime
    assert reserved > 0 and limit_level(buckets) == pytest.approx(BURST - reserved)
    buckets.reserve(NODE_UNRESPONSIVE_S + 0.2, nodes)  # adds the local rate since then
    assert limit_level(buckets) == pytest.approx(BURST - reserved + 0.1 * (RATE - grants[0].local_rate))
    report_demand(buckets, nodes, "a", NODE_UNRESPONSIVE_S + 0.2, rate=0.0)
    assert limit_level(buckets) == BURST >= level_before


def test_the_reserve_of_a_node_that_is_forgotten_is_released():
    buckets, nodes = QuotaBuckets(0.0, 0.0, is_first=True), EdgeNodes()
    buckets.configure([TENANT], 0.0)
    report_demand(buckets, nodes, "a", 0.0)
    for step in range(1, round(NODE_FORGOTTEN_S) + 3):
        nodes.count(float(step))
        buckets.reserve(float(step), nodes)
    assert nodes.unresponsive(NODE_FORGOTTEN_S + 2.0) == {}
    report_demand(buckets, nodes, "b", NODE_FORGOTTEN_S + 5.0, rate=0.0)
    assert limit_level(buckets) == BURST


def test_a_new_primary_reserves_the_shares_of_nodes_that_never_reported_to_it():
    buckets, nodes = new_primary_buckets(nodes=4), EdgeNodes(0.0, 4)
    for node in "ab":
        report_recent_usage(buckets, node)
        nodes.record_contact(0.1, node)
    buckets.reserve(NODE_UNRESPONSIVE_S, nodes)
    assert limit_level(buckets) == 0.4 * BURST  # not reserved yet: nodes may not have contacted it yet
    now = NODE_UNRESPONSIVE_S + 0.5
    buckets.reserve(now, nodes)
    assert limit_level(buckets) == pytest.approx(BURST * (1 - 0.9 / 2) - 0.9 / 2 * RATE * now, rel=0.01)
    report_recent_usage(buckets, "c", now=now)
    nodes.record_contact(now, "c")
    assert limit_level(buckets) == BURST


def test_a_primary_that_knows_few_nodes_leaves_shares_for_the_others():
    buckets, nodes = new_primary_buckets(nodes=4), EdgeNodes(0.0, 4)
    shares = [report_demand(buckets, nodes, node, 0.1).local_rate / RATE for node in "ab"]
    assert shares == pytest.approx([0.9 / 4, 0.9 / 4])


def test_shares_sum_to_no_more_than_the_maximum_however_demands_change():
    buckets, nodes, shares = QuotaBuckets(0.0, 0.0, is_first=True), EdgeNodes(), {}
    buckets.configure([TENANT], 0.0)
    for step in range(40):
        node = "abcd"[step % 4]
        shares[node] = report_demand(buckets, nodes, node, step * 0.1, rate=2.0**step).local_rate / RATE
        assert sum(shares.values()) <= 0.9 + 1e-9
    for step in range(8):  # once demands are equal, shares are equal too
        node = "abcd"[step % 4]
        shares[node] = report_demand(buckets, nodes, node, 4.0 + step * 0.1).local_rate / RATE
    assert shares == pytest.approx(dict.fromkeys("abcd", 0.9 / 4))
