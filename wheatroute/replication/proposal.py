"""One attempt to decide the view after a known one."""

from __future__ import annotations

from collections.abc import Callable

from wheatroute.replication.messages import Accept, Accepted, Prepare, Promise
from wheatroute.replication.records import ProposalNumber
from wheatroute.replication.views import View

Choice = Callable[[View, frozenset[str]], View | None]


class Proposal:
    """Collects promises, then votes, of the voters of `base`.

    `choose` makes the view to propose from `base` and the voters that promised; it is asked only if no voter
    has accepted another view before, and may return None to give the attempt up.
    """

    def __init__(self, base: View, proposal_number: ProposalNumber, choose: Choice, started: float) -> None:
        self.base = base
        self.proposal_number = proposal_number
        self.started = started
        self.view: View | None = None
        self._choose = choose
        self._promises: dict[str, Promise] = {}
        self._votes: set[str] = set()
        self._bound: dict[str, float] = {}  # seconds, by voter

    def prepare(self) -> Prepare:
        """The question of the first phase."""
        return Prepare(self.base, self.proposal_number)

    def promised(self, voter: str, promise: Promise) -> Accept | None:
        """Takes a promise in; the question of the second phase once a majority has promised."""
        if (
            voter not in self.base.voters
            or promise.epoch != self.base.epoch
            or promise.proposal_number != self.proposal_number
        ):
            return None
        self._promises[voter] = promise
        if self.view is not None or len(self._promises) < self.base.majority:
            return None
        self.view = self._earlier() or self._choose(self.base, frozenset(self._promises))
        if self.view is None:
            return None
        return Accept(self.base, self.proposal_number, self.view)

    def _earlier(self) -> View | None:
        """The view of the highest proposal number that any of them has accepted: it may have been decided."""
        accepted = [one for one in self._promises.values() if one.accepted_view is not None]
        if not accepted:
            return None
        return max(accepted, key=lambda one: one.accepted).accepted_view

    def accepted(self, voter: str, vote: Accepted) -> View | None:
        """Takes a vote in; the view once a majority has voted, which makes it decided."""
        if (
            voter not in self.base.voters
            or vote.epoch != self.base.epoch
            or vote.proposal_number != self.proposal_number
        ):
            return None
        self._votes.add(voter)
        return self.view if len(self._votes) >= self.base.majority else None

    def bound(self, voter: str, seconds: float) -> bool:
        """A voter's vote is bound by a lease; true if too few are left for a majority."""
        if voter in self.base.voters:
            self._bound[voter] = seconds
        return len(self.base.voters) - len(self._bound) < self.base.majority

    @property
    def longest_bound(self) -> float:
        """Seconds until all votes are free that were bound."""
        return max(self._bound.values(), default=0.0)
