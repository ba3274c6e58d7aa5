"""`python -m wheatroute`: runs one node; handles its startup, signals and exit status.

SIGTERM and SIGINT stop the node once every accepted request is answered; SIGHUP reloads its settings, even
while it stops. A stop signal that arrives before the node listens also stops it; a second stop signal has no
further effect.

Exit status: 0 after SIGTERM or SIGINT, 1 if the node cannot listen, 2 if its settings are invalid.
"""

import gc
import os
import signal
import sys
from collections.abc import AsyncIterator, Sequence
from typing import TYPE_CHECKING

import trio

from wheatroute.early_signals import ignore_signals, record_early_signals
from wheatroute.net.addresses import format_address
from wheatroute.net.balancer_driver import BalancerDriver
from wheatroute.net.discovery import Discovery
from wheatroute.net.downstream import Downstream
from wheatroute.net.log import Logger, open_log
from wheatroute.net.node_settings import (
    NodeSettings,
    NodeSettingsError,
    read_node_settings,
    reload_node_settings,
)
from wheatroute.net.peers import Peers
from wheatroute.net.signals import handle_signals, open_signal_receiver
from wheatroute.net.upstream import Upstream

if TYPE_CHECKING:
    from wheatroute.agreement.version_follower import VersionFollower
    from wheatroute.rollout.figures_reporter import FiguresReporter

# Fraction of the connections that is reserved for clients. It is more than half because a request always
# occupies its client's connection, but a connection to a server only while an attempt is in flight.
CLIENT_CONNECTIONS_RATIO = 0.55
# Higher than the defaults: few objects of a request are in reference cycles, so frequent garbage collections
# would free little.
GC_THRESHOLDS = (10000, 20, 50)


async def serve_node(settings: NodeSettings, log: Logger, early_signals: Sequence[int] = ()) -> None:
    """Runs a node until SIGTERM or SIGINT has arrived and every accepted request is answered.

    `early_signals` are stop signals that arrived before this call.
    """
    # The receiver is opened before the node listens. If it were opened later, a signal that arrives in
    # between would be lost while clients are in the listener's queue.
    with open_signal_receiver() as signals:
        if early_signals:
            log.info("stopped", signal=signal.Signals(early_signals[0]).name)
            return
        await Node(settings, log).run(signals)


class Node:
    """Creates the parts of a node, and starts and stops them in order."""

    def __init__(self, settings: NodeSettings, log: Logger) -> None:
        self._settings, self._log = settings, log
        max_clients = int(settings.max_connections * CLIENT_CONNECTIONS_RATIO)
        self._driver = driver = BalancerDriver(settings.decision_settings, settings.seed, log)
        self._upstream = driver.upstream = Upstream(
            settings.decision_settings,
            settings.max_connections - max_clients,
            settings.max_response_bytes,
            driver,
            log,
        )
        self._discovery = driver.discovery = self._make_discovery()
        self._peers: Peers | None = None
        if settings.peers is not None:
            self._peers = driver.peers = Peers(settings.peers, driver, self._discovery, log)
        self._downstream = Downstream(settings, max_clients, driver, self._discovery, log)
        self._follower = self._make_follower()
        self._figures_reporter = self._make_figures_reporter()

    # The next three methods import their modules only if the settings need them.

    def _make_discovery(self) -> Discovery:
        settings = self._settings
        if settings.etcd_servers:
            from wheatroute.etcd.discovery import EtcdDiscovery

            return EtcdDiscovery(settings, self._driver, self._upstream, self._log)
        if settings.agreement:
            from wheatroute.agreement.monotonic_discovery import MonotonicDiscovery

            return MonotonicDiscovery(settings.discovery_settings, self._driver, self._upstream, self._log)
        return Discovery(settings.discovery_settings, self._driver, self._upstream, self._log)

    def _make_follower(self) -> "VersionFollower | None":
        if not self._settings.agreement:
            return None
        from wheatroute.agreement.node import follow

        return follow(
            self._settings, self._driver, self._upstream, self._downstream, self._discovery, self._log
        )

    def _make_figures_reporter(self) -> "FiguresReporter | None":
        if not self._settings.rollout:
            return None
        from wheatroute.rollout.figures_reporter import FiguresReporter

        return FiguresReporter(
            self._settings, self._downstream, self._upstream, self._discovery, self._follower, self._log
        )

    async def run(self, signals: AsyncIterator[int]) -> None:
        """Serves until a stop signal has arrived and every accepted request is answered."""
        trio.lowlevel.add_instrument(self._driver.event_loop_lag)
        parts = (
            self._upstream,
            self._discovery,
            self._driver,
            self._peers,
            self._follower,
            self._figures_reporter,
        )
        async with trio.open_nursery() as nursery:
            for part in parts:
                if part is not None:
                    nursery.start_soon(part.run)
            nursery.start_soon(handle_signals, signals, self._downstream.stop, self._reload, self._log)
            self._log.info("listening", descriptors=self._settings.max_connections)
            await self._downstream.run()
            self._upstream.close_all_idle()
            await self._discovery.leave()
            if self._follower is not None:
                await self._follower.leave()
            self._log.info("stopped")
            nursery.cancel_scope.cancel()

    def _reload(self) -> None:
        """Reloads the settings that a running node can change; an invalid file changes nothing."""
        try:
            settings = reload_node_settings(os.environ)
        except NodeSettingsError as error:
            self._log.warning("reload-failed", error=str(error))
            return
        unchanged = ",".join(self._settings.restart_required(settings))
        self._log.info(
            "reloaded",
            list=format_address(settings.discovery),
            **{"until_restart": unchanged} if unchanged else {},
        )
        self._discovery.switch_service(settings.discovery)


def main() -> int:
    """Reads the settings, runs the node, and returns the exit status."""
    early_signals = record_early_signals()
    try:
        settings = read_node_settings(os.environ)
    except NodeSettingsError as error:
        print(f"wheatroute: {error}", file=sys.stderr)
        return 2
    log = open_log(settings.name)
    gc.freeze()  # excludes the objects loaded so far from garbage collection
    gc.set_threshold(*GC_THRESHOLDS)
    try:
        trio.run(serve_node, settings, log, early_signals)
    except OSError as error:
        print(f"wheatroute: {error}", file=sys.stderr)
        return 1
    ignore_signals()
    return 0


if __name__ == "__main__":
    sys.exit(main())
