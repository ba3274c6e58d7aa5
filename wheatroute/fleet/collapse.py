"""Collapse of an emulated server that held too much for too long, and its recovery. No I/O.

Bronson et al., "Metastable Failures in Distributed Systems", 2021.
"""

from __future__ import annotations

from math import exp, inf, sqrt

from wheatroute.fleet.plan import Collapse


class CollapseMonitor:
    """Whether one server is collapsed, by its smoothed load; it never is where `plan` is None."""

    def __init__(self, plan: Collapse | None, cores: int, now: float) -> None:
        self.count = 0  # collapses so far
        self._plan = plan
        self._cores = cores
        self._since = -inf  # -inf: not collapsed
        self._held = 0.0  # requests held, smoothed over the plan's window
        self._utilization = 0.0  # fraction of busy cores, smoothed over the recovery window
        self._observed_at = now

    @property
    def is_collapsed(self) -> bool:
        """Whether the server is slow at present."""
        return self._since > -inf

    @property
    def slowdown(self) -> float:
        """Factor on the duration of all work at present."""
        return self._plan.slowdown if self._plan is not None and self.is_collapsed else 1.0

    def observe(self, now: float, held: int, running: int) -> None:
        """Smooths the load up to now; to be called before it changes."""
        if self._plan is None:
            return
        elapsed = now - self._observed_at
        self._held += (held - self._held) * (1.0 - exp(-elapsed / self._plan.window_s))
        utilization = min(1.0, running / self._cores)
        weight = 1.0 - exp(-elapsed / self._plan.recovery_window_s)
        self._utilization += (utilization - self._utilization) * weight
        self._observed_at = now

    def update(self, now: float) -> None:
        """Begins or ends a collapse, by the load observed."""
        plan = self._plan
        if plan is None:
            return
        if self.is_collapsed:
            if self._has_recovered(plan, now - self._since):
                self._since = -inf
        elif self._held > self._cores + plan.threshold * sqrt(self._cores):
            self._since = now
            self._utilization = 1.0
            self.count += 1

    def _has_recovered(self, plan: Collapse, elapsed: float) -> bool:
        was_idle = self._utilization < plan.recovery_utilization and elapsed > plan.recovery_window_s
        return was_idle or elapsed > plan.max_duration_s

    def process_ended(self) -> None:
        """The server's process has ended, and a collapse with it."""
        self._since = -inf
        self._held = 0.0

    def process_started(self, now: float) -> None:
        """A new process begins without load."""
        self._observed_at = now
        self._utilization = 0.0
