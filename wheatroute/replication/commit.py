"""The rule for when a leader may commit its document. No I/O."""

from __future__ import annotations

from collections.abc import Callable

from wheatroute.replication.views import View


def may_commit(
    view: View, proposed: frozenset[str], tolerate: int, has_document: Callable[[str], bool]
) -> bool:
    """Whether the leader of `view` may commit its document.

    `has_document` tells whether a node has the document on disk. Every member must have it, and there must be
    enough members for it to survive the loss of `tolerate` disks. Members are voters, so a system with fewer
    than `tolerate + 1` voters (a single node, or one that others have yet to join) can't have that many:
    there it suffices that every voter is a member, since without this exception nothing could be committed.

    `proposed` are the members of the views that this leader has proposed or is about to propose. They must
    have the document too: one of those views may be decided, now or by other nodes later, and any of its
    members may lead the view after it.
    """
    needed = min(tolerate + 1, len(view.voters))
    if len(view.members) < needed:
        return False
    return all(has_document(member) for member in {*view.members, *proposed})
