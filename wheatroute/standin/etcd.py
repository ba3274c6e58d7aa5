"""A stand-in for etcd: members that serve a cluster's store over gRPC, with faults on demand.

It keeps to the published v3 API for what it serves: keys, transactions, leases, watches and tokens.
"""

from __future__ import annotations

import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import structlog
import trio

from wheatroute.etcd import messages as wire
from wheatroute.grpc.async_call import AsyncCall
from wheatroute.grpc.limits import ConnectionLimits
from wheatroute.grpc.messages import CallError, Status
from wheatroute.grpc.server import Server, listen
from wheatroute.standin.etcd_store import Store
from wheatroute.standin.etcd_watch import MemberFaults, WatchStream

BAD_TOKEN = "etcdserver: invalid auth token"
BAD_PASSWORD = "etcdserver: authentication failed, invalid user ID or password"
NO_LEADER = "etcdserver: no leader"
STREAM_DROPPED = "the stand-in dropped the stream"
VERSION = "3.5.0"
MAX_MESSAGE_BYTES = 64 << 20
EXPIRY_INTERVAL_S = 0.05  # between two looks for expired leases

Method = Callable[[AsyncCall], Awaitable[None]]


class Member:
    """One endpoint of the cluster, which listens from its creation on. With `users` it asks for tokens."""

    def __init__(
        self,
        store: Store,
        address: tuple[str, int] = ("127.0.0.1", 0),
        users: dict[str, str] | None = None,
    ) -> None:
        self.store = store
        self.faults = MemberFaults()
        self.users = users or {}  # passwords by name
        self.tokens: set[str] = set()
        self.watch_stream_count = 0  # since its creation
        self.call_count = 0  # unary ones, since its creation
        self._streams: set[trio.CancelScope] = set()
        self._listener = listen(address)
        self.address: tuple[str, int] = self._listener.getsockname()[:2]
        self._server: Server | None = None
        self._running = trio.CancelScope()

    @property
    def is_serving(self) -> bool:
        """Whether the member has begun to serve."""
        return self._server is not None

    @property
    def open_stream_count(self) -> int:
        """How many watch and keep-alive streams are open."""
        return len(self._streams)

    async def run(self) -> None:
        """Serves until `stop`; a member that was stopped may run again at its address."""
        if self._listener.fileno() < 0:
            self._listener = self._listen_again()
        self._running = trio.CancelScope()
        server = Server({}, ConnectionLimits(max_message_bytes=MAX_MESSAGE_BYTES), structlog.get_logger())
        server._methods |= {
            name.encode(): server.coroutine(method) for name, method in self._methods().items()
        }
        self._server = server
        with self._running:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._expire_leases)
                await server.run([self._listener])

    def _methods(self) -> dict[str, Method]:
        return {
            f"{wire.KV}Range": self._range,
            f"{wire.KV}Put": self._put,
            f"{wire.KV}DeleteRange": self._delete,
            f"{wire.KV}Txn": self._txn,
            f"{wire.KV}Compact": self._compact,
            f"{wire.LEASES}LeaseGrant": self._grant_lease,
            f"{wire.LEASES}LeaseRevoke": self._revoke_lease,
            f"{wire.LEASES}LeaseKeepAlive": self._keep_alive,
            wire.WATCH: self._watch,
            wire.AUTH: self._authenticate,
            wire.MAINTENANCE: self._status,
        }

    def _listen_again(self) -> socket.socket:
        return listen(self.address)

    def stop(self) -> None:
        """Ends at once: connections are reset, new ones refused."""
        self._running.cancel()
        self._listener.close()

    def drop_streams(self) -> None:
        """Drops every watch and keep-alive stream."""
        for scope in list(self._streams):
            scope.cancel()

    async def _expire_leases(self) -> None:
        while True:
            await trio.sleep(EXPIRY_INTERVAL_S)
            self.store.expire_leases()

    async def _receive(self, call: AsyncCall, message_type: Any) -> Any:
        """The request of a unary call; an unresponsive member never gets so far. Raises `CallError`."""
        self.call_count += 1
        message = await call.receive()
        if self.faults.is_unresponsive:
            await trio.sleep_forever()
        self._check_token(call)
        return message_type.FromString(message or b"")

    def _check_token(self, call: AsyncCall) -> None:
        if self.users and call.call.head.get(b"token", b"").decode() not in self.tokens:
            raise CallError(Status.UNAUTHENTICATED, BAD_TOKEN)

    def _check_leader(self) -> None:
        """A member that lags cannot ask the others: it fails what needs them."""
        if self.faults.revision_lag:
            raise CallError(Status.UNAVAILABLE, NO_LEADER)

    # unary methods

    async def _range(self, call: AsyncCall) -> None:
        request = await self._receive(call, wire.RangeRequest)
        if not request.serializable:
            self._check_leader()
        await _send(call, self.store.range(request, self.faults.revision_lag))

    async def _put(self, call: AsyncCall) -> None:
        request = await self._receive(call, wire.PutRequest)
        await _send(call, self.store.put(request))

    async def _delete(self, call: AsyncCall) -> None:
        request = await self._receive(call, wire.DeleteRangeRequest)
        await _send(call, self.store.delete(request))

    async def _txn(self, call: AsyncCall) -> None:
        request = await self._receive(call, wire.TxnRequest)
        self._check_leader()
        await _send(call, self.store.txn(request))

    async def _compact(self, call: AsyncCall) -> None:
        request = await self._receive(call, wire.CompactionRequest)
        self.store.compact(request.revision)
        self.store.notify()  # watches of what was dropped are cancelled
        await _send(call, wire.CompactionResponse(header=self.store.header()))

    async def _grant_lease(self, call: AsyncCall) -> None:
        request = await self._receive(call, wire.LeaseGrantRequest)
        await _send(call, self.store.grant_lease(request))

    async def _revoke_lease(self, call: AsyncCall) -> None:
        request = await self._receive(call, wire.LeaseRevokeRequest)
        await _send(call, self.store.revoke_lease(request.ID))

    async def _status(self, call: AsyncCall) -> None:
        await self._receive(call, wire.StatusRequest)
        header = self.store.header(self.faults.revision_lag)
        await _send(call, wire.StatusResponse(header=header, version=VERSION, leader=1))

    async def _authenticate(self, call: AsyncCall) -> None:
        request = wire.AuthenticateRequest.FromString(await call.receive() or b"")
        if not self.users or self.users.get(request.name) != request.password:
            raise CallError(Status.INVALID_ARGUMENT, BAD_PASSWORD)
        token = f"{request.name}.{len(self.tokens) + 1}"
        self.tokens.add(token)
        await _send(call, wire.AuthenticateResponse(header=self.store.header(), token=token))

    # streams

    async def _keep_alive(self, call: AsyncCall) -> None:
        async with self._stream():
            while (message := await call.receive()) is not None:
                if self.faults.is_unresponsive:
                    await trio.sleep_forever()
                request = wire.LeaseKeepAliveRequest.FromString(message)
                await _send(call, self.store.keep_alive(request.ID))

    async def _watch(self, call: AsyncCall) -> None:
        self.watch_stream_count += 1
        self._check_token(call)
        async with self._stream():
            await WatchStream(call, self.store, self.faults).run()

    @asynccontextmanager
    async def _stream(self) -> AsyncIterator[None]:
        """A stream that `drop_streams` ends, which its client hears of by a `CallError`."""
        scope = trio.CancelScope()
        self._streams.add(scope)
        try:
            with scope:
                yield
        finally:
            self._streams.discard(scope)
        if scope.cancelled_caught:
            raise CallError(Status.UNAVAILABLE, STREAM_DROPPED)


async def _send(call: AsyncCall, message: Any) -> None:
    await call.send(message.SerializeToString())
