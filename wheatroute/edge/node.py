"""State that all requests of one edge node share. Does no I/O itself; times are those of trio's clock."""

from __future__ import annotations

import logging
from random import Random

import trio

from wheatroute.cluster.limit_log import LimitLog
from wheatroute.cluster.memory_budget import MemoryBudget
from wheatroute.cluster.messages import Update
from wheatroute.cluster.process_limits import data_bytes, edge_connections
from wheatroute.cluster.settings import Settings
from wheatroute.edge.hedge_timer import HedgeTimer
from wheatroute.edge.instances import InstanceTable, Server
from wheatroute.edge.pool import StreamConnectionPool
from wheatroute.edge.quota_leases import QuotaLeases
from wheatroute.edge.retry_budget import RetryBudget
from wheatroute.edge.routing import EMPTY_TABLE, RoutingTable
from wheatroute.edge.selection import ServerSelector
from wheatroute.edge.shutdown import ShutdownState

DEFAULT_EDGE_NODE_COUNT = 8  # assumed until the primary sends the count


class EdgeNode:
    """Holds the configuration in force, the servers with their learned state, and quota leases."""

    def __init__(self, settings: Settings, log: logging.Logger) -> None:
        self.settings = settings
        self.log = log
        self.table: RoutingTable = EMPTY_TABLE
        self.instances = InstanceTable()
        self.limit_log = LimitLog(log)
        self.memory = MemoryBudget(data_bytes(settings.limits), lambda: self.limit_log.record("memory"))
        self.connection_limits = edge_connections(settings.limits)
        self.pool = StreamConnectionPool(
            self.connection_limits.servers, self.memory, lambda: self.limit_log.record("server-connections")
        )
        self.rng = Random()
        self.selector = ServerSelector(settings.bounds.again_s, self.rng, trio.current_time)
        self.hedge_timer = HedgeTimer()
        self.quotas = QuotaLeases(settings.bounds.quota_window_s)
        self.edge_node_count = DEFAULT_EDGE_NODE_COUNT
        self.shutdown = ShutdownState()
        self._retry_budgets: dict[str, RetryBudget] = {}  # keyed by service name

    def apply_settings(self, settings: Settings) -> None:
        """Applies changed settings; connections and the learned state of servers are kept."""
        self.settings = settings
        bounds = settings.bounds
        self.selector.set_cache_ttl(bounds.again_s)
        self.quotas.set_window(bounds.quota_window_s)
        for budget in self._retry_budgets.values():
            budget.configure(bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s)

    @property
    def is_configured(self) -> bool:
        """Whether a configuration is in force."""
        return self.table.sequence >= 0

    @property
    def is_stopping(self) -> bool:
        """Whether this node is shutting down."""
        return self.shutdown.is_stopping

    @property
    def is_ready(self) -> bool:
        """Whether this node should get new clients."""
        return self.is_configured and len(self.instances) > 0 and not self.is_stopping

    def retry_budget(self, service: str) -> RetryBudget:
        """Returns the retry budget of a service."""
        if service not in self._retry_budgets:
            bounds = self.settings.bounds
            self._retry_budgets[service] = RetryBudget(
                bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s
            )
        return self._retry_budgets[service]

    def apply(self, update: Update, table: RoutingTable | None) -> None:
        """Applies an update of the primary: changes of servers, and `table` if its configuration is newer."""
        self.edge_node_count = update.edge_node_count
        if table is not None and table.sequence > self.table.sequence:
            self.table = table
            self.log.info(
                "configuration-applied",
                extra={"version": table.generation, "sequence": table.sequence, "epoch": update.epoch},
            )
        known = self.instances.ids()
        departed = self.instances.apply(update, trio.current_time())
        for server in departed:
            self.pool.close_idle(server)
            self.selector.forget(server)
        self._log_servers(update, self.instances.ids() - known, departed)

    def _log_servers(self, update: Update, added: set[str], departed: list[Server]) -> None:
        """Logs the servers that an update adds, and those that it drains or removes."""
        if not added and not departed:
            return
        self.log.info(
            "servers-changed",
            extra={
                "added": sorted(added),
                "departed": sorted(server.id for server in departed),
                "epoch": update.registry.epoch,
                "number": update.registry.number,
                "is_full": update.is_full,
                "is_settled": update.is_settled,
            },
        )
