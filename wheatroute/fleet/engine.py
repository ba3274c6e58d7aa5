"""Discrete-event engine: virtual time and the calls that are scheduled in it. No I/O.

Calls that are due at the same time are made in the order in which they were scheduled. The engine reads no
clock and draws no random number, so a run depends only on the calls that are scheduled.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heapify, heappop, heappush
from typing import Any

# The schedule is compacted once it contains more cancelled calls than this and they outnumber the others.
COMPACT_AT = 1000


class ScheduledCall:
    """A scheduled call; `callback` is None once the call was made or cancelled."""

    __slots__ = ("callback", "arguments")

    def __init__(self, callback: Callable[..., None], arguments: tuple[Any, ...]) -> None:
        self.callback: Callable[..., None] | None = callback
        self.arguments = arguments

    def clear(self) -> None:
        """Drops the references to the callback and its arguments, so that their objects can be freed."""
        self.callback = None
        self.arguments = ()


class Engine:
    """Runs the scheduled calls of one simulation in the order of virtual time, in seconds."""

    def __init__(self, start: float = 0.0) -> None:
        self.now = start
        self.call_count = 0  # number of calls made so far
        self._schedule: list[tuple[float, int, ScheduledCall]] = []  # heap of (moment, sequence number, call)
        self._sequence = 0
        self._cancelled = 0  # number of cancelled calls that are still in the schedule

    def call_at(self, moment: float, callback: Callable[..., None], *arguments: Any) -> ScheduledCall:
        """Schedules a call and returns a handle for `cancel`; a moment in the past means now."""
        self._sequence += 1
        call = ScheduledCall(callback, arguments)
        heappush(self._schedule, (max(moment, self.now), self._sequence, call))
        return call

    def call_later(self, delay_s: float, callback: Callable[..., None], *arguments: Any) -> ScheduledCall:
        """Schedules a call after `delay_s` seconds; see `call_at`."""
        return self.call_at(self.now + delay_s, callback, *arguments)

    def cancel(self, call: ScheduledCall | None) -> None:
        """Cancels a call; does nothing for None and for a call that was already made or cancelled."""
        if call is None or call.callback is None:
            return
        call.clear()
        self._cancelled += 1
        if self._cancelled > COMPACT_AT and self._cancelled * 2 > len(self._schedule):
            self._compact()

    def _compact(self) -> None:
        """Removes cancelled calls, so that cancelled timeouts don't fill the schedule."""
        self._schedule = [entry for entry in self._schedule if entry[2].callback is not None]
        heapify(self._schedule)
        self._cancelled = 0

    def run(self, until: float) -> None:
        """Makes all calls that are due at or before `until` and sets the time to `until`."""
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
