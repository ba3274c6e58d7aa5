"""The lease of a primary: who grants it, how long it holds, and why two leaders never hold one at once.

A primary may act alone while a majority of its view's voters has answered heartbeats that it *sent* within
`LEADER_LEASE_S`. A voter that answers a heartbeat binds its vote for `GRANT_S` from the moment of its
answer: until then it accepts no view that another node proposes. A voter that has accepted such a view
grants nothing any more. Every majority that accepts a view shares a voter with every majority that grants a
lease, and `GRANT_S` is longer than `LEADER_LEASE_S` on any two clocks whose rates differ by less than
`CLOCK_DRIFT`, so the lease has ended before the next view can be decided. Source: C. Gray, D. Cheriton,
"Leases", SOSP 1989; the vote of a lease's grantor as in T. Chandra, R. Griesemer, J. Redstone, "Paxos Made
Live", PODC 2007, section 5.2.

A process that starts doesn't know what it granted before its end, so its vote is bound for `GRANT_S` from
its start. A lease ends with the process that held it, and when a leader gives it up: the primary announces it
(`LeaseEnded`), which frees every vote at once. No I/O; times are of the steady clock, in seconds, and are
handed in.
"""

from __future__ import annotations

from wheatroute.replication.records import AcceptorRecord
from wheatroute.replication.views import View

LEADER_LEASE_S = 0.5  # since a heartbeat was sent that a majority answered
GRANT_S = 0.55  # since the answer to a heartbeat
CLOCK_DRIFT = 0.04  # by which the rates of two steady clocks may differ: 1.04 * LEADER_LEASE_S < GRANT_S


class LeaseGrant:
    """What one voter has granted: until when its vote is bound to the primary of its view."""

    def __init__(self, started_at: float) -> None:
        self._bound_until = started_at + GRANT_S
        self._ended: tuple[int, str] | None = None  # epoch and primary of the newest lease that was given up

    def renew(self, now: float) -> None:
        """Binds the vote for `GRANT_S` from now on; called when a heartbeat of the primary is answered."""
        self._bound_until = now + GRANT_S

    def end(self, epoch: int, primary: str) -> None:
        """Frees the vote: the primary of this epoch has given its lease up."""
        self._ended = (epoch, primary)

    def remaining_s(self, now: float, base: View) -> float:
        """Seconds for which this voter's vote on the view after `base` is bound, 0 if it is free."""
        if not base.primary or self._ended == (base.epoch, base.primary):
            return 0.0
        return max(0.0, self._bound_until - now)


def grants(record: AcceptorRecord, primary: str) -> bool:
    """Whether a voter with this record still grants a lease: it has accepted no view of another proposer."""
    return record.accepted_view is None or record.accepted.proposed_by(primary)
