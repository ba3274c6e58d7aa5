"""A stand-in for etcd: a cluster's store, free of I/O, and members that serve it over gRPC, faults on demand.

Owns revisions, history and its compaction, leases on a clock that a test moves, transactions, tokens, and the
faults: streams dropped, members that fall silent, lie behind, split revisions into fragments or come back as
another cluster. It keeps to the published v3 API for what it serves, and stores nothing beyond its process.
"""

from __future__ import annotations

import socket
import time
from bisect import bisect_right
from collections.abc import Callable
from typing import Any

import structlog
import trio

from wheatroute.etcd import messages as wire
from wheatroute.grpc.call import Bounds
from wheatroute.grpc.messages import CallError, Status
from wheatroute.grpc.server import Server, listen
from wheatroute.grpc.talk import Talk

COMPACTED = "etcdserver: mvcc: required revision has been compacted"
FUTURE = "etcdserver: mvcc: required revision is a future revision"
NO_LEASE = "etcdserver: requested lease not found"
BAD_TOKEN = "etcdserver: invalid auth token"
BAD_PASSWORD = "etcdserver: authentication failed, invalid user ID or password"


class Store:
    """Keys by revision. `clock` gives seconds, for leases."""

    def __init__(self, cluster: int = 1, clock: Callable[[], float] = time.monotonic) -> None:
        self.cluster, self.clock = cluster, clock
        self.revision, self.compacted = 1, 0
        self.history: list[tuple[int, Any]] = []  # revision and event, in order
        self.keys: dict[bytes, Any] = {}
        self.leases: dict[int, tuple[float, float]] = {}  # how long it lasts, and until when
        self.written: dict[int, float] = {}  # when each revision was written, on the clock of this process
        self._next_lease = 7000
        self.stirred: list[trio.Event] = []

    def stir(self) -> None:
        waiting, self.stirred = self.stirred, []
        for event in waiting:
            event.set()

    # reading

    def at(self, revision: int) -> dict[bytes, Any]:
        """All keys as of a revision; 0 for now."""
        if not revision or revision == self.revision:
            return self.keys
        if revision > self.revision:
            raise CallError(Status.OUT_OF_RANGE, FUTURE)
        if revision < self.compacted:
            raise CallError(Status.OUT_OF_RANGE, COMPACTED)
        keys: dict[bytes, Any] = {}
        for when, event in self.history:
            if when > revision:
                break
            if event.type == wire.PUT:
                keys[event.kv.key] = event.kv
            else:
                keys.pop(event.kv.key, None)
        return keys

    def range(self, asked: Any, behind: int = 0) -> Any:
        revision = asked.revision or (max(1, self.revision - behind) if behind else 0)
        found = [kv for key, kv in sorted(self.at(revision).items())
                 if within(key, asked.key, asked.range_end) and kv.mod_revision >= asked.min_mod_revision]
        answer = wire.RangeResponse(header=self.header(behind), count=len(found))
        if asked.limit and len(found) > asked.limit:
            found, answer.more = found[:asked.limit], True
        if not asked.count_only:
            answer.kvs.extend(bare(kv) for kv in found) if asked.keys_only else answer.kvs.extend(found)
        return answer

    def since(self, revision: int, key: bytes, end: bytes) -> list[tuple[int, list[Any]]]:
        """The events of a range from a revision on, by revision."""
        start = bisect_right(self.history, revision - 1, key=lambda item: item[0])
        out: list[tuple[int, list[Any]]] = []
        for when, event in self.history[start:]:
            if within(event.kv.key, key, end):
                if not out or out[-1][0] != when:
                    out.append((when, []))
                out[-1][1].append(event)
        return out

    def header(self, behind: int = 0) -> Any:
        return wire.ResponseHeader(cluster_id=self.cluster, member_id=1, raft_term=2,
                                   revision=max(1, self.revision - behind))

    # writing

    def put(self, asked: Any) -> Any:
        return self._write(lambda at: self._put(asked, at))

    def delete(self, asked: Any) -> Any:
        return self._write(lambda at: self._delete(asked, at))

    def _write(self, what: Callable[[int], tuple[Any, bool]]) -> Any:
        answer, changed = what(self.revision + 1)
        if changed:
            self.revision += 1
            self.written[self.revision] = time.monotonic()
            self.stir()
        answer.header.CopyFrom(self.header())
        return answer

    def _put(self, asked: Any, at: int) -> tuple[Any, bool]:
        if asked.lease and asked.lease not in self.leases:
            raise CallError(Status.NOT_FOUND, NO_LEASE)
        old = self.keys.get(asked.key)
        kv = wire.KeyValue(key=asked.key, value=asked.value, lease=asked.lease, mod_revision=at,
                           create_revision=old.create_revision if old else at,
                           version=old.version + 1 if old else 1)
        self.keys[asked.key] = kv
        self.history.append((at, wire.Event(type=wire.PUT, kv=kv, prev_kv=old)))
        return wire.PutResponse(prev_kv=old if asked.prev_kv else None), True

    def _delete(self, asked: Any, at: int) -> tuple[Any, bool]:
        gone = [key for key in sorted(self.keys) if within(key, asked.key, asked.range_end)]
        answer = wire.DeleteRangeResponse(deleted=len(gone))
        for key in gone:
            old = self.keys.pop(key)
            self.history.append((at, wire.Event(type=wire.DELETE, prev_kv=old,
                                                kv=wire.KeyValue(key=key, mod_revision=at))))
            if asked.prev_kv:
                answer.prev_kvs.append(old)
        return answer, bool(gone)

    def txn(self, asked: Any) -> Any:
        """All of it at one revision."""
        holds = all(self._compare(one) for one in asked.compare)
        answer = wire.TxnResponse(succeeded=holds)

        def apply(at: int) -> tuple[Any, bool]:
            changed = False
            for one in asked.success if holds else asked.failure:
                which = one.WhichOneof("choice")
                response = answer.responses.add()
                if which == "request_range":
                    response.response_range.CopyFrom(self.range(one.request_range))
                    continue
                part, wrote = (self._put(one.request_put, at) if which == "request_put"
                               else self._delete(one.request_delete_range, at))
                getattr(response, which.replace("request", "response")).CopyFrom(part)
                changed = changed or wrote
            return answer, changed
        return self._write(apply)

    def _compare(self, one: Any) -> bool:
        kv = self.keys.get(one.key)
        if kv is None and one.target == wire.VALUE:
            return False
        target = ("version", "create_revision", "mod_revision", "value", "lease")[one.target]
        here, there = getattr(kv, target) if kv else 0, getattr(one, target)
        return (here == there, here > there, here < there, here != there)[one.result]

    def compact(self, revision: int) -> None:
        """History before the revision is gone; what was put by then is kept as it stood."""
        if revision <= self.compacted:
            raise CallError(Status.OUT_OF_RANGE, COMPACTED)
        if revision > self.revision:
            raise CallError(Status.OUT_OF_RANGE, FUTURE)
        standing = sorted(self.at(revision).values(), key=lambda kv: kv.mod_revision)
        self.history = [(kv.mod_revision, wire.Event(type=wire.PUT, kv=kv)) for kv in standing] + [
            item for item in self.history if item[0] > revision]
        self.compacted = revision

    # leases

    def grant(self, asked: Any) -> Any:
        if not asked.ID:
            self._next_lease += 1
        number = asked.ID or self._next_lease
        self.leases[number] = (float(asked.TTL), self.clock() + asked.TTL)
        return wire.LeaseGrantResponse(header=self.header(), ID=number, TTL=asked.TTL)

    def keep_alive(self, number: int) -> Any:
        lease = self.leases.get(number)
        if lease is not None:
            self.leases[number] = (lease[0], self.clock() + lease[0])
        return wire.LeaseKeepAliveResponse(header=self.header(), ID=number, TTL=int(lease[0]) if lease else 0)

    def revoke(self, number: int) -> Any:
        if number not in self.leases:
            raise CallError(Status.NOT_FOUND, NO_LEASE)
        del self.leases[number]
        keys = [kv.key for kv in self.keys.values() if kv.lease == number]

        def drop(at: int) -> tuple[Any, bool]:
            for key in keys:
                self._delete(wire.DeleteRangeRequest(key=key), at)
            return wire.LeaseRevokeResponse(), bool(keys)
        return self._write(drop)

    def expire(self) -> None:
        for number, (_, until) in list(self.leases.items()):
            if until <= self.clock():
                self.revoke(number)


def within(key: bytes, start: bytes, end: bytes) -> bool:
    """Whether a key is in a range, by etcd's conventions."""
    return key == start if not end else key >= start and (end == b"\0" or key < end)


def bare(kv: Any) -> Any:
    copy = wire.KeyValue()
    copy.CopyFrom(kv)
    copy.value = b""
    return copy


async def say(talk: Talk, message: Any) -> None:
    await talk.send(message.SerializeToString())


class Member:
    """One endpoint of the cluster. The faults are attributes that a test sets."""

    def __init__(self, store: Store, place: tuple[str, int] = ("127.0.0.1", 0),
                 users: dict[str, str] | None = None) -> None:
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
        methods = {f"{wire.KV}{name}": method for name, method in (
            ("Range", self._range), ("Put", self._put), ("DeleteRange", self._delete), ("Txn", self._txn),
            ("Compact", self._compact))}
        methods |= {f"{wire.LEASES}{name}": method for name, method in (
            ("LeaseGrant", self._grant), ("LeaseRevoke", self._revoke), ("LeaseKeepAlive", self._keep_alive))}
        methods |= {wire.WATCH: self._watch, wire.AUTH: self._authenticate, wire.MAINTENANCE: self._status}
        server = Server({}, Bounds(message=64 << 20), structlog.get_logger())
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

    async def _asked(self, talk: Talk, kind: Any) -> Any:
        """The request of a unary call, once this member is one that answers."""
        self.calls += 1
        message = await talk.receive()
        if self.silent:
            await trio.sleep_forever()
        if self.users and talk.call.head.get(b"token", b"").decode() not in self.tokens:
            raise CallError(Status.UNAUTHENTICATED, BAD_TOKEN)
        return kind.FromString(message or b"")

    # methods

    async def _range(self, talk: Talk) -> None:
        asked = await self._asked(talk, wire.RangeRequest)
        if self.behind and not asked.serializable:
            raise CallError(Status.UNAVAILABLE, "etcdserver: no leader")  # it cannot ask the others
        await say(talk, self.store.range(asked, self.behind))

    async def _put(self, talk: Talk) -> None:
        await say(talk, self.store.put(await self._asked(talk, wire.PutRequest)))

    async def _delete(self, talk: Talk) -> None:
        await say(talk, self.store.delete(await self._asked(talk, wire.DeleteRangeRequest)))

    async def _txn(self, talk: Talk) -> None:
        asked = await self._asked(talk, wire.TxnRequest)
        if self.behind:
            raise CallError(Status.UNAVAILABLE, "etcdserver: no leader")
        await say(talk, self.store.txn(asked))

    async def _compact(self, talk: Talk) -> None:
        asked = await self._asked(talk, wire.CompactionRequest)
        self.store.compact(asked.revision)
        self.store.stir()
        await say(talk, wire.CompactionResponse(header=self.store.header()))

    async def _grant(self, talk: Talk) -> None:
        await say(talk, self.store.grant(await self._asked(talk, wire.LeaseGrantRequest)))

    async def _revoke(self, talk: Talk) -> None:
        asked = await self._asked(talk, wire.LeaseRevokeRequest)
        await say(talk, self.store.revoke(asked.ID))

    async def _status(self, talk: Talk) -> None:
        await self._asked(talk, wire.StatusRequest)
        await say(talk, wire.StatusResponse(header=self.store.header(self.behind), version="3.5.0", leader=1))

    async def _authenticate(self, talk: Talk) -> None:
        asked = wire.AuthenticateRequest.FromString(await talk.receive() or b"")
        if not self.users or self.users.get(asked.name) != asked.password:
            raise CallError(Status.INVALID_ARGUMENT, BAD_PASSWORD)
        token = f"{asked.name}.{len(self.tokens) + 1}"
        self.tokens.add(token)
        await say(talk, wire.AuthenticateResponse(header=self.store.header(), token=token))

    async def _keep_alive(self, talk: Talk) -> None:
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

    async def _watch(self, talk: Talk) -> None:
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

    async def _watch_request(self, talk: Talk, told: dict[int, _Watched], asked: Any) -> None:
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

    async def _tell(self, talk: Talk, told: dict[int, _Watched]) -> None:
        while True:
            stirred = trio.Event()
            self.store.stirred.append(stirred)
            for number, one in list(told.items()):
                if not self.silent:
                    await self._tell_one(talk, told, number, one)
            await stirred.wait()

    async def _tell_one(self, talk: Talk, told: dict[int, _Watched], number: int, one: _Watched) -> None:
        store = self.store
        if one.next <= store.compacted:
            del told[number]
            await say(talk, wire.WatchResponse(
                header=store.header(self.behind), watch_id=number, canceled=True, cancel_reason=COMPACTED,
                compact_revision=store.compacted))
            return
        for revision, events in store.since(one.next, one.asked.key, one.asked.range_end):
            if revision > store.revision - self.behind:
                break
            one.next = revision + 1
            kept = [self._event(event, one) for event in events if event.type not in one.skipped]
            await self._tell_revision(talk, number, one, kept)

    async def _tell_revision(self, talk: Talk, number: int, one: _Watched, events: list[Any]) -> None:
        size = self.fragment_at if one.asked.fragment else 10**9
        for at in range(0, len(events), size):
            part = events[at:at + size]
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
