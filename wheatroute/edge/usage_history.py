"""What one tenant has used in the last window on this node, in slots of time. A state machine without I/O."""

from __future__ import annotations

from collections import deque

from wheatroute.cluster.messages import USAGE_SLOT_S


class UsageHistory:
    """Tokens by the slot of time in which they were used; `span_s` is how far back it goes."""

    __slots__ = ("_slots", "_span_slots")

    def __init__(self, span_s: float) -> None:
        self._slots: deque[tuple[int, float]] = deque()  # a slot's number and its tokens, the oldest first
        self.set_span(span_s)

    def set_span(self, span_s: float) -> None:
        """Change how far back the history goes, in seconds."""
        self._span_slots = int(span_s / USAGE_SLOT_S)
        self._slots = deque(self._slots, maxlen=self._span_slots + 2)

    def add(self, now: float, tokens: float) -> None:
        """Add tokens that were used; a negative number takes back tokens that were not."""
        slot = int(now // USAGE_SLOT_S)
        if self._slots and self._slots[-1][0] >= slot:
            newest_slot, newest_tokens = self._slots.pop()
            self._slots.append((newest_slot, newest_tokens + tokens))
        else:
            self._slots.append((slot, tokens))

    def by_age(self, now: float) -> list[float]:
        """Return the tokens of each slot, the newest first; slots before the span are dropped."""
        newest = int(now // USAGE_SLOT_S)
        oldest = newest - self._span_slots
        while self._slots and self._slots[0][0] < oldest:
            self._slots.popleft()
        by_age = [0.0] * (newest - self._slots[0][0] + 1) if self._slots else []
        for slot, tokens in self._slots:
            by_age[max(0, newest - slot)] += tokens
        return by_age
