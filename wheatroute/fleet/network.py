"""The network between machines: latency, loss and partitions. No I/O.

Machines are known by their zone and address; what is sent is not known here. Each call of `message_delay` or
`loses_response` draws random numbers, so it is made once for each message.
"""

from __future__ import annotations

from math import inf, log
from random import Random
from typing import NamedTuple

from wheatroute.fleet.plan import NetworkPlan


class Address(NamedTuple):
    """Address of a machine in the network: a tier's depth (-1 for entry nodes) and a number in it."""

    depth: int
    number: int

    def __str__(self) -> str:
        return f"({self.depth}, {self.number})"


class SimulatedNetwork:
    """One-way latencies in seconds; `inf` for a message that never arrives."""

    def __init__(self, plan: NetworkPlan, rng: Random) -> None:
        self._plan = plan
        self._rng = rng
        # by fault
        self._partitions: dict[str, frozenset[int]] = {}  # zones cut off from all others
        self._isolated: dict[str, frozenset[Address]] = {}  # addresses that nothing reaches or leaves
        self._loss_rates: dict[str, float] = {}  # fraction of responses lost

    def latency(self, a: int, b: int) -> float:
        """A draw of the latency between two zones, in seconds."""
        plan = self._plan
        base_s = plan.zone_latency_s if a == b else plan.cross_zone_latency_s
        if not plan.jitter:
            return base_s
        # half of the jitter is taken off, and an exponential of that mean added
        return base_s * (1.0 - plan.jitter / 2 - plan.jitter / 2 * log(1.0 - self._rng.random()))

    def reaches(self, a: int, b: int, *addresses: Address) -> bool:
        """Whether messages between two zones and these addresses arrive at all."""
        if a != b and any((a in zones) != (b in zones) for zones in self._partitions.values()):
            return False
        return not any(address in isolated for isolated in self._isolated.values() for address in addresses)

    def message_delay(self, a: int, b: int, *addresses: Address) -> float:
        """The delay of one message, in seconds."""
        return self.latency(a, b) if self.reaches(a, b, *addresses) else inf

    def loses_response(self) -> bool:
        """Whether one response is lost."""
        return bool(self._loss_rates) and self._rng.random() < max(self._loss_rates.values())

    def partition(self, fault: str, zones: frozenset[int]) -> None:
        """Cuts zones off from all others until `repair`."""
        self._partitions[fault] = zones

    def isolate(self, fault: str, addresses: frozenset[Address]) -> None:
        """Isolates single addresses until `repair`."""
        self._isolated[fault] = addresses

    def lose_responses(self, fault: str, fraction: float) -> None:
        """Loses a fraction of the responses until `repair`."""
        self._loss_rates[fault] = fraction

    def repair(self, fault: str) -> None:
        """Ends what a fault has begun."""
        self._partitions.pop(fault, None)
        self._isolated.pop(fault, None)
        self._loss_rates.pop(fault, None)
