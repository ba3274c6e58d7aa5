"""Which view a leader wants next: who is in sync, who has a seat, who leads."""

from __future__ import annotations

from wheatroute.replication.peers import SEAT_LOST, Peer
from wheatroute.replication.view import Stamp, View, host_of


def next_view(
    view: View,
    own: Peer,
    peers: list[Peer],
    stamp: Stamp,
    tolerate: int,
    now: float,
) -> View | None:
    """The view that this leader should propose, or None if the present one is as it should be.

    In sync is who has the document of `stamp`, the newest that was acknowledged: no later one is, before
    those have it whom this leader proposes as members.
    """
    known = {peer.identity: peer for peer in [own, *peers]}
    synced = [one.identity for one in known.values() if one.fit(now) and one.stamp >= stamp]
    seats = _seats(view, known, synced, tolerate, now)
    members = _members(view, known, synced, seats, tolerate, now)
    primary = _primary(own, known, synced, members)
    if own.leaving or not own.healthy:
        members = _without(members, own.identity, primary, tolerate)
    if (primary, set(members), set(seats)) == (view.primary, set(view.members), set(view.seats)):
        return None
    return View(view.epoch + 1, primary, members, seats, known[primary].process)


def renewed_view(view: View, process: int, granted: bool, proposed: frozenset[str]) -> View | None:
    """The present view once more, for a leader that wants no other one; None if it needs none.

    It needs one where seats that voted for another view keep it from its lease (not `granted`), and where it
    has proposed a view and given that up: `proposed` are the members of such views. No document is committed
    without them, since that view may have been decided, and they may be lost meanwhile. If another view was
    decided, the attempt completes it in this one's place.
    """
    if granted and proposed <= set(view.members):
        return None
    return View(view.epoch + 1, view.primary, view.members, view.seats, process)


def _seats(
    view: View, known: dict[str, Peer], synced: list[str], tolerate: int, now: float
) -> tuple[str, ...]:
    """The seats, with free or lost ones given to nodes that are in sync."""
    seats = list(view.seats)
    for newcomer in synced:
        if newcomer in seats:
            continue
        if len(seats) < 2 * tolerate + 1:
            seats.append(newcomer)
            continue
        lost = _lost_seat(seats, known, newcomer, now)
        if lost is not None:
            seats[seats.index(lost)] = newcomer
    return tuple(seats)


def _lost_seat(seats: list[str], known: dict[str, Peer], newcomer: str, now: float) -> str | None:
    """The seat of a node that lost its disk, else of one long silent, else of one that is leaving.

    One that is leaving still votes until it is released.
    """
    same_host = [seat for seat in seats if host_of(seat) == host_of(newcomer)]
    silent = [seat for seat in seats if seat not in known or now - known[seat].answered > SEAT_LOST]
    leaving = [seat for seat in seats if seat in known and known[seat].leaving]
    return next(iter([*same_host, *silent, *leaving]), None)


def _members(
    view: View, known: dict[str, Peer], synced: list[str], seats: tuple[str, ...], tolerate: int, now: float
) -> tuple[str, ...]:
    """Those in sync; lost ones stay while fewer than can be lost at once, plus one, would be left."""
    fit = [
        seat
        for seat in seats
        if seat in synced or (seat in view.members and seat in known and known[seat].fit(now))
    ]
    lost = [member for member in view.members if member in seats and member not in fit]
    # one that is leaving or has a disk in trouble is still there, and may sync what is acknowledged next
    lost.sort(key=lambda member: member not in known or not known[member].alive(now))
    missing = tolerate + 1 - len(fit)
    return tuple([*fit, *lost[: max(0, missing)]])


def _primary(own: Peer, known: dict[str, Peer], synced: list[str], members: tuple[str, ...]) -> str:
    if not own.leaving and own.healthy:
        return own.identity
    others = [member for member in members if member in synced and member != own.identity]
    return min(others, default=own.identity)


def _without(members: tuple[str, ...], own: str, primary: str, tolerate: int) -> tuple[str, ...]:
    rest = tuple(member for member in members if member != own)
    return rest if primary != own and len(rest) > tolerate else members
