"""The token buckets of tenants and the tokens leased from them: total usage stays within the limit."""

from random import Random

import pytest

from wheatroute.cluster.configuration import Tenant
from wheatroute.cluster.messages import QuotaDemand, QuotaGrant, ServerLoad, UsageReport
from wheatroute.control.edge_nodes import EdgeNodes
from wheatroute.control.quotas import BucketLevels, QuotaBuckets, handle_usage_report
from wheatroute.edge.prompt_headers import TokenCount
from wheatroute.edge.quota_leases import QuotaLeases, request_cost
from wheatroute.edge.retry_budget import RetryBudget

TENANT = Tenant("t", ("k",), unit="token_usage", uncached_tokens=7.0, rate_per_s=1000.0, burst=500.0)


def make_buckets(slack=0.0, is_first=True, excess=0.0):
    buckets = QuotaBuckets(slack, excess, is_first)
    buckets.configure([TENANT, Tenant("free")], 0.0)
    return buckets


def test_grants_sum_to_the_limit_whatever_nodes_request():
    buckets, rng, granted, now = make_buckets(), Random(1), 0.0, 0.0
    for _ in range(4000):
        now += 0.005 * rng.random()
        node = f"n{rng.randrange(9)}"
        granted += buckets.grant(now, node, "t", QuotaDemand(200 * rng.random(), 0.0, 500.0)).tokens
    assert 0.9 * (500 + 1000 * now) < granted <= 500 + 1000 * now


def test_a_request_within_the_limit_is_never_rejected_for_grants_beyond_it():
    """Every request that a bucket of the limit alone would grant must be granted here too."""
    buckets, rng, now = make_buckets(slack=1000.0, excess=0.1), Random(5), 0.0
    reference, beyond = 500.0, 0.0  # tokens in a bucket of the limit alone; tokens granted beyond the limit
    for _ in range(4000):
        passed = 0.01 * rng.random()
        now, reference = now + passed, min(500.0, reference + 1000.0 * passed)
        wanted = rng.choice((3.0, 40.0, 90.0))
        granted = buckets.grant(now, "n", "t", QuotaDemand(wanted)).tokens
        if reference >= wanted:
            reference -= wanted
            assert granted == wanted
        else:
            beyond += granted
    # Beyond the limit, 0.35 of the slack is granted at once, and 0.25 of the excess rate continuously.
    assert 0.95 * (350 + 25 * now) < beyond <= 350 + 25 * now


def test_a_request_larger_than_the_limits_bucket_may_be_paid_from_both():
    buckets = make_buckets(slack=1000.0)
    assert buckets.grant(0.0, "a", "t", QuotaDemand(851.0)) == QuotaGrant(0.0, 0.001)
    assert buckets.grant(0.0, "a", "t", QuotaDemand(850.0)).tokens == 850.0
    assert buckets.grant(0.0, "a", "t", QuotaDemand(1.0)).tokens == 0.0


def test_a_tenant_whose_burst_is_smaller_than_a_request_gets_its_rate():
    buckets = QuotaBuckets(1000.0, 0.1, is_first=True)
    buckets.configure([Tenant("t", ("k",), unit="token_usage", rate_per_s=1000.0, burst=0.0)], 0.0)
    granted = sum(buckets.grant(step / 10, "a", "t", QuotaDemand(90.0)).tokens for step in range(1, 101))
    assert granted >= 0.8 * 1000 * 10


def test_both_buckets_together_obey_the_quota_rule_through_bursts_and_idle_times():
    buckets, rng, now, granted = make_buckets(slack=1000.0, excess=0.1), Random(8), 0.0, []
    for _ in range(3000):
        now += 0.005 * rng.random() + 0.9 * (rng.random() < 0.01)
        granted.append(
            (now, buckets.grant(now, "n", "t", QuotaDemand(rng.choice((3.0, 90.0, 600.0)))).tokens)
        )
    for first in range(0, len(granted), 50):
        total, begin = 0.0, granted[first][0]
        for at, tokens in granted[first:]:
            total += tokens
            assert total <= (1000.0 * (at - begin) + 500.0) * 1.1 + 1000.0


def test_returned_tokens_fill_the_limits_bucket_first():
    buckets = make_buckets(slack=1000.0)
    buckets.grant(0.0, "a", "t", QuotaDemand(300.0))
    buckets.grant(0.0, "a", "t", QuotaDemand(350.0))  # beyond the limit
    buckets.grant(0.0, "a", "t", QuotaDemand(0.0, returned=500.0))
    assert buckets.levels()["t"] == BucketLevels(500.0, 200.0)


def test_returned_tokens_can_be_granted_again():
    buckets = make_buckets()
    assert buckets.grant(0.0, "a", "t", QuotaDemand(500.0)).tokens == 500.0
    assert buckets.grant(0.0, "b", "t", QuotaDemand(300.0)).wait_s == 0.3
    assert buckets.grant(0.0, "b", "t", QuotaDemand(300.0, returned=300.0)).tokens == 300.0


def test_a_tenant_without_a_limit_gets_all_requested_tokens():
    assert make_buckets().grant(0.0, "a", "free", QuotaDemand(1e9)).tokens == 1e9


def test_a_lower_limit_removes_the_tokens_above_it():
    buckets = make_buckets()
    buckets.configure([Tenant("t", ("k",), unit="token_usage", rate_per_s=100.0, burst=50.0)], 0.0)
    assert buckets.grant(0.0, "a", "t", QuotaDemand(51.0)).tokens == 0.0
    assert buckets.grant(0.0, "a", "t", QuotaDemand(50.0)).tokens == 50.0


def test_the_next_primary_does_not_grant_tokens_again():
    before, after = make_buckets(), make_buckets(is_first=False)
    assert after.grant(0.0, "a", "t", QuotaDemand(201.0)).tokens == 0.0
    before.grant(0.0, "a", "t", QuotaDemand(450.0))
    after.restore(before.levels() | {"none": BucketLevels(1.0, 0.0)})
    assert after.grant(0.0, "a", "t", QuotaDemand(51.0)).tokens == 0.0
    assert after.grant(0.0, "a", "t", QuotaDemand(50.0)).tokens == 50.0


def test_isolated_nodes_stay_below_the_limit_together():
    buckets, leases, used = make_buckets(), [QuotaLeases(8.0) for _ in range(4)], 0.0
    for n, lease in enumerate(leases):
        for second in range(4):
            lease.record_demand("t", 500.0 * (n + 1), float(second))
        demand = QuotaDemand(0.0, 0.0, lease.demand_rate("t", 3.0))
        buckets.grant(3.0, f"n{n}", "t", demand)
    for n, lease in enumerate(leases):
        demand = QuotaDemand(0.0, 0.0, lease.demand_rate("t", 3.0))
        lease.apply_grant("t", buckets.grant(3.0, f"n{n}", "t", demand), 3.0)
    for step in range(1, 101):
        for lease in leases:
            lease.refill_isolated(TENANT, 3.0 + step / 10, 4, slack=400.0)
            while lease.try_use("t", 10.0):
                used += 10.0
    assert 0.7 * 1000 * 10 < used <= 1000 * 10 + 400


# Share of one of four nodes, in tokens, of the usage that the quota rule allows beyond the limit.
EXCESS_SHARE = 0.3 * 400 / 4


def use_isolated(lease, now):
    """The tokens that an isolated node uses at once if its clients request more than it has."""
    lease.refill_isolated(TENANT, now, 4, slack=400.0)
    return sum(lease.try_use("t", 1.0) for _ in range(10_000))


def lease_granted_at(granted_at, local_rate=100.0, local_burst=100.0):
    lease = QuotaLeases(8.0)
    lease.apply_grant("t", QuotaGrant(0.0, 0.0, local_rate, local_burst), granted_at)
    return lease


def test_an_isolated_node_has_its_local_rate_since_the_last_grant_and_its_local_burst():
    assert use_isolated(lease_granted_at(10.0), 10.5) == 50 + 100 + EXCESS_SHARE
    assert use_isolated(lease_granted_at(10.0, local_burst=0.0), 10.5) == 50 + EXCESS_SHARE
    # The local burst of a full bucket is available at once, however far it exceeds the rate.
    assert use_isolated(lease_granted_at(10.0, local_burst=700.0), 10.5) == 700 + EXCESS_SHARE
    # The local rate accumulates for at most two seconds.
    assert use_isolated(lease_granted_at(10.0), 12.9) == 200 + EXCESS_SHARE


def test_the_local_burst_is_granted_once_a_window_however_often_the_primary_is_lost():
    lease = lease_granted_at(10.0)
    used = use_isolated(lease, 10.0)
    for step in range(1, 70):
        lease.apply_grant("t", QuotaGrant(0.0, 0.0, 100.0, 100.0), 10.0 + step / 10)
        used += use_isolated(lease, 10.1 + step / 10)
    assert 0 <= 100 + EXCESS_SHARE + 6.9 * 100 - used < 2  # only whole tokens are taken
    lease.apply_grant("t", QuotaGrant(0.0, 0.0, 100.0, 100.0), 18.0)
    assert use_isolated(lease, 18.0) >= 100 + EXCESS_SHARE


def test_a_local_rate_granted_long_ago_no_longer_counts():
    even = 0.5 * 1000 / 4  # half of an even share of the limit; the burst is one second of it
    assert use_isolated(lease_granted_at(10.0, local_rate=900.0), 13.1) == int(even + EXCESS_SHARE)


def test_a_lease_returns_its_surplus():
    lease = QuotaLeases(8.0)
    lease.refund("t", 1000.0)
    assert lease.take_surplus("t", 0.0) == 1000.0 and not lease.try_use("t", 1.0)


class SimulatedTenant:
    """Six nodes whose clients request five times the limit, in virtual time, and their usage.

    The numbers are those of adomako-fx scale-2, a run in which the quota rule (QUOTA) was violated.
    """

    RATE, BURST, SLACK, EXCESS, WINDOW = 115_787.0, 115_787.0, 190_000.0, 0.1, 8.0
    NODES, STEP, REPORT = 6, 0.01, 0.3

    def __init__(self, seed):
        self.rng, self.used = Random(seed), []
        self.tenant = Tenant("t", ("k",), unit="token_usage", rate_per_s=self.RATE, burst=self.BURST)
        self.leases = [QuotaLeases(self.WINDOW) for _ in range(self.NODES)]
        self.primary = self.make_primary(is_first=True, now=0.0)

    def make_primary(self, is_first, now):
        primary = QuotaBuckets(self.SLACK, self.EXCESS, is_first)
        primary.configure([self.tenant], now)
        return primary

    def report(self, node, now, wanted=0.0):
        lease = self.leases[node]
        demand = QuotaDemand(wanted, lease.take_surplus("t", now), lease.demand_rate("t", now))
        lease.apply_grant("t", self.primary.grant(now, str(node), "t", demand), now)

    def send_request(self, node, now):
        """Sends one client's request to a node."""
        lease, tokens = self.leases[node], self.rng.choice((1_630.0, 9_240.0, 17_140.0))
        lease.record_demand("t", tokens, now)
        if not lease.try_use("t", tokens):
            if self.primary is not None:
                self.report(node, now, tokens)
            else:
                lease.refill_isolated(self.tenant, now, self.NODES, self.SLACK)
            if not lease.try_use("t", tokens):
                return
        self.used.append((now, tokens))

    def run(self, lost_at, back_at, end):
        """Runs without a primary from `lost_at` to `back_at`; the new primary restores no levels."""
        steps = round(end / self.STEP)
        for now in (step * self.STEP for step in range(steps)):
            if lost_at <= now < back_at:
                self.primary = None
            elif self.primary is None:
                self.primary = self.make_primary(is_first=False, now=now)
            for node in range(self.NODES):
                if self.rng.random() < self.STEP / self.REPORT and self.primary is not None:
                    self.report(node, now)
                if self.rng.random() < 0.1:
                    self.send_request(node, now)

    @property
    def max_used(self):
        """The most tokens used in any window of the quota rule."""
        starts = [now for now, _ in self.used]
        return max(
            sum(tokens for now, tokens in self.used if start <= now <= start + self.WINDOW)
            for start in starts[::20]
        )

    @property
    def max_allowed(self):
        return (self.RATE * self.WINDOW + self.BURST) * (1 + self.EXCESS) + self.SLACK


@pytest.mark.parametrize("lost_at", [0.2, 0.5, 1.0, 3.0, 6.0])
def test_an_overloaded_tenant_obeys_the_quota_rule_although_the_primary_is_lost_with_its_levels(lost_at):
    for seed, down_s in enumerate((0.1, 0.8, 1.6)):
        tenant = SimulatedTenant(seed)
        tenant.run(lost_at, lost_at + down_s, 12.0)
        assert 0.9 * tenant.RATE * tenant.WINDOW < tenant.max_used <= tenant.max_allowed


def test_requests_are_charged_by_tokens_or_by_number():
    assert [
        request_cost(TENANT, TokenCount(100, 20)),
        request_cost(TENANT, None),
        request_cost(Tenant("r"), TokenCount(100, 20)),
    ] == [120.0, 7.0, 1.0]


def test_a_node_gets_the_load_that_all_others_have_at_servers():
    nodes, buckets = EdgeNodes(), make_buckets()
    handle_usage_report(buckets, nodes, 0.0, UsageReport("a", {}, {"s": ServerLoad(100, 2)}))
    handle_usage_report(buckets, nodes, 0.0, UsageReport("b", {}, {"s": ServerLoad(50, 1)}))
    response = handle_usage_report(buckets, nodes, 0.1, UsageReport("c", {}))
    assert response.servers == {"s": ServerLoad(150, 3)} and response.edge_node_count == 3
    # Lost nodes no longer count.
    assert (
        handle_usage_report(buckets, nodes, 9.0, UsageReport("c", {})).servers == {} and nodes.count(9.0) == 1
    )


def test_retries_stay_within_their_ratio_of_requests_and_the_slack():
    budgets = [RetryBudget(0.2, 50.0, 10.0) for _ in range(5)]
    sent = 0
    for second in range(100):
        for budget in budgets:
            for _ in range(4):
                budget.record_request(second / 10)
                sent += budget.try_retry(second / 10, 5)
    assert 100 < sent <= 0.2 * 100 * 5 * 4 + 50


def test_the_slack_for_retries_is_refilled_once_a_window():
    budget = RetryBudget(0.0, 10.0, 10.0)
    assert [budget.try_retry(0.0, 1) for _ in range(8)] == [True] * 7 + [False]
    assert budget.try_retry(10.5, 1)
