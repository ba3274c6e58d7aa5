"""Tests distributions at a few uniform random numbers."""

from wheatroute.fleet import distributions


def test_distributions_map_uniform_draws_to_their_values():
    exponential = distributions.distribution("exponential", 2.0)
    assert [round(exponential(draw), 3) for draw in (0.1, 0.5, 0.9)] == [0.211, 1.386, 4.605]
    assert distributions.distribution("none", 2.0)(0.3) == 2.0
    assert round(distributions.distribution("bimodal", 1.0, 2.0)(0.999), 1) == 9.0
