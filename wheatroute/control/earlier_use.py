"""What edge nodes used before this primary began; a state machine without I/O.

A primary that is lost takes along what it granted since it last shared its levels, and nobody counts what
nodes use while there is none. The nodes know both. Each tells a new primary what it has used of late, and the
primary works out what the bucket can have held when it began.
"""

from __future__ import annotations

from collections.abc import Sequence

from wheatroute.cluster.messages import USAGE_SLOT_S


class EarlierUse:
    """Tokens of one tenant by slots of time before this primary began, the newest first."""

    def __init__(self) -> None:
        self._slots: list[float] = []

    def add(self, by_age: Sequence[float], since: float) -> None:
        """One node's use, told so many seconds after this primary began; what came since counts as then."""
        later = round(since / USAGE_SLOT_S)
        for slot, tokens in enumerate(by_age):
            number = max(0, slot - later)
            while len(self._slots) <= number:
                self._slots.append(0.0)
            self._slots[number] += tokens

    def most_left(self, rate: float, size: float) -> float:
        """Tokens that a bucket can have held at the beginning, at most; below none where it owes some.

        From any moment before on, no more may have been used than the bucket's size and its rate allow.
        """
        left, used = size, 0.0
        for slot, tokens in enumerate(self._slots):
            used += tokens
            age = (slot + 0.5) * USAGE_SLOT_S
            left = min(left, size + rate * age - used)
        return left
