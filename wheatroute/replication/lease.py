"""The lease of a primary: who grants it, how long it holds, and why two leaders never hold one at once.

A primary may serve on its own while a majority of its view's voters has answered heartbeats that it *sent*
within the last `LEADER_LEASE_S`. A voter that answers a heartbeat binds its vote for `GRANT_S` from the
moment of its answer: until then it accepts no view that another node proposes. A voter that has accepted such
a view grants no lease any more.

Every majority that accepts a view shares a voter with every majority that grants a lease, and `GRANT_S` is
longer than `LEADER_LEASE_S` on any two clocks whose rates differ by less than `CLOCK_DRIFT`. So the lease has
ended before the next view can be decided. Source: C. Gray, D. Cheriton, "Leases", SOSP 1989; the vote of a
lease's grantor as in T. Chandra, R. Griesemer, J. Redstone, "Paxos Made Live", PODC 2007, section 5.2.

A process that starts doesn't know which leases the process before it granted, so its vote is bound for
`GRANT_S` from its start. A lease ends with the process that held it, and when a leader gives it up: the
primary announces that (`LeaseEnded`), which frees every vote at once.

No I/O; the caller passes in times of the monotonic clock, in seconds.
"""

from __future__ import annotations

from wheatroute.replication.records import AcceptorRecord
from wheatroute.replication.views import View

# A leader's lease lasts this long from the sending of a heartbeat that a majority answered.
LEADER_LEASE_S = 0.5
# A voter's vote is bound this long from its answer to a heartbeat.
GRANT_S = 0.55
# The rates of two monotonic clocks may differ by this fraction: 1.04 * LEADER_LEASE_S < GRANT_S.
CLOCK_DRIFT = 0.04


class LeaseGrant:
    """Tracks until when one voter's vote is bound to the primary of its view."""

    def __init__(self, started_at: float) -> None:
        self._bound_until = started_at + GRANT_S
        # Epoch and primary of the lease that was last announced as ended.
        self._ended: tuple[int, str] | None = None

    def renew(self, now: float) -> None:
        """Binds the vote for `GRANT_S` from now on; called when a heartbeat of the primary is answered."""
        self._bound_until = now + GRANT_S

    def end(self, epoch: int, primary: str) -> None:
        """Frees the vote, because the primary of this epoch has given up its lease."""
        self._ended = (epoch, primary)

    def remaining_s(self, now: float, base: View) -> float:
        """Seconds for which this voter's vote on the view after `base` is bound, 0 if it is free."""
        if not base.primary or self._ended == (base.epoch, base.primary):
            return 0.0
        return max(0.0, self._bound_until - now)


def grants(record: AcceptorRecord, primary: str) -> bool:
    """Whether a voter with this record still grants a lease: it has accepted no view of another proposer."""
    return record.accepted_view is None or record.accepted.proposed_by(primary)
