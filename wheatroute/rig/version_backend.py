"""The stores for the versions of a rig's settings, and how each process reaches them."""

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

PREFIX = "/rig"  # prefix of the versions' keys in etcd


class VersionBackend(Protocol):
    """A store for versions, from which each process can be partitioned."""

    def agreement_table(self, name: str) -> dict[str, object]:
        """Returns the table `agreement` of a process's settings file."""

    def operator_store(self) -> AbstractAsyncContextManager[VersionStore]:
        """Returns a context with the operator's own access to the store, without a link in between."""

    def url(self, link_name: str = "") -> str:
        """Returns the URL for the command line.

        With `link_name`, the URL leads through links of that name, which can be partitioned.
        """

    def partition(self, name: str, direction: str) -> None:
        """Partitions a process from the store."""

    def heal(self, name: str) -> None:
        """Ends the partition of a process."""


class DirectoryBackend:
    """A directory; each process reaches it by its own symbolic link, which can be removed."""

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
        """See `VersionBackend`; there are no network links."""
        return str(self._directory)

    def partition(self, name: str, direction: str) -> None:
        """Removes a process's symbolic link, which always partitions both directions."""
        self._link(name).unlink()

    def heal(self, name: str) -> None:
        """Restores a process's symbolic link."""
        self._add_link(name)

    def _add_link(self, name: str) -> None:
        self._link(name).symlink_to(self._directory)

    def _link(self, name: str) -> Path:
        return self._folder / f"store-{name}"


class EtcdBackend:
    """A stand-in etcd cluster; each process reaches each member through its own link."""

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
    """A stand-in etcd cluster that one process, the relay, reads for all others.

    The others read the directory that the relay writes.
    """

    def __init__(self, etcd: EtcdProcess, network: Network, bound_s: float, directory: Path) -> None:
        super().__init__(etcd, network, bound_s)
        self.directory = directory

    def agreement_table(self, name: str) -> dict[str, object]:
        """See `VersionBackend`."""
        return {"relay": str(self.directory), "within": self._bound_s}
