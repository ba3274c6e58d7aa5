"""Effects: what the replication core has its caller carry out, in the order in which they are returned."""

from __future__ import annotations

from dataclasses import dataclass

from wheatroute.replication.messages import Message
from wheatroute.replication.records import Document, NodeRecord


@dataclass(frozen=True)
class Send:
    """Send a message to the control node at this host."""

    host: str
    message: Message


@dataclass(frozen=True)
class Save:
    """Write this record to disk, then call `saved` or `save_failed`."""

    record: NodeRecord


@dataclass(frozen=True)
class Committed:
    """This document is acknowledged by every member: it may be shown and served."""

    document: Document


@dataclass(frozen=True)
class WriteDone:
    """The write with this number is committed, or will never be acknowledged by this node."""

    request: int
    is_committed: bool


@dataclass(frozen=True)
class ReadDone:
    """Whether this node was still the leader after the read with this number was requested."""

    request: int
    is_confirmed: bool


Effect = Send | Save | Committed | WriteDone | ReadDone
