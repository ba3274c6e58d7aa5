"""Messages between control nodes; `links` sends them as msgpack. No I/O.

Tags and keys are those of earlier versions and stay: a type or field with another name carries its tag or
key. Paxos: `Prepare`, `Promise`, `Accept`, `Accepted`, `Rejected`. Views and leases: `Heartbeat`,
`HeartbeatAck`, `LeaseEnded`, `JoinRequest`, `ViewAnnouncement`. Documents: `Replicate`, `Replicated`. Soft
state: `SoftStateUpdate`, `SoftStateAck`, `BucketLevelsUpdate`.
"""

from __future__ import annotations

import msgspec

from wheatroute.replication.records import Document, DocumentVersion, ProposalNumber
from wheatroute.replication.views import View


class Prepare(msgspec.Struct, frozen=True, tag="prepare"):
    """Requests a promise on the view after `base`."""

    base: View
    proposal_number: ProposalNumber = msgspec.field(name="ballot")


class Promise(msgspec.Struct, frozen=True, tag="promise"):
    """No older proposal for the view after `epoch` will be accepted here; carries the vote given before."""

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
    """The vote is on disk."""

    epoch: int
    proposal_number: ProposalNumber = msgspec.field(name="ballot")


class Rejected(msgspec.Struct, frozen=True, tag="refused"):
    """The requester's view is old, its number is too low, or a lease binds the vote.

    `lease_remaining_s`: seconds for which a lease binds the vote, 0 if that isn't the reason.
    """

    view: View
    promised: ProposalNumber
    lease_remaining_s: float = msgspec.field(default=0.0, name="bound_s")


class LeaseEnded(msgspec.Struct, frozen=True, tag="lease-ended"):
    """The sender led this epoch and never will again: its lease is over."""

    epoch: int


class Heartbeat(msgspec.Struct, frozen=True, tag="beat"):
    """The primary's heartbeat, with its view, all nodes, and the version of the committed document.

    `released` are the nodes that are about to stop and aren't needed any more.
    """

    view: View
    number: int
    committed: DocumentVersion
    nodes: tuple[str, ...]
    released: tuple[str, ...] = ()


class HeartbeatAck(msgspec.Struct, frozen=True, tag="beat-answer"):
    """The answer to a heartbeat, with what the sender holds on disk.

    `is_healthy` is false while its disk takes no writes. `digest` is that of the document of `version`, None
    while another one is being written. `is_lease_granted`: whether the sender's vote is bound to the primary
    for another `lease.GRANT_S` seconds. `incarnation` identifies the sender's process.
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
    """The primary's document, to be written and acknowledged."""

    view: View
    document: Document


class Replicated(msgspec.Struct, frozen=True, tag="replicated"):
    """The document of this version is on the sender's disk."""

    epoch: int
    version: DocumentVersion = msgspec.field(name="stamp")


class JoinRequest(msgspec.Struct, frozen=True, tag="join"):
    """Sent by a node without contact with a primary to every node known to it."""

    epoch: int


class ViewAnnouncement(msgspec.Struct, frozen=True, tag="known"):
    """The newest decided view that the sender has learned, and the nodes known to it."""

    view: View
    nodes: tuple[str, ...]


class SoftStateUpdate(msgspec.Struct, frozen=True, tag="hint"):
    """The primary's soft state, which the next primary starts from; `number` orders those of one epoch."""

    epoch: int
    number: int
    payload: bytes


class BucketLevelsUpdate(msgspec.Struct, frozen=True, tag="levels"):
    """Levels of the primary's token buckets, sent often; newer than those of the soft state before it."""

    epoch: int
    payload: bytes


class SoftStateAck(msgspec.Struct, frozen=True, tag="hint-taken"):
    """The sender would start from this soft state if it led next."""

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
    """A message between two control nodes, with the identity of its sender."""

    sender: str
    message: Message
