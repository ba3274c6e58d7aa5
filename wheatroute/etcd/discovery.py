"""Discovery by etcd in place of a list service: connects the follower with a node's numbering of servers.

While etcd can't be reached the last servers stand. I/O is done by the follower.
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
    """The servers of a node, by their keys in etcd."""

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
        """The cluster that is followed, and the revision up to which changes are applied."""
        return self._etcd.follower.source, self._etcd.follower.revision

    async def run(self) -> None:
        """Follows etcd until cancelled."""
        await self._etcd.run()

    async def leave(self) -> None:
        """Removes this node's key, if etcd answers in time."""
        with trio.move_on_after(LEAVE_TIMEOUT_S):
            await self._etcd.leave()

    def _count_nodes(self, nodes: int, node: int, caution: float) -> None:
        self.node_counts = {"nodes": nodes, "node": node}
        self._driver.add_event(Event.NODES_COUNTED, nodes, node, caution)

    def watch(self, enable: bool) -> None:
        """Does nothing: the follower's stream is always open."""

    def fetch(self) -> None:
        """Does nothing: all changes have been applied."""

    def switch_service(self, address: tuple[str, int]) -> None:
        """Does nothing: a list service that the file names as well isn't used."""
