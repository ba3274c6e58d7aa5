"""No order of messages, votes and restarts lets a lease outlive its grants; faults put in are found."""

import pytest
from replication import lease_model
from replication.lease_model import Limits, explore
from replication.lease_mutants import CountsFromTheAnswer, ForgetsGrants
from replication.simulation import patched

from wheatroute.replication import lease, peers

ROUGH = {"STEP": 0.1, "OLDEST": 8}  # the lease lasts 5 steps, a grant ends in the sixth


class HelpsThoughBound(lease.LeaseGrant):
    """A voter's vote is free whatever it granted."""

    def remaining_s(self, now, base):
        return 0.0


FAULTS = {
    "a lease longer than its grant": (peers, {"LEADER_LEASE_S": 1.2}),
    "a grant shorter than the lease": (lease, {"GRANT_S": 0.3}),
    "a grant that a restart forgets": (lease, {"LeaseGrant": ForgetsGrants}),
    "a grant by a voter that voted for another": (lease, {"grants": lambda record, primary: True}),
    "a lease counted from the answer": (peers, {"Peers": CountsFromTheAnswer}),
    "a voter whose vote is bound helps another": (lease, {"LeaseGrant": HelpsThoughBound}),
}


def test_no_view_is_decided_beside_a_lease():
    states, both = explore(Limits(heartbeats=1, restarts=1))
    assert both is None and states > 50_000


def test_no_view_is_decided_beside_a_lease_that_was_renewed():
    with patched(lease_model, **ROUGH):
        states, both = explore(Limits(heartbeats=2, restarts=0))
    assert both is None and states > 50_000


@pytest.mark.parametrize("name", FAULTS)
def test_a_fault_in_leases_is_found(name):
    module, names = FAULTS[name]
    with patched(module, **names):
        _, both = explore(Limits(heartbeats=1, restarts=1))
    assert both is not None
