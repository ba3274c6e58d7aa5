"""The etcd client, follower and registrar of one process, made from its settings."""

from __future__ import annotations

import random
from collections.abc import Callable
from pathlib import Path
from typing import Any

import trio

from wheatroute.config.pools import EtcdSettings
from wheatroute.etcd.client import EtcdClient
from wheatroute.etcd.follower import Follower
from wheatroute.etcd.membership import Membership
from wheatroute.etcd.registrar import Registrar
from wheatroute.net.addresses import parse_address
from wheatroute.net.clock import now
from wheatroute.tls import client_context


class EtcdServices:
    """Follows the servers, and registers this node if the settings have a prefix for nodes."""

    def __init__(
        self,
        settings: EtcdSettings,
        name: str,
        on_servers: Callable[[dict[str, Any]], None],
        on_node_count: Callable[[int, int, float], None],
        log: Any,
        is_pinned: bool = False,
    ) -> None:
        """Raises `OSError` or `TlsError` for a password or TLS file that can't be used.

        `name` is that of the node. `on_servers` is called with each change, see `WatchedKeys`, and
        `on_node_count` with the number of nodes, the index of this one and its caution, see `Registrar`. With
        `is_pinned` the follower of the servers never switches to a different cluster.
        """
        tls = settings.tls
        context = client_context(tls.authorities, tls.certificate, tls.key) if tls else None
        password = Path(settings.password_file).read_text().strip() if settings.password_file else ""
        # Seeded with the node's name, so that nodes differ in their first endpoints and their backoff.
        rng = random.Random(name)
        addresses = [parse_address(endpoint) for endpoint in settings.endpoints]
        self.client = EtcdClient(addresses, rng, settings.user, password, context)
        self.follower = Follower(self.client, settings.prefix.encode(), on_servers, rng, log)
        self.follower.is_pinned = is_pinned
        self.membership: Membership | None = None
        if settings.nodes_prefix:
            self.membership = Membership(settings.nodes_prefix.encode(), name, int(now() * 1000))
            self._registrar = Registrar(self.client, self.membership, {}, on_node_count, rng, log)

    async def run(self) -> None:
        """Runs the client, the follower and the registrar until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.client.run)
            nursery.start_soon(self.follower.follow)
            if self.membership is not None:
                nursery.start_soon(self._registrar.run)

    async def leave(self) -> None:
        """Removes this node's key."""
        if self.membership is not None:
            await self._registrar.leave()
