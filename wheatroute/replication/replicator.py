"""Runs a `ReplicationCore` on asyncio: its clock, its disk (on a separate thread) and its links.

The core decides; this module carries out its effects in order. It does I/O, and owns the tasks, the thread
and the connections for it.
"""

from __future__ import annotations

import asyncio
import logging
import secrets
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from itertools import count
from random import Random

from wheatroute.cluster.settings import Settings
from wheatroute.replication import log_events
from wheatroute.replication.core import ReplicationCore
from wheatroute.replication.effects import Committed, Effect, LeadershipCheckDone, Save, Send, WriteDone
from wheatroute.replication.identity import genesis_identity
from wheatroute.replication.links import IncomingLimits, Links
from wheatroute.replication.messages import BucketLevelsUpdate, Message, SoftStateAck, SoftStateUpdate
from wheatroute.replication.records import AcceptorRecord, Document, NodeRecord, new_record
from wheatroute.replication.soft_state import SoftStateVersion
from wheatroute.replication.soft_state_replication import SoftStateReplication
from wheatroute.replication.soft_state_writer import SoftStateWriter
from wheatroute.replication.storage import LmdbStorage, MemoryStorage, Storage, StorageError
from wheatroute.replication.views import NO_VIEW, genesis_view

TICK_INTERVAL_S = 0.05
SCRUB_INTERVAL_S = 10.0  # time between two checks of the record on disk
FIRST_WRITE_RETRY_S = 0.5
STOP_RESERVE_S = 3.0  # part of the time until SIGKILL that is left for shutdown steps after replication
MIN_STOP_TIMEOUT_S = 0.8  # a stopping node waits this long for other nodes, even if less time is left
NONCE_BYTES = 6


def first_record(settings: Settings) -> NodeRecord:
    """Returns the record of a node whose disk is empty.

    At the first start of the whole system, each seed can compute the identities of all seeds, so that they
    agree on the first view; every other node joins them under a new, random identity.
    """
    view = genesis_view(settings.seed_hosts)
    if settings.bootstrap and settings.ip in settings.seed_hosts:
        return new_record(genesis_identity(settings.ip), AcceptorRecord(view))
    nonce = secrets.token_hex(NONCE_BYTES)
    return new_record(f"{settings.ip}/{nonce}", AcceptorRecord(NO_VIEW))


def _open_storage(settings: Settings) -> Storage:
    if not settings.data_dir:
        return MemoryStorage()
    return LmdbStorage(settings.data_dir, settings.limits.disk_mb)


class Replicator:
    """Gives the rest of a control node access to the replicated document.

    `on_commit` is called with each document that is committed; `on_change` when this node begins or ceases to
    lead, and when the view changes. Both run on the event loop and must not block. `core` exists only after
    `start`.
    """

    def __init__(
        self,
        settings: Settings,
        on_commit: Callable[[Document], None],
        on_change: Callable[[], None],
        log: logging.Logger,
        incoming_limits: IncomingLimits,
    ) -> None:
        self._settings = settings
        self._incoming_limits = incoming_limits
        self._on_commit = on_commit
        self._on_change = on_change
        self._log = log
        self._executor = ThreadPoolExecutor(max_workers=1, thread_name_prefix="disk")
        self._storage = _open_storage(settings)
        self._request_numbers = count(1)
        self._requests: dict[int, asyncio.Future[bool]] = {}
        self._reported_role = (False, NO_VIEW.epoch - 1)  # the last reported is_leading and epoch
        self._soft_state: SoftStateReplication
        self.core: ReplicationCore
        self._links: Links

    # start and stop

    async def start(self) -> None:
        """Reads the disk and starts to take part in replication."""
        loop = asyncio.get_running_loop()
        stored = await loop.run_in_executor(self._executor, self._storage.read)
        soft_state = await loop.run_in_executor(self._executor, self._storage.read_soft_state)
        record = stored if stored is not None else await self._write_first_record()
        settings = self._settings
        self.core = ReplicationCore(
            record, settings.seed_hosts, settings.tolerate.machines, Random(), loop.time()
        )
        self._links = Links(
            record.identity,
            (settings.ip, settings.replication_port),
            self._on_message,
            self._log,
            self._incoming_limits,
        )
        writer = SoftStateWriter(self._write_soft_state, self._check_disk)
        self._soft_state = SoftStateReplication(self.core, soft_state, self._send, writer.request)
        await self._links.listen()
        log_events.started(self._log, record, is_fresh=stored is None)
        loop.create_task(self._run_ticks())
        loop.create_task(self._run_scrubs())

    async def stop(self) -> None:
        """Announces that this node leaves, and stops once other nodes have taken over its roles.

        If they have not, it stops nevertheless `STOP_RESERVE_S` before the end of the grace period
        (`bounds.grace_s`), but waits for them for at least `MIN_STOP_TIMEOUT_S`.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        timeout_s = max(MIN_STOP_TIMEOUT_S, self._settings.bounds.grace_s - STOP_RESERVE_S)
        self._carry_out(self.core.leave(started_at))
        while not self.core.can_stop(loop.time()) and loop.time() < started_at + timeout_s:
            await asyncio.sleep(TICK_INTERVAL_S / 2)
        log_events.stopped(self._log, self.core, loop.time(), waited_s=loop.time() - started_at)
        self._links.close()

    def apply_settings(self, settings: Settings) -> None:
        """Applies a changed settings file: seeds, and how many nodes may be lost at once."""
        self._settings = settings
        self.core.add_hosts(settings.seed_hosts)
        self.core.tolerate = settings.tolerate.machines

    # the document

    @property
    def is_serving(self) -> bool:
        """Whether this node leads with a lease and a committed document, so may serve requests now."""
        return self.core.is_serving(asyncio.get_running_loop().time())

    async def write(self, payload: bytes, timeout_s: float) -> bool:
        """Replicates a new document; returns whether it is acknowledged within `timeout_s`.

        A document that isn't acknowledged may still be committed later.
        """
        request = next(self._request_numbers)
        return await self._await_result(
            request, timeout_s, lambda now: self.core.write(now, request, payload)
        )

    async def confirm_leadership(self, timeout_s: float) -> bool:
        """Returns whether a majority of voters confirms within `timeout_s` that this node still leads.

        Only answers to heartbeats that are sent after this call count.
        """
        request = next(self._request_numbers)
        return await self._await_result(
            request, timeout_s, lambda now: self.core.confirm_leadership(now, request)
        )

    async def _await_result(
        self, request: int, timeout_s: float, start: Callable[[float], list[Effect]]
    ) -> bool:
        loop = asyncio.get_running_loop()
        future: asyncio.Future[bool] = loop.create_future()
        self._requests[request] = future
        self._carry_out(start(loop.time()))
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            return False
        finally:
            self._requests.pop(request, None)

    # soft state

    @property
    def soft_state(self) -> bytes:
        """The newest soft state of a leader that this node knows; empty if there is none."""
        return self._soft_state.payload

    @property
    def bucket_levels(self) -> bytes:
        """The newest bucket levels of a leader; empty if none arrived after the soft state."""
        return self._soft_state.bucket_levels

    @property
    def bucket_levels_at(self) -> float:
        """Event loop time at which bucket levels or soft state arrived last, minus infinity if none did."""
        return self._soft_state.bucket_levels_at

    def replicate_soft_state(self, payload: bytes) -> SoftStateVersion:
        """Sends this leader's soft state to all others.

        Returns the version to pass to `wait_for_soft_state_acks`.
        """
        return self._soft_state.publish(payload)

    def replicate_bucket_levels(self, payload: bytes) -> None:
        """Sends the levels of this leader's token buckets to all others."""
        self._soft_state.publish_bucket_levels(payload)

    async def wait_for_soft_state_acks(self, version: SoftStateVersion, timeout_s: float) -> bool:
        """Waits until this soft state is on the disk of every node that may lead next.

        That node starts from it. Returns False if the wait exceeds `timeout_s`.
        """
        return await self._soft_state.wait_for_acks(version, timeout_s)

    async def _write_soft_state(self, payload: bytes) -> None:
        """Writes soft state; logs and raises StorageError if the disk rejects it."""
        loop = asyncio.get_running_loop()
        try:
            await loop.run_in_executor(self._executor, self._storage.write_soft_state, payload)
        except StorageError as error:
            log_events.write_failed(self._log, error)
            raise

    def _check_disk(self) -> None:
        """Writes the record after trouble with soft state, so that a bad disk makes this node unhealthy."""
        self._carry_out(self.core.rewrite_record(asyncio.get_running_loop().time()))

    # tasks

    async def _run_ticks(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            self._carry_out(self.core.tick(loop.time()))
            if self.core.is_leading:
                self._soft_state.resend()
            await asyncio.sleep(TICK_INTERVAL_S)

    async def _run_scrubs(self) -> None:
        """Checks the record on disk every `SCRUB_INTERVAL_S`, and writes it again if it is damaged."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(SCRUB_INTERVAL_S)
            damaged = await loop.run_in_executor(self._executor, self._storage.scrub)
            if damaged:
                log_events.record_damaged(self._log, damaged)
                self._carry_out(self.core.rewrite_record(loop.time()))

    async def _write_first_record(self) -> NodeRecord:
        """Writes the first record to an empty disk; a node takes part only once its identity is on disk."""
        loop, record = asyncio.get_running_loop(), first_record(self._settings)
        while True:
            try:
                await loop.run_in_executor(self._executor, self._storage.write, record)
                return record
            except StorageError as error:
                log_events.write_failed(self._log, error)
                await asyncio.sleep(FIRST_WRITE_RETRY_S)

    async def _write_record(self, record: NodeRecord) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.run_in_executor(self._executor, self._storage.write, record)
        except StorageError as error:
            log_events.write_failed(self._log, error)
            self._carry_out(self.core.save_failed(loop.time()))
            return
        self._carry_out(self.core.saved(loop.time()))

    # messages and effects

    def _send(self, host: str, message: Message) -> None:
        self._links.send(host, message)

    def _on_message(self, sender: str, message: Message) -> None:
        match message:
            case SoftStateUpdate():
                self._soft_state.on_update(sender, message)
            case BucketLevelsUpdate():
                self._soft_state.on_bucket_levels(message)
            case SoftStateAck():
                self._soft_state.on_ack(sender, message)
            case _:
                now = asyncio.get_running_loop().time()
                self._carry_out(self.core.receive(now, sender, message))

    def _carry_out(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case Send(host, message):
                    self._send(host, message)
                case Save(record):
                    asyncio.get_running_loop().create_task(self._write_record(record))
                case Committed(document):
                    self._commit(document)
                case WriteDone(request, is_done) | LeadershipCheckDone(request, is_done):
                    self._resolve_request(request, is_done)
        self._report_role()

    def _commit(self, document: Document) -> None:
        """Calls `on_commit`; an exception there must not lose the effects that follow, such as messages."""
        try:
            self._on_commit(document)
        except Exception:
            log_events.commit_failed(self._log, document)

    def _resolve_request(self, request: int, is_done: bool) -> None:
        future = self._requests.pop(request, None)
        if future is not None and not future.done():
            future.set_result(is_done)

    def _report_role(self) -> None:
        """Logs a change of the view, or of whether this node leads it, and calls `on_change`."""
        role = (self.core.is_leading, self.core.view.epoch)
        if role == self._reported_role:
            return
        self._reported_role = role
        self._soft_state.on_view_changed()
        log_events.view_changed(self._log, self.core)
        self._on_change()
