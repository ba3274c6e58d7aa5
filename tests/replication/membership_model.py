"""A model of views, voters, members and disks as a state machine, every step of which can be explored.

A `World` is what all disks and processes hold at one moment, without a clock: messages are delivered or lost
in whole phases (the requests for promises, the votes, a heartbeat with the document), and a fault may
interrupt any phase. The decisions in each step are made by the production code, looked up in its modules at
each call so that tests can inject faults into it: `acceptor.Acceptor`, `proposal.Proposal`,
`takeover.takeover_view`, `reconfiguration.next_view`, `departure.released_nodes`, `commit.may_commit` and
`lease.grants`. No vote is bound by a lease here, since the safety of acknowledged writes must not depend on
clocks; leases are explored separately (`lease_model`).
"""

from __future__ import annotations

from itertools import combinations, permutations
from typing import NamedTuple

import msgspec
from replication.simulation import ViolationError

from wheatroute.replication import acceptor, commit, departure, lease, proposal, reconfiguration, takeover
from wheatroute.replication.identity import genesis_identity, host_of
from wheatroute.replication.messages import Accepted, Promise
from wheatroute.replication.peers import Peer
from wheatroute.replication.records import (
    AcceptorRecord,
    Document,
    DocumentVersion,
    NodeRecord,
    ProposalNumber,
    new_record,
)
from wheatroute.replication.views import NO_VIEW, View, genesis_view

NOW = 100.0  # the current time on the clock of every leader
UNRESPONSIVE_S = {"just": 0.1, "missed": 0.8, "long": 50.0}  # seconds since the last answer of a node
MAX_ROUNDS = 40  # a fault-free period that takes more rounds counts as never settled


class Attempt(NamedTuple):
    """A proposal under way: the fields of a `proposal.Proposal`."""

    base: View
    proposal_number: ProposalNumber
    planned: View | None  # the view that a leader proposes; None for a takeover
    view: View | None
    promises: tuple[tuple[str, Promise], ...]
    votes: frozenset[str]


class LeaderState(NamedTuple):
    """What a leader has in memory."""

    committed: Document | None
    versions: tuple[tuple[str, DocumentVersion], ...]  # versions that other nodes acknowledged, by identity
    proposed: tuple[str, ...]  # members of views for which it has requested votes, sorted


class Machine(NamedTuple):
    """One machine: its disk, and the process on it."""

    record: NodeRecord
    up: bool = True
    incarnation: int = 1
    lost: bool = False  # counts as lost, from its fault until a fault-free period after its return
    is_leaving: bool = False
    is_removed: bool = False  # removed for good
    leader_state: LeaderState | None = None
    attempt: Attempt | None = None

    @property
    def identity(self) -> str:
        return self.record.identity

    @property
    def view(self) -> View:
        return self.record.acceptor.view

    @property
    def document(self) -> Document:
        return self.record.document


class World(NamedTuple):
    """All machines, the network partition between them, and what an observer has seen."""

    machines: tuple[Machine, ...]
    tolerate: int
    isolated: frozenset[int] = frozenset()  # machines that are partitioned from all others
    decided: tuple[View, ...] = ()  # the views that a process acted on, one for each epoch
    acknowledged: bytes = b""  # the acknowledged writes, one byte each
    writes: int = 0
    disks_made: int = 0

    # the machines

    def reaches(self, one: int, other: int) -> bool:
        """Whether both machines are up and on the same side of the partition."""
        running = self.machines[one].up and self.machines[other].up
        return running and (one in self.isolated) == (other in self.isolated)

    def machine_of(self, identity: str) -> int | None:
        """The number of the machine at the address of a node, even if that has another identity by now."""
        number = int(host_of(identity)[1:])
        return number if number < len(self.machines) and not self.machines[number].is_removed else None

    def up(self) -> list[int]:
        return [number for number, machine in enumerate(self.machines) if machine.up]

    def lost(self) -> list[int]:
        """The machines that count as lost."""
        return [
            number
            for number, machine in enumerate(self.machines)
            if not machine.is_removed and (machine.lost or not machine.up)
        ]

    def with_machine(self, number: int, machine: Machine) -> World:
        machines = list(self.machines)
        machines[number] = machine
        return self._replace(machines=tuple(machines))


def first_world(machines: int, tolerate: int, seeds: int = 3) -> World:
    """Returns the world at the first start of the whole system, on empty disks."""
    view = genesis_view(tuple(f"h{number}" for number in range(seeds)))
    started = []
    for number in range(machines):
        if number < seeds:
            record = new_record(genesis_identity(f"h{number}"), AcceptorRecord(view))
        else:
            record = new_record(f"h{number}/1", AcceptorRecord(NO_VIEW))
        started.append(Machine(record))
    return World(tuple(started), tolerate, decided=(view,), disks_made=1)


# learning


def learn(world: World, number: int, view: View) -> World:
    """A process learns a decided view."""
    machine = world.machines[number]
    if view.epoch <= machine.view.epoch:
        return world
    world = _observe_decided(world, view)
    voter = acceptor.Acceptor(machine.identity, machine.record.acceptor)
    voter.learn(view)
    machine = machine._replace(
        record=msgspec.structs.replace(machine.record, acceptor=voter.record), attempt=None
    )
    if view.primary == machine.identity and view.incarnation == machine.incarnation:
        return world.with_machine(number, _start_leader(machine, view))
    return world.with_machine(number, machine._replace(leader_state=None))


def _observe_decided(world: World, view: View) -> World:
    for decided in world.decided:
        if decided.epoch == view.epoch:
            if decided != view:
                raise ViolationError(f"two views of one epoch: {decided} and {view}")
            return world
    if len(set(view.voters)) < len(view.voters):
        raise ViolationError(f"a voter is listed twice: {view.voters}")
    hosts = [host_of(voter) for voter in view.voters]
    if len(set(hosts)) < len(hosts):
        raise ViolationError(f"two voters at one address: {view.voters}")
    return world._replace(decided=(*world.decided, view))


def _start_leader(machine: Machine, view: View) -> Machine:
    previous = machine.leader_state
    leader_state = previous._replace(proposed=()) if previous else LeaderState(None, (), ())
    document = Document(
        DocumentVersion(view.epoch, machine.document.version.sequence), machine.document.payload
    )
    return machine._replace(
        record=msgspec.structs.replace(machine.record, document=document), leader_state=leader_state
    )


# attempts to decide the next view


def wanted_views(world: World, number: int, unresponsive: str) -> list[View]:
    """The views that a leader may want next; `unresponsive` is a key of `UNRESPONSIVE_S`.

    Names break ties, so `reconfiguration.next_view` is called once for each order of the names that could
    matter.
    """
    machine = world.machines[number]
    orders = permutations(range(len(world.machines))) if machine.is_leaving else [range(len(world.machines))]
    found: list[View] = []
    for order in orders:
        view = _wanted(world, number, unresponsive, tuple(order))
        if view is not None and view not in found:
            found.append(view)
    return found


def _wanted(world: World, number: int, unresponsive: str, order: tuple[int, ...]) -> View | None:
    machine = world.machines[number]
    assert machine.leader_state is not None
    newest = machine.leader_state.committed or machine.document
    rename = {f"h{old}": f"h{new}" for old, new in enumerate(order)}
    back = {new: old for old, new in rename.items()}
    peers = [_renamed_peer(peer, rename) for peer in peers_of(world, number, unresponsive)]
    view = reconfiguration.next_view(
        renamed(machine.view, rename),
        _renamed_peer(own_peer(machine), rename),
        peers,
        newest.version,
        world.tolerate,
        NOW,
    )
    return None if view is None else renamed(view, back)


def _renamed_peer(peer: Peer, names: dict[str, str]) -> Peer:
    peer.identity = renamed_identity(peer.identity, names)
    return peer


def renamed_identity(identity: str, names: dict[str, str]) -> str:
    """The identity with its address replaced."""
    host, slash, nonce = identity.partition("/")
    return names.get(host, host) + slash + nonce


def renamed(view: View, names: dict[str, str]) -> View:
    """The view with its addresses replaced."""
    return View(
        view.epoch,
        renamed_identity(view.primary, names),
        tuple(renamed_identity(one, names) for one in view.members),
        tuple(renamed_identity(one, names) for one in view.voters),
        view.incarnation,
    )


def own_peer(machine: Machine) -> Peer:
    """A leader's own state, in the form in which it knows its peers."""
    version = machine.document.version
    return Peer(
        machine.identity,
        version=version,
        is_leaving=machine.is_leaving,
        last_answer_at=NOW,
        incarnation=machine.incarnation,
    )


def peers_of(world: World, number: int, unresponsive: str) -> list[Peer]:
    """The other nodes as a leader knows them."""
    machine = world.machines[number]
    assert machine.leader_state is not None
    versions = dict(machine.leader_state.versions)
    peers = []
    for identity in {**dict.fromkeys(machine.view.voters), **versions}:
        if identity != machine.identity:
            peers.append(
                _peer(world, number, identity, versions.get(identity, DocumentVersion()), unresponsive)
            )
    return peers


def _peer(world: World, number: int, identity: str, version: DocumentVersion, unresponsive: str) -> Peer:
    index = world.machine_of(identity)
    answers = (
        index is not None and world.machines[index].identity == identity and world.reaches(number, index)
    )
    if not answers or index is None:
        return Peer(identity, version=version, last_answer_at=NOW - UNRESPONSIVE_S[unresponsive])
    other = world.machines[index]
    return Peer(
        identity,
        version=version,
        last_answer_at=NOW,
        is_leaving=other.is_leaving,
        incarnation=other.incarnation,
    )


def renewed_view(world: World, number: int) -> View | None:
    """The current view under the next epoch, if earlier votes or attempts block its leader."""
    machine = world.machines[number]
    assert machine.leader_state is not None
    granted = all(lease.grants(record, machine.identity) for record in voter_records(world, number))
    return reconfiguration.renewed_view(
        machine.view, machine.incarnation, granted, frozenset(machine.leader_state.proposed)
    )


def voter_records(world: World, number: int) -> list[AcceptorRecord]:
    """The records of the voters of this machine's view that it reaches and that know no newer view."""
    view = world.machines[number].view
    records = []
    for voter in view.voters:
        index = world.machine_of(voter)
        if index is None or not world.reaches(number, index):
            continue
        other = world.machines[index]
        if other.identity == voter and other.view.epoch <= view.epoch:
            record = other.record.acceptor
            records.append(record if other.view.epoch == view.epoch else AcceptorRecord(view))
    return records


def may_take_over(world: World, number: int) -> bool:
    """Whether this process may start an election."""
    machine = world.machines[number]
    return (
        machine.up
        and not machine.is_leaving
        and not machine.leader_state
        and machine.identity in machine.view.members
    )


def start_attempt(world: World, number: int, receivers: tuple[int, ...], planned: View | None) -> World:
    """Starts an attempt: the machines `receivers` answer the request for a promise."""
    machine = world.machines[number]
    base = machine.view
    proposal_number = ProposalNumber(
        1 + _highest_promise(world, number), machine.identity, machine.incarnation
    )
    world = world.with_machine(
        number, machine._replace(attempt=Attempt(base, proposal_number, planned, None, (), frozenset()))
    )
    for other in receivers:
        attempt = world.machines[number].attempt
        if attempt is None:
            return world
        new_proposal = _proposal(world, number, attempt)
        world, answer = _request(world, other, new_proposal, "prepare")
        if isinstance(answer, Promise):
            new_proposal.add_promise(world.machines[other].identity, answer)
        world = _store_attempt(world, number, new_proposal, attempt)
    return world


def _highest_promise(world: World, number: int) -> int:
    """The highest proposal number that rejections would have reported."""
    base = world.machines[number].view
    records = [world.machines[other].record.acceptor for other in world.up() if world.reaches(number, other)]
    return max((record.promised.number for record in records if record.view.epoch == base.epoch), default=0)


def _proposal(world: World, number: int, attempt: Attempt) -> proposal.Proposal:
    machine = world.machines[number]

    def choose(base: View, promised: frozenset[str]) -> View | None:
        if attempt.planned is not None:
            return attempt.planned
        return takeover.takeover_view(base, promised, machine.identity, machine.incarnation, world.tolerate)

    new_proposal = proposal.Proposal(attempt.base, attempt.proposal_number, choose, NOW)
    new_proposal.view = attempt.view
    new_proposal._promises = dict(attempt.promises)
    new_proposal._votes = set(attempt.votes)
    return new_proposal


def _request(world: World, other: int, new_proposal: proposal.Proposal, phase: str):
    """A voter learns the base of the proposal and answers one of its requests; its vote is on disk."""
    world = learn(world, other, new_proposal.base)
    machine = world.machines[other]
    voter = acceptor.Acceptor(machine.identity, machine.record.acceptor)
    if phase == "prepare":
        answer = voter.prepare(new_proposal.prepare_request())
    else:
        answer = voter.accept(
            proposal.Accept(new_proposal.base, new_proposal.proposal_number, new_proposal.view)
        )
    record = msgspec.structs.replace(machine.record, acceptor=voter.record)
    return world.with_machine(other, machine._replace(record=record)), answer


def _store_attempt(world: World, number: int, new_proposal: proposal.Proposal, attempt: Attempt) -> World:
    machine = world.machines[number]
    if machine.attempt is None:
        return world  # the machine has learned a newer view, which ended its attempt
    kept = attempt._replace(
        view=new_proposal.view,
        promises=tuple(sorted(new_proposal._promises.items())),
        votes=frozenset(new_proposal._votes),
    )
    leader_state = machine.leader_state
    if leader_state is not None and new_proposal.view is not None:
        leader_state = leader_state._replace(
            proposed=tuple(sorted({*leader_state.proposed, *new_proposal.view.members}))
        )
    return world.with_machine(number, machine._replace(attempt=kept, leader_state=leader_state))


def vote(world: World, number: int, receivers: tuple[int, ...], is_answered: bool = True) -> World:
    """The machines `receivers` get the request for a vote; unless `is_answered`, their answers are lost."""
    for other in receivers:
        attempt = world.machines[number].attempt
        if attempt is None or attempt.view is None:
            return world
        new_proposal = _proposal(world, number, attempt)
        world, answer = _request(world, other, new_proposal, "accept")
        if not is_answered or not isinstance(answer, Accepted):
            continue
        view = new_proposal.add_vote(world.machines[other].identity, answer)
        world = _store_attempt(world, number, new_proposal, attempt)
        if view is not None:
            return learn(world, number, view)
    return world


# documents


def heartbeat(world: World, number: int, others: tuple[int, ...], is_answered: bool = True) -> World:
    """A leader's heartbeat and document reach `others`; unless `is_answered`, their answers are lost."""
    for other in others:
        leader, follower = world.machines[number], world.machines[other]
        if follower.view.epoch > leader.view.epoch:
            return learn(world, number, follower.view)
        world = learn(world, other, leader.view)
        follower = world.machines[other]
        if leader.document.version >= follower.document.version:
            record = msgspec.structs.replace(follower.record, document=leader.document)
            world = world.with_machine(other, follower._replace(record=record))
        if is_answered:
            world = _acknowledged(world, number, other)
    return check_commit(world, number)


def _acknowledged(world: World, number: int, other: int) -> World:
    leader, follower = world.machines[number], world.machines[other]
    assert leader.leader_state is not None
    versions = dict(leader.leader_state.versions)
    versions[follower.identity] = max(
        versions.get(follower.identity, DocumentVersion()), follower.document.version
    )
    leader_state = leader.leader_state._replace(versions=tuple(sorted(versions.items())))
    return world.with_machine(number, leader._replace(leader_state=leader_state))


def check_commit(world: World, number: int) -> World:
    """Commits the leader's document if `commit.may_commit` allows it, and records what is acknowledged."""
    leader = world.machines[number]
    leader_state, document = leader.leader_state, leader.document
    if leader_state is None or (
        leader_state.committed is not None and leader_state.committed.version == document.version
    ):
        return world
    versions = dict(leader_state.versions)

    def has_document(member: str) -> bool:
        return member == leader.identity or versions.get(member) == document.version

    planned = leader.attempt.planned if leader.attempt is not None else None
    proposed = frozenset((*leader_state.proposed, *(planned.members if planned is not None else ())))
    if not commit.may_commit(leader.view, proposed, world.tolerate, has_document):
        return world
    if not document.payload.startswith(world.acknowledged):
        raise ViolationError(
            f"lost writes: {world.acknowledged!r} was acknowledged, {document.payload!r} is committed"
        )
    world = world.with_machine(
        number, leader._replace(leader_state=leader_state._replace(committed=document))
    )
    return world._replace(acknowledged=document.payload)


def may_write(world: World, number: int) -> bool:
    """Whether a leader accepts a write, which needs the one before it to be committed."""
    leader_state = world.machines[number].leader_state
    document = world.machines[number].document
    return (
        leader_state is not None
        and leader_state.committed is not None
        and leader_state.committed.version == document.version
    )


def write(world: World, number: int) -> World:
    """A leader adds a write to its document, on its own disk first."""
    machine = world.machines[number]
    version = DocumentVersion(machine.view.epoch, machine.document.version.sequence + 1)
    document = Document(version, machine.document.payload + bytes([world.writes + 1]))
    record = msgspec.structs.replace(machine.record, document=document)
    return world.with_machine(number, machine._replace(record=record))._replace(writes=world.writes + 1)


def is_confirmed_leader(world: World, number: int) -> bool:
    """Whether a leadership check of this leader would be confirmed now: a majority of its voters answers."""
    machine = world.machines[number]
    if not machine.up or machine.leader_state is None or machine.leader_state.committed is None:
        return False
    granting = [record for record in voter_records(world, number) if lease.grants(record, machine.identity)]
    return len(granting) >= machine.view.majority


def check(world: World) -> None:
    """Checks the invariants that hold at every moment."""
    confirmed = [number for number in world.up() if is_confirmed_leader(world, number)]
    if len(confirmed) > 1:
        raise ViolationError(f"two leaders are confirmed at once: {confirmed}")
    for number in confirmed:
        leader_state = world.machines[number].leader_state
        assert leader_state is not None and leader_state.committed is not None
        if not leader_state.committed.payload.startswith(world.acknowledged):
            raise ViolationError(f"a read at h{number} lacks acknowledged writes: {world.acknowledged!r}")


# departures


def released(world: World, number: int, unresponsive: str = "long") -> tuple[str, ...]:
    """The leaving nodes that this leader releases."""
    leader = world.machines[number]
    assert leader.leader_state is not None
    committed = leader.leader_state.committed
    is_settled = (
        committed is not None
        and committed.version.epoch == leader.view.epoch
        and leader.attempt is None
        and not wanted_views(world, number, unresponsive)
    )
    return departure.released_nodes(
        leader.view, own_peer(leader), peers_of(world, number, unresponsive), is_settled, NOW
    )


def may_stop(world: World, number: int) -> bool:
    """Whether a leaving process may end: its leader releases it, or it has no role any more."""
    machine = world.machines[number]
    if machine.leader_state is not None:
        others = [voter for voter in machine.view.voters if voter != machine.identity]
        return not others or machine.identity in released(world, number)
    if machine.identity not in machine.view.voters and machine.identity not in machine.view.members:
        return True
    leaders = [one for one in world.up() if world.machines[one].leader_state and world.reaches(one, number)]
    same = [one for one in leaders if world.machines[one].view.epoch == machine.view.epoch]
    return any(machine.identity in released(world, one) for one in same)


# faults


def end(world: World, number: int) -> World:
    """The process ends; its disk stays."""
    machine = world.machines[number]
    return world.with_machine(
        number, machine._replace(up=False, leader_state=None, attempt=None, is_leaving=False)
    )


def start(world: World, number: int) -> World:
    """A process starts on what the disk holds."""
    machine = world.machines[number]
    return world.with_machine(number, machine._replace(up=True, incarnation=machine.incarnation + 1))


def restart(world: World, number: int) -> World:
    """The process restarts so quickly that no other node notices."""
    return start(end(world, number), number)


def empty_record(world: World, number: int) -> NodeRecord:
    """The record of a machine whose disk is empty, which makes it a new node."""
    return new_record(f"h{number}/{world.disks_made + 1}", AcceptorRecord(NO_VIEW))


def wipe(world: World, number: int) -> World:
    """The process ends and its disk is lost."""
    record = empty_record(world, number)
    world = end(world, number)
    machine = world.machines[number]._replace(record=record, lost=True)
    return world.with_machine(number, machine)._replace(disks_made=world.disks_made + 1)


def remove(world: World, number: int) -> World:
    """The machine is removed for good."""
    world = end(world, number)
    return world.with_machine(number, world.machines[number]._replace(is_removed=True, lost=False))


def add(world: World, lost: bool) -> World:
    """Adds a machine with an empty disk at a new address; `lost`: it replaces one that was lost."""
    number = len(world.machines)
    machine = Machine(empty_record(world, number), lost=lost)
    return world._replace(machines=(*world.machines, machine), disks_made=world.disks_made + 1)


# fault-free periods


def settle(world: World, first: int = 0) -> World:
    """Runs the machines that are up without a fault until nothing changes any more; they end up not lost.

    If no node leads, the candidate with the index `first` starts an election. Raises ViolationError if that
    doesn't reach a leader with everything that was acknowledged.
    """
    world = end_disruptions(world)
    for _ in range(MAX_ROUNDS):
        after = _settle_round(world, first)
        if after == world:
            return _check_settled(world)
        world = after
    raise ViolationError("the world never settles in a fault-free period")


def end_disruptions(world: World) -> World:
    """Heals the partition, and gives up the attempts in progress."""
    machines = tuple(machine._replace(attempt=None) for machine in world.machines)
    return world._replace(isolated=frozenset(), machines=machines)


def _settle_round(world: World, first: int) -> World:
    newest = max((world.machines[number].view for number in world.up()), key=lambda view: view.epoch)
    for number in world.up():
        world = learn(world, number, newest)
    leaders = [number for number in world.up() if world.machines[number].leader_state]
    if not leaders:
        return _settle_election(world, first)
    (leader,) = leaders
    world = heartbeat(world, leader, tuple(number for number in world.up() if number != leader))
    check(world)
    wanted = wanted_views(world, leader, "long")[:1] or [renewed_view(world, leader)]
    if wanted[0] is not None:
        return _settle_attempt(world, leader, wanted[0])
    return _settle_departures(world)


def _settle_departures(world: World) -> World:
    for number in world.up():
        if world.machines[number].is_leaving and may_stop(world, number):
            return end(world, number)
    return world


def _settle_election(world: World, first: int) -> World:
    candidates = [number for number in world.up() if may_take_over(world, number)]
    if not candidates:
        raise ViolationError("no node may lead in a fault-free period")
    return _settle_attempt(world, candidates[first % len(candidates)], None)


def _settle_attempt(world: World, number: int, planned: View | None) -> World:
    running = tuple(world.up())
    world = vote(start_attempt(world, number, running, planned), number, running)
    if world.machines[number].attempt is not None:
        raise ViolationError("no majority of voters answers in a fault-free period")
    return world


def _check_settled(world: World) -> World:
    check(world)
    leaders = [number for number in world.up() if is_confirmed_leader(world, number)]
    if not leaders:
        raise ViolationError("no node serves in a fault-free period")
    leader = world.machines[leaders[0]]
    if leader.document.payload != world.acknowledged:
        raise ViolationError(
            f"{world.acknowledged!r} was acknowledged, {leader.document.payload!r} is served"
        )
    for number in world.up():
        world = world.with_machine(number, world.machines[number]._replace(lost=False))
    if not world.lost() and any(machine.is_leaving for machine in world.machines):
        raise ViolationError("a leaving node is never released")
    return world


def majorities(numbers: list[int], minimum: int) -> list[tuple[int, ...]]:
    """All sets of exactly `minimum` of the numbers, and the set of all numbers."""
    found = list(combinations(numbers, minimum)) if len(numbers) >= minimum else []
    return found if tuple(numbers) in found or len(numbers) < minimum else [*found, tuple(numbers)]
