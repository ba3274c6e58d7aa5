"""Runs a `ReplicationCore` on asyncio: its clock, its disk (a thread of its own) and its links."""

from __future__ import annotations

import asyncio
import logging
import secrets
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from itertools import count
from math import inf
from random import Random

from wheatroute.cluster.settings import Settings
from wheatroute.replication.core import ReplicationCore
from wheatroute.replication.effects import Committed, Effect, ReadDone, Save, Send, WriteDone
from wheatroute.replication.identity import genesis_identity, host_of
from wheatroute.replication.links import Links
from wheatroute.replication.messages import BucketLevelsUpdate, Message, SoftStateAck, SoftStateUpdate
from wheatroute.replication.records import AcceptorRecord, Document, NodeRecord, new_record
from wheatroute.replication.soft_state import SoftStateCopy, SoftStateVersion
from wheatroute.replication.storage import MemoryStorage, Storage, StorageError
from wheatroute.replication.views import NO_VIEW, genesis_view

TICK = 0.05  # seconds
STOP_RESERVE = 3.0  # seconds of the time until SIGKILL that are left for what comes after replication
SHORTEST_STOP = (
    0.8  # seconds that a node which stops waits for others to take over, however little time it has
)
EMPTY_NONCE_BYTES = 6
SCRUB_INTERVAL = 10.0  # seconds between two readings of what is on disk


def first_record(settings: Settings) -> NodeRecord:
    """The record of a node whose disk is empty.

    At the first start of the whole system the seeds have identities that each of them can work out, so that
    they can agree on the first view; every other node joins them under a new identity.
    """
    view = genesis_view(settings.seed_hosts)
    if settings.bootstrap and settings.ip in settings.seed_hosts:
        return new_record(genesis_identity(settings.ip), AcceptorRecord(view))
    nonce = secrets.token_hex(EMPTY_NONCE_BYTES)
    return new_record(f"{settings.ip}/{nonce}", AcceptorRecord(NO_VIEW))


class Replicator:
    """The replicated document as the rest of a control node sees it."""

    def __init__(
        self,
        settings: Settings,
        on_commit: Callable[[Document], None],
        on_change: Callable[[], None],
        log: logging.Logger,
    ) -> None:
        self._settings = settings
        self._on_commit = on_commit
        self._on_change = on_change
        self._log = log
        self._executor = ThreadPoolExecutor(max_workers=1, thread_name_prefix="disk")
        disk_mb = settings.limits.disk_mb
        self._storage = Storage(settings.data_dir, disk_mb) if settings.data_dir else MemoryStorage()
        self._numbers = count(1)
        self._requests: dict[int, asyncio.Future[bool]] = {}
        self._was = (False, -2)
        self.soft_state = b""
        self.bucket_levels = b""  # of buckets, if they were told after the hint; in memory alone
        self.bucket_levels_at = -inf  # when they, or the hint, came; of the loop's clock
        self._soft_state_changed = asyncio.Event()
        self._soft_state: SoftStateCopy
        self.core: ReplicationCore
        self._links: Links

    async def start(self) -> None:
        """Reads the disk and begins to take part."""
        loop = asyncio.get_running_loop()
        record = await loop.run_in_executor(self._executor, self._storage.read)
        self.soft_state = await loop.run_in_executor(self._executor, self._storage.read_soft_state)
        fresh = record is None
        if record is None:
            record = first_record(self._settings)
            await self._write_first(record)
        self.core = ReplicationCore(
            record, self._settings.seed_hosts, self._settings.tolerate.machines, Random(), loop.time()
        )
        self._soft_state = SoftStateCopy(record.identity)
        address = (self._settings.ip, self._settings.replication_port)
        self._links = Links(record.identity, address, self._received, self._log)
        await self._links.listen()
        self._log.info(
            "replication-started",
            extra={
                "identity": record.identity,
                "fresh": fresh,
                "epoch": record.acceptor.view.epoch,
                "sequence": record.document.version.sequence,
            },
        )
        loop.create_task(self._run())
        loop.create_task(self._scrub())

    async def _write_first(self, record: NodeRecord) -> None:
        """A node takes part only once its identity is on disk."""
        while True:
            try:
                await asyncio.get_running_loop().run_in_executor(self._executor, self._storage.write, record)
                return
            except StorageError as error:
                self._log.error("disk", extra={"trouble": str(error)})
                await asyncio.sleep(0.5)

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            self._carry_out(self.core.tick(loop.time()))
            self._resend_soft_state(loop.time())
            await asyncio.sleep(TICK)

    async def _scrub(self) -> None:
        """Reads the record on disk now and then, and has it written anew where it is damaged."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(SCRUB_INTERVAL)
            damaged = await loop.run_in_executor(self._executor, self._storage.scrub)
            if damaged:
                self._log.error("scrub", extra={"damaged": damaged})
                self._carry_out(self.core.rewrite_record(loop.time()))

    def apply_settings(self, settings: Settings) -> None:
        """The settings file has changed: seeds, and how many nodes may be lost at once."""
        self._settings = settings
        self.core.add_hosts(settings.seed_hosts)
        self.core.tolerate = settings.tolerate.machines

    def _received(self, sender: str, message: Message) -> None:
        if isinstance(message, SoftStateUpdate):
            self._on_soft_state_update(sender, message)
            return
        if isinstance(message, BucketLevelsUpdate):
            if message.epoch >= self.core.view.epoch:
                self._store_bucket_levels(message.payload)
            return
        if isinstance(message, SoftStateAck):
            self._soft_state.taken(sender, message)
            self._soft_state_changed.set()
            return
        self._carry_out(self.core.receive(asyncio.get_running_loop().time(), sender, message))

    def _carry_out(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case Send(host, message):
                    self._links.send(host, message)
                case Save(record):
                    asyncio.get_running_loop().create_task(self._write_record(record))
                case Committed(document):
                    self._on_commit(document)
                case WriteDone(request, done) | ReadDone(request, done):
                    future = self._requests.pop(request, None)
                    if future is not None and not future.done():
                        future.set_result(done)
        state = (self.core.is_leading, self.core.view.epoch)
        if state != self._was:
            self._was = state
            self._soft_state_changed.set()  # a member that is waited for may have left the view
            self._log.info(
                "view",
                extra={
                    "epoch": self.core.view.epoch,
                    "leading": self.core.is_leading,
                    "primary": self.core.view.primary,
                    "members": list(self.core.view.members),
                    "seats": list(self.core.view.voters),
                },
            )
            self._on_change()

    async def _write_record(self, record: NodeRecord) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.run_in_executor(self._executor, self._storage.write, record)
        except StorageError as error:
            self._log.error("disk", extra={"trouble": str(error)})
            self._carry_out(self.core.save_failed(loop.time()))
            return
        self._carry_out(self.core.saved(loop.time()))

    @property
    def is_serving(self) -> bool:
        """Whether this node may acknowledge and answer now."""
        return self.core.is_serving(asyncio.get_running_loop().time())

    async def write(self, payload: bytes, timeout: float) -> bool:
        """Replicates a new document; false if it isn't acknowledged, in which case it may still be taken."""
        request = next(self._numbers)
        return await self._wait(request, timeout, lambda now: self.core.write(now, request, payload))

    async def confirm_leadership(self, timeout: float) -> bool:
        """Whether this node still leads, by the word of a majority asked just now."""
        request = next(self._numbers)
        return await self._wait(request, timeout, lambda now: self.core.confirm_leadership(now, request))

    async def _wait(self, request: int, timeout: float, start: Callable[[float], list[Effect]]) -> bool:
        loop = asyncio.get_running_loop()
        future: asyncio.Future[bool] = loop.create_future()
        self._requests[request] = future
        self._carry_out(start(loop.time()))
        try:
            async with asyncio.timeout(timeout):
                return await future
        except TimeoutError:
            return False
        finally:
            self._requests.pop(request, None)

    # soft state

    def _on_soft_state_update(self, sender: str, message: SoftStateUpdate) -> None:
        """Keeps the leader's soft state, in memory at once and on disk when there is time."""
        if message.epoch < self.core.view.epoch:
            return
        if self._soft_state.received(message):
            self._store_soft_state(message.payload)
        self._links.send(host_of(sender), SoftStateAck(message.epoch, message.number))

    def _store_soft_state(self, payload: bytes) -> None:
        self.soft_state = payload
        self._store_bucket_levels(b"")
        self._executor.submit(self._storage.write_soft_state, payload)

    def _store_bucket_levels(self, payload: bytes) -> None:
        self.bucket_levels, self.bucket_levels_at = payload, asyncio.get_running_loop().time()

    def replicate_soft_state(self, payload: bytes) -> SoftStateVersion:
        """Sends this leader's soft state to all others; returns its order for `shared`."""
        now = asyncio.get_running_loop().time()
        self._store_soft_state(payload)
        core = self.core
        self._send_all(self._soft_state.share(now, core.view.epoch, payload, core.hosts))
        return self._soft_state.version

    def replicate_bucket_levels(self, payload: bytes) -> None:
        """Tells all others what buckets hold; one that is lost is followed by the next."""
        core = self.core
        self._store_bucket_levels(payload)
        others = [host for host in core.hosts if host != core.host]
        self._send_all([Send(host, BucketLevelsUpdate(core.view.epoch, payload)) for host in others])

    def _resend_soft_state(self, now: float) -> None:
        if self.core.is_leading:
            view = self.core.view
            self._send_all(self._soft_state.resend(now, view.epoch, view.members))

    def _send_all(self, messages: list[Send]) -> None:
        for message in messages:
            self._links.send(message.host, message.message)

    async def wait_for_soft_state_acks(self, order: SoftStateVersion, timeout: float) -> bool:
        """Whether every member of the view has taken this soft state: one of them leads next."""
        try:
            async with asyncio.timeout(timeout):
                while self._soft_state.missing(self.core.view.members, order):
                    self._soft_state_changed = asyncio.Event()
                    await self._soft_state_changed.wait()
                return True
        except TimeoutError:
            return False

    async def stop(self) -> None:
        """Takes part until others have what this node holds, or its time is up, and ends."""
        loop = asyncio.get_running_loop()
        begun = loop.time()
        end = begun + max(SHORTEST_STOP, self._settings.bounds.grace_s - STOP_RESERVE)
        self._carry_out(self.core.leave(begun))
        while not self.core.can_stop(loop.time()) and loop.time() < end:
            await asyncio.sleep(TICK / 2)
        self._log_departure(loop.time() - begun)
        self._links.close()

    def _log_departure(self, waited: float) -> None:
        """What this node leaves behind; a warning where nobody has taken it over."""
        core = self.core
        released = core.can_stop(asyncio.get_running_loop().time())
        self._log.log(
            logging.INFO if released else logging.WARNING,
            "replication-stopped",
            extra={
                "released": released,
                "waited_s": round(waited, 2),
                "leads": core.is_leading,
                "member": core.identity in core.view.members,
                "seat": core.identity in core.view.voters,
                "epoch": core.view.epoch,
            },
        )
