"""The platform's node behind etcd: servers, and how many nodes there are, by its watch in the list's place.

Owns the joint between the follower's tasks and the node's numbering of servers. It must never ask a list
service as well, nor drop a server because etcd is away.
"""

from __future__ import annotations

from typing import Any

import trio

from wheatroute.balancing.interface import Event
from wheatroute.config import Etcd
from wheatroute.etcd.start import Etcd3
from wheatroute.net.balancer_driver import BalancerDriver
from wheatroute.net.discovery import Discovery
from wheatroute.net.node_settings import NodeSettings
from wheatroute.net.upstream import Upstream


class FollowedList(Discovery):
    """The list of servers as etcd has it."""

    def __init__(self, settings: NodeSettings, driver: BalancerDriver, servers: Upstream, log: Any) -> None:
        super().__init__(settings.discovery_settings, driver, servers, log)
        self._etcd = Etcd3(
            Etcd.model_validate(settings.etcd_servers),
            settings.name,
            self._apply,
            self._tell,
            log,
            steady=settings.agreement is not None,
        )

    @property
    def list_version(self) -> tuple[str, int]:
        return self._etcd.follower.source, self._etcd.follower.revision

    async def run(self) -> None:
        await self._etcd.run()

    async def leave(self) -> None:
        with trio.move_on_after(1.0):
            await self._etcd.leave()

    def _tell(self, nodes: int, node: int, caution: float) -> None:
        self.node_counts = {"nodes": nodes, "node": node}
        self._driver.add_event(Event.NODES_COUNTED, nodes, node, caution)

    def watch(self, enable: bool) -> None:
        """The follower's stream is always open."""

    def fetch(self) -> None:
        """As above: what there is has been told."""

    def switch_service(self, address: tuple[str, int]) -> None:
        """A list service that the file names as well is not asked."""
