"""The queue of requests that wait for capacity, ordered by latest start and by value. No I/O.

A request is in the queue at most once, and both orders always contain the same requests.
"""

from bisect import bisect_left, insort
from collections.abc import Callable
from heapq import heappop, heappush

from wheatroute.balancing.request import Request


class RequestQueue:
    """Holds the waiting requests in two sorted lists, so that iterating over them needs no sorting."""

    def __init__(self) -> None:
        self.by_start: list[tuple[float, int, Request]] = []  # (start_by, number, request)
        # (-value, start_by, number, request): the most valuable request comes first
        self.by_value: list[tuple[float, float, int, Request]] = []
        self.added_since_shed = 0

    def __len__(self) -> int:
        return len(self.by_start)

    def add(self, start_by: float, request: Request) -> None:
        """Adds a request, which must start by `start_by` to be answered in time."""
        insort(self.by_start, (start_by, request.number, request))
        insort(self.by_value, (-request.value, start_by, request.number, request))
        self.added_since_shed += 1

    def remove(self, start_by: float, request: Request) -> None:
        """Removes a queued request; `start_by` must be the value that it was added with."""
        del self.by_start[bisect_left(self.by_start, (start_by, request.number))]
        del self.by_value[bisect_left(self.by_value, (-request.value, start_by, request.number))]

    def shed(self, now: float, work_s: Callable[[Request], float]) -> list[Request]:
        """Removes and returns requests, the least valuable first, until all others can start in time.

        `work_s` returns the seconds that the tier, at its present rate, needs for a request. Requests are
        expected to start in the order of their latest start. If a request would start too late because of the
        work queued before it, it and the requests before it are shed, the least valuable first, until it
        could start in time. So no request waits for long only to be rejected, and the least valuable ones
        aren't starved while there is capacity for all.
        """
        self.added_since_shed = 0
        work_before, shed = 0.0, list[Request]()
        kept: list[tuple[float, int, float, float, Request]] = []  # value, -number, work, start_by, request
        for start_by, number, request in self.by_start[:]:
            if request.is_over:
                # The request already has its final answer, for instance because it timed out in the queue.
                self.remove(start_by, request)
                continue
            work = work_s(request)
            heappush(kept, (request.value, -number, work, start_by, request))
            work_before, own_work = work_before + work, work
            # `work_before` includes this request's own work, which it doesn't wait for. On a node with few
            # requests per second that work is long, so counting it would shed requests without need.
            while kept and now + work_before - own_work > start_by:
                _, _, work, removed_start_by, removed = heappop(kept)
                work_before -= work
                self.remove(removed_start_by, removed)
                shed.append(removed)
        return shed
