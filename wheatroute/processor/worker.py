"""One worker of the processor: creates its components, serves, reloads its settings and stops.

Invariant: a worker doesn't exit while requests are open whose deadline has not passed.
"""

from __future__ import annotations

import socket
from collections.abc import AsyncIterator, Callable
from typing import Any, Protocol

import trio

from wheatroute.config import settings_file
from wheatroute.config.processor import TlsSettings
from wheatroute.config.settings import Settings
from wheatroute.grpc.limits import ConnectionLimits
from wheatroute.grpc.server import Server
from wheatroute.net.log import Logger
from wheatroute.net.signals import handle_signals
from wheatroute.processor.discovery import WorkerDiscovery
from wheatroute.processor.dispatcher import Dispatcher
from wheatroute.processor.processing_messages import METHOD_PATH
from wheatroute.processor.worker_settings import WorkerSettings, derive_worker_settings
from wheatroute.processor.worker_snapshot import WorkerSnapshot
from wheatroute.tls import ServerContext, TlsError

# When the worker stops, proxies have the longest deadline plus this time to end their streams.
STOP_GRACE_S = 1.0
STOP_POLL_INTERVAL_S = 0.01
# Settings that need a restart: their keys in the file, mapped to their attributes in `Settings`.
RESTART_SETTINGS = {
    "name": "name",
    "seed": "seed",
    "nodes": "nodes",
    "node": "node",
    "traffic_types": "request_classes",
    "customers": "tenants",
    "processor": "processor",
}


class SettingsFollower(Protocol):
    """Follows the versions of the settings on which all processes agree, and applies them to a worker."""

    async def run(self) -> None:
        """Follows and applies versions until cancelled."""

    async def leave(self) -> None:
        """Removes this worker's status from the version store; called when the worker stops."""


# Creates the settings follower of a worker. Arguments: the file's settings, the worker's number, the worker's
# settings, its dispatcher, its discovery and its log.
FollowSettings = Callable[
    [Settings, int, WorkerSettings, Dispatcher, WorkerDiscovery, Logger], SettingsFollower
]


class Worker:
    """One worker.

    `path` is the settings file, which `reload` reads again. `follow` is called, and must be given, if the
    file has an [agreement] section.
    """

    def __init__(
        self, settings: Settings, path: str, number: int, log: Logger, follow: FollowSettings | None = None
    ) -> None:
        self._settings = settings
        self._path = path
        self._number = number
        self._log = log
        worker_settings = derive_worker_settings(settings, number)
        self._max_deadline_s = max(
            request_class.deadline for request_class in worker_settings.decision.request_classes
        )
        self.dispatcher = Dispatcher(worker_settings, log)
        self.discovery = WorkerDiscovery(worker_settings, self.dispatcher.driver, self.dispatcher, log)
        self.dispatcher.driver.discovery = self.discovery
        self._snapshot = self._make_snapshot(worker_settings)
        self._follower: SettingsFollower | None = None
        if worker_settings.agreement is not None:
            assert follow is not None, "a file with [agreement] needs a follower"
            self._follower = follow(settings, number, worker_settings, self.dispatcher, self.discovery, log)
        self._tls = _server_context(worker_settings.processor.tls)
        self.server = Server(
            {METHOD_PATH: self.dispatcher.open_stream},
            ConnectionLimits(max_streams=worker_settings.processor.max_streams),
            log,
            self._tls,
            worker_settings.processor.max_connections,
            self.dispatcher.finish_burst,
            shares_listener=worker_settings.processor.workers > 1,
        )

    def _make_snapshot(self, worker_settings: WorkerSettings) -> WorkerSnapshot | None:
        if worker_settings.snapshot is None:
            return None
        return WorkerSnapshot(
            worker_settings.snapshot,
            worker_settings.snapshot_source,
            self.dispatcher.driver,
            self.discovery,
            self._log,
        )

    async def run(self, listener: socket.socket, task_status: Any = trio.TASK_STATUS_IGNORED) -> None:
        """Serves until `stop` is called and the open requests have their responses."""
        trio.lowlevel.add_instrument(self.dispatcher.driver.event_loop_lag)
        async with trio.open_nursery() as nursery:
            self._start_tasks(nursery)
            self._log.info("listening", address="{}:{}".format(*listener.getsockname()[:2]))
            task_status.started()
            await self.server.run([listener])
            await self._leave()
            self._log.info(
                "stopped", requests=self.dispatcher.request_count, decisions=self.dispatcher.decision_count
            )
            nursery.cancel_scope.cancel()

    def _start_tasks(self, nursery: trio.Nursery) -> None:
        if self._snapshot is not None:
            self._snapshot.restore()
            nursery.start_soon(self._snapshot.run)
        nursery.start_soon(self.discovery.run)
        nursery.start_soon(self.dispatcher.run)
        nursery.start_soon(self.dispatcher.driver.run)
        if self._follower is not None:
            nursery.start_soon(self._follower.run)

    async def _leave(self) -> None:
        """Writes a last snapshot and deregisters this worker from etcd and the version store."""
        if self._snapshot is not None:
            await self._snapshot.write()
        await self.discovery.leave()
        if self._follower is not None:
            await self._follower.leave()

    async def stop(self) -> None:
        """Sends GOAWAY to every proxy and waits until open requests have their responses.

        Connections that are still open after the longest deadline plus `STOP_GRACE_S` are closed.
        """
        self.server.stop()
        with trio.move_on_after(self._max_deadline_s + STOP_GRACE_S):
            while self.server.sessions:
                await trio.sleep(STOP_POLL_INTERVAL_S)
        self.server.close_connections("stopping")

    def reload(self) -> None:
        """Reads the file again and applies the settings that a running worker can change.

        If the file has errors, they are logged and none of its settings are applied.
        """
        try:
            settings = settings_file.read(self._path)
            worker_settings = derive_worker_settings(settings, self._number)
            if self._tls is not None:
                self._tls.reload()
        except (settings_file.ConfigError, TlsError) as error:
            for line in str(error).splitlines():
                self._log.warning("reload-failed", error=line)
            return
        self.discovery.update_settings(worker_settings)
        keys = restart_required(self._settings, settings)
        self._log.info("reloaded", **{"until_restart": ",".join(keys)} if keys else {})

    async def handle_signals(self, signals: AsyncIterator[int]) -> None:
        """Stops or reloads the worker on signals, until cancelled."""
        await handle_signals(signals, self.stop, self.reload, self._log)


def _server_context(tls: TlsSettings | None) -> ServerContext | None:
    return ServerContext(tls.certificate, tls.key, tls.client_authorities) if tls else None


def restart_required(old: Settings, new: Settings) -> list[str]:
    """Returns the keys of settings that differ between `old` and `new` and need a restart to take effect."""
    keys = [key for key, name in RESTART_SETTINGS.items() if getattr(old, name) != getattr(new, name)]
    if _fixed_pool_settings(old) != _fixed_pool_settings(new):
        keys.append("pools")
    return keys


def _fixed_pool_settings(settings: Settings) -> list[Any]:
    """Returns the pools without the settings that a running worker can change."""
    return [pool.model_copy(update={"servers": [], "list_service": None}) for pool in settings.pools]
