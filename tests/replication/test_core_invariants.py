"""The state of a core keeps its invariants after each input, and each violated invariant is detected."""

from random import Random

import msgspec
import pytest
from replication.histories import random_history

from wheatroute.replication.core import ReplicationCore
from wheatroute.replication.invariants import InvariantError, validate_state
from wheatroute.replication.records import (
    AcceptorRecord,
    Document,
    DocumentVersion,
    ProposalNumber,
    new_record,
)
from wheatroute.replication.views import View, genesis_view

HISTORIES = 12
INPUTS = ("tick", "receive", "saved", "save_failed", "write", "confirm_leadership", "leave")
HOSTS = ("h0", "h1", "h2")
VIEW = genesis_view(HOSTS)


class ValidatedCore(ReplicationCore):
    """A core whose state is validated after each of its inputs."""

    validations = 0


def validated(name):
    """Returns the input method of this name, followed by a validation."""

    def method(self, *arguments):
        effects = getattr(ReplicationCore, name)(self, *arguments)
        validate_state(self._state, self.committed)
        ValidatedCore.validations += 1
        return effects

    return method


for _name in INPUTS:
    setattr(ValidatedCore, _name, validated(_name))


def test_random_histories_keep_the_invariants_of_every_node():
    ValidatedCore.validations = 0
    for seed in range(HISTORIES):
        random_history(seed, make_core=ValidatedCore)
    assert ValidatedCore.validations > 10_000


def core_state(record=None):
    record = record or new_record("h0/0", AcceptorRecord(VIEW))
    return ReplicationCore(record, HOSTS, 1, Random(1), 0.0)._state


def with_votes(**fields):
    return core_state(new_record("h0/0", AcceptorRecord(VIEW, **fields)))


def with_view(**fields):
    return core_state(new_record("h0/0", AcceptorRecord(msgspec.structs.replace(VIEW, **fields))))


def leading(primary, incarnation=0):
    state = with_view(primary=primary)
    state.is_leading = True
    view = msgspec.structs.replace(state.view, incarnation=state.incarnation + incarnation)
    state.acceptor.record = AcceptorRecord(view)
    return state


def with_document(version):
    state = core_state()
    state.document = Document(version, b"")
    return state


NUMBER, LATER = ProposalNumber(1, "h1/0", 3), ProposalNumber(2, "h1/0", 3)
NEXT = View(1, "h1/0", VIEW.members, VIEW.voters)


def test_a_valid_state_passes():
    validate_state(core_state(), None)
    validate_state(with_votes(promised=NUMBER, accepted=NUMBER, accepted_view=NEXT), None)
    validate_state(leading("h0/0"), Document(DocumentVersion(), b""))


@pytest.mark.parametrize(
    ("state", "committed", "invariant"),
    [
        (lambda: with_view(voters=("h0/0", "h0/0", "h1/0", "h2/0")), None, "listed once"),
        (lambda: with_view(members=("h9/0",)), None, "members are voters"),
        (lambda: with_view(primary="h9/0"), None, "primary is a member"),
        (
            lambda: with_votes(promised=NUMBER, accepted=LATER, accepted_view=NEXT),
            None,
            "older than the promise",
        ),
        (lambda: with_votes(promised=NUMBER, accepted=NUMBER), None, "a number and a view"),
        (lambda: with_votes(promised=NUMBER, accepted=NUMBER, accepted_view=VIEW), None, "for the next view"),
        (lambda: with_document(DocumentVersion(-1, 0)), None, "ahead of the memory"),
        (lambda: with_document(DocumentVersion(5, 1)), None, "of a later view"),
        (core_state, Document(DocumentVersion(), b""), "only a leader commits"),
        (lambda: leading("h0/0"), Document(DocumentVersion(0, 1), b""), "ahead of the document"),
        (lambda: leading("h1/0"), None, "the primary of its view"),
        (lambda: leading("h0/0", incarnation=1), None, "the process it names"),
    ],
)
def test_a_violated_invariant_is_detected(state, committed, invariant):
    with pytest.raises(InvariantError, match=invariant):
        validate_state(state(), committed)
