"""Which view a node proposes that takes over from a silent primary; free of I/O and clock."""

from __future__ import annotations

from wheatroute.replication.views import View


def takeover_view(base: View, promised: frozenset[str], own: str, incarnation: int, tolerate: int) -> View:
    """The node `own` leads, with those members of the last view that answer.

    `promised` are the voters whose promises were received; `process` is the process of `own`. Members that
    don't answer stay while too few would be left: a view of one member would end for good with its disk. One
    that stays holds all that was acknowledged: nothing is acknowledged before every member is in sync.
    """
    there = [one for one in base.members if one == own or one in promised]
    lost = [one for one in base.members if one not in there]
    missing = max(0, tolerate + 1 - len(there))
    return View(base.epoch + 1, own, (*there, *lost[:missing]), base.voters, incarnation)
