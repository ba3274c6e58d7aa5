"""What servers said is kept, and what their silence suggested is taken back, under faults that overlap.

To run more seeds by hand (here seeds 100 to 159 with 9 edge nodes each):

    WHEATROUTE_SOAK_SERVERS=100:160:9 python -m pytest tests/soak/test_departures_and_silence.py -n 6
"""

import pytest
from soak.requested_runs import requested_runs
from soak.server_soak import run_server_soak

SHORT = ((1, 4), (2, 9), (3, 4))  # (seed, edge nodes)
REQUESTED = requested_runs("WHEATROUTE_SOAK_SERVERS", int)


# An edge node kept a server that had left, a late heartbeat brought one back, and silent ones stayed removed.
@pytest.mark.parametrize(("seed", "edges"), [*SHORT, *REQUESTED])
def test_departures_are_kept_and_live_servers_return(seed, edges):
    fleet, injected = run_server_soak(seed, edges)
    assert not fleet.broken, (fleet.broken[:10], fleet.departed_at, injected)
    assert len(fleet.departed_at) > 3 and fleet.late_heartbeats > 5
