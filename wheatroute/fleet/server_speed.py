"""Speed of an emulated server's cores: warm-up after a start, and what faults make of it. No I/O."""

from __future__ import annotations

from wheatroute.fleet.plan import Tier

HANG_FAULT = "hang"  # name of the fault under which a server answers nothing, probes included


class ServerSpeed:
    """Speed of a core, in multiples of the speed that work is measured on; without collapse."""

    def __init__(self, tier: Tier, base: float) -> None:
        self.base = base  # when warm and well
        self.started_at = 0.0  # of the process; 0: long ago
        self._warmup_s = tier.warmup_s
        self._warmup_initial_share = tier.warmup_initial_share
        self._fault_factors: dict[str, float] = {}  # by fault

    def current(self, now: float) -> float:
        """The speed at present; 0 while the server hangs or pauses."""
        speed = self.base * self.warmup_share(now)
        for factor in self._fault_factors.values():
            speed *= factor
        return speed

    def warmup_share(self, now: float) -> float:
        """The fraction of its speed that the server has, by the time since its start."""
        if not self.started_at:
            return 1.0
        progress = (now - self.started_at) / (self._warmup_s or 1.0)
        if progress >= 1.0:
            return 1.0
        return self._warmup_initial_share + (1.0 - self._warmup_initial_share) * progress

    def set_fault_factor(self, fault: str, factor: float) -> None:
        """A fault begins (a factor on the speed) or ends (1)."""
        if factor == 1.0:
            self._fault_factors.pop(fault, None)
        else:
            self._fault_factors[fault] = factor

    @property
    def is_hanging(self) -> bool:
        """Whether the server answers nothing."""
        return HANG_FAULT in self._fault_factors

    def process_ended(self) -> None:
        """Faults end with the process that they have struck."""
        self._fault_factors.clear()

    def process_started(self, now: float) -> None:
        """A new process begins cold."""
        self.started_at = now
