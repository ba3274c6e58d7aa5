"""Addresses of version stores, and how to open one. Opening a store does no I/O."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Any

from wheatroute.agreement.directory_store import DirectoryStore
from wheatroute.agreement.version_store import VersionStore
from wheatroute.net.addresses import parse_address

ETCD_SCHEME = "etcd://"
DEFAULT_URL_PREFIX = "/wheatroute"  # key prefix in etcd, for URLs that contain none


@dataclass(frozen=True)
class StoreAddress:
    """The address of one store: a directory, a directory that a relay updates, or a key prefix in etcd."""

    directory: str = ""  # path
    relay: str = ""  # path of the relay's directory
    etcd_endpoints: tuple[tuple[str, int], ...] = ()  # host and port
    prefix: str = ""  # prefix of the store's keys in etcd

    @staticmethod
    def from_node_file(table: dict[str, Any]) -> StoreAddress:
        """Returns the address in a table of a node's file, as checked by `NodeSettings`."""
        return StoreAddress(
            directory=table.get("directory", ""),
            relay=table.get("relay", ""),
            etcd_endpoints=tuple(table.get("etcd", ())),
            prefix=table.get("prefix", ""),
        )

    @staticmethod
    def from_url(url: str) -> StoreAddress:
        """Parses `/a/directory` or `etcd://10.0.0.1:2379,10.0.0.2:2379/the/prefix`; raises `ValueError`."""
        if not url.startswith(ETCD_SCHEME):
            return StoreAddress(directory=url)
        addresses, _, prefix = url.removeprefix(ETCD_SCHEME).partition("/")
        endpoints = tuple(parse_address(address) for address in addresses.split(","))
        return StoreAddress(etcd_endpoints=endpoints, prefix=f"/{prefix}" if prefix else DEFAULT_URL_PREFIX)


def open_store(address: StoreAddress, rng: random.Random, timeout_s: float) -> VersionStore:
    """Returns the store at an address; `timeout_s` applies to one call to one endpoint."""
    if address.etcd_endpoints:
        from wheatroute.agreement.etcd_store import EtcdStore

        return EtcdStore(list(address.etcd_endpoints), address.prefix, rng, timeout_s)
    if address.relay:
        from wheatroute.agreement.relay import RelayedDirectoryStore

        return RelayedDirectoryStore(address.relay)
    return DirectoryStore(address.directory)
