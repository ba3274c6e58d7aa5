"""Faults put into replication on purpose are found by drawn histories; those of votes by `test_voting`."""

import pytest
from replication.histories import random_history
from replication.mutants import MUTANTS, RULES, with_rule
from replication.simulation import ViolationError

MAX_HISTORIES = 500  # histories until a fault counts as not found


def found_by(make_core=None):
    """The message of the invariant that shows the fault, and after how many histories."""
    for seed in range(MAX_HISTORIES):
        try:
            random_history(seed, **({"make_core": make_core} if make_core else {}))
        except ViolationError as error:
            return str(error), seed
    return None, MAX_HISTORIES


@pytest.mark.parametrize("name", MUTANTS)
def test_a_fault_in_the_core_is_found(name):
    message, _ = found_by(MUTANTS[name])
    assert message is not None


@pytest.mark.parametrize("name", RULES)
def test_a_fault_in_the_choice_of_views_is_found(name):
    with with_rule(name):
        message, _ = found_by()
    assert message is not None
