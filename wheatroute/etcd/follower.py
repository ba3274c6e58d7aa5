"""Follows the keys under a prefix: reads all of them once, then applies every change. Does I/O on trio.

A change is applied at most two seconds after it could be read: a stream without responses is asked for its
progress, one that doesn't answer or lags behind is left for another endpoint. Invariant: while etcd can't be
reached the last known state stands; no server is dropped.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

import trio

from wheatroute.etcd import messages as wire
from wheatroute.etcd.client import EtcdClient
from wheatroute.etcd.server_keys import ServerKeys
from wheatroute.etcd.watch import MemberBehindError, Watch, WatchLostError
from wheatroute.grpc.async_call import AsyncCall
from wheatroute.grpc.messages import CallError, Status
from wheatroute.net.clock import now

PROGRESS_TIMEOUT_S = 0.3  # without a response until a stream is asked for its progress, and for its answer
CHECK_INTERVAL_S = 0.5  # between two reads of the cluster's revision
MAX_LAG_S = 2.0 * PROGRESS_TIMEOUT_S  # of a stream behind a revision that the cluster has reached
INITIAL_BACKOFF_S, MAX_BACKOFF_S = 0.02, 0.5  # between attempts, doubled each time, half of it random
MAX_LOGGED_ERROR = 200  # characters


class WatchedKeys(Protocol):
    """The meaning of the keys under a prefix, without I/O.

    Both methods return the change for the follower's callback, with the keys of a list service's body
    (`full`, `servers`), and a line for each malformed value.
    """

    prefix: bytes

    def load(self, kvs: list[Any], now: float) -> tuple[dict[str, Any], list[str]]:
        """Applies all keys of one revision."""

    def apply(self, events: list[Any], now: float) -> tuple[dict[str, Any], list[str]]:
        """Applies the events of one revision."""


class Position(NamedTuple):
    """A cluster, and the revision of it up to which all changes are applied."""

    cluster_id: int
    revision: int


class Follower:
    """Follows the servers of a pool; calls `on_change` with each list and each change of a revision."""

    def __init__(
        self,
        client: EtcdClient,
        prefix: bytes,
        on_change: Callable[[dict[str, Any]], None],
        rng: random.Random,
        log: Any,
        keys: WatchedKeys | None = None,
    ) -> None:
        self._client, self._on_change, self._rng, self._log = client, on_change, rng, log
        self.keys: WatchedKeys = keys or ServerKeys(prefix)
        self.watch: Watch | None = None
        self.list_count = self.stream_count = 0  # how often all keys were read, and streams opened
        self._backoff_s = INITIAL_BACKOFF_S
        self._progress = _ClusterProgress(client)
        self._lost_position = Position(0, 0)  # of the watch before
        self.is_pinned = False  # no other cluster is followed in the place of the first

    @property
    def revision(self) -> int:
        """The revision up to which all changes are applied; 0 before the first list."""
        return self.watch.next_revision - 1 if self.watch else 0

    @property
    def source(self) -> str:
        """The name of the cluster that is followed."""
        return f"etcd {self.min_position.cluster_id:x}"

    @property
    def min_position(self) -> Position:
        """The position behind which a pinned follower does not go."""
        return Position(self.watch.cluster_id, self.revision) if self.watch else self._lost_position

    def resume_from(self, cluster_id: int, revision: int) -> None:
        """Pins the follower to the position of the process before this one, from its snapshot."""
        self.is_pinned, self._lost_position = True, Position(cluster_id, revision)

    async def run(self) -> None:
        """Keeps the connections of the client and follows; for a follower with a client of its own."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._client.run)
            nursery.start_soon(self.follow)

    async def follow(self) -> None:
        """Follows until cancelled."""
        while True:
            try:
                if self.watch is None:
                    await self._list()
                else:
                    await self._read_stream(self.watch)
            except WatchLostError as error:
                self._log.warning("watch-lost", error=str(error))
                self._lost_position = self.min_position
                self.watch, self._progress.cluster_revision = None, 0
            except CallError as error:
                self._log.warning(
                    "etcd",
                    error=str(error),
                    endpoint="{}:{}".format(*self._client.endpoint),
                    revision=self.revision,
                )
                await self._back_off()

    async def _back_off(self) -> None:
        """Waits ever longer, and not in step with other nodes that lost the same endpoint."""
        await trio.sleep(self._backoff_s * (0.5 + 0.5 * self._rng.random()))
        self._backoff_s = min(MAX_BACKOFF_S, 2.0 * self._backoff_s)

    async def _list(self) -> None:
        """Reads all keys, and begins a watch behind them."""
        header, kvs = await self._client.range_all(self.keys.prefix)
        lost_position = self._lost_position
        if self.is_pinned and lost_position.cluster_id not in (0, header.cluster_id):
            raise MemberBehindError(
                f"cluster {header.cluster_id:x} answers in the place of {lost_position.cluster_id:x}"
            )
        if header.cluster_id == lost_position.cluster_id and header.revision < lost_position.revision:
            # an older state of the store would undo drains that were applied
            raise MemberBehindError(
                f"the cluster is at revision {header.revision}, it was at {lost_position.revision}"
            )
        self.list_count += 1
        self._apply(*self.keys.load(kvs, now()))
        self.watch = Watch(header.cluster_id, header.revision)

    async def _read_stream(self, watch: Watch) -> None:
        """Reads one stream until it fails."""
        self.stream_count += 1
        async with self._client.stream(wire.WATCH) as call:
            await call.send(watch.request(self.keys.prefix).SerializeToString())
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._progress.run, watch)
                try:
                    await self._read_responses(call, watch)
                except (WatchLostError, CallError) as error:
                    failure: Exception = error
                nursery.cancel_scope.cancel()
            raise failure

    async def _read_responses(self, call: AsyncCall, watch: Watch) -> None:
        has_asked_progress = False
        while True:
            with trio.move_on_after(PROGRESS_TIMEOUT_S) as timeout:
                message = await call.receive()
            if timeout.cancelled_caught:
                if has_asked_progress:
                    raise CallError(Status.UNAVAILABLE, "the stream is silent")
                has_asked_progress = True
                request = wire.WatchRequest(progress_request=wire.WatchProgressRequest())
                await call.send(request.SerializeToString())
                continue
            if message is None:
                raise CallError(Status.UNAVAILABLE, "the stream was closed")
            has_asked_progress = False
            self._receive(wire.WatchResponse.FromString(message), watch)

    def _receive(self, response: Any, watch: Watch) -> None:
        """Applies one response; raises `WatchLostError` or `MemberBehindError`."""
        for batch in watch.receive(response):
            self._apply(*self.keys.apply(batch.events, now()))
        if response.created:
            self._progress.check_created(response.header.revision)
            self._backoff_s = INITIAL_BACKOFF_S
        self._progress.check(watch)

    def _apply(self, change: dict[str, Any], errors: list[str]) -> None:
        for error in errors:
            self._log.warning("entry-skipped", error=error[:MAX_LOGGED_ERROR])
        if change["servers"] or change["full"]:
            self._on_change(change)


class _ClusterProgress:
    """Compares the progress of a stream with that of the cluster.

    A member that is partitioned from the others answers, but sends no new events; this finds it.
    """

    def __init__(self, client: EtcdClient) -> None:
        self._client = client
        self.cluster_revision = 0  # that the cluster has reached
        self._reached_at = 0.0

    async def run(self, watch: Watch) -> None:
        """Reads the cluster's revision beside one stream; the result is kept for the next streams."""
        while True:
            try:
                # a linearizable read, which a member that is partitioned from the others can't serve
                response = await self._client.range(b"\0", limit=1, count_only=True)
            except CallError:
                response = None
            is_same_cluster = response is not None and response.header.cluster_id == watch.cluster_id
            if is_same_cluster and self.cluster_revision <= watch.progress_revision:
                self.cluster_revision, self._reached_at = response.header.revision, trio.current_time()
            await trio.sleep(CHECK_INTERVAL_S)

    def check_created(self, revision: int) -> None:
        """Raises `MemberBehindError` for a member that begins a stream behind the cluster's revision."""
        if revision < self.cluster_revision:
            raise MemberBehindError(f"at revision {revision}, the cluster at {self.cluster_revision}")
        self._reached_at = trio.current_time()  # the stream has as long to send what the member has

    def check(self, watch: Watch) -> None:
        """Raises `MemberBehindError` if the stream lags behind the cluster's revision for too long."""
        if (
            self.cluster_revision > watch.progress_revision
            and trio.current_time() - self._reached_at > MAX_LAG_S
        ):
            raise MemberBehindError(
                f"at revision {watch.progress_revision}, the cluster at {self.cluster_revision}"
            )
