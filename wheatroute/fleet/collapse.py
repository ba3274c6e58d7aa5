"""Collapse of a simulated server that held too many requests for too long, and its recovery. No I/O.

Bronson et al., "Metastable Failures in Distributed Systems", 2021.
"""

from __future__ import annotations

from math import exp, inf, sqrt

from wheatroute.fleet.plan import Collapse


class CollapseMonitor:
    """Decides by a server's smoothed load whether the server is collapsed; if `plan` is None, it never is."""

    def __init__(self, plan: Collapse | None, cores: int, now: float) -> None:
        self.count = 0  # number of collapses so far
        self._plan = plan
        self._cores = cores
        self._collapsed_at = -inf  # start of the current collapse; -inf: not collapsed
        self._mean_held = 0.0  # requests held, smoothed over the plan's window
        self._mean_utilization = 0.0  # fraction of busy cores, smoothed over the recovery window
        self._observed_at = now

    @property
    def is_collapsed(self) -> bool:
        """Whether the server is collapsed now."""
        return self._collapsed_at > -inf

    @property
    def slowdown(self) -> float:
        """The current factor on the duration of all work; 1 while the server is not collapsed."""
        return self._plan.slowdown if self._plan is not None and self.is_collapsed else 1.0

    def observe(self, now: float, held: int, running: int) -> None:
        """Updates the smoothed load up to now; must be called before the load changes.

        `held` is the number of requests that the server holds, `running` of those in service.
        """
        if self._plan is None:
            return
        elapsed = now - self._observed_at
        self._mean_held += (held - self._mean_held) * (1.0 - exp(-elapsed / self._plan.window_s))
        utilization = min(1.0, running / self._cores)
        weight = 1.0 - exp(-elapsed / self._plan.recovery_window_s)
        self._mean_utilization += (utilization - self._mean_utilization) * weight
        self._observed_at = now

    def update(self, now: float) -> None:
        """Starts or ends a collapse, depending on the smoothed load."""
        plan = self._plan
        if plan is None:
            return
        if self.is_collapsed:
            if self._has_recovered(plan, now - self._collapsed_at):
                self._collapsed_at = -inf
        elif self._mean_held > self._cores + plan.threshold * sqrt(self._cores):
            self._collapsed_at = now
            self._mean_utilization = 1.0
            self.count += 1

    def _has_recovered(self, plan: Collapse, elapsed: float) -> bool:
        was_idle = self._mean_utilization < plan.recovery_utilization and elapsed > plan.recovery_window_s
        return was_idle or elapsed > plan.max_duration_s

    def process_ended(self) -> None:
        """Ends a collapse, because the server's process has ended."""
        self._collapsed_at = -inf
        self._mean_held = 0.0

    def process_started(self, now: float) -> None:
        """Resets the smoothed utilization for a new process; `process_ended` has reset the requests held."""
        self._observed_at = now
        self._mean_utilization = 0.0
