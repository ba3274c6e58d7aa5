"""Real processes under signals, restarts and changes of limits keep every tenant to its limit.

More days by hand, with so many edge nodes and seconds each:

    WHEATROUTE_SOAK_PROCESSES=0:50:6:20 python -m pytest tests/soak/test_signals_and_restarts.py -n 4
"""

import os

import pytest
from soak.processes import drawn

SHORT = ((1, 4, 14.0), (2, 3, 14.0))  # seed, edge nodes, seconds
FIRST_BLOCK, BLOCKS = 30, 200  # of loopback addresses, one for each day that is played beside others


def by_hand():
    """Days that were asked for."""
    told = os.environ.get("WHEATROUTE_SOAK_PROCESSES", "0:0:0:0").split(":")
    first, last, edges = (int(part) for part in told[:3])
    return [(seed, edges, float(told[3])) for seed in range(first, last)]


@pytest.mark.parametrize(("seed", "edges", "length"), [*SHORT, *by_hand()])
def test_no_tenant_gets_more_than_its_limit(tmp_path, seed, edges, length):
    system = drawn(tmp_path, seed, FIRST_BLOCK + seed % BLOCKS, edges, length)
    assert not system.verdict(), (system.verdict(), system.troubles)
    assert all(len(tenant.used) > 20 for tenant in system.tenants), system.answers
