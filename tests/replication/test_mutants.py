"""Random histories detect faults injected into replication; `test_voting` detects those in votes."""

import pytest
from replication.histories import random_history
from replication.mutants import MUTANTS, RULES, with_rule
from replication.simulation import ViolationError

MAX_HISTORIES = 500  # a fault that so many histories don't show counts as not detected


def first_violation(make_core=None):
    """Returns the message of the violated invariant, None if there is none, and the number of histories."""
    for seed in range(MAX_HISTORIES):
        try:
            random_history(seed, **({"make_core": make_core} if make_core else {}))
        except ViolationError as error:
            return str(error), seed
    return None, MAX_HISTORIES


@pytest.mark.parametrize("name", MUTANTS)
def test_a_fault_in_the_core_is_detected(name):
    message, _ = first_violation(MUTANTS[name])
    assert message is not None


@pytest.mark.parametrize("name", RULES)
def test_a_fault_in_the_choice_of_views_is_detected(name):
    with with_rule(name):
        message, _ = first_violation()
    assert message is not None
