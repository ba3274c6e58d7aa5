"""Every order in which the messages of two proposals can arrive at the voters, and any of them not at all."""

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
    """Three acceptors, two proposals, and the messages that are on their way."""

    def __init__(self, acceptor, proposal):
        self.acceptors = {voter: acceptor(voter, AcceptorRecord(BASE)) for voter in VOTERS}
        self.proposals = [
            proposal(
                BASE, ProposalNumber(number, name), lambda base, promised, name=name: next_view(name), 0.0
            )
            for number, name in ((1, "a"), (2, "b"))
        ]
        self.in_flight = [
            (voter, one, proposal.prepare_request())
            for one, proposal in enumerate(self.proposals)
            for voter in VOTERS
        ]
        self.decided = set()

    def copy(self):
        """Records and messages are frozen: only what holds them is copied."""
        other = copy(self)
        other.acceptors = {voter: copy(one) for voter, one in self.acceptors.items()}
        other.proposals = [copy(one) for one in self.proposals]
        for one in other.proposals:
            one._promises, one._votes = dict(one._promises), set(one._votes)
        other.in_flight, other.decided = list(self.in_flight), set(self.decided)
        return other

    def key(self):
        """States that differ only in which voter is which are one."""
        chosen = tuple(one.view is not None and one.view.primary for one in self.proposals)
        return chosen, tuple(sorted(self._voter_key(voter) for voter in VOTERS))

    def _voter_key(self, voter):
        record = self.acceptors[voter].record
        told = tuple(
            (
                voter in one._promises and one.view is None and one._promises[voter].accepted.number + 1,
                voter in one._votes,
            )
            for one in self.proposals
        )
        in_flight = sorted(
            (number, type(message).__name__, message.accepted.number if isinstance(message, Promise) else 0)
            for other, number, message in self.in_flight
            if other == voter
        )
        return record.promised.number, record.accepted.number, told, tuple(in_flight)

    def deliver(self, place):
        """One message arrives; what follows from it is on its way."""
        voter, number, message = self.in_flight.pop(place)
        proposal, acceptor = self.proposals[number], self.acceptors[voter]
        if isinstance(message, Prepare | Accept):
            answer = acceptor.prepare(message) if isinstance(message, Prepare) else acceptor.accept(message)
            if isinstance(answer, Promise | Accepted):
                self.in_flight.append((voter, number, answer))
        elif isinstance(message, Promise):
            question = proposal.add_promise(voter, message)
            if question is not None:
                # further promises change nothing
                self.in_flight = [
                    one for one in self.in_flight if one[1] != number or not isinstance(one[2], Promise)
                ]
                self.in_flight += [(other, number, question) for other in VOTERS]
        else:
            view = proposal.add_vote(voter, message)
            if view is not None:
                self.decided.add(view)
                # nor do further votes
                self.in_flight = [
                    one for one in self.in_flight if one[1] != number or not isinstance(one[2], Accepted)
                ]


def explore(acceptor=Acceptor, proposal=Proposal):
    """How many states there are, and whether two views are decided in any of them."""
    begin = State(acceptor, proposal)
    seen, stack = {begin.key()}, [begin]
    while stack:
        state = stack.pop()
        if len(state.decided) > 1:
            return len(seen), True
        for place in range(len(state.in_flight)):
            following = state.copy()
            following.deliver(place)
            key = following.key()
            if key not in seen:
                seen.add(key)
                stack.append(following)
    return len(seen), False


def test_two_proposals_never_decide_two_views_in_any_order():
    states, two = explore()
    assert not two and states > 10_000


def test_an_acceptor_that_promises_anything_is_found():
    assert explore(PromisesAnything)[1]


def test_an_acceptor_that_forgets_its_vote_is_found():
    assert explore(ForgetsItsVote)[1]


def test_an_acceptor_that_stores_no_vote_is_found():
    assert explore(KeepsNoVote)[1]


def test_a_proposal_that_overrides_votes_is_found():
    assert explore(proposal=ProposesOver)[1]
