"""Replication of the leader's soft state and bucket levels to every control node, on asyncio.

The newest soft state is kept in memory and on disk; a node acknowledges it once it is on disk, so that what
is acknowledged outlives all processes. Bucket levels are kept in memory only; they are newer than the soft
state before them. Messages may be lost: soft state is sent again until every member of the view has
acknowledged it, while lost bucket levels are replaced by the next ones.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from math import inf

from wheatroute.replication.core import ReplicationCore
from wheatroute.replication.effects import Send
from wheatroute.replication.identity import host_of
from wheatroute.replication.messages import BucketLevelsUpdate, Message, SoftStateAck, SoftStateUpdate
from wheatroute.replication.record_writer import Action
from wheatroute.replication.soft_state import NO_SOFT_STATE, ReplicatedSoftState, SoftStateVersion

SendMessage = Callable[[str, Message], None]


class SoftStateReplication:
    """Keeps the newest soft state on one node; on the leader, sends it to the other nodes.

    `payload` is the soft state read from disk; `send` takes a host and a message; `write` starts writing a
    payload to disk, returns at once, and runs an action once that payload or a later one is on disk.
    """

    def __init__(
        self,
        core: ReplicationCore,
        payload: bytes,
        send: SendMessage,
        write: Callable[[bytes, Action], None],
    ) -> None:
        self._core = core
        self._send = send
        self._write = write
        self._replicated = ReplicatedSoftState(core.identity)
        self._version_on_disk = NO_SOFT_STATE  # the newest version that this process has written
        # On the leader, the oldest version that a node needs before it may become a member: the first one of
        # this leader, or the newest one that all members are known to have.
        self._required_version: SoftStateVersion | None = None
        core.require_soft_state(self._is_lacking)
        self._changed = asyncio.Event()
        self.payload = payload
        self.bucket_levels = b""  # the newest bucket levels received after `payload`; empty if there are none
        # event loop time at which bucket levels or a payload arrived last; a payload read from disk sets none
        self.bucket_levels_at = -inf

    # on the leader

    def publish(self, payload: bytes) -> SoftStateVersion:
        """Sends this leader's soft state to all others; returns its version for `wait_for_acks`."""
        now, core = asyncio.get_running_loop().time(), self._core
        self._send_all(self._replicated.publish(now, core.view.epoch, payload, core.hosts))
        if self._required_version is None:
            self._required_version = self._replicated.version
        self._store(payload, lambda: None)
        return self._replicated.version

    def publish_bucket_levels(self, payload: bytes) -> None:
        """Sends the levels of this leader's token buckets to all others."""
        core = self._core
        self._store_bucket_levels(payload)
        for host in core.hosts:
            if host != core.host:
                self._send(host, BucketLevelsUpdate(core.view.epoch, payload))

    def resend(self) -> None:
        """Sends the newest soft state again to members, present and future, that have not acknowledged it."""
        view = self._core.view
        now = asyncio.get_running_loop().time()
        receivers = dict.fromkeys((*view.members, *self._core.replicas(now)))
        self._send_all(self._replicated.resend(now, view.epoch, receivers))

    async def wait_for_acks(self, version: SoftStateVersion, timeout_s: float) -> bool:
        """Waits until this version is on the disk of every node that may lead next.

        These are the members of the view, and those of the views that this leader has proposed or is about
        to propose: one of them may be decided. Returns False if that takes longer than `timeout_s`.
        """
        try:
            async with asyncio.timeout(timeout_s):
                while not self._is_on_all_disks(version):
                    await self._changed.wait()
                self._required_version = max(self._required_version or version, version)
                return True
        except TimeoutError:
            return False

    def _is_on_all_disks(self, version: SoftStateVersion) -> bool:
        holders = {*self._core.view.members, *self._core.possible_members}
        return self._version_on_disk >= version and not self._replicated.missing_acks(holders, version)

    def _is_lacking(self, identity: str) -> bool:
        """Whether a node has yet to acknowledge the soft state that it needs before it may lead next."""
        required = self._required_version
        return required is None or bool(self._replicated.missing_acks([identity], required))

    def on_view_changed(self) -> None:
        """Wakes `wait_for_acks`, since a member whose acknowledgement is missing may have left the view."""
        if not self._core.is_leading:
            self._required_version = None
        self._notify_waiting()

    # messages

    def on_update(self, sender: str, update: SoftStateUpdate) -> None:
        """Stores a leader's soft state unless a later epoch is known; acknowledges it once it is on disk."""
        if update.epoch < self._core.view.epoch:
            return

        def acknowledge() -> None:
            self._send(host_of(sender), SoftStateAck(update.epoch, update.number))

        if self._replicated.receive(update):
            self._store(update.payload, acknowledge)
        elif self._version_on_disk >= (update.epoch, update.number):
            acknowledge()

    def on_bucket_levels(self, update: BucketLevelsUpdate) -> None:
        """Stores the levels of a leader's token buckets, unless this node knows a later epoch."""
        if update.epoch >= self._core.view.epoch:
            self._store_bucket_levels(update.payload)

    def on_ack(self, sender: str, ack: SoftStateAck) -> None:
        """Records an acknowledgement, and wakes `wait_for_acks`."""
        self._replicated.on_ack(sender, ack)
        self._notify_waiting()

    def _notify_waiting(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _store(self, payload: bytes, then: Action) -> None:
        """Keeps the soft state of the newest version; `then` runs once it is on disk."""
        version = self._replicated.version
        self.payload = payload
        self._store_bucket_levels(b"")

        def written() -> None:
            self._version_on_disk = max(self._version_on_disk, version)
            self._notify_waiting()
            then()

        self._write(payload, written)

    def _store_bucket_levels(self, payload: bytes) -> None:
        self.bucket_levels, self.bucket_levels_at = payload, asyncio.get_running_loop().time()

    def _send_all(self, effects: list[Send]) -> None:
        for effect in effects:
            self._send(effect.host, effect.message)
