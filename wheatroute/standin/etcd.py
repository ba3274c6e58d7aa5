"""A stand-in for etcd: members that serve a cluster's store over gRPC, with faults on demand.

It implements a part of the published v3 API: keys, transactions, leases, watches and auth tokens.
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
EXPIRY_INTERVAL_S = 0.05  # interval between two checks for expired leases

Method = Callable[[AsyncCall], Awaitable[None]]


class Member:
    """One member of the cluster; its listener is open from its creation on.

    If `users` (passwords by user name) is not empty, calls must carry an auth token.
    """

    def __init__(
        self,
        store: Store,
        address: tuple[str, int] = ("127.0.0.1", 0),
        users: dict[str, str] | None = None,
    ) -> None:
        self.store = store
        self.faults = MemberFaults()
        self.users = users or {}
        self.tokens: set[str] = set()
        self.watch_stream_count = 0  # opened since the member's creation
        self.call_count = 0  # unary calls since the member's creation
        self._streams: set[trio.CancelScope] = set()
        self._listener = listen(address)
        self.address: tuple[str, int] = self._listener.getsockname()[:2]
        self._server: Server | None = None
        self._running = trio.CancelScope()

    @property
    def is_serving(self) -> bool:
        """Whether the member has ever started to serve; also true after `stop`."""
        return self._server is not None

    @property
    def open_stream_count(self) -> int:
        """The number of open watch and keep-alive streams."""
        return len(self._streams)

    async def run(self) -> None:
        """Serves until `stop` is called; a stopped member may run again, with the same address."""
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
        """Stops at once: resets all connections and refuses new ones."""
        self._running.cancel()
        self._listener.close()

    def drop_streams(self) -> None:
        """Ends every watch and keep-alive stream with an error."""
        for scope in list(self._streams):
            scope.cancel()

    async def _expire_leases(self) -> None:
        while True:
            await trio.sleep(EXPIRY_INTERVAL_S)
            self.store.expire_leases()

    async def _receive(self, call: AsyncCall, message_type: Any) -> Any:
        """Returns the request of a unary call; never returns while the member is unresponsive.

        Raises `CallError` if the call has no valid token.
        """
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
        """Raises `CallError` if the member lags, because it then counts as partitioned from the leader."""
        if self.faults.revision_lag:
            raise CallError(Status.UNAVAILABLE, NO_LEADER)

    # Unary methods.

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
        self.store.notify()  # watches of compacted revisions are canceled
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

    # Streaming methods.

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
        """Runs a stream in a scope that `drop_streams` can cancel; raises `CallError` if that happens."""
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
