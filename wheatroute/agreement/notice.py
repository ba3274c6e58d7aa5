"""One drain notice, and the document in which a store keeps it. No I/O."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

import msgspec

from wheatroute.agreement.documents import parse
from wheatroute.agreement.errors import MalformedDocumentError

StoredNotice = dict[str, Any]  # a notice as a store keeps it


class Notice(msgspec.Struct, frozen=True):
    """That a server's process is about to end, or is not any more."""

    server_id: str = msgspec.field(name="id")
    started_ms: int | float = msgspec.field(name="started")  # start of the process; Unix time
    is_leaving: bool = msgspec.field(name="leaves")
    turn: int  # how often the statement about this process has changed

    @property
    def order(self) -> tuple[float, int]:
        """The sort key by which the later one of two notices about one server is the larger."""
        return float(self.started_ms), self.turn

    def to_stored(self) -> StoredNotice:
        """Return the document for the store."""
        document: StoredNotice = msgspec.to_builtins(self)
        return document


class ForwardedNotice(NamedTuple):
    """A notice with its document, which is passed on as it is, also with keys that are unknown here."""

    notice: Notice
    document: StoredNotice


def parse_notice(document: Any) -> Notice | None:
    """Return the notice in a document; None if it is malformed."""
    try:
        return parse(document, Notice)
    except MalformedDocumentError:
        return None


def parse_notices(documents: Iterable[Any]) -> Iterator[ForwardedNotice]:
    """Return the notices in documents, without those that are malformed."""
    for document in documents:
        notice = parse_notice(document)
        if notice is not None:
            yield ForwardedNotice(notice, document)
