"""Views, voters, members and disks as a state machine whose every step can be explored.

A `World` is what all disks and processes hold at one moment, without a clock: messages are taken or lost in
whole phases (the questions for promises, the votes, a heartbeat with the document), and any phase may be cut
short by a fault. What is decided in a step is asked of the shipped functions, looked up in their modules at
each call so that tests can put faults into them: `acceptor.Acceptor`, `proposal.Proposal`,
`takeover.takeover_view`, `reconfiguration.next_view`, `departure.released_nodes`, `commit.may_commit` and
`lease.grants`. No vote is bound by a lease here: what is acknowledged must not rest on clocks, and leases
have an exploration of their own (`lease_model`).
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

NOW = 100.0  # the moment of every look at a peer, on its leader's clock
UNRESPONSIVE_S = {"just": 0.1, "missed": 0.8, "long": 50.0}  # seconds since a node that is away was heard
MAX_ROUNDS = 40  # of a calm time until it counts as one in which nothing is reached


class Attempt(NamedTuple):
    """A proposal under way: the fields of a `proposal.Proposal`."""

    base: View
    proposal_number: ProposalNumber
    planned: View | None  # a leader's; None for a takeover
    view: View | None
    promises: tuple[tuple[str, Promise], ...]
    votes: frozenset[str]


class Leading(NamedTuple):
    """What a leader has in memory."""

    committed: Document | None
    versions: tuple[tuple[str, DocumentVersion], ...]  # that other nodes said they have on disk
    proposed: tuple[str, ...]  # members of views that it has asked votes for, sorted


class Machine(NamedTuple):
    """One machine: its disk, and the process on it."""

    record: NodeRecord
    up: bool = True
    incarnation: int = 1
    lost: bool = False  # counts as lost: since its fault, until it has had its time to settle
    is_leaving: bool = False
    is_removed: bool = False  # never comes back
    leading: Leading | None = None
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
    """All machines, which of them are cut apart, and what an observer has seen."""

    machines: tuple[Machine, ...]
    tolerate: int
    side: frozenset[int] = frozenset()  # the machines that are cut off from all others; empty: none are
    decided: tuple[View, ...] = ()  # the views that a process acted on, one for each epoch
    acknowledged: bytes = b""  # the writes whose acknowledgement was given, one byte each
    writes: int = 0
    disks_made: int = 0

    # who there is

    def reaches(self, one: int, other: int) -> bool:
        """Whether both run and nothing lies between them."""
        running = self.machines[one].up and self.machines[other].up
        return running and (one in self.side) == (other in self.side)

    def at(self, identity: str) -> int | None:
        """The machine at the address of a node, whoever it is now."""
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

    def put(self, number: int, machine: Machine) -> World:
        machines = list(self.machines)
        machines[number] = machine
        return self._replace(machines=tuple(machines))


def first_world(machines: int, tolerate: int, seeds: int = 3) -> World:
    """The first start of the whole system, on empty disks."""
    view = genesis_view(tuple(f"h{number}" for number in range(seeds)))
    made = []
    for number in range(machines):
        if number < seeds:
            record = new_record(genesis_identity(f"h{number}"), AcceptorRecord(view))
        else:
            record = new_record(f"h{number}/1", AcceptorRecord(NO_VIEW))
        made.append(Machine(record))
    return World(tuple(made), tolerate, decided=(view,), disks_made=1)


# learning


def learn(world: World, number: int, view: View) -> World:
    """A process hears of a decided view."""
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
        return world.put(number, _start_leading(machine, view))
    return world.put(number, machine._replace(leading=None))


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


def _start_leading(machine: Machine, view: View) -> Machine:
    was = machine.leading
    leading = was._replace(proposed=()) if was else Leading(None, (), ())
    document = Document(
        DocumentVersion(view.epoch, machine.document.version.sequence), machine.document.payload
    )
    return machine._replace(
        record=msgspec.structs.replace(machine.record, document=document), leading=leading
    )


# attempts to decide the next view


def wanted_views(world: World, number: int, unresponsive: str) -> list[View]:
    """The views that a leader may want next, by how long those that are away have been silent.

    Names break ties, so the shipped function is asked once for each order of the names that could matter.
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
    assert machine.leading is not None
    held = machine.leading.committed or machine.document
    rename = {f"h{old}": f"h{new}" for old, new in enumerate(order)}
    back = {new: old for old, new in rename.items()}
    peers = [_renamed_peer(peer, rename) for peer in peers_of(world, number, unresponsive)]
    view = reconfiguration.next_view(
        renamed(machine.view, rename),
        _renamed_peer(own_peer(machine), rename),
        peers,
        held.version,
        world.tolerate,
        NOW,
    )
    return None if view is None else renamed(view, back)


def _renamed_peer(peer: Peer, names: dict[str, str]) -> Peer:
    peer.identity = renamed_identity(peer.identity, names)
    return peer


def renamed_identity(identity: str, names: dict[str, str]) -> str:
    """The identity with its address exchanged."""
    host, slash, nonce = identity.partition("/")
    return names.get(host, host) + slash + nonce


def renamed(view: View, names: dict[str, str]) -> View:
    """The view with its addresses exchanged."""
    return View(
        view.epoch,
        renamed_identity(view.primary, names),
        tuple(renamed_identity(one, names) for one in view.members),
        tuple(renamed_identity(one, names) for one in view.voters),
        view.incarnation,
    )


def own_peer(machine: Machine) -> Peer:
    """A leader as it sees itself."""
    version = machine.document.version
    return Peer(
        machine.identity,
        version=version,
        is_leaving=machine.is_leaving,
        last_answer_at=NOW,
        incarnation=machine.incarnation,
    )


def peers_of(world: World, number: int, unresponsive: str) -> list[Peer]:
    """The other nodes as a leader sees them."""
    machine = world.machines[number]
    assert machine.leading is not None
    versions = dict(machine.leading.versions)
    peers = []
    for identity in {**dict.fromkeys(machine.view.voters), **versions}:
        if identity != machine.identity:
            peers.append(
                _peer(world, number, identity, versions.get(identity, DocumentVersion()), unresponsive)
            )
    return peers


def _peer(world: World, number: int, identity: str, version: DocumentVersion, unresponsive: str) -> Peer:
    there = world.at(identity)
    answers = (
        there is not None and world.machines[there].identity == identity and world.reaches(number, there)
    )
    if not answers or there is None:
        return Peer(identity, version=version, last_answer_at=NOW - UNRESPONSIVE_S[unresponsive])
    other = world.machines[there]
    return Peer(
        identity,
        version=version,
        last_answer_at=NOW,
        is_leaving=other.is_leaving,
        incarnation=other.incarnation,
    )


def renewed_view(world: World, number: int) -> View | None:
    """The present view once more, where votes or attempts of before stand in its leader's way."""
    machine = world.machines[number]
    assert machine.leading is not None
    granted = all(lease.grants(record, machine.identity) for record in voter_records(world, number))
    return reconfiguration.renewed_view(
        machine.view, machine.incarnation, granted, frozenset(machine.leading.proposed)
    )


def voter_records(world: World, number: int) -> list[AcceptorRecord]:
    """Of the voters of this machine's view that it reaches and that know nothing newer."""
    view = world.machines[number].view
    records = []
    for voter in view.voters:
        there = world.at(voter)
        if there is None or not world.reaches(number, there):
            continue
        other = world.machines[there]
        if other.identity == voter and other.view.epoch <= view.epoch:
            record = other.record.acceptor
            records.append(record if other.view.epoch == view.epoch else AcceptorRecord(view))
    return records


def may_take_over(world: World, number: int) -> bool:
    """Whether this process may stand for election."""
    machine = world.machines[number]
    return (
        machine.up
        and not machine.is_leaving
        and not machine.leading
        and machine.identity in machine.view.members
    )


def stand(world: World, number: int, receivers: tuple[int, ...], planned: View | None) -> World:
    """An attempt begins: the machines `asked` take the question for a promise, their answers come back."""
    machine = world.machines[number]
    base = machine.view
    proposal_number = ProposalNumber(
        1 + _highest_promise(world, number), machine.identity, machine.incarnation
    )
    world = world.put(
        number, machine._replace(attempt=Attempt(base, proposal_number, planned, None, (), frozenset()))
    )
    for other in receivers:
        attempt = world.machines[number].attempt
        if attempt is None:
            return world
        made = _proposal(world, number, attempt)
        world, answer = _request(world, other, made, "prepare")
        if isinstance(answer, Promise):
            made.add_promise(world.machines[other].identity, answer)
        world = _keep(world, number, made, attempt)
    return world


def _highest_promise(world: World, number: int) -> int:
    """The proposal number that refusals would have told of."""
    base = world.machines[number].view
    records = [world.machines[other].record.acceptor for other in world.up() if world.reaches(number, other)]
    return max((record.promised.number for record in records if record.view.epoch == base.epoch), default=0)


def _proposal(world: World, number: int, attempt: Attempt) -> proposal.Proposal:
    machine = world.machines[number]

    def choose(base: View, promised: frozenset[str]) -> View | None:
        if attempt.planned is not None:
            return attempt.planned
        return takeover.takeover_view(base, promised, machine.identity, machine.incarnation, world.tolerate)

    made = proposal.Proposal(attempt.base, attempt.proposal_number, choose, NOW)
    made.view = attempt.view
    made._promises = dict(attempt.promises)
    made._votes = set(attempt.votes)
    return made


def _request(world: World, other: int, made: proposal.Proposal, phase: str):
    """A voter learns the base of the proposal and answers one of its requests; its vote is on disk."""
    world = learn(world, other, made.base)
    machine = world.machines[other]
    voter = acceptor.Acceptor(machine.identity, machine.record.acceptor)
    if phase == "prepare":
        answer = voter.prepare(made.prepare_request())
    else:
        answer = voter.accept(proposal.Accept(made.base, made.proposal_number, made.view))
    record = msgspec.structs.replace(machine.record, acceptor=voter.record)
    return world.put(other, machine._replace(record=record)), answer


def _keep(world: World, number: int, made: proposal.Proposal, attempt: Attempt) -> World:
    machine = world.machines[number]
    if machine.attempt is None:
        return world  # it learned of a newer view
    kept = attempt._replace(
        view=made.view, promises=tuple(sorted(made._promises.items())), votes=frozenset(made._votes)
    )
    leading = machine.leading
    if leading is not None and made.view is not None:
        leading = leading._replace(proposed=tuple(sorted({*leading.proposed, *made.view.members})))
    return world.put(number, machine._replace(attempt=kept, leading=leading))


def vote(world: World, number: int, receivers: tuple[int, ...], is_answered: bool = True) -> World:
    """The machines `asked` take the question for a vote; unless `heard`, their answers are lost."""
    for other in receivers:
        attempt = world.machines[number].attempt
        if attempt is None or attempt.view is None:
            return world
        made = _proposal(world, number, attempt)
        world, answer = _request(world, other, made, "accept")
        if not is_answered or not isinstance(answer, Accepted):
            continue
        view = made.add_vote(world.machines[other].identity, answer)
        world = _keep(world, number, made, attempt)
        if view is not None:
            return learn(world, number, view)
    return world


# documents


def heartbeat(world: World, number: int, others: tuple[int, ...], is_answered: bool = True) -> World:
    """A leader's heartbeat and document reach these machines; unless `heard`, their answers are lost."""
    for other in others:
        leader, follower = world.machines[number], world.machines[other]
        if follower.view.epoch > leader.view.epoch:
            return learn(world, number, follower.view)
        world = learn(world, other, leader.view)
        follower = world.machines[other]
        if leader.document.version >= follower.document.version:
            record = msgspec.structs.replace(follower.record, document=leader.document)
            world = world.put(other, follower._replace(record=record))
        if is_answered:
            world = _acknowledged(world, number, other)
    return check_commit(world, number)


def _acknowledged(world: World, number: int, other: int) -> World:
    leader, follower = world.machines[number], world.machines[other]
    assert leader.leading is not None
    versions = dict(leader.leading.versions)
    versions[follower.identity] = max(
        versions.get(follower.identity, DocumentVersion()), follower.document.version
    )
    leading = leader.leading._replace(versions=tuple(sorted(versions.items())))
    return world.put(number, leader._replace(leading=leading))


def check_commit(world: World, number: int) -> World:
    """Commits the leader's document where the shipped rule allows it; an observer sees that."""
    leader = world.machines[number]
    leading, document = leader.leading, leader.document
    if leading is None or (leading.committed is not None and leading.committed.version == document.version):
        return world
    versions = dict(leading.versions)

    def has_document(member: str) -> bool:
        return member == leader.identity or versions.get(member) == document.version

    planned = leader.attempt.planned if leader.attempt is not None else None
    proposed = frozenset((*leading.proposed, *(planned.members if planned is not None else ())))
    if not commit.may_commit(leader.view, proposed, world.tolerate, has_document):
        return world
    if not document.payload.startswith(world.acknowledged):
        raise ViolationError(
            f"lost: {world.acknowledged!r} was acknowledged, {document.payload!r} is committed"
        )
    world = world.put(number, leader._replace(leading=leading._replace(committed=document)))
    return world._replace(acknowledged=document.payload)


def may_write(world: World, number: int) -> bool:
    """Whether a leader takes a write: the one before it is committed."""
    leading = world.machines[number].leading
    document = world.machines[number].document
    return (
        leading is not None
        and leading.committed is not None
        and leading.committed.version == document.version
    )


def write(world: World, number: int) -> World:
    """A leader puts one more write on top of its document, on its own disk first."""
    machine = world.machines[number]
    version = DocumentVersion(machine.view.epoch, machine.document.version.sequence + 1)
    document = Document(version, machine.document.payload + bytes([world.writes + 1]))
    record = msgspec.structs.replace(machine.record, document=document)
    return world.put(number, machine._replace(record=record))._replace(writes=world.writes + 1)


def is_confirmed_leader(world: World, number: int) -> bool:
    """Whether this leader would get a final word confirmed now: a majority of its voters answers."""
    machine = world.machines[number]
    if not machine.up or machine.leading is None or machine.leading.committed is None:
        return False
    granting = [record for record in voter_records(world, number) if lease.grants(record, machine.identity)]
    return len(granting) >= machine.view.majority


def check(world: World) -> None:
    """The invariants that hold at every moment."""
    speaking = [number for number in world.up() if is_confirmed_leader(world, number)]
    if len(speaking) > 1:
        raise ViolationError(f"two leaders speak: {speaking}")
    for number in speaking:
        leading = world.machines[number].leading
        assert leading is not None and leading.committed is not None
        if not leading.committed.payload.startswith(world.acknowledged):
            raise ViolationError(f"a read at h{number} lacks what was acknowledged: {world.acknowledged!r}")


# departures


def released(world: World, number: int, unresponsive: str = "long") -> tuple[str, ...]:
    """The leaving nodes that this leader lets go."""
    leader = world.machines[number]
    assert leader.leading is not None
    committed = leader.leading.committed
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
    """Whether a process that was told to stop may end: its leader says so, or it has no part any more."""
    machine = world.machines[number]
    if machine.leading is not None:
        others = [voter for voter in machine.view.voters if voter != machine.identity]
        return not others or machine.identity in released(world, number)
    if machine.identity not in machine.view.voters and machine.identity not in machine.view.members:
        return True
    leaders = [one for one in world.up() if world.machines[one].leading and world.reaches(one, number)]
    same = [one for one in leaders if world.machines[one].view.epoch == machine.view.epoch]
    return any(machine.identity in released(world, one) for one in same)


# faults


def end(world: World, number: int) -> World:
    """The process ends; its disk stays."""
    machine = world.machines[number]
    return world.put(number, machine._replace(up=False, leading=None, attempt=None, is_leaving=False))


def start(world: World, number: int) -> World:
    """A process starts on what the disk holds."""
    machine = world.machines[number]
    return world.put(number, machine._replace(up=True, incarnation=machine.incarnation + 1))


def restart(world: World, number: int) -> World:
    """So soon that nobody has noticed."""
    return start(end(world, number), number)


def empty_record(world: World, number: int) -> NodeRecord:
    """Of a machine whose disk is empty: it is another node."""
    return new_record(f"h{number}/{world.disks_made + 1}", AcceptorRecord(NO_VIEW))


def wipe(world: World, number: int) -> World:
    """The process ends and its disk is lost."""
    record = empty_record(world, number)
    world = end(world, number)
    machine = world.machines[number]._replace(record=record, lost=True)
    return world.put(number, machine)._replace(disks_made=world.disks_made + 1)


def remove(world: World, number: int) -> World:
    """The machine is taken away for good."""
    world = end(world, number)
    return world.put(number, world.machines[number]._replace(is_removed=True, lost=False))


def add(world: World, lost: bool) -> World:
    """A machine with an empty disk at a new address; `lost`: it succeeds one that is gone unplanned."""
    number = len(world.machines)
    machine = Machine(empty_record(world, number), lost=lost)
    return world._replace(machines=(*world.machines, machine), disks_made=world.disks_made + 1)


# calm time


def calm(world: World, first: int = 0) -> World:
    """What is up runs without a fault until nothing changes any more; whoever is up counts as settled.

    Where nobody leads, the `first` of those that may stand for election does. Raises ViolationError if no
    leader with all that was acknowledged is reached.
    """
    world = before_calm(world)
    for _ in range(MAX_ROUNDS):
        after = _calm_round(world, first)
        if after == world:
            return _after_calm(world)
        world = after
    raise ViolationError("calm time goes on for ever")


def before_calm(world: World) -> World:
    """The halves meet again, and attempts under way are given up."""
    machines = tuple(machine._replace(attempt=None) for machine in world.machines)
    return world._replace(side=frozenset(), machines=machines)


def _calm_round(world: World, first: int) -> World:
    newest = max((world.machines[number].view for number in world.up()), key=lambda view: view.epoch)
    for number in world.up():
        world = learn(world, number, newest)
    leaders = [number for number in world.up() if world.machines[number].leading]
    if not leaders:
        return _calm_election(world, first)
    (leader,) = leaders
    world = heartbeat(world, leader, tuple(number for number in world.up() if number != leader))
    check(world)
    wanted = wanted_views(world, leader, "long")[:1] or [renewed_view(world, leader)]
    if wanted[0] is not None:
        return _calm_attempt(world, leader, wanted[0])
    return _calm_departures(world)


def _calm_departures(world: World) -> World:
    for number in world.up():
        if world.machines[number].is_leaving and may_stop(world, number):
            return end(world, number)
    return world


def _calm_election(world: World, first: int) -> World:
    candidates = [number for number in world.up() if may_take_over(world, number)]
    if not candidates:
        raise ViolationError("nobody may lead in calm time")
    return _calm_attempt(world, candidates[first % len(candidates)], None)


def _calm_attempt(world: World, number: int, planned: View | None) -> World:
    everybody = tuple(world.up())
    world = vote(stand(world, number, everybody, planned), number, everybody)
    if world.machines[number].attempt is not None:
        raise ViolationError("no majority of voters answers in calm time")
    return world


def _after_calm(world: World) -> World:
    check(world)
    leaders = [number for number in world.up() if is_confirmed_leader(world, number)]
    if not leaders:
        raise ViolationError("nobody serves in calm time")
    leader = world.machines[leaders[0]]
    if leader.document.payload != world.acknowledged:
        raise ViolationError(
            f"{world.acknowledged!r} was acknowledged, {leader.document.payload!r} is served"
        )
    for number in world.up():
        world = world.put(number, world.machines[number]._replace(lost=False))
    if not world.lost() and any(machine.is_leaving for machine in world.machines):
        raise ViolationError("a node that leaves is never released")
    return world


def majorities(numbers: list[int], minimum: int) -> list[tuple[int, ...]]:
    """The smallest sets of so many, and all of them at once."""
    found = list(combinations(numbers, minimum)) if len(numbers) >= minimum else []
    return found if tuple(numbers) in found or len(numbers) < minimum else [*found, tuple(numbers)]
