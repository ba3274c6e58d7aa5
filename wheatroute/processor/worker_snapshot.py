"""Snapshots of what a worker knows: the servers, its peers, and the statistics of the servers.

A start serves from the last snapshot until the list of servers is heard of. A snapshot of another source of
servers isn't used, and none is written while no server is known. I/O: files are written in a thread, so that
the event loop never waits for a disk.
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
    """The snapshot of one worker."""

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
        """Restores the last snapshot; logs the reason and returns False if it can't be used."""
        try:
            content = self._read()
        except snapshot.SnapshotError as error:
            self._log.warning("no-snapshot", path=self._settings.path, trouble=str(error))
            return False
        age_s = max(0.0, now() - content["written"])
        self._discovery.restore(content.get("servers"), content.get("peers"), content.get("floor"))
        self._driver.finish_burst()  # so that the balancer knows the servers of the statistics
        restored_count = stored_statistics.restore_statistics(
            self._driver.balancer, content.get("learned"), self._discovery.numbers, now(), age_s
        )
        self._log.info(
            "snapshot",
            age=round(age_s, 1),
            servers=len(self._discovery.entries),
            recalled=restored_count,
        )
        return True

    def _read(self) -> dict[str, Any]:
        """Returns the content of the last snapshot; raises `SnapshotError`."""
        content = snapshot.read(self._settings.path, now(), self._settings.max_age_s)
        if content.get("source") != asdict(self._source):
            raise snapshot.SnapshotError("is of another pool or another cluster")
        return content

    async def run(self) -> None:
        """Writes a snapshot at each interval until it is cancelled."""
        while True:
            await trio.sleep(self._settings.interval_s)
            await self.write()

    async def write(self) -> None:
        """Writes a snapshot; a disk that is full or gone costs a log line, no more."""
        if not self._discovery.entries:
            return  # the old one stands
        data = snapshot.encode(self._content(), now())
        try:
            await trio.to_thread.run_sync(snapshot.write, self._settings.path, data)
            self.written_count += 1
        except OSError as error:
            self.failed_count += 1
            self._log.warning("snapshot-failed", path=self._settings.path, trouble=str(error))

    def _content(self) -> dict[str, Any]:
        """Returns what is stored, by the keys of stored snapshots."""
        return {
            "source": asdict(self._source),
            "servers": list(self._discovery.entries.values()),
            "peers": self._discovery.peers(),
            "floor": self._discovery.min_position,
            "learned": stored_statistics.export_statistics(
                self._driver.balancer, self._discovery.numbers, now()
            ),
        }
