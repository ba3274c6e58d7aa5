"""Every order of heartbeats, answers, votes and restarts around one lease, in whole steps of a clock.

Node `a` leads a view with the voters a, b and c, and sends heartbeats; the voters may help to decide another
view that b proposes. A message may be on its way for any time; one that is older than `OLDEST` is lost. The
clock of `a` is as slow and those of the voters are as fast as `lease.CLOCK_DRIFT` allows. What each does at a
moment is asked of the shipped `LeaseGrant`, `grants` and `Peers`, looked up in their modules at each call.

Times in a state are ages in steps; none matters that is longer than `OLDEST`.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from wheatroute.replication import lease, peers
from wheatroute.replication.messages import HeartbeatAck
from wheatroute.replication.records import AcceptorRecord, DocumentVersion, ProposalNumber
from wheatroute.replication.views import View

STEP = 0.05  # seconds
OLDEST = 14  # steps; longer than any grant
NOW = 1000.0  # of a look, on either clock
SLOW, FAST = 1.0, 1.0 + lease.CLOCK_DRIFT - 0.001  # rates of the leader's clock and of the voters'
VIEW = View(1, "a/0", ("a/0", "b/0", "c/0"), ("a/0", "b/0", "c/0"))
OTHER = View(2, "b/0", VIEW.members, VIEW.voters)
VOTERS = ("b/0", "c/0")  # beside that of the leader

Ages = tuple[tuple[str, int], ...]  # by voter


class State(NamedTuple):
    """One moment."""

    heartbeats: Ages = ()  # on their way, with the age of their sending
    answers: Ages = ()  # the same, of the heartbeat that each answers
    granted: Ages = ()  # what the leader counts by: the age of the sending, at least as it takes it
    renewed: Ages = tuple(
        (voter, OLDEST) for voter in VOTERS
    )  # since each voter granted the lease, or started
    voted: frozenset[str] = frozenset()  # voters that accepted the other view
    sent: int = 0
    restarts: int = 0


class Limits(NamedTuple):
    """How much may happen."""

    heartbeats: int = 2  # heartbeats, each to both voters
    restarts: int = 1  # of voters


def voter_record(state: State, voter: str) -> AcceptorRecord:
    """What a voter has on disk."""
    if voter not in state.voted:
        return AcceptorRecord(VIEW)
    proposal_number = ProposalNumber(1, "b/0")
    return AcceptorRecord(VIEW, proposal_number, proposal_number, OTHER)


def has_lease(state: State) -> bool:
    """Whether `a` may act alone now."""
    leader_peers = peers.Peers("a/0")
    for voter, age in state.granted:
        leader_peers.get(voter).granted_sent_at = NOW - age * STEP * SLOW
    return leader_peers.has_lease(VIEW, NOW, lease.grants(voter_record(state, "a/0"), "a/0"))


def is_bound(state: State, voter: str) -> bool:
    """Whether a voter's vote is bound to `a` now."""
    if voter == "a/0":
        return has_lease(state)
    grant = lease.LeaseGrant(NOW)
    grant._bound_until = NOW - dict(state.renewed)[voter] * STEP * FAST + lease.GRANT_S
    return grant.remaining_s(NOW, VIEW) > 0


def following(state: State, limits: Limits) -> Iterator[State]:
    """Everything that may happen next."""
    yield _later(state)
    if state.sent < limits.heartbeats:
        heartbeats = (*state.heartbeats, *((voter, 0) for voter in VOTERS))
        yield state._replace(heartbeats=tuple(sorted(heartbeats)), sent=state.sent + 1)
    for heartbeat in set(state.heartbeats):
        yield _delivered(state, heartbeat)
    for answer in set(state.answers):
        yield _counted(state, answer)
    for voter in VIEW.voters:
        if voter not in state.voted and not is_bound(state, voter):
            yield state._replace(voted=state.voted | {voter})
    if state.restarts < limits.restarts:
        for voter in VOTERS:
            yield _restarted(state, voter)


def _later(state: State) -> State:
    """One step of the clock."""

    def older(ages: Ages) -> Ages:
        return tuple((voter, min(OLDEST, age + 1)) for voter, age in ages)

    def in_flight(ages: Ages) -> Ages:
        return tuple((voter, age) for voter, age in older(ages) if age < OLDEST)

    return state._replace(
        heartbeats=in_flight(state.heartbeats),
        answers=in_flight(state.answers),
        granted=older(state.granted),
        renewed=older(state.renewed),
    )


def _without(ages: Ages, one: tuple[str, int]) -> Ages:
    left = list(ages)
    left.remove(one)
    return tuple(left)


def _without_heartbeat(state: State, heartbeat: tuple[str, int]) -> State:
    return state._replace(heartbeats=_without(state.heartbeats, heartbeat))


def _without_answer(state: State, answer: tuple[str, int]) -> State:
    return state._replace(answers=_without(state.answers, answer))


def _delivered(state: State, heartbeat: tuple[str, int]) -> State:
    """A voter takes a heartbeat; it answers with a lease if it hasn't voted for another view."""
    state = _without_heartbeat(state, heartbeat)
    voter = heartbeat[0]
    if not lease.grants(voter_record(state, voter), "a/0"):
        return state
    grant = lease.LeaseGrant(-1e9)
    grant.renew(NOW)
    age = (NOW + lease.GRANT_S - grant._bound_until) / (STEP * FAST)
    renewed = tuple(sorted({**dict(state.renewed), voter: round(age)}.items()))
    return state._replace(renewed=renewed, answers=tuple(sorted((*state.answers, heartbeat))))


def _counted(state: State, answer: tuple[str, int]) -> State:
    """The leader takes an answer."""
    voter, age = answer
    leader_peers = peers.Peers("a/0")
    leader_peers._heartbeat_sent_at[1] = NOW - age * STEP * SLOW
    ack = HeartbeatAck(
        epoch=1, number=1, version=DocumentVersion(), is_healthy=True, is_leaving=False, is_lease_granted=True
    )
    leader_peers.on_heartbeat_ack(voter, ack, NOW)
    counted = round((NOW - leader_peers.get(voter).granted_sent_at) / (STEP * SLOW))
    granted = {**dict(state.granted)}
    granted[voter] = min(granted.get(voter, OLDEST), counted)
    return _without_answer(state, answer)._replace(granted=tuple(sorted(granted.items())))


def _restarted(state: State, voter: str) -> State:
    """A voter's process starts anew: of its grants it knows nothing, of its vote all."""
    grant = lease.LeaseGrant(NOW)
    age = round((NOW + lease.GRANT_S - grant._bound_until) / (STEP * FAST))
    renewed = {**dict(state.renewed), voter: min(OLDEST, age)}
    return state._replace(renewed=tuple(sorted(renewed.items())), restarts=state.restarts + 1)


def explore(limits: Limits) -> tuple[int, State | None]:
    """How many states there are, and one in which the other view is decided beside a lease, if any."""
    waiting, seen = [State()], {State()}
    while waiting:
        state = waiting.pop()
        if len(state.voted) >= VIEW.majority and has_lease(state):
            return len(seen), state
        for after in following(state, limits):
            if after not in seen:
                seen.add(after)
                waiting.append(after)
    return len(seen), None
