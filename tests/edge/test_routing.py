"""Tests the ranks that the routing table gives requests."""

import pytest

from wheatroute.cluster.configuration import Configuration, Route, Tenant
from wheatroute.cluster.distribution import make_version
from wheatroute.edge.routing import PROMPT_SIZE_BOUNDS, SERVER_RANKS, RoutingTable

SHORT, MIDDLE, LONG = 100, PROMPT_SIZE_BOUNDS[0], PROMPT_SIZE_BOUNDS[1]


def table(priorities, tenants=()):
    routes = [Route(f"r{number}", "h", f"/{number}/", priority=number) for number in priorities]
    return RoutingTable(make_version(Configuration(1, tuple(routes), tenants=tuple(tenants)), 1))


def ranks(routing, tokens, tenant=None):
    return [routing.server_rank(route, tenant, tokens) for route in routing.version.routes.values()]


def test_ranks_are_by_prompt_size_first_and_then_by_priority():
    routing = table([0, 1, 2])
    assert ranks(routing, SHORT) == [0, 1, 2]
    assert ranks(routing, MIDDLE) == [3, 4, 5]
    assert ranks(routing, LONG) == [6, 7, 8]


@pytest.mark.parametrize("count, sizes", [(1, 3), (3, 3), (4, 2), (5, 2), (6, 1), (12, 1)])
def test_ranks_stay_within_those_that_servers_distinguish(count, sizes):
    routing = table([7 * number for number in range(count)])
    found = [ranks(routing, tokens) for tokens in (SHORT, MIDDLE, LONG)]
    assert all(0 <= rank < SERVER_RANKS for row in found for rank in row)
    assert all(row == sorted(row) for row in found)
    assert len({tuple(row) for row in found}) == sizes


def test_the_priority_of_a_tenant_overrides_that_of_the_route():
    urgent, relaxed = Tenant("u", priority=0), Tenant("p", priority=9)
    routing = table([1, 2], [urgent, relaxed])
    assert ranks(routing, SHORT, urgent) == [0, 0] and ranks(routing, SHORT, relaxed) == [3, 3]
    assert ranks(routing, SHORT) == [1, 2]
