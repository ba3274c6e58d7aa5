"""The records of the history of versions, and the documents in which a store keeps them. No I/O.

A document is a JSON object: the fields of its record, and those that chain it to the record before. Keys that
this program does not know are part of the digest and are otherwise ignored.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Any

import msgspec

from wheatroute.agreement.documents import malformed_document_errors, parse

StoredRecord = dict[str, Any]  # a record as a store keeps it


class RecordKind(StrEnum):
    """The kind of a record, as stored."""

    PUT = "put"
    ACTIVATE = "force"
    WITHDRAW = "withdraw"


class RecordHeader(msgspec.Struct, frozen=True):
    """What is checked of a record before the rest is read; of any type, as it may be of a newer format."""

    format: object = None
    number: object = msgspec.field(name="seq", default=None)
    previous_digest: object = msgspec.field(name="before", default=None)
    kind: object = None
    version: object = None


class _Record(msgspec.Struct, frozen=True, tag_field="kind"):
    """A record, apart from what chains it to the one before; each kind of record has its own type."""

    @property
    def kind(self) -> RecordKind:
        """The kind, by which the stored form is told apart."""
        return RecordKind(str(self.__struct_config__.tag))


class PutRecord(_Record, frozen=True, tag=RecordKind.PUT.value):
    """A version was put; `parent` is the one that was active then."""

    version: int
    parent: int
    content: Any  # checked by the processes, which say why they cannot use a version
    digest: str  # of the content
    put_id: str = msgspec.field(name="name")  # random, by which its author recognizes it
    author: str = msgspec.field(name="who")
    put_time: float = msgspec.field(name="when")  # Unix time in seconds; for display only
    reason: str = msgspec.field(name="why")


class ActivateRecord(_Record, frozen=True, tag=RecordKind.ACTIVATE.value):
    """The pending version became active."""

    version: int
    decided_by: str = msgspec.field(name="by", default="")  # name of a process


class WithdrawRecord(_Record, frozen=True, kw_only=True, tag=RecordKind.WITHDRAW.value):
    """The pending version was taken back, as some process cannot use it."""

    version: int
    decided_by: str = msgspec.field(name="by", default="")
    reason: str


VersionRecord = PutRecord | ActivateRecord | WithdrawRecord


def parse_header(document: StoredRecord) -> RecordHeader:
    """Return what is checked of a document before it is parsed."""
    return parse(document, RecordHeader)


def parse_record(document: StoredRecord) -> VersionRecord:
    """Return the record in a document; raises `MalformedDocumentError` if it is malformed."""
    with malformed_document_errors():
        record: VersionRecord = msgspec.convert(document, type=VersionRecord)
    return record
