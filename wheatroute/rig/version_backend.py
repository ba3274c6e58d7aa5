"""Where the versions of a rig's settings are stored, and how each process reaches them."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from pathlib import Path
from typing import Protocol

from wheatroute.agreement import operator
from wheatroute.agreement.directory_store import DirectoryStore
from wheatroute.agreement.version_store import VersionStore, running_store
from wheatroute.rig.addresses import host_port
from wheatroute.rig.etcd_process import EtcdProcess, etcd_url
from wheatroute.rig.network import Network

PREFIX = "/rig"  # of the versions' keys in etcd


class VersionBackend(Protocol):
    """A place for versions."""

    def agreement_table(self, name: str) -> dict[str, object]:
        """The table `agreement` of a process's settings file."""

    def operator_store(self) -> AbstractAsyncContextManager[VersionStore]:
        """The operator's own way to the versions, with no link between: a context."""

    def url(self, link_name: str = "") -> str:
        """The URL for the command line; with a name, through links of that name, which can be cut."""

    def partition(self, name: str, direction: str) -> None:
        """Cuts a process off."""

    def heal(self, name: str) -> None:
        """Ends that."""


class DirectoryBackend:
    """A directory; each process has a symbolic link of its own to it, which can be taken away."""

    def __init__(self, folder: Path, bound_s: float) -> None:
        self._folder = folder
        self._bound_s = bound_s
        self._directory = folder / "store"
        self._directory.mkdir()
        DirectoryStore(str(self._directory)).create()

    def agreement_table(self, name: str) -> dict[str, object]:
        """See `VersionBackend`."""
        self._add_link(name)
        return {"directory": str(self._link(name)), "within": self._bound_s}

    @asynccontextmanager
    async def operator_store(self) -> AsyncIterator[VersionStore]:
        """See `VersionBackend`."""
        yield DirectoryStore(str(self._directory))

    def url(self, link_name: str = "") -> str:
        """See `VersionBackend`; there are no links."""
        return str(self._directory)

    def partition(self, name: str, direction: str) -> None:
        """Takes a process's symbolic link away, which cuts both ways."""
        self._link(name).unlink()

    def heal(self, name: str) -> None:
        """Makes a process's symbolic link again."""
        self._add_link(name)

    def _add_link(self, name: str) -> None:
        self._link(name).symlink_to(self._directory)

    def _link(self, name: str) -> Path:
        return self._folder / f"store-{name}"


class EtcdBackend:
    """A stand-in etcd cluster; each process reaches each member through a link of its own."""

    def __init__(self, etcd: EtcdProcess, network: Network, bound_s: float) -> None:
        self._etcd = etcd
        self._network = network
        self._bound_s = bound_s

    def agreement_table(self, name: str) -> dict[str, object]:
        """See `VersionBackend`."""
        addresses = self._network.add_links(f"{name}-etcd", self._etcd.addresses)
        return {"etcd": [*map(host_port, addresses)], "prefix": PREFIX, "within": self._bound_s}

    @asynccontextmanager
    async def operator_store(self) -> AsyncIterator[VersionStore]:
        """See `VersionBackend`."""
        async with running_store(operator.store_from_url(self.url())) as store:
            yield store

    def url(self, link_name: str = "") -> str:
        """See `VersionBackend`."""
        addresses = self._etcd.addresses
        if link_name:
            addresses = self._network.add_links(f"{link_name}-etcd", addresses)
        return etcd_url(addresses, PREFIX)

    def partition(self, name: str, direction: str) -> None:
        """See `VersionBackend`; `direction` is a key of `link_fault.DIRECTIONS`."""
        for link in self._network.between(name, "etcd"):
            link.faults.partition(direction)

    def heal(self, name: str) -> None:
        """See `VersionBackend`."""
        for link in self._network.between(name, "etcd"):
            link.faults.heal()


class RelayBackend(EtcdBackend):
    """A stand-in etcd cluster that one process, the relay, reads for all others, by a directory."""

    def __init__(self, etcd: EtcdProcess, network: Network, bound_s: float, directory: Path) -> None:
        super().__init__(etcd, network, bound_s)
        self.directory = directory

    def agreement_table(self, name: str) -> dict[str, object]:
        """See `VersionBackend`."""
        return {"relay": str(self.directory), "within": self._bound_s}
