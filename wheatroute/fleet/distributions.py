"""Probability distributions with a given mean and coefficient of variation. No I/O.

Exponential, log-normal, bounded Pareto (M. Harchol-Balter, "The Effect of Heavy-Tailed Job Size
Distributions on Computer System Design", 1999), bimodal, and none (constant).
"""

from __future__ import annotations

from collections.abc import Callable
from math import exp, log, sqrt
from statistics import NormalDist

_NORMAL = NormalDist()
PARETO_RANGE = 1000.0  # ratio of the maximum to the minimum of a bounded Pareto


def _pareto_moments(alpha: float, upper: float) -> tuple[float, float]:
    """Returns the mean and mean square of a bounded Pareto distribution on [1, upper]."""

    def moment(k: float) -> float:
        scale = alpha / (1.0 - upper**-alpha)
        if abs(alpha - k) < 1e-9:
            return scale * log(upper)
        return scale * (upper ** (k - alpha) - 1.0) / (k - alpha)

    return moment(1.0), moment(2.0)


def _pareto_shape(cv: float) -> float:
    """Returns the bounded Pareto exponent for a coefficient of variation, found by bisection."""
    low, high = 0.2, 30.0
    for _ in range(60):
        alpha = (low + high) / 2
        mean, square = _pareto_moments(alpha, PARETO_RANGE)
        low, high = (alpha, high) if square / mean**2 - 1.0 > cv * cv else (low, alpha)
    return low


def distribution(name: str, mean: float, cv: float = 1.0) -> Callable[[float], float]:
    """Returns a function that turns a uniform draw into a draw from the distribution `name`.

    Raises ValueError for an unknown name.
    """
    if name == "none" or cv <= 0.0 or mean <= 0.0:
        return lambda draw: mean
    if name == "exponential":
        return lambda draw: -mean * log(1.0 - draw)
    if name == "lognormal":
        square = log(1.0 + cv * cv)
        mu, sigma = log(mean) - square / 2, sqrt(square)
        return lambda draw: exp(mu + sigma * _NORMAL.inv_cdf(draw))
    if name == "pareto":
        alpha = _pareto_shape(cv)
        minimum = mean / _pareto_moments(alpha, PARETO_RANGE)[0]
        probability_range = 1.0 - PARETO_RANGE**-alpha
        return lambda draw: minimum * (1.0 - draw * probability_range) ** (-1.0 / alpha)
    if name == "bimodal":
        # Short values are half the mean; the long value and its probability follow from the mean and `cv`.
        short = mean / 2
        long = mean + cv * cv * mean * mean / (mean - short)
        long_probability = (mean - short) / (long - short)
        return lambda draw: long if draw >= 1.0 - long_probability else short
    raise ValueError(f"unknown distribution {name!r}")


DISTRIBUTIONS = ("none", "exponential", "lognormal", "pareto", "bimodal")
