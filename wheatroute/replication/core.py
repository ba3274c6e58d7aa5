"""One control node's replication, as a state machine without I/O; its caller provides time and randomness.

Each input is a method that takes the current time (monotonic clock, seconds) and returns the effects that the
caller has to carry out, in order. `ReplicationCore` dispatches messages to the roles of the node: `Voter`
(votes on the next view), `Proposer` (attempts to decide one), `Follower` and `Leader`. A tick is the input
for the passage of time.

Invariants:

- A document is acknowledged once every member of the view has it on disk, and there are at least
  `tolerate + 1` members (or as many as there are voters, if those are fewer; see `commit`).
- Only a majority of the voters can change a view. A commit needs all members of the view and of the views
  that its leader has proposed. The members of the next view are among them and acknowledge no document of an
  older view, so a deposed leader can't commit anything.
- A process leads only the views that were decided for it (`View.incarnation`).

`invariants` checks what must hold after each input.

Transitions: follower -> leader, when a view is decided whose primary this process is; leader -> follower,
when a view with another primary is decided, or after `timing.STEP_DOWN_TIMEOUT_S` without a lease.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from wheatroute.replication import timing
from wheatroute.replication.core_state import CoreState
from wheatroute.replication.effects import Effect
from wheatroute.replication.follower import Follower
from wheatroute.replication.identity import host_of
from wheatroute.replication.leader import Leader
from wheatroute.replication.messages import (
    Accept,
    Accepted,
    Heartbeat,
    HeartbeatAck,
    JoinRequest,
    LeaseEnded,
    Message,
    Prepare,
    Promise,
    Rejected,
    Replicate,
    Replicated,
    ViewAnnouncement,
)
from wheatroute.replication.proposer import Proposer
from wheatroute.replication.records import Document, NodeRecord
from wheatroute.replication.views import View
from wheatroute.replication.voter import Voter


class ReplicationCore:
    """Runs all replication roles of one node.

    Parameters
    ----------
    record:
        the record that is on disk.
    seed_hosts:
        hosts of the configured seed nodes.
    tolerate:
        how many nodes may be lost at once.
    rng:
        source of the incarnation number and of the retry jitter.
    now:
        time on the monotonic clock, in seconds.
    """

    def __init__(
        self, record: NodeRecord, seed_hosts: tuple[str, ...], tolerate: int, rng: Random, now: float
    ) -> None:
        self._state = CoreState(record, seed_hosts, tolerate, rng, now, self._dispatch)
        self._proposer = Proposer(self._state)
        self._leader = Leader(self._state, self._proposer)
        self._voter = Voter(self._state, self._leader)
        self._follower = Follower(self._state, self._proposer, self._voter)

    # queries

    @property
    def identity(self) -> str:
        """The identity of this node."""
        return self._state.identity

    @property
    def host(self) -> str:
        """The host of this node."""
        return self._state.host

    @property
    def view(self) -> View:
        """The newest view known here."""
        return self._state.view

    @property
    def document(self) -> Document:
        """The newest document known here, committed or not."""
        return self._state.document

    @property
    def committed(self) -> Document | None:
        """The newest document that this node committed in its own epoch as the leader."""
        return self._leader.committed

    @property
    def hosts(self) -> tuple[str, ...]:
        """The hosts of all control nodes known to this node, sorted."""
        hosts = self._leader.all_hosts() if self.is_leading else self._state.all_hosts()
        return tuple(sorted(hosts))

    @property
    def possible_members(self) -> frozenset[str]:
        """The members of the views that this node has proposed or is about to: one of them may be decided."""
        return self._proposer.possible_members

    def replicas(self, now: float) -> tuple[str, ...]:
        """The other nodes that are able to replicate documents, as known to this leader."""
        return self._leader.replicas(now)

    def require_soft_state(self, lacks_soft_state: Callable[[str], bool]) -> None:
        """Keeps nodes out of this leader's next views for which `lacks_soft_state(identity)` is true."""
        self._state.lacks_soft_state = lacks_soft_state

    @property
    def is_leading(self) -> bool:
        """Whether this process leads the newest view known here."""
        return self._state.is_leading

    @property
    def is_healthy(self) -> bool:
        """Whether the disk takes writes."""
        return self._state.is_healthy

    @property
    def has_given_up_lease(self) -> bool:
        """Whether this node is the newest view's primary, but no longer leads that view and never will.

        It was restarted, or had no lease for `timing.STEP_DOWN_TIMEOUT_S`; it may lead a later view.
        """
        return self.view.primary == self.identity and not self.is_leading

    def is_serving(self, now: float) -> bool:
        """Whether this node leads, has a committed document and has a lease."""
        return self._leader.is_serving(now)

    def can_stop(self, now: float) -> bool:
        """Whether this leaving node may stop without the loss of a document or of the voters' majority."""
        if self.is_leading:
            return self._leader.can_stop
        has_role = self.identity in self.view.voters or self.identity in self.view.members
        return not has_role or self._follower.is_released

    def primary_host(self, now: float) -> str:
        """The host of the primary, or "" if the primary is unknown, unresponsive or this node itself."""
        primary = self.view.primary
        if not primary or primary == self.identity:
            return ""
        if not self.is_leading and self._follower.heartbeat_age_s(now) > timing.ELECTION_TIMEOUT_S:
            return ""
        return host_of(primary)

    # settings

    def add_hosts(self, hosts: tuple[str, ...]) -> None:
        """Adds hosts that may run control nodes: the seeds of a changed settings file."""
        self._state.add_hosts(hosts)

    @property
    def tolerate(self) -> int:
        """How many nodes may be lost at once."""
        return self._state.tolerate

    @tolerate.setter
    def tolerate(self, nodes: int) -> None:
        self._state.tolerate = nodes

    # inputs

    def tick(self, now: float) -> list[Effect]:
        """Advances the clock: starts saves and elections that are due, and the current role's periodic work.

        The replicator calls it every `replicator.TICK_INTERVAL_S`.
        """
        self._state.now = now
        self._state.start_save()
        self._proposer.expire()
        if self.is_leading:
            self._lead_or_step_down()
        else:
            self._follower.tick()
        return self._state.take_effects()

    def receive(self, now: float, sender: str, message: Message) -> list[Effect]:
        """Handles a message from the node `sender`; the replicator calls it for each received message."""
        self._state.now = now
        self._dispatch(sender, message)
        return self._state.take_effects()

    def saved(self, now: float) -> list[Effect]:
        """Handles the success of the last `Save`: runs the actions that waited for it, starts a due save."""
        self._state.now = now
        for action in self._state.record_writer.succeeded():
            action()
        self._state.start_save()
        return self._state.take_effects()

    def save_failed(self, now: float) -> list[Effect]:
        """Handles the failure of the last `Save`: the actions that waited for it wait for the next one."""
        self._state.now = now
        self._state.record_writer.failed(now)
        return self._state.take_effects()

    def rewrite_record(self, now: float) -> list[Effect]:
        """Writes the record again from memory; called when the one on disk is damaged."""
        self._state.now = now
        self._state.save()
        return self._state.take_effects()

    def write(self, now: float, request: int, payload: bytes) -> list[Effect]:
        """Replicates a document that replaces the current one; `WriteDone` carries the result."""
        self._state.now = now
        self._leader.write(request, payload)
        return self._state.take_effects()

    def confirm_leadership(self, now: float, request: int) -> list[Effect]:
        """Asks the voters whether this node still leads; `LeadershipCheckDone` carries the result.

        Only answers to a heartbeat sent from now on count.
        """
        self._state.now = now
        self._leader.confirm_leadership(request)
        return self._state.take_effects()

    def leave(self, now: float) -> list[Effect]:
        """Starts this node's departure: a leader hands over, a follower notifies the primary at once.

        The replicator calls it before the process ends, and then waits for `can_stop`.
        """
        self._state.now = now
        self._state.is_leaving = True
        if self.is_leading:
            self._lead_or_step_down()
        else:
            self._follower.announce_departure()
        return self._state.take_effects()

    # messages

    def _dispatch(self, sender: str, message: Message) -> None:
        match message:
            case Prepare():
                self._learn(message.base)
                self._voter.on_prepare(sender, message)
            case Promise():
                self._proposer.on_promise(sender, message)
            case Accept():
                self._learn(message.base)
                self._voter.on_accept(sender, message)
            case Accepted():
                self._on_accepted(sender, message)
            case Rejected():
                self._on_rejected(sender, message)
            case LeaseEnded():
                self._voter.on_lease_ended(message.epoch, sender)
            case Heartbeat():
                self._on_heartbeat(sender, message)
            case HeartbeatAck():
                if self._is_answer_to_leader(message):
                    self._leader.on_heartbeat_ack(sender, message)
            case Replicate():
                self._on_replicate(sender, message)
            case Replicated():
                if self._is_answer_to_leader(message):
                    self._leader.on_replicated(sender, message)
            case JoinRequest():
                self._on_join_request(sender, message)
            case ViewAnnouncement():
                self._state.add_hosts(message.nodes)
                self._learn(message.view)

    def _is_answer_to_leader(self, ack: HeartbeatAck | Replicated) -> bool:
        return self.is_leading and ack.epoch == self.view.epoch

    def _on_accepted(self, sender: str, vote: Accepted) -> None:
        view = self._proposer.on_accepted(sender, vote)
        if view is None:
            return
        self._learn(view)
        for host in sorted({host_of(voter) for voter in view.voters}):
            if host != self.host:
                self._state.send(host, ViewAnnouncement(view, self.hosts))

    def _on_rejected(self, sender: str, rejection: Rejected) -> None:
        self._proposer.observe_number(rejection.promised)
        if rejection.view.epoch > self.view.epoch:
            self._learn(rejection.view)
        else:
            self._proposer.on_rejected(sender, rejection)

    def _on_heartbeat(self, sender: str, heartbeat: Heartbeat) -> None:
        if heartbeat.view.epoch < self.view.epoch:
            self._announce_view(sender)
            return
        self._learn(heartbeat.view)
        self._state.add_hosts(heartbeat.nodes)
        self._follower.on_heartbeat(sender, heartbeat)

    def _on_replicate(self, sender: str, message: Replicate) -> None:
        if message.view.epoch < self.view.epoch:
            self._announce_view(sender)
            return
        self._learn(message.view)
        self._follower.on_replicate(sender, message)

    def _on_join_request(self, sender: str, request: JoinRequest) -> None:
        if self.is_leading:
            self._leader.on_join_request(sender)
        elif self.view.epoch >= request.epoch and self.view.voters:
            self._announce_view(sender)

    def _announce_view(self, receiver: str) -> None:
        self._state.send(host_of(receiver), ViewAnnouncement(self.view, self.hosts))

    # transitions

    def _learn(self, view: View) -> None:
        """Adopts a decided view if it is newer; leads it if it names this process, and else follows it."""
        state = self._state
        if not state.acceptor.learn(view):
            return
        self._proposer.on_view_decided(view)
        state.add_hosts(host_of(voter) for voter in view.voters)
        state.save()
        self._follower.begin_view()
        if self._is_primary_of(view):
            self._leader.start()
        else:
            self._leader.stop()

    def _is_primary_of(self, view: View) -> bool:
        return view.primary == self.identity and view.incarnation == self._state.incarnation

    def _lead_or_step_down(self) -> None:
        if self._leader.keeps_lease():
            self._leader.tick()
        else:
            self._step_down()

    def _step_down(self) -> None:
        """Gives this view up: if answers to its heartbeats are lost, these only keep others from leading."""
        self._leader.stop()
        self._proposer.cancel()
        self._follower.await_heartbeat()
