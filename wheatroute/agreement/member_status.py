"""The status that each process of an agreement writes to the version store. No I/O."""

from __future__ import annotations

from typing import Any

import msgspec

from wheatroute.agreement.documents import parse

StoredStatus = dict[str, Any]  # the stored form of a status
CONSERVATIVE, JOINT, IN_FORCE = "careful", "joint", "in force"  # phases of a process, as printed


class MemberStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The versions that a process acts on and the records it has applied; unknown stored keys are ignored."""

    name: str
    incarnation: str = msgspec.field(name="start")
    heartbeat: int = msgspec.field(name="beat")
    applied_record: int = msgspec.field(name="seq")  # number of the last record applied
    versions: tuple[int, int] = msgspec.field(name="acts")  # active and joint; 0 for none
    is_conservative: bool = msgspec.field(name="careful")
    unusable_version: int = msgspec.field(name="refuses")  # the pending version if unusable, else 0
    reason: str = ""  # why the process cannot use a version, or is conservative
    confirmation_ttl_s: float = msgspec.field(name="lasts")
    server_list: tuple[str, int] = msgspec.field(name="list", default=("", 0))  # source and revision
    written_at: float = msgspec.field(name="at", default=0.0)  # Unix time; for display only

    @property
    def key(self) -> str:
        """The key in the store; it differs between two processes of the same name."""
        return f"{self.name}.{self.incarnation}"

    @property
    def phase(self) -> str:
        """The phase of the process: `CONSERVATIVE`, `JOINT` or `IN_FORCE`."""
        if self.is_conservative:
            return CONSERVATIVE
        return JOINT if self.versions[1] else IN_FORCE

    def to_stored(self) -> StoredStatus:
        """Returns the stored form."""
        document: StoredStatus = msgspec.to_builtins(self)
        return document


class StatusHeartbeat(msgspec.Struct, frozen=True):
    """The fields of a status that a relay reads; it forwards the whole status unchanged."""

    name: str
    incarnation: str = msgspec.field(name="start")
    heartbeat: int = msgspec.field(name="beat")

    @property
    def key(self) -> str:
        """The key in the store."""
        return f"{self.name}.{self.incarnation}"


def parse_status(document: StoredStatus) -> MemberStatus:
    """Parses a stored status; raises `MalformedDocumentError`."""
    return parse(document, MemberStatus)


def parse_heartbeat(document: StoredStatus) -> StatusHeartbeat:
    """Parses the heartbeat of a stored status; raises `MalformedDocumentError`."""
    return parse(document, StatusHeartbeat)
