"""Every sequence of steps of views, voters, members and disks, to a stated depth; faults put in are found."""

import pytest
from replication.membership_beyond import TABLE, outcome
from replication.membership_mutants import MUTANTS, with_mutant
from replication.membership_slices import SLICES, explored

# by slice, with the states that each has: fewer would mean that steps are no longer taken
STATES = {
    "everything": 4096,
    "lost disks": 6144,
    "departures": 1800,
    "votes": 26290,
    "given up": 424,
    "returning": 460,
    "proposed": 9342,
    "takeovers": 16928,
    "five voters": 1363,
}
# a slice in which each fault shows
SHOWN = {
    "members that are not in sync": "lost disks",
    "members fewer than may be lost": "takeovers",
    "a voter beside the one that was lost": "lost disks",
    "a takeover alone": "lost disks",
    "a takeover that calls all in sync": "returning",
    "a takeover that drops voters": "lost disks",
    "a commit beside a proposed view": "proposed",
    "a commit on any majority": "lost disks",
    "a commit on one disk": "lost disks",
    "a leaver that goes at once": "departures",
    "a leaver that is never released": "departures",
    "no renewal": "departures",
    "a proposal given up is not renewed": "given up",
    "an accepted view passed over": "lost disks",
    "a lost disk under its old identity": "lost disks",
}


@pytest.mark.parametrize("name", SLICES)
def test_no_sequence_within_what_may_be_lost_breaks_an_invariant(name):
    found = explored(SLICES[name])
    assert not found.violation, "\n".join([found.violation, *found.trace])
    assert found.is_complete and found.states >= STATES[name]


@pytest.mark.parametrize("name", MUTANTS)
def test_a_fault_put_into_voters_members_or_departures_is_found(name):
    with with_mutant(name):
        assert explored(SLICES[SHOWN[name]]).violation


@pytest.mark.parametrize("name", TABLE)
def test_what_losses_beyond_what_may_be_lost_leave_behind(name):
    machines, tolerate, losses, left = TABLE[name]
    assert outcome(machines, tolerate, losses) == left
