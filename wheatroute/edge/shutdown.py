"""The phases of an edge node's graceful shutdown. No I/O.

From SIGTERM on the node is stopping: responses announce that their connection closes. The listener stays open
until the platform sends no new clients. After that the node is draining: only connections that are open
already can bring requests, and each of them ends with the response that is under way.
"""

from __future__ import annotations

from math import inf


class ShutdownState:
    """When the shutdown began and ends, in seconds of the node's monotonic clock, and its phase."""

    def __init__(self) -> None:
        self.began_at = inf
        self.ends_at = inf  # by then every request must have its response
        self.is_draining = False  # whether the listener is closed

    @property
    def is_stopping(self) -> bool:
        """Whether the shutdown has begun."""
        return self.began_at < inf

    def begin(self, now: float, duration_s: float) -> None:
        """Begins the shutdown, which lasts `duration_s` at most."""
        self.began_at = now
        self.ends_at = now + duration_s

    def start_draining(self) -> None:
        """Begins the phase in which the listener is closed."""
        self.is_draining = True

    def elapsed_ms(self, at: float) -> int:
        """Returns the milliseconds from the start of the shutdown to `at`, negative if `at` is before it."""
        return round((at - self.began_at) * 1000)
