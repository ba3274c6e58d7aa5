"""Computes the view that a leader wants next: its members, its voters and its primary. No I/O.

Invariants: a node becomes a member or a voter only when it is in sync, and a member only when it has the soft
state that the members have acknowledged, since it may lead next; the members are never reduced to fewer
than `tolerate + 1`; a voter is replaced by another node, never dropped.
"""

from __future__ import annotations

from collections.abc import Callable

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
    lacks_soft_state: Callable[[str], bool] = lambda identity: False,
) -> View | None:
    """Returns the view that this leader should propose, or None if the current one needs no change.

    `version` is that of the newest acknowledged document. A node that has it is in sync: no later document is
    acknowledged before the members that this leader proposes have it. `lacks_soft_state` tells whether a node
    has yet to acknowledge soft state that the members have; it joins them only after that.
    """
    nodes = {peer.identity: peer for peer in [own, *peers]}
    synced = [
        node.identity
        for node in nodes.values()
        if node.can_replicate(now)
        and node.version >= version
        and (node.identity in view.members or not lacks_soft_state(node.identity))
    ]
    voters = _voters(view, nodes, synced, tolerate, now)
    members = _members(view, nodes, synced, voters, tolerate, now)
    primary = _primary(own, synced, members)
    if own.is_leaving or not own.is_healthy:
        members = _without(members, own.identity, primary, tolerate)
    if (primary, set(members), set(voters)) == (view.primary, set(view.members), set(view.voters)):
        return None
    return View(view.epoch + 1, primary, members, voters, nodes[primary].incarnation)


def renewed_view(view: View, incarnation: int, is_granted: bool, proposed: frozenset[str]) -> View | None:
    """Returns the current view under the next epoch, or None if the leader needs no renewal.

    Called for a leader that wants no other view. It needs a renewal in two cases:

    - It gets no lease, because voters have voted for another view (not `is_granted`).
    - It has proposed a view with members that the current one lacks, and has given up the attempt. `proposed`
      are the members of all views that it proposed. Until a renewal, no document is committed without them,
      since their view may have been decided. If one of them is lost, nothing can be committed until then.

    If another view was in fact decided, the attempt at the renewal completes that view instead.
    """
    if is_granted and proposed <= set(view.members):
        return None
    return View(view.epoch + 1, view.primary, view.members, view.voters, incarnation)


def _voters(
    view: View, nodes: dict[str, Peer], synced: list[str], tolerate: int, now: float
) -> tuple[str, ...]:
    """The voters: nodes in sync are added while there are too few voters, and then replace lost voters."""
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
    """The voter that `newcomer` replaces: one of the same host, else an unresponsive one, else a leaving one.

    A voter of the same host is the newcomer itself before it lost its disk. A leaving voter still votes until
    it is released.
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
    """The voters that are in sync, and those that are already members and can replicate.

    If these are fewer than `tolerate + 1`, lost members that are voters are kept up to that number, live ones
    first.
    """

    def is_able_member(voter: str) -> bool:
        return voter in view.members and voter in nodes and nodes[voter].can_replicate(now)

    able = [voter for voter in voters if voter in synced or is_able_member(voter)]
    lost = [member for member in view.members if member in voters and member not in able]
    # Members that are alive come first: one that is leaving or has a failing disk still runs, and may yet
    # sync the next document.
    lost.sort(key=lambda member: member not in nodes or not nodes[member].is_alive(now))
    missing = max(0, tolerate + 1 - len(able))
    return tuple([*able, *lost[:missing]])


def _primary(own: Peer, synced: list[str], members: tuple[str, ...]) -> str:
    """This leader; if it is leaving or its disk fails, the other member in sync with the lowest identity.

    If there is no such member, this leader stays the primary.
    """
    if not own.is_leaving and own.is_healthy:
        return own.identity
    others = [member for member in members if member in synced and member != own.identity]
    return min(others, default=own.identity)


def _without(members: tuple[str, ...], own: str, primary: str, tolerate: int) -> tuple[str, ...]:
    """The members without this leader if another node is to lead and more than `tolerate` members are left.

    If not, all members.
    """
    rest = tuple(member for member in members if member != own)
    return rest if primary != own and len(rest) > tolerate else members
