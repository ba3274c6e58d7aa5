"""One acceptor: it stores epochs and votes, and decides with the other voters which view comes next.

Each next view is decided by single-decree Paxos among the voters of the view before it (vertical Paxos: L.
Lamport, D. Malkhi, L. Zhou, "Vertical Paxos and Primary-Backup Replication", PODC 2009).
"""

from __future__ import annotations

import msgspec

from wheatroute.replication.messages import Accept, Accepted, Message, Prepare, Promise, Rejected
from wheatroute.replication.records import AcceptorRecord, ProposalNumber
from wheatroute.replication.views import View


class Acceptor:
    """The acceptor of one node. `record` must be on disk before an answer that follows from it is sent."""

    def __init__(self, identity: str, record: AcceptorRecord) -> None:
        self.identity = identity
        self.record = record

    @property
    def view(self) -> View:
        """The newest view known as decided."""
        return self.record.view

    def learn(self, view: View) -> bool:
        """Takes in a decided view; true if it is newer than what was known."""
        if view.epoch <= self.view.epoch:
            return False
        self.record = AcceptorRecord(view=view)
        return True

    def prepare(self, message: Prepare) -> Message | None:
        """The answer to a prepare, to be sent once `record` is on disk; None if this node has no vote."""
        self.learn(message.base)
        refused = self._rejected(message.base, message.proposal_number)
        if refused is not None:
            return refused
        if self.identity not in self.view.voters:
            return None
        self.record = msgspec.structs.replace(self.record, promised=message.proposal_number)
        return Promise(
            self.view.epoch, message.proposal_number, self.record.accepted, self.record.accepted_view
        )

    def accept(self, message: Accept) -> Message | None:
        """The answer to an accept, to be sent once `record` is on disk; None if this node has no vote."""
        self.learn(message.base)
        refused = self._rejected(message.base, message.proposal_number)
        if refused is not None:
            return refused
        if self.identity not in self.view.voters:
            return None
        self.record = msgspec.structs.replace(
            self.record,
            promised=message.proposal_number,
            accepted=message.proposal_number,
            accepted_view=message.view,
        )
        return Accepted(self.view.epoch, message.proposal_number)

    def _rejected(self, base: View, proposal_number: ProposalNumber) -> Rejected | None:
        if base.epoch < self.view.epoch or proposal_number < self.record.promised:
            return Rejected(self.view, self.record.promised)
        return None
