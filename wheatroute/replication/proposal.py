"""One attempt to decide the view after a known one."""

from __future__ import annotations

from collections.abc import Callable

from wheatroute.replication.view import Accept, Accepted, Ballot, Prepare, Promise, View

Choice = Callable[[View, frozenset[str]], View | None]


class Proposal:
    """Collects promises, then votes, of the seats of `base`.

    `choose` makes the view to propose from `base` and the seats that promised; it is asked only if no seat
    has accepted another view before, and may return None to give the attempt up.
    """

    def __init__(self, base: View, ballot: Ballot, choose: Choice, started: float) -> None:
        self.base = base
        self.ballot = ballot
        self.started = started
        self.view: View | None = None
        self._choose = choose
        self._promises: dict[str, Promise] = {}
        self._votes: set[str] = set()
        self._bound: dict[str, float] = {}  # seconds, by seat

    def prepare(self) -> Prepare:
        """The question of the first phase."""
        return Prepare(self.base, self.ballot)

    def promised(self, seat: str, promise: Promise) -> Accept | None:
        """Takes a promise in; the question of the second phase once a majority has promised."""
        if seat not in self.base.seats or promise.epoch != self.base.epoch or promise.ballot != self.ballot:
            return None
        self._promises[seat] = promise
        if self.view is not None or len(self._promises) < self.base.majority:
            return None
        self.view = self._earlier() or self._choose(self.base, frozenset(self._promises))
        if self.view is None:
            return None
        return Accept(self.base, self.ballot, self.view)

    def _earlier(self) -> View | None:
        """The view of the highest ballot that any of them has accepted: it may have been decided."""
        accepted = [one for one in self._promises.values() if one.accepted_view is not None]
        if not accepted:
            return None
        return max(accepted, key=lambda one: one.accepted).accepted_view

    def accepted(self, seat: str, vote: Accepted) -> View | None:
        """Takes a vote in; the view once a majority has voted, which makes it decided."""
        if seat not in self.base.seats or vote.epoch != self.base.epoch or vote.ballot != self.ballot:
            return None
        self._votes.add(seat)
        return self.view if len(self._votes) >= self.base.majority else None

    def bound(self, seat: str, seconds: float) -> bool:
        """A seat's vote is bound by a lease; true if too few are left for a majority."""
        if seat in self.base.seats:
            self._bound[seat] = seconds
        return len(self.base.seats) - len(self._bound) < self.base.majority

    @property
    def longest_bound(self) -> float:
        """Seconds until all votes are free that were bound."""
        return max(self._bound.values(), default=0.0)
