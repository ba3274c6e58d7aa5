"""What a leader knows of the other control nodes, by their answers to its heartbeats."""

from __future__ import annotations

from dataclasses import dataclass

from wheatroute.replication.lease import LEADER_LEASE
from wheatroute.replication.messages import HeartbeatAck, Replicated
from wheatroute.replication.records import DocumentVersion
from wheatroute.replication.views import View

ALIVE = 0.6  # seconds since the last answer within which a node counts as there
SEAT_LOST = 1.0  # seconds of silence after which another node may take a voter over
RETURN_TIME = 0.25  # seconds in which a voter that was lost before may answer a new leader
PEER_FORGOTTEN = 10.0  # seconds after which a silent node that has no voter is no longer sent anything
BEATS_REMEMBERED = 100  # heartbeats whose time of sending is known


@dataclass
class Peer:
    """What a leader knows of another control node; times are of the steady clock."""

    identity: str
    version: DocumentVersion = DocumentVersion()  # of the newest document on its disk
    answered: float = -1e9
    granted_number: int = 0  # of the newest heartbeat that it answered with a lease
    granted_sent: float = -1e9  # when that one was sent
    document_sent: float = -1e9
    joined: float = -1e9
    granting: bool = True  # whether its last answer came with a lease
    is_healthy: bool = True
    is_leaving: bool = False
    incarnation: int = 0

    def alive(self, now: float) -> bool:
        """Whether it has answered, or asked to join, of late."""
        return now - max(self.answered, self.joined) < ALIVE

    def fit(self, now: float) -> bool:
        """Whether it may hold what is acknowledged from now on."""
        return now - self.answered < ALIVE and self.is_healthy and not self.is_leaving


class Peers:
    """All of them, and the heartbeats that they answer."""

    def __init__(self, own: str) -> None:
        self._own = own
        self._peers: dict[str, Peer] = {}
        self._beat_number = 0
        self._beat_sent: dict[int, float] = {}

    def all(self) -> list[Peer]:
        """Every peer, so that the caller may add and drop some meanwhile."""
        return list(self._peers.values())

    def get(self, identity: str) -> Peer:
        """A peer; one that is new has never answered."""
        if identity not in self._peers:
            self._peers[identity] = Peer(identity)
        return self._peers[identity]

    def restart(self) -> None:
        """A new leader knows nothing of anybody; its heartbeats go on being numbered."""
        self._peers = {}
        self._beat_sent = {}

    def expect(self, view: View, now: float) -> None:
        """Voters count as there at first, so that nobody loses one before it was asked.

        One that isn't even a member was silent under an earlier leader, and has `RETURN_TIME` to answer.
        """
        for voter in view.voters:
            if voter != self._own and voter not in self._peers:
                answered = now if voter in view.members else now - SEAT_LOST + RETURN_TIME
                self._peers[voter] = Peer(voter, answered=answered)

    def forget_silent(self, voters: tuple[str, ...], now: float) -> None:
        """Drops those without a voter that fell silent long ago."""
        for peer in self.all():
            if peer.identity not in voters and now - max(peer.joined, peer.answered) > PEER_FORGOTTEN:
                del self._peers[peer.identity]

    @property
    def newest_beat(self) -> int:
        """The number of the heartbeat that was sent last."""
        return self._beat_number

    def next_beat(self, now: float) -> int:
        """The number of a heartbeat that is sent now."""
        self._beat_number += 1
        self._beat_sent[self._beat_number] = now
        self._beat_sent.pop(self._beat_number - BEATS_REMEMBERED, None)
        return self._beat_number

    def beat_answered(self, sender: str, answer: HeartbeatAck, now: float) -> None:
        """An answer to a heartbeat of this leader's view."""
        peer = self.get(sender)
        peer.answered = now
        peer.granting = answer.is_lease_granted
        if answer.is_lease_granted:
            peer.granted_number = max(peer.granted_number, answer.number)
            peer.granted_sent = max(peer.granted_sent, self._beat_sent.get(answer.number, -1e9))
        peer.is_healthy = answer.is_healthy
        peer.is_leaving = answer.is_leaving
        peer.incarnation = answer.incarnation
        peer.version = max(peer.version, answer.version)

    def replicated(self, sender: str, answer: Replicated, now: float) -> None:
        """A document of this leader's view is on the sender's disk."""
        peer = self.get(sender)
        peer.version = max(peer.version, answer.version)
        peer.answered = now

    def lease_holds(self, view: View, now: float, own_vote: bool) -> bool:
        """Whether a majority of voters grants this leader its lease; `own_vote` is that of its own voter."""
        granting = [
            voter for voter in view.voters if self._granted_sent(voter, own_vote, now) > now - LEADER_LEASE
        ]
        return len(granting) >= view.majority

    def _granted_sent(self, voter: str, own_vote: bool, now: float) -> float:
        if voter == self._own:
            return now if own_vote else -1e9
        return self.get(voter).granted_sent

    def majority_answered(self, view: View, number: int, own_vote: bool) -> bool:
        """Whether a majority of voters has answered this heartbeat, or a later one, with a lease."""
        answered = [
            voter
            for voter in view.voters
            if (own_vote if voter == self._own else self.get(voter).granted_number >= number)
        ]
        return len(answered) >= view.majority
