"""The interface of a version store: an append-only log of records, process statuses and drain notices.

The backends are `directory_store`, `etcd_store` and, for the processes of a machine that has a relay,
`relay`. Every backend keeps two invariants: `exchange` writes the status before it reads the records, and
`append` reports success only for a record that is stored completely under its own number. No I/O.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any, Protocol

import orjson
import trio

from wheatroute.agreement.member_status import StoredStatus
from wheatroute.agreement.notice import StoredNotice
from wheatroute.agreement.records import StoredRecord

MAX_RECORDS_PER_READ = 50  # a read that returns this many may not have reached the end of the log


class VersionStore(Protocol):
    """A store of records, process statuses and drain notices. All methods may raise `VersionStoreError`."""

    async def exchange(
        self, key: str, status: StoredStatus | None, after: int, expected_digest: str
    ) -> list[StoredRecord]:
        """Writes the status, if one is given, and then reads the records that follow number `after`.

        `expected_digest` is that of record `after`. Raises `VersionStoreError` if that record is missing or
        has another digest.
        """

    async def statuses(self) -> list[StoredStatus]:
        """Returns the statuses of all processes."""

    async def append(self, record: StoredRecord) -> bool:
        """Appends a record; returns False if a record of that number exists already."""

    async def remove_statuses(self, keys: list[str]) -> None:
        """Removes the statuses stored under the keys."""

    async def write_status(self, key: str, status: StoredStatus) -> None:
        """Writes a status without reading anything."""

    async def write_drain_notices(self, notices: list[StoredNotice], expired_ids: list[str]) -> None:
        """Writes drain notices, replacing those of the same servers, and removes those of `expired_ids`.

        Each `exchange` with a status also reads new notices and keeps them for `take_received_notices`.
        """


def take_received_notices(store: Any) -> list[StoredNotice]:
    """Returns the drain notices that were read since the last call, and removes them from the store object.

    The store object keeps notices between calls, because each notice is read only once, and the exchange that
    reads it may fail afterwards.
    """
    # The list is emptied in place, not replaced: the thread of an abandoned exchange may still append to it.
    received: list[StoredNotice] = getattr(store, "received_notices", [])
    taken = received[:]
    del received[: len(taken)]
    return taken


def parse_entry(key: str, data: bytes, unreadable_keys: set[str]) -> dict[str, Any] | None:
    """Parses a stored status or drain notice.

    If it is malformed, adds its key to `unreadable_keys` and returns None.
    If it raised an error, an entry that a power loss left empty, or that another program wrote, would fail
    the exchanges of all processes permanently. An author that is still running writes its entry again.
    """
    try:
        entry = orjson.loads(data)
    except orjson.JSONDecodeError:
        entry = None
    if isinstance(entry, dict):
        return entry
    unreadable_keys.add(key)
    return None


def unpack_statuses(entry: dict[str, Any]) -> list[StoredStatus]:
    """Returns the statuses stored under one key: a process's status, or those that a relay forwards."""
    statuses = entry.get("rows")
    return statuses if isinstance(statuses, list) else [entry]


@asynccontextmanager
async def running_store(store: Any) -> AsyncIterator[Any]:
    """Runs the store's background task, if it has one, for the duration of the context."""
    async with trio.open_nursery() as nursery:
        if hasattr(store, "run"):
            nursery.start_soon(store.run)
        yield store
        nursery.cancel_scope.cancel()
