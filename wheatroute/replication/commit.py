"""When a leader's document is committed. No I/O."""

from __future__ import annotations

from collections.abc import Callable

from wheatroute.replication.views import View


def may_commit(
    view: View, proposed: frozenset[str], tolerate: int, has_document: Callable[[str], bool]
) -> bool:
    """Whether the leader of `view` may commit a document that the nodes of `has_document` have on disk.

    Every member has it, and so many that it outlives the loss of `tolerate` disks. Members are voters, so a
    system with fewer than `tolerate + 1` voters (a single node, or one that others have yet to join) can't
    have that many: there each voter must be a member, else it could never commit anything.

    `proposed` are the members of the views that this leader has proposed, or is about to: one of those may be
    decided, now or by others later, and any of its members may lead the view after it.
    """
    needed = min(tolerate + 1, len(view.voters))
    if len(view.members) < needed:
        return False
    return all(has_document(member) for member in {*view.members, *proposed})
