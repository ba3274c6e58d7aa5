"""A drain notice and its stored form. No I/O."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

import msgspec

from wheatroute.agreement.documents import parse
from wheatroute.agreement.errors import MalformedDocumentError

StoredNotice = dict[str, Any]  # the stored form of a notice


class Notice(msgspec.Struct, frozen=True):
    """States that a server's process is about to end, or that it is back in service after all."""

    server_id: str = msgspec.field(name="id")
    started_ms: int | float = msgspec.field(name="started")  # start of the process, Unix time in ms
    is_leaving: bool = msgspec.field(name="leaves")
    # Increases each time that the server's process leaves or returns.
    revision: int = msgspec.field(name="turn")

    @property
    def order(self) -> tuple[float, int]:
        """The sort key by which the later of two notices about the same server is the larger one."""
        return float(self.started_ms), self.revision

    def to_stored(self) -> StoredNotice:
        """Returns the stored form."""
        document: StoredNotice = msgspec.to_builtins(self)
        return document


class ForwardedNotice(NamedTuple):
    """A notice with its stored form, which is forwarded unchanged, including keys that are unknown here."""

    notice: Notice
    document: StoredNotice


def parse_notice(document: Any) -> Notice | None:
    """Parses a stored notice; returns None if it is malformed."""
    try:
        return parse(document, Notice)
    except MalformedDocumentError:
        return None


def parse_notices(documents: Iterable[Any]) -> Iterator[ForwardedNotice]:
    """Parses stored notices, and skips malformed ones."""
    for document in documents:
        notice = parse_notice(document)
        if notice is not None:
            yield ForwardedNotice(notice, document)
