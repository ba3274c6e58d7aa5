"""The leader's soft state at the other control nodes, which one of them starts from if it leads next.

Soft state is not acknowledged to anybody by itself, so it needs no document: each newer one replaces the one
before it. Free of I/O and clock: times are of the steady clock, in seconds, and are handed in.
"""

from __future__ import annotations

from collections.abc import Iterable

from wheatroute.replication.effects import Send
from wheatroute.replication.identity import host_of
from wheatroute.replication.messages import SoftStateAck, SoftStateUpdate

RESEND = 0.15  # seconds until it is sent again to a member that has not taken it: a link may lose a message

SoftStateVersion = tuple[int, int]  # the epoch of the leader, then its count
NO_SOFT_STATE: SoftStateVersion = (-2, 0)


class SoftStateCopy:
    """The newest soft state known on this node, and on a leader who else has it."""

    def __init__(self, identity: str) -> None:
        self._identity = identity
        self._newest: SoftStateUpdate | None = None
        self._holders: dict[str, SoftStateVersion] = {}
        self._sent: dict[str, float] = {}  # by host, when the newest was sent there last

    @property
    def version(self) -> SoftStateVersion:
        """Of the newest one."""
        return (self._newest.epoch, self._newest.number) if self._newest is not None else NO_SOFT_STATE

    def share(self, now: float, epoch: int, payload: bytes, hosts: Iterable[str]) -> list[Send]:
        """This leader's newest; returns what to send to all other nodes."""
        self._newest = SoftStateUpdate(epoch, self.version[1] + 1, payload)
        self._sent = {}
        own = host_of(self._identity)
        return [self._send(now, host, self._newest) for host in hosts if host != own]

    def received(self, update: SoftStateUpdate) -> bool:
        """A leader's soft state has come; true if it is newer than what is known here."""
        if (update.epoch, update.number) <= self.version:
            return False
        self._newest = update
        return True

    def taken(self, sender: str, answer: SoftStateAck) -> None:
        """A node says what it has."""
        self._holders[sender] = max(self._holders.get(sender, NO_SOFT_STATE), (answer.epoch, answer.number))

    def missing(self, members: Iterable[str], version: SoftStateVersion) -> list[str]:
        """Members that have not said that they hold this one or a newer one."""
        others = [member for member in members if member != self._identity]
        return [member for member in others if self._holders.get(member, NO_SOFT_STATE) < version]

    def resend(self, now: float, epoch: int, members: Iterable[str]) -> list[Send]:
        """What to send again to the members of this leader's view."""
        if self._newest is None or self._newest.epoch != epoch:
            return []
        hosts = [host_of(member) for member in self.missing(members, self.version)]
        return [self._send(now, host, self._newest) for host in hosts if self._due(now, host)]

    def _due(self, now: float, host: str) -> bool:
        return host not in self._sent or now - self._sent[host] >= RESEND

    def _send(self, now: float, host: str, update: SoftStateUpdate) -> Send:
        self._sent[host] = now
        return Send(host, update)
