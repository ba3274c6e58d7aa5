"""One worker of the processor: its parts, how it serves, reloads its settings and stops.

Invariant: it doesn't end with requests unanswered while they can still be answered.
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

STOP_GRACE_S = 1.0  # beyond the longest deadline, in which proxies may end their streams
STOP_POLL_INTERVAL_S = 0.01
# settings that need a restart: their keys in the file, and their names
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
    """Has a worker act on the settings that all processes agree on."""

    async def run(self) -> None:
        """Follows them until it is cancelled."""

    async def leave(self) -> None:
        """The worker ends."""


# makes the follower of a worker from the file, the worker's number and settings, and its parts
FollowSettings = Callable[
    [Settings, int, WorkerSettings, Dispatcher, WorkerDiscovery, Logger], SettingsFollower
]


class Worker:
    """One worker; `follow` is called if the file names a store for versions of the settings."""

    def __init__(
        self, settings: Settings, path: str, number: int, log: Logger, follow: FollowSettings | None = None
    ) -> None:
        self._settings = settings
        self._path = path
        self._number = number
        self._log = log
        own = derive_worker_settings(settings, number)
        self._max_deadline_s = max(one.deadline for one in own.decision.request_classes)
        self.dispatcher = Dispatcher(own, log)
        self.discovery = WorkerDiscovery(own, self.dispatcher.driver, self.dispatcher, log)
        self.dispatcher.driver.discovery = self.discovery
        self._snapshot = self._make_snapshot(own)
        self._follower: SettingsFollower | None = None
        if own.agreement is not None:
            assert follow is not None, "a file with [agreement] needs a follower"
            self._follower = follow(settings, number, own, self.dispatcher, self.discovery, log)
        self._tls = _server_context(own.processor.tls)
        self.server = Server(
            {METHOD_PATH: self.dispatcher.open_stream},
            ConnectionLimits(max_streams=own.processor.max_streams),
            log,
            self._tls,
            own.processor.max_connections,
            self.dispatcher.finish_burst,
            shares_listener=own.processor.workers > 1,
        )

    def _make_snapshot(self, own: WorkerSettings) -> WorkerSnapshot | None:
        if own.snapshot is None:
            return None
        return WorkerSnapshot(
            own.snapshot, own.snapshot_source, self.dispatcher.driver, self.discovery, self._log
        )

    async def run(self, listener: socket.socket, task_status: Any = trio.TASK_STATUS_IGNORED) -> None:
        """Serves until `stop`, and until what is open is answered."""
        trio.lowlevel.add_instrument(self.dispatcher.driver.event_loop_lag)
        async with trio.open_nursery() as nursery:
            self._start_tasks(nursery)
            self._log.info("listening", place="{}:{}".format(*listener.getsockname()[:2]))
            task_status.started()
            await self.server.run([listener])
            await self._leave()
            self._log.info(
                "stopped", asked=self.dispatcher.request_count, decisions=self.dispatcher.decision_count
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
        """Keeps what is known, and ends what others know of this worker."""
        if self._snapshot is not None:
            await self._snapshot.write()
        await self.discovery.leave()
        if self._follower is not None:
            await self._follower.leave()

    async def stop(self) -> None:
        """Sends GOAWAY to every proxy; what is open is answered, and ended once its time is over."""
        self.server.stop()
        with trio.move_on_after(self._max_deadline_s + STOP_GRACE_S):
            while self.server.sessions:
                await trio.sleep(STOP_POLL_INTERVAL_S)
        self.server.end("stopping")

    def reload(self) -> None:
        """Takes from the file what a running worker can change; of a file with errors, nothing."""
        try:
            settings = settings_file.read(self._path)
            own = derive_worker_settings(settings, self._number)
            if self._tls is not None:
                self._tls.reload()
        except (settings_file.ConfigError, TlsError) as error:
            for line in str(error).splitlines():
                self._log.warning("not-reloaded", trouble=line)
            return
        self.discovery.update_settings(own)
        keys = restart_required(self._settings, settings)
        self._log.info("reloaded", **{"until_restart": ",".join(keys)} if keys else {})

    async def handle_signals(self, signals: AsyncIterator[int]) -> None:
        """Handles signals until it is cancelled."""
        await handle_signals(signals, self.stop, self.reload, self._log)


def _server_context(tls: TlsSettings | None) -> ServerContext | None:
    return ServerContext(tls.certificate, tls.key, tls.client_authorities) if tls else None


def restart_required(old: Settings, new: Settings) -> list[str]:
    """Returns the keys of the file that differ and that a running worker does not take."""
    keys = [key for key, name in RESTART_SETTINGS.items() if getattr(old, name) != getattr(new, name)]
    if _fixed_pool_settings(old) != _fixed_pool_settings(new):
        keys.append("pools")
    return keys


def _fixed_pool_settings(settings: Settings) -> list[Any]:
    """Returns the pools without what a running worker takes."""
    return [pool.model_copy(update={"servers": [], "list_service": None}) for pool in settings.pools]
