"""Load reports that a simulated server sends in its responses: delayed and with noise. No I/O."""

from __future__ import annotations

from random import Random

from wheatroute.balancing.interface import Report
from wheatroute.fleet.plan import LoadReports


class LoadReporter:
    """Counts the jobs that end at a server, and keeps the reported values until the next refresh."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        # Counted since the last refresh.
        self._served = 0
        self._failed = 0
        # Reported values, as of the last refresh.
        self._held_jobs = 0.0
        self._served_per_s = 0.0
        self._error_rate = 0.0

    def count_served(self) -> None:
        """Counts a job that was served."""
        self._served += 1

    def count_failed(self) -> None:
        """Counts a job that ended with an error."""
        self._failed += 1

    def refresh(self, held_jobs: int, plan: LoadReports) -> None:
        """Sets the reported values from the counts and `held_jobs`, with noise, and starts a new interval."""
        noise = 1.0 + plan.noise * (2.0 * self._rng.random() - 1.0)
        ended = self._served + self._failed
        self._held_jobs = max(0.0, held_jobs * noise)
        self._served_per_s = self._served / plan.interval_s
        self._error_rate = self._failed / max(1, ended)
        self._served = self._failed = 0

    def report(self) -> Report:
        """Returns the values that a response reports now, by the names that the decision module expects."""
        return {"held": self._held_jobs, "rate": self._served_per_s, "error_rate": self._error_rate}
