"""Which view a leader wants next: who are its members, who its voters, who leads. No I/O.

Invariants: a node becomes a member or a voter only when it is in sync; members never become fewer than can be
lost at once, plus one; a voter is replaced by another node, never dropped.
"""

from __future__ import annotations

from wheatroute.replication.identity import host_of
from wheatroute.replication.peers import VOTER_LOST_TIMEOUT_S, Peer
from wheatroute.replication.records import DocumentVersion
from wheatroute.replication.views import View


def next_view(
    view: View,
    own: Peer,
    peers: list[Peer],
    version: DocumentVersion,
    tolerate: int,
    now: float,
) -> View | None:
    """The view that this leader should propose, or None if the present one is as it should be.

    In sync is who has the document of `version`, the newest that was acknowledged: no later one is, before
    those have it whom this leader proposes as members.
    """
    nodes = {peer.identity: peer for peer in [own, *peers]}
    synced = [node.identity for node in nodes.values() if node.can_replicate(now) and node.version >= version]
    voters = _voters(view, nodes, synced, tolerate, now)
    members = _members(view, nodes, synced, voters, tolerate, now)
    primary = _primary(own, synced, members)
    if own.is_leaving or not own.is_healthy:
        members = _without(members, own.identity, primary, tolerate)
    if (primary, set(members), set(voters)) == (view.primary, set(view.members), set(view.voters)):
        return None
    return View(view.epoch + 1, primary, members, voters, nodes[primary].incarnation)


def renewed_view(view: View, incarnation: int, is_granted: bool, proposed: frozenset[str]) -> View | None:
    """The present view once more, for a leader that wants no other one; None if it needs none.

    It needs one where voters that voted for another view keep it from its lease (not `is_granted`), and
    where it has proposed a view and given that up: `proposed` are the members of such views. No document is
    committed without them, since that view may have been decided, and they may be lost meanwhile. If
    another view was decided, the attempt completes it in this one's place.
    """
    if is_granted and proposed <= set(view.members):
        return None
    return View(view.epoch + 1, view.primary, view.members, view.voters, incarnation)


def _voters(
    view: View, nodes: dict[str, Peer], synced: list[str], tolerate: int, now: float
) -> tuple[str, ...]:
    """The voters; nodes in sync are added while there are too few, and succeed lost ones."""
    voters = list(view.voters)
    for newcomer in synced:
        if newcomer in voters:
            continue
        if len(voters) < 2 * tolerate + 1:
            voters.append(newcomer)
            continue
        lost = _lost_voter(voters, nodes, newcomer, now)
        if lost is not None:
            voters[voters.index(lost)] = newcomer
    return tuple(voters)


def _lost_voter(voters: list[str], nodes: dict[str, Peer], newcomer: str, now: float) -> str | None:
    """The voter that `newcomer` succeeds: one whose disk it lost, else an unresponsive, else a leaving one.

    One that is leaving still votes until it is released.
    """
    same_host = [voter for voter in voters if host_of(voter) == host_of(newcomer)]
    unresponsive = [
        voter
        for voter in voters
        if voter not in nodes or now - nodes[voter].last_answer_at > VOTER_LOST_TIMEOUT_S
    ]
    leaving = [voter for voter in voters if voter in nodes and nodes[voter].is_leaving]
    return next(iter([*same_host, *unresponsive, *leaving]), None)


def _members(
    view: View, nodes: dict[str, Peer], synced: list[str], voters: tuple[str, ...], tolerate: int, now: float
) -> tuple[str, ...]:
    """Voters in sync; lost members stay while fewer than can be lost at once, plus one, would be left."""

    def is_able_member(voter: str) -> bool:
        return voter in view.members and voter in nodes and nodes[voter].can_replicate(now)

    able = [voter for voter in voters if voter in synced or is_able_member(voter)]
    lost = [member for member in view.members if member in voters and member not in able]
    # one that is leaving or has a failing disk still runs, and may sync what is acknowledged next
    lost.sort(key=lambda member: member not in nodes or not nodes[member].is_alive(now))
    missing = max(0, tolerate + 1 - len(able))
    return tuple([*able, *lost[:missing]])


def _primary(own: Peer, synced: list[str], members: tuple[str, ...]) -> str:
    """This leader, or the first of the other members in sync where this one leaves or has a failing disk."""
    if not own.is_leaving and own.is_healthy:
        return own.identity
    others = [member for member in members if member in synced and member != own.identity]
    return min(others, default=own.identity)


def _without(members: tuple[str, ...], own: str, primary: str, tolerate: int) -> tuple[str, ...]:
    """The members without this leader, where another one leads and enough are left."""
    rest = tuple(member for member in members if member != own)
    return rest if primary != own and len(rest) > tolerate else members
