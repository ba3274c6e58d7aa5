"""A node's votes on the next view, and the leases that bind them. No I/O.

Invariant: while a lease binds the vote (`lease`), only the primary of the current view gets a promise or a
vote; requests of other nodes are rejected with the remaining time of the lease. A promise or vote is sent
only once it is on disk.
"""

from __future__ import annotations

from collections.abc import Callable

from wheatroute.replication import timing
from wheatroute.replication.core_state import CoreState
from wheatroute.replication.identity import host_of
from wheatroute.replication.leader import Leader
from wheatroute.replication.lease import LeaseGrant, grants
from wheatroute.replication.messages import Accept, Message, Prepare, Rejected
from wheatroute.replication.views import View


class Voter:
    """Votes on behalf of one node; `leader` is the `Leader` of the same node."""

    def __init__(self, state: CoreState, leader: Leader) -> None:
        self._state = state
        self._leader = leader
        self._lease_grant = LeaseGrant(state.now)

    def on_prepare(self, sender: str, request: Prepare) -> None:
        """Answers a request for a promise, whose base view has been learned before."""
        self._answer(sender, request.base, lambda: self._state.acceptor.prepare(request))

    def on_accept(self, sender: str, request: Accept) -> None:
        """Answers a request for a vote, whose base view has been learned before."""
        self._answer(sender, request.base, lambda: self._state.acceptor.accept(request))

    def on_lease_ended(self, epoch: int, sender: str) -> None:
        """Frees the vote of this node: `sender` has announced that its lease of this epoch ended."""
        self._lease_grant.end(epoch, sender)

    def renew_lease(self, primary: str) -> bool:
        """Grants a lease to the primary that sent a heartbeat, unless this node voted for another proposer.

        Returns whether the lease was granted.
        """
        is_granted = grants(self._state.acceptor.record, primary)
        if is_granted:
            self._lease_grant.renew(self._state.now)
        return is_granted

    def lease_remaining_s(self, base: View, proposer: str) -> float:
        """Seconds for which a lease keeps this node from voting for a view that `proposer` proposes.

        0 if no lease does. `base` is the view before the proposed one.
        """
        state = self._state
        if proposer == base.primary or base.epoch < state.view.epoch:
            return 0.0
        # A leader's own vote is bound while it has a lease; other nodes may ask again after a heartbeat
        # interval.
        if state.is_leading:
            return timing.HEARTBEAT_INTERVAL_S if self._leader.has_lease(state.now) else 0.0
        return self._lease_grant.remaining_s(state.now, base)

    def _answer(self, sender: str, base: View, vote: Callable[[], Message | None]) -> None:
        state = self._state
        remaining_s = self.lease_remaining_s(base, sender)
        if remaining_s > 0:
            state.send(host_of(sender), Rejected(state.view, state.acceptor.record.promised, remaining_s))
            return
        answer = vote()
        if isinstance(answer, Rejected):
            state.send(host_of(sender), answer)
        elif answer is not None:
            state.save(lambda: state.send(host_of(sender), answer))
