"""The options of a rig, and the names of its processes and servers that follow from them."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Literal

from wheatroute.rig.settings import Settings

SERVERS_PER_CELL = 2

StoreKind = Literal["directory", "etcd", "relay"]
DiscoveryKind = Literal["service", "etcd"]


@dataclass(frozen=True, kw_only=True)
class RigOptions:
    """What a rig consists of, and the limits of its run.

    Nodes are named n0, n1 and so on, processors p0, p1, servers s0, s1, and zones a, b.
    """

    nodes: int = 3
    servers: int = 4
    zones: int = 1
    processors: int = 0  # each behind its own proxy
    workers: int = 2  # processes of each processor
    # where the versions are stored; `relay` means etcd, read by one process for all others
    store: StoreKind = "directory"
    etcd_members: int = 3
    # where nodes read the servers; processors always use a discovery service
    discovery: DiscoveryKind = "service"
    peers: bool = False  # whether nodes exchange the loads of servers by datagrams
    # commands of programs by name; if set, supervisors run the nodes, with the first program at the start
    programs: dict[str, list[str]] | None = None
    # settings with the keys of the platform; by default `settings.DEFAULT_SETTINGS`
    settings: Settings | None = None
    bound_s: float = 2.0  # time in which a change of settings has to reach all processes
    seed: int = 1
    timeout_s: float = 120.0  # time after which the whole rig is ended
    folder: Path | None = None  # for logs and files; by default a folder that is deleted with the rig

    @property
    def zone_names(self) -> list[str]:
        """The names of the zones."""
        return [chr(ord("a") + i) for i in range(self.zones)]

    def zone_of(self, number: int) -> str:
        """Returns the zone of the node or server with this number."""
        return self.zone_names[number % self.zones]

    @property
    def node_names(self) -> list[str]:
        """The names of the nodes."""
        return [f"n{i}" for i in range(self.nodes)]

    @property
    def processor_names(self) -> list[str]:
        """The names of the processors."""
        return [f"p{i}" for i in range(self.processors)]

    @property
    def names(self) -> list[str]:
        """The names of all nodes and processors, which serve requests."""
        return self.node_names + self.processor_names

    def process_count(self, name: str) -> int:
        """Returns how many processes serve requests under a name."""
        return self.workers if name in self.processor_names else 1

    def status_names(self, name: str) -> list[str]:
        """Returns the names under which processes of this name write their status to the store."""
        count = self.process_count(name)
        return [f"{name}-{i}" for i in range(count)] if count > 1 else [name]

    @property
    def has_etcd(self) -> bool:
        """Whether the rig needs a stand-in etcd cluster."""
        return self.store != "directory" or self.discovery == "etcd"
