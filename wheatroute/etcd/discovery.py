"""Discovery by etcd instead of a list service: applies the follower's changes to a node's list of servers.

While etcd can't be reached the last known servers stay in use. The follower does the I/O.
"""

from __future__ import annotations

from typing import Any

import trio

from wheatroute.balancing.interface import Event
from wheatroute.config.pools import EtcdSettings
from wheatroute.etcd.services import EtcdServices
from wheatroute.net.balancer_driver import BalancerDriver
from wheatroute.net.discovery import Discovery
from wheatroute.net.node_settings import NodeSettings
from wheatroute.net.upstream import Upstream

LEAVE_TIMEOUT_S = 1.0


class EtcdDiscovery(Discovery):
    """Discovers a node's servers by their keys in etcd."""

    def __init__(self, settings: NodeSettings, driver: BalancerDriver, servers: Upstream, log: Any) -> None:
        super().__init__(settings.discovery_settings, driver, servers, log)
        self._etcd = EtcdServices(
            EtcdSettings.model_validate(settings.etcd_servers),
            settings.name,
            self._apply,
            self._count_nodes,
            log,
            is_pinned=settings.agreement is not None,
        )

    @property
    def list_version(self) -> tuple[str, int]:
        """The name of the followed cluster, and the revision up to which changes are applied."""
        return self._etcd.follower.source, self._etcd.follower.revision

    async def run(self) -> None:
        """Follows etcd until cancelled."""
        await self._etcd.run()

    async def leave(self) -> None:
        """Removes this node's key, if etcd responds within `LEAVE_TIMEOUT_S`."""
        with trio.move_on_after(LEAVE_TIMEOUT_S):
            await self._etcd.leave()

    def _count_nodes(self, nodes: int, node: int, caution: float) -> None:
        self.node_counts = {"nodes": nodes, "node": node}
        self._driver.add_event(Event.NODES_COUNTED, nodes, node, caution)

    def watch(self, enable: bool) -> None:
        """Does nothing: the follower always has a watch stream."""

    def fetch(self) -> None:
        """Does nothing: the follower applies all changes as they occur."""

    def switch_service(self, address: tuple[str, int]) -> None:
        """Does nothing: with etcd a list service is not used, even if the settings file names one."""
