"""What a control node does for servers, operators and edge nodes, behind the HTTP handlers."""

from __future__ import annotations

import asyncio
import logging

import msgspec

from wheatroute.cluster.configuration import Configuration, decode_configuration
from wheatroute.cluster.distribution import NO_SEQUENCE
from wheatroute.cluster.errors import ErrorKind, RequestError
from wheatroute.cluster.messages import (
    NotPrimary,
    RegistryVersion,
    Update,
    UpdateRequest,
    UsageReport,
    UsageResponse,
)
from wheatroute.cluster.settings import Settings
from wheatroute.control.changes import Change, ConfigurationState, apply_change, decode_state, encode_state
from wheatroute.control.edge_nodes import EdgeNodes
from wheatroute.control.failure_detector import FailureDetector
from wheatroute.control.quotas import BucketLevels, QuotaBuckets, respond
from wheatroute.control.registry import Registry, ServerHeartbeat
from wheatroute.control.soft_state import SoftState, make_soft_state
from wheatroute.control.versions import ConfigurationVersions
from wheatroute.replication.records import Document
from wheatroute.replication.replicator import Replicator
from wheatroute.replication.soft_state import SoftStateVersion

WRITE_TIMEOUT = 0.8  # seconds: a caller moves to another node after one second of silence
READ_TIMEOUT = 0.6
COMMIT_TIMEOUT = 0.2  # for a write before this one
COMMIT_LOOK = 0.005
SHARE_TIMEOUT = 0.5
SHARE_SPACING = 0.02  # seconds between two sharings of the registry: it is sent whole, also for one change
BUCKETS_INTERVAL = 0.5
REGISTRY_TICK = 0.2
READY = "ready"
LONGEST_POLL = 5.0


class ControlService:
    """The state of one control node; only the one that leads answers."""

    def __init__(self, settings: Settings, log: logging.Logger) -> None:
        self._settings = settings
        self._log = log
        self.replicator = Replicator(settings, self._committed, self._view_changed, log)
        self._state = ConfigurationState()
        self._sequence = -1
        self._versions = ConfigurationVersions()
        self._registry = Registry(-1, settings.heartbeat_ms / 1000.0, 0.0)
        self._quotas = self._new_quotas(is_first=True)
        self._edges = EdgeNodes()
        self._failure_detector = self._new_failure_detector()
        self._shared_version: RegistryVersion | None = None
        self._shared_edges = 0
        self._shared = SoftStateVersion(-1, 0)
        self._shared_at = 0.0
        self._sharing: asyncio.Task[SoftStateVersion] | None = None
        self._shared_levels: dict[str, BucketLevels] = {}
        self._buckets_shared = 0.0
        self._writing = asyncio.Lock()
        self._news = asyncio.Event()
        self.stopping = False

    def _new_quotas(self, is_first: bool) -> QuotaBuckets:
        bounds = self._settings.bounds
        return QuotaBuckets(bounds.quota_slack, bounds.quota_excess, is_first)

    def take_settings(self, settings: Settings) -> None:
        """The settings file has changed; what is known of servers, nodes and tokens stays."""
        self._settings = settings
        heartbeat_s = settings.heartbeat_ms / 1000.0
        self._registry.expect_heartbeats(heartbeat_s)
        self._failure_detector.expect_heartbeats(heartbeat_s)
        self._quotas.change_rule(settings.bounds.quota_slack, settings.bounds.quota_excess)
        self.replicator.apply_settings(settings)

    def _new_failure_detector(self) -> FailureDetector:
        return FailureDetector(self._settings.heartbeat_ms / 1000.0)

    async def start(self) -> None:
        """Begins to take part in replication."""
        await self.replicator.start()
        asyncio.get_running_loop().create_task(self._watch_registry())

    async def stop(self) -> None:
        """Takes part until other nodes have taken over, then ends the polls that wait."""
        await self.replicator.stop()
        self.stopping = True
        self._tell()

    # replication

    def _committed(self, document: Document) -> None:
        if document.version.sequence == self._sequence:
            return
        self._state = decode_state(document.payload)
        self._sequence = document.version.sequence
        configuration = decode_configuration(self._state.body) if self._state.body else Configuration()
        self._versions.commit(configuration, self._sequence)
        self._quotas.configure(self._versions.tenants, asyncio.get_running_loop().time())
        self._log.info(
            "configuration",
            extra={
                "version": self._state.generation,
                "sequence": document.version.sequence,
                "epoch": document.version.epoch,
            },
        )
        self._tell()

    def _view_changed(self) -> None:
        core = self.replicator.core
        now = asyncio.get_running_loop().time()
        if not core.is_leading:
            self._registry = Registry(-1, self._settings.heartbeat_ms / 1000.0, now)
            self._sequence = -1
        elif self._registry.version.epoch < 0:
            self._registry = Registry(core.view.epoch, self._settings.heartbeat_ms / 1000.0, now)
            self._quotas = self._new_quotas(is_first=core.view.epoch <= 1)
            self._quotas.configure(self._versions.tenants, now)
            self._edges = EdgeNodes(now)
            self._failure_detector = self._new_failure_detector()
            self._quotas.begin_term(now, 0, self._settings.bounds.quota_window_s)
            if self.replicator.soft_state:
                self._restore(now)
        # a node that has come into the view may have nothing, and may lead the next one
        self._shared_version = None
        self._tell()

    def _restore(self, now: float) -> None:
        """Starts from what the primary before shared."""
        try:
            soft = msgspec.msgpack.decode(self.replicator.soft_state, type=SoftState)
        except msgspec.DecodeError as error:
            # of another version of this program: heartbeats tell the same soon
            self._log.warning("soft-state-skipped", extra={"trouble": str(error)})
            return
        self._registry.restore(now, soft.instances)
        self._edges = EdgeNodes(now, soft.edge_node_count)
        self._quotas.begin_term(now, soft.edge_node_count, self._settings.bounds.quota_window_s)
        levels = self._shared_levels_since() or soft.levels()
        self._quotas.restore(levels, now - self.replicator.bucket_levels_at)
        self._log_levels(levels)

    def _log_levels(self, levels: dict[str, BucketLevels]) -> None:
        """What tenants' buckets held by the last word of the primary before, in tokens."""
        told = {tenant: round(level.limit) for tenant, level in levels.items()}
        self._log.info("quota-levels", extra={"epoch": self.replicator.core.view.epoch, "levels": told})

    def _shared_levels_since(self) -> dict[str, BucketLevels]:
        """What buckets held by the word that came after the soft state, if any did."""
        if not self.replicator.bucket_levels:
            return {}
        return msgspec.msgpack.decode(self.replicator.bucket_levels, type=dict[str, BucketLevels])

    def _tell(self) -> None:
        """Wakes every poll that waits."""
        news, self._news = self._news, asyncio.Event()
        news.set()

    async def _watch_registry(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(REGISTRY_TICK)
            if self._registry.tick(loop.time()):
                self._tell()
            if self.replicator.core.is_leading:
                self._quotas.reserve(loop.time(), self._edges)
                self._share_registry()
                self._share_buckets(loop.time())

    def _share_registry(self) -> None:
        """Tells the other control nodes which servers there are, for whoever leads next."""
        now = asyncio.get_running_loop().time()
        edges = self._edges.count(now)
        if self._registry.version == self._shared_version and edges == self._shared_edges:
            return
        self._shared_version, self._shared_edges = self._registry.version, edges
        self._shared_at = now
        self._shared = self.replicator.replicate_soft_state(self._soft_state())

    def _share_buckets(self, now: float) -> None:
        """Tells what tenants' buckets hold, so that the next primary grants nothing twice."""
        levels = self._quotas.levels()
        if levels == self._shared_levels or now - self._buckets_shared < BUCKETS_INTERVAL:
            return
        self._shared_levels, self._buckets_shared = levels, now
        self.replicator.replicate_bucket_levels(msgspec.msgpack.encode(levels))

    def _soft_state(self) -> bytes:
        levels = self._quotas.levels()
        return msgspec.msgpack.encode(make_soft_state(self._registry.present(), levels, self._shared_edges))

    async def _left(self) -> None:
        """A server that leaves is acknowledged once every member knows, as one of them leads next.

        And by a leader alone: edge nodes that follow the next one hear of it from that one.
        """
        order = await self._share_soon()
        confirmed, shared = await asyncio.gather(
            self.replicator.confirm_leadership(READ_TIMEOUT),
            self.replicator.wait_for_soft_state_acks(order, SHARE_TIMEOUT),
        )
        if not shared:
            raise RequestError(ErrorKind.NO_QUORUM, "not taken by all members in time")
        if not confirmed:
            raise RequestError(ErrorKind.NO_QUORUM, "not confirmed as leader")

    async def _share_soon(self) -> SoftStateVersion:
        """Shares the registry as it is in a moment; many servers that leave together share it once."""
        if self._sharing is None or self._sharing.done():
            self._sharing = asyncio.get_running_loop().create_task(self._share_spaced())
        return await asyncio.shield(self._sharing)

    async def _share_spaced(self) -> SoftStateVersion:
        await asyncio.sleep(self._shared_at + SHARE_SPACING - asyncio.get_running_loop().time())
        self.require_primary()  # it may have been deposed meanwhile, and knows no servers then
        self._share_registry()
        return self._shared

    # who answers

    @property
    def primary_host(self) -> str:
        """The host of another node that is thought to lead, or nothing if it is unknown or silent."""
        return self.replicator.core.primary_host(asyncio.get_running_loop().time())

    def require_primary(self) -> None:
        """Raises RequestError unless this node leads and can acknowledge."""
        core = self.replicator.core
        if not core.is_leading:
            raise RequestError(ErrorKind.NOT_PRIMARY, self.primary_host)
        if not self.replicator.is_serving or self._sequence < 0:
            raise RequestError(ErrorKind.NO_QUORUM, "no majority of control nodes answers")

    # operators

    async def change(self, change: Change) -> int:
        """Takes a change of the configuration; returns its version once it is acknowledged."""
        async with asyncio.timeout(WRITE_TIMEOUT):
            await self._writing.acquire()
        try:
            await self._wait_for_commit()
            if not self.replicator.core.is_healthy:
                raise RequestError(ErrorKind.STORAGE, "the disk takes no writes")
            state = await self._judge(change)
            if state is None:
                return self._state.generation
            if not await self.replicator.write(encode_state(state), WRITE_TIMEOUT):
                raise RequestError(ErrorKind.NO_QUORUM, "not acknowledged by enough disks in time")
            return state.generation
        finally:
            self._writing.release()

    async def _judge(self, change: Change) -> ConfigurationState | None:
        """The state after a change, None if it was taken before; raises RequestError if it can't be taken.

        Whatever isn't followed by a write is only said once a majority has confirmed that this node leads:
        one that was deposed without knowing it would refuse what was taken elsewhere.
        """
        try:
            state = apply_change(self._state, change)
        except RequestError:
            await self._confirm()
            raise
        if state is None:
            await self._confirm()
        return state

    async def _confirm(self) -> None:
        """Raises RequestError unless a majority says, asked from now on, that this node leads."""
        if not await self.replicator.confirm_leadership(READ_TIMEOUT):
            raise RequestError(ErrorKind.NO_QUORUM, "not confirmed as leader")

    async def _wait_for_commit(self) -> None:
        """Waits for an earlier write, as at each change of view; raises RequestError if it lasts."""
        loop, core = asyncio.get_running_loop(), self.replicator.core
        end = loop.time() + COMMIT_TIMEOUT
        while True:
            self.require_primary()
            if core.committed is not None and core.committed.version == core.document.version:
                return
            if loop.time() >= end or not core.is_healthy:
                raise RequestError(ErrorKind.NO_QUORUM, "an earlier change is not acknowledged yet")
            await asyncio.sleep(COMMIT_LOOK)

    async def read(self) -> bytes:
        """The newest configuration, never older than one that was acknowledged before."""
        self.require_primary()
        await self._confirm()
        if not self._state.body:
            raise RequestError(ErrorKind.NO_ROUTE, "no configuration yet")
        return self._state.body

    # servers

    async def heartbeat(self, identity: str, heartbeat: ServerHeartbeat) -> None:
        """A server says that it is there, or about to leave."""
        self.require_primary()
        if self._registry.heartbeat(asyncio.get_running_loop().time(), identity, heartbeat):
            self._tell()
        if heartbeat.state != READY:
            await self._left()

    async def leave(self, identity: str) -> None:
        """A server says that it ends."""
        self.require_primary()
        if self._registry.remove(asyncio.get_running_loop().time(), identity):
            self._tell()
        await self._left()

    # edge nodes

    def not_serving(self) -> NotPrimary:
        """Where an edge node should ask instead."""
        return NotPrimary(self.primary_host, self.replicator.core.hosts)

    async def updates(self, request: UpdateRequest) -> Update | NotPrimary:
        """Waits until there is something new for this edge node, or its time is up.

        An edge node's first configuration is handed out only once a majority has confirmed that this node
        leads: one that has just started has no other way to know that it isn't an old one. One that has a
        configuration takes nothing older, and hears by the lease alone.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + min(request.wait_s, LONGEST_POLL)
        while True:
            news = self._news
            try:
                self.require_primary()
            except RequestError:
                return self.not_serving()
            if self.stopping:
                return self.not_serving()
            now = loop.time()
            self._edges.contact(now, request.node)
            if now >= end or self._is_news(request):
                if request.configuration >= 0 or not self._state.body:
                    return self._update(request, now)
                if not await self.replicator.confirm_leadership(READ_TIMEOUT):
                    return self.not_serving()
                if self.replicator.is_serving and self._sequence >= 0:  # else it was deposed meanwhile
                    return self._update(request, loop.time())
                continue
            try:
                # woken now and then: a leader that lost its majority must not keep an edge node waiting
                async with asyncio.timeout(min(end - now, REGISTRY_TICK)):
                    await news.wait()
            except TimeoutError:
                pass

    def _is_news(self, request: UpdateRequest) -> bool:
        if self._lacks_configuration(request):
            return True
        known, version = request.registry, self._registry.version
        return known.epoch != version.epoch or known.number != version.number

    def _update(self, request: UpdateRequest, now: float) -> Update:
        instances, whole = self._registry.changes(request.registry)
        return Update(
            epoch=self.replicator.core.view.epoch,
            configuration=self._sequence if self._state.body else -1,
            configuration_change=self._configuration_change(request),
            registry=self._registry.version,
            instances=instances,
            is_full=whole,
            is_settled=self._registry.is_settled(now),
            control_hosts=self.replicator.core.hosts,
            edge_node_count=self._edges.count(now),
        )

    def _lacks_configuration(self, request: UpdateRequest) -> bool:
        return bool(self._state.body) and (request.wants_full or request.configuration < self._sequence)

    def _configuration_change(self, request: UpdateRequest) -> bytes | None:
        """The way from the version that an edge node has to the newest one, if it lacks anything."""
        if not self._lacks_configuration(request):
            return None
        return self._versions.since(NO_SEQUENCE if request.wants_full else request.configuration)

    def usage(self, report: UsageReport) -> UsageResponse | NotPrimary:
        """Takes an edge node's use in; answers its parts of the tenants' rates."""
        try:
            self.require_primary()
        except RequestError:
            return self.not_serving()
        now = asyncio.get_running_loop().time()
        if report.unresponsive_for is not None:
            self._suspect(now, report.node, report.unresponsive_for)
        return respond(self._quotas, self._edges, now, report, self._registry.version.epoch)

    def _suspect(self, now: float, node: str, unresponsive_for: dict[str, float]) -> None:
        """Tells all edge nodes of a server at once that several of them suspect."""
        self._failure_detector.report(now, node, unresponsive_for)
        for server in unresponsive_for:
            last_heartbeat = self._registry.last_heartbeat(server)
            if last_heartbeat is None or not self._failure_detector.is_suspected(
                now, server, last_heartbeat, self._edges.count(now)
            ):
                continue
            self._registry.mark_unresponsive(server)
            self._log.info(
                "server-suspected",
                extra={"server": server, "last_heartbeat_s": round(now - last_heartbeat, 2)},
            )
            self._tell()


def encode(message: msgspec.Struct) -> bytes:
    """A message for an edge node."""
    return msgspec.msgpack.encode(message)
