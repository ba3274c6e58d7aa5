"""One control node behind the HTTP handlers: connects replication with the state that callers see.

Only the primary serves requests; every other node raises `RequestError` or returns `NotPrimary`. Runs on
asyncio; the replicator does the I/O.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterator
from contextlib import contextmanager

from wheatroute.cluster.errors import ErrorKind, RequestError
from wheatroute.cluster.limit_log import LimitLog
from wheatroute.cluster.memory_budget import MemoryBudget
from wheatroute.cluster.messages import NotPrimary, Update, UpdateRequest, UsageReport, UsageResponse
from wheatroute.cluster.process_limits import control_connections, data_bytes
from wheatroute.cluster.settings import Settings
from wheatroute.control.changes import Change
from wheatroute.control.committed_configuration import CommittedConfiguration
from wheatroute.control.configuration_limits import configuration_limits
from wheatroute.control.configuration_store import ConfigurationStore
from wheatroute.control.leadership import Leadership
from wheatroute.control.primary_state import PrimaryState
from wheatroute.control.registry import RegistryFullError, ServerHeartbeat
from wheatroute.control.soft_state_sharing import SoftStateSharing
from wheatroute.control.updates import UpdatePolls
from wheatroute.replication.links import IncomingLimits
from wheatroute.replication.records import Document
from wheatroute.replication.replicator import Replicator

MAINTENANCE_INTERVAL_S = 0.2
READY = "ready"  # state in the heartbeat of a server that isn't draining


class ControlService:
    """Handles the requests of servers, operators and edge nodes to one control node."""

    def __init__(self, settings: Settings, log: logging.Logger) -> None:
        # Whether servers can reach this node: a node may lead before it has opened its listeners.
        self.is_listening = True
        self._log = log
        self.limit_log = LimitLog(log)
        self.memory = MemoryBudget(data_bytes(settings.limits), lambda: self.limit_log.record("memory"))
        self.configuration_limits = configuration_limits(settings.limits)
        incoming_limits = IncomingLimits(
            control_connections(settings.limits).control_nodes, self.memory, self.limit_log
        )
        self.replicator = Replicator(settings, self._on_commit, self._on_view_change, log, incoming_limits)
        self.configuration = CommittedConfiguration()
        self.state = PrimaryState(settings)
        self.leadership = Leadership(self.replicator, self.configuration)
        self._store = ConfigurationStore(
            self.replicator, self.leadership, self.configuration, self.configuration_limits
        )
        self._sharing = SoftStateSharing(self.replicator, self.leadership, self.state, log)
        self._polls = UpdatePolls(self.leadership, self.configuration, self.state)

    def apply_settings(self, settings: Settings) -> None:
        """Applies a changed settings file; servers, edge nodes and tokens are kept."""
        self.state.apply_settings(settings)
        self.replicator.apply_settings(settings)

    async def start(self) -> None:
        """Starts replication and the periodic maintenance."""
        await self.replicator.start()
        asyncio.get_running_loop().create_task(self._run_maintenance())

    async def stop(self) -> None:
        """Hands leadership over and stops replication, then ends all pending long polls."""
        await self.replicator.stop()
        self._polls.close()

    # callbacks of the replicator, and maintenance

    def _on_commit(self, document: Document) -> None:
        """Applies a committed document; called only on a leader, since only its core emits `Committed`."""
        if not self.configuration.commit(document):
            return
        self.state.quotas.configure(self.configuration.tenants, asyncio.get_running_loop().time())
        self._log.info(
            "configuration-committed",
            extra={
                "version": self.configuration.state.generation,
                "sequence": document.version.sequence,
                "epoch": document.version.epoch,
            },
        )
        if reason := self.configuration.unreadable_reason:
            self._log.error(
                "configuration-unreadable",
                extra={"version": self.configuration.state.generation, "error": reason},
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
        if self.leadership.is_leading:
            self._sharing.share_registry()
        self._polls.notify_all()

    async def _run_maintenance(self) -> None:
        """Periodically applies missed heartbeats; a primary also updates reserves and shares soft state."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)
            self._apply_missed_heartbeats(loop.time())
            self._log_instance_events()
            if self.leadership.is_leading:
                self.state.quotas.reserve(loop.time(), self.state.edge_nodes)
                self._sharing.share_registry()
                self._sharing.share_levels(loop.time())

    def _apply_missed_heartbeats(self, now: float) -> None:
        """Applies missed heartbeats; none is missed while this node's listeners are not open."""
        registry = self.state.registry
        if not self.is_listening:
            registry.restart_listening(now)
        elif registry.apply_missed_heartbeats(now):
            self._polls.notify_all()

    def _log_instance_events(self) -> None:
        """Logs what happened to servers: which left or returned, and what told so."""
        for event in self.state.registry.take_events():
            self._log.info(
                "server-changed",
                extra={
                    "server": event.server,
                    "previous": event.previous.value if event.previous is not None else None,
                    "state": event.state.value,
                    "cause": event.cause.value,
                    "epoch": self.state.leadership_epoch,
                },
            )

    # requests of operators

    async def change(self, change: Change) -> int:
        """Applies a change to the configuration; see `ConfigurationStore.change`."""
        return await self._store.change(change)

    async def read(self) -> bytes:
        """Returns the newest configuration as JSON; see `ConfigurationStore.read`."""
        return await self._store.read()

    # requests of servers

    async def heartbeat(self, identity: str, heartbeat: ServerHeartbeat) -> None:
        """Applies a server's heartbeat; if the server drains, returns once all members of the view know it.

        Raises `RequestError` if this node can't respond as the primary, if a drain isn't acknowledged, or if
        there is no memory for another server.
        """
        self.leadership.require_primary()
        with self._registry_limit():
            if self.state.registry.heartbeat(asyncio.get_running_loop().time(), identity, heartbeat):
                self._polls.notify_all()
        if heartbeat.state != READY:
            await self._sharing.replicate_departure()

    async def deregister(self, identity: str) -> None:
        """Removes a server that shuts down; returns once all members of the view know it.

        Raises `RequestError` as `heartbeat` does for a drain.
        """
        self.leadership.require_primary()
        with self._registry_limit():
            if self.state.registry.remove(asyncio.get_running_loop().time(), identity):
                self._polls.notify_all()
        await self._sharing.replicate_departure()

    @contextmanager
    def _registry_limit(self) -> Iterator[None]:
        """Turns the error of a full registry into the response to the server."""
        try:
            yield
        except RegistryFullError as error:
            self.limit_log.record("registry")
            raise RequestError(ErrorKind.OVERLOADED, str(error)) from error

    # requests of edge nodes

    async def updates(self, request: UpdateRequest) -> Update | NotPrimary:
        """Handles an edge node's long poll; see `UpdatePolls.poll`."""
        return await self._polls.poll(request)

    def usage(self, report: UsageReport) -> UsageResponse | NotPrimary:
        """Applies an edge node's usage and its report of unresponsive servers; returns its grants."""
        try:
            self.leadership.require_primary()
        except RequestError:
            return self.leadership.not_primary()
        now = asyncio.get_running_loop().time()
        if report.unresponsive_for is not None:
            self._report_unresponsive(now, report.node, report.unresponsive_for)
        return self.state.report_usage(now, report)

    def _report_unresponsive(self, now: float, node: str, unresponsive_for: dict[str, float]) -> None:
        """Applies a report of unresponsive servers; wakes all long polls if one is then suspected."""
        for suspected in self.state.report_unresponsive(now, node, unresponsive_for):
            self._log.info(
                "server-suspected",
                extra={
                    "server": suspected.server,
                    "last_heartbeat_s": round(suspected.last_heartbeat_age_s, 2),
                },
            )
            self._polls.notify_all()
