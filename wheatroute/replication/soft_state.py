"""The newest soft state on one node, and which members hold it. No I/O.

The other control nodes keep the leader's soft state, so that the next leader starts from it. It isn't part of
the replicated document, since no caller gets an acknowledgement for it; each newer soft state replaces the
one before it. The caller passes in times of the monotonic clock, in seconds.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from wheatroute.replication.effects import Send
from wheatroute.replication.identity import host_of
from wheatroute.replication.messages import SoftStateAck, SoftStateUpdate

RESEND_INTERVAL_S = 0.15  # soft state is sent again this often to a member that has not acknowledged it


class SoftStateVersion(NamedTuple):
    """Orders soft states by the epoch of the leader, then by a number that each leader counts up."""

    epoch: int
    number: int


NO_SOFT_STATE = SoftStateVersion(-2, 0)


class ReplicatedSoftState:
    """Holds the newest soft state known on this node and, on a leader, which other nodes have it."""

    def __init__(self, identity: str) -> None:
        self._identity = identity
        self._newest: SoftStateUpdate | None = None
        self._acknowledged: dict[str, SoftStateVersion] = {}  # newest acknowledged version, by node identity
        self._sent_at: dict[str, float] = {}  # time at which the newest soft state was last sent, by host

    @property
    def version(self) -> SoftStateVersion:
        """The version of the newest soft state, or NO_SOFT_STATE."""
        if self._newest is None:
            return NO_SOFT_STATE
        return SoftStateVersion(self._newest.epoch, self._newest.number)

    def publish(self, now: float, epoch: int, payload: bytes, hosts: Iterable[str]) -> list[Send]:
        """Replaces this leader's soft state; returns the messages to send to all other nodes."""
        self._newest = SoftStateUpdate(epoch, self.version.number + 1, payload)
        self._sent_at = {}
        own_host = host_of(self._identity)
        return [self._send(now, host, self._newest) for host in hosts if host != own_host]

    def receive(self, update: SoftStateUpdate) -> bool:
        """Stores a leader's soft state if it is newer than the one known here; returns whether it is."""
        if (update.epoch, update.number) <= self.version:
            return False
        self._newest = update
        return True

    def on_ack(self, sender: str, ack: SoftStateAck) -> None:
        """Records that a node has acknowledged a soft state."""
        newest = self._acknowledged.get(sender, NO_SOFT_STATE)
        self._acknowledged[sender] = max(newest, SoftStateVersion(ack.epoch, ack.number))

    def missing_acks(self, members: Iterable[str], version: SoftStateVersion) -> list[str]:
        """The other members that have not acknowledged this version or a newer one."""
        others = [member for member in members if member != self._identity]
        return [member for member in others if self._acknowledged.get(member, NO_SOFT_STATE) < version]

    def resend(self, now: float, epoch: int, members: Iterable[str]) -> list[Send]:
        """Returns the messages to send again to `members`, those of the view that this node leads in `epoch`.

        Only members that have not acknowledged the newest soft state get one, every `RESEND_INTERVAL_S`.
        """
        if self._newest is None or self._newest.epoch != epoch:
            return []
        hosts = [host_of(member) for member in self.missing_acks(members, self.version)]
        return [self._send(now, host, self._newest) for host in hosts if self._is_due(now, host)]

    def _is_due(self, now: float, host: str) -> bool:
        return host not in self._sent_at or now - self._sent_at[host] >= RESEND_INTERVAL_S

    def _send(self, now: float, host: str, update: SoftStateUpdate) -> Send:
        self._sent_at[host] = now
        return Send(host, update)
