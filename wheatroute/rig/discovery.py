"""What each process of the rig is told of the servers: by a discovery service each, and by etcd if used."""

from __future__ import annotations

import json

from wheatroute.rig.addresses import Address, host_port
from wheatroute.rig.discovery_service import DiscoveryService, ServerEntry
from wheatroute.rig.etcd_process import EtcdProcess
from wheatroute.rig.server import Server

ETCD_SERVERS = "/servers"  # before a node's name, the keys of the servers that it is told
ETCD_NODES = "/members/"


class Discovery:
    """The servers as each process is told them: by addresses of links of its own."""

    def __init__(self, etcd: EtcdProcess | None) -> None:
        self.services: dict[str, DiscoveryService] = {}  # by process
        self._etcd = etcd  # if nodes read the servers there
        self._entries: dict[tuple[str, str], ServerEntry] = {}  # by process and server

    def add_process(self, name: str) -> DiscoveryService:
        """Adds a process; returns its service."""
        service = self.services[name] = DiscoveryService()
        return service

    def add_server(self, process: str, server: Server, address: Address) -> None:
        """Tells a process of a server."""
        entry = self._entries[process, server.name] = ServerEntry(
            id=server.name, addr=host_port(address), zone=server.zone, cell=server.cell
        )
        self._update(process, entry)

    def set_state(self, server: str, state: str) -> None:
        """Tells all processes of a server's state."""
        for process in self.services:
            self._update(process, self._entries[process, server]._replace(state=state))

    def _update(self, process: str, entry: ServerEntry) -> None:
        self.services[process].update(entry)
        if self._etcd is not None:
            value = {key: value for key, value in entry._asdict().items() if key not in ("id", "weight")}
            key = f"{ETCD_SERVERS}/{process}/{entry.id}"
            self._etcd.send_command("put", key=key, value=json.dumps(value))


def etcd_servers_table(process: str, endpoints: list[str]) -> dict[str, object]:
    """The table `servers` of a node's settings file, for a node that reads the servers in etcd."""
    return {"etcd": endpoints, "prefix": f"{ETCD_SERVERS}/{process}/", "nodes_prefix": ETCD_NODES}
