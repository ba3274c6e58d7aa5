"""Explores all sequences of membership steps up to a stated depth; injected faults are detected."""

import pytest
from replication.membership_beyond import TABLE, outcome
from replication.membership_mutants import MUTANTS, with_mutant
from replication.membership_slices import SLICES, explore_slice

# The number of states of each slice; fewer would mean that some steps are no longer explored.
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
# For each fault, a slice whose exploration detects it.
DETECTED_BY = {
    "members that are not in sync": "lost disks",
    "too few members for the tolerated losses": "takeovers",
    "a voter in addition to the lost one": "lost disks",
    "a takeover with a single member": "lost disks",
    "a takeover that treats every voter as in sync": "returning",
    "a takeover that drops voters": "lost disks",
    "a commit without the members of a proposed view": "proposed",
    "a commit on any majority": "lost disks",
    "a commit on one disk": "lost disks",
    "a leaving node that stops at once": "departures",
    "a leaving node that is never released": "departures",
    "no renewal": "departures",
    "a proposal given up is not renewed": "given up",
    "an accepted view that is ignored": "lost disks",
    "a lost disk under its old identity": "lost disks",
}


@pytest.mark.parametrize("name", SLICES)
def test_no_sequence_of_tolerated_losses_breaks_an_invariant(name):
    found = explore_slice(SLICES[name])
    assert not found.violation, "\n".join([found.violation, *found.trace])
    assert found.is_complete and found.states >= STATES[name]


@pytest.mark.parametrize("name", MUTANTS)
def test_a_fault_in_voters_members_or_departures_is_detected(name):
    with with_mutant(name):
        assert explore_slice(SLICES[DETECTED_BY[name]]).violation


@pytest.mark.parametrize("name", TABLE)
def test_the_outcome_of_more_losses_than_tolerated(name):
    machines, tolerate, losses, expected = TABLE[name]
    assert outcome(machines, tolerate, losses) == expected
