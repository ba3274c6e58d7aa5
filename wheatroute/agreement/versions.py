"""Versions of the settings and their history: what was put, what is active, what was withdrawn. No I/O.

A history is a hash chain: each record names the digest of the one before it, so that two stores, or a store
and its older backup, cannot be mistaken for one another. A history never goes back, skips a record, or
accepts one of an unknown format.
"""

from __future__ import annotations

import hashlib
from copy import copy
from dataclasses import dataclass, field, replace
from typing import Any

import rfc8785

FORMAT = 1
PUT, ACTIVATE, WITHDRAW = "put", "force", "withdraw"  # kinds of records, as stored


class HistoryError(Exception):
    """The records do not continue this history: another store, an older one, or a newer format."""


class ContentError(Exception):
    """The content is not valid for a version."""


def canonical(content: Any) -> bytes:
    """Return the canonical JSON of RFC 8785; raises `ContentError` if there is none."""
    try:
        return rfc8785.dumps(content)
    except (rfc8785.CanonicalizationError, RecursionError) as error:
        raise ContentError(f"has no canonical form: {error}") from error


def digest(content: Any) -> str:
    """Return the SHA-256 of the canonical form, in hexadecimal."""
    return hashlib.sha256(canonical(content)).hexdigest()


@dataclass
class Version:
    """One version and its outcomes so far."""

    number: int
    parent: int  # the version that was active when it was put
    content: dict[str, Any]
    digest: str
    put_id: str  # random, by which its author recognizes it
    author: str = ""
    put_time: float = 0.0  # Unix time in seconds; for display only
    reason: str = ""
    outcomes: list[str] = field(default_factory=list)

    @property
    def state(self) -> str:
        """The newest outcome; "put" while there is none."""
        return self.outcomes[-1] if self.outcomes else "put"


class History:
    """The records applied so far. Version 0 is what each process's own file says."""

    def __init__(self) -> None:
        self.head, self.head_digest = 0, ""  # number and digest of the last record
        self.active = self.pending = 0  # version numbers; 0 for none
        self.pending_record = 0  # number of the record that put the pending version
        self.versions: dict[int, Version] = {}
        self.records: list[dict[str, Any]] = []

    def copy(self) -> History:
        """Return an independent copy."""
        other = copy(self)
        other.versions = {
            number: replace(version, outcomes=list(version.outcomes))
            for number, version in self.versions.items()
        }
        other.records = list(self.records)
        return other

    def next_record(self, kind: str, **fields: Any) -> dict[str, Any]:
        """Return a record that would continue this history; it is not applied."""
        return {"format": FORMAT, "seq": self.head + 1, "before": self.head_digest, "kind": kind} | fields

    def put_record(
        self, content: dict[str, Any], put_id: str, author: str, put_time: float, reason: str
    ) -> dict[str, Any]:
        """Return a record that would put a new version; raises `ContentError`."""
        return self.next_record(
            PUT,
            version=len(self.versions) + 1,
            parent=self.active,
            content=content,
            digest=digest(content),
            name=put_id,
            who=author,
            when=put_time,
            why=reason,
        )

    def apply(self, record: dict[str, Any]) -> None:
        """Apply the next record; raises `HistoryError`, and changes nothing, if it is not the next one."""
        self._check_chain(record)
        kind, number = record.get("kind"), record.get("version")
        record_digest = digest(record)
        if kind == PUT:
            self._apply_put(record)
        elif number != self.pending or kind not in (ACTIVATE, WITHDRAW):
            raise HistoryError(
                f"record {self.head + 1}: {kind!r} of version {number!r}, {self.pending} is put"
            )
        elif kind == ACTIVATE:
            if self.active:
                self.versions[self.active].outcomes.append(f"was in force until {number}")
            self.versions[number].outcomes.append("in force")
            self.active, self.pending = number, 0
        else:
            self.versions[number].outcomes.append(f"withdrawn: {record['reason']}")
            self.pending = 0
        self.head, self.head_digest = record["seq"], record_digest
        self.records.append(record)

    def _check_chain(self, record: dict[str, Any]) -> None:
        if record.get("format") != FORMAT:
            raise HistoryError(
                f"record {self.head + 1} has form {record.get('format')!r}, this program knows {FORMAT}"
            )
        if record.get("seq") != self.head + 1 or record.get("before") != self.head_digest:
            raise HistoryError(
                f"record {record.get('seq')!r} does not follow record {self.head} "
                f"({self.head_digest[:12] or 'the start'})"
            )

    def _apply_put(self, record: dict[str, Any]) -> None:
        content, number = record["content"], record.get("version")
        if number != len(self.versions) + 1:
            raise HistoryError(f"record {self.head + 1}: version {number!r} is not the next one")
        if self.pending:
            self.versions[self.pending].outcomes.append(f"replaced by {number}")
        self.versions[number] = Version(
            number=number,
            parent=record["parent"],
            content=content,
            digest=record["digest"],
            put_id=record["name"],
            author=record["who"],
            put_time=record["when"],
            reason=record["why"],
        )
        self.pending, self.pending_record = number, record["seq"]
