"""Chance: one stream for each purpose, all from one seed, and the laws that figures are drawn from.

Owns how a seed becomes streams, so that two policies meet the same arrivals, works and faults whatever they
decide. It must never be asked for a draw whose number depends on a decision, but for streams that are named
after who decides.

Laws: exponential, log-normal, bounded Pareto (Harchol-Balter, "The Effect of Heavy-Tailed Job Size
Distributions on Computer System Design", 1999), bimodal, and none. All are given by mean and coefficient of
variation.
"""

from __future__ import annotations

from collections.abc import Callable
from math import exp, log, sqrt
from random import Random
from statistics import NormalDist

_MASK = (1 << 64) - 1
_NORMAL = NormalDist()
MOST = 1000.0  # a bounded Pareto ends at this multiple of its least value


def stream(seed: int, *purpose: object) -> Random:
    """The stream of one purpose; the same on every machine."""
    return Random("/".join(map(str, (seed, *purpose))))


def uniform(*numbers: int) -> float:
    """A draw from (0, 1) that belongs to these numbers (the mixer of SplitMix64, Steele et al. 2014)."""
    state = 0
    for number in numbers:
        state = (state + number + 0x9E3779B97F4A7C15) & _MASK
        state = ((state ^ (state >> 30)) * 0xBF58476D1CE4E5B9) & _MASK
        state = ((state ^ (state >> 27)) * 0x94D049BB133111EB) & _MASK
        state ^= state >> 31
    return ((state >> 12) + 0.5) / (1 << 52)


def _pareto_moments(alpha: float, most: float) -> tuple[float, float]:
    """Mean and mean square of a bounded Pareto on [1, most]."""

    def moment(k: float) -> float:
        scale = alpha / (1.0 - most**-alpha)
        if abs(alpha - k) < 1e-9:
            return scale * log(most)
        return scale * (most ** (k - alpha) - 1.0) / (k - alpha)

    return moment(1.0), moment(2.0)


def _pareto_shape(cv: float) -> float:
    """The exponent with this coefficient of variation, found by halving."""
    low, high = 0.2, 30.0
    for _ in range(60):
        alpha = (low + high) / 2
        mean, square = _pareto_moments(alpha, MOST)
        low, high = (alpha, high) if square / mean**2 - 1.0 > cv * cv else (low, alpha)
    return low


def law(name: str, mean: float, cv: float = 1.0) -> Callable[[float], float]:
    """A function from a uniform draw to a draw of this law."""
    if name == "none" or cv <= 0.0 or mean <= 0.0:
        return lambda draw: mean
    if name == "exponential":
        return lambda draw: -mean * log(1.0 - draw)
    if name == "lognormal":
        square = log(1.0 + cv * cv)
        middle, deviation = log(mean) - square / 2, sqrt(square)
        return lambda draw: exp(middle + deviation * _NORMAL.inv_cdf(draw))
    if name == "pareto":
        alpha = _pareto_shape(cv)
        least = mean / _pareto_moments(alpha, MOST)[0]
        part = 1.0 - MOST**-alpha
        return lambda draw: least * (1.0 - draw * part) ** (-1.0 / alpha)
    if name == "bimodal":
        # the short ones are half the mean; a long one's length and share follow from mean and variation
        short = mean / 2
        far = mean + cv * cv * mean * mean / (mean - short)
        share = (mean - short) / (far - short)
        return lambda draw: far if draw >= 1.0 - share else short
    raise ValueError(f"no law {name!r}")


LAWS = ("none", "exponential", "lognormal", "pareto", "bimodal")
