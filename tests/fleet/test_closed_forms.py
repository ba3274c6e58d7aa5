"""Compares the simulated servers with closed forms of queueing theory, with few enough jobs for CI."""

from random import Random

import pytest

from wheatroute.fleet import closed_forms
from wheatroute.fleet.queue_simulation import simulate_queues

JOBS, SEEDS = 40_000, (1, 2, 3)


def mean(values):
    return sum(values) / len(values)


@pytest.mark.parametrize(
    "discipline, distribution, cv, expected",
    [
        ("in_turn", "exponential", 1.0, closed_forms.mm1(0.5, 1.0)),
        ("in_turn", "lognormal", 1.5, closed_forms.mg1(0.5, 1.0, 1.5)),
        ("in_turn", "none", 0.0, closed_forms.mg1(0.5, 1.0, 0.0)),
        ("sharing", "exponential", 1.0, closed_forms.mm1(0.5, 1.0)),
        ("sharing", "bimodal", 2.0, closed_forms.mm1(0.5, 1.0)),
    ],
)
def test_one_core_has_the_mean_time_of_the_closed_form(discipline, distribution, cv, expected):
    measured = [
        simulate_queues(1, 1, discipline, 0.5, distribution, cv, JOBS, seed).mean_time_s for seed in SEEDS
    ]
    assert mean(measured) == pytest.approx(expected, rel=0.03)


def test_many_cores_have_the_mean_time_of_the_erlang_c_formula():
    measured = [
        simulate_queues(1, 4, "in_turn", 0.7, "exponential", 1.0, JOBS, seed).mean_time_s for seed in SEEDS
    ]
    assert mean(measured) == pytest.approx(closed_forms.mmc(0.7, 1.0, 4), rel=0.02)


def test_a_full_queue_rejects_the_fraction_of_the_closed_form():
    measured = [
        simulate_queues(1, 2, "in_turn", 0.9, "exponential", 1.0, JOBS, seed, queue_capacity=3).rejected
        for seed in SEEDS
    ]
    assert mean(measured) == pytest.approx(closed_forms.mmck(0.9, 2, 5), rel=0.05)


def test_two_choices_have_the_tail_of_the_mean_field_limit():
    rng = Random(5)

    def choose(servers):
        first, second = (servers[int(rng.random() * len(servers))] for _ in range(2))
        return first if first.held_jobs <= second.held_jobs else second

    tails = [
        simulate_queues(100, 1, "in_turn", 0.8, "exponential", 1.0, JOBS, seed, choose=choose).tail
        for seed in SEEDS
    ]
    for length in (1, 2, 3):
        expected = closed_forms.two_choices_tail(0.8, length)
        assert mean([tail[length] for tail in tails]) == pytest.approx(expected, rel=0.05)
