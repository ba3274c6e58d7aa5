"""Requests that wait for capacity, ordered by when they must start and by value. No I/O.

A request is in the queue once or not at all; both orders always hold the same requests.
"""

from bisect import bisect_left, insort
from collections.abc import Callable
from heapq import heappop, heappush

from wheatroute.balancing.request import Request


class RequestQueue:
    """The waiting requests; sorted, so that going through them needs no sorting."""

    def __init__(self) -> None:
        self.by_start: list[tuple[float, int, Request]] = []
        self.by_value: list[tuple[float, float, int, Request]] = []  # the most valuable first
        self.added_since_shed = 0

    def __len__(self) -> int:
        return len(self.by_start)

    def add(self, start_by: float, request: Request) -> None:
        """Adds a request that must start by this moment to be in time."""
        insort(self.by_start, (start_by, request.number, request))
        insort(self.by_value, (-request.value, start_by, request.number, request))
        self.added_since_shed += 1

    def remove(self, start_by: float, request: Request) -> None:
        """Removes a request that is there, under the moment that it was added with."""
        del self.by_start[bisect_left(self.by_start, (start_by, request.number))]
        del self.by_value[bisect_left(self.by_value, (-request.value, start_by, request.number))]

    def shed(self, now: float, work_s: Callable[[Request], float]) -> list[Request]:
        """Removes and returns requests that can't all be started in time, those of least `value` first.

        `work_s` is the time that the tier needs for a request at its present rate. Requests start in the
        order in which they must; only where one would start too late, by the work before it, the least
        valuable up to it are shed. So none waits for long in vain, and the least valuable ones aren't
        starved while there is capacity for all.
        """
        self.added_since_shed = 0
        work_before, shed = 0.0, list[Request]()
        kept: list[tuple[float, int, float, float, Request]] = []  # value, -number, work, start by
        for start_by, number, request in self.by_start[:]:
            if request.is_over:
                # it ran out of time while nothing had capacity, and has its answer
                self.remove(start_by, request)
                continue
            work = work_s(request)
            heappush(kept, (request.value, -number, work, start_by, request))
            work_before, own_work = work_before + work, work
            # it doesn't wait for its own work, which is much at a node with few requests a second
            while kept and now + work_before - own_work > start_by:
                _, _, work, removed_start_by, removed = heappop(kept)
                work_before -= work
                self.remove(removed_start_by, removed)
                shed.append(removed)
        return shed
