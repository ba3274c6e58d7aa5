"""Speed of a simulated server's cores, as changed by warm-up after a start and by faults. No I/O."""

from __future__ import annotations

from wheatroute.fleet.plan import Tier

HANG_FAULT = "hang"  # name of the fault that stops a server from answering anything, including probes


class ServerSpeed:
    """Computes the speed of a core, where 1 is the speed that work is expressed in; ignores collapse."""

    def __init__(self, tier: Tier, base: float) -> None:
        self.base = base  # speed of a core when warmed up and without faults
        self.started_at = 0.0  # start of the process; 0 means long ago
        self._warmup_s = tier.warmup_s
        self._warmup_initial_share = tier.warmup_initial_share
        self._fault_factors: dict[str, float] = {}  # by name of the fault

    def current(self, now: float) -> float:
        """Returns the current speed; 0 while the server hangs or pauses."""
        speed = self.base * self.warmup_share(now)
        for factor in self._fault_factors.values():
            speed *= factor
        return speed

    def warmup_share(self, now: float) -> float:
        """Returns the fraction of its full speed that the server has reached since its start."""
        if not self.started_at:
            return 1.0
        progress = (now - self.started_at) / (self._warmup_s or 1.0)
        if progress >= 1.0:
            return 1.0
        return self._warmup_initial_share + (1.0 - self._warmup_initial_share) * progress

    def set_fault_factor(self, fault: str, factor: float) -> None:
        """Sets the factor of a fault on the speed; 1 ends the fault."""
        if factor == 1.0:
            self._fault_factors.pop(fault, None)
        else:
            self._fault_factors[fault] = factor

    @property
    def is_hanging(self) -> bool:
        """Whether a fault makes the server answer nothing."""
        return HANG_FAULT in self._fault_factors

    def process_ended(self) -> None:
        """Removes all faults, which end with the process that they affect."""
        self._fault_factors.clear()

    def process_started(self, now: float) -> None:
        """Starts the warm-up of a new process."""
        self.started_at = now
