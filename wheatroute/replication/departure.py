"""Which nodes that are about to stop may go: a rule of the leader, free of I/O and clock.

A node that leaves keeps its voter and its copy until others have them. It is released once it is no member of
a view whose members all hold what is acknowledged, and its voter has gone to another node where there is one
to take it. Where all voters are leaving, nobody is held back.
"""

from __future__ import annotations

from wheatroute.replication.peers import Peer
from wheatroute.replication.views import View


def released(view: View, own: Peer, peers: list[Peer], settled: bool, now: float) -> tuple[str, ...]:
    """The leaving nodes that may stop.

    `settled`: the leader wants no other view, and all members of this one have synced its document.
    """
    known = [own, *peers]
    leaving = [one.identity for one in known if one.is_leaving]
    if all(voter in leaving for voter in view.voters):
        return tuple(leaving)
    if not settled:
        return ()
    staying = [one for one in known if one.fit(now)]
    successors = [one for one in staying if one.identity not in view.voters]
    return tuple(one for one in leaving if _dispensable(one, view, bool(successors)))


def _dispensable(identity: str, view: View, seats_can_pass_on: bool) -> bool:
    if identity in view.members or identity == view.primary:
        return False
    return identity not in view.voters or not seats_can_pass_on
