"""A Paxos acceptor: its stored votes decide, with those of the other voters, which view comes next. No I/O.

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

    def prepare(self, request: Prepare) -> Message | None:
        """The answer to a prepare, to be sent once `record` is on disk; None if this node has no vote."""
        self.learn(request.base)
        number = request.proposal_number
        rejection = self._rejected(request.base, number)
        if rejection is not None:
            return rejection
        if self.identity not in self.view.voters:
            return None
        self.record = msgspec.structs.replace(self.record, promised=number)
        return Promise(self.view.epoch, number, self.record.accepted, self.record.accepted_view)

    def accept(self, request: Accept) -> Message | None:
        """The answer to an accept, to be sent once `record` is on disk; None if this node has no vote."""
        self.learn(request.base)
        number = request.proposal_number
        rejection = self._rejected(request.base, number)
        if rejection is not None:
            return rejection
        if self.identity not in self.view.voters:
            return None
        self.record = msgspec.structs.replace(
            self.record, promised=number, accepted=number, accepted_view=request.view
        )
        return Accepted(self.view.epoch, number)

    def _rejected(self, base: View, proposal_number: ProposalNumber) -> Rejected | None:
        if base.epoch < self.view.epoch or proposal_number < self.record.promised:
            return Rejected(self.view, self.record.promised)
        return None
