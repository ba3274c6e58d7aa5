"""Usage of one tenant before this primary began to lead. A state machine without I/O.

A primary that is lost takes along what it granted since it last shared the levels of its buckets, and nobody
counts what nodes use while there is no primary. The nodes know both: each sends a new primary its recent
usage, and the primary derives from it how much the bucket can have held when it began to lead.
"""

from __future__ import annotations

from collections.abc import Sequence

from wheatroute.cluster.messages import USAGE_SLOT_S


class PriorUsage:
    """Tokens used before the primary began to lead, in slots of `USAGE_SLOT_S`, the newest first."""

    def __init__(self) -> None:
        self._slots: list[float] = []

    def add(self, recent_usage: Sequence[float], since_s: float) -> None:
        """Adds one node's recent usage, sent `since_s` seconds after the primary began to lead.

        Usage after the beginning counts as used at the beginning.
        """
        slots_since = round(since_s / USAGE_SLOT_S)
        for slot, tokens in enumerate(recent_usage):
            number = max(0, slot - slots_since)
            while len(self._slots) <= number:
                self._slots.append(0.0)
            self._slots[number] += tokens

    def max_level(self, rate: float, capacity: float) -> float:
        """The most tokens that a bucket can have held at the beginning; negative for a debt.

        In any span before it, no more than the capacity and what `rate` (tokens a second) adds can have been
        used within the limit.
        """
        level, used = capacity, 0.0
        for slot, tokens in enumerate(self._slots):
            used += tokens
            age_s = (slot + 0.5) * USAGE_SLOT_S
            level = min(level, capacity + rate * age_s - used)
        return level
