"""What an edge node makes of a configuration, without sockets."""

import pytest

from wheatroute.cluster.configuration import Configuration, Route, Tenant
from wheatroute.cluster.distribution import make_version
from wheatroute.edge.routing import PROMPT_SIZE_BOUNDS, SERVER_RANKS, RoutingTable

SHORT, MIDDLE, LONG = 100, PROMPT_SIZE_BOUNDS[0], PROMPT_SIZE_BOUNDS[1]


def table(priorities, tenants=()):
    routes = [Route(f"r{number}", "h", f"/{number}/", priority=number) for number in priorities]
    return RoutingTable(make_version(Configuration(1, tuple(routes), tenants=tuple(tenants)), 1))


def ranks(told, tokens, tenant=None):
    return [told.server_rank(route, tenant, tokens) for route in told.version.routes.values()]


def test_short_prompts_of_every_priority_go_before_long_ones_and_priorities_order_each_size():
    told = table([0, 1, 2])
    assert ranks(told, SHORT) == [0, 1, 2]
    assert ranks(told, MIDDLE) == [3, 4, 5]
    assert ranks(told, LONG) == [6, 7, 8]


@pytest.mark.parametrize("count, sizes", [(1, 3), (3, 3), (4, 2), (5, 2), (6, 1), (12, 1)])
def test_ranks_stay_within_those_that_servers_know(count, sizes):
    told = table([7 * number for number in range(count)])
    found = [ranks(told, tokens) for tokens in (SHORT, MIDDLE, LONG)]
    assert all(0 <= rank < SERVER_RANKS for row in found for rank in row)
    assert all(row == sorted(row) for row in found)
    assert len({tuple(row) for row in found}) == sizes


def test_the_priority_of_a_tenant_goes_before_that_of_the_route():
    urgent, patient = Tenant("u", priority=0), Tenant("p", priority=9)
    told = table([1, 2], [urgent, patient])
    assert ranks(told, SHORT, urgent) == [0, 0] and ranks(told, SHORT, patient) == [3, 3]
    assert ranks(told, SHORT) == [1, 2]
