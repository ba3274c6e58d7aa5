"""Service discovery of a worker: the list of servers comes from a list service, from etcd or from the file.

The entries are also kept unchanged for snapshots.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import trio

from wheatroute.balancing.interface import Event
from wheatroute.net.balancer_driver import BalancerDriver
from wheatroute.net.clock import now
from wheatroute.net.discovery import Discovery
from wheatroute.net.log import Logger
from wheatroute.net.server_entries import ServerRegistry
from wheatroute.processor.worker_settings import WorkerSettings

if TYPE_CHECKING:
    from wheatroute.etcd.services import EtcdServices

# Source and version of a list that the file contains.
FILE_SOURCE = ("the file", 0)


class WorkerDiscovery(Discovery):
    """Passes the list of servers to the driver and keeps its entries.

    `servers`, the registry, receives the addresses and states of the servers.
    """

    def __init__(
        self, settings: WorkerSettings, driver: BalancerDriver, servers: ServerRegistry, log: Logger
    ) -> None:
        self._has_list_service = settings.list_service is not None
        self._etcd_settings = settings.etcd
        self._name = settings.name
        # Whether this worker is pinned: it follows only the etcd cluster that it followed first.
        self._is_pinned = settings.agreement is not None
        # Set by `run` if the servers are listed in etcd.
        self.etcd: EtcdServices | None = None
        # Entries of servers by id, as received.
        self.entries: dict[str, dict[str, Any]] = {}
        # Cluster id and minimum revision of the list, from the snapshot. A worker that is pinned to its etcd
        # cluster accepts no older list.
        self._restored_min_position: tuple[int, int] | None = None
        self._restored_peers: list[str] = []
        super().__init__(settings.discovery, driver, servers, log)
        self.has_full_list = True

    async def run(self) -> None:
        """Keeps the list of servers up to date until cancelled."""
        if self._has_list_service:
            await super().run()
        elif self._etcd_settings is not None:
            await self._follow_etcd()
        else:
            await trio.sleep_forever()

    async def _follow_etcd(self) -> None:
        # Imported here so that workers without etcd start without the cost of the import.
        from wheatroute.etcd.services import EtcdServices

        assert self._etcd_settings is not None
        self.etcd = EtcdServices(
            self._etcd_settings, self._name, self._apply, self._count_nodes, self._log, self._is_pinned
        )
        if self._restored_min_position is not None and self._is_pinned:
            self.etcd.follower.resume_from(*self._restored_min_position)
        if self.etcd.membership is not None and self._restored_peers:
            self.etcd.membership.update(self._restored_peers, now())
        await self.etcd.run()

    async def leave(self) -> None:
        """Removes this worker's key from etcd."""
        if self.etcd is not None:
            await self.etcd.leave()

    @property
    def list_version(self) -> tuple[str, int]:
        """The source of the list that this worker uses, and the list's version or revision."""
        if self.etcd is not None:
            return self.etcd.follower.source, self.etcd.follower.revision
        return super().list_version if self._has_list_service else FILE_SOURCE

    def _count_nodes(self, nodes: int, node: int, caution: float) -> None:
        """Passes the number of nodes and this node's index, as counted in etcd, to the balancer.

        While the number of nodes is uncertain, the load on servers that are warming up is divided by
        `caution`.
        """
        self.node_counts = {"nodes": nodes, "node": node}
        self._driver.add_event(Event.NODES_COUNTED, nodes, node, caution)

    def _apply(self, document: object) -> None:
        """Passes a full list or changes to it to the driver, and keeps the entries."""
        super()._apply(document)
        if not isinstance(document, dict) or not isinstance(document.get("servers"), list):
            return
        if document.get("full"):
            self.entries.clear()
        for entry in document["servers"]:
            self._keep_entry(entry)

    def _keep_entry(self, entry: object) -> None:
        if not isinstance(entry, dict) or not isinstance(entry.get("id"), str):
            return
        if entry.get("state") == "terminated":
            self.entries.pop(entry["id"], None)
        else:
            self.entries[entry["id"]] = entry

    def watch(self, enable: bool) -> None:
        """Starts or stops watching the list if a list service provides it."""
        if self._has_list_service:
            super().watch(enable)

    def fetch(self) -> None:
        """Fetches the list once if a list service provides it."""
        if self._has_list_service:
            super().fetch()

    def update_settings(self, settings: WorkerSettings) -> None:
        """Applies the new settings: switches to their list service, or applies the file's list of servers.

        The file's list is applied only if neither a list service nor etcd provides the list.
        """
        if self._has_list_service and settings.list_service:
            self.switch_service(settings.list_service)
        elif settings.initial_list and not self._has_list_service and self._etcd_settings is None:
            self._apply(settings.initial_list)

    # Methods for snapshots.

    def peers(self) -> list[str]:
        """Returns the names of the nodes that are registered in etcd.

        If nodes don't register there, or before `run`, these are the names in the snapshot.
        """
        membership = self.etcd.membership if self.etcd is not None else None
        return sorted(membership.epochs) if membership is not None else self._restored_peers

    @property
    def min_position(self) -> tuple[int, int] | None:
        """The cluster id and the minimum revision that a later list must have; None if there is none."""
        if self.etcd is None:
            return self._restored_min_position
        position = self.etcd.follower.min_position
        return position.cluster_id, position.revision

    def restore(self, servers: Any, peers: Any, min_position: Any = None) -> None:
        """Applies the list, peers and position of a snapshot, which hold until newer ones are received.

        Malformed values are ignored.
        """
        if (
            isinstance(min_position, list)
            and len(min_position) == 2
            and all(isinstance(number, int) for number in min_position)
        ):
            self._restored_min_position = min_position[0], min_position[1]
        if isinstance(servers, list):
            self._apply({"full": True, "servers": servers})
        if isinstance(peers, list):
            self._restored_peers = [name for name in peers if isinstance(name, str)]
