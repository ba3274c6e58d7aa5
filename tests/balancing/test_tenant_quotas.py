"""Tests of tenant quotas at one of many nodes."""

from balancer_host import REPORTS_WAIT, BalancerHost, run_with_light_reports

from wheatroute.balancing.settings import TenantQuota


def test_a_small_tenant_is_within_its_quota_on_every_one_of_many_nodes():
    quota = [TenantQuota(0.9, 90.0), TenantQuota(0.1, 10.0)]
    host = BalancerHost(nodes=100, tenants=quota)
    within = [host.balancer._components.quotas.take_token(1) == 1]
    for _ in range(4):
        host.step(12.0)
        within.append(host.balancer._components.quotas.take_token(1) == 1)
    greedy = [host.balancer._components.quotas.take_token(1) == 1 for _ in range(20)]
    assert all(within) and not any(greedy[-10:])


def test_a_busy_node_has_a_part_of_the_quotas_that_matches_its_traffic():
    quota = [TenantQuota(1.0, 400.0)]
    host = BalancerHost(40, nodes=300, node=5, tenants=quota, **REPORTS_WAIT)
    run_with_light_reports(host, 6.0, 100, tenant=0)
    # The node has 100 of 400 requests per second; an equal part for one of 300 nodes would be 1.3.
    assert host.balancer._components.quotas.rates()[0] > 80.0
    taken = [host.balancer._components.quotas.take_token(0) for _ in range(100)]
    assert taken.count(0) > 15  # with an equal part it would be at most 5
