"""One process among those that agree: what it may act on, for how long, and when a version is in force.

Owns the process's history, the moment up to which it was confirmed, and the judgement of the others' rows.
Free of I/O: it is handed questions' moments and answers, in seconds on a monotonic clock. It must never act
on a version beyond its confirmation, take a version into force while a process that counts is not at joint,
or go back behind a record that it has taken.

How it holds, in short. A process writes its row, then reads the records, and acts on them until `lasts` after
it *sent* the row (less the drift). Records are only added, one at a time. Once it has read that a version was
put, it is at joint or careful, never on the old one alone: that ends `lasts` after the put at the latest, for
a process that is stopped, cut off one way or starting anew as well. `force` is added when every row tells of
a process that has read of the put, or `lasts` (and the drift) after the judge has. A process whose row a
judge does not see wrote it later, and reads the records after that, with the put among them.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf
from typing import Any

from wheatroute.agreement.versions import FORCE, WITHDRAW, History

DRIFT = 0.01  # by which the rates of two processes' monotonic clocks may differ, taken together
IDLE = 3.0  # times `lasts` after which the row of a process that says nothing is dropped
SHARE = 0.85  # of the stated time a confirmation lasts; the rest is for what is already on its way


@dataclass(frozen=True)
class Acts:
    """What a process acts on: the version in force, and one to keep within as well; 0 for none."""

    in_force: int = 0
    joint: int = 0
    careful: bool = True


class Member:
    """A process. `within` is the stated time, seconds."""

    def __init__(self, name: str, start: str, within: float, drift: float = DRIFT) -> None:
        self.history = History()
        self.name, self.start = name, start
        self.lasts, self.drift = SHARE * within, drift
        self.unusable: dict[int, str] = {}  # versions that this process cannot use, and why
        self.usable: set[int] = {0}
        self.acts = Acts()
        self.confirmed = -inf  # when the last question was sent that was answered
        self.trouble = "not confirmed yet"  # why it is careful
        self.went_back = 0
        self.listed = ("", 0)  # whose list of servers it acts on, and up to which revision
        self._beat = 0
        self._seen: dict[str, tuple[int, float]] = {}  # by row: its beat, and when it was first seen
        self._put_seen = (0, inf)  # the pending version and when it was first seen

    @property
    def key(self) -> str:
        """Of the row: two processes of one name have two."""
        return f"{self.name}.{self.start}"

    @property
    def until(self) -> float:
        """Up to when it may act on what it was confirmed in."""
        return self.confirmed + self.lasts * (1.0 - self.drift)

    def row(self, moment: float) -> dict[str, Any]:
        """What it tells the others; `moment` is Unix time, for people only."""
        self._beat += 1
        pending = self.history.pending
        return {
            "name": self.name,
            "start": self.start,
            "beat": self._beat,
            "seq": self.history.head,
            "acts": [self.acts.in_force, self.acts.joint],
            "careful": self.acts.careful,
            "refuses": pending if pending in self.unusable else 0,
            "reason": self.unusable.get(pending)
            or self.unusable.get(self.history.in_force, "")
            or (self.trouble if self.acts.careful else ""),
            "lasts": self.lasts,
            "list": list(self.listed),
            "at": moment,
        }

    def answered(self, sent: float, records: list[dict[str, Any]], whole: bool = True) -> None:
        """A question sent at that moment was answered, with the records after this history's head.

        What is not `whole`, as there may be more of them, confirms nothing. Raises `HistoryError` for another
        history: that confirms nothing either.
        """
        for record in records:
            self.history.take(record)
        if whole:
            self.confirmed, self.trouble = max(self.confirmed, sent), ""

    def failed(self, trouble: str) -> None:
        """A question was not answered, or by another history."""
        self.trouble = trouble

    def unchecked(self) -> list[int]:
        """Versions that this process has to check before it can say what it may act on."""
        wanted = [self.history.in_force, self.history.pending]
        return [one for one in wanted if one not in self.usable and one not in self.unusable]

    def checked(self, version: int, trouble: str = "") -> None:
        """Whether this process can use a version; a line that says why not."""
        if trouble:
            self.unusable[version] = trouble
        else:
            self.usable.add(version)

    def may(self, now: float) -> Acts:
        """What it may act on now. Whoever asks acts on it before the next row is written."""
        history = self.history
        known = history.in_force if history.in_force in self.usable else self.acts.in_force
        joint = history.pending if history.pending in self.usable else 0
        # one that cannot use what was put is careful until that is withdrawn: it cannot know when it is not
        wanted = (history.in_force, history.pending)
        lapsed = now >= self.until or any(one not in self.usable for one in wanted)
        if lapsed and not self.trouble:
            reasons = [self.unusable[one] for one in wanted if one in self.unusable]
            self.trouble = reasons[0] if reasons else "not confirmed in time"
        return Acts(known, joint, lapsed)

    def acting(self, acts: Acts) -> None:
        """It acts on this from now on."""
        self.acts = acts

    def judge(self, began: float, ended: float, rows: list[dict[str, Any]]) -> dict[str, Any] | None:
        """The record to add next, from all rows as read between two moments; None while there is none.

        Only right after an answer that was read before: the pending version must be the store's.
        """
        history = self.history
        pending = history.pending
        self._watch(ended, rows)
        if not pending or ended >= self.until:
            return None
        if self._put_seen[0] != pending:
            self._put_seen = (pending, ended)
        for row in rows:
            if row["refuses"] == pending:
                return history.next(
                    WITHDRAW, version=pending, by=self.name, reason=f"{row['name']}: {row['reason']}"
                )
        mine = any(row["name"] == self.name and row["start"] == self.start for row in rows)
        heard = all(
            row["seq"] >= history.put_at and (row["careful"] or row["acts"][1] == pending) for row in rows
        )
        longest = max([self.lasts, *(row["lasts"] for row in rows)])
        if heard and mine or began - self._put_seen[1] >= longest * (1.0 + self.drift):
            return history.next(FORCE, version=pending, by=self.name)
        return None

    def rank(self, rows: list[dict[str, Any]]) -> int:
        """Its place among the processes that count: they judge one after the other, not all at once."""
        keys = sorted(f"{row['name']}.{row['start']}" for row in rows)
        return keys.index(self.key) if self.key in keys else len(keys)

    def gone(self, began: float, rows: list[dict[str, Any]]) -> list[str]:
        """Keys of rows that stood still for so long that nobody needs them."""
        return [
            f"{row['name']}.{row['start']}"
            for row in rows
            if began - self._seen.get(f"{row['name']}.{row['start']}", (0, inf))[1] > IDLE * row["lasts"]
        ]

    def _watch(self, ended: float, rows: list[dict[str, Any]]) -> None:
        seen = {}
        for row in rows:
            key = f"{row['name']}.{row['start']}"
            beat, since = self._seen.get(key, (-1, ended))
            seen[key] = (beat, since) if beat == row["beat"] else (row["beat"], ended)
        self._seen = seen
