"""Messages between control nodes; `links` sends them as msgpack. No I/O.

Tags and keys must stay those of earlier versions, so that nodes of different versions understand each other;
a type or field whose name differs from its tag or key states it explicitly.

Paxos: `Prepare`, `Promise`, `Accept`, `Accepted`, `Rejected`. Views and leases: `Heartbeat`, `HeartbeatAck`,
`LeaseEnded`, `JoinRequest`, `ViewAnnouncement`. Documents: `Replicate`, `Replicated`. Soft state:
`SoftStateUpdate`, `SoftStateAck`, `BucketLevelsUpdate`.
"""

from __future__ import annotations

import msgspec

from wheatroute.replication.records import Document, DocumentVersion, ProposalNumber
from wheatroute.replication.views import View


class Prepare(msgspec.Struct, frozen=True, tag="prepare"):
    """Requests a promise for the view after `base`."""

    base: View
    proposal_number: ProposalNumber = msgspec.field(name="ballot")


class Promise(msgspec.Struct, frozen=True, tag="promise"):
    """Promises to accept no older proposal for the view after `epoch`; carries the sender's earlier vote."""

    epoch: int
    proposal_number: ProposalNumber = msgspec.field(name="ballot")
    accepted: ProposalNumber
    accepted_view: View | None


class Accept(msgspec.Struct, frozen=True, tag="accept"):
    """Requests a vote for `view` as the one after `base`."""

    base: View
    proposal_number: ProposalNumber = msgspec.field(name="ballot")
    view: View


class Accepted(msgspec.Struct, frozen=True, tag="accepted"):
    """Confirms that the sender's vote for the proposal is on disk."""

    epoch: int
    proposal_number: ProposalNumber = msgspec.field(name="ballot")


class Rejected(msgspec.Struct, frozen=True, tag="refused"):
    """Rejects a request: the requester's view is old, its number is too low, or a lease binds the vote.

    `lease_remaining_s`: seconds for which a lease still binds the vote, 0 if that isn't the reason.
    """

    view: View
    promised: ProposalNumber
    lease_remaining_s: float = msgspec.field(default=0.0, name="bound_s")


class LeaseEnded(msgspec.Struct, frozen=True, tag="lease-ended"):
    """Announces that the sender, the primary of this epoch's view, has no lease and won't lead it again."""

    epoch: int


class Heartbeat(msgspec.Struct, frozen=True, tag="beat"):
    """The primary's heartbeat, with its view, all known nodes, and the version of the committed document.

    `released` lists the leaving nodes that may stop now.
    """

    view: View
    number: int
    committed: DocumentVersion
    nodes: tuple[str, ...]
    released: tuple[str, ...] = ()


class HeartbeatAck(msgspec.Struct, frozen=True, tag="beat-answer"):
    """The answer to a heartbeat.

    `version` is that of the document on the sender's disk; `digest` is the digest of that document, or None
    while another document is being written. `is_healthy` is false while the sender's disk takes no writes.
    `is_lease_granted`: whether the sender's vote is bound to the primary for another `lease.GRANT_S` seconds.
    `incarnation` identifies the sender's process.
    """

    epoch: int
    number: int
    version: DocumentVersion = msgspec.field(name="stamp")
    is_healthy: bool = msgspec.field(name="healthy")
    is_leaving: bool = msgspec.field(name="leaving")
    digest: int | None = None
    is_lease_granted: bool = msgspec.field(default=False, name="granted")
    incarnation: int = msgspec.field(default=0, name="process")


class Replicate(msgspec.Struct, frozen=True, tag="replicate"):
    """Carries the primary's document, which the receiver writes to disk and acknowledges."""

    view: View
    document: Document


class Replicated(msgspec.Struct, frozen=True, tag="replicated"):
    """Acknowledges that the document of this version is on the sender's disk."""

    epoch: int
    version: DocumentVersion = msgspec.field(name="stamp")


class JoinRequest(msgspec.Struct, frozen=True, tag="join"):
    """Asks to join; a node that has no contact with a primary sends it to every node it knows."""

    epoch: int


class ViewAnnouncement(msgspec.Struct, frozen=True, tag="known"):
    """Carries the newest decided view that the sender has learned, and the nodes it knows."""

    view: View
    nodes: tuple[str, ...]


class SoftStateUpdate(msgspec.Struct, frozen=True, tag="hint"):
    """Carries the primary's soft state, from which the next primary starts.

    `number` orders the updates of one epoch.
    """

    epoch: int
    number: int
    payload: bytes


class BucketLevelsUpdate(msgspec.Struct, frozen=True, tag="levels"):
    """Carries the levels of the primary's token buckets; sent more often than the soft state.

    The levels are newer than those in the last soft state before this message.
    """

    epoch: int
    payload: bytes


class SoftStateAck(msgspec.Struct, frozen=True, tag="hint-taken"):
    """Acknowledges that the sender holds this soft state, and would start from it if it led next."""

    epoch: int
    number: int


Message = (
    Prepare
    | Promise
    | Accept
    | Accepted
    | Rejected
    | LeaseEnded
    | Heartbeat
    | HeartbeatAck
    | Replicate
    | Replicated
    | JoinRequest
    | ViewAnnouncement
    | SoftStateUpdate
    | SoftStateAck
    | BucketLevelsUpdate
)


class Envelope(msgspec.Struct, frozen=True):
    """Wraps a message between two control nodes with the identity of its sender."""

    sender: str
    message: Message
