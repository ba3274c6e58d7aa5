"""A client of an etcd cluster: unary calls, leases and watches over several endpoints.

Owns the connections, which endpoint is asked, the token, and the waits between tries. A call that may have
changed anything is never repeated unless it provably never ran; one that only reads goes to the next
endpoint. It must never take the answer of another cluster for one of its own, and knows nothing of servers.
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

PATIENCE = 1.0  # seconds for a unary call at one endpoint
CONNECTED = 0.5  # seconds for the connection of a stream
SUSPECT = 5.0  # seconds for which an endpoint that failed is passed by
LONGEST_WAIT = 0.4  # seconds until a connection that was lost is tried again
PAGE = 1000  # keys a page
MOVES = {Status.UNAVAILABLE, Status.DEADLINE_EXCEEDED, Status.CANCELLED, Status.UNKNOWN, Status.INTERNAL}


class Cluster:
    """The endpoints of one cluster; `run` keeps connections to all of them."""

    def __init__(
        self,
        places: list[tuple[str, int]],
        chance: random.Random,
        user: str = "",
        password: str = "",
        context: ssl.SSLContext | None = None,
    ) -> None:
        bounds = ConnectionLimits(max_message_bytes=64 << 20, ping_interval_s=2.0, ping_timeout_s=1.0)
        self._channels = [
            Channel(place, bounds, context, rng=chance, max_backoff_s=LONGEST_WAIT) for place in places
        ]
        self._suspect = [0.0] * len(places)  # until when each is asked only if all are
        self._at = chance.randrange(len(places))  # so that nodes do not all ask the same endpoint
        self._user, self._password = user, password
        self._token: bytes = b""

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            for channel in self._channels:
                nursery.start_soon(channel.run)

    @property
    def endpoint(self) -> tuple[str, int]:
        return self._channels[self._at].address

    def failed(self, at: int) -> None:
        """Passes an endpoint by for a while: the next one that is up and not suspect, or least so, is asked.

        Whoever uses the cluster tells what it saw: what one of them found out the others need not.
        """
        count, moment = len(self._channels), trio.current_time()
        self._suspect[at] = moment + SUSPECT
        if at == self._at:
            others = [(at + step) % count for step in range(1, count + 1)]
            self._at = min(
                others,
                key=lambda one: (
                    self._suspect[one] > moment,
                    not self._channels[one].is_connected,
                    self._suspect[one],
                ),
            )

    async def call(
        self, path: str, message: Any, kind: Any, changes: bool = False, time_out: float = PATIENCE
    ) -> Any:
        """A unary call; raises `CallError` once all endpoints were asked, or where it must not repeat."""
        trouble = CallError(Status.UNAVAILABLE, "no endpoint")
        renewed = False
        for _ in range(2 * len(self._channels)):
            talk, at = AsyncCall(), self._at
            try:
                return kind.FromString(await self._ask(talk, path, message.SerializeToString(), time_out))
            except CallError as found:
                trouble = found
            if trouble.status == Status.UNAUTHENTICATED and self._user and not renewed:
                renewed, self._token = True, b""
            elif trouble.status not in MOVES or changes and not self._never_ran(talk):
                raise trouble
            else:
                self.failed(at)
        raise trouble

    @staticmethod
    def _never_ran(talk: AsyncCall) -> bool:
        call = getattr(talk, "call", None)
        return call is None or call.never_ran

    async def _ask(self, talk: AsyncCall, path: str, message: bytes, time_out: float) -> bytes:
        channel = self._channels[self._at]
        with trio.move_on_after(time_out):
            await channel.session()
            metadata = await self._metadata()
            channel.start(path.encode(), talk, time_out, metadata)
            try:
                await talk.send(message)
                talk.half_close()
                answer = await talk.receive()
                while await talk.receive() is not None:
                    pass
            finally:
                talk.cancel()
            if answer is None:
                raise CallError(Status.INTERNAL, "an answer without a message")
            return answer
        raise CallError(Status.DEADLINE_EXCEEDED, "the call's time is over")

    async def _metadata(self) -> Headers:
        """The token, asked for where there is none."""
        if not self._user:
            return []
        if not self._token:
            asked = wire.AuthenticateRequest(name=self._user, password=self._password)
            message = asked.SerializeToString()
            answer = await self._channels[self._at].unary_call(wire.AUTH.encode(), message, PATIENCE)
            self._token = wire.AuthenticateResponse.FromString(answer).token.encode()
        return [(b"token", self._token)]

    @asynccontextmanager
    async def stream(self, path: str) -> AsyncIterator[AsyncCall]:
        """A two-way stream at the present endpoint, which is passed by if the stream fails."""
        at, talk = self._at, AsyncCall()
        channel = self._channels[at]
        try:
            with trio.move_on_after(CONNECTED) as limit:
                await channel.session()
                metadata = await self._metadata()
                channel.start(path.encode(), talk, inf, metadata)
            if limit.cancelled_caught:
                raise CallError(Status.DEADLINE_EXCEEDED, "no connection in time")
            yield talk
        except CallError as trouble:
            if trouble.status == Status.UNAUTHENTICATED:
                self._token = b""
            elif trouble.status in MOVES:
                self.failed(at)
            raise
        finally:
            if hasattr(talk, "call"):
                talk.cancel()

    # calls

    async def range(self, key: bytes, end: bytes = b"", **more: Any) -> Any:
        return await self.call(
            f"{wire.KV}Range", wire.RangeRequest(key=key, range_end=end, **more), wire.RangeResponse
        )

    async def all(self, prefix: bytes, page: int = PAGE) -> tuple[Any, list[Any]]:
        """Every key with a prefix as of one revision, read in pages; the first page's header with them."""
        end = wire.end_of(prefix)
        answer = await self.range(prefix, end, limit=page)
        header, kvs = answer.header, list(answer.kvs)
        while answer.more:
            answer = await self.range(kvs[-1].key + b"\0", end, limit=page, revision=header.revision)
            if answer.header.cluster_id != header.cluster_id:
                raise CallError(Status.ABORTED, "another cluster answered between two pages")
            kvs += answer.kvs
        return header, kvs

    async def put(self, key: bytes, value: bytes, lease: int = 0) -> Any:
        return await self.call(
            f"{wire.KV}Put",
            wire.PutRequest(key=key, value=value, lease=lease),
            wire.PutResponse,
            changes=True,
        )

    async def delete(self, key: bytes, end: bytes = b"") -> Any:
        return await self.call(
            f"{wire.KV}DeleteRange",
            wire.DeleteRangeRequest(key=key, range_end=end),
            wire.DeleteRangeResponse,
            changes=True,
        )

    async def txn(self, compare: list[Any], success: list[Any], failure: list[Any] | None = None) -> Any:
        asked = wire.TxnRequest(compare=compare, success=success, failure=failure or [])
        return await self.call(f"{wire.KV}Txn", asked, wire.TxnResponse, changes=True)

    async def compact(self, revision: int) -> Any:
        return await self.call(
            f"{wire.KV}Compact",
            wire.CompactionRequest(revision=revision),
            wire.CompactionResponse,
            changes=True,
        )

    async def grant(self, seconds: int) -> int:
        answer = await self.call(
            f"{wire.LEASES}LeaseGrant",
            wire.LeaseGrantRequest(TTL=seconds),
            wire.LeaseGrantResponse,
            changes=True,
        )
        return int(answer.ID)

    async def revoke(self, lease: int) -> None:
        await self.call(
            f"{wire.LEASES}LeaseRevoke",
            wire.LeaseRevokeRequest(ID=lease),
            wire.LeaseRevokeResponse,
            changes=True,
        )

    async def status(self) -> Any:
        return await self.call(wire.MAINTENANCE, wire.StatusRequest(), wire.StatusResponse)
