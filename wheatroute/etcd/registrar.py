"""Registers this node in etcd under a lease, and reports the number of nodes. Does I/O on trio.

A node that can't renew its lease goes on serving with more caution towards cold servers, as the other nodes
may not count it any more. Invariant: the key of a younger process of the same name is never overwritten.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import orjson
import trio

from wheatroute.etcd import messages as wire
from wheatroute.etcd.client import EtcdClient
from wheatroute.etcd.follower import Follower
from wheatroute.etcd.membership import REMOVAL_DELAY_S, Membership, decode_epoch
from wheatroute.grpc.messages import CallError, Status
from wheatroute.net.clock import now

LEASE_TTL_S = 6
RENEWAL_INTERVAL_S = LEASE_TTL_S / 3
RETRY_INTERVAL_S = 0.5  # after a registration that failed
REPORT_INTERVAL_S = 0.5  # between two estimates of the number of nodes
REVOKE_TIMEOUT_S = 1.0
USUAL_CAUTION = 1.0
UNCOUNTED_CAUTION = 4.0  # divisor of what a node that others may not count sends to cold servers


class Registrar:
    """Keeps the key of this node; calls `on_change(node_count, node_index, caution)` when one changes."""

    def __init__(
        self,
        client: EtcdClient,
        membership: Membership,
        attributes: dict[str, Any],
        on_change: Callable[[int, int, float], None],
        rng: random.Random,
        log: Any,
    ) -> None:
        """`attributes` are written with the epoch as the JSON value of this node's key."""
        self._client, self._membership, self._attributes = client, membership, attributes
        self._on_change, self._log = on_change, log
        self.follower = Follower(client, membership.prefix, lambda change: None, rng, log, membership)
        self.renewed_at = -REMOVAL_DELAY_S  # when the lease was last known to be valid
        self._reported = (0, 0, 0.0)
        self._lease = 0

    async def run(self) -> None:
        """Runs beside the follower of the servers, which shares the client."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.follower.follow)
            nursery.start_soon(self._report_changes)
            while True:
                try:
                    await self._register()
                    await self._keep_alive()
                except CallError as error:
                    self._log.warning("not-registered", error=str(error))
                    await trio.sleep(RETRY_INTERVAL_S)

    async def leave(self) -> None:
        """Revokes the lease, so that the other nodes need not wait until it expires."""
        if self._lease:
            with trio.move_on_after(REVOKE_TIMEOUT_S):
                try:
                    await self._client.revoke(self._lease)
                except CallError:
                    pass  # it expires by itself

    async def _register(self) -> None:
        membership, self._lease = self._membership, await self._client.grant(LEASE_TTL_S)
        value = orjson.dumps(self._attributes | {"epoch": membership.epoch})
        put = wire.RequestOp(request_put=wire.PutRequest(key=membership.key, value=value, lease=self._lease))
        is_absent = wire.Compare(key=membership.key, target=wire.VERSION, result=wire.EQUAL, version=0)
        read = wire.RequestOp(request_range=wire.RangeRequest(key=membership.key))
        response = await self._client.txn([is_absent], [put], [read])
        while not response.succeeded:
            kvs = response.responses[0].response_range.kvs
            registered_epoch = decode_epoch(kvs[0].value) if kvs else None
            if registered_epoch is not None and registered_epoch > membership.epoch:
                await self._client.revoke(self._lease)
                raise CallError(Status.ALREADY_EXISTS, f"a younger process has the name {membership.name!r}")
            # the key of an older process of this name, most often this node before its restart
            is_unchanged = wire.Compare(
                key=membership.key,
                target=wire.MOD,
                result=wire.EQUAL,
                mod_revision=kvs[0].mod_revision if kvs else 0,
            )
            response = await self._client.txn([is_unchanged], [put], [read])
        self.renewed_at = now()

    async def _keep_alive(self) -> None:
        """Renews the lease until that fails; raises `CallError`."""
        async with self._client.stream(f"{wire.LEASES}LeaseKeepAlive") as call:
            while True:
                sent_at = now()
                await call.send(wire.LeaseKeepAliveRequest(ID=self._lease).SerializeToString())
                with trio.move_on_after(RENEWAL_INTERVAL_S) as timeout:
                    message = await call.receive()
                if timeout.cancelled_caught or message is None:
                    raise CallError(Status.UNAVAILABLE, "the lease is not renewed")
                if not wire.LeaseKeepAliveResponse.FromString(message).TTL:
                    raise CallError(Status.NOT_FOUND, "the lease is lost")
                self.renewed_at = sent_at
                await trio.sleep(RENEWAL_INTERVAL_S)

    async def _report_changes(self) -> None:
        while True:
            report = (*self._membership.estimate(now()), self._caution())
            if report != self._reported:
                self._reported = report
                self._log.info("peers", nodes=report[0], node=report[1], caution=report[2])
                self._on_change(*report)
            await trio.sleep(REPORT_INTERVAL_S)

    def _caution(self) -> float:
        """More than usual if the other nodes may not count this one.

        The lease may have expired that long ago, and the others have counted this node on for a while.
        """
        may_be_uncounted = now() - self.renewed_at > LEASE_TTL_S + REMOVAL_DELAY_S / 2
        return UNCOUNTED_CAUTION if may_be_uncounted or self._membership.has_duplicate else USUAL_CAUTION
