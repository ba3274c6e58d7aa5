"""Views: each is one configuration of the control nodes, numbered by its epoch. No I/O.

A view names its primary, its members (whose disks hold every acknowledged document) and its voters (a
majority of whom decides the view after it). Keys on the wire and on disk must stay those of earlier versions.
"""

from __future__ import annotations

import msgspec

from wheatroute.replication.identity import genesis_identity


class View(msgspec.Struct, frozen=True):
    """Who leads, who holds every acknowledged document, and who votes on the next view.

    `incarnation` identifies the process of the primary that may lead: a restarted process doesn't know what
    the process before it has sent in this epoch.
    """

    epoch: int
    primary: str
    members: tuple[str, ...]
    voters: tuple[str, ...] = msgspec.field(name="seats")
    incarnation: int = msgspec.field(default=0, name="process")

    @property
    def majority(self) -> int:
        """The number of voters that can decide the view after this one."""
        return len(self.voters) // 2 + 1


# The view of a node that has not learned any.
NO_VIEW = View(epoch=-1, primary="", members=(), voters=())


def genesis_view(seed_hosts: tuple[str, ...]) -> View:
    """Returns the view from which every seed starts: it has no primary, and every seed may lead next."""
    voters = tuple(sorted(genesis_identity(host) for host in seed_hosts))
    return View(epoch=0, primary="", members=voters, voters=voters)
