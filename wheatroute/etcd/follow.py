"""Follows the keys of a pool: all of them once, then every change, whatever breaks on the way.

Owns the order of reading and watching, and how long a silence may last. From when a change could be had to
when it is handed on there are at most two seconds: a stream that says nothing is asked, one that does not
answer or lies behind is left for another endpoint. It must never drop a server because etcd is away.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any, Protocol

import trio

from wheatroute.etcd import messages as wire
from wheatroute.etcd.client import Cluster
from wheatroute.etcd.registry import Registry
from wheatroute.etcd.watching import BehindError, LostError, Watching
from wheatroute.grpc.messages import CallError, Status
from wheatroute.net.clock import now

ASKED = 0.3  # seconds of silence after which a stream is asked how far it is, and as many for its answer
CHECKED = 0.5  # seconds between two looks at how far the cluster is
FIRST_WAIT, LONGEST_WAIT = 0.02, 0.5  # seconds between tries, doubled each time, half of it by chance


class Keys(Protocol):
    """What the keys under a prefix mean: what to hand on, and a line for each bad value. Free of I/O."""

    prefix: bytes

    def whole(self, kvs: list[Any], now: float) -> tuple[dict[str, Any], list[str]]: ...

    def changes(self, events: list[Any], now: float) -> tuple[dict[str, Any], list[str]]: ...


class Follower:
    """Keeps a list of servers by the keys of a pool. `take(told)` gets lists and changes, whole revisions."""

    def __init__(
        self,
        cluster: Cluster,
        prefix: bytes,
        take: Callable[[dict[str, Any]], None],
        chance: random.Random,
        log: Any,
        registry: Keys | None = None,
    ) -> None:
        self._cluster, self._take, self._chance, self._log = cluster, take, chance, log
        self.registry: Keys = registry or Registry(prefix)
        self.watching: Watching | None = None
        self.lists = self.streams = 0  # how often all keys were read, and streams opened
        self._wait = FIRST_WAIT
        self._check = _Check(cluster)
        self._floor = (0, 0)  # the cluster that was followed last, and up to where
        self.steady = False  # no other cluster is followed in the place of the first

    @property
    def revision(self) -> int:
        """Up to which revision all changes are applied; 0 before the first list."""
        return self.watching.next - 1 if self.watching else 0

    @property
    def source(self) -> str:
        """Which cluster it is that is followed."""
        return f"etcd {self.watching.cluster if self.watching else self._floor[0]:x}"

    @property
    def floor(self) -> tuple[int, int]:
        """The cluster and revision behind which a steady follower does not go."""
        return (self.watching.cluster, self.revision) if self.watching else self._floor

    def begin_at(self, cluster: int, revision: int) -> None:
        """What a process before this one acted on, as its snapshot has it."""
        self.steady, self._floor = True, (cluster, revision)

    async def run(self) -> None:
        """Keeps the connections up and follows."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cluster.run)
            nursery.start_soon(self.follow)

    async def follow(self) -> None:
        while True:
            try:
                if self.watching is None:
                    await self._list()
                else:
                    await self._watch(self.watching)
            except LostError as lost:
                self._log.warning("watch-lost", trouble=str(lost))
                if self.watching is not None:
                    self._floor = self.watching.cluster, self.revision
                self.watching, self._check.true = None, 0
            except CallError as trouble:
                self._log.warning(
                    "etcd",
                    trouble=str(trouble),
                    endpoint="{}:{}".format(*self._cluster.endpoint),
                    revision=self.revision,
                )
                await self._pause()

    async def _pause(self) -> None:
        """Ever longer, and never in step with other nodes that lost the same endpoint."""
        await trio.sleep(self._wait * (0.5 + 0.5 * self._chance.random()))
        self._wait = min(LONGEST_WAIT, 2.0 * self._wait)

    async def _list(self) -> None:
        header, kvs = await self._cluster.all(self.registry.prefix)
        if self.steady and self._floor[0] not in (0, header.cluster_id):
            raise BehindError(f"cluster {header.cluster_id:x} answers in the place of {self._floor[0]:x}")
        if header.cluster_id == self._floor[0] and header.revision < self._floor[1]:
            # guards against a drain undone by an older state of the store: what was acted on stands
            raise BehindError(f"the cluster is at revision {header.revision}, it was at {self._floor[1]}")
        self.lists += 1
        self._hand_on(*self.registry.whole(kvs, now()))
        self.watching = Watching(header.cluster_id, header.revision)

    async def _watch(self, watching: Watching) -> None:
        """One stream, until it fails."""
        self.streams += 1
        async with self._cluster.stream(wire.WATCH) as talk:
            await talk.send(watching.request(self.registry.prefix).SerializeToString())
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._check.run, watching)
                try:
                    await self._read(talk, watching)
                except (LostError, CallError) as trouble:
                    failure: Exception = trouble
                nursery.cancel_scope.cancel()
            raise failure

    async def _read(self, talk: Any, watching: Watching) -> None:
        asked = False
        while True:
            with trio.move_on_after(ASKED) as limit:
                message = await talk.receive()
            if limit.cancelled_caught:
                if asked:
                    raise CallError(Status.UNAVAILABLE, "the stream is silent")
                asked = True
                progress = wire.WatchRequest(progress_request=wire.WatchProgressRequest())
                await talk.send(progress.SerializeToString())
                continue
            if message is None:
                raise CallError(Status.UNAVAILABLE, "the stream was closed")
            asked = False
            told = wire.WatchResponse.FromString(message)
            for batch in watching.take(told):
                self._hand_on(*self.registry.changes(batch.events, now()))
            if told.created:
                self._check.look_at_once(told.header.revision)
                self._wait = FIRST_WAIT
            self._check.look(watching)

    def _hand_on(self, told: dict[str, Any], troubles: list[str]) -> None:
        for trouble in troubles:
            self._log.warning("entry-skipped", trouble=trouble[:200])
        if told["servers"] or told["full"]:
            self._take(told)


class _Check:
    """Compares how far a stream is with how far the cluster is.

    Guards against a member that lies behind, cut off from the others: it answers, and tells nothing new.
    """

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self.true = 0  # a revision that the cluster has reached
        self._since = 0.0

    async def run(self, watching: Watching) -> None:
        """Beside one stream; what was found out stands for the next ones."""
        while True:
            try:
                # not served by a member that is cut off: it has to ask the others
                answer = await self._cluster.range(b"\0", limit=1, count_only=True)
            except CallError:
                answer = None
            same = answer is not None and answer.header.cluster_id == watching.cluster
            if same and self.true <= watching.seen:
                self.true, self._since = answer.header.revision, trio.current_time()
            await trio.sleep(CHECKED)

    def look_at_once(self, revision: int) -> None:
        """Raises `BehindError` for a member that begins a stream short of where the cluster was."""
        if revision < self.true:
            raise BehindError(f"at revision {revision}, the cluster at {self.true}")
        self._since = trio.current_time()  # it has as long to tell what it has

    def look(self, watching: Watching) -> None:
        """Raises `BehindError` if the stream is not as far as the cluster was two questions ago."""
        if self.true > watching.seen and trio.current_time() - self._since > 2.0 * ASKED:
            raise BehindError(f"at revision {watching.seen}, the cluster at {self.true}")
