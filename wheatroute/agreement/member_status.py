"""The status that a process of an agreement writes into the version store. No I/O."""

from __future__ import annotations

from typing import Any

import msgspec

from wheatroute.agreement.documents import parse

StoredStatus = dict[str, Any]  # a status as a store keeps it
CONSERVATIVE, JOINT, IN_FORCE = "careful", "joint", "in force"  # phases of a process, as printed


class MemberStatus(msgspec.Struct, frozen=True, kw_only=True):
    """What a process acts on, and what it has read; keys that this program does not know are ignored."""

    name: str
    incarnation: str = msgspec.field(name="start")
    heartbeat: int = msgspec.field(name="beat")
    applied_record: int = msgspec.field(name="seq")  # number of the last one
    versions: tuple[int, int] = msgspec.field(name="acts")  # the active and the joint one; 0 for none
    is_conservative: bool = msgspec.field(name="careful")
    unusable_version: int = msgspec.field(name="refuses")  # the pending one, if it cannot use that; or 0
    reason: str = ""  # why it cannot use a version, or is conservative
    confirmation_ttl_s: float = msgspec.field(name="lasts")
    server_list: tuple[str, int] = msgspec.field(name="list", default=("", 0))  # source and revision
    written_at: float = msgspec.field(name="at", default=0.0)  # Unix time; for display only

    @property
    def key(self) -> str:
        """The key in the store; two processes of one name have two."""
        return f"{self.name}.{self.incarnation}"

    @property
    def phase(self) -> str:
        """What the process acts on, as printed."""
        if self.is_conservative:
            return CONSERVATIVE
        return JOINT if self.versions[1] else IN_FORCE

    def to_stored(self) -> StoredStatus:
        """Return the document for the store."""
        document: StoredStatus = msgspec.to_builtins(self)
        return document


class StatusHeartbeat(msgspec.Struct, frozen=True):
    """What a relay reads of a status that it forwards."""

    name: str
    incarnation: str = msgspec.field(name="start")
    heartbeat: int = msgspec.field(name="beat")

    @property
    def key(self) -> str:
        """The key in the store."""
        return f"{self.name}.{self.incarnation}"


def parse_status(document: StoredStatus) -> MemberStatus:
    """Return the status in a document; raises `MalformedDocumentError` if it is malformed."""
    return parse(document, MemberStatus)


def parse_heartbeat(document: StoredStatus) -> StatusHeartbeat:
    """Return the heartbeat in a document; raises `MalformedDocumentError` if it is malformed."""
    return parse(document, StatusHeartbeat)
