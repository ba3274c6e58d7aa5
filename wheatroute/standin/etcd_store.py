"""The store of a stand-in for etcd: keys by revision, leases and transactions, free of I/O.

Owns revisions, history and its compaction, and leases on a clock that a test moves. It keeps to the published
v3 API for what it serves, and stores nothing beyond its process.
"""

from __future__ import annotations

import time
from bisect import bisect_right
from collections.abc import Callable
from typing import Any

import trio

from wheatroute.etcd import messages as wire
from wheatroute.grpc.messages import CallError, Status

COMPACTED = "etcdserver: mvcc: required revision has been compacted"
FUTURE = "etcdserver: mvcc: required revision is a future revision"
NO_LEASE = "etcdserver: requested lease not found"


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
        """Wakes all that wait for a change."""
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
        """Answers a range request, `behind` revisions late."""
        revision = asked.revision or (max(1, self.revision - behind) if behind else 0)
        found = [
            kv
            for key, kv in sorted(self.at(revision).items())
            if within(key, asked.key, asked.range_end) and kv.mod_revision >= asked.min_mod_revision
        ]
        answer = wire.RangeResponse(header=self.header(behind), count=len(found))
        if asked.limit and len(found) > asked.limit:
            found, answer.more = found[: asked.limit], True
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
        """The header of a response, `behind` revisions late."""
        return wire.ResponseHeader(
            cluster_id=self.cluster, member_id=1, raft_term=2, revision=max(1, self.revision - behind)
        )

    # writing

    def put(self, asked: Any) -> Any:
        """Answers a put request."""
        return self._write(lambda at: self._put(asked, at))

    def delete(self, asked: Any) -> Any:
        """Answers a delete request."""
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
        kv = wire.KeyValue(
            key=asked.key,
            value=asked.value,
            lease=asked.lease,
            mod_revision=at,
            create_revision=old.create_revision if old else at,
            version=old.version + 1 if old else 1,
        )
        self.keys[asked.key] = kv
        self.history.append((at, wire.Event(type=wire.PUT, kv=kv, prev_kv=old)))
        return wire.PutResponse(prev_kv=old if asked.prev_kv else None), True

    def _delete(self, asked: Any, at: int) -> tuple[Any, bool]:
        gone = [key for key in sorted(self.keys) if within(key, asked.key, asked.range_end)]
        answer = wire.DeleteRangeResponse(deleted=len(gone))
        for key in gone:
            old = self.keys.pop(key)
            self.history.append(
                (at, wire.Event(type=wire.DELETE, prev_kv=old, kv=wire.KeyValue(key=key, mod_revision=at)))
            )
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
                part, wrote = (
                    self._put(one.request_put, at)
                    if which == "request_put"
                    else self._delete(one.request_delete_range, at)
                )
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
            item for item in self.history if item[0] > revision
        ]
        self.compacted = revision

    # leases

    def grant(self, asked: Any) -> Any:
        """Answers a request for a lease."""
        if not asked.ID:
            self._next_lease += 1
        number = asked.ID or self._next_lease
        self.leases[number] = (float(asked.TTL), self.clock() + asked.TTL)
        return wire.LeaseGrantResponse(header=self.header(), ID=number, TTL=asked.TTL)

    def keep_alive(self, number: int) -> Any:
        """Renews a lease; returns the response."""
        lease = self.leases.get(number)
        if lease is not None:
            self.leases[number] = (lease[0], self.clock() + lease[0])
        return wire.LeaseKeepAliveResponse(header=self.header(), ID=number, TTL=int(lease[0]) if lease else 0)

    def revoke(self, number: int) -> Any:
        """Revokes a lease and deletes its keys; raises `CallError`."""
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
        """Revokes leases whose time is over."""
        for number, (_, until) in list(self.leases.items()):
            if until <= self.clock():
                self.revoke(number)


def within(key: bytes, start: bytes, end: bytes) -> bool:
    """Whether a key is in a range, by etcd's conventions."""
    return key == start if not end else key >= start and (end == b"\0" or key < end)


def bare(kv: Any) -> Any:
    """A key without its value."""
    copy = wire.KeyValue()
    copy.CopyFrom(kv)
    copy.value = b""
    return copy
