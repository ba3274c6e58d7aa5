"""No order of messages, votes and restarts lets a lease outlive its grants; injected faults are detected."""

import pytest
from replication import lease_model
from replication.lease_model import Limits, explore
from replication.lease_mutants import CountsFromTheAnswer, ForgetsGrants
from replication.simulation import patched

from wheatroute.replication import lease, peers

# Longer steps, for fewer states: the lease lasts 5 steps, and a grant ends in the sixth.
ROUGH = {"STEP": 0.1, "OLDEST": 8}


class IgnoresGrants(lease.LeaseGrant):
    """A voter whose vote is always free, whatever lease it granted."""

    def remaining_s(self, now, base):
        return 0.0


FAULTS = {
    "a lease longer than its grant": (peers, {"LEADER_LEASE_S": 1.2}),
    "a grant shorter than the lease": (lease, {"GRANT_S": 0.3}),
    "a grant that a restart forgets": (lease, {"LeaseGrant": ForgetsGrants}),
    "a grant by a voter that voted for another": (lease, {"grants": lambda record, primary: True}),
    "a lease counted from the answer": (peers, {"Peers": CountsFromTheAnswer}),
    "a voter whose bound vote goes to another node": (lease, {"LeaseGrant": IgnoresGrants}),
}


def test_no_view_is_decided_during_a_lease():
    states, violation = explore(Limits(heartbeats=1, restarts=1))
    assert violation is None and states > 50_000


def test_no_view_is_decided_during_a_renewed_lease():
    with patched(lease_model, **ROUGH):
        states, violation = explore(Limits(heartbeats=2, restarts=0))
    assert violation is None and states > 50_000


@pytest.mark.parametrize("name", FAULTS)
def test_a_fault_in_leases_is_detected(name):
    module, names = FAULTS[name]
    with patched(module, **names):
        _, violation = explore(Limits(heartbeats=1, restarts=1))
    assert violation is not None
