"""Checks the invariants of one node's replication. No I/O; tests call it after each input of a core."""

from __future__ import annotations

from wheatroute.replication.core_state import CoreState
from wheatroute.replication.records import AcceptorRecord, Document, ProposalNumber
from wheatroute.replication.views import View


class InvariantError(AssertionError):
    """The state of a core breaks the invariant that the message states."""


def validate_state(state: CoreState, committed: Document | None) -> None:
    """Raises InvariantError if the state of a core breaks an invariant.

    `committed` is the newest document that this node committed as a leader.
    """
    _validate_view(state.view)
    _validate_votes(state.acceptor.record)
    _validate_documents(state)
    _validate_leadership(state, committed)


def _validate_view(view: View) -> None:
    _require(len(set(view.voters)) == len(view.voters), "a voter is listed once")
    _require(set(view.members) <= set(view.voters), "members are voters")
    _require(not view.primary or view.primary in view.members, "the primary is a member")


def _validate_votes(record: AcceptorRecord) -> None:
    _require(record.accepted <= record.promised, "no vote is older than the promise")
    has_voted = record.accepted_view is not None
    _require(has_voted == (record.accepted != ProposalNumber()), "a vote has a number and a view")
    if record.accepted_view is not None:
        _require(record.accepted_view.epoch == record.view.epoch + 1, "a vote is for the next view")


def _validate_documents(state: CoreState) -> None:
    version = state.document.version
    _require(state.record_writer.version_on_disk <= version, "the disk is never ahead of the memory")
    _require(version.epoch <= max(0, state.view.epoch), "no document is of a later view")


def _validate_leadership(state: CoreState, committed: Document | None) -> None:
    if committed is not None:
        _require(state.is_leading, "only a leader commits")
        _require(committed.version <= state.document.version, "what is committed isn't ahead of the document")
    if state.is_leading:
        _require(state.view.primary == state.identity, "a leader is the primary of its view")
        _require(state.view.incarnation == state.incarnation, "a view is led by the process it names")


def _require(holds: bool, invariant: str) -> None:
    if not holds:
        raise InvariantError(invariant)
