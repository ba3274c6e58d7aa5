"""The history of the settings' versions: which were put, activated and withdrawn. No I/O.

A history is a hash chain: each record contains the digest of its predecessor. Therefore two stores, or a
store and an older backup of it, cannot be mistaken for each other. A history never goes back, never skips a
record, and never accepts a record of an unknown format.
"""

from __future__ import annotations

import hashlib
from copy import copy
from dataclasses import dataclass, field, replace
from typing import Any

import msgspec
import rfc8785

from wheatroute.agreement.errors import ContentError, HistoryError
from wheatroute.agreement.records import (
    ActivateRecord,
    PutRecord,
    RecordHeader,
    RecordKind,
    StoredRecord,
    VersionRecord,
    WithdrawRecord,
    parse_header,
    parse_record,
)

FORMAT = 1


def canonical(content: Any) -> bytes:
    """Returns the canonical JSON of RFC 8785; raises `ContentError` if the content has none."""
    try:
        return rfc8785.dumps(content)
    except (rfc8785.CanonicalizationError, RecursionError) as error:
        raise ContentError(f"cannot be encoded as canonical JSON: {error}") from error


def digest(content: Any) -> str:
    """Returns the SHA-256 of the canonical JSON, in hexadecimal."""
    return hashlib.sha256(canonical(content)).hexdigest()


@dataclass
class Version:
    """A version of the settings and its outcomes so far, oldest first."""

    number: int
    parent: int  # the version that was active when this one was put
    content: dict[str, Any]
    digest: str
    put_id: str  # random; its author recognizes the version by it
    author: str = ""
    put_time: float = 0.0  # Unix time in seconds; for display only
    reason: str = ""
    outcomes: list[str] = field(default_factory=list)

    @property
    def state(self) -> str:
        """The latest outcome, or "put" if there is none yet."""
        return self.outcomes[-1] if self.outcomes else "put"


class History:
    """The state after the records applied so far.

    Versions are numbered from 1. Version 0 is the settings in each process's own file.
    """

    def __init__(self) -> None:
        self.head, self.head_digest = 0, ""  # number and digest of the last record
        self.active = self.pending = 0  # version numbers; `pending` is 0 if no version is pending
        self.pending_record = 0  # number of the record that put the pending version
        self.versions: dict[int, Version] = {}

    def copy(self) -> History:
        """Returns an independent copy."""
        other = copy(self)
        other.versions = {
            number: replace(version, outcomes=list(version.outcomes))
            for number, version in self.versions.items()
        }
        return other

    def next_record(self, kind: str, **fields: Any) -> StoredRecord:
        """Returns the stored form of a record that continues this history; `fields` have the stored keys."""
        chain = {"format": FORMAT, "seq": self.head + 1, "before": self.head_digest}
        return chain | {"kind": str(kind)} | fields

    def encode(self, record: VersionRecord) -> StoredRecord:
        """Returns the stored form of a record that continues this history, without applying it."""
        return self.next_record(**msgspec.to_builtins(record))

    def put_record(
        self, content: dict[str, Any], put_id: str, author: str, put_time: float, reason: str
    ) -> StoredRecord:
        """Returns the stored form of a record that puts a new version; raises `ContentError`."""
        record = PutRecord(
            version=len(self.versions) + 1,
            parent=self.active,
            content=content,
            digest=digest(content),
            put_id=put_id,
            author=author,
            put_time=put_time,
            reason=reason,
        )
        return self.encode(record)

    def apply(self, document: StoredRecord) -> None:
        """Applies the next record; if it cannot be applied, the history is unchanged.

        Raises `HistoryError` if the record does not continue this history, `MalformedDocumentError` if it is
        malformed.
        """
        header = parse_header(document)
        self._check_chain(header)
        document_digest = digest(document)
        self._check_version(header)
        match parse_record(document):
            case PutRecord() as record:
                self._apply_put(record)
            case ActivateRecord() as record:
                self._apply_activate(record)
            case WithdrawRecord() as record:
                self.versions[record.version].outcomes.append(f"withdrawn: {record.reason}")
                self.pending = 0
        self.head, self.head_digest = self.head + 1, document_digest

    def _check_chain(self, header: RecordHeader) -> None:
        if header.format != FORMAT:
            raise HistoryError(
                f"record {self.head + 1} has format {header.format!r}, this program supports {FORMAT}"
            )
        if header.number != self.head + 1 or header.previous_digest != self.head_digest:
            raise HistoryError(
                f"record {header.number!r} does not continue the history after record {self.head} "
                f"(digest {self.head_digest[:12] or 'none'})"
            )

    def _check_version(self, header: RecordHeader) -> None:
        """Raises `HistoryError` if a record has the wrong version number or an unknown kind.

        A put must have the next number; a record of any other kind must have that of the pending version.
        """
        number = header.version
        if header.kind == RecordKind.PUT:
            if number != len(self.versions) + 1:
                raise HistoryError(f"record {self.head + 1}: version {number!r} is not the next one")
        elif number != self.pending or header.kind not in (RecordKind.ACTIVATE, RecordKind.WITHDRAW):
            raise HistoryError(
                f"record {self.head + 1}: {header.kind!r} of version {number!r}, pending is {self.pending}"
            )

    def _apply_put(self, record: PutRecord) -> None:
        number = record.version
        if self.pending:
            self.versions[self.pending].outcomes.append(f"replaced by {number}")
        self.versions[number] = Version(
            number=number,
            parent=record.parent,
            content=record.content,
            digest=record.digest,
            put_id=record.put_id,
            author=record.author,
            put_time=record.put_time,
            reason=record.reason,
        )
        self.pending, self.pending_record = number, self.head + 1

    def _apply_activate(self, record: ActivateRecord) -> None:
        if self.active:
            self.versions[self.active].outcomes.append(f"was in force until {record.version}")
        self.versions[record.version].outcomes.append("in force")
        self.active, self.pending = record.version, 0
