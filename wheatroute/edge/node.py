"""What one edge node knows and shares among its requests."""

from __future__ import annotations

import logging
from random import Random

import trio

from wheatroute.cluster.messages import Update
from wheatroute.cluster.settings import Settings
from wheatroute.edge.instances import InstanceTable
from wheatroute.edge.pool import ConnectionPool
from wheatroute.edge.quota_leases import QuotaLeases
from wheatroute.edge.retry_budget import RetryBudget
from wheatroute.edge.routing import EMPTY_TABLE, RoutingTable
from wheatroute.edge.selection import Selection
from wheatroute.edge.timer import HedgeTimer

FILES_KEPT = 200  # descriptors that aren't for sockets
SERVERS_SHARE = 0.45  # of the sockets are for connections to servers
USUAL_NODES = 8  # counted on until the primary tells how many there are


class EdgeNode:
    """The state of one edge node; times are of trio's clock."""

    def __init__(self, settings: Settings, log: logging.Logger) -> None:
        self.settings = settings
        self.log = log
        self.table: RoutingTable = EMPTY_TABLE
        self.instances = InstanceTable()
        sockets = max(64, settings.limits.max_fds - FILES_KEPT)
        self.most_clients = int(sockets * (1 - SERVERS_SHARE))
        self.pool = ConnectionPool(int(sockets * SERVERS_SHARE))
        self.chance = Random()
        self.selection = Selection(settings.bounds.again_s, self.chance, trio.current_time)
        self.timer = HedgeTimer()
        self.quotas = QuotaLeases(settings.bounds.quota_window_s)
        self.nodes = USUAL_NODES
        self.stopping = False
        self._budgets: dict[str, RetryBudget] = {}

    def take_settings(self, settings: Settings) -> None:
        """The settings file has changed; connections and what is known of servers stay as they are."""
        self.settings = settings
        bounds = settings.bounds
        self.selection.keep(bounds.again_s)
        self.quotas.count_over(bounds.quota_window_s)
        for budget in self._budgets.values():
            budget.allow(bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s)

    @property
    def configured(self) -> bool:
        """Whether a configuration is in force here."""
        return self.table.sequence >= 0

    @property
    def ready(self) -> bool:
        """Whether this node should get new clients."""
        return self.configured and len(self.instances) > 0 and not self.stopping

    def budget(self, service: str) -> RetryBudget:
        """The retry budget of a service."""
        if service not in self._budgets:
            bounds = self.settings.bounds
            self._budgets[service] = RetryBudget(
                bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s
            )
        return self._budgets[service]

    def apply(self, update: Update, table: RoutingTable | None) -> None:
        """Takes the primary's word in: a newer configuration, and changes among the servers."""
        self.nodes = update.edge_node_count
        if table is not None and table.sequence > self.table.sequence:
            self.table = table
            self.log.info(
                "configuration",
                extra={"version": table.generation, "sequence": table.sequence, "epoch": update.epoch},
            )
        for server in self.instances.apply(update, trio.current_time()):
            self.pool.close_idle(server)
            self.selection.forget(server)
