"""Snapshots of a worker's state: the list of servers, its peers, and the statistics of the servers.

After a start, a worker serves from the last snapshot until it receives the list of servers. A snapshot
with another source of servers isn't used. No snapshot is written while no server is known. I/O: files are
written in a thread, so that the event loop never waits for a disk.
"""

from __future__ import annotations

from dataclasses import asdict
from typing import Any

import trio

from wheatroute import snapshot, stored_statistics
from wheatroute.config.processor import SnapshotSettings
from wheatroute.net.clock import now
from wheatroute.net.log import Logger
from wheatroute.processor.burst_driver import BurstDriver
from wheatroute.processor.discovery import WorkerDiscovery
from wheatroute.processor.worker_settings import SnapshotSource


class WorkerSnapshot:
    """Reads and writes the snapshot of one worker."""

    def __init__(
        self,
        settings: SnapshotSettings,
        source: SnapshotSource,
        driver: BurstDriver,
        discovery: WorkerDiscovery,
        log: Logger,
    ) -> None:
        self._settings = settings
        self._source = source
        self._driver = driver
        self._discovery = discovery
        self._log = log
        self.written_count = 0
        self.failed_count = 0

    def restore(self) -> bool:
        """Restores the last snapshot; logs the error and returns False if it can't be used."""
        try:
            content = self._read()
        except snapshot.SnapshotError as error:
            self._log.warning("snapshot-unavailable", path=self._settings.path, error=str(error))
            return False
        age_s = max(0.0, now() - content["written"])
        self._discovery.restore(content.get("servers"), content.get("peers"), content.get("floor"))
        # Handles the list now, so that the balancer knows the servers when their statistics are restored.
        self._driver.finish_burst()
        restored_count = stored_statistics.restore_statistics(
            self._driver.balancer, content.get("learned"), self._discovery.numbers, now(), age_s
        )
        self._log.info(
            "snapshot-restored",
            age_s=round(age_s, 1),
            servers=len(self._discovery.entries),
            statistics=restored_count,
        )
        return True

    def _read(self) -> dict[str, Any]:
        """Returns the content of the last snapshot; raises `SnapshotError` if it can't be used."""
        content = snapshot.read(self._settings.path, now(), self._settings.max_age_s)
        if content.get("source") != asdict(self._source):
            raise snapshot.SnapshotError("was written for another pool or cluster")
        return content

    async def run(self) -> None:
        """Writes a snapshot at each interval until cancelled."""
        while True:
            await trio.sleep(self._settings.interval_s)
            await self.write()

    async def write(self) -> None:
        """Writes a snapshot; a failure, such as a full disk, is only logged.

        While no server is known, the previous snapshot is kept.
        """
        if not self._discovery.entries:
            return
        data = snapshot.encode(self._content(), now())
        try:
            await trio.to_thread.run_sync(snapshot.write, self._settings.path, data)
            self.written_count += 1
        except OSError as error:
            self.failed_count += 1
            self._log.warning("snapshot-failed", path=self._settings.path, error=str(error))

    def _content(self) -> dict[str, Any]:
        """Returns the content of a snapshot by its stored keys."""
        return {
            "source": asdict(self._source),
            "servers": list(self._discovery.entries.values()),
            "peers": self._discovery.peers(),
            "floor": self._discovery.min_position,
            "learned": stored_statistics.export_statistics(
                self._driver.balancer, self._discovery.numbers, now()
            ),
        }
