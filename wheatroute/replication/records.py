"""Records that a control node keeps on disk, and the numbers that order them. No I/O.

Keys on disk must stay those of earlier versions; a field whose name differs from its key states the key.
"""

from __future__ import annotations

import zlib

import msgspec

from wheatroute.replication.views import View


class ProposalNumber(msgspec.Struct, frozen=True, order=True):
    """The Paxos proposal number of one attempt to decide a view.

    The proposer's identity and incarnation make it unique: a restarted process may not know which numbers the
    process before it used.
    """

    number: int = 0
    proposer: str = ""
    incarnation: int = msgspec.field(default=0, name="process")

    def proposed_by(self, identity: str) -> bool:
        """Whether the node `identity`, in any of its incarnations, made the attempt."""
        return self.proposer == identity


class DocumentVersion(msgspec.Struct, frozen=True, order=True):
    """Orders documents by the epoch in which they were last replicated, then by their sequence number."""

    epoch: int = 0
    sequence: int = 0


class Document(msgspec.Struct, frozen=True):
    """The whole replicated state, as one opaque payload."""

    version: DocumentVersion = msgspec.field(name="stamp")
    payload: bytes

    @property
    def digest(self) -> int:
        """CRC-32 of the payload, for comparing copies of one version; it doesn't protect against forgery."""
        return zlib.crc32(self.payload)


class AcceptorRecord(msgspec.Struct, frozen=True):
    """What an acceptor stores: the newest view it knows as decided, and its vote on the next one."""

    view: View
    promised: ProposalNumber = ProposalNumber()
    accepted: ProposalNumber = ProposalNumber()
    accepted_view: View | None = None


class NodeRecord(msgspec.Struct, frozen=True):
    """What a control node keeps on disk: its identity, its acceptor's state and the document."""

    identity: str
    acceptor: AcceptorRecord = msgspec.field(name="witness")
    document: Document


def new_record(identity: str, acceptor: AcceptorRecord) -> NodeRecord:
    """Returns the record of a node whose disk is empty."""
    return NodeRecord(identity, acceptor, Document(DocumentVersion(), b""))
