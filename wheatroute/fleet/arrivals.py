"""Arrival times of requests: recorded, evenly spaced, or a Poisson process with varying rate. No I/O."""

from __future__ import annotations

from collections.abc import Iterator
from math import pi, sin
from random import Random

from wheatroute.fleet.plan import FleetPlan, LoadWave

MIN_RATE = 1e-9  # requests per second; limits the interval between evenly spaced arrivals


class ArrivalProcess:
    """Generates the arrival times of a run, in seconds since its start.

    The workload is open: arrivals do not depend on responses.
    """

    def __init__(self, plan: FleetPlan, rng: Random) -> None:
        self._clients = plan.clients
        self._duration_s = plan.duration_s
        self._mean_rate = plan.clients.load * plan.capacity()
        self._rng = rng

    def rate(self, elapsed_s: float) -> float:
        """Returns the requests per second at `elapsed_s` seconds after the start."""
        clients = self._clients
        phase = 2.0 * pi * elapsed_s / clients.swing_period_s
        rate = self._mean_rate * (1.0 + clients.swing * sin(phase))
        for wave in clients.waves:
            rate *= _wave_factor(wave, elapsed_s)
        return rate

    def times(self) -> Iterator[float]:
        """Returns the arrival times in ascending order."""
        if self._clients.recorded_arrivals_s:
            return self._recorded()
        return self._even() if self._clients.arrivals == "even" else self._poisson()

    def _recorded(self) -> Iterator[float]:
        for arrival_time in sorted(self._clients.recorded_arrivals_s):
            if arrival_time < self._duration_s:
                yield arrival_time

    def _even(self) -> Iterator[float]:
        elapsed_s = 0.0
        while elapsed_s < self._duration_s:
            yield elapsed_s
            elapsed_s += 1.0 / max(self.rate(elapsed_s), MIN_RATE)

    def _poisson(self) -> Iterator[float]:
        """Draws a Poisson process by thinning.

        P. Lewis and G. Shedler, "Simulation of Nonhomogeneous Poisson Processes", 1979.
        """
        max_rate = self._mean_rate * (1.0 + self._clients.swing)
        for wave in self._clients.waves:
            max_rate *= max(1.0, wave.factor)
        elapsed_s = 0.0
        while max_rate > 0.0:
            elapsed_s += self._rng.expovariate(max_rate)
            if elapsed_s >= self._duration_s:
                return
            if self._rng.random() * max_rate < self.rate(elapsed_s):
                yield elapsed_s


def _wave_factor(wave: LoadWave, elapsed_s: float) -> float:
    if not wave.start_s <= elapsed_s < wave.start_s + wave.duration_s:
        return 1.0
    progress = min(1.0, (elapsed_s - wave.start_s) / wave.ramp_s) if wave.ramp_s else 1.0
    return 1.0 + (wave.factor - 1.0) * progress
