"""Starts and stops the edge role."""

from __future__ import annotations

import logging
import signal

import trio

from wheatroute.cluster.reload import CHECK_INTERVAL_S, SettingsFile
from wheatroute.cluster.settings import Settings
from wheatroute.edge.clients import Clients
from wheatroute.edge.control_client import ControlClient
from wheatroute.edge.forwarding import Forwarder
from wheatroute.edge.listening import Listeners
from wheatroute.edge.node import EdgeNode
from wheatroute.edge.readiness import Readiness

SWEEP_INTERVAL = 0.5  # seconds between two looks at idle connections
ENOUGH_REFUSALS = 2  # answers of not being ready after which the platform sends nobody new
LONGEST_NOTICE = 2.4  # seconds that the platform may take to notice
SETTLE = 0.3  # seconds for connections that were on their way
RESERVE = 0.5  # seconds before the kill by which everything has ended
LOOK = 0.05


class EdgeRole:
    """One edge node with all its tasks."""

    def __init__(self, settings: Settings, listeners: Listeners, log: logging.Logger) -> None:
        self._file = SettingsFile(settings, log)
        self._listeners = listeners
        self._log = log
        self._node = EdgeNode(settings, log)
        self._control = ControlClient(self._node)
        self._clients = Clients(self._node, Forwarder(self._node, self._control.lease), log)
        self._readiness = Readiness(self._node)

    async def run(self) -> None:
        """Runs until SIGTERM or SIGINT and all that was taken is answered."""
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._control.run)
                nursery.start_soon(self._clients.run, self._listeners.clients)
                nursery.start_soon(self._readiness.run, self._listeners.ready)
                nursery.start_soon(self._sweep)
                nursery.start_soon(self._watch_settings)
                self._log.info("listening")
                async for number in signals:
                    if number != signal.SIGHUP:
                        break
                    self._read_settings()
                await self._stop()
                nursery.cancel_scope.cancel()
        self._log.info("stopped")

    async def _watch_settings(self) -> None:
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            if self._file.has_changed():
                self._read_settings()

    def _read_settings(self) -> None:
        self._node.take_settings(self._file.reload())
        self._control.know_seeds(self._node.settings.seed_hosts)

    async def _sweep(self) -> None:
        while True:
            await trio.sleep(SWEEP_INTERVAL)
            self._node.pool.sweep()

    async def _stop(self) -> None:
        """Serves on until the platform sends nobody new, then ends what is idle and waits for the rest."""
        self._node.stopping = True
        begun = trio.current_time()
        last = begun + self._node.settings.bounds.grace_s - RESERVE
        self._log.info("stopping", extra={"busy": self._clients.busy})
        while self._readiness.refusals < ENOUGH_REFUSALS and trio.current_time() < begun + LONGEST_NOTICE:
            await trio.sleep(LOOK)
        await trio.sleep(SETTLE)
        self._clients.close_listener()
        while trio.current_time() < last:
            self._clients.close_idle()
            if not self._clients.busy:
                break
            await trio.sleep(LOOK)


async def serve(settings: Settings, listeners: Listeners, log: logging.Logger) -> None:
    """Runs the edge role."""
    await EdgeRole(settings, listeners, log).run()
