"""Versions and their history: what was put, what is in force, what became of the rest. Free of I/O.

Owns the form of a record and the order of records. A history is one chain: each record names the digest of
the one before it, so that two stores, or one store and its older backup, cannot be taken for one another. It
must never go back, pass over a record, or read one of a form that it does not know.
"""

from __future__ import annotations

import hashlib
from copy import copy
from dataclasses import dataclass, field, replace
from typing import Any

import rfc8785

FORMAT = 1
PUT, FORCE, WITHDRAW = "put", "force", "withdraw"


class HistoryError(Exception):
    """The records do not go on from where this history is: another store, an older one, or a newer form."""


class ContentError(Exception):
    """What cannot be a version's content."""


def canonical(content: Any) -> bytes:
    """One text for equal contents, by RFC 8785; raises `ContentError`."""
    try:
        return rfc8785.dumps(content)
    except (rfc8785.CanonicalizationError, RecursionError) as trouble:
        raise ContentError(f"has no canonical form: {trouble}") from trouble


def digest(content: Any) -> str:
    """SHA-256 of the canonical form, in hexadecimal."""
    return hashlib.sha256(canonical(content)).hexdigest()


@dataclass
class Version:
    """One version and what became of it; `when` is Unix time, for people only."""

    number: int
    parent: int
    content: dict[str, Any]
    digest: str
    name: str  # of the act of putting it, given by who put it
    who: str = ""
    when: float = 0.0
    why: str = ""
    life: list[str] = field(default_factory=list)

    @property
    def state(self) -> str:
        return self.life[-1] if self.life else "put"


class History:
    """The records taken so far. Version 0 is what each process's own file says."""

    def __init__(self) -> None:
        self.head, self.mark = 0, ""  # number and digest of the last record
        self.in_force = self.pending = 0
        self.put_at = 0  # the record by which what is pending was put
        self.versions: dict[int, Version] = {}
        self.records: list[dict[str, Any]] = []

    def copy(self) -> History:
        """Another one that goes on from here by itself."""
        other = copy(self)
        other.versions = {number: replace(one, life=list(one.life)) for number, one in self.versions.items()}
        other.records = list(self.records)
        return other

    def next(self, kind: str, **more: Any) -> dict[str, Any]:
        """A record that would go on from here."""
        return {"format": FORMAT, "seq": self.head + 1, "before": self.mark, "kind": kind} | more

    def put(self, content: dict[str, Any], name: str, who: str, when: float, why: str) -> dict[str, Any]:
        return self.next(
            PUT,
            version=len(self.versions) + 1,
            parent=self.in_force,
            content=content,
            digest=digest(content),
            name=name,
            who=who,
            when=when,
            why=why,
        )

    def take(self, record: dict[str, Any]) -> None:
        """The next record; raises `HistoryError` and stays as it was if it is not that."""
        if record.get("format") != FORMAT:
            raise HistoryError(
                f"record {self.head + 1} has form {record.get('format')!r}, this program knows {FORMAT}"
            )
        if record.get("seq") != self.head + 1 or record.get("before") != self.mark:
            raise HistoryError(
                f"record {record.get('seq')!r} does not follow record {self.head} "
                f"({self.mark[:12] or 'the start'})"
            )
        kind, number = record.get("kind"), record.get("version")
        mark = digest(record)
        if kind == PUT:
            content = record["content"]
            if number != len(self.versions) + 1:
                raise HistoryError(f"record {self.head + 1}: version {number!r} is not the next one")
            if self.pending:
                self.versions[self.pending].life.append(f"replaced by {number}")
            self.versions[number] = Version(
                number,
                record["parent"],
                content,
                record["digest"],
                record["name"],
                record["who"],
                record["when"],
                record["why"],
            )
            self.pending, self.put_at = number, record["seq"]
        elif number != self.pending or kind not in (FORCE, WITHDRAW):
            raise HistoryError(
                f"record {self.head + 1}: {kind!r} of version {number!r}, {self.pending} is put"
            )
        elif kind == FORCE:
            if self.in_force:
                self.versions[self.in_force].life.append(f"was in force until {number}")
            self.versions[number].life.append("in force")
            self.in_force, self.pending = number, 0
        else:
            self.versions[number].life.append(f"withdrawn: {record['reason']}")
            self.pending = 0
        self.head, self.mark = record["seq"], mark
        self.records.append(record)
