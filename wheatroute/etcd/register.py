"""Registers this node under a lease, and tells the module how many there are.

Owns the node's own key and its lease, and the follower of its peers. A node that cannot renew its lease goes
on serving and says so to the module, which is then careful with cold servers: the others may not count it any
more. It must never take the key of a younger process of the same name.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import orjson
import trio

from wheatroute.etcd import messages as wire
from wheatroute.etcd.client import Cluster
from wheatroute.etcd.follow import Follower
from wheatroute.etcd.membership import HOLD, Membership
from wheatroute.grpc.messages import CallError, Status
from wheatroute.net.clock import now

LASTS = 6  # seconds that a lease lasts; renewed at a third of it
AGAIN = 0.5  # seconds until a registration that failed is tried again
LOOK = 0.5  # seconds between two looks at how many are assumed
CAREFUL = 4.0  # by so much less is sent to cold servers by a node that its peers may not count


class Registrar:
    """`tell(nodes, node, caution)` is called whenever one of the three changes."""

    def __init__(
        self,
        cluster: Cluster,
        membership: Membership,
        about: dict[str, Any],
        tell: Callable[[int, int, float], None],
        chance: random.Random,
        log: Any,
    ) -> None:
        self._cluster, self._peers, self._about = cluster, membership, about
        self._tell, self._log = tell, log
        self.follower = Follower(cluster, membership.prefix, lambda told: None, chance, log, membership)
        self.renewed = -HOLD  # when the lease was last known to hold
        self._told = (0, 0, 0.0)
        self._lease = 0

    async def run(self) -> None:
        """Runs beside the servers' follower, whose cluster it shares."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.follower.follow)
            nursery.start_soon(self._look)
            while True:
                try:
                    await self._register()
                    await self._keep_alive()
                except CallError as trouble:
                    self._log.warning("not-registered", trouble=str(trouble))
                    await trio.sleep(AGAIN)

    async def leave(self) -> None:
        """On the way out: the peers need not wait for the lease to end."""
        if self._lease:
            with trio.move_on_after(1.0):
                try:
                    await self._cluster.revoke(self._lease)
                except CallError:
                    pass  # it ends by itself

    async def _register(self) -> None:
        peers, self._lease = self._peers, await self._cluster.grant(LASTS)
        value = orjson.dumps(self._about | {"epoch": peers.epoch})
        put = wire.RequestOp(request_put=wire.PutRequest(key=peers.key, value=value, lease=self._lease))
        nobody = wire.Compare(key=peers.key, target=wire.VERSION, result=wire.EQUAL, version=0)
        read = wire.RequestOp(request_range=wire.RangeRequest(key=peers.key))
        answer = await self._cluster.txn([nobody], [put], [read])
        while not answer.succeeded:
            found = answer.responses[0].response_range.kvs
            if found and _epoch(found[0].value) > peers.epoch:
                await self._cluster.revoke(self._lease)
                raise CallError(Status.ALREADY_EXISTS, f"a younger process has the name {peers.name!r}")
            # an older process of this name, most often this node before its restart
            same = wire.Compare(
                key=peers.key,
                target=wire.MOD,
                result=wire.EQUAL,
                mod_revision=found[0].mod_revision if found else 0,
            )
            answer = await self._cluster.txn([same], [put], [read])
        self.renewed = now()

    async def _keep_alive(self) -> None:
        async with self._cluster.stream(f"{wire.LEASES}LeaseKeepAlive") as talk:
            while True:
                asked = now()
                await talk.send(wire.LeaseKeepAliveRequest(ID=self._lease).SerializeToString())
                with trio.move_on_after(LASTS / 3) as limit:
                    message = await talk.receive()
                if limit.cancelled_caught or message is None:
                    raise CallError(Status.UNAVAILABLE, "the lease is not renewed")
                if not wire.LeaseKeepAliveResponse.FromString(message).TTL:
                    raise CallError(Status.NOT_FOUND, "the lease is lost")
                self.renewed = asked
                await trio.sleep(LASTS / 3)

    async def _look(self) -> None:
        while True:
            moment = now()
            # the lease may have ended that long ago, and the peers have counted this node for HOLD more
            unseen = moment - self.renewed > LASTS + HOLD / 2
            found = (*self._peers.assumed(moment), CAREFUL if unseen or self._peers.doubled else 1.0)
            if found != self._told:
                self._told = found
                self._log.info("peers", nodes=found[0], node=found[1], caution=found[2])
                self._tell(*found)
            await trio.sleep(LOOK)


def _epoch(value: bytes) -> int:
    try:
        return int(orjson.loads(value)["epoch"])
    except (orjson.JSONDecodeError, TypeError, KeyError, ValueError):
        return -1
