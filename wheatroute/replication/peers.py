"""What a leader knows of the other control nodes, by their answers to its heartbeats. No I/O.

Times are of the leader's steady clock, in seconds. Invariant: a lease counts from when a heartbeat was sent,
never from when its answer came.
"""

from __future__ import annotations

from dataclasses import dataclass

from wheatroute.replication.lease import LEADER_LEASE_S
from wheatroute.replication.messages import HeartbeatAck, Replicated
from wheatroute.replication.records import DocumentVersion
from wheatroute.replication.views import View

ALIVE_TIMEOUT_S = 0.6  # since the last answer, within which a node counts as alive
VOTER_LOST_TIMEOUT_S = 1.0  # since the last answer, after which another node may replace a voter
RETURN_GRACE_S = 0.25  # in which a voter that was lost before may answer a new leader
FORGET_TIMEOUT_S = 10.0  # after which an unresponsive node that isn't a voter is sent nothing any more
MAX_HEARTBEATS_TRACKED = 100  # whose time of sending is kept
NEVER = -1e9


@dataclass
class Peer:
    """What a leader knows of one other control node."""

    identity: str
    version: DocumentVersion = DocumentVersion()  # of the newest document on its disk
    last_answer_at: float = NEVER
    granted_heartbeat: int = 0  # number of the newest heartbeat that it answered with a lease
    granted_sent_at: float = NEVER  # when that one was sent
    document_sent_at: float = NEVER
    join_requested_at: float = NEVER
    is_granting: bool = True  # whether its last answer came with a lease
    is_healthy: bool = True
    is_leaving: bool = False
    incarnation: int = 0

    def is_alive(self, now: float) -> bool:
        """Whether it has answered, or asked to join, within `ALIVE_TIMEOUT_S`."""
        return now - max(self.last_answer_at, self.join_requested_at) < ALIVE_TIMEOUT_S

    def can_replicate(self, now: float) -> bool:
        """Whether it may hold what is acknowledged from now on."""
        return now - self.last_answer_at < ALIVE_TIMEOUT_S and self.is_healthy and not self.is_leaving


class Peers:
    """All other nodes, and the heartbeats that they answer."""

    def __init__(self, own_identity: str) -> None:
        self._own_identity = own_identity
        self._peers: dict[str, Peer] = {}
        self._heartbeat_number = 0
        self._heartbeat_sent_at: dict[int, float] = {}

    def all(self) -> list[Peer]:
        """Every peer; a copy, so that the caller may add and drop some meanwhile."""
        return list(self._peers.values())

    def get(self, identity: str) -> Peer:
        """The peer of this identity; a new one has never answered."""
        if identity not in self._peers:
            self._peers[identity] = Peer(identity)
        return self._peers[identity]

    def reset(self) -> None:
        """Forgets all peers; a node that begins to lead calls it, as what it knew is of an earlier term.

        The numbers of heartbeats go on, so that an answer to an earlier one grants no lease now.
        """
        self._peers = {}
        self._heartbeat_sent_at = {}

    def assume_alive(self, view: View, now: float) -> None:
        """Adds the voters that are not known yet as alive, so that each has time to answer.

        The leader calls it as each of its views begins; without it voters would be replaced at once. One that
        isn't even a member was unresponsive under an earlier leader, and has `RETURN_GRACE_S` to answer.
        """
        for voter in view.voters:
            if voter != self._own_identity and voter not in self._peers:
                is_member = voter in view.members
                answered_at = now if is_member else now - VOTER_LOST_TIMEOUT_S + RETURN_GRACE_S
                self._peers[voter] = Peer(voter, last_answer_at=answered_at)

    def forget_unresponsive(self, voters: tuple[str, ...], now: float) -> None:
        """Drops nodes that aren't voters and last sent anything more than `FORGET_TIMEOUT_S` ago."""
        for peer in self.all():
            last_contact_at = max(peer.join_requested_at, peer.last_answer_at)
            if peer.identity not in voters and now - last_contact_at > FORGET_TIMEOUT_S:
                del self._peers[peer.identity]

    @property
    def newest_heartbeat(self) -> int:
        """The number of the heartbeat that was sent last."""
        return self._heartbeat_number

    def start_heartbeat(self, now: float) -> int:
        """Returns the number of a heartbeat that is sent now, and notes the time: its lease begins then."""
        self._heartbeat_number += 1
        self._heartbeat_sent_at[self._heartbeat_number] = now
        self._heartbeat_sent_at.pop(self._heartbeat_number - MAX_HEARTBEATS_TRACKED, None)
        return self._heartbeat_number

    def on_heartbeat_ack(self, sender: str, ack: HeartbeatAck, now: float) -> None:
        """Notes the state of the node that has answered a heartbeat of this leader's view, and its lease."""
        peer = self.get(sender)
        peer.last_answer_at = now
        peer.is_granting = ack.is_lease_granted
        if ack.is_lease_granted:
            peer.granted_heartbeat = max(peer.granted_heartbeat, ack.number)
            sent_at = self._heartbeat_sent_at.get(ack.number, NEVER)
            peer.granted_sent_at = max(peer.granted_sent_at, sent_at)
        peer.is_healthy = ack.is_healthy
        peer.is_leaving = ack.is_leaving
        peer.incarnation = ack.incarnation
        peer.version = max(peer.version, ack.version)

    def on_replicated(self, sender: str, ack: Replicated, now: float) -> None:
        """Notes that a document of this leader's view is on the sender's disk."""
        peer = self.get(sender)
        peer.version = max(peer.version, ack.version)
        peer.last_answer_at = now

    def has_lease(self, view: View, now: float, own_vote: bool) -> bool:
        """Whether a majority of voters grants this leader its lease; `own_vote`: it grants its own."""
        earliest = now - LEADER_LEASE_S
        granting = [voter for voter in view.voters if self._granted_sent_at(voter, own_vote, now) > earliest]
        return len(granting) >= view.majority

    def _granted_sent_at(self, voter: str, own_vote: bool, now: float) -> float:
        if voter == self._own_identity:
            return now if own_vote else NEVER
        return self.get(voter).granted_sent_at

    def has_majority_answered(self, view: View, number: int, own_vote: bool) -> bool:
        """Whether a majority of voters has answered this heartbeat, or a later one, with a lease."""
        answered = [voter for voter in view.voters if self._has_answered(voter, number, own_vote)]
        return len(answered) >= view.majority

    def _has_answered(self, voter: str, number: int, own_vote: bool) -> bool:
        if voter == self._own_identity:
            return own_vote
        return self.get(voter).granted_heartbeat >= number
