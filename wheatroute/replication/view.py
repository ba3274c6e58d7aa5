"""Records and messages of replication.

A node's identity is `ip/nonce`: the nonce is drawn when its disk is first written, so a machine that lost its
disk comes back as another node and none of its old promises counts.
"""

from __future__ import annotations

import zlib

import msgspec

GENESIS_NONCE = "0"


class Ballot(msgspec.Struct, frozen=True, order=True):
    """The number of one attempt to decide a view.

    Unique by the proposer's identity and by its process: one that was started again may not know any more
    which numbers it used.
    """

    number: int = 0
    proposer: str = ""
    process: int = 0

    def proposed_by(self, identity: str) -> bool:
        """Whether this node, in any of its processes, made the attempt."""
        return self.proposer == identity


class View(msgspec.Struct, frozen=True):
    """Who leads, who holds every acknowledged document, and who votes on the next view.

    `process` is that of the primary which may lead: one that was started again doesn't know what the process
    before it has sent under this epoch.
    """

    epoch: int
    primary: str
    members: tuple[str, ...]
    seats: tuple[str, ...]
    process: int = 0

    @property
    def majority(self) -> int:
        """How many seats decide the view after this one."""
        return len(self.seats) // 2 + 1


NO_VIEW = View(epoch=-1, primary="", members=(), seats=())  # of a node that knows none


class Stamp(msgspec.Struct, frozen=True, order=True):
    """Orders documents: the epoch in which one was last replicated, then its sequence."""

    epoch: int = 0
    sequence: int = 0


class Document(msgspec.Struct, frozen=True):
    """The replicated state as one value."""

    stamp: Stamp
    payload: bytes

    @property
    def digest(self) -> int:
        """Of the payload, by which replicas under one stamp are compared; not against a forger."""
        return zlib.crc32(self.payload)


class WitnessRecord(msgspec.Struct, frozen=True):
    """All that a witness stores: the newest view it knows as decided, and its vote on the next one."""

    view: View
    promised: Ballot = Ballot()
    accepted: Ballot = Ballot()
    accepted_view: View | None = None


class NodeRecord(msgspec.Struct, frozen=True):
    """What a control node keeps on disk."""

    identity: str
    witness: WitnessRecord
    document: Document


class Prepare(msgspec.Struct, frozen=True, tag="prepare"):
    """Asks for a promise on the view after `base`."""

    base: View
    ballot: Ballot


class Promise(msgspec.Struct, frozen=True, tag="promise"):
    """No older ballot on the view after `epoch` will be accepted here; tells what was accepted before."""

    epoch: int
    ballot: Ballot
    accepted: Ballot
    accepted_view: View | None


class Accept(msgspec.Struct, frozen=True, tag="accept"):
    """Asks to accept `view` as the one after `base`."""

    base: View
    ballot: Ballot
    view: View


class Accepted(msgspec.Struct, frozen=True, tag="accepted"):
    """The vote is on disk."""

    epoch: int
    ballot: Ballot


class Refused(msgspec.Struct, frozen=True, tag="refused"):
    """The sender is behind, or another attempt goes first; carries what the receiver should know.

    `bound_s`: seconds for which the vote is bound by a lease, 0 if that isn't the reason.
    """

    view: View
    promised: Ballot
    bound_s: float = 0.0


class LeaseEnded(msgspec.Struct, frozen=True, tag="lease-ended"):
    """The sender led this epoch and never will again: its lease is over."""

    epoch: int


class Beat(msgspec.Struct, frozen=True, tag="beat"):
    """The primary's heartbeat; also tells the view, which nodes exist, and the committed stamp.

    `released` are the nodes that are about to stop and aren't needed any more.
    """

    view: View
    number: int
    committed: Stamp
    nodes: tuple[str, ...]
    released: tuple[str, ...] = ()


class BeatAnswer(msgspec.Struct, frozen=True, tag="beat-answer"):
    """What a node holds on disk; `healthy` is false while its disk takes no writes.

    `digest` is that of the document under `stamp`, None while another one is being written. `granted`:
    whether the seat's vote is bound to the primary for another `lease.GRANT` seconds. `process` tells the
    sender's process from those before it.
    """

    epoch: int
    number: int
    stamp: Stamp
    healthy: bool
    leaving: bool
    digest: int | None = None
    granted: bool = False
    process: int = 0


class Replicate(msgspec.Struct, frozen=True, tag="replicate"):
    """The primary's document, to be written and acknowledged."""

    view: View
    document: Document


class Replicated(msgspec.Struct, frozen=True, tag="replicated"):
    """The document of this stamp is on the sender's disk."""

    epoch: int
    stamp: Stamp


class Join(msgspec.Struct, frozen=True, tag="join"):
    """A node that hears from no primary asks whoever it knows."""

    epoch: int


class Known(msgspec.Struct, frozen=True, tag="known"):
    """The newest decided view that the sender knows, and the nodes that it has heard of."""

    view: View
    nodes: tuple[str, ...]


class Hint(msgspec.Struct, frozen=True, tag="hint"):
    """The leader's soft state, which a next leader starts from; `number` orders those of one epoch."""

    epoch: int
    number: int
    payload: bytes


class Levels(msgspec.Struct, frozen=True, tag="levels"):
    """What the leader's buckets hold, told often; newer than those of the hint that came before it."""

    epoch: int
    payload: bytes


class HintTaken(msgspec.Struct, frozen=True, tag="hint-taken"):
    """The sender would start from this hint if it led next."""

    epoch: int
    number: int


Message = (
    Prepare
    | Promise
    | Accept
    | Accepted
    | Refused
    | LeaseEnded
    | Beat
    | BeatAnswer
    | Replicate
    | Replicated
    | Join
    | Known
    | Hint
    | HintTaken
    | Levels
)


class Envelope(msgspec.Struct, frozen=True):
    """A message on its way between two control nodes."""

    sender: str
    message: Message


def host_of(identity: str) -> str:
    """The address of a node."""
    return identity.partition("/")[0]


def genesis_identity(host: str) -> str:
    """The identity of a seed at the first start of the whole system."""
    return f"{host}/{GENESIS_NONCE}"


def genesis_view(seed_hosts: tuple[str, ...]) -> View:
    """The view that every seed starts from: nobody leads, each of them may."""
    seats = tuple(sorted(genesis_identity(host) for host in seed_hosts))
    return View(epoch=0, primary="", members=seats, seats=seats)
