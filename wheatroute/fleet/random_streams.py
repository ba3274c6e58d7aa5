"""Random streams: one for each purpose, all from one seed. No I/O.

Two policies that are compared meet the same arrivals, works and faults whatever they decide, as long as no
stream is asked for a number of draws that depends on a decision. Streams of a node's own decisions are
named after it.
"""

from __future__ import annotations

from random import Random

_MASK = (1 << 64) - 1


def stream(seed: int, *purpose: object) -> Random:
    """The stream of one purpose; the same on every machine."""
    return Random("/".join(map(str, (seed, *purpose))))


def uniform(*numbers: int) -> float:
    """A draw from (0, 1), a function of these numbers (mixer of SplitMix64, Steele et al., 2014)."""
    state = 0
    for number in numbers:
        state = (state + number + 0x9E3779B97F4A7C15) & _MASK
        state = ((state ^ (state >> 30)) * 0xBF58476D1CE4E5B9) & _MASK
        state = ((state ^ (state >> 27)) * 0x94D049BB133111EB) & _MASK
        state ^= state >> 31
    return ((state >> 12) + 0.5) / (1 << 52)
