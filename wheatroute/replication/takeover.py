"""Computes the view that a node proposes to take over from an unresponsive primary. No I/O."""

from __future__ import annotations

from wheatroute.replication.views import View


def takeover_view(base: View, promised: frozenset[str], own: str, incarnation: int, tolerate: int) -> View:
    """Returns a view that the node `own` leads, with the members of `base` that answer.

    `promised` are the voters whose promises were received; `incarnation` is that of `own`. Members that don't
    answer stay if fewer than `tolerate + 1` members would be left without them: a view with a single member
    would end for good if that member's disk were lost. A member that stays holds everything that was
    acknowledged, since nothing is acknowledged before every member is in sync.
    """
    answering = [member for member in base.members if member == own or member in promised]
    lost = [member for member in base.members if member not in answering]
    missing = max(0, tolerate + 1 - len(answering))
    return View(base.epoch + 1, own, (*answering, *lost[:missing]), base.voters, incarnation)
