"""One node's Paxos acceptor, which stores its vote. The votes of the voters decide the next view. No I/O.

Each next view is decided by single-decree Paxos among the voters of the view before it (vertical Paxos: L.
Lamport, D. Malkhi, L. Zhou, "Vertical Paxos and Primary-Backup Replication", PODC 2009).
"""

from __future__ import annotations

import msgspec

from wheatroute.replication.messages import Accept, Accepted, Message, Prepare, Promise, Rejected
from wheatroute.replication.records import AcceptorRecord, ProposalNumber
from wheatroute.replication.views import View


class Acceptor:
    """Answers Paxos requests for one node.

    `record` must be on disk before an answer that follows from it is sent.
    """

    def __init__(self, identity: str, record: AcceptorRecord) -> None:
        self.identity = identity
        self.record = record

    @property
    def view(self) -> View:
        """The newest view known as decided."""
        return self.record.view

    def learn(self, view: View) -> bool:
        """Adopts a decided view; returns False if it isn't newer than the view known so far."""
        if view.epoch <= self.view.epoch:
            return False
        self.record = AcceptorRecord(view=view)
        return True

    def prepare(self, request: Prepare) -> Message | None:
        """Answers a prepare request; returns None if this node has no vote.

        A promise may be sent only once `record` is on disk.
        """
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
        """Answers a request for a vote; returns None if this node has no vote.

        The vote may be sent only once `record` is on disk.
        """
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
