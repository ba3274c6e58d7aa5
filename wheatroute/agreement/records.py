"""The records of the history of versions, and their stored form. No I/O.

The stored form is a JSON object with the fields of the record and those that chain it to the previous record.
Keys that this program does not know are part of the digest and are otherwise ignored.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Any

import msgspec

from wheatroute.agreement.documents import malformed_document_errors, parse

StoredRecord = dict[str, Any]  # the stored form of a record


class RecordKind(StrEnum):
    """The kind of a record, as stored."""

    PUT = "put"
    ACTIVATE = "force"
    WITHDRAW = "withdraw"


class RecordHeader(msgspec.Struct, frozen=True):
    """The fields that are checked before a record is parsed.

    They may be of any type, because the record may have a newer format.
    """

    format: object = None
    number: object = msgspec.field(name="seq", default=None)
    previous_digest: object = msgspec.field(name="before", default=None)
    kind: object = None
    version: object = None


class _Record(msgspec.Struct, frozen=True, tag_field="kind"):
    """Base class of the record types, of which there is one for each kind.

    They do not contain the fields that chain a record to the previous one.
    """

    @property
    def kind(self) -> RecordKind:
        """The kind of the record, the tag of its stored form."""
        return RecordKind(str(self.__struct_config__.tag))


class PutRecord(_Record, frozen=True, tag=RecordKind.PUT.value):
    """A version was put; `parent` is the version that was active then."""

    version: int
    parent: int
    content: Any  # each process checks it; if it cannot be used, the process's status says why
    digest: str  # digest of `content`
    put_id: str = msgspec.field(name="name")  # random; its author recognizes the version by it
    author: str = msgspec.field(name="who")
    put_time: float = msgspec.field(name="when")  # Unix time in seconds; for display only
    reason: str = msgspec.field(name="why")


class ActivateRecord(_Record, frozen=True, tag=RecordKind.ACTIVATE.value):
    """The pending version became active."""

    version: int
    decided_by: str = msgspec.field(name="by", default="")  # name of a process


class WithdrawRecord(_Record, frozen=True, kw_only=True, tag=RecordKind.WITHDRAW.value):
    """The pending version was withdrawn because some process cannot use it."""

    version: int
    decided_by: str = msgspec.field(name="by", default="")
    reason: str


VersionRecord = PutRecord | ActivateRecord | WithdrawRecord


def parse_header(document: StoredRecord) -> RecordHeader:
    """Parses the fields that are checked before the rest of a document."""
    return parse(document, RecordHeader)


def parse_record(document: StoredRecord) -> VersionRecord:
    """Parses a stored record; raises `MalformedDocumentError`."""
    with malformed_document_errors():
        record: VersionRecord = msgspec.convert(document, type=VersionRecord)
    return record
