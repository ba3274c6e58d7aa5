"""One control node, behind the HTTP handlers: connects replication with the state that callers see.

Only the primary answers; every other node raises `RequestError` or answers `NotPrimary`. Runs on asyncio; I/O
is done by the replicator.
"""

from __future__ import annotations

import asyncio
import logging

from wheatroute.cluster.errors import RequestError
from wheatroute.cluster.messages import NotPrimary, Update, UpdateRequest, UsageReport, UsageResponse
from wheatroute.cluster.settings import Settings
from wheatroute.control.changes import Change
from wheatroute.control.committed_configuration import CommittedConfiguration
from wheatroute.control.configuration_store import ConfigurationStore
from wheatroute.control.leadership import Leadership
from wheatroute.control.primary_state import PrimaryState
from wheatroute.control.registry import ServerHeartbeat
from wheatroute.control.soft_state_sharing import SoftStateSharing
from wheatroute.control.updates import UpdatePolls
from wheatroute.replication.records import Document
from wheatroute.replication.replicator import Replicator

TICK_S = 0.2
READY = "ready"  # the state in the heartbeat of a server that doesn't drain


class ControlService:
    """The requests that servers, operators and edge nodes make of one control node."""

    def __init__(self, settings: Settings, log: logging.Logger) -> None:
        self._log = log
        self.replicator = Replicator(settings, self._on_commit, self._on_view_change, log)
        self.configuration = CommittedConfiguration()
        self.state = PrimaryState(settings)
        self.leadership = Leadership(self.replicator, self.configuration)
        self._store = ConfigurationStore(self.replicator, self.leadership, self.configuration)
        self._sharing = SoftStateSharing(self.replicator, self.leadership, self.state, log)
        self._polls = UpdatePolls(self.leadership, self.configuration, self.state)

    def apply_settings(self, settings: Settings) -> None:
        """Applies a changed settings file; servers, nodes and tokens are kept."""
        self.state.apply_settings(settings)
        self.replicator.apply_settings(settings)

    async def start(self) -> None:
        """Begins to take part in replication."""
        await self.replicator.start()
        asyncio.get_running_loop().create_task(self._run_ticks())

    async def stop(self) -> None:
        """Takes part until other nodes have taken over, then ends the polls that wait."""
        await self.replicator.stop()
        self._polls.close()

    # replication

    def _on_commit(self, document: Document) -> None:
        """Takes over a committed document; only a leader's core emits `Committed`, so never on a replica."""
        if not self.configuration.commit(document):
            return
        self.state.quotas.configure(self.configuration.tenants, asyncio.get_running_loop().time())
        self._log.info(
            "configuration",
            extra={
                "version": self.configuration.state.generation,
                "sequence": document.version.sequence,
                "epoch": document.version.epoch,
            },
        )
        self._polls.notify_all()

    def _on_view_change(self) -> None:
        now = asyncio.get_running_loop().time()
        if not self.leadership.is_leading:
            self.state.end_term(now)
            self.configuration.end_term()
        elif not self.state.is_in_term:
            self.state.begin_term(now, self.leadership.epoch, self.configuration.tenants)
            self._sharing.restore(now)
        self._sharing.invalidate()
        self._polls.notify_all()

    async def _run_ticks(self) -> None:
        """Does the periodic work: missed heartbeats, and on a primary reserves and soft state."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(TICK_S)
            if self.state.registry.tick(loop.time()):
                self._polls.notify_all()
            if self.leadership.is_leading:
                self.state.quotas.reserve(loop.time(), self.state.edge_nodes)
                self._sharing.share_registry()
                self._sharing.share_levels(loop.time())

    # operators

    async def change(self, change: Change) -> int:
        """Applies a change of the configuration; see `ConfigurationStore.change`."""
        return await self._store.change(change)

    async def read(self) -> bytes:
        """The newest configuration; see `ConfigurationStore.read`."""
        return await self._store.read()

    # servers

    async def heartbeat(self, identity: str, heartbeat: ServerHeartbeat) -> None:
        """Applies a server's heartbeat; returns for one that drains once all members know."""
        self.leadership.require_primary()
        if self.state.registry.heartbeat(asyncio.get_running_loop().time(), identity, heartbeat):
            self._polls.notify_all()
        if heartbeat.state != READY:
            await self._sharing.replicate_departure()

    async def leave(self, identity: str) -> None:
        """Removes a server that ends; returns once all members know."""
        self.leadership.require_primary()
        if self.state.registry.remove(asyncio.get_running_loop().time(), identity):
            self._polls.notify_all()
        await self._sharing.replicate_departure()

    # edge nodes

    async def updates(self, request: UpdateRequest) -> Update | NotPrimary:
        """Answers an edge node's long poll; see `UpdatePolls.poll`."""
        return await self._polls.poll(request)

    def usage(self, report: UsageReport) -> UsageResponse | NotPrimary:
        """Applies an edge node's usage and its unresponsive servers; returns its grants."""
        try:
            self.leadership.require_primary()
        except RequestError:
            return self.leadership.not_primary()
        now = asyncio.get_running_loop().time()
        if report.unresponsive_for is not None:
            self._report_unresponsive(now, report.node, report.unresponsive_for)
        return self.state.report_usage(now, report)

    def _report_unresponsive(self, now: float, node: str, unresponsive_for: dict[str, float]) -> None:
        """Notifies all edge nodes at once of servers that several of them suspect."""
        for suspected in self.state.report_unresponsive(now, node, unresponsive_for):
            self._log.info(
                "server-suspected",
                extra={
                    "server": suspected.server,
                    "last_heartbeat_s": round(suspected.last_heartbeat_age_s, 2),
                },
            )
            self._polls.notify_all()
