"""Discrete-event engine: virtual time and the calls that are scheduled in it. No I/O.

Calls due at the same moment are made in the order in which they were scheduled. The engine reads no clock and
draws no random number: a run is a function of what is put in.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heapify, heappop, heappush
from typing import Any

COMPACT_AT = 1000  # cancelled calls from which on the schedule is compacted


class ScheduledCall:
    """A call that is due; `callback` is None once it was made or cancelled."""

    __slots__ = ("callback", "arguments")

    def __init__(self, callback: Callable[..., None], arguments: tuple[Any, ...]) -> None:
        self.callback: Callable[..., None] | None = callback
        self.arguments = arguments

    def clear(self) -> None:
        """Lets go of the callback and of what it holds."""
        self.callback = None
        self.arguments = ()


class Engine:
    """The schedule of one run; moments are seconds of virtual time."""

    def __init__(self, start: float = 0.0) -> None:
        self.now = start
        self.call_count = 0  # calls made
        self._schedule: list[tuple[float, int, ScheduledCall]] = []  # heap by moment and sequence number
        self._sequence = 0
        self._cancelled = 0  # calls cancelled that are still in the schedule

    def call_at(self, moment: float, callback: Callable[..., None], *arguments: Any) -> ScheduledCall:
        """Schedules a call, at once if the moment has passed; returns what `cancel` takes."""
        self._sequence += 1
        call = ScheduledCall(callback, arguments)
        heappush(self._schedule, (max(moment, self.now), self._sequence, call))
        return call

    def call_later(self, delay_s: float, callback: Callable[..., None], *arguments: Any) -> ScheduledCall:
        """Schedules a call in so many seconds; see `call_at`."""
        return self.call_at(self.now + delay_s, callback, *arguments)

    def cancel(self, call: ScheduledCall | None) -> None:
        """Cancels a call; without effect on None and on one that was made or cancelled before."""
        if call is None or call.callback is None:
            return
        call.clear()
        self._cancelled += 1
        if self._cancelled > COMPACT_AT and self._cancelled * 2 > len(self._schedule):
            self._compact()

    def _compact(self) -> None:
        """Removes cancelled calls, so that time-outs that never come due don't fill the schedule."""
        self._schedule = [entry for entry in self._schedule if entry[2].callback is not None]
        heapify(self._schedule)
        self._cancelled = 0

    def run(self, until: float) -> None:
        """Makes all calls that are due before or at `until`, and ends at that moment."""
        while self._schedule and self._schedule[0][0] <= until:
            moment, _, call = heappop(self._schedule)
            callback, arguments = call.callback, call.arguments
            if callback is None:
                self._cancelled -= 1
                continue
            self.now = moment
            call.clear()
            self.call_count += 1
            callback(*arguments)
        self.now = max(self.now, until)
