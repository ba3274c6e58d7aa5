"""Announces the servers to each process of the rig.

Every process has its own discovery service. If nodes read the servers from etcd, the servers are announced
there too.
"""

from __future__ import annotations

import json

from wheatroute.rig.addresses import Address, host_port
from wheatroute.rig.discovery_service import DiscoveryService, ServerEntry
from wheatroute.rig.etcd_process import EtcdProcess
from wheatroute.rig.server import Server

# Prefix of the servers' keys in etcd. The name of a node follows it, as each node has its own keys.
ETCD_SERVERS = "/servers"
# Prefix of the nodes' keys in etcd.
ETCD_NODES = "/members/"


class Discovery:
    """Announces servers to each process, at the addresses of that process's links to them."""

    def __init__(self, etcd: EtcdProcess | None) -> None:
        self.services: dict[str, DiscoveryService] = {}  # by process
        self._etcd = etcd  # set if nodes read the servers from etcd
        self._entries: dict[tuple[str, str], ServerEntry] = {}  # by process and server

    def add_process(self, name: str) -> DiscoveryService:
        """Adds a process; returns its discovery service."""
        service = self.services[name] = DiscoveryService()
        return service

    def add_server(self, process: str, server: Server, address: Address) -> None:
        """Announces a server to a process, at the address of the process's link to the server."""
        entry = self._entries[process, server.name] = ServerEntry(
            id=server.name, addr=host_port(address), zone=server.zone, cell=server.cell
        )
        self._update(process, entry)

    def set_state(self, server: str, state: str) -> None:
        """Announces a server's state to all processes."""
        for process in self.services:
            self._update(process, self._entries[process, server]._replace(state=state))

    def _update(self, process: str, entry: ServerEntry) -> None:
        self.services[process].update(entry)
        if self._etcd is not None:
            value = {key: value for key, value in entry._asdict().items() if key not in ("id", "weight")}
            key = f"{ETCD_SERVERS}/{process}/{entry.id}"
            self._etcd.send_command("put", key=key, value=json.dumps(value))


def etcd_servers_table(process: str, endpoints: list[str]) -> dict[str, object]:
    """Returns the table `servers` of the settings file of a node that reads the servers from etcd."""
    return {"etcd": endpoints, "prefix": f"{ETCD_SERVERS}/{process}/", "nodes_prefix": ETCD_NODES}
