"""Records what one tenant has used on this node in the last window, by time slot. No I/O."""

from __future__ import annotations

from collections import deque

from wheatroute.cluster.messages import USAGE_SLOT_S


class UsageHistory:
    """Holds the tokens used in each time slot; `span_s` is how many seconds the history goes back."""

    __slots__ = ("_slots", "_span_slots")

    def __init__(self, span_s: float) -> None:
        self._slots: deque[tuple[int, float]] = deque()  # number of a slot and its tokens, oldest first
        self.set_span(span_s)

    def set_span(self, span_s: float) -> None:
        """Changes how far back the history goes, in seconds."""
        self._span_slots = int(span_s / USAGE_SLOT_S)
        self._slots = deque(self._slots, maxlen=self._span_slots + 2)

    def add(self, now: float, tokens: float) -> None:
        """Adds tokens that were used; a negative number removes tokens that were not used after all."""
        slot = int(now // USAGE_SLOT_S)
        if self._slots and self._slots[-1][0] >= slot:
            newest_slot, newest_tokens = self._slots.pop()
            self._slots.append((newest_slot, newest_tokens + tokens))
        else:
            self._slots.append((slot, tokens))

    def by_age(self, now: float) -> list[float]:
        """Returns the tokens of each slot, newest first; slots older than the span are dropped."""
        newest = int(now // USAGE_SLOT_S)
        oldest = newest - self._span_slots
        while self._slots and self._slots[0][0] < oldest:
            self._slots.popleft()
        by_age = [0.0] * (newest - self._slots[0][0] + 1) if self._slots else []
        for slot, tokens in self._slots:
            by_age[max(0, newest - slot)] += tokens
        return by_age
