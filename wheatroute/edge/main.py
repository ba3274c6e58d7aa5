"""Starts, reloads and stops the edge role."""

from __future__ import annotations

import logging
import signal
from collections.abc import AsyncIterator

import trio

from wheatroute.cluster.reload import CHECK_INTERVAL_S, SettingsFile
from wheatroute.cluster.settings import Settings
from wheatroute.early_signals import STOP_SIGNALS, EarlySignals
from wheatroute.edge.clients import Clients
from wheatroute.edge.control_client import ControlClient
from wheatroute.edge.forwarding import Forwarder
from wheatroute.edge.listeners import Listeners
from wheatroute.edge.node import EdgeNode
from wheatroute.edge.readiness import ReadinessProbe

POOL_CHECK_INTERVAL_S = 0.5  # seconds between two checks of idle connections to servers
MAX_FAILED_PROBES = 2  # failed readiness probes after which the platform sends no new clients
PROBE_TIMEOUT_S = 2.4  # time within which the platform sends `MAX_FAILED_PROBES` probes
DRAIN_DELAY_S = 0.3  # after the failed probes, time to accept connections that clients were already opening
SHUTDOWN_MARGIN_S = 0.5  # time between the end of the shutdown and the platform's kill of the process
CLOSE_TIMEOUT_S = 0.2  # part of that margin in which the last responses are written and connections closed
POLL_INTERVAL_S = 0.05  # seconds between two checks of a shutdown condition


class EdgeRole:
    """Runs one edge node with all its tasks."""

    def __init__(self, settings: Settings, listeners: Listeners, log: logging.Logger) -> None:
        self._settings_file = SettingsFile(settings, log)
        self._listeners = listeners
        self._log = log
        self._node = EdgeNode(settings, log)
        self._control_client = ControlClient(self._node)
        forwarder = Forwarder(self._node, self._control_client.request_lease)
        self._clients = Clients(self._node, forwarder, log)
        self._readiness = ReadinessProbe(self._node)

    async def run(self, early_signals: EarlySignals | None = None) -> None:
        """Runs until SIGTERM or SIGINT, and then until all accepted requests are answered.

        `early_signals` are stop signals that arrived before this call. After one of them the node shuts down
        at once, but answers the clients that have connected since its listener was opened.
        """
        with trio.open_signal_receiver(*STOP_SIGNALS, signal.SIGHUP) as signals:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._control_client.run)
                nursery.start_soon(self._clients.run, self._listeners.clients)
                nursery.start_soon(self._readiness.run, self._listeners.readiness)
                nursery.start_soon(self._node.pool.run)
                nursery.start_soon(self._check_pool)
                nursery.start_soon(self._watch_settings)
                self._log.info("listening")
                if not early_signals:
                    await self._handle_signals(signals)
                stopped_at = trio.current_time() - (early_signals.age_s if early_signals else 0.0)
                # A later signal that nobody takes would end the process by its default action.
                nursery.start_soon(self._handle_later_signals, signals)
                await self._shut_down(stopped_at)
                nursery.cancel_scope.cancel()
        self._log.info("stopped")

    async def _handle_signals(self, signals: AsyncIterator[int]) -> None:
        """Reloads the settings on SIGHUP; returns on a signal that stops the node."""
        async for number in signals:
            if number != signal.SIGHUP:
                return
            self._reload_settings()

    async def _handle_later_signals(self, signals: AsyncIterator[int]) -> None:
        while True:
            await self._handle_signals(signals)

    async def _watch_settings(self) -> None:
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            if self._settings_file.has_changed():
                self._reload_settings()

    def _reload_settings(self) -> None:
        self._node.apply_settings(self._settings_file.reload())
        self._control_client.set_seeds(self._node.settings.seed_hosts)

    async def _check_pool(self) -> None:
        while True:
            await trio.sleep(POOL_CHECK_INTERVAL_S)
            self._node.pool.close_expired()

    async def _shut_down(self, stopped_at: float) -> None:
        """Accepts connections until the platform sends no new clients; then closes each once it is idle.

        Ends when all connections are closed or the platform's grace period, which began at `stopped_at`, is
        nearly over.
        """
        shutdown = self._node.shutdown
        shutdown.begin(stopped_at, self._node.settings.bounds.grace_s - SHUTDOWN_MARGIN_S)
        self._log.info("stopping", extra={"busy": self._clients.busy_count})
        await self._wait_for_failed_probes(stopped_at + PROBE_TIMEOUT_S)
        await trio.sleep(DRAIN_DELAY_S)
        self._clients.close_listener()
        shutdown.start_draining()
        while self._clients.open_count and trio.current_time() < shutdown.ends_at + CLOSE_TIMEOUT_S:
            self._clients.close_idle()
            await trio.sleep(POLL_INTERVAL_S)

    async def _wait_for_failed_probes(self, deadline: float) -> None:
        """Waits until the platform must have noticed that this node is not ready, or until the deadline."""
        while self._readiness.failed_while_stopping < MAX_FAILED_PROBES and trio.current_time() < deadline:
            await trio.sleep(POLL_INTERVAL_S)


async def serve(
    settings: Settings, listeners: Listeners, log: logging.Logger, early_signals: EarlySignals
) -> None:
    """Runs the edge role until it is stopped by a signal; `early_signals` are those that have arrived."""
    await EdgeRole(settings, listeners, log).run(early_signals)
