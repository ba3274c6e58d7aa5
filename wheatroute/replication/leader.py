"""A node while it leads: heartbeats, its lease, writes, leadership checks and changes of its view. No I/O.

Invariants:

- A write or a leadership check starts only while this leader has a lease (`lease`) and a committed document.
- A leadership check is confirmed only by answers to a heartbeat that was sent after the check was requested.
- A write is acknowledged as soon as its document is committed; the lease is not checked again. That is safe:
  by then every member of the view, and of every view that attempts of this leader may have decided, has the
  document on disk (`commit`), and only one of those members can lead next. A member that knows a later view
  acknowledges nothing for this one (`core`).

A leader without a lease for `timing.STEP_DOWN_TIMEOUT_S` gives its view up for good.
"""

from __future__ import annotations

from wheatroute.replication import timing
from wheatroute.replication.core_state import CoreState
from wheatroute.replication.departure import released_nodes
from wheatroute.replication.document_replication import DocumentReplication
from wheatroute.replication.effects import LeadershipCheckDone, WriteDone
from wheatroute.replication.identity import host_of
from wheatroute.replication.lease import grants
from wheatroute.replication.messages import Heartbeat, HeartbeatAck, Replicated
from wheatroute.replication.peers import Peer, Peers
from wheatroute.replication.pending_requests import PendingRequests
from wheatroute.replication.proposer import Proposer
from wheatroute.replication.reconfiguration import next_view, renewed_view
from wheatroute.replication.records import Document, DocumentVersion
from wheatroute.replication.views import View


class Leader:
    """Runs one node as the primary of the current view.

    It exists on every node, also while that node follows; only `start` makes it lead.
    """

    def __init__(self, state: CoreState, proposer: Proposer) -> None:
        self._state = state
        self._proposer = proposer
        self._peers = Peers(state.identity)
        self._pending = PendingRequests()
        self._documents = DocumentReplication(state, self._peers, proposer, self._pending)
        self._led_since = state.now
        self._last_lease_at = state.now
        self._next_heartbeat_at = state.now
        self._next_check_heartbeat_at = state.now
        self._released: tuple[str, ...] = ()  # the nodes that the newest heartbeat releases

    # queries

    @property
    def committed(self) -> Document | None:
        """The newest document that this node committed as a leader."""
        return self._documents.committed

    def replicas(self, now: float) -> tuple[str, ...]:
        """The other nodes that are able to replicate documents, members or not."""
        return tuple(peer.identity for peer in self._peers.all() if peer.can_replicate(now))

    def is_serving(self, now: float) -> bool:
        """Whether this node leads, has a committed document and has a lease."""
        return self._state.is_leading and self.committed is not None and self.has_lease(now)

    def has_lease(self, now: float) -> bool:
        """Whether a majority of voters has granted this leader a lease that has not expired."""
        return self._peers.has_lease(self._state.view, now, self.has_own_vote)

    @property
    def has_own_vote(self) -> bool:
        """Whether this node's own vote still counts towards its lease: it has voted for no other proposer."""
        return grants(self._state.acceptor.record, self._state.identity)

    @property
    def can_stop(self) -> bool:
        """Whether this node may stop without the loss of a document or of the voters' majority."""
        others = [voter for voter in self._state.view.voters if voter != self._state.identity]
        return not others or self._state.identity in self._released

    def all_hosts(self) -> set[str]:
        """The hosts of all control nodes known to this leader."""
        return self._state.all_hosts() | {host_of(peer.identity) for peer in self._peers.all()}

    # start and stop

    def start(self) -> None:
        """Starts to lead the current view by replicating the document under this view's epoch.

        `core` calls it whenever it learns a view whose primary is this process. A leader that changed its own
        view keeps its pending writes and leadership checks.
        """
        state = self._state
        if not state.is_leading:
            state.is_leading = True
            self._led_since = self._last_lease_at = state.now
            self._released = ()
            self._documents.committed = None
            self._peers.reset()
        self._peers.assume_alive(state.view, state.now)
        self._documents.replace_document(state.document.version.sequence, state.document.payload)
        self._send_heartbeats()

    def stop(self) -> None:
        """Stops leading, and fails all pending requests.

        `core` calls it whenever it learns a view with another primary, and when it gives up its own view.
        """
        self._state.is_leading = False
        self._documents.committed = None
        self._state.emit(*self._pending.fail_all())

    def keeps_lease(self) -> bool:
        """Records whether there is a lease now; returns False after `STEP_DOWN_TIMEOUT_S` without one."""
        now = self._state.now
        if self.has_lease(now):
            self._last_lease_at = now
        return now - self._last_lease_at <= timing.STEP_DOWN_TIMEOUT_S

    # inputs

    def tick(self) -> None:
        """Sends what is due: heartbeats, documents that nodes lack, and proposals of another view.

        `core` calls it at each tick while this node leads, and when a leader begins to leave.
        """
        state = self._state
        if state.now >= self._next_heartbeat_at or self._pending.has_leadership_check_after(
            self._peers.newest_heartbeat
        ):
            self._send_heartbeats()
            self._complete_leadership_checks()
        self._peers.forget_unresponsive(state.view.voters, state.now)
        self._documents.resend()
        if self._proposer.can_propose:
            self._reconfigure()

    def write(self, request: int, payload: bytes) -> None:
        """Replicates a new document; `WriteDone` carries the result."""
        state = self._state
        if not self.is_serving(state.now) or self._is_handing_over():
            state.emit(WriteDone(request, False))
            return
        sequence = state.document.version.sequence + 1
        self._pending.add_write(request, DocumentVersion(state.view.epoch, sequence))
        self._documents.replace_document(sequence, payload)

    def confirm_leadership(self, request: int) -> None:
        """Asks the voters whether this node still leads; `LeadershipCheckDone` carries the result."""
        now = self._state.now
        if not self.is_serving(now):
            self._state.emit(LeadershipCheckDone(request, False))
            return
        self._pending.add_leadership_check(request, self._peers.newest_heartbeat + 1)
        if now >= self._next_check_heartbeat_at:
            self._send_heartbeats()
            self._complete_leadership_checks()

    def on_heartbeat_ack(self, sender: str, ack: HeartbeatAck) -> None:
        """Records a node's answer to a heartbeat; may complete leadership checks and a commit."""
        state = self._state
        self._peers.on_heartbeat_ack(sender, ack, state.now)
        if ack.version == state.document.version and ack.digest not in (None, state.document_digest):
            # The node has other content under the same version: it isn't in sync, and gets the document
            # again.
            self._peers.get(sender).version = DocumentVersion()
        self._complete_leadership_checks()
        self._documents.check_commit(state.document.version)

    def on_replicated(self, sender: str, ack: Replicated) -> None:
        """Records that a node has a document of the current view on disk; this may complete its commit."""
        self._peers.on_replicated(sender, ack, self._state.now)
        self._documents.check_commit(self._state.document.version)

    def on_join_request(self, sender: str) -> None:
        """Records that a node asks to join: from now on it is sent heartbeats and the document.

        Once in sync it may become a voter and a member (`reconfiguration`).
        """
        self._peers.get(sender).join_requested_at = self._state.now

    # heartbeats

    def _send_heartbeats(self) -> None:
        """Sends a heartbeat, which names the released nodes, to every peer."""
        state = self._state
        self._next_heartbeat_at = state.now + timing.HEARTBEAT_INTERVAL_S
        self._next_check_heartbeat_at = state.now + timing.LEADERSHIP_CHECK_BATCH_S
        number = self._peers.start_heartbeat(state.now)
        committed = self.committed.version if self.committed is not None else DocumentVersion()
        is_any_leaving = state.is_leaving or any(peer.is_leaving for peer in self._peers.all())
        self._released = self._released_nodes() if is_any_leaving else ()
        nodes = tuple(sorted(self.all_hosts()))
        heartbeat = Heartbeat(state.view, number, committed, nodes, self._released)
        for peer in self._peers.all():
            state.send(host_of(peer.identity), heartbeat)

    def _complete_leadership_checks(self) -> None:
        view, own_vote = self._state.view, self.has_own_vote
        done = self._pending.on_answers(
            lambda number: self._peers.has_majority_answered(view, number, own_vote)
        )
        self._state.emit(*done)

    # changes of the view

    def _reconfigure(self) -> None:
        """Proposes the view that this leader wants, or the current one again if it needs a renewal."""
        wanted = self._wanted_view() or self._renewed_view()
        if wanted is not None:
            self._proposer.propose(lambda base, promised: wanted, frozenset(wanted.members))

    def _wanted_view(self) -> View | None:
        state = self._state
        newest = self.committed if self.committed is not None else state.document
        return next_view(
            state.view,
            self._own_peer(),
            self._peers.all(),
            newest.version,
            state.tolerate,
            state.now,
            state.lacks_soft_state,
        )

    def _renewed_view(self) -> View | None:
        """The current view under the next epoch, if earlier votes or attempts block leases or commits."""
        state = self._state
        others = [voter for voter in state.view.voters if voter != state.identity]
        is_any_withholding = any(not self._peers.get(voter).is_granting for voter in others)
        is_granted = self.has_lease(state.now) or (self.has_own_vote and not is_any_withholding)
        return renewed_view(state.view, state.incarnation, is_granted, self._proposer.proposed_members)

    def _own_peer(self) -> Peer:
        """This node's own state as a `Peer`, like those it keeps of the other nodes."""
        state = self._state
        return Peer(
            state.identity,
            version=state.record_writer.version_on_disk,
            is_healthy=state.is_healthy,
            is_leaving=state.is_leaving,
            last_answer_at=state.now,
            incarnation=state.incarnation,
        )

    # departures

    def _is_handing_over(self) -> bool:
        """Whether this leader is leaving and another voter could lead."""
        state = self._state
        if not state.is_leaving:
            return False
        voters = [peer for peer in self._peers.all() if peer.identity in state.view.voters]
        return any(peer.can_replicate(state.now) for peer in voters)

    def _released_nodes(self) -> tuple[str, ...]:
        """The leaving nodes that may stop now."""
        state = self._state
        is_committed = self.committed is not None and self.committed.version.epoch == state.view.epoch
        # After the hold-off, nodes that could succeed a voter have had the time to join this leader.
        is_hold_off_over = state.now - self._led_since > timing.RELEASE_HOLD_OFF_S
        is_settled = (
            is_committed
            and is_hold_off_over
            and not self._proposer.is_proposing
            and self._wanted_view() is None
        )
        return released_nodes(state.view, self._own_peer(), self._peers.all(), is_settled, state.now)
