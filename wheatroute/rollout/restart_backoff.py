"""The backoff before a supervisor restarts a process that has ended. No I/O."""

from __future__ import annotations

MIN_RESTART_BACKOFF_S, MAX_RESTART_BACKOFF_S = 0.2, 30.0
# The backoff is reset when a process ends that has lived at least this long.
STABLE_AFTER_S = 30.0


class RestartBackoff:
    """Exponential backoff, which doubles with each early crash up to a maximum.

    Times are monotonic seconds.
    """

    def __init__(self) -> None:
        self._backoff_s = MIN_RESTART_BACKOFF_S
        self._restart_at = 0.0

    def is_over(self, now: float) -> bool:
        """Returns whether the process may be restarted."""
        return now >= self._restart_at

    def process_ended(self, now: float, lived_s: float) -> None:
        """Starts the backoff for a process that has ended after `lived_s` seconds."""
        if lived_s >= STABLE_AFTER_S:
            self._backoff_s = MIN_RESTART_BACKOFF_S
        else:
            self._backoff_s = min(MAX_RESTART_BACKOFF_S, 2.0 * self._backoff_s)
        self._restart_at = now + self._backoff_s
