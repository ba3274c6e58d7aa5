"""A client of an etcd cluster: unary calls, leases and streams over several endpoints. Does I/O on trio.

Invariant: a write is retried only if it provably never ran. A read is retried at the next endpoint.
Errors are raised as gRPC's `CallError`.
"""

from __future__ import annotations

import random
import ssl
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from math import inf
from typing import Any

import trio

from wheatroute.etcd import messages as wire
from wheatroute.grpc.async_call import AsyncCall
from wheatroute.grpc.client import Channel
from wheatroute.grpc.limits import ConnectionLimits
from wheatroute.grpc.messages import CallError, Headers, Status

CALL_TIMEOUT_S = 1.0  # default timeout of a unary call at one endpoint
STREAM_CONNECT_TIMEOUT_S = 0.5
SUSPECTED_S = 5.0  # time for which a failed endpoint is avoided
MAX_BACKOFF_S = 0.4  # maximum delay before a lost connection is reopened
MAX_PAGE_KEYS = 1000  # keys per range request of `range_all`
# After these statuses another endpoint is tried.
FAILOVER_STATUSES = {
    Status.UNAVAILABLE,
    Status.DEADLINE_EXCEEDED,
    Status.CANCELLED,
    Status.UNKNOWN,
    Status.INTERNAL,
}


class EtcdClient:
    """Makes calls to one etcd cluster; `run` must be running, as it keeps connections to all endpoints."""

    def __init__(
        self,
        addresses: list[tuple[str, int]],
        rng: random.Random,
        user: str = "",
        password: str = "",
        context: ssl.SSLContext | None = None,
    ) -> None:
        limits = ConnectionLimits(max_message_bytes=64 << 20, ping_interval_s=2.0, ping_timeout_s=1.0)
        self._channels = [
            Channel(address, limits, context, rng=rng, max_backoff_s=MAX_BACKOFF_S) for address in addresses
        ]
        # By endpoint: the time of trio's clock until which it is avoided.
        self._suspected_until = [0.0] * len(addresses)
        # The first endpoint is random, so that nodes don't all use the same one.
        self._current = rng.randrange(len(addresses))
        self._user, self._password = user, password
        self._token: bytes = b""

    async def run(self) -> None:
        """Keeps connections to all endpoints until cancelled."""
        async with trio.open_nursery() as nursery:
            for channel in self._channels:
                nursery.start_soon(channel.run)

    @property
    def endpoint(self) -> tuple[str, int]:
        """The address of the endpoint in use."""
        return self._channels[self._current].address

    def mark_suspected(self, index: int) -> None:
        """Avoids an endpoint for `SUSPECTED_S`, for all users of the client.

        If it is the endpoint in use, switches to the next endpoint that is not suspected, preferring a
        connected one. If all are suspected, prefers a connected one, and then the one whose suspicion ends
        first.
        """
        count, now = len(self._channels), trio.current_time()
        self._suspected_until[index] = now + SUSPECTED_S
        if index == self._current:
            others = [(index + step) % count for step in range(1, count + 1)]
            self._current = min(
                others,
                key=lambda other: (
                    self._suspected_until[other] > now,
                    not self._channels[other].is_connected,
                    self._suspected_until[other],
                ),
            )

    async def call(
        self,
        path: str,
        message: Any,
        response_type: Any,
        is_write: bool = False,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Any:
        """Makes a unary call; `timeout_s` limits each attempt.

        Raises `CallError` if an attempt failed and must not be retried, or after twice as many failed
        attempts as there are endpoints.
        """
        error = CallError(Status.UNAVAILABLE, "no endpoint is available")
        has_renewed_token = False
        for _ in range(2 * len(self._channels)):
            call, index = AsyncCall(), self._current
            try:
                response = await self._attempt(call, path, message.SerializeToString(), timeout_s)
                return response_type.FromString(response)
            except CallError as failure:
                error = failure
            if error.status == Status.UNAUTHENTICATED and self._user and not has_renewed_token:
                has_renewed_token, self._token = True, b""
            elif error.status not in FAILOVER_STATUSES or is_write and not _never_ran(call):
                raise error
            else:
                self.mark_suspected(index)
        raise error

    async def _attempt(self, call: AsyncCall, path: str, message: bytes, timeout_s: float) -> bytes:
        channel = self._channels[self._current]
        with trio.move_on_after(timeout_s):
            await channel.session()
            metadata = await self._metadata()
            channel.start(path.encode(), call, timeout_s, metadata)
            try:
                await call.send(message)
                call.half_close()
                response = await call.receive()
                while await call.receive() is not None:
                    pass
            finally:
                call.cancel()
            if response is None:
                raise CallError(Status.INTERNAL, "the response has no message")
            return response
        raise CallError(Status.DEADLINE_EXCEEDED, "the call timed out")

    async def _metadata(self) -> Headers:
        """Returns the metadata of a call: the auth token, which is requested first if there is none."""
        if not self._user:
            return []
        if not self._token:
            request = wire.AuthenticateRequest(name=self._user, password=self._password)
            channel = self._channels[self._current]
            response = await channel.unary_call(
                wire.AUTH.encode(), request.SerializeToString(), CALL_TIMEOUT_S
            )
            self._token = wire.AuthenticateResponse.FromString(response).token.encode()
        return [(b"token", self._token)]

    @asynccontextmanager
    async def stream(self, path: str) -> AsyncIterator[AsyncCall]:
        """Opens a bidirectional stream at the endpoint in use, which is avoided for a time if it fails."""
        index, call = self._current, AsyncCall()
        channel = self._channels[index]
        try:
            with trio.move_on_after(STREAM_CONNECT_TIMEOUT_S) as timeout:
                await channel.session()
                metadata = await self._metadata()
                channel.start(path.encode(), call, inf, metadata)
            if timeout.cancelled_caught:
                raise CallError(Status.DEADLINE_EXCEEDED, "connecting to the endpoint timed out")
            yield call
        except CallError as error:
            if error.status == Status.UNAUTHENTICATED:
                self._token = b""
            elif error.status in FAILOVER_STATUSES:
                self.mark_suspected(index)
            raise
        finally:
            if hasattr(call, "call"):
                call.cancel()

    # Methods of etcd's API.

    async def range(self, key: bytes, end: bytes = b"", **options: Any) -> Any:
        """Reads `key` alone if `end` is empty, else all keys from `key` up to, but not including, `end`.

        `options` are further fields of the `RangeRequest`.
        """
        return await self.call(
            f"{wire.KV}Range", wire.RangeRequest(key=key, range_end=end, **options), wire.RangeResponse
        )

    async def range_all(self, prefix: bytes, page_keys: int = MAX_PAGE_KEYS) -> tuple[Any, list[Any]]:
        """Reads all keys with a prefix at one revision, in pages.

        Returns the header of the first page, which has the revision, and the keys with their values.
        """
        end = wire.prefix_end(prefix)
        response = await self.range(prefix, end, limit=page_keys)
        header, kvs = response.header, list(response.kvs)
        while response.more:
            response = await self.range(kvs[-1].key + b"\0", end, limit=page_keys, revision=header.revision)
            if response.header.cluster_id != header.cluster_id:
                raise CallError(
                    Status.ABORTED,
                    "a later page of the keys came from another etcd cluster than the first page",
                )
            kvs += response.kvs
        return header, kvs

    async def put(self, key: bytes, value: bytes, lease: int = 0) -> Any:
        """Writes a key; `lease` is the id of its lease, 0 for none."""
        return await self.call(
            f"{wire.KV}Put",
            wire.PutRequest(key=key, value=value, lease=lease),
            wire.PutResponse,
            is_write=True,
        )

    async def delete(self, key: bytes, end: bytes = b"") -> Any:
        """Deletes `key` alone if `end` is empty, else all keys from `key` up to, but not including, `end`."""
        return await self.call(
            f"{wire.KV}DeleteRange",
            wire.DeleteRangeRequest(key=key, range_end=end),
            wire.DeleteRangeResponse,
            is_write=True,
        )

    async def txn(self, compare: list[Any], success: list[Any], failure: list[Any] | None = None) -> Any:
        """Runs `success` if all of `compare` hold, else `failure`, as one transaction."""
        request = wire.TxnRequest(compare=compare, success=success, failure=failure or [])
        return await self.call(f"{wire.KV}Txn", request, wire.TxnResponse, is_write=True)

    async def compact(self, revision: int) -> Any:
        """Compacts the history before a revision."""
        return await self.call(
            f"{wire.KV}Compact",
            wire.CompactionRequest(revision=revision),
            wire.CompactionResponse,
            is_write=True,
        )

    async def grant(self, ttl_s: int) -> int:
        """Grants a lease; returns its id."""
        response = await self.call(
            f"{wire.LEASES}LeaseGrant",
            wire.LeaseGrantRequest(TTL=ttl_s),
            wire.LeaseGrantResponse,
            is_write=True,
        )
        return int(response.ID)

    async def revoke(self, lease: int) -> None:
        """Revokes a lease, which deletes its keys."""
        await self.call(
            f"{wire.LEASES}LeaseRevoke",
            wire.LeaseRevokeRequest(ID=lease),
            wire.LeaseRevokeResponse,
            is_write=True,
        )

    async def status(self) -> Any:
        """Returns the status of the member at the endpoint in use."""
        return await self.call(wire.MAINTENANCE, wire.StatusRequest(), wire.StatusResponse)


def _never_ran(call: AsyncCall) -> bool:
    """Returns whether a failed call provably didn't run, for instance since no connection was open."""
    started = getattr(call, "call", None)
    return started is None or started.never_ran
