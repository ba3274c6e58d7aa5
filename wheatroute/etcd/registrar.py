"""Registers this node in etcd with a lease, and reports the number of nodes. Does I/O on trio.

A node that can't renew its lease continues to serve, but sends less to cold servers: the other nodes may no
longer count it. Invariant: the key of a younger process of the same name is never overwritten.
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
# Delay between a renewal of the lease and the next one, and timeout of each renewal.
RENEWAL_INTERVAL_S = LEASE_TTL_S / 3
RETRY_INTERVAL_S = 0.5  # delay after a failed registration
REPORT_INTERVAL_S = 0.5  # interval between two estimates of the number of nodes
REVOKE_TIMEOUT_S = 1.0
# Divisors of the load that this node sends to cold servers.
USUAL_CAUTION = 1.0
UNCOUNTED_CAUTION = 4.0  # while the other nodes may not count this one


class Registrar:
    """Maintains this node's key; calls `on_change(node_count, node_index, caution)` when any of them changes.

    `caution` divides the load that this node sends to cold servers.
    """

    def __init__(
        self,
        client: EtcdClient,
        membership: Membership,
        attributes: dict[str, Any],
        on_change: Callable[[int, int, float], None],
        rng: random.Random,
        log: Any,
    ) -> None:
        """Takes `attributes`, which are written with the epoch as the JSON value of this node's key."""
        self._client, self._membership, self._attributes = client, membership, attributes
        self._on_change, self._log = on_change, log
        self.follower = Follower(client, membership.prefix, lambda change: None, rng, log, membership)
        # When the lease was last known to be valid; before the first registration, a time that is long ago.
        self.renewed_at = -REMOVAL_DELAY_S
        self._reported = (0, 0, 0.0)
        self._lease = 0

    async def run(self) -> None:
        """Registers this node, renews its lease and reports changes until cancelled.

        The client must be running; the follower of the servers shares it.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.follower.follow)
            nursery.start_soon(self._report_changes)
            while True:
                try:
                    await self._register()
                    await self._keep_alive()
                except CallError as error:
                    self._log.warning("registration-failed", error=str(error))
                    await trio.sleep(RETRY_INTERVAL_S)

    async def leave(self) -> None:
        """Revokes the lease, so that the other nodes need not wait for it to expire."""
        if self._lease:
            with trio.move_on_after(REVOKE_TIMEOUT_S):
                try:
                    await self._client.revoke(self._lease)
                except CallError:
                    pass  # the lease will expire

    async def _register(self) -> None:
        """Writes this node's key with a new lease; raises `CallError` if a younger process has the key."""
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
                raise CallError(
                    Status.ALREADY_EXISTS, f"a younger process is registered as node {membership.name!r}"
                )
            # The key is of an older process of this name, usually this node before a restart: overwrite it.
            is_unchanged = wire.Compare(
                key=membership.key,
                target=wire.MOD,
                result=wire.EQUAL,
                mod_revision=kvs[0].mod_revision if kvs else 0,
            )
            response = await self._client.txn([is_unchanged], [put], [read])
        self.renewed_at = now()

    async def _keep_alive(self) -> None:
        """Renews the lease until that fails; then raises `CallError`."""
        async with self._client.stream(f"{wire.LEASES}LeaseKeepAlive") as call:
            while True:
                sent_at = now()
                await call.send(wire.LeaseKeepAliveRequest(ID=self._lease).SerializeToString())
                with trio.move_on_after(RENEWAL_INTERVAL_S) as timeout:
                    message = await call.receive()
                if timeout.cancelled_caught or message is None:
                    raise CallError(Status.UNAVAILABLE, "no response to a keep-alive of the lease")
                if not wire.LeaseKeepAliveResponse.FromString(message).TTL:
                    raise CallError(Status.NOT_FOUND, "the lease has expired or was revoked")
                self.renewed_at = sent_at
                await trio.sleep(RENEWAL_INTERVAL_S)

    async def _report_changes(self) -> None:
        while True:
            report = (*self._membership.estimate(now()), self._caution())
            if report != self._reported:
                self._reported = report
                self._log.info("node-count-changed", nodes=report[0], node=report[1], caution=report[2])
                self._on_change(*report)
            await trio.sleep(REPORT_INTERVAL_S)

    def _caution(self) -> float:
        """Returns the divisor of the load for cold servers, higher while other nodes may not count this one.

        The others count a node for `REMOVAL_DELAY_S` after its key disappeared, and the key may disappear
        `LEASE_TTL_S` after the last renewal. The divisor rises after the TTL plus half of that delay; the
        other half is a safety margin. It is also higher if another process has registered under this name.
        """
        may_be_uncounted = now() - self.renewed_at > LEASE_TTL_S + REMOVAL_DELAY_S / 2
        return UNCOUNTED_CAUTION if may_be_uncounted or self._membership.has_duplicate else USUAL_CAUTION
