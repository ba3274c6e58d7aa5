"""From the file's table to what follows and registers: TLS, user, password, a chance of its own."""

from __future__ import annotations

import random
from collections.abc import Callable
from pathlib import Path
from typing import Any

import trio

from wheatroute.config import Etcd
from wheatroute.etcd.client import Cluster
from wheatroute.etcd.follow import Follower
from wheatroute.etcd.membership import Membership
from wheatroute.etcd.register import Registrar
from wheatroute.net.addresses import parse_address
from wheatroute.net.clock import now
from wheatroute.tls import client_context


class Etcd3:
    """All that one worker has to do with etcd; raises `OSError` or `TlsError` for files that are no use."""

    def __init__(
        self,
        told: Etcd,
        name: str,
        take: Callable[[dict[str, Any]], None],
        tell: Callable[[int, int, float], None],
        log: Any,
        steady: bool = False,
    ) -> None:
        tls = told.tls
        context = client_context(tls.authorities, tls.certificate, tls.key) if tls else None
        password = Path(told.password_file).read_text().strip() if told.password_file else ""
        # nodes differ in their names: so do the endpoints that they begin with, and their waits
        chance = random.Random(name)
        places = [parse_address(one) for one in told.endpoints]
        self.cluster = Cluster(places, chance, told.user, password, context)
        self.follower = Follower(self.cluster, told.prefix.encode(), take, chance, log)
        self.follower.steady = steady
        self.membership: Membership | None = None
        if told.nodes_prefix:
            self.membership = Membership(told.nodes_prefix.encode(), name, int(now() * 1000))
            self._registrar = Registrar(self.cluster, self.membership, {}, tell, chance, log)

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.cluster.run)
            nursery.start_soon(self.follower.follow)
            if self.membership is not None:
                nursery.start_soon(self._registrar.run)

    async def leave(self) -> None:
        if self.membership is not None:
            await self._registrar.leave()
