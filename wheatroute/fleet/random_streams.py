"""Random streams: one for each purpose, all derived from one seed. No I/O.

Policies that are compared get the same arrivals, work and faults whatever they decide, provided that the
number of draws from a stream never depends on a decision. The decision maker of each node has its own stream,
which is named after the node.
"""

from __future__ import annotations

from random import Random

_MASK = (1 << 64) - 1


def stream(seed: int, *purpose: object) -> Random:
    """Returns the random stream for a purpose; the draws are the same on every machine."""
    return Random("/".join(map(str, (seed, *purpose))))


def uniform(*numbers: int) -> float:
    """Returns a draw from (0, 1) that depends only on `numbers` (SplitMix64 mixer, Steele et al., 2014)."""
    state = 0
    for number in numbers:
        state = (state + number + 0x9E3779B97F4A7C15) & _MASK
        state = ((state ^ (state >> 30)) * 0xBF58476D1CE4E5B9) & _MASK
        state = ((state ^ (state >> 27)) * 0x94D049BB133111EB) & _MASK
        state ^= state >> 31
    return ((state >> 12) + 0.5) / (1 << 52)
