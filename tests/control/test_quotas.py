"""The bucket of a tenant, the leases out of it, and the sum of both."""

from random import Random

import pytest

from wheatroute.cluster.configuration import Tenant
from wheatroute.cluster.messages import QuotaDemand, QuotaGrant, ServerLoad, UsageReport
from wheatroute.control.edge_nodes import EdgeNodes
from wheatroute.control.quotas import BucketLevels, QuotaBuckets, respond
from wheatroute.edge.prompt_headers import TokenCount
from wheatroute.edge.quota_leases import QuotaLeases, request_cost
from wheatroute.edge.retry_budget import RetryBudget

TENANT = Tenant("t", ("k",), unit="token_usage", uncached_tokens=7.0, rate_per_s=1000.0, burst=500.0)


def buckets(slack=0.0, is_first=True, excess=0.0):
    it = QuotaBuckets(slack, excess, is_first)
    it.configure([TENANT, Tenant("free")], 0.0)
    return it


def test_what_is_granted_sums_to_the_limit_whatever_nodes_ask_for():
    it, chance, given, now = buckets(), Random(1), 0.0, 0.0
    for _ in range(4000):
        now += 0.005 * chance.random()
        node = f"n{chance.randrange(9)}"
        given += it.grant(now, node, "t", QuotaDemand(200 * chance.random(), 0.0, 500.0)).tokens
    assert 0.9 * (500 + 1000 * now) < given <= 500 + 1000 * now


def test_what_fits_the_limit_is_never_refused_for_what_was_served_beyond_it():
    """Beside a bucket of the limit alone, which takes what fits it: all of that is granted here as well."""
    it, chance, now = buckets(slack=1000.0, excess=0.1), Random(5), 0.0
    alone, beyond = 500.0, 0.0
    for _ in range(4000):
        passed = 0.01 * chance.random()
        now, alone = now + passed, min(500.0, alone + 1000.0 * passed)
        wanted = chance.choice((3.0, 40.0, 90.0))
        granted = it.grant(now, "n", "t", QuotaDemand(wanted)).tokens
        if alone >= wanted:
            alone -= wanted
            assert granted == wanted
        else:
            beyond += granted
    # and beyond it: 0.35 of the slack at once, 0.25 of the excess from second to second
    assert 0.95 * (350 + 25 * now) < beyond <= 350 + 25 * now


def test_a_request_larger_than_the_limits_bucket_may_be_paid_from_both():
    it = buckets(slack=1000.0)
    assert it.grant(0.0, "a", "t", QuotaDemand(851.0)) == QuotaGrant(0.0, 0.001)
    assert it.grant(0.0, "a", "t", QuotaDemand(850.0)).tokens == 850.0
    assert it.grant(0.0, "a", "t", QuotaDemand(1.0)).tokens == 0.0


def test_a_tenant_whose_burst_is_smaller_than_a_request_gets_its_rate():
    it = QuotaBuckets(1000.0, 0.1, is_first=True)
    it.configure([Tenant("t", ("k",), unit="token_usage", rate_per_s=1000.0, burst=0.0)], 0.0)
    given = sum(it.grant(step / 10, "a", "t", QuotaDemand(90.0)).tokens for step in range(1, 101))
    assert given >= 0.8 * 1000 * 10


def test_both_buckets_together_keep_to_the_rule_through_bursts_and_quiet_times():
    it, chance, now, given = buckets(slack=1000.0, excess=0.1), Random(8), 0.0, []
    for _ in range(3000):
        now += 0.005 * chance.random() + 0.9 * (chance.random() < 0.01)
        given.append((now, it.grant(now, "n", "t", QuotaDemand(chance.choice((3.0, 90.0, 600.0)))).tokens))
    for first in range(0, len(given), 50):
        total, begin = 0.0, given[first][0]
        for at, tokens in given[first:]:
            total += tokens
            assert total <= (1000.0 * (at - begin) + 500.0) * 1.1 + 1000.0


def test_what_is_given_back_fills_the_limit_first():
    it = buckets(slack=1000.0)
    it.grant(0.0, "a", "t", QuotaDemand(300.0))
    it.grant(0.0, "a", "t", QuotaDemand(350.0))  # beyond the limit
    it.grant(0.0, "a", "t", QuotaDemand(0.0, returned=500.0))
    assert it.levels()["t"] == BucketLevels(500.0, 200.0)


def test_what_is_given_back_can_be_granted_again():
    it = buckets()
    assert it.grant(0.0, "a", "t", QuotaDemand(500.0)).tokens == 500.0
    assert it.grant(0.0, "b", "t", QuotaDemand(300.0)).wait_s == 0.3
    assert it.grant(0.0, "b", "t", QuotaDemand(300.0, returned=300.0)).tokens == 300.0


def test_a_tenant_without_a_limit_gets_what_it_wants():
    assert buckets().grant(0.0, "a", "free", QuotaDemand(1e9)).tokens == 1e9


def test_a_lower_limit_takes_what_is_above_it():
    it = buckets()
    it.configure([Tenant("t", ("k",), unit="token_usage", rate_per_s=100.0, burst=50.0)], 0.0)
    assert it.grant(0.0, "a", "t", QuotaDemand(51.0)).tokens == 0.0
    assert it.grant(0.0, "a", "t", QuotaDemand(50.0)).tokens == 50.0


def test_the_next_primary_does_not_grant_again_what_was_granted():
    before, after = buckets(), buckets(is_first=False)
    assert after.grant(0.0, "a", "t", QuotaDemand(201.0)).tokens == 0.0
    before.grant(0.0, "a", "t", QuotaDemand(450.0))
    after.restore(before.levels() | {"none": BucketLevels(1.0, 0.0)})
    assert after.grant(0.0, "a", "t", QuotaDemand(51.0)).tokens == 0.0
    assert after.grant(0.0, "a", "t", QuotaDemand(50.0)).tokens == 50.0


def test_nodes_without_word_from_the_primary_stay_below_the_limit_together():
    it, leases, used = buckets(), [QuotaLeases(8.0) for _ in range(4)], 0.0
    for n, lease in enumerate(leases):
        for second in range(4):
            lease.record_demand("t", 500.0 * (n + 1), float(second))
        need = QuotaDemand(0.0, 0.0, lease.demand_rate("t", 3.0))
        it.grant(3.0, f"n{n}", "t", need)
    for n, lease in enumerate(leases):
        need = QuotaDemand(0.0, 0.0, lease.demand_rate("t", 3.0))
        lease.apply_grant("t", it.grant(3.0, f"n{n}", "t", need), 3.0)
    for step in range(1, 101):
        for lease in leases:
            lease.refill_isolated(TENANT, 3.0 + step / 10, 4, slack=400.0)
            while lease.try_use("t", 10.0):
                used += 10.0
    assert 0.7 * 1000 * 10 < used <= 1000 * 10 + 400


RESERVE = 0.3 * 400 / 4  # a node's part of what the rule allows beyond the limit


def used_while_isolated(lease, now):
    """Tokens that a node without word takes at once, being asked for more than it has."""
    lease.refill_isolated(TENANT, now, 4, slack=400.0)
    return sum(lease.try_use("t", 1.0) for _ in range(10_000))


def lease_granted_at(granted_at, local_rate=100.0, local_burst=100.0):
    lease = QuotaLeases(8.0)
    lease.apply_grant("t", QuotaGrant(0.0, 0.0, local_rate, local_burst), granted_at)
    return lease


def test_a_node_without_word_has_its_part_from_the_last_word_on_and_of_what_the_bucket_held():
    assert used_while_isolated(lease_granted_at(10.0), 10.5) == 50 + 100 + RESERVE
    assert used_while_isolated(lease_granted_at(10.0, local_burst=0.0), 10.5) == 50 + RESERVE
    # a part of a full bucket is there at once, however much more than its rate that is
    assert used_while_isolated(lease_granted_at(10.0, local_burst=700.0), 10.5) == 700 + RESERVE
    # and saves up two seconds of it at the most
    assert used_while_isolated(lease_granted_at(10.0), 12.9) == 200 + RESERVE


def test_what_a_node_has_ahead_comes_once_a_window_however_often_the_primary_is_lost():
    lease = lease_granted_at(10.0)
    used = used_while_isolated(lease, 10.0)
    for step in range(1, 70):
        lease.apply_grant("t", QuotaGrant(0.0, 0.0, 100.0, 100.0), 10.0 + step / 10)
        used += used_while_isolated(lease, 10.1 + step / 10)
    assert 0 <= 100 + RESERVE + 6.9 * 100 - used < 2  # whole tokens alone are taken
    lease.apply_grant("t", QuotaGrant(0.0, 0.0, 100.0, 100.0), 18.0)
    assert used_while_isolated(lease, 18.0) >= 100 + RESERVE


def test_a_part_that_was_told_long_ago_counts_no_more():
    even = 0.5 * 1000 / 4  # and a second of it ahead
    assert used_while_isolated(lease_granted_at(10.0, local_rate=900.0), 13.1) == int(even + RESERVE)


def test_a_lease_gives_back_what_it_does_not_need():
    lease = QuotaLeases(8.0)
    lease.refund("t", 1000.0)
    assert lease.take_surplus("t", 0.0) == 1000.0 and not lease.try_use("t", 1.0)


class HotTenant:
    """Six nodes whose clients ask for five times the limit, in virtual time; what they use, and when.

    The figures are those of the day adomako-fx scale-2, on which QUOTA was broken.
    """

    RATE, BURST, SLACK, EXCESS, WINDOW = 115_787.0, 115_787.0, 190_000.0, 0.1, 8.0
    NODES, STEP, REPORT = 6, 0.01, 0.3

    def __init__(self, seed):
        self.chance, self.used = Random(seed), []
        self.tenant = Tenant("t", ("k",), unit="token_usage", rate_per_s=self.RATE, burst=self.BURST)
        self.leases = [QuotaLeases(self.WINDOW) for _ in range(self.NODES)]
        self.primary = self.elected(is_first=True, now=0.0)

    def elected(self, is_first, now):
        primary = QuotaBuckets(self.SLACK, self.EXCESS, is_first)
        primary.configure([self.tenant], now)
        return primary

    def report(self, node, now, wanted=0.0):
        lease = self.leases[node]
        need = QuotaDemand(wanted, lease.take_surplus("t", now), lease.demand_rate("t", now))
        lease.apply_grant("t", self.primary.grant(now, str(node), "t", need), now)

    def ask(self, node, now):
        """One client's request."""
        lease, tokens = self.leases[node], self.chance.choice((1_630.0, 9_240.0, 17_140.0))
        lease.record_demand("t", tokens, now)
        if not lease.try_use("t", tokens):
            if self.primary is not None:
                self.report(node, now, tokens)
            else:
                lease.refill_isolated(self.tenant, now, self.NODES, self.SLACK)
            if not lease.try_use("t", tokens):
                return
        self.used.append((now, tokens))

    def play(self, lost, back, end):
        """No primary between two moments; the next one knows nothing of what was granted."""
        steps = round(end / self.STEP)
        for now in (step * self.STEP for step in range(steps)):
            if lost <= now < back:
                self.primary = None
            elif self.primary is None:
                self.primary = self.elected(is_first=False, now=now)
            for node in range(self.NODES):
                if self.chance.random() < self.STEP / self.REPORT and self.primary is not None:
                    self.report(node, now)
                if self.chance.random() < 0.1:
                    self.ask(node, now)

    @property
    def most(self):
        """Used in any window of the rule."""
        starts = [now for now, _ in self.used]
        return max(
            sum(tokens for now, tokens in self.used if start <= now <= start + self.WINDOW)
            for start in starts[::20]
        )

    @property
    def allowed(self):
        return (self.RATE * self.WINDOW + self.BURST) * (1 + self.EXCESS) + self.SLACK


@pytest.mark.parametrize("lost", [0.2, 0.5, 1.0, 3.0, 6.0])
def test_a_hot_tenant_keeps_to_the_rule_although_the_primary_is_lost_with_all_that_it_knew(lost):
    for seed, away in enumerate((0.1, 0.8, 1.6)):
        day = HotTenant(seed)
        day.play(lost, lost + away, 12.0)
        assert 0.9 * day.RATE * day.WINDOW < day.most <= day.allowed


def test_requests_are_charged_by_tokens_or_one_by_one():
    assert [
        request_cost(TENANT, TokenCount(100, 20)),
        request_cost(TENANT, None),
        request_cost(Tenant("r"), TokenCount(100, 20)),
    ] == [120.0, 7.0, 1.0]


def test_nodes_are_told_what_all_others_have_at_servers():
    nodes, it = EdgeNodes(), buckets()
    respond(it, nodes, 0.0, UsageReport("a", {}, {"s": ServerLoad(100, 2)}))
    respond(it, nodes, 0.0, UsageReport("b", {}, {"s": ServerLoad(50, 1)}))
    told = respond(it, nodes, 0.1, UsageReport("c", {}))
    assert told.servers == {"s": ServerLoad(150, 3)} and told.edge_node_count == 3
    # one that fell silent counts no more
    assert respond(it, nodes, 9.0, UsageReport("c", {})).servers == {} and nodes.count(9.0) == 1


def test_repeats_stay_within_their_part_of_requests_and_slack():
    budgets = [RetryBudget(0.2, 50.0, 10.0) for _ in range(5)]
    sent = 0
    for second in range(100):
        for budget in budgets:
            for _ in range(4):
                budget.record_request(second / 10)
                sent += budget.try_retry(second / 10, 5)
    assert 100 < sent <= 0.2 * 100 * 5 * 4 + 50


def test_the_part_of_the_slack_comes_back_with_the_window():
    budget = RetryBudget(0.0, 10.0, 10.0)
    assert [budget.try_retry(0.0, 1) for _ in range(8)] == [True] * 7 + [False]
    assert budget.try_retry(10.5, 1)
