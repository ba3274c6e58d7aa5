"""Writes soft state to disk on asyncio, and runs what waits for it once it is there.

At most one write is in progress. A soft state that a newer one replaces before its write has begun is
skipped: what waits for it runs once the newer one is on disk. A failed write is tried again after
`record_writer.WRITE_RETRY_S`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from wheatroute.replication.record_writer import WRITE_RETRY_S, WRITE_STALL_S, Action
from wheatroute.replication.storage import StorageError


class SoftStateWriter:
    """Schedules the writes of one node's soft state.

    `write` writes a payload and raises StorageError if the disk rejects it. `on_trouble` is called when a
    write fails or has taken `WRITE_STALL_S`.
    """

    def __init__(self, write: Callable[[bytes], Awaitable[None]], on_trouble: Callable[[], None]) -> None:
        self._write = write
        self._on_trouble = on_trouble
        self._newest: bytes | None = None  # what the next write writes, if one is due
        self._after_next: list[Action] = []
        self._task: asyncio.Task[None] | None = None

    def request(self, payload: bytes, then: Action) -> None:
        """Requests a write of newer soft state; `then` runs once it, or a later one, is on disk."""
        self._newest = payload
        self._after_next.append(then)
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        while self._newest is not None:
            payload, self._newest = self._newest, None
            actions, self._after_next = self._after_next, []
            if await self._write_once(payload):
                for action in actions:
                    action()
                continue
            self._newest = self._newest if self._newest is not None else payload
            self._after_next = actions + self._after_next
            await asyncio.sleep(WRITE_RETRY_S)
        self._task = None

    async def _write_once(self, payload: bytes) -> bool:
        """Writes a payload; returns whether it is on disk."""
        stall = asyncio.get_running_loop().call_later(WRITE_STALL_S, self._on_trouble)
        try:
            await self._write(payload)
            return True
        except StorageError:
            self._on_trouble()
            return False
        finally:
            stall.cancel()
