"""The network between machines: latency, loss and partitions. No I/O.

Machines are identified by zone and address; the content of messages is not modelled here. Each call of
`message_delay` or `loses_response` draws random numbers, so call it only once for each message.
"""

from __future__ import annotations

from math import inf, log
from random import Random
from typing import NamedTuple

from wheatroute.fleet.plan import NetworkPlan


class Address(NamedTuple):
    """Address of a machine in the network: depth of its tier (-1 for entry nodes) and number there."""

    depth: int
    number: int

    def __str__(self) -> str:
        return f"({self.depth}, {self.number})"


class SimulatedNetwork:
    """Computes the delays of messages and applies the network faults of a run."""

    def __init__(self, plan: NetworkPlan, rng: Random) -> None:
        self._plan = plan
        self._rng = rng
        # The network faults in effect, by name of the fault.
        self._partitions: dict[str, frozenset[int]] = {}  # zones that are cut off from all others
        self._isolated: dict[str, frozenset[Address]] = {}  # addresses that can neither send nor receive
        self._loss_rates: dict[str, float] = {}  # fraction of the responses that are lost

    def latency(self, from_zone: int, to_zone: int) -> float:
        """Draws the one-way latency between two zones, in seconds."""
        plan = self._plan
        base_s = plan.zone_latency_s if from_zone == to_zone else plan.cross_zone_latency_s
        if not plan.jitter:
            return base_s
        # Subtracts half of the jitter and adds an exponential draw with that mean: the mean stays `base_s`.
        return base_s * (1.0 - plan.jitter / 2 - plan.jitter / 2 * log(1.0 - self._rng.random()))

    def reaches(self, from_zone: int, to_zone: int, *addresses: Address) -> bool:
        """Returns whether messages between machines in these zones and with these addresses arrive."""
        if from_zone != to_zone and any(
            (from_zone in zones) != (to_zone in zones) for zones in self._partitions.values()
        ):
            return False
        return not any(address in isolated for isolated in self._isolated.values() for address in addresses)

    def message_delay(self, from_zone: int, to_zone: int, *addresses: Address) -> float:
        """Returns the delay of one message in seconds, `inf` if it never arrives."""
        return self.latency(from_zone, to_zone) if self.reaches(from_zone, to_zone, *addresses) else inf

    def loses_response(self) -> bool:
        """Draws whether one response is lost."""
        return bool(self._loss_rates) and self._rng.random() < max(self._loss_rates.values())

    def partition(self, fault: str, zones: frozenset[int]) -> None:
        """Cuts off zones from all others until `repair`."""
        self._partitions[fault] = zones

    def isolate(self, fault: str, addresses: frozenset[Address]) -> None:
        """Isolates single addresses until `repair`."""
        self._isolated[fault] = addresses

    def lose_responses(self, fault: str, fraction: float) -> None:
        """Loses a fraction of the responses until `repair`."""
        self._loss_rates[fault] = fraction

    def repair(self, fault: str) -> None:
        """Ends the effects of a fault."""
        self._partitions.pop(fault, None)
        self._isolated.pop(fault, None)
        self._loss_rates.pop(fault, None)
