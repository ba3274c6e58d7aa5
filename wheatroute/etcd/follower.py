"""Follows the keys under a prefix: reads all of them once, then applies every change. Does I/O on trio.

A change is applied at most two seconds after it could be read: if a stream sends no responses, the follower
requests its progress. It switches to another endpoint if the stream still doesn't respond or lags behind.
Invariant: while etcd can't be reached the last known state stays in use; no server is dropped.
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

# Time without a response after which the stream's progress is requested; also the time limit for the response
# to that request.
PROGRESS_TIMEOUT_S = 0.3
CHECK_INTERVAL_S = 0.5  # interval between two reads of the cluster's revision
# Time for which a stream may lag behind a revision that the cluster has reached.
MAX_LAG_S = 2.0 * PROGRESS_TIMEOUT_S
# Delay between attempts: doubled after each failure, half of it random.
INITIAL_BACKOFF_S, MAX_BACKOFF_S = 0.02, 0.5
MAX_LOGGED_ERROR = 200  # characters


class WatchedKeys(Protocol):
    """Interprets the keys under a prefix, without I/O.

    Both methods return the change for the follower's callback, with the fields of a list service's body
    (`full`, `servers`), and an error message for each malformed value.
    """

    prefix: bytes

    def load(self, kvs: list[Any], now: float) -> tuple[dict[str, Any], list[str]]:
        """Applies all keys of one revision."""

    def apply(self, events: list[Any], now: float) -> tuple[dict[str, Any], list[str]]:
        """Applies the events of one revision."""


class Position(NamedTuple):
    """A cluster, and its revision up to which all changes are applied."""

    cluster_id: int
    revision: int


class Follower:
    """Follows keys, by default the servers of a pool; calls `on_change` for each list and each change."""

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
        # How many times all keys were read, and how many streams were opened.
        self.list_count = self.stream_count = 0
        self._backoff_s = INITIAL_BACKOFF_S
        self._progress = _ClusterProgress(client)
        self._lost_position = Position(0, 0)  # position of the previous watch; zeros if there was none
        self.is_pinned = False  # if true, only the first cluster is ever followed

    @property
    def revision(self) -> int:
        """The revision up to which all changes are applied; 0 before the first list."""
        return self.watch.next_revision - 1 if self.watch else 0

    @property
    def source(self) -> str:
        """The name of the followed cluster."""
        return f"etcd {self.min_position.cluster_id:x}"

    @property
    def min_position(self) -> Position:
        """The position of the current or last watch: an older revision of that cluster is never applied."""
        return Position(self.watch.cluster_id, self.revision) if self.watch else self._lost_position

    def resume_from(self, cluster_id: int, revision: int) -> None:
        """Pins the follower to the cluster and the minimum revision in the previous process's snapshot."""
        self.is_pinned, self._lost_position = True, Position(cluster_id, revision)

    async def run(self) -> None:
        """Runs the client and follows until cancelled; for a follower that doesn't share its client."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._client.run)
            nursery.start_soon(self.follow)

    async def follow(self) -> None:
        """Follows until cancelled; the client must be running."""
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
                    "etcd-request-failed",
                    error=str(error),
                    endpoint="{}:{}".format(*self._client.endpoint),
                    revision=self.revision,
                )
                await self._back_off()

    async def _back_off(self) -> None:
        """Waits longer after each failure, with jitter as other nodes may have lost the same endpoint."""
        await trio.sleep(self._backoff_s * (0.5 + 0.5 * self._rng.random()))
        self._backoff_s = min(MAX_BACKOFF_S, 2.0 * self._backoff_s)

    async def _list(self) -> None:
        """Reads all keys, and starts a watch from the next revision.

        Raises `MemberBehindError` if the keys are older than the lost position, or if the follower is pinned
        and another cluster responds.
        """
        header, kvs = await self._client.range_all(self.keys.prefix)
        lost_position = self._lost_position
        if self.is_pinned and lost_position.cluster_id not in (0, header.cluster_id):
            raise MemberBehindError(
                f"response from etcd cluster {header.cluster_id:x}, "
                f"expected cluster {lost_position.cluster_id:x}"
            )
        if header.cluster_id == lost_position.cluster_id and header.revision < lost_position.revision:
            # An older state of the store would undo drains that were already applied.
            raise MemberBehindError(
                f"the cluster is at revision {header.revision}, it was at {lost_position.revision} before"
            )
        self.list_count += 1
        self._apply(*self.keys.load(kvs, now()))
        self.watch = Watch(header.cluster_id, header.revision)

    async def _read_stream(self, watch: Watch) -> None:
        """Opens a stream and applies its responses until it fails; raises its error."""
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
                    raise CallError(Status.UNAVAILABLE, "the stream did not respond to a progress request")
                has_asked_progress = True
                request = wire.WatchRequest(progress_request=wire.WatchProgressRequest())
                await call.send(request.SerializeToString())
                continue
            if message is None:
                raise CallError(Status.UNAVAILABLE, "the stream was closed")
            has_asked_progress = False
            self._receive(wire.WatchResponse.FromString(message), watch)

    def _receive(self, response: Any, watch: Watch) -> None:
        """Applies a response of the stream; raises `WatchLostError` or `MemberBehindError`."""
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

    Detects a member that is partitioned from the others: it still responds, but sends no new events.
    """

    def __init__(self, client: EtcdClient) -> None:
        self._client = client
        self.cluster_revision = 0  # a revision that the cluster has reached
        self._reached_at = 0.0  # when that was read, or when the stream was created if later

    async def run(self, watch: Watch) -> None:
        """Reads the cluster's revision while one stream is open; the result is kept for later streams."""
        while True:
            try:
                # A linearizable read, which a member that is partitioned from the others can't serve.
                response = await self._client.range(b"\0", limit=1, count_only=True)
            except CallError:
                response = None
            is_same_cluster = response is not None and response.header.cluster_id == watch.cluster_id
            if is_same_cluster and self.cluster_revision <= watch.progress_revision:
                self.cluster_revision, self._reached_at = response.header.revision, trio.current_time()
            await trio.sleep(CHECK_INTERVAL_S)

    def check_created(self, revision: int) -> None:
        """Raises `MemberBehindError` if a member starts a stream behind the cluster's revision."""
        if revision < self.cluster_revision:
            raise MemberBehindError(
                f"the member is at revision {revision}, the cluster is at {self.cluster_revision}"
            )
        # The stream gets `MAX_LAG_S` from now on to send the events that the member has.
        self._reached_at = trio.current_time()

    def check(self, watch: Watch) -> None:
        """Raises `MemberBehindError` if the stream lags behind the cluster's revision for too long."""
        if (
            self.cluster_revision > watch.progress_revision
            and trio.current_time() - self._reached_at > MAX_LAG_S
        ):
            raise MemberBehindError(
                f"the stream is at revision {watch.progress_revision}, "
                f"the cluster is at {self.cluster_revision}"
            )
