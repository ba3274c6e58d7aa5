"""Explores every order in which the messages of two proposals can arrive, any of which may be lost."""

from copy import copy

from replication.mutants import ForgetsItsVote, KeepsNoVote, PromisesAnything, ProposesOver

from wheatroute.replication.acceptor import Acceptor
from wheatroute.replication.messages import Accept, Accepted, Prepare, Promise
from wheatroute.replication.proposal import Proposal
from wheatroute.replication.records import AcceptorRecord, ProposalNumber
from wheatroute.replication.views import View

VOTERS = ("a", "b", "c")
BASE = View(0, "", VOTERS, VOTERS)


def next_view(name):
    return View(1, name, (name,), VOTERS)


class State:
    """Three acceptors, two proposals, and the messages in flight."""

    def __init__(self, acceptor, proposal):
        self.acceptors = {voter: acceptor(voter, AcceptorRecord(BASE)) for voter in VOTERS}
        self.proposals = [
            proposal(
                BASE, ProposalNumber(number, name), lambda base, promised, name=name: next_view(name), 0.0
            )
            for number, name in ((1, "a"), (2, "b"))
        ]
        # Triples of the voter to or from which a message is sent, the index of its proposal, and the message.
        self.in_flight = [
            (voter, number, proposal.prepare_request())
            for number, proposal in enumerate(self.proposals)
            for voter in VOTERS
        ]
        self.decided = set()

    def copy(self):
        """Copies the containers only, since records and messages are immutable."""
        other = copy(self)
        other.acceptors = {voter: copy(item) for voter, item in self.acceptors.items()}
        other.proposals = [copy(item) for item in self.proposals]
        for item in other.proposals:
            item._promises, item._votes = dict(item._promises), set(item._votes)
        other.in_flight, other.decided = list(self.in_flight), set(self.decided)
        return other

    def key(self):
        """Returns a key that is equal for states that differ only by a permutation of the voters."""
        chosen = tuple(item.view is not None and item.view.primary for item in self.proposals)
        return chosen, tuple(sorted(self._voter_key(voter) for voter in VOTERS))

    def _voter_key(self, voter):
        record = self.acceptors[voter].record
        progress = tuple(
            (
                voter in item._promises and item.view is None and item._promises[voter].accepted.number + 1,
                voter in item._votes,
            )
            for item in self.proposals
        )
        in_flight = sorted(
            (number, type(message).__name__, message.accepted.number if isinstance(message, Promise) else 0)
            for other, number, message in self.in_flight
            if other == voter
        )
        return record.promised.number, record.accepted.number, progress, tuple(in_flight)

    def deliver(self, index):
        """Delivers one message in flight, and adds the answer or the requests that follow from it."""
        voter, number, message = self.in_flight.pop(index)
        proposal, acceptor = self.proposals[number], self.acceptors[voter]
        if isinstance(message, Prepare | Accept):
            answer = acceptor.prepare(message) if isinstance(message, Prepare) else acceptor.accept(message)
            if isinstance(answer, Promise | Accepted):
                self.in_flight.append((voter, number, answer))
        elif isinstance(message, Promise):
            request = proposal.add_promise(voter, message)
            if request is not None:
                # Further promises change nothing, so they are dropped to save states.
                self.in_flight = [
                    item for item in self.in_flight if item[1] != number or not isinstance(item[2], Promise)
                ]
                self.in_flight += [(other, number, request) for other in VOTERS]
        else:
            view = proposal.add_vote(voter, message)
            if view is not None:
                self.decided.add(view)
                # Further votes change nothing, so they are dropped to save states.
                self.in_flight = [
                    item for item in self.in_flight if item[1] != number or not isinstance(item[2], Accepted)
                ]


def explore(acceptor=Acceptor, proposal=Proposal):
    """Returns the number of states, and whether two views are decided in any of them."""
    initial = State(acceptor, proposal)
    seen, stack = {initial.key()}, [initial]
    while stack:
        state = stack.pop()
        if len(state.decided) > 1:
            return len(seen), True
        for index in range(len(state.in_flight)):
            successor = state.copy()
            successor.deliver(index)
            key = successor.key()
            if key not in seen:
                seen.add(key)
                stack.append(successor)
    return len(seen), False


def test_two_proposals_never_decide_two_views_in_any_order():
    states, is_violated = explore()
    assert not is_violated and states > 10_000


def test_an_acceptor_that_promises_anything_is_detected():
    assert explore(PromisesAnything)[1]


def test_an_acceptor_that_forgets_its_vote_is_detected():
    assert explore(ForgetsItsVote)[1]


def test_an_acceptor_that_stores_no_vote_is_detected():
    assert explore(KeepsNoVote)[1]


def test_a_proposal_that_overrides_votes_is_detected():
    assert explore(proposal=ProposesOver)[1]
