"""The leader's rule for which leaving nodes are released, that is, may stop. No I/O.

A leaving node stays a voter, and keeps its copy of the document, until others have taken over its roles. It
is released once two conditions hold: it is not a member of the current view, whose members all hold every
acknowledged document; and it is not a voter, or is one that no other node could replace. If all voters are
leaving, all leaving nodes are released at once.
"""

from __future__ import annotations

from wheatroute.replication.peers import Peer
from wheatroute.replication.views import View


def released_nodes(view: View, own: Peer, peers: list[Peer], is_settled: bool, now: float) -> tuple[str, ...]:
    """Returns the leaving nodes that may stop.

    `is_settled`: the leader wants no other view, and all members of the current view have its document on
    disk.
    """
    nodes = [own, *peers]
    leaving = [node.identity for node in nodes if node.is_leaving]
    if all(voter in leaving for voter in view.voters):
        return tuple(leaving)
    if not is_settled:
        return ()
    successors = [node for node in nodes if node.can_replicate(now) and node.identity not in view.voters]
    return tuple(identity for identity in leaving if _is_dispensable(identity, view, bool(successors)))


def _is_dispensable(identity: str, view: View, has_successor: bool) -> bool:
    if identity in view.members or identity == view.primary:
        return False
    return identity not in view.voters or not has_successor
