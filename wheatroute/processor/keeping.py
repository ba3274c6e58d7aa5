"""Snapshots of what a worker knows: the servers, its peers, and what the module learned.

Owns when one is written, what is in it, and what of one a start may use. It must never hold the event loop up
for a disk, use a snapshot of another pool, or let one win over a list that is there.
"""

from __future__ import annotations

from typing import Any

import trio

from wheatroute import snapshot, stored_statistics
from wheatroute.net.clock import now
from wheatroute.processor.dispatcher import Dispatcher, Listed


class Keeping:
    """One worker's snapshot; `told` is the file's table, `source` tells which pool it is of."""

    def __init__(
        self, told: dict[str, Any], source: dict[str, Any], dispatcher: Dispatcher, listed: Listed, log: Any
    ) -> None:
        self._path, self._every, self._oldest = told["path"], told["every"], told["oldest"]
        self._source, self._dispatcher, self._list, self._log = source, dispatcher, listed, log
        self.written = self.failed = 0

    def start(self) -> bool:
        """Serves from a snapshot until the list is heard; False, with the reason logged, if there is none."""
        try:
            told = snapshot.read(self._path, now(), self._oldest)
            if told.get("source") != self._source:
                raise snapshot.SnapshotError("is of another pool or another cluster")
        except snapshot.SnapshotError as trouble:
            self._log.warning("no-snapshot", path=self._path, trouble=str(trouble))
            return False
        since = max(0.0, now() - told["written"])
        rounds = self._dispatcher.rounds
        self._list.take_again(told.get("servers"), told.get("peers"), told.get("floor"))
        rounds.turn()  # so that the module knows the servers that it is told of
        recalled = stored_statistics.restore_statistics(
            rounds.balancer, told.get("learned"), self._list.numbers, now(), since
        )
        self._log.info("snapshot", age=round(since, 1), servers=len(self._list.entries), recalled=recalled)
        return True

    async def run(self) -> None:
        """Writes a snapshot at each interval until it is cancelled."""
        while True:
            await trio.sleep(self._every)
            await self.write()

    async def write(self) -> None:
        """A disk that is full or gone costs a log line, no more."""
        if not self._list.entries:
            return  # nothing known is nothing worth keeping: the old one stands
        body = {
            "source": self._source,
            "servers": list(self._list.entries.values()),
            "peers": self._list.peers(),
            "floor": self._list.floor,
            "learned": stored_statistics.export_statistics(
                self._dispatcher.rounds.balancer, self._list.numbers, now()
            ),
        }
        data = snapshot.encode(body, now())
        try:
            await trio.to_thread.run_sync(snapshot.write, self._path, data)
            self.written += 1
        except OSError as trouble:
            self.failed += 1
            self._log.warning("snapshot-failed", path=self._path, trouble=str(trouble))
