"""Closed forms of queueing theory, against which the simulated servers are checked. No I/O.

`load` is the mean utilization of each core and `work_s` the mean service time on one core. All forms assume
Poisson arrivals.
"""

from __future__ import annotations

from math import factorial


def mm1(load: float, work_s: float) -> float:
    """Returns the mean time in the system of M/M/1 in seconds.

    It is also that of M/G/1 with processor sharing, for any distribution of work.
    """
    return work_s / (1.0 - load)


def mg1(load: float, work_s: float, cv: float) -> float:
    """Returns the mean time in a first-come, first-served M/G/1 in seconds (Pollaczek-Khinchine formula)."""
    return work_s + load * work_s * (1.0 + cv * cv) / 2 / (1.0 - load)


def erlang_c(load: float, cores: int) -> float:
    """Returns the fraction of arrivals that wait in M/M/c (Erlang C formula)."""
    offered = load * cores
    waiting = offered**cores / factorial(cores) / (1.0 - load)
    return waiting / (sum(offered**k / factorial(k) for k in range(cores)) + waiting)


def mmc(load: float, work_s: float, cores: int) -> float:
    """Returns the mean time in the system of M/M/c in seconds."""
    return work_s + erlang_c(load, cores) * work_s / cores / (1.0 - load)


def mmck(load: float, cores: int, capacity: int) -> float:
    """Returns the fraction of arrivals that M/M/c/K rejects; `capacity` is K, the most jobs that it holds."""
    offered = load * cores
    weights = [
        offered**k / factorial(k) if k <= cores else offered**k / factorial(cores) / cores ** (k - cores)
        for k in range(capacity + 1)
    ]
    return weights[-1] / sum(weights)


def two_choices_tail(load: float, length: int) -> float:
    """Returns the fraction of servers that hold at least `length` jobs under power of two choices.

    This is the mean-field limit, for very many servers, of Vvedenskaya, Dobrushin and Karpelevich, 1996, and
    Mitzenmacher, 2001.
    """
    return load ** (2**length - 1)
