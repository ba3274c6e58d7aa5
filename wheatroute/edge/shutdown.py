"""The progress of an edge node's graceful shutdown, and what it means for requests.

No I/O, but cancels what is still running at its end. From SIGTERM on the node is stopping: responses announce
that their connection closes. The listener stays open until the platform sends no new clients. After that the
node is draining: only connections that are open already can bring requests, and each of them ends with the
response that is under way.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from math import inf

import trio

# Until this time after SIGTERM every request is admitted, even one that may outlast the shutdown: the
# platform may not have noticed yet that this node is stopping. It allows 3 s, and counts from its own signal.
FULL_SERVICE_S = 2.9


class ShutdownState:
    """When the shutdown began and ends, in seconds of the node's monotonic clock, and its phase."""

    def __init__(self) -> None:
        self.began_at = inf
        self.ends_at = inf  # by then every request must have its response
        self.is_draining = False  # whether the listener is closed
        self._scopes: set[trio.CancelScope] = set()

    @property
    def is_stopping(self) -> bool:
        """Whether the shutdown has begun."""
        return self.began_at < inf

    def begin(self, now: float, duration_s: float) -> None:
        """Begins the shutdown, which lasts `duration_s` at most."""
        self.began_at = now
        self.ends_at = now + duration_s
        for scope in self._scopes:
            scope.deadline = self.ends_at

    def start_draining(self) -> None:
        """Begins the phase in which the listener is closed."""
        self.is_draining = True

    def may_admit(self, now: float, deadline: float) -> bool:
        """Returns whether a request that was read by now may be served; `deadline` is its own.

        After `FULL_SERVICE_S` only a request that certainly ends before the shutdown does: another node can
        serve it from the start, and a request that is cut may have run.
        """
        return now <= self.began_at + FULL_SERVICE_S or deadline <= self.ends_at

    @contextmanager
    def time_limit(self) -> Iterator[trio.CancelScope]:
        """Cancels its block at the end of the shutdown, whether that has begun or begins later."""
        scope = trio.CancelScope(deadline=self.ends_at)
        self._scopes.add(scope)
        try:
            with scope:
                yield scope
        finally:
            self._scopes.discard(scope)

    def elapsed_ms(self, at: float) -> int:
        """Returns the milliseconds from the start of the shutdown to `at`, negative if `at` is before it."""
        return round((at - self.began_at) * 1000)
