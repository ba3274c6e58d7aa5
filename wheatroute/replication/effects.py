"""Effects that the replication core returns; its caller carries them out in the order returned."""

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
    """Every member has acknowledged this document: responses to callers may be based on it."""

    document: Document


@dataclass(frozen=True)
class WriteDone:
    """The write request with this number is done.

    `is_committed`: whether its document is committed. If not, this node will never acknowledge it.
    """

    request: int
    is_committed: bool


@dataclass(frozen=True)
class LeadershipCheckDone:
    """The leadership check with this number is done.

    `is_confirmed`: whether a majority of voters has answered a heartbeat that this leader sent after the
    check was requested.
    """

    request: int
    is_confirmed: bool


Effect = Send | Save | Committed | WriteDone | LeadershipCheckDone
