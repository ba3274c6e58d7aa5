"""What one tenant has used of late on this node, in slots of time; a state machine without I/O."""

from __future__ import annotations

from collections import deque

from wheatroute.cluster.messages import USAGE_SLOT_S


class UsageHistory:
    """Tokens by the slot of time in which they were used."""

    __slots__ = ("_slots", "_reach")

    def __init__(self, reach_s: float) -> None:
        self._slots: deque[tuple[int, float]] = deque()  # the slot's number, and its tokens; oldest first
        self.keep(reach_s)

    def keep(self, reach_s: float) -> None:
        """So many seconds are to be told."""
        self._reach = int(reach_s / USAGE_SLOT_S)
        self._slots = deque(self._slots, maxlen=self._reach + 2)

    def add(self, now: float, tokens: float) -> None:
        """Tokens were used, or given back where fewer than none."""
        slot = int(now // USAGE_SLOT_S)
        if self._slots and self._slots[-1][0] >= slot:
            newest, before = self._slots.pop()
            self._slots.append((newest, before + tokens))
        else:
            self._slots.append((slot, tokens))

    def by_age(self, now: float) -> list[float]:
        """Tokens in each slot, the newest first; what is older than what is to be told is forgotten."""
        newest = int(now // USAGE_SLOT_S)
        oldest = newest - self._reach
        while self._slots and self._slots[0][0] < oldest:
            self._slots.popleft()
        found = [0.0] * (newest - self._slots[0][0] + 1) if self._slots else []
        for slot, tokens in self._slots:
            found[max(0, newest - slot)] += tokens
        return found
