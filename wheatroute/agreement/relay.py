"""One reader of a store for all processes of a machine: a directory that is kept like the store.

Owns the directory's records, and the word of how fresh they are: when the question was sent, whose rows
it carried, and what is said of servers. The processes ask the directory, and count their confirmation from
that moment, on the machine's one clock. It must never call fresh what it has not asked for, nor carry a row
after it has read the records.
"""

from __future__ import annotations

import os
import secrets
from collections.abc import Callable
from pathlib import Path
from typing import Any

import orjson
import trio

from wheatroute.agreement.adapter import AdaptedVersion
from wheatroute.agreement.following import Following, clock
from wheatroute.agreement.leaving import KEPT, order, readable
from wheatroute.agreement.member import Acts, Member
from wheatroute.agreement.places import Directory, Place, PlaceError, opened, taken
from wheatroute.balancing.settings import DecisionSettings

FRESH = "fresh"  # the file, beside the records
IDLE = 3.0  # times that a confirmation lasts after which a row that nobody writes is not carried any more


class Relayed(Directory):
    """The directory as a process sees it; `asked_at` is when what it read was asked for."""

    asked_at = 0.0

    def ask_now(self, key: str, row: dict[str, Any] | None, after: int, mark: str) -> list[dict[str, Any]]:
        told = self._fresh() if row is not None else None  # before the records, which are at least as new
        found = super().ask_now(key, row, after, mark)
        if row is not None:
            if told is None or key not in told["rows"] or told["sent"] > clock():
                raise PlaceError(f"{self.path}: the relay has not told of this process yet")
            self.asked_at = float(told["sent"])
            self.words[:] = [word for word in told.get("words", []) if readable(word)]
        return found

    def add_now(self, record: dict[str, Any]) -> bool:
        """Records are the relay's to add: it sees all rows of all machines."""
        return False

    def _fresh(self) -> dict[str, Any] | None:
        try:
            told = orjson.loads((Path(self.path) / FRESH).read_bytes())
        except (OSError, orjson.JSONDecodeError):
            return None
        return told if isinstance(told, dict) and {"sent", "rows"} <= told.keys() else None


class Through:
    """The store, asked for a whole machine: its rows go along, what comes back goes into the directory."""

    def __init__(self, store: Place, directory: str, lasts: float, within: float) -> None:
        self._store, self._kept, self._lasts = store, Directory(directory), lasts
        self._kept_for = KEPT * within
        self._seen: dict[str, tuple[int, float]] = {}
        self._words: dict[str, dict[str, Any]] = {}  # what the store says of servers
        self._untold: dict[str, dict[str, Any]] = {}  # what processes of the machine say and it does not yet
        self._since: dict[str, tuple[tuple[float, int], float]] = {}  # by id: a word's order, first seen when
        self.words: list[dict[str, Any]] = []  # nobody here acts on them
        self.path = directory

    @property
    def skipped(self) -> set[str]:
        return self._kept.skipped | getattr(self._store, "skipped", set())

    async def run(self) -> None:
        async with opened(self._store):
            await trio.sleep_forever()

    async def ask(self, key: str, row: dict[str, Any] | None, after: int, mark: str) -> list[dict[str, Any]]:
        rows = await trio.to_thread.run_sync(self._rows)
        sent = clock()
        told = {"name": row["name"], "rows": [row, *rows]} if row is not None else None
        records = await self._store.ask(key, told, after, mark)
        self._words |= {word["id"]: word for word in taken(self._store) if readable(word)}
        await self._carry(await trio.to_thread.run_sync(self._kept.words_now))
        await trio.to_thread.run_sync(self._keep, records, sent, rows)
        return records

    async def _carry(self, words: list[dict[str, Any]]) -> None:
        """What the machine's processes say of servers goes into the store, unless that knows better."""
        self._untold |= {word["id"]: word for word in filter(readable, words)}
        fresh = [
            word
            for name, word in self._untold.items()
            if name not in self._words or order(word) > order(self._words[name])
        ]
        old = self._old(clock())
        if fresh or old:
            await self._store.tell(fresh, old)
        self._words |= {word["id"]: word for word in fresh}
        self._untold.clear()
        for name in old:
            del self._words[name], self._since[name]

    def _old(self, now: float) -> list[str]:
        """Words that nobody needs any more.

        Guards against a store and a directory that grow with every server that ever left, where all machines
        have a relay: what their processes leave out goes from the directory only.
        """
        for name, word in self._words.items():
            if self._since.get(name, (None, 0.0))[0] != order(word):
                self._since[name] = order(word), now
        return [
            name
            for name, (_, since) in self._since.items()
            if now - since > self._kept_for and name not in self._untold
        ]

    def _rows(self) -> list[dict[str, Any]]:
        """Of the machine's processes, but for those that have not written theirs for long."""
        now, rows, seen = clock(), [], {}
        for one in self._kept.rows_now():
            name = f"{one['name']}.{one['start']}"
            beat, since = self._seen.get(name, (-1, now))
            seen[name] = (beat, since) if beat == one["beat"] else (one["beat"], now)
            if now - seen[name][1] < IDLE * self._lasts:
                rows.append(one)
        self._seen = seen
        return rows

    def _keep(self, records: list[dict[str, Any]], sent: float, rows: list[dict[str, Any]]) -> None:
        for record in records:
            self._kept.add_now(record)
        beside = Path(self.path) / f".{secrets.token_hex(6)}"
        told = {
            "sent": sent,
            "words": list(self._words.values()),
            "rows": {f"{one['name']}.{one['start']}": one["beat"] for one in rows},
        }
        try:
            beside.write_bytes(orjson.dumps(told))
            os.rename(beside, Path(self.path) / FRESH)
        except OSError as trouble:
            raise PlaceError(f"{self.path}: {trouble.strerror}") from trouble

    async def say(self, key: str, row: dict[str, Any]) -> None:
        await self._store.say(key, row)

    async def rows(self) -> list[dict[str, Any]]:
        return await self._store.rows()

    async def add(self, record: dict[str, Any]) -> bool:
        return await self._store.add(record)

    async def drop(self, keys: list[str]) -> None:
        await self._store.drop(keys)

    async def tell(self, words: list[dict[str, Any]], old: list[str]) -> None:
        await self._store.tell(words, old)


class _Anything:
    """The relay acts on nothing, so it can use every version."""

    def check(self, number: int, content: Any) -> str:
        return ""

    def adapt(self, acts: Acts) -> AdaptedVersion:
        return AdaptedVersion({}, {}, DecisionSettings(), {})


async def relay(store: Callable[[float], Place], directory: str, name: str, within: float, log: Any) -> None:
    """Keeps a directory like a store until it is cancelled; raises `PlaceError` if there can be none."""
    Directory(directory).make()
    member = Member(name, secrets.token_hex(6), within)
    through = Through(store(member.lasts), directory, member.lasts, within)
    following = Following(
        through, member, _Anything(), lambda adapted, binding: None, lambda: None, lambda: ("", 0), log
    )
    try:
        await following.run()
    finally:
        with trio.CancelScope(shield=True):
            await following.leave()
