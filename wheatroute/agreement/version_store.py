"""The interface of a version store: an append-only log of records, process statuses and drain notices.

The backends are `directory_store`, `etcd_store` and, for the processes of a machine that has a relay,
`relay`. Every backend keeps two invariants: `exchange` writes the status before it reads the records, and
`append` reports success only for a record that is stored whole under its own number. This module does no
I/O.
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

MAX_RECORDS_PER_READ = 50  # a read that returns as many may not have reached the end of the log


class VersionStore(Protocol):
    """A store of records, process statuses and drain notices. All methods may raise `VersionStoreError`."""

    async def exchange(
        self, key: str, status: StoredStatus | None, after: int, expected_digest: str
    ) -> list[StoredRecord]:
        """Write the status, if one is given, and then read the records that follow number `after`.

        `expected_digest` is that of record `after`; another record there, or none, is a `VersionStoreError`.
        """

    async def statuses(self) -> list[StoredStatus]:
        """Return the statuses of all processes."""

    async def append(self, record: StoredRecord) -> bool:
        """Append a record; False if its number is taken already."""

    async def remove_statuses(self, keys: list[str]) -> None:
        """Remove the statuses stored under the keys."""

    async def write_status(self, key: str, status: StoredStatus) -> None:
        """Write a status without reading anything."""

    async def write_drain_notices(self, notices: list[StoredNotice], expired_ids: list[str]) -> None:
        """Write drain notices, each over the one of its server, and remove those of `expired_ids`.

        Each `exchange` with a status collects new notices, until `take_received_notices` returns them.
        """


def take_received_notices(store: Any) -> list[StoredNotice]:
    """Return the drain notices that were read since the last call.

    They are kept until then as the exchange that read a notice may fail afterwards, and a notice is read
    once.
    """
    # the list object stays: an abandoned exchange may still add to it, from a thread of its own
    received: list[StoredNotice] = getattr(store, "received_notices", [])
    taken = received[:]
    del received[: len(taken)]
    return taken


def parse_entry(key: str, data: bytes, unreadable_keys: set[str]) -> dict[str, Any] | None:
    """Return a stored status or drain notice; None if it is malformed, with its key in `unreadable_keys`.

    An entry that a power loss left empty, or that another program wrote, would otherwise fail the exchanges
    of all processes permanently. If its author still runs, it is written again.
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
    """Return the statuses under one key: a process's own, or those of a machine that its relay forwards."""
    statuses = entry.get("rows")
    return statuses if isinstance(statuses, list) else [entry]


@asynccontextmanager
async def running_store(store: Any) -> AsyncIterator[Any]:
    """Run the store's background task, if it has one, for the duration of the context."""
    async with trio.open_nursery() as nursery:
        if hasattr(store, "run"):
            nursery.start_soon(store.run)
        yield store
        nursery.cancel_scope.cancel()
