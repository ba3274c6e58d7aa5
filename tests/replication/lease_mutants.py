"""Faults put into leases, membership changes and departures on purpose; see `mutants` for the older ones."""

from contextlib import ExitStack, contextmanager

from replication.mutants import core_with
from replication.simulation import patched

from wheatroute.replication import core as core_module
from wheatroute.replication import lease, peers, reconfiguration
from wheatroute.replication.core import ReplicationCore
from wheatroute.replication.effects import Committed
from wheatroute.replication.lease import LeaseGrant
from wheatroute.replication.peers import Peers


class ForgetsGrants(LeaseGrant):
    """A voter whose process starts is free at once."""

    def __init__(self, started):
        super().__init__(started)
        self._bound_until = started


class CountsFromTheAnswer(Peers):
    """A lease is counted from when the answer came, not from when the heartbeat was sent."""

    def beat_answered(self, sender, answer, now):
        super().beat_answered(sender, answer, now)
        if answer.is_lease_granted:
            self.get(sender).granted_sent = now


class CountsOldAnswers(Peers):
    """A read is confirmed by answers to the heartbeats before the question."""

    def majority_answered(self, view, number, own_vote):
        return super().majority_answered(view, number - 3, own_vote)


def commits_by_the_old_members(self, version):
    """A write needs the members of the present view alone, also while another view is being decided."""
    kept, self._proposed_members, proposal = self._proposed_members, frozenset(), self._proposal
    self._proposal = None
    try:
        ReplicationCore._check_commit(self, version)
    finally:
        self._proposed_members, self._proposal = kept, proposal


def leads_views_of_earlier_processes(self, view):
    return view.primary == self.identity


def seats_for_anybody(view, known, synced, tolerate, now):
    """A place that is free or lost goes to whoever answers, in sync or not."""
    there = [one.identity for one in known.values() if one.fit(now)]
    return _VOTERS(view, known, there, tolerate, now)


_VOTERS = reconfiguration._voters


def shows_what_is_not_committed(self, version):
    ReplicationCore._check_commit(self, version)
    if self.is_leading and self.committed is None:
        self.committed = self.document
        self._effects.append(Committed(self.document))


# by what is replaced: the core's class, or names in modules
CORES = {
    "a seat that is bound helps another": core_with(_bound=lambda self, base, proposer: 0.0),
    "a leader counts its seat though it voted for another": core_with(_own_vote=property(lambda self: True)),
    "a commit by the old members alone": core_with(_check_commit=commits_by_the_old_members),
    "a document shown before it is committed": core_with(_check_commit=shows_what_is_not_committed),
    "views of earlier processes are led": core_with(_leads=leads_views_of_earlier_processes),
}
NAMES = {
    "a lease longer than its grant": [(peers, {"LEADER_LEASE": 1.2})],
    "a grant that a restart forgets": [(core_module, {"LeaseGrant": ForgetsGrants})],
    "a grant by a seat that voted for another": [(core_module, {"grants": lambda record, primary: True})],
    "a lease counted from the answer": [(core_module, {"Peers": CountsFromTheAnswer})],
    "a read confirmed by older answers": [(core_module, {"Peers": CountsOldAnswers})],
    "a seat for a node that is not in sync": [(reconfiguration, {"_voters": seats_for_anybody})],
    "clocks that drift beyond what is stated": [(lease, {"GRANT": 0.3})],
}


@contextmanager
def with_names(name):
    """The modules with the names of one fault."""
    with ExitStack() as stack:
        for module, names in NAMES[name]:
            stack.enter_context(patched(module, **names))
        yield
