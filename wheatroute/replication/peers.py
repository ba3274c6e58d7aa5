"""What a leader knows of the other control nodes from their answers to its heartbeats. No I/O.

Times are of the leader's monotonic clock, in seconds. Invariant: a lease counts from the time at which a
heartbeat was sent, never from the time at which its answer arrived.
"""

from __future__ import annotations

from dataclasses import dataclass

from wheatroute.replication.lease import LEADER_LEASE_S
from wheatroute.replication.messages import HeartbeatAck, Replicated
from wheatroute.replication.records import DocumentVersion
from wheatroute.replication.views import View

ALIVE_TIMEOUT_S = 0.6  # a node counts as alive for this time after its last answer
VOTER_LOST_TIMEOUT_S = 1.0  # another node may replace a voter this long after the voter's last answer
RETURN_GRACE_S = 0.25  # time for a voter that was lost under an earlier leader to answer a new one
FORGET_TIMEOUT_S = 10.0  # an unresponsive node that isn't a voter is sent nothing after this time
MAX_HEARTBEATS_TRACKED = 100  # number of the newest heartbeats whose send times are kept
NEVER = -1e9  # a time before all others


@dataclass
class Peer:
    """What a leader knows of one other control node."""

    identity: str
    version: DocumentVersion = DocumentVersion()  # version of the newest document on its disk
    last_answer_at: float = NEVER
    granted_heartbeat: int = 0  # number of the newest heartbeat that it answered with a lease
    granted_sent_at: float = NEVER  # when the newest heartbeat that it answered with a lease was sent
    document_sent_at: float = NEVER
    join_requested_at: float = NEVER
    is_granting: bool = True  # whether its last answer granted a lease
    is_healthy: bool = True  # whether its disk takes writes
    is_leaving: bool = False
    incarnation: int = 0

    def is_alive(self, now: float) -> bool:
        """Whether it has answered, or asked to join, within `ALIVE_TIMEOUT_S`."""
        return now - max(self.last_answer_at, self.join_requested_at) < ALIVE_TIMEOUT_S

    def can_replicate(self, now: float) -> bool:
        """Whether it is able to replicate documents: it answers, its disk is healthy and it isn't leaving."""
        return now - self.last_answer_at < ALIVE_TIMEOUT_S and self.is_healthy and not self.is_leaving


class Peers:
    """Holds all other nodes, and the send times of the heartbeats that they answer."""

    def __init__(self, own_identity: str) -> None:
        self._own_identity = own_identity
        self._peers: dict[str, Peer] = {}
        self._heartbeat_number = 0
        self._heartbeat_sent_at: dict[int, float] = {}

    def all(self) -> list[Peer]:
        """Returns every peer, as a copy, so that peers may be added or dropped during an iteration."""
        return list(self._peers.values())

    def get(self, identity: str) -> Peer:
        """Returns the peer of this identity; adds one that has never answered if it is unknown."""
        if identity not in self._peers:
            self._peers[identity] = Peer(identity)
        return self._peers[identity]

    def reset(self) -> None:
        """Forgets all peers; called when a node begins to lead, since its knowledge is of an earlier term.

        Heartbeat numbers continue, so that an answer to an earlier heartbeat grants no lease now.
        """
        self._peers = {}
        self._heartbeat_sent_at = {}

    def assume_alive(self, view: View, now: float) -> None:
        """Adds the voters that are not known yet, as if they had answered, so that each has time to do so.

        The leader calls it as each of its views begins; without it, voters that have not answered this leader
        yet would count as lost and be replaced at once. A voter that isn't a member was unresponsive under an
        earlier leader, and has only `RETURN_GRACE_S` to answer.
        """
        for voter in view.voters:
            if voter != self._own_identity and voter not in self._peers:
                is_member = voter in view.members
                answered_at = now if is_member else now - VOTER_LOST_TIMEOUT_S + RETURN_GRACE_S
                self._peers[voter] = Peer(voter, last_answer_at=answered_at)

    def forget_unresponsive(self, voters: tuple[str, ...], now: float) -> None:
        """Drops nodes that aren't voters and have sent nothing for more than `FORGET_TIMEOUT_S`."""
        for peer in self.all():
            last_contact_at = max(peer.join_requested_at, peer.last_answer_at)
            if peer.identity not in voters and now - last_contact_at > FORGET_TIMEOUT_S:
                del self._peers[peer.identity]

    @property
    def newest_heartbeat(self) -> int:
        """The number of the heartbeat that was sent last."""
        return self._heartbeat_number

    def start_heartbeat(self, now: float) -> int:
        """Returns the number of a heartbeat that is sent now; its lease counts from `now`."""
        self._heartbeat_number += 1
        self._heartbeat_sent_at[self._heartbeat_number] = now
        self._heartbeat_sent_at.pop(self._heartbeat_number - MAX_HEARTBEATS_TRACKED, None)
        return self._heartbeat_number

    def on_heartbeat_ack(self, sender: str, ack: HeartbeatAck, now: float) -> None:
        """Records the state and the lease of a node that has answered a heartbeat of this leader's view."""
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
        """Records that a document of this leader's view is on the sender's disk."""
        peer = self.get(sender)
        peer.version = max(peer.version, ack.version)
        peer.last_answer_at = now

    def has_lease(self, view: View, now: float, own_vote: bool) -> bool:
        """Whether a majority of voters grants this leader a lease.

        `own_vote`: whether the leader's own vote counts towards the majority.
        """
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
