"""The store of a stand-in for etcd: keys by revision, leases and transactions. No I/O.

It implements a part of the published v3 API, in memory only. Leases use a clock that a test can control.
"""

from __future__ import annotations

import time
from bisect import bisect_right
from collections.abc import Callable
from typing import Any, NamedTuple

import trio

from wheatroute.etcd import messages as wire
from wheatroute.grpc.messages import CallError, Status

COMPACTED = "etcdserver: mvcc: required revision has been compacted"
FUTURE = "etcdserver: mvcc: required revision is a future revision"
NO_LEASE = "etcdserver: requested lease not found"
# Fields of a key, in the order of Compare.CompareTarget.
COMPARE_TARGETS = ("version", "create_revision", "mod_revision", "value", "lease")
FIRST_LEASE_ID = 7001


# A message of `wire`; its class is made at import and therefore has no static type.
Message = Any


class HistoryEntry(NamedTuple):
    """An event and its revision."""

    revision: int
    event: Message


class RevisionEvents(NamedTuple):
    """The events of one revision."""

    revision: int
    events: list[Message]


class Lease(NamedTuple):
    """A lease; `expires_at` is a time of the store's clock."""

    ttl_s: float
    expires_at: float


class _WriteResult(NamedTuple):
    """The response to a write, and whether it changed anything and so takes a revision."""

    response: Message
    has_changed: bool


class Store:
    """Holds all keys, their history by revision, and leases, which expire by `clock` (in seconds)."""

    def __init__(self, cluster_id: int = 1, clock: Callable[[], float] = time.monotonic) -> None:
        self.cluster_id = cluster_id
        self.clock = clock
        self.revision = 1
        self.compact_revision = 0
        self.history: list[HistoryEntry] = []  # ordered by revision
        self.keys: dict[bytes, Message] = {}
        self.leases: dict[int, Lease] = {}
        self._last_lease_id = FIRST_LEASE_ID - 1
        self._waiters: list[trio.Event] = []

    def next_change(self) -> trio.Event:
        """Returns an event that the next `notify` sets."""
        event = trio.Event()
        self._waiters.append(event)
        return event

    def notify(self) -> None:
        """Wakes all tasks that wait for a change."""
        waiters, self._waiters = self._waiters, []
        for event in waiters:
            event.set()

    # Reads.

    def keys_at(self, revision: int) -> dict[bytes, Message]:
        """Returns all keys as of a revision, 0 for the current one.

        Raises `CallError` for a compacted or future revision.
        """
        if not revision or revision == self.revision:
            return self.keys
        if revision > self.revision:
            raise CallError(Status.OUT_OF_RANGE, FUTURE)
        if revision < self.compact_revision:
            raise CallError(Status.OUT_OF_RANGE, COMPACTED)
        keys: dict[bytes, Message] = {}
        for entry in self.history:
            if entry.revision > revision:
                break
            if entry.event.type == wire.PUT:
                keys[entry.event.kv.key] = entry.event.kv
            else:
                keys.pop(entry.event.kv.key, None)
        return keys

    def range(self, request: Message, lag: int = 0) -> Message:
        """Answers a range request as a member that lags `lag` revisions; raises `CallError`."""
        revision = request.revision or (max(1, self.revision - lag) if lag else 0)
        found = [
            kv
            for key, kv in sorted(self.keys_at(revision).items())
            if in_range(key, request.key, request.range_end) and kv.mod_revision >= request.min_mod_revision
        ]
        response = wire.RangeResponse(header=self.header(lag), count=len(found))
        if request.limit and len(found) > request.limit:
            found, response.more = found[: request.limit], True
        if not request.count_only:
            response.kvs.extend(map(without_value, found) if request.keys_only else found)
        return response

    def events_since(self, revision: int, key: bytes, range_end: bytes) -> list[RevisionEvents]:
        """Returns the events of a range of keys from a revision on."""
        start = bisect_right(self.history, revision - 1, key=lambda entry: entry.revision)
        found: list[RevisionEvents] = []
        for entry in self.history[start:]:
            if in_range(entry.event.kv.key, key, range_end):
                if not found or found[-1].revision != entry.revision:
                    found.append(RevisionEvents(entry.revision, []))
                found[-1].events.append(entry.event)
        return found

    def header(self, lag: int = 0) -> Message:
        """Returns the response header of a member that lags `lag` revisions."""
        return wire.ResponseHeader(
            cluster_id=self.cluster_id, member_id=1, raft_term=2, revision=max(1, self.revision - lag)
        )

    # Writes.

    def put(self, request: Message) -> Message:
        """Applies a put request; raises `CallError` if its lease does not exist."""
        return self._write(lambda revision: self._put(request, revision))

    def delete(self, request: Message) -> Message:
        """Applies a delete request."""
        return self._write(lambda revision: self._delete(request, revision))

    def _write(self, apply: Callable[[int], _WriteResult]) -> Message:
        """Applies a write at the next revision; the store's revision rises only if anything changed."""
        result = apply(self.revision + 1)
        if result.has_changed:
            self.revision += 1
            self.notify()
        result.response.header.CopyFrom(self.header())
        return result.response

    def _put(self, request: Message, revision: int) -> _WriteResult:
        if request.lease and request.lease not in self.leases:
            raise CallError(Status.NOT_FOUND, NO_LEASE)
        previous = self.keys.get(request.key)
        kv = wire.KeyValue(
            key=request.key,
            value=request.value,
            lease=request.lease,
            mod_revision=revision,
            create_revision=previous.create_revision if previous else revision,
            version=previous.version + 1 if previous else 1,
        )
        self.keys[request.key] = kv
        self.history.append(HistoryEntry(revision, wire.Event(type=wire.PUT, kv=kv, prev_kv=previous)))
        return _WriteResult(wire.PutResponse(prev_kv=previous if request.prev_kv else None), True)

    def _delete(self, request: Message, revision: int) -> _WriteResult:
        deleted = [key for key in sorted(self.keys) if in_range(key, request.key, request.range_end)]
        response = wire.DeleteRangeResponse(deleted=len(deleted))
        for key in deleted:
            previous = self.keys.pop(key)
            kv = wire.KeyValue(key=key, mod_revision=revision)
            event = wire.Event(type=wire.DELETE, prev_kv=previous, kv=kv)
            self.history.append(HistoryEntry(revision, event))
            if request.prev_kv:
                response.prev_kvs.append(previous)
        return _WriteResult(response, bool(deleted))

    def txn(self, request: Message) -> Message:
        """Applies a transaction at one revision; raises `CallError` if one of its operations fails."""
        succeeded = all(self._compare(comparison) for comparison in request.compare)
        operations = request.success if succeeded else request.failure
        response = wire.TxnResponse(succeeded=succeeded)

        def apply(revision: int) -> _WriteResult:
            changes = [self._apply(operation, response.responses.add(), revision) for operation in operations]
            return _WriteResult(response, any(changes))

        return self._write(apply)

    def _apply(self, operation: Message, response: Message, revision: int) -> bool:
        """Applies one operation of a transaction; returns whether it changed anything."""
        operation_type = operation.WhichOneof("choice")
        if operation_type == "request_range":
            response.response_range.CopyFrom(self.range(operation.request_range))
            return False
        if operation_type == "request_put":
            result = self._put(operation.request_put, revision)
            response.response_put.CopyFrom(result.response)
        else:
            result = self._delete(operation.request_delete_range, revision)
            response.response_delete_range.CopyFrom(result.response)
        return result.has_changed

    def _compare(self, comparison: Message) -> bool:
        kv = self.keys.get(comparison.key)
        if kv is None and comparison.target == wire.VALUE:
            return False
        target = COMPARE_TARGETS[comparison.target]
        actual = getattr(kv, target) if kv else 0
        expected = getattr(comparison, target)
        # In the order of Compare.CompareResult: EQUAL, GREATER, LESS, NOT_EQUAL.
        results = (actual == expected, actual > expected, actual < expected, actual != expected)
        return results[comparison.result]

    def compact(self, revision: int) -> None:
        """Drops the history up to a revision, except the last put of each key that exists at this revision.

        Raises `CallError` for a compacted or future revision.
        """
        if revision <= self.compact_revision:
            raise CallError(Status.OUT_OF_RANGE, COMPACTED)
        if revision > self.revision:
            raise CallError(Status.OUT_OF_RANGE, FUTURE)
        kept = sorted(self.keys_at(revision).values(), key=lambda kv: kv.mod_revision)
        self.history = [
            *(HistoryEntry(kv.mod_revision, wire.Event(type=wire.PUT, kv=kv)) for kv in kept),
            *(entry for entry in self.history if entry.revision > revision),
        ]
        self.compact_revision = revision

    # Leases.

    def grant_lease(self, request: Message) -> Message:
        """Grants a lease."""
        if not request.ID:
            self._last_lease_id += 1
        lease_id = request.ID or self._last_lease_id
        self.leases[lease_id] = Lease(float(request.TTL), self.clock() + request.TTL)
        return wire.LeaseGrantResponse(header=self.header(), ID=lease_id, TTL=request.TTL)

    def keep_alive(self, lease_id: int) -> Message:
        """Renews a lease; the response has a TTL of 0 if the lease does not exist."""
        lease = self.leases.get(lease_id)
        if lease is not None:
            self.leases[lease_id] = Lease(lease.ttl_s, self.clock() + lease.ttl_s)
        ttl_s = int(lease.ttl_s) if lease is not None else 0
        return wire.LeaseKeepAliveResponse(header=self.header(), ID=lease_id, TTL=ttl_s)

    def revoke_lease(self, lease_id: int) -> Message:
        """Revokes a lease and deletes its keys; raises `CallError` if it does not exist."""
        if lease_id not in self.leases:
            raise CallError(Status.NOT_FOUND, NO_LEASE)
        del self.leases[lease_id]
        keys = [kv.key for kv in self.keys.values() if kv.lease == lease_id]

        def delete_keys(revision: int) -> _WriteResult:
            for key in keys:
                self._delete(wire.DeleteRangeRequest(key=key), revision)
            return _WriteResult(wire.LeaseRevokeResponse(), bool(keys))

        return self._write(delete_keys)

    def expire_leases(self) -> None:
        """Revokes all expired leases."""
        for lease_id, lease in list(self.leases.items()):
            if lease.expires_at <= self.clock():
                self.revoke_lease(lease_id)


def in_range(key: bytes, start: bytes, end: bytes) -> bool:
    """Returns whether a key is in a range of etcd's API.

    If `end` is empty, the range is the key `start` alone; if it is one zero byte, all keys from `start` on;
    otherwise the keys from `start` up to, but not including, `end`.
    """
    if not end:
        return key == start
    return key >= start and (end == b"\0" or key < end)


def without_value(kv: Message) -> Message:
    """Returns a copy of a key without its value."""
    copy = wire.KeyValue()
    copy.CopyFrom(kv)
    copy.value = b""
    return copy
