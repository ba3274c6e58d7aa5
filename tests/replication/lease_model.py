"""Explores every order of heartbeats, answers, votes and restarts around one lease, in steps of a clock.

Node `a` leads a view with the voters a, b and c, and sends heartbeats; the voters may help to decide another
view that b proposes. A message may be in flight for any time; one that is older than `OLDEST` is lost. The
clock of `a` is as slow and those of the voters are as fast as `lease.CLOCK_DRIFT` allows. The production
`LeaseGrant`, `grants` and `Peers`, looked up in their modules at each call, decide what each node does.

Times in a state are ages in steps; ages above `OLDEST` make no difference.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from wheatroute.replication import lease, peers
from wheatroute.replication.messages import HeartbeatAck
from wheatroute.replication.records import AcceptorRecord, DocumentVersion, ProposalNumber
from wheatroute.replication.views import View

STEP = 0.05  # seconds
OLDEST = 14  # the largest age, in steps; longer than any grant
NOW = 1000.0  # the current time on every clock, in seconds
SLOW, FAST = 1.0, 1.0 + lease.CLOCK_DRIFT - 0.001  # rates of the leader's clock and of the voters' clocks
VIEW = View(1, "a/0", ("a/0", "b/0", "c/0"), ("a/0", "b/0", "c/0"))
OTHER = View(2, "b/0", VIEW.members, VIEW.voters)
VOTERS = ("b/0", "c/0")  # the voters other than the leader

Ages = tuple[tuple[str, int], ...]  # pairs of a voter and an age in steps


class State(NamedTuple):
    """The state of the leader, the voters and the messages at one moment."""

    # Heartbeats in flight, with the time since each was sent.
    heartbeats: Ages = ()
    # Answers in flight, with the time since the heartbeat that each answers was sent.
    answers: Ages = ()
    # Time since the newest heartbeat that each voter has answered was sent, as the leader counts it.
    granted: Ages = ()
    # Time since each voter granted the lease last, or started.
    renewed: Ages = tuple((voter, OLDEST) for voter in VOTERS)
    voted: frozenset[str] = frozenset()  # voters that accepted the other view
    sent: int = 0
    restarts: int = 0


class Limits(NamedTuple):
    """The largest numbers of heartbeats and restarts."""

    heartbeats: int = 2  # heartbeats, each of them to both voters
    restarts: int = 1  # restarts of voters


def voter_record(state: State, voter: str) -> AcceptorRecord:
    """What a voter has on disk."""
    if voter not in state.voted:
        return AcceptorRecord(VIEW)
    proposal_number = ProposalNumber(1, "b/0")
    return AcceptorRecord(VIEW, proposal_number, proposal_number, OTHER)


def has_lease(state: State) -> bool:
    """Whether `a` has a lease now."""
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
    """Yields every state that may follow."""
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


def _without(ages: Ages, entry: tuple[str, int]) -> Ages:
    remaining = list(ages)
    remaining.remove(entry)
    return tuple(remaining)


def _without_heartbeat(state: State, heartbeat: tuple[str, int]) -> State:
    return state._replace(heartbeats=_without(state.heartbeats, heartbeat))


def _without_answer(state: State, answer: tuple[str, int]) -> State:
    return state._replace(answers=_without(state.answers, answer))


def _delivered(state: State, heartbeat: tuple[str, int]) -> State:
    """A voter receives a heartbeat; it answers and grants a lease if it hasn't voted for another view."""
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
    """The leader receives an answer."""
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
    """A voter's process restarts: it has forgotten its grants, but not its vote, which is on disk."""
    grant = lease.LeaseGrant(NOW)
    age = round((NOW + lease.GRANT_S - grant._bound_until) / (STEP * FAST))
    renewed = {**dict(state.renewed), voter: min(OLDEST, age)}
    return state._replace(renewed=tuple(sorted(renewed.items())), restarts=state.restarts + 1)


def explore(limits: Limits) -> tuple[int, State | None]:
    """Returns the number of states, and one in which the other view is decided during a lease, if any."""
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
