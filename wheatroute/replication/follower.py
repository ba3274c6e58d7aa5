"""A node that doesn't lead: it acknowledges heartbeats and documents, and starts elections. No I/O.

Transitions: follower -> candidate, when a member in sync has received no heartbeat for its election timeout
and no lease binds its vote; candidate -> leader or follower again, when a view is decided (`core`).
"""

from __future__ import annotations

from wheatroute.replication import timing
from wheatroute.replication.core_state import CoreState
from wheatroute.replication.identity import host_of
from wheatroute.replication.messages import (
    Heartbeat,
    HeartbeatAck,
    JoinRequest,
    LeaseEnded,
    Replicate,
    Replicated,
)
from wheatroute.replication.proposer import Proposer
from wheatroute.replication.takeover import takeover_view
from wheatroute.replication.views import View
from wheatroute.replication.voter import Voter


class Follower:
    """Runs one node while it doesn't lead.

    It exists beside the node's `Leader`, since a leader may give its view up and follow again.
    """

    def __init__(self, state: CoreState, proposer: Proposer, voter: Voter) -> None:
        self._state = state
        self._proposer = proposer
        self._voter = voter
        self._last_heartbeat_at = state.now
        self._newest_heartbeat: Heartbeat | None = None  # last received from this view's primary
        self._next_join_at = state.now
        self._next_lease_ended_at = state.now
        # The first timeout is shorter than later ones: when the whole system starts, there is no primary that
        # could send a heartbeat. If there is a primary, the short timeout is safe too: the lease (`lease`),
        # not this timeout, prevents another view from being decided.
        self._election_timeout_s = (
            self._ranked_timeout_s() - timing.ELECTION_TIMEOUT_S + timing.STARTUP_ELECTION_TIMEOUT_S
        )
        self.is_released = False  # whether the leader's newest heartbeat says that this leaving node may stop

    def heartbeat_age_s(self, now: float) -> float:
        """Seconds since the last heartbeat of the current view's primary, or since the view was learned."""
        return now - self._last_heartbeat_at

    def begin_view(self) -> None:
        """Starts to follow a view that was just learned; a release by an earlier primary no longer counts.

        `core` calls it for each such view, also for one that this node leads.
        """
        self.is_released = False
        self.await_heartbeat()

    def await_heartbeat(self) -> None:
        """Restarts the election timeout, as if no heartbeat had been received.

        Called when a view begins, and by `core` when this node gives up the view that it led.
        """
        self._last_heartbeat_at = self._state.now
        self._newest_heartbeat = None
        self._election_timeout_s = self._ranked_timeout_s()

    def tick(self) -> None:
        """Does what is due at a tick of `core`: join requests, lease-ended announcements, an election."""
        state = self._state
        heartbeat_age_s = self.heartbeat_age_s(state.now)
        # Join requests start well before an election: an answer may name a newer view, whose primary this
        # node then follows.
        is_without_contact = self._newest_heartbeat is None or heartbeat_age_s > timing.ELECTION_TIMEOUT_S / 2
        if is_without_contact and state.now >= self._next_join_at:
            self._send_join_requests()
        # If this node, which follows, is the primary of the view, it has given up its lease, or an earlier
        # process of it led. Without the announcement, voters would wait for a lease that no process holds.
        if state.view.primary == state.identity and state.now >= self._next_lease_ended_at:
            self._announce_lease_ended()
        # While a lease binds this node's own vote, it most likely binds the votes of the others too, so that
        # an election would fail.
        if self._can_start_election(heartbeat_age_s) and not self._voter.lease_remaining_s(
            state.view, state.identity
        ):
            self._proposer.propose(self.choose_takeover)

    def on_heartbeat(self, sender: str, heartbeat: Heartbeat) -> None:
        """Acknowledges a heartbeat of the current view, which binds this node's vote."""
        self._last_heartbeat_at = self._state.now
        self._newest_heartbeat = heartbeat
        self.is_released = self._state.identity in heartbeat.released
        self._state.send(host_of(sender), self._acknowledgement(heartbeat))

    def on_replicate(self, sender: str, message: Replicate) -> None:
        """Stores a document of the current view, and acknowledges it once it is on disk."""
        state, document = self._state, message.document
        if document.version < state.document.version:
            # A newer document arrived first; the leader waits only for the acknowledgement of the newer one.
            return
        ack = Replicated(message.view.epoch, document.version)
        if document == state.document and state.record_writer.version_on_disk == document.version:
            # The leader sent the document again because the first acknowledgement was late or lost.
            state.send(host_of(sender), ack)
            return
        state.document = document
        state.save(lambda: state.send(host_of(sender), ack))

    def announce_departure(self) -> None:
        """Notifies the primary that this node is leaving, by one more answer to its last heartbeat."""
        heartbeat, view = self._newest_heartbeat, self._state.view
        if heartbeat is not None and heartbeat.view.epoch == view.epoch:
            self._state.send(host_of(view.primary), self._acknowledgement(heartbeat))

    def choose_takeover(self, base: View, promised: frozenset[str]) -> View | None:
        """Returns the view to propose in an election, given the voters that promised; see `takeover`."""
        state = self._state
        return takeover_view(base, promised, state.identity, state.incarnation, state.tolerate)

    def _acknowledgement(self, heartbeat: Heartbeat) -> HeartbeatAck:
        state = self._state
        is_lease_granted = self._voter.renew_lease(heartbeat.view.primary)
        version = state.record_writer.version_on_disk
        return HeartbeatAck(
            epoch=heartbeat.view.epoch,
            number=heartbeat.number,
            version=version,
            is_healthy=state.is_healthy,
            is_leaving=state.is_leaving,
            digest=state.document_digest if version == state.document.version else None,
            is_lease_granted=is_lease_granted,
            incarnation=state.incarnation,
        )

    def _can_start_election(self, heartbeat_age_s: float) -> bool:
        """Whether this node is a member (so in sync) that may lead, and its election timeout has expired."""
        state = self._state
        is_eligible = state.identity in state.view.members and state.is_healthy and not state.is_leaving
        return is_eligible and heartbeat_age_s > self._election_timeout_s and self._proposer.can_propose

    def _ranked_timeout_s(self) -> float:
        """The election timeout according to this node's position among the members."""
        view, identity = self._state.view, self._state.identity
        others = [member for member in view.members if member != view.primary]
        rank = others.index(identity) if identity in others else len(others)
        return timing.ELECTION_TIMEOUT_S + timing.ELECTION_STEP_S * rank

    def _send_join_requests(self) -> None:
        state = self._state
        self._next_join_at = state.now + timing.JOIN_INTERVAL_S
        for host in sorted(state.all_hosts()):
            if host != state.host:
                state.send(host, JoinRequest(state.view.epoch))

    def _announce_lease_ended(self) -> None:
        """Frees the votes that are still bound to this node as the former leader of the current view."""
        state = self._state
        self._next_lease_ended_at = state.now + timing.LEASE_ENDED_INTERVAL_S
        for host in sorted(state.all_hosts()):
            state.send(host, LeaseEnded(state.view.epoch))
