"""One attempt to decide the view after a known one: the proposer's side of single-decree Paxos. No I/O.

Invariant: if voters that promised have accepted views before, the one accepted under the highest number is
proposed again, since it may have been decided. Source: L. Lamport, "Paxos Made Simple", 2001, section 2.2.
"""

from __future__ import annotations

from collections.abc import Callable

from wheatroute.replication.messages import Accept, Accepted, Prepare, Promise
from wheatroute.replication.records import ProposalNumber
from wheatroute.replication.views import View

ChooseView = Callable[[View, frozenset[str]], View | None]


class Proposal:
    """Collects promises, then votes, of the voters of `base`.

    `choose` returns the view to propose, given `base` and the voters that promised; it is called only if none
    of these voters has accepted a view before, and may return None to propose nothing. `started_at` is a time
    of the monotonic clock, in seconds.
    """

    def __init__(
        self, base: View, proposal_number: ProposalNumber, choose: ChooseView, started_at: float
    ) -> None:
        self.base = base
        self.proposal_number = proposal_number
        self.started_at = started_at
        self.view: View | None = None
        self._choose = choose
        self._promises: dict[str, Promise] = {}
        self._votes: set[str] = set()
        # Seconds for which a lease binds the vote, by voter; only of voters whose vote is bound.
        self._lease_remaining_s: dict[str, float] = {}

    def prepare_request(self) -> Prepare:
        """Returns the message of the first phase, for every voter of `base`."""
        return Prepare(self.base, self.proposal_number)

    def add_promise(self, voter: str, promise: Promise) -> Accept | None:
        """Counts a promise; returns the message of the second phase once a majority has promised."""
        if not self._is_answer(voter, promise):
            return None
        self._promises[voter] = promise
        if self.view is not None or len(self._promises) < self.base.majority:
            return None
        self.view = self._previously_accepted() or self._choose(self.base, frozenset(self._promises))
        if self.view is None:
            return None
        return Accept(self.base, self.proposal_number, self.view)

    def add_vote(self, voter: str, vote: Accepted) -> View | None:
        """Counts a vote; returns the view once a majority has voted, which makes it decided."""
        if not self._is_answer(voter, vote):
            return None
        self._votes.add(voter)
        return self.view if len(self._votes) >= self.base.majority else None

    def add_bound_vote(self, voter: str, lease_remaining_s: float) -> bool:
        """Records that a lease binds a vote; returns True if too few free votes are left for a majority."""
        if voter in self.base.voters:
            self._lease_remaining_s[voter] = lease_remaining_s
        return len(self.base.voters) - len(self._lease_remaining_s) < self.base.majority

    @property
    def max_lease_remaining_s(self) -> float:
        """Seconds until all votes bound by leases are free."""
        return max(self._lease_remaining_s.values(), default=0.0)

    def _is_answer(self, voter: str, answer: Promise | Accepted) -> bool:
        """Whether a voter of `base` sent the answer, and to this proposal."""
        is_of_base = voter in self.base.voters and answer.epoch == self.base.epoch
        return is_of_base and answer.proposal_number == self.proposal_number

    def _previously_accepted(self) -> View | None:
        """Of the views that voters in `_promises` have accepted, the one accepted under the highest number.

        It must be proposed again, since it may have been decided. None if they have accepted no view.
        """
        accepted = [promise for promise in self._promises.values() if promise.accepted_view is not None]
        if not accepted:
            return None
        return max(accepted, key=lambda promise: promise.accepted).accepted_view
