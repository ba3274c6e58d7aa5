"""Faults to inject into leases and membership changes; see also `mutants`."""

from contextlib import ExitStack, contextmanager

from replication.mutants import core_with
from replication.simulation import patched

from wheatroute.replication import leader as leader_module
from wheatroute.replication import lease, peers, reconfiguration
from wheatroute.replication import voter as voter_module
from wheatroute.replication.document_replication import DocumentReplication
from wheatroute.replication.effects import Committed
from wheatroute.replication.lease import LeaseGrant
from wheatroute.replication.peers import Peers


class ForgetsGrants(LeaseGrant):
    """The vote of a process that starts is free at once."""

    def __init__(self, started_at):
        super().__init__(started_at)
        self._bound_until = started_at


class CountsFromTheAnswer(Peers):
    """A lease counts from the time at which the answer arrived, not from that of the heartbeat's sending."""

    def on_heartbeat_ack(self, sender, ack, now):
        super().on_heartbeat_ack(sender, ack, now)
        if ack.is_lease_granted:
            self.get(sender).granted_sent_at = now


class CountsOldAnswers(Peers):
    """A leadership check is confirmed by answers to heartbeats sent before the check."""

    def has_majority_answered(self, view, number, own_vote):
        return super().has_majority_answered(view, number - 3, own_vote)


def commits_by_the_old_members(self, version):
    """Commits with the members of the current view alone, even while another view is being decided."""
    proposer = self._proposer
    kept, proposal = proposer._proposed_members, proposer._proposal
    proposer._proposed_members, proposer._proposal = frozenset(), None
    try:
        DocumentReplication.check_commit(self, version)
    finally:
        proposer._proposed_members, proposer._proposal = kept, proposal


def leads_views_of_earlier_processes(self, view):
    return view.primary == self.identity


def voters_in_sync_or_not(view, nodes, synced, tolerate, now):
    """Adds missing voters and replaces lost ones, by any node that answers, in sync or not."""
    answering = [node.identity for node in nodes.values() if node.can_replicate(now)]
    return _VOTERS(view, nodes, answering, tolerate, now)


_VOTERS = reconfiguration._voters


def shows_what_is_not_committed(self, version):
    DocumentReplication.check_commit(self, version)
    state = self._state
    if state.is_leading and self.committed is None:
        self.committed = state.document
        state.emit(Committed(state.document))


# Faults that replace the core's class.
CORE_MUTANTS = {
    "a voter whose bound vote goes to another node": core_with(
        voter={"lease_remaining_s": lambda self, base, proposer: 0.0}
    ),
    "a leader counts its own vote though it went to another": core_with(
        leader={"has_own_vote": property(lambda self: True)}
    ),
    "a commit by the old members alone": core_with(documents={"check_commit": commits_by_the_old_members}),
    "a document shown before it is committed": core_with(
        documents={"check_commit": shows_what_is_not_committed}
    ),
    "views of earlier processes are led": core_with(_is_primary_of=leads_views_of_earlier_processes),
}
# Faults that replace attributes of modules.
MODULE_PATCHES = {
    "a lease longer than its grant": [(peers, {"LEADER_LEASE_S": 1.2})],
    "a grant that a restart forgets": [(voter_module, {"LeaseGrant": ForgetsGrants})],
    "a grant by a voter that voted for another": [
        (module, {"grants": lambda record, primary: True}) for module in (leader_module, voter_module)
    ],
    "a lease counted from the answer": [(leader_module, {"Peers": CountsFromTheAnswer})],
    "a read confirmed by older answers": [(leader_module, {"Peers": CountsOldAnswers})],
    "a voter that is not in sync": [(reconfiguration, {"_voters": voters_in_sync_or_not})],
    "clocks that drift more than stated": [(lease, {"GRANT_S": 0.3})],
}


@contextmanager
def with_lease_mutant(name):
    """Injects one fault of `MODULE_PATCHES` within a `with` block."""
    with ExitStack() as stack:
        for module, names in MODULE_PATCHES[name]:
            stack.enter_context(patched(module, **names))
        yield
