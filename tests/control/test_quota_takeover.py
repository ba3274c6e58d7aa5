"""The token buckets of a newly elected primary, in a simulated cluster."""

import asyncio
import json

from control.simulated_cluster import run_scenario

from wheatroute.cluster.errors import RequestError
from wheatroute.cluster.messages import QuotaDemand, UsageReport, UsageResponse
from wheatroute.control.changes import Change

BURST = 1000.0
TENANT = {
    "name": "t",
    "api_keys": ["k"],
    "unit": "token_usage",
    "uncached_tokens": 7,
    "rate_per_s": 1.0,
    "burst": BURST,
}


async def configured_primary(cluster):
    """The first primary, configured with one tenant."""
    primary = await cluster.wait_for_primary()
    body = {"generation": 1, "routes": [], "services": [{"name": "s"}], "tenants": [TENANT]}
    change = Change(False, "0", json.dumps(body).encode())
    await primary.request(lambda service: service.change(change))
    return primary


async def granted_tokens(node, wanted):
    """The tokens that an edge node is granted for one request."""

    async def report(service):
        return service.usage(UsageReport("edge", {"t": QuotaDemand(wanted)}))

    response = await node.request(report)
    assert isinstance(response, UsageResponse)
    return response.grants["t"].tokens


async def primary_lost_after_it_shared_its_levels(cluster):
    primary = await configured_primary(cluster)
    assert await granted_tokens(primary, BURST - 1.0) == BURST - 1.0
    await asyncio.sleep(1.5)  # until the other nodes have the levels
    primary.kill()
    successor = await cluster.wait_for_primary(excluding=(primary.host,))
    while True:
        try:
            return await granted_tokens(successor, 0.3 * BURST)
        except (RequestError, ConnectionError):
            await asyncio.sleep(0.05)


def test_the_next_primary_starts_from_the_levels_that_the_previous_one_shared():
    """Guards against a new primary that drops restored levels and grants tokens twice.

    A new primary restores the levels as soon as it leads, but knows the tenants only after it has committed
    the configuration a few milliseconds later. The levels were once dropped in between: after 999 tokens of a
    burst of 1,000 had been granted, the next primary started with 400.
    """
    for seed in range(4):
        assert run_scenario(seed, primary_lost_after_it_shared_its_levels) == 0.0
