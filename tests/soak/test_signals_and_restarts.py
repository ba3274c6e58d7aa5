"""No tenant exceeds its limit while real processes get signals, restarts and changes of limits.

To run more seeds by hand (here seeds 0 to 49 with 6 edge nodes and 20 seconds each):

    WHEATROUTE_SOAK_PROCESSES=0:50:6:20 python -m pytest tests/soak/test_signals_and_restarts.py -n 4
"""

import os

import pytest
from soak.process_cluster import run_random_faults

SHORT = ((1, 4, 14.0), (2, 3, 14.0))  # (seed, edge nodes, seconds)
FIRST_BLOCK, BLOCKS = 30, 200  # blocks of loopback addresses, so that runs in parallel share none


def requested_runs():
    """Returns the runs that the environment variable requests."""
    numbers = os.environ.get("WHEATROUTE_SOAK_PROCESSES", "0:0:0:0").split(":")
    first, last, edges = (int(number) for number in numbers[:3])
    return [(seed, edges, float(numbers[3])) for seed in range(first, last)]


@pytest.mark.parametrize(("seed", "edges", "length_s"), [*SHORT, *requested_runs()])
def test_no_tenant_gets_more_than_its_limit(tmp_path, seed, edges, length_s):
    system = run_random_faults(tmp_path, seed, FIRST_BLOCK + seed % BLOCKS, edges, length_s)
    assert not system.violations(), (system.violations(), system.faults)
    assert all(len(tenant.usage) > 20 for tenant in system.tenants), system.response_counts
