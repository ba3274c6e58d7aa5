"""One control node's part in replication, free of I/O, clock and chance.

Inputs are calls with the current time (steady clock, seconds); each returns the effects that the caller has
to carry out, in their order. A leader acknowledges a document once every member of its view has it on disk,
and no fewer members than may be lost at once plus one. Only the voters' majority changes a view, so a leader
that was deposed can gather no acknowledgement: a member of the next view answers none for an older one. When
a leader may act alone, and when a voter may help to depose it, is told in `lease`.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from wheatroute.replication.acceptor import Acceptor
from wheatroute.replication.commit import may_commit
from wheatroute.replication.departure import released
from wheatroute.replication.effects import Committed, Effect, ReadDone, Save, Send, WriteDone
from wheatroute.replication.identity import host_of
from wheatroute.replication.lease import LeaseGrant, grants
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
from wheatroute.replication.peers import Peer, Peers
from wheatroute.replication.proposal import Choice, Proposal
from wheatroute.replication.reconfiguration import next_view, renewed_view
from wheatroute.replication.records import Document, DocumentVersion, NodeRecord, ProposalNumber
from wheatroute.replication.saving import RecordSaver
from wheatroute.replication.takeover import takeover_view
from wheatroute.replication.views import View
from wheatroute.replication.waiting import WaitingRequests

BEAT_INTERVAL = 0.15  # seconds between a leader's heartbeats
ELECTION_TIMEOUT = (
    0.6  # seconds without a heartbeat after which a member stands; longer than a lease is granted
)
START_TIMEOUT = 0.12  # the same for a process that has just started, where nobody may lead at all
ELECTION_STEP = 0.12  # added for each place in the order of members, so that one of them goes first
PROPOSAL_TIMEOUT = 0.4  # seconds until an attempt is given up
RETRY_MIN, RETRY_SPREAD = 0.1, 0.25  # seconds until the next attempt
JOIN_INTERVAL = 0.25  # seconds between requests to join
SURVEY = 1.0  # seconds for which a new leader lets no leaving node go
STEP_DOWN = 1.0  # seconds without a lease after which a leader gives its view up
LEASE_ENDED_INTERVAL = 0.1  # seconds between two words of a primary that has given its lease up
CONFIRM_INTERVAL = 0.03  # seconds that reads wait for the answers to the heartbeat of earlier ones
PROCESS_BITS = 48  # of the number that tells a process from the one before it
RESEND = 0.3  # seconds until a document is sent again to a node that has not acknowledged it


class ReplicationCore:
    """Follower, candidate and leader in one; `tolerate` is how many nodes may be lost at once."""

    def __init__(
        self, record: NodeRecord, seed_hosts: tuple[str, ...], tolerate: int, chance: Random, now: float
    ) -> None:
        self.identity = record.identity
        self.host = host_of(record.identity)
        self.acceptor = Acceptor(record.identity, record.acceptor)
        self.document = record.document
        self._digested = (record.document, record.document.digest)
        self.is_leading = False
        self.is_leaving = False
        self._released = False  # the leader says that this node, which is leaving, isn't needed
        self._newest_heartbeat: Heartbeat | None = None  # of the present view's primary
        self.tolerate = tolerate
        self._chance = chance
        self._hosts = set(seed_hosts)
        self._heard = now  # when the last heartbeat of the current primary came
        self._lease = LeaseGrant(now)
        self._process = chance.getrandbits(PROCESS_BITS)
        self._patience = 0.0
        self._next_join = now
        self._next_lease_ended = now
        self._next_attempt = now
        self._highest_proposal_number = record.acceptor.promised.number
        self._proposal: Proposal | None = None
        self._effects: list[Effect] = []
        self._saver = RecordSaver(record.document.version)
        # leader
        self._peers = Peers(record.identity)
        self._planned_members: frozenset[str] = frozenset()  # of the view that the present attempt is for
        self._proposed_members: frozenset[str] = frozenset()  # of views that may be decided after this one
        self._led_since = now
        self._released_told: tuple[str, ...] = ()  # by the newest heartbeat
        self._lease_held = now
        self._next_beat = now
        self._next_confirm = now
        self.committed: Document | None = None  # in this node's own epoch as leader
        self._waiting = WaitingRequests()
        self._now = now
        self._patience = self._election_timeout() - ELECTION_TIMEOUT + START_TIMEOUT

    # what callers may ask

    @property
    def view(self) -> View:
        """The newest view known here."""
        return self.acceptor.view

    @property
    def hosts(self) -> tuple[str, ...]:
        """All control nodes that this node has heard of."""
        known = self._hosts | {host_of(voter) for voter in self.view.voters} | {self.host}
        if self.is_leading:
            known |= {host_of(peer.identity) for peer in self._peers.all()}
        return tuple(sorted(known))

    def is_serving(self, now: float) -> bool:
        """Whether this node leads, has a committed document and was heard by a majority of late."""
        return self.is_leading and self.committed is not None and self._lease_holds(now)

    @property
    def has_given_up_lease(self) -> bool:
        """Whether this node is the newest view's primary and doesn't lead it, nor ever will again.

        It was started again, or had no lease for `STEP_DOWN`; it may lead a later view.
        """
        return self.view.primary == self.identity and not self.is_leading

    def primary_host(self, now: float) -> str:
        """The host of the primary, or nothing if it is unknown, silent or this node."""
        silent = self.silent_for(now) > ELECTION_TIMEOUT
        if silent or not self.view.primary or self.view.primary == self.identity:
            return ""
        return host_of(self.view.primary)

    def can_stop(self, now: float) -> bool:
        """Whether nothing would be lost or without a majority by the end of this node, which is leaving."""
        if self.is_leading:
            others = [voter for voter in self.view.voters if voter != self.identity]
            return not others or self.identity in self._released_told
        without_part = self.identity not in self.view.voters and self.identity not in self.view.members
        return without_part or self._released

    @property
    def is_healthy(self) -> bool:
        """Whether the disk takes writes."""
        return self._saver.is_healthy(self._now)

    def silent_for(self, now: float) -> float:
        """Seconds since a primary was heard, 0 for the primary itself."""
        return 0.0 if self.is_leading else now - self._heard

    # inputs

    def add_hosts(self, hosts: tuple[str, ...]) -> None:
        """There may be control nodes at these hosts."""
        self._hosts.update(hosts)

    def tick(self, now: float) -> list[Effect]:
        """Time has passed; called every few hundredths of a second."""
        self._now = now
        self._start_save()
        if self._proposal is not None and now - self._proposal.started > PROPOSAL_TIMEOUT:
            self._give_up()
        if self.is_leading:
            self._lead()
        else:
            self._follow()
        return self._taken()

    def receive(self, now: float, sender: str, message: Message) -> list[Effect]:
        """A message came from the node `sender`."""
        self._now = now
        self._dispatch(sender, message)
        return self._taken()

    def saved(self, now: float) -> list[Effect]:
        """The last `Save` is on disk."""
        self._now = now
        for action in self._saver.done():
            action()
        self._start_save()
        return self._taken()

    def save_failed(self, now: float) -> list[Effect]:
        """The last `Save` was refused by the disk; what waited for it waits on."""
        self._now = now
        self._saver.refused(now)
        return self._taken()

    def rewrite_record(self, now: float) -> list[Effect]:
        """The record on disk was found damaged: it is written anew from memory."""
        self._now = now
        self._save(lambda: None)
        return self._taken()

    def write(self, now: float, request: int, payload: bytes) -> list[Effect]:
        """Replicates a new document on top of the present one; `WriteDone` tells what became of it."""
        self._now = now
        if not self.is_serving(now) or self._handing_over():
            self._effects.append(WriteDone(request, False))
            return self._taken()
        self.document = Document(
            DocumentVersion(self.view.epoch, self.document.version.sequence + 1), payload
        )
        self._waiting.write(request, self.document.version)
        self._replicate_all()
        return self._taken()

    def confirm_leadership(self, now: float, request: int) -> list[Effect]:
        """Asks the voters whether this node still leads; `ReadDone` tells.

        Only answers to a heartbeat that is sent from now on count.
        """
        self._now = now
        if not self.is_serving(now):
            self._effects.append(ReadDone(request, False))
            return self._taken()
        self._waiting.read(request, self._peers.newest_beat + 1)
        if now >= self._next_confirm:
            self._send_beats()
            self._check_reads()
        return self._taken()

    def leave(self, now: float) -> list[Effect]:
        """This node is about to stop: a leader hands over, a follower says so at once; see `may_stop`."""
        self._now = now
        self.is_leaving = True
        if self.is_leading:
            self._lead()
        elif self._newest_heartbeat is not None and self._newest_heartbeat.view.epoch == self.view.epoch:
            self._send(host_of(self.view.primary), self._beat_answer(self._newest_heartbeat))
        return self._taken()

    # effects

    def _taken(self) -> list[Effect]:
        effects, self._effects = self._effects, []
        return effects

    def _send(self, host: str, message: Message) -> None:
        if host == self.host:
            self._dispatch(self.identity, message)
        else:
            self._effects.append(Send(host, message))

    def _save(self, then: Callable[[], None]) -> None:
        """Has the present record written; `then` runs once it, or a later one, is on disk."""
        self._saver.request(then)
        if not self._saver.failed:  # else the next tick tries again
            self._start_save()

    def _start_save(self) -> None:
        if self._saver.due(self._now):
            self._saver.begin(self._now, self.document.version)
            self._effects.append(Save(NodeRecord(self.identity, self.acceptor.record, self.document)))

    # messages

    def _dispatch(self, sender: str, message: Message) -> None:
        match message:
            case Prepare():
                self._on_prepare(sender, message)
            case Promise():
                self._on_promise(sender, message)
            case Accept():
                self._on_accept(sender, message)
            case Accepted():
                self._on_accepted(sender, message)
            case Rejected():
                self._on_rejected(sender, message)
            case LeaseEnded():
                self._lease.ended(message.epoch, sender)
            case Heartbeat():
                self._on_heartbeat(sender, message)
            case HeartbeatAck():
                self._on_heartbeat_ack(sender, message)
            case Replicate():
                self._on_replicate(sender, message)
            case Replicated():
                self._on_replicated(sender, message)
            case JoinRequest():
                self._on_join(sender, message)
            case ViewAnnouncement():
                self._hosts.update(message.nodes)
                self._learn(message.view)

    def _learn(self, view: View) -> None:
        """Takes in a decided view: this node follows its primary, or leads if it is that one."""
        if not self.acceptor.learn(view):
            return
        if self._proposal is not None and self._proposal.base.epoch < view.epoch:
            self._proposal = None
        self._hosts.update(host_of(voter) for voter in view.voters)
        self._save(lambda: None)
        self._heard = self._now
        self._released = False
        self._newest_heartbeat = None
        self._proposed_members = frozenset()
        self._patience = self._election_timeout()
        if self._leads(view):
            self._start_leading()
        else:
            self._stop_leading()

    def _leads(self, view: View) -> bool:
        return view.primary == self.identity and view.incarnation == self._process

    # followers and candidates

    def _follow(self) -> None:
        silent = self._now - self._heard
        unheard = self._newest_heartbeat is None or silent > ELECTION_TIMEOUT / 2
        if unheard and self._now >= self._next_join:
            self._next_join = self._now + JOIN_INTERVAL
            for host in self.hosts:
                if host != self.host:
                    self._send(host, JoinRequest(self.view.epoch))
        if self.has_given_up_lease and self._now >= self._next_lease_ended:
            self._say_lease_ended()
        eligible = self.identity in self.view.members and self.is_healthy and not self.is_leaving
        due = silent > self._patience and self._now >= self._next_attempt and not self._proposal
        if eligible and due and not self._bound(self.view, self.identity):
            self._propose(self._choose_takeover)

    def _say_lease_ended(self) -> None:
        """Frees the votes that are bound to this node as the primary that it was."""
        self._next_lease_ended = self._now + LEASE_ENDED_INTERVAL
        for host in self.hosts:
            self._send(host, LeaseEnded(self.view.epoch))

    def _election_timeout(self) -> float:
        """Seconds of silence after which this node stands, by its place among the members."""
        others = [member for member in self.view.members if member != self.view.primary]
        rank = others.index(self.identity) if self.identity in others else len(others)
        return ELECTION_TIMEOUT + ELECTION_STEP * rank

    def _choose_takeover(self, base: View, promised: frozenset[str]) -> View | None:
        return takeover_view(base, promised, self.identity, self._process, self.tolerate)

    def _propose(self, choose: Choice) -> None:
        self._highest_proposal_number += 1
        proposal_number = ProposalNumber(self._highest_proposal_number, self.identity, self._process)
        self._proposal = Proposal(self.view, proposal_number, choose, self._now)
        question = self._proposal.prepare()
        for voter in self.view.voters:
            self._send(host_of(voter), question)

    def _give_up(self, wait: float = 0.0) -> None:
        self._proposal = None
        self._next_attempt = self._now + wait + RETRY_MIN + RETRY_SPREAD * self._chance.random()

    def _bound(self, base: View, proposer: str) -> float:
        """Seconds for which a lease binds this voter to the primary of `base` against `proposer`."""
        if proposer == base.primary or base.epoch < self.view.epoch:
            return 0.0
        if self.is_leading:
            return BEAT_INTERVAL if self._lease_holds(self._now) else 0.0
        return self._lease.remaining(self._now, base)

    def _on_prepare(self, sender: str, message: Prepare) -> None:
        self._learn(message.base)
        self._vote(sender, message.base, lambda: self.acceptor.prepare(message))

    def _on_accept(self, sender: str, message: Accept) -> None:
        self._learn(message.base)
        self._vote(sender, message.base, lambda: self.acceptor.accept(message))

    def _vote(self, sender: str, base: View, vote: Callable[[], Message | None]) -> None:
        bound = self._bound(base, sender)
        if bound > 0:
            self._send(host_of(sender), Rejected(self.view, self.acceptor.record.promised, bound))
            return
        self._answer_vote(sender, vote())

    def _answer_vote(self, sender: str, answer: Message | None) -> None:
        if answer is None:
            return
        if isinstance(answer, Rejected):
            self._send(host_of(sender), answer)
            return
        self._save(lambda: self._send(host_of(sender), answer))

    def _on_promise(self, sender: str, message: Promise) -> None:
        if self._proposal is None:
            return
        question = self._proposal.promised(sender, message)
        if question is None:
            return
        self._proposed_members |= set(question.view.members)
        for voter in self._proposal.base.voters:
            self._send(host_of(voter), question)

    def _on_accepted(self, sender: str, message: Accepted) -> None:
        if self._proposal is None:
            return
        view = self._proposal.accepted(sender, message)
        if view is None:
            return
        self._proposal = None
        self._learn(view)
        for host in sorted({host_of(voter) for voter in view.voters}):
            if host != self.host:
                self._send(host, ViewAnnouncement(view, self.hosts))

    def _on_rejected(self, sender: str, message: Rejected) -> None:
        self._highest_proposal_number = max(self._highest_proposal_number, message.promised.number)
        if message.view.epoch > self.view.epoch:
            self._learn(message.view)
        elif self._proposal is None:
            return
        elif message.promised > self._proposal.proposal_number:
            self._give_up()
        elif message.lease_remaining_s > 0 and self._proposal.bound(sender, message.lease_remaining_s):
            self._give_up(self._proposal.longest_bound)

    def _on_heartbeat(self, sender: str, message: Heartbeat) -> None:
        if message.view.epoch < self.view.epoch:
            self._send(host_of(sender), ViewAnnouncement(self.view, self.hosts))
            return
        self._learn(message.view)
        self._hosts.update(message.nodes)
        self._heard = self._now
        self._newest_heartbeat = message
        self._released = self.identity in message.released
        self._send(host_of(sender), self._beat_answer(message))

    def _beat_answer(self, beat: Heartbeat) -> HeartbeatAck:
        """What is on this node's disk; where its vote is still free, it is bound by this answer."""
        granted = grants(self.acceptor.record, beat.view.primary)
        if granted:
            self._lease.renew(self._now)
        version = self._saver.version
        digest = self._digest() if version == self.document.version else None
        return HeartbeatAck(
            epoch=beat.view.epoch,
            number=beat.number,
            version=version,
            is_healthy=self.is_healthy,
            is_leaving=self.is_leaving,
            digest=digest,
            is_lease_granted=granted,
            incarnation=self._process,
        )

    def _digest(self) -> int:
        """Of the present document; worked out once for each."""
        document, digest = self._digested
        if document is not self.document:
            digest = self.document.digest
            self._digested = (self.document, digest)
        return digest

    def _on_replicate(self, sender: str, message: Replicate) -> None:
        if message.view.epoch < self.view.epoch:
            self._send(host_of(sender), ViewAnnouncement(self.view, self.hosts))
            return
        self._learn(message.view)
        version = message.document.version
        if version < self.document.version:
            return
        answer = Replicated(message.view.epoch, version)
        if message.document == self.document and self._saver.version == version:
            self._send(host_of(sender), answer)
            return
        self.document = message.document
        self._save(lambda: self._send(host_of(sender), answer))

    def _on_join(self, sender: str, message: JoinRequest) -> None:
        if self.is_leading:
            self._peer(sender).joined = self._now
        elif self.view.epoch >= message.epoch and self.view.voters:
            self._send(host_of(sender), ViewAnnouncement(self.view, self.hosts))

    # the leader

    def _peer(self, identity: str) -> Peer:
        return self._peers.get(identity)

    @property
    def _own_vote(self) -> bool:
        return grants(self.acceptor.record, self.identity)

    def _lease_holds(self, now: float) -> bool:
        return self._peers.lease_holds(self.view, now, self._own_vote)

    def _own_peer(self) -> Peer:
        """This node as it sees the others."""
        return Peer(
            self.identity,
            version=self._saver.version,
            is_healthy=self.is_healthy,
            is_leaving=self.is_leaving,
            answered=self._now,
            incarnation=self._process,
        )

    def _handing_over(self) -> bool:
        """Whether this leader is about to stop and there is another that may lead."""
        voters = [peer for peer in self._peers.all() if peer.identity in self.view.voters]
        return self.is_leaving and any(peer.fit(self._now) for peer in voters)

    def _released_nodes(self) -> tuple[str, ...]:
        """Nodes that are about to stop and aren't needed any more."""
        committed = self.committed is not None and self.committed.version.epoch == self.view.epoch
        # whoever could take a voter has had the time to join this leader
        surveyed = self._now - self._led_since > SURVEY
        settled = committed and surveyed and self._proposal is None and self._wanted_view() is None
        return released(self.view, self._own_peer(), self._peers.all(), settled, self._now)

    def _start_leading(self) -> None:
        """Has every member take the present document over into this epoch, before anything else.

        A leader that changed its own view goes on with the writes and reads that wait.
        """
        if not self.is_leading:
            self.is_leading = True
            self._led_since = self._lease_held = self._now
            self._released_told = ()
            self.committed = None
            self._peers.restart()
        self._peers.expect(self.view, self._now)
        self.document = Document(
            DocumentVersion(self.view.epoch, self.document.version.sequence), self.document.payload
        )
        self._replicate_all()
        self._send_beats()

    def _stop_leading(self) -> None:
        self.is_leading = False
        self.committed = None
        self._effects += self._waiting.fail()

    def _step_down(self) -> None:
        """Gives this view up: heartbeats that get no answers back only keep others from leading."""
        self._stop_leading()
        self._proposal = None
        self._heard = self._now
        self._newest_heartbeat = None
        self._patience = self._election_timeout()

    def _lead(self) -> None:
        now = self._now
        if self._lease_holds(now):
            self._lease_held = now
        elif now - self._lease_held > STEP_DOWN:
            self._step_down()
            return
        if now >= self._next_beat or self._waiting.unasked(self._peers.newest_beat):
            self._send_beats()
            self._check_reads()
        self._peers.forget_silent(self.view.voters, now)
        for peer in self._peers.all():
            if (
                peer.version != self.document.version
                and peer.alive(now)
                and now - peer.document_sent > RESEND
            ):
                self._replicate(peer)
        if self._proposal is None and now >= self._next_attempt:
            self._reconfigure()

    def _wanted_view(self) -> View | None:
        held = self.committed.version if self.committed is not None else self.document.version
        return next_view(self.view, self._own_peer(), self._peers.all(), held, self.tolerate, self._now)

    def _renewed_view(self) -> View | None:
        """The present view once more, where votes or attempts of before stand in this leader's way."""
        refusing = [
            voter for voter in self.view.voters if voter != self.identity and not self._peer(voter).granting
        ]
        granted = self._lease_holds(self._now) or (self._own_vote and not refusing)
        return renewed_view(self.view, self._process, granted, self._proposed_members)

    def _reconfigure(self) -> None:
        wanted = self._wanted_view() or self._renewed_view()
        if wanted is not None:
            self._propose(lambda base, promised: wanted)
            self._planned_members = frozenset(wanted.members)

    def _send_beats(self) -> int:
        """Sends a heartbeat to every peer; returns its number."""
        self._next_beat = self._now + BEAT_INTERVAL
        self._next_confirm = self._now + CONFIRM_INTERVAL
        number = self._peers.next_beat(self._now)
        committed = self.committed.version if self.committed is not None else DocumentVersion()
        leaving = self.is_leaving or any(peer.is_leaving for peer in self._peers.all())
        self._released_told = self._released_nodes() if leaving else ()
        beat = Heartbeat(self.view, number, committed, self.hosts, self._released_told)
        for peer in self._peers.all():
            self._send(host_of(peer.identity), beat)
        return number

    def _replicate(self, peer: Peer) -> None:
        peer.document_sent = self._now
        self._send(host_of(peer.identity), Replicate(self.view, self.document))

    def _replicate_all(self) -> None:
        version = self.document.version
        self._save(lambda: self._check_commit(version))
        for peer in self._peers.all():
            if peer.identity in self.view.voters or peer.alive(self._now):
                self._replicate(peer)

    def _on_heartbeat_ack(self, sender: str, message: HeartbeatAck) -> None:
        if not self.is_leading or message.epoch != self.view.epoch:
            return
        self._peers.beat_answered(sender, message, self._now)
        if message.version == self.document.version and message.digest not in (None, self._digest()):
            # another content under the same version: it isn't in sync, and gets the document again
            self._peer(sender).version = DocumentVersion()
        self._check_reads()
        self._check_commit(self.document.version)

    def _on_replicated(self, sender: str, message: Replicated) -> None:
        if not self.is_leading or message.epoch != self.view.epoch:
            return
        self._peers.replicated(sender, message, self._now)
        self._check_commit(self.document.version)

    def _check_commit(self, version: DocumentVersion) -> None:
        """Commits the present document if the disks that it is known to be on are enough; see `commit`."""
        if not self.is_leading or version != self.document.version:
            return
        if self.committed is not None and self.committed.version == version:
            return
        planned = self._planned_members if self._proposal is not None else frozenset()
        proposed = self._proposed_members | planned
        if not may_commit(self.view, proposed, self.tolerate, lambda member: self._holds(member, version)):
            return
        self.committed = self.document
        self._effects.append(Committed(self.document))
        self._effects += self._waiting.committed(version)

    def _holds(self, member: str, version: DocumentVersion) -> bool:
        if member == self.identity:
            return self._saver.version == version
        return self._peer(member).version == version

    def _check_reads(self) -> None:
        view, own_vote = self.view, self._own_vote
        self._effects += self._waiting.answered(
            lambda beat: self._peers.majority_answered(view, beat, own_vote)
        )
