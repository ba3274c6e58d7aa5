"""Faults to inject into voters, members, takeovers and departures; the exploration must detect each."""

from contextlib import ExitStack, contextmanager

import msgspec
from replication import membership_model
from replication.simulation import patched

from wheatroute.replication import commit, departure, proposal, reconfiguration, takeover
from wheatroute.replication.proposal import Proposal
from wheatroute.replication.records import AcceptorRecord, new_record
from wheatroute.replication.views import View

_VOTERS = reconfiguration._voters
_TAKEOVER, _EMPTY_RECORD = takeover.takeover_view, membership_model.empty_record


def all_voters_are_members(view, nodes, synced, voters, tolerate, now):
    """Makes all voters members, in sync or not."""
    return voters


def members_in_sync_only(view, nodes, synced, voters, tolerate, now):
    """Keeps only members in sync, even if fewer than `tolerate + 1` are left."""
    return tuple(voter for voter in voters if voter in synced)


def voter_beside_the_lost_one(view, nodes, synced, tolerate, now):
    """Adds a machine that lost its disk as a voter, and keeps its old identity as a voter too."""
    voters = list(_VOTERS(view, nodes, synced, tolerate, now))
    for newcomer in synced:
        if newcomer not in voters:
            voters.append(newcomer)
    for voter in view.voters:
        if voter not in voters:
            voters.append(voter)
    return tuple(voters)


def takeover_by_one_member(base, promised, own, incarnation, tolerate):
    """Takes over with a view of one member."""
    return View(base.epoch + 1, own, (own,), base.voters, incarnation)


def takeover_of_all_that_promised(base, promised, own, incarnation, tolerate):
    """Makes every voter that promised a member, in sync or not."""
    return View(base.epoch + 1, own, tuple(sorted(promised | {own})), base.voters, incarnation)


def takeover_with_the_voters_that_promised(base, promised, own, incarnation, tolerate):
    """Drops the voters that did not promise, without a replacement."""
    view = _TAKEOVER(base, promised, own, incarnation, tolerate)
    return msgspec.structs.replace(view, voters=tuple(sorted(promised | {own})))


def commit_by_the_present_view_only(view, proposed, tolerate, has_document):
    """Commits without the proposed members, even while a view with them may have been decided."""
    return len(view.members) >= tolerate + 1 and all(has_document(member) for member in view.members)


def commit_by_any_majority(view, proposed, tolerate, has_document):
    """Commits once any majority of voters has the document, members or not."""
    return sum(1 for voter in view.voters if has_document(voter)) >= view.majority


def commit_on_one_disk(view, proposed, tolerate, has_document):
    return any(has_document(member) for member in view.members)


def released_at_once(view, own, peers, is_settled, now):
    return tuple(one.identity for one in [own, *peers] if one.is_leaving)


def never_released(view, own, peers, is_settled, now):
    return ()


def never_renewed(view, incarnation, granted, proposed):
    return None


def renewed_for_votes_only(view, incarnation, granted, proposed):
    """Renews a view only for votes, so that a proposed view that was given up blocks commits for ever."""
    return None if granted else View(view.epoch + 1, view.primary, view.members, view.voters, incarnation)


class ProposesOver(Proposal):
    """Ignores views that were accepted before."""

    def _previously_accepted(self):
        return None


def same_identity(world, number):
    """Starts a lost disk under its old identity and in its old view, as if it had kept its record."""
    if number == len(world.machines):
        return _EMPTY_RECORD(world, number)
    machine = world.machines[number]
    return new_record(machine.identity, AcceptorRecord(machine.view))


MUTANTS = {
    "members that are not in sync": [(reconfiguration, {"_members": all_voters_are_members})],
    "too few members for the tolerated losses": [(reconfiguration, {"_members": members_in_sync_only})],
    "a voter in addition to the lost one": [(reconfiguration, {"_voters": voter_beside_the_lost_one})],
    "a takeover with a single member": [(takeover, {"takeover_view": takeover_by_one_member})],
    "a takeover that treats every voter as in sync": [
        (takeover, {"takeover_view": takeover_of_all_that_promised})
    ],
    "a takeover that drops voters": [(takeover, {"takeover_view": takeover_with_the_voters_that_promised})],
    "a commit without the members of a proposed view": [
        (commit, {"may_commit": commit_by_the_present_view_only})
    ],
    "a commit on any majority": [(commit, {"may_commit": commit_by_any_majority})],
    "a commit on one disk": [(commit, {"may_commit": commit_on_one_disk})],
    "a leaving node that stops at once": [(departure, {"released_nodes": released_at_once})],
    "a leaving node that is never released": [(departure, {"released_nodes": never_released})],
    "no renewal": [(reconfiguration, {"renewed_view": never_renewed})],
    "a proposal given up is not renewed": [(reconfiguration, {"renewed_view": renewed_for_votes_only})],
    "an accepted view that is ignored": [(proposal, {"Proposal": ProposesOver})],
    "a lost disk under its old identity": [(membership_model, {"empty_record": same_identity})],
}


@contextmanager
def with_mutant(name):
    """Injects one fault of `MUTANTS` within a `with` block."""
    with ExitStack() as stack:
        for module, names in MUTANTS[name]:
            stack.enter_context(patched(module, **names))
        yield
