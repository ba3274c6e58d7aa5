"""Which view a node proposes that takes over from an unresponsive primary. No I/O."""

from __future__ import annotations

from wheatroute.replication.views import View


def takeover_view(base: View, promised: frozenset[str], own: str, incarnation: int, tolerate: int) -> View:
    """The node `own` leads, with those members of the last view that answer.

    `promised` are the voters whose promises were received; `incarnation` is that of `own`. Members that don't
    answer stay while too few would be left: a view of one member would end for good with its disk. One that
    stays holds all that was acknowledged: nothing is acknowledged before every member is in sync.
    """
    answering = [member for member in base.members if member == own or member in promised]
    lost = [member for member in base.members if member not in answering]
    missing = max(0, tolerate + 1 - len(answering))
    return View(base.epoch + 1, own, (*answering, *lost[:missing]), base.voters, incarnation)
