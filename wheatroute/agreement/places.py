"""Where versions live: what every place must do, and the one that needs nothing else, a directory.

Owns the order inside a question (own row first, then the records) and what is on disk. A record is a whole
file, written beside, fsynced and linked under its number: the first one there stays, whoever else comes is
told so. It must never give half a record, nor say that one was added unless it was.
"""

from __future__ import annotations

import os
import re
import secrets
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from functools import partial
from pathlib import Path
from typing import Any, Protocol

import orjson
import trio

from wheatroute.agreement.versions import canonical, digest

MOST = 50  # records an answer holds: one with so many may not be the end of them
_SAFE = re.compile(r"[A-Za-z0-9_.-]{1,150}\Z")


class PlaceError(Exception):
    """The place could not be asked, or did not say whether a record was added."""


class Place(Protocol):
    """A store of records and rows. All of it may raise `PlaceError`."""

    async def ask(self, key: str, row: dict[str, Any] | None, after: int, mark: str) -> list[dict[str, Any]]:
        """Writes the row, if there is one, and then reads the records after a number.

        `mark` is the digest of the record of that number: another one there, or none, is a `PlaceError`.
        """

    async def rows(self) -> list[dict[str, Any]]:
        """The rows of all processes."""

    async def add(self, record: dict[str, Any]) -> bool:
        """Adds a record; False if there is one of its number already."""

    async def drop(self, keys: list[str]) -> None:
        """Removes rows."""

    async def say(self, key: str, row: dict[str, Any]) -> None:
        """Writes a row and reads nothing."""

    async def tell(self, words: list[dict[str, Any]], old: list[str]) -> None:
        """Writes words about servers, each over the one of its id, and removes those of other ids.

        What is new of them gathers in `words` with each `ask` that has a row, until `taken`.
        """


def taken(place: Any) -> list[dict[str, Any]]:
    """The words about servers that came since this was asked last.

    Guards against a word lost for good: the question that read it may fail after, and it is not read again.
    """
    # the list stays the same one: a question given up may still be adding to it, from a thread of its own
    words: list[dict[str, Any]] = getattr(place, "words", [])
    found = words[:]
    del words[: len(found)]
    return found


def legible(name: str, data: bytes, skipped: set[str]) -> dict[str, Any] | None:
    """What a row or a word holds; None for one that cannot be read, whose name goes among those skipped.

    Guards against one that a loss of power left empty, or that is of somebody else's making: it would fail
    the questions of all processes for good. Whoever wrote it and still runs writes it anew.
    """
    try:
        told = orjson.loads(data)
    except orjson.JSONDecodeError:
        told = None
    if isinstance(told, dict):
        return told
    skipped.add(name)
    return None


def flat(told: dict[str, Any]) -> list[dict[str, Any]]:
    """The rows of one key: a process's own, or those of a machine that a relay carries."""
    rows = told.get("rows")
    return rows if isinstance(rows, list) else [told]


class Directory:
    """A directory for the processes of one machine."""

    def __init__(self, path: str) -> None:
        self._log, self._nodes, self._words = (Path(path) / name for name in ("log", "nodes", "words"))
        self.path = path
        self.words: list[dict[str, Any]] = []
        self.skipped: set[str] = set()  # rows and words that could not be read
        self._read: dict[str, tuple[int, int]] = {}  # words that were read: when written, and which file

    async def ask(self, key: str, row: dict[str, Any] | None, after: int, mark: str) -> list[dict[str, Any]]:
        return await _in_thread(self.ask_now, key, row, after, mark)

    async def rows(self) -> list[dict[str, Any]]:
        return await _in_thread(self.rows_now)

    async def add(self, record: dict[str, Any]) -> bool:
        return await _in_thread(self.add_now, record)

    async def drop(self, keys: list[str]) -> None:
        await _in_thread(self.drop_now, keys)

    async def say(self, key: str, row: dict[str, Any]) -> None:
        await _in_thread(self.say_now, key, row)

    async def tell(self, words: list[dict[str, Any]], old: list[str]) -> None:
        await _in_thread(self.tell_now, words, old)

    # the same without waiting elsewhere, for the command line

    def make(self) -> None:
        """Makes what is missing; only where versions are put, so that one that is gone is seen to be."""
        try:
            self._log.mkdir(parents=True, exist_ok=True)
            self._nodes.mkdir(exist_ok=True)
        except OSError as trouble:
            raise _unlike(self.path, trouble) from trouble

    def ask_now(self, key: str, row: dict[str, Any] | None, after: int, mark: str) -> list[dict[str, Any]]:
        try:
            if row is not None:
                # not fsynced: after a loss of power nobody acts on what it says
                self._write(self._nodes / self._safe(key), orjson.dumps(row), False)
                found_words = self.words_now()
                self.words.extend(found_words)
            if not self._log.is_dir():
                raise PlaceError(f"{self.path}: no log")
            found: list[dict[str, Any]] = []
            if after:
                head = self._record(after)
                if head is None or digest(head) != mark:
                    raise PlaceError(
                        f"{self.path}: record {after} is {'another' if head else 'gone'}: "
                        "an older store, or another one"
                    )
            while len(found) < MOST and (record := self._record(after + len(found) + 1)) is not None:
                found.append(record)
            return found
        except (OSError, ValueError) as trouble:
            raise _unlike(self.path, trouble) from trouble

    def say_now(self, key: str, row: dict[str, Any]) -> None:
        try:
            self._write(self._nodes / self._safe(key), orjson.dumps(row), False)
        except (OSError, ValueError) as trouble:
            raise _unlike(self.path, trouble) from trouble

    def rows_now(self) -> list[dict[str, Any]]:
        try:
            rows = []
            for path in sorted(self._nodes.iterdir()):
                if not path.name.startswith("."):
                    with suppress(FileNotFoundError):
                        told = legible(path.name, path.read_bytes(), self.skipped)
                        rows += flat(told) if told is not None else []
            return rows
        except (OSError, ValueError) as trouble:
            raise _unlike(self.path, trouble) from trouble

    def add_now(self, record: dict[str, Any]) -> bool:
        beside = self._log / f".{secrets.token_hex(8)}"
        try:
            self._write_new(beside, canonical(record), True)
            try:
                os.link(beside, self._log / f"{record['seq']:012d}.json")
            except FileExistsError:
                return False
            finally:
                with suppress(OSError):
                    beside.unlink()
            _sync(self._log)
            return True
        except OSError as trouble:
            raise _unlike(self.path, trouble) from trouble

    def drop_now(self, keys: list[str]) -> None:
        for key in keys:
            with suppress(OSError):
                (self._nodes / self._safe(key)).unlink()

    def words_now(self) -> list[dict[str, Any]]:
        """The words written since this was asked last."""
        try:
            found = [
                (one.name, one.stat()) for one in os.scandir(self._words) if not one.name.startswith(".")
            ]
        except FileNotFoundError:
            return []
        entries = {name: (stat.st_mtime_ns, stat.st_ino) for name, stat in found}
        words = []
        for name, marks in entries.items():
            if self._read.get(name) != marks:
                with suppress(FileNotFoundError):
                    word = legible(name, (self._words / name).read_bytes(), self.skipped)
                    words += [word] if word is not None else []
        self._read = entries
        return words

    def tell_now(self, words: list[dict[str, Any]], old: list[str]) -> None:
        try:
            self._words.mkdir(exist_ok=True)
            for word in words:
                self._write(self._words / _file_of(word["id"]), orjson.dumps(word), False)
            for name in old:
                (self._words / _file_of(name)).unlink(missing_ok=True)
        except OSError as trouble:
            raise _unlike(self.path, trouble) from trouble

    def _record(self, number: int) -> dict[str, Any] | None:
        try:
            told = orjson.loads((self._log / f"{number:012d}.json").read_bytes())
        except FileNotFoundError:
            return None
        if not isinstance(told, dict):
            raise ValueError(f"record {number} is no object")
        return told

    def _write(self, path: Path, data: bytes, sync: bool) -> None:
        beside = path.with_name(f".{path.name}.{secrets.token_hex(4)}")
        self._write_new(beside, data, sync)
        os.rename(beside, path)

    @staticmethod
    def _write_new(path: Path, data: bytes, sync: bool) -> None:
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            view = memoryview(data)
            while view:
                view = view[os.write(descriptor, view) :]
            if sync:
                os.fsync(descriptor)
        finally:
            os.close(descriptor)

    @staticmethod
    def _safe(key: str) -> str:
        if not _SAFE.match(key) or key.startswith("."):
            raise ValueError(f"{key!r} cannot be the name of a row")
        return key


def _file_of(server: str) -> str:
    """Ids of servers are anybody's text."""
    return digest(server)[:40] + ".json"


def _sync(folder: Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _unlike(path: str, trouble: Exception) -> PlaceError:
    reason = trouble.strerror if isinstance(trouble, OSError) else str(trouble)
    return PlaceError(f"{path}: {reason}")


@asynccontextmanager
async def opened(place: Any) -> AsyncIterator[Any]:
    """A place that is ready to be asked, for as long as that lasts."""
    async with trio.open_nursery() as nursery:
        if hasattr(place, "run"):
            nursery.start_soon(place.run)
        yield place
        nursery.cancel_scope.cancel()


async def _in_thread(what: Any, *told: Any) -> Any:
    return await trio.to_thread.run_sync(partial(what, *told), abandon_on_cancel=True)
