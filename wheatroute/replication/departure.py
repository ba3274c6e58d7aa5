"""Which nodes that are about to stop are released: a rule of the leader. No I/O.

A node that leaves stays a voter, and keeps its copy of the document, until others have taken its roles
over. It is released once it is no member of a view whose members all hold what is acknowledged, and no
voter where there is another node to succeed it as one. Where all voters are leaving, nobody is held back.
"""

from __future__ import annotations

from wheatroute.replication.peers import Peer
from wheatroute.replication.views import View


def released_nodes(view: View, own: Peer, peers: list[Peer], is_settled: bool, now: float) -> tuple[str, ...]:
    """The leaving nodes that may stop.

    `is_settled`: the leader wants no other view, and all members of this one have synced its document.
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
