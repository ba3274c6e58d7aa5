"""Virtual time: what happens next, in an order that is the same every time.

Owns the moment and the agenda. Things due at the same moment happen in the order in which they were asked
for. It must never read a clock or draw a chance: a run is a function of what is put in.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heapify, heappop, heappush
from typing import Any


class Engine:
    """The agenda of one run; moments are seconds of virtual time."""

    def __init__(self, start: float = 0.0) -> None:
        self.now = start
        self.count = 0  # things that have happened
        self._agenda: list[list[Any]] = []  # [moment, sequence, what or None once called off, its arguments]
        self._sequence = 0
        self._off = 0  # called off and still on the agenda

    def at(self, moment: float, do: Callable[..., None], *told: Any) -> list[Any]:
        """Asks for `do(*told)` at this moment, or now if that has passed; returns what `cancel` takes."""
        self._sequence += 1
        entry = [max(moment, self.now), self._sequence, do, told]
        heappush(self._agenda, entry)
        return entry

    def after(self, seconds: float, do: Callable[..., None], *told: Any) -> list[Any]:
        """Schedules `do(*told)` in so many seconds; see `at`."""
        return self.at(self.now + seconds, do, *told)

    def cancel(self, entry: list[Any] | None) -> None:
        """Calls one thing off; harmless once it has happened."""
        if entry is None or entry[2] is None:
            return
        entry[2] = entry[3] = None
        self._off += 1
        if self._off > 1000 and self._off * 2 > len(self._agenda):
            # guards against an agenda full of time-outs that never came due
            self._agenda = [one for one in self._agenda if one[2] is not None]
            heapify(self._agenda)
            self._off = 0

    def run(self, until: float) -> None:
        """Lets everything happen that is due before or at `until`, and stands there."""
        while self._agenda and self._agenda[0][0] <= until:
            entry = heappop(self._agenda)
            do, told = entry[2], entry[3]
            if do is None:
                self._off -= 1
                continue
            self.now = entry[0]
            entry[2] = entry[3] = None
            self.count += 1
            do(*told)
        self.now = max(self.now, until)

    @property
    def idle(self) -> bool:
        """Whether nothing is scheduled."""
        return len(self._agenda) == self._off
