"""What a rig is made of, as whoever starts it says, and the names that follow from it."""

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
    """The shape of a rig. Nodes are n0.., processors p0.., servers s0.., zones a..."""

    nodes: int = 3
    servers: int = 4
    zones: int = 1
    processors: int = 0  # each behind a proxy of its own
    workers: int = 2  # of each processor
    store: StoreKind = "directory"  # where versions are; with relay in etcd, read by one process for all
    etcd_members: int = 3
    discovery: DiscoveryKind = "service"  # where nodes read the servers; processors always ask a service
    peers: bool = False  # whether nodes tell each other by datagrams what servers hold
    programs: dict[str, list[str]] | None = None  # with these, supervisors run the nodes; the first one first
    settings: Settings | None = None  # as the platform gives them; by default those of `settings`
    bound_s: float = 2.0  # time in which a change of settings has to reach all processes
    seed: int = 1
    timeout_s: float = 120.0  # after which the whole rig is ended
    folder: Path | None = None  # for logs and files; by default one that is deleted with the rig

    @property
    def zone_names(self) -> list[str]:
        """The names of the zones."""
        return [chr(ord("a") + i) for i in range(self.zones)]

    def zone_of(self, number: int) -> str:
        """The zone of a node or server by its number."""
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
        """The names of all that serve requests."""
        return self.node_names + self.processor_names

    def process_count(self, name: str) -> int:
        """How many processes serve requests under a name."""
        return self.workers if name in self.processor_names else 1

    def status_names(self, name: str) -> list[str]:
        """The names under which processes of this name write their status to the store."""
        count = self.process_count(name)
        return [f"{name}-{i}" for i in range(count)] if count > 1 else [name]

    @property
    def has_etcd(self) -> bool:
        """Whether a stand-in etcd cluster is needed."""
        return self.store != "directory" or self.discovery == "etcd"
