"""Which view a leader wants next: who is in sync, who has a voter, who leads."""

from __future__ import annotations

from wheatroute.replication.identity import host_of
from wheatroute.replication.peers import SEAT_LOST, Peer
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
    known = {peer.identity: peer for peer in [own, *peers]}
    synced = [one.identity for one in known.values() if one.fit(now) and one.version >= version]
    voters = _voters(view, known, synced, tolerate, now)
    members = _members(view, known, synced, voters, tolerate, now)
    primary = _primary(own, known, synced, members)
    if own.is_leaving or not own.is_healthy:
        members = _without(members, own.identity, primary, tolerate)
    if (primary, set(members), set(voters)) == (view.primary, set(view.members), set(view.voters)):
        return None
    return View(view.epoch + 1, primary, members, voters, known[primary].incarnation)


def renewed_view(view: View, incarnation: int, granted: bool, proposed: frozenset[str]) -> View | None:
    """The present view once more, for a leader that wants no other one; None if it needs none.

    It needs one where voters that voted for another view keep it from its lease (not `granted`), and where it
    has proposed a view and given that up: `proposed` are the members of such views. No document is committed
    without them, since that view may have been decided, and they may be lost meanwhile. If another view was
    decided, the attempt completes it in this one's place.
    """
    if granted and proposed <= set(view.members):
        return None
    return View(view.epoch + 1, view.primary, view.members, view.voters, incarnation)


def _voters(
    view: View, known: dict[str, Peer], synced: list[str], tolerate: int, now: float
) -> tuple[str, ...]:
    """The voters, with free or lost ones given to nodes that are in sync."""
    voters = list(view.voters)
    for newcomer in synced:
        if newcomer in voters:
            continue
        if len(voters) < 2 * tolerate + 1:
            voters.append(newcomer)
            continue
        lost = _lost_voter(voters, known, newcomer, now)
        if lost is not None:
            voters[voters.index(lost)] = newcomer
    return tuple(voters)


def _lost_voter(voters: list[str], known: dict[str, Peer], newcomer: str, now: float) -> str | None:
    """The voter of a node that lost its disk, else of one long silent, else of one that is leaving.

    One that is leaving still votes until it is released.
    """
    same_host = [voter for voter in voters if host_of(voter) == host_of(newcomer)]
    silent = [voter for voter in voters if voter not in known or now - known[voter].answered > SEAT_LOST]
    leaving = [voter for voter in voters if voter in known and known[voter].is_leaving]
    return next(iter([*same_host, *silent, *leaving]), None)


def _members(
    view: View, known: dict[str, Peer], synced: list[str], voters: tuple[str, ...], tolerate: int, now: float
) -> tuple[str, ...]:
    """Those in sync; lost ones stay while fewer than can be lost at once, plus one, would be left."""
    fit = [
        voter
        for voter in voters
        if voter in synced or (voter in view.members and voter in known and known[voter].fit(now))
    ]
    lost = [member for member in view.members if member in voters and member not in fit]
    # one that is leaving or has a disk in trouble is still there, and may sync what is acknowledged next
    lost.sort(key=lambda member: member not in known or not known[member].alive(now))
    missing = tolerate + 1 - len(fit)
    return tuple([*fit, *lost[: max(0, missing)]])


def _primary(own: Peer, known: dict[str, Peer], synced: list[str], members: tuple[str, ...]) -> str:
    if not own.is_leaving and own.is_healthy:
        return own.identity
    others = [member for member in members if member in synced and member != own.identity]
    return min(others, default=own.identity)


def _without(members: tuple[str, ...], own: str, primary: str, tolerate: int) -> tuple[str, ...]:
    rest = tuple(member for member in members if member != own)
    return rest if primary != own and len(rest) > tolerate else members
