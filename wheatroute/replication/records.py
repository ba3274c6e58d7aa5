"""Records that a control node keeps on disk, and the numbers that order them. No I/O.

Keys on disk are those of earlier versions and stay: a field with another name carries its key.
"""

from __future__ import annotations

import zlib

import msgspec

from wheatroute.replication.views import View


class ProposalNumber(msgspec.Struct, frozen=True, order=True):
    """The number of one attempt to decide a view; a proposal number of Paxos.

    Unique by the proposer's identity and by its incarnation: a process that was started again may not know
    any more which numbers the one before it used.
    """

    number: int = 0
    proposer: str = ""
    incarnation: int = msgspec.field(default=0, name="process")

    def proposed_by(self, identity: str) -> bool:
        """Whether this node, in any of its incarnations, made the attempt."""
        return self.proposer == identity


class DocumentVersion(msgspec.Struct, frozen=True, order=True):
    """Orders documents: the epoch in which one was last replicated, then its sequence."""

    epoch: int = 0
    sequence: int = 0


class Document(msgspec.Struct, frozen=True):
    """The replicated state as one value."""

    version: DocumentVersion = msgspec.field(name="stamp")
    payload: bytes

    @property
    def digest(self) -> int:
        """CRC-32 of the payload, by which copies of one version are compared; no defence against forgery."""
        return zlib.crc32(self.payload)


class AcceptorRecord(msgspec.Struct, frozen=True):
    """All that an acceptor stores: the newest view it knows as decided, and its vote on the next one."""

    view: View
    promised: ProposalNumber = ProposalNumber()
    accepted: ProposalNumber = ProposalNumber()
    accepted_view: View | None = None


class NodeRecord(msgspec.Struct, frozen=True):
    """What a control node keeps on disk."""

    identity: str
    acceptor: AcceptorRecord = msgspec.field(name="witness")
    document: Document


def new_record(identity: str, acceptor: AcceptorRecord) -> NodeRecord:
    """The record of a node on an empty disk."""
    return NodeRecord(identity, acceptor, Document(DocumentVersion(), b""))
