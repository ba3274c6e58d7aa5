"""A stand-in for etcd: members that serve a cluster's store over gRPC, faults on demand.

Owns tokens and the faults: streams dropped, members that fall silent, lie behind, split revisions into
fragments or come back as another cluster. It keeps to the published v3 API for what it serves.
"""

from __future__ import annotations

import socket
from typing import Any

import structlog
import trio

from wheatroute.etcd import messages as wire
from wheatroute.grpc.async_call import AsyncCall
from wheatroute.grpc.limits import ConnectionLimits
from wheatroute.grpc.messages import CallError, Status
from wheatroute.grpc.server import Server, listen
from wheatroute.standin.etcd_store import COMPACTED, Store

BAD_TOKEN = "etcdserver: invalid auth token"
BAD_PASSWORD = "etcdserver: authentication failed, invalid user ID or password"


async def say(talk: AsyncCall, message: Any) -> None:
    """Sends a message."""
    await talk.send(message.SerializeToString())


class Member:
    """One endpoint of the cluster. The faults are attributes that a test sets."""

    def __init__(
        self, store: Store, place: tuple[str, int] = ("127.0.0.1", 0), users: dict[str, str] | None = None
    ) -> None:
        self.store, self.users = store, users or {}
        self.behind = 0  # revisions that this member does not have yet
        self.silent = False  # it takes what comes and says nothing
        self.fragment_at = 10**9  # events of one revision beyond which a watch is told in fragments
        self.cut_after = -1  # fragments after which the stream is cut, once
        self.tokens: set[str] = set()
        self.watches = 0  # streams opened, ever
        self.calls = 0
        self._streams: set[trio.CancelScope] = set()
        self._listener = listen(place)
        self.place: tuple[str, int] = self._listener.getsockname()[:2]
        self._server: Server | None = None
        self._running = trio.CancelScope()

    async def run(self) -> None:
        """Serves until `stop`; a member that was stopped may run again at its place."""
        if self._listener.fileno() < 0:
            self._listener = self._listen_again()
        self._running = trio.CancelScope()
        methods = {
            f"{wire.KV}{name}": method
            for name, method in (
                ("Range", self._range),
                ("Put", self._put),
                ("DeleteRange", self._delete),
                ("Txn", self._txn),
                ("Compact", self._compact),
            )
        }
        methods |= {
            f"{wire.LEASES}{name}": method
            for name, method in (
                ("LeaseGrant", self._grant),
                ("LeaseRevoke", self._revoke),
                ("LeaseKeepAlive", self._keep_alive),
            )
        }
        methods |= {wire.WATCH: self._watch, wire.AUTH: self._authenticate, wire.MAINTENANCE: self._status}
        server = Server({}, ConnectionLimits(max_message_bytes=64 << 20), structlog.get_logger())
        server._methods |= {name.encode(): server.coroutine(method) for name, method in methods.items()}
        self._server = server
        with self._running:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._expire)
                await server.run([self._listener])

    def _listen_again(self) -> socket.socket:
        return listen(self.place)

    def stop(self) -> None:
        """Gone at once: connections are reset, new ones refused."""
        self._running.cancel()
        self._listener.close()

    def drop_streams(self) -> None:
        """Every watch and keep-alive stream is cut."""
        for scope in list(self._streams):
            scope.cancel()

    async def _expire(self) -> None:
        while True:
            await trio.sleep(0.05)
            self.store.expire()

    async def _asked(self, talk: AsyncCall, kind: Any) -> Any:
        """The request of a unary call, once this member is one that answers."""
        self.calls += 1
        message = await talk.receive()
        if self.silent:
            await trio.sleep_forever()
        if self.users and talk.call.head.get(b"token", b"").decode() not in self.tokens:
            raise CallError(Status.UNAUTHENTICATED, BAD_TOKEN)
        return kind.FromString(message or b"")

    # methods

    async def _range(self, talk: AsyncCall) -> None:
        asked = await self._asked(talk, wire.RangeRequest)
        if self.behind and not asked.serializable:
            raise CallError(Status.UNAVAILABLE, "etcdserver: no leader")  # it cannot ask the others
        await say(talk, self.store.range(asked, self.behind))

    async def _put(self, talk: AsyncCall) -> None:
        await say(talk, self.store.put(await self._asked(talk, wire.PutRequest)))

    async def _delete(self, talk: AsyncCall) -> None:
        await say(talk, self.store.delete(await self._asked(talk, wire.DeleteRangeRequest)))

    async def _txn(self, talk: AsyncCall) -> None:
        asked = await self._asked(talk, wire.TxnRequest)
        if self.behind:
            raise CallError(Status.UNAVAILABLE, "etcdserver: no leader")
        await say(talk, self.store.txn(asked))

    async def _compact(self, talk: AsyncCall) -> None:
        asked = await self._asked(talk, wire.CompactionRequest)
        self.store.compact(asked.revision)
        self.store.stir()
        await say(talk, wire.CompactionResponse(header=self.store.header()))

    async def _grant(self, talk: AsyncCall) -> None:
        await say(talk, self.store.grant(await self._asked(talk, wire.LeaseGrantRequest)))

    async def _revoke(self, talk: AsyncCall) -> None:
        asked = await self._asked(talk, wire.LeaseRevokeRequest)
        await say(talk, self.store.revoke(asked.ID))

    async def _status(self, talk: AsyncCall) -> None:
        await self._asked(talk, wire.StatusRequest)
        await say(talk, wire.StatusResponse(header=self.store.header(self.behind), version="3.5.0", leader=1))

    async def _authenticate(self, talk: AsyncCall) -> None:
        asked = wire.AuthenticateRequest.FromString(await talk.receive() or b"")
        if not self.users or self.users.get(asked.name) != asked.password:
            raise CallError(Status.INVALID_ARGUMENT, BAD_PASSWORD)
        token = f"{asked.name}.{len(self.tokens) + 1}"
        self.tokens.add(token)
        await say(talk, wire.AuthenticateResponse(header=self.store.header(), token=token))

    async def _keep_alive(self, talk: AsyncCall) -> None:
        with self._stream() as scope:
            while (message := await talk.receive()) is not None:
                if self.silent:
                    await trio.sleep_forever()
                asked = wire.LeaseKeepAliveRequest.FromString(message)
                await say(talk, self.store.keep_alive(asked.ID))
        self._streams.discard(scope)
        if scope.cancelled_caught:
            raise CallError(Status.UNAVAILABLE, "the stand-in dropped the stream")

    def _stream(self) -> trio.CancelScope:
        scope = trio.CancelScope()
        self._streams.add(scope)
        return scope

    async def _watch(self, talk: AsyncCall) -> None:
        """One stream with any number of watches, told in the order of their revisions."""
        self.watches += 1
        if self.users and talk.call.head.get(b"token", b"").decode() not in self.tokens:
            raise CallError(Status.UNAUTHENTICATED, BAD_TOKEN)
        told: dict[int, _Watched] = {}
        with self._stream() as scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._tell, talk, told)
                while (message := await talk.receive()) is not None:
                    if not self.silent:
                        await self._watch_request(talk, told, wire.WatchRequest.FromString(message))
                nursery.cancel_scope.cancel()
        self._streams.discard(scope)
        if scope.cancelled_caught:
            raise CallError(Status.UNAVAILABLE, "the stand-in dropped the stream")

    async def _watch_request(self, talk: AsyncCall, told: dict[int, _Watched], asked: Any) -> None:
        which, header = asked.WhichOneof("choice"), self.store.header(self.behind)
        answer = wire.WatchResponse(header=header)
        if which == "create_request":
            one = asked.create_request
            number = one.watch_id or len(told) + 1
            answer.watch_id, answer.created = number, True
            if number in told:
                answer.watch_id, answer.canceled, answer.cancel_reason = -1, True, "duplicate watch ID"
            else:
                told[number] = _Watched(one, one.start_revision or self.store.revision + 1 - self.behind)
        elif which == "cancel_request":
            answer.watch_id, answer.canceled = asked.cancel_request.watch_id, True
            told.pop(asked.cancel_request.watch_id, None)
        else:
            answer.watch_id = -1  # a progress notice of the stream
        await say(talk, answer)
        self.store.stir()

    async def _tell(self, talk: AsyncCall, told: dict[int, _Watched]) -> None:
        while True:
            stirred = trio.Event()
            self.store.stirred.append(stirred)
            for number, one in list(told.items()):
                if not self.silent:
                    await self._tell_one(talk, told, number, one)
            await stirred.wait()

    async def _tell_one(self, talk: AsyncCall, told: dict[int, _Watched], number: int, one: _Watched) -> None:
        store = self.store
        if one.next <= store.compacted:
            del told[number]
            await say(
                talk,
                wire.WatchResponse(
                    header=store.header(self.behind),
                    watch_id=number,
                    canceled=True,
                    cancel_reason=COMPACTED,
                    compact_revision=store.compacted,
                ),
            )
            return
        for revision, events in store.since(one.next, one.asked.key, one.asked.range_end):
            if revision > store.revision - self.behind:
                break
            one.next = revision + 1
            kept = [self._event(event, one) for event in events if event.type not in one.skipped]
            await self._tell_revision(talk, number, one, kept)

    async def _tell_revision(self, talk: AsyncCall, number: int, one: _Watched, events: list[Any]) -> None:
        size = self.fragment_at if one.asked.fragment else 10**9
        for at in range(0, len(events), size):
            part = events[at : at + size]
            answer = wire.WatchResponse(header=self.store.header(self.behind), watch_id=number, events=part)
            answer.fragment = at + size < len(events)
            await say(talk, answer)
            if self.cut_after >= 0:
                self.cut_after -= 1
                if self.cut_after < 0:
                    raise CallError(Status.UNAVAILABLE, "the stand-in cut the stream inside a revision")

    @staticmethod
    def _event(event: Any, one: _Watched) -> Any:
        if one.asked.prev_kv or not event.HasField("prev_kv"):
            return event
        return wire.Event(type=event.type, kv=event.kv)


class _Watched:
    """A watch of a stream, and the revision that it is to be told next."""

    def __init__(self, asked: Any, following: int) -> None:
        self.asked, self.next = asked, following
        # a filter names what is left out: 0 puts, 1 deletions, as the types of events are
        self.skipped = set(asked.filters)
