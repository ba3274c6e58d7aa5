"""A node's own attempts to decide the next view, one at a time. No I/O.

Transitions: none -> preparing (`propose`) -> accepting (a majority promised) -> decided (a majority voted).
An attempt also ends when a newer view is learned, when a voter has promised a higher number, when leases bind
too many votes, and after `timing.PROPOSAL_TIMEOUT_S`. In the last three cases, the next attempt starts after
a random delay; if leases bound the votes, this delay begins when they have ended. Source: see `proposal`.
"""

from __future__ import annotations

from wheatroute.replication import timing
from wheatroute.replication.core_state import CoreState
from wheatroute.replication.messages import Accepted, Promise, Rejected
from wheatroute.replication.proposal import ChooseView, Proposal
from wheatroute.replication.records import ProposalNumber
from wheatroute.replication.views import View


class Proposer:
    """Proposes views on behalf of one node, both in elections and for a leader's changes of its view."""

    def __init__(self, state: CoreState) -> None:
        self._state = state
        self._proposal: Proposal | None = None
        self._next_attempt_at = state.now
        self._highest_number = state.acceptor.record.promised.number
        # Members of all views for which votes were requested since the current view was decided. They are
        # kept when an attempt is given up, since its view may have been decided, or may yet be decided by
        # another node that completes the attempt.
        self._proposed_members: frozenset[str] = frozenset()
        # Members of the view for which the current attempt will request votes, unless a promise names
        # another view.
        self._planned_members: frozenset[str] = frozenset()

    @property
    def is_proposing(self) -> bool:
        """Whether an attempt is under way."""
        return self._proposal is not None

    @property
    def can_propose(self) -> bool:
        """Whether a new attempt may begin now."""
        return not self.is_proposing and self._state.now >= self._next_attempt_at

    @property
    def proposed_members(self) -> frozenset[str]:
        """The members of all views for which this node requested votes since the current one was decided."""
        return self._proposed_members

    @property
    def possible_members(self) -> frozenset[str]:
        """The proposed members and, during an attempt, the planned ones: a commit needs all of them.

        A document that is committed during the attempt, before votes are requested, must be on the disks of
        the planned members too, since any of them may lead once the view is decided.
        """
        return self._proposed_members | self._planned_members if self.is_proposing else self._proposed_members

    def propose(self, choose: ChooseView, planned_members: frozenset[str] = frozenset()) -> None:
        """Starts an attempt; `planned_members` are the members of the view that `choose` will return.

        A leader passes them; a candidate passes none, since it commits nothing during the attempt.
        """
        state = self._state
        self._highest_number += 1
        number = ProposalNumber(self._highest_number, state.identity, state.incarnation)
        self._proposal = Proposal(state.view, number, choose, state.now)
        self._planned_members = planned_members
        state.send_to_voters(state.view, self._proposal.prepare_request())

    def expire(self) -> None:
        """Gives up an attempt that has lasted too long."""
        if self._proposal is None:
            return
        if self._state.now - self._proposal.started_at > timing.PROPOSAL_TIMEOUT_S:
            self._give_up()

    def cancel(self) -> None:
        """Ends the current attempt; the next one may start without a delay."""
        self._proposal = None

    def on_view_decided(self, view: View) -> None:
        """Ends an attempt at this view or an earlier one, and forgets the members proposed so far.

        `core` calls it for each view that it learns.
        """
        if self._proposal is not None and self._proposal.base.epoch < view.epoch:
            self._proposal = None
        self._proposed_members = frozenset()

    def on_promise(self, sender: str, promise: Promise) -> None:
        """Counts a promise, and requests votes once a majority has promised."""
        if self._proposal is None:
            return
        request = self._proposal.add_promise(sender, promise)
        if request is None:
            return
        self._proposed_members |= set(request.view.members)
        self._state.send_to_voters(self._proposal.base, request)

    def on_accepted(self, sender: str, vote: Accepted) -> View | None:
        """Counts a vote; returns the view that it decides, if any."""
        if self._proposal is None:
            return None
        view = self._proposal.add_vote(sender, vote)
        if view is not None:
            self._proposal = None
        return view

    def observe_number(self, number: ProposalNumber) -> None:
        """Records a number that another node has used, so that this node's next number is higher."""
        self._highest_number = max(self._highest_number, number.number)

    def on_rejected(self, sender: str, rejection: Rejected) -> None:
        """Gives the attempt up if it can't succeed any more."""
        if self._proposal is None:
            return
        remaining_s = rejection.lease_remaining_s
        if rejection.promised > self._proposal.proposal_number:
            self._give_up()
        elif remaining_s > 0 and self._proposal.add_bound_vote(sender, remaining_s):
            self._give_up(self._proposal.max_lease_remaining_s)

    def _give_up(self, wait_s: float = 0.0) -> None:
        self._proposal = None
        jitter_s = timing.RETRY_JITTER_S * self._state.rng.random()
        self._next_attempt_at = self._state.now + wait_s + timing.MIN_RETRY_DELAY_S + jitter_s
