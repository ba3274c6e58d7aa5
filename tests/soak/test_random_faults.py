"""Every tenant keeps to its limit under random faults that overlap.

Seeds that once showed a fault of the program stay here. More of them by hand, with so many edge nodes each:

    WHEATROUTE_SOAK=100:160:63 python -m pytest tests/soak/test_random_faults.py -n 6
"""

import os

import pytest
from soak.random_faults import run_random_faults

# the seed, the number of edge nodes, and the fault of the program that it once showed
REGRESSIONS = (
    (0, 12, "a new primary began without the levels that it had received"),
    (13, 30, "the same"),
    (14, 63, "the same, and nodes that computed their reserve by a primary that had counted few nodes"),
    (121, 30, "isolated nodes used their shares while the primary granted the full rate to the others"),
    (152, 12, "primaries that knew few nodes granted each of them most of the rate"),
)


def requested_runs():
    """Runs that the environment variable asks for."""
    first, last, edges = (int(number) for number in os.environ.get("WHEATROUTE_SOAK", "0:0:0").split(":"))
    return [(seed, edges, "") for seed in range(first, last)]


@pytest.mark.parametrize(("seed", "edges", "fault"), [*REGRESSIONS, *requested_runs()])
def test_no_tenant_gets_more_than_its_limit(seed, edges, fault):
    fleet, faults, violations = run_random_faults(seed, edges)
    assert not violations, (violations, faults)
    # and requests of every tenant were served
    assert all(len(tenant.usage) > 20 for tenant in fleet.tenants)
