"""Load reports that an emulated server sends in its responses, some time old and with noise. No I/O."""

from __future__ import annotations

from random import Random

from wheatroute.balancing.interface import Report
from wheatroute.fleet.plan import LoadReports


class LoadReporter:
    """Counts what a server served, and keeps what its responses report until the next refresh."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._served = 0  # since the last refresh
        self._failed = 0
        self._held = 0.0
        self._served_per_s = 0.0
        self._error_rate = 0.0

    def count_served(self) -> None:
        """A job was served."""
        self._served += 1

    def count_failed(self) -> None:
        """A job ended with an error."""
        self._failed += 1

    def refresh(self, held: int, plan: LoadReports) -> None:
        """Takes the present figures as the reported ones, and begins a new interval."""
        noise = 1.0 + plan.noise * (2.0 * self._rng.random() - 1.0)
        ended = self._served + self._failed
        self._held = max(0.0, held * noise)
        self._served_per_s = self._served / plan.interval_s
        self._error_rate = self._failed / max(1, ended)
        self._served = self._failed = 0

    def report(self) -> Report:
        """What a response reports now, under the names that the decision module knows."""
        return {"held": self._held, "rate": self._served_per_s, "error_rate": self._error_rate}
