"""Usage of one tenant before this primary began to lead. A state machine without I/O.

A new primary knows neither what the previous one granted after it last shared its bucket levels, nor what was
used while there was no primary. Each edge node knows both for itself, and sends a new primary its recent
usage. From the sum, the primary derives how many tokens the bucket can have held when it began to lead.
"""

from __future__ import annotations

from collections.abc import Sequence

from wheatroute.cluster.messages import USAGE_SLOT_S


class PriorUsage:
    """Sums the tokens used before the primary began to lead, in slots of `USAGE_SLOT_S`, the newest first."""

    def __init__(self) -> None:
        self._slots: list[float] = []

    def add(self, recent_usage: Sequence[float], since_s: float) -> None:
        """Adds one node's recent usage, sent `since_s` seconds after the primary began to lead.

        Usage after the primary began to lead counts as if it had occurred when it began to lead.
        """
        slots_since = round(since_s / USAGE_SLOT_S)
        for slot, tokens in enumerate(recent_usage):
            number = max(0, slot - slots_since)
            while len(self._slots) <= number:
                self._slots.append(0.0)
            self._slots[number] += tokens

    def max_level(self, rate: float, capacity: float) -> float:
        """The most tokens that a bucket can have held when the primary began to lead; negative for a debt.

        In any time span that ends when the primary began to lead, usage within the limit is at most the
        capacity plus the tokens that `rate` (tokens per second) adds in the span.
        """
        level, used = capacity, 0.0
        for slot, tokens in enumerate(self._slots):
            used += tokens
            age_s = (slot + 0.5) * USAGE_SLOT_S
            level = min(level, capacity + rate * age_s - used)
        return level
