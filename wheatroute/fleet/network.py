"""The network between machines: latency, loss and partitions. No I/O.

Machines are known by their zone and by an address (a pair of numbers); what is sent is not known here. Each
call of `message_delay` or `loses_response` is one random draw, so it is called once a message.
"""

from __future__ import annotations

from math import inf, log
from random import Random

from wheatroute.fleet.plan import NetworkPlan


class SimulatedNetwork:
    """One-way latencies in seconds; `inf` for a message that never arrives."""

    def __init__(self, network: NetworkPlan, rng: Random) -> None:
        self._network, self._rng = network, rng
        # by fault
        self._partitions: dict[str, frozenset[int]] = {}  # zones cut off from all others
        self._isolated: dict[str, frozenset[tuple[int, int]]] = {}  # addresses that nothing reaches or leaves
        self._loss_rates: dict[str, float] = {}  # fraction of responses lost

    def latency(self, a: int, b: int) -> float:
        """A draw of the latency between two zones."""
        network = self._network
        base = network.zone_latency_s if a == b else network.cross_zone_latency_s
        if not network.jitter:
            return base
        return base * (1.0 - network.jitter / 2 - network.jitter / 2 * log(1.0 - self._rng.random()))

    def reaches(self, a: int, b: int, *addresses: tuple[int, int]) -> bool:
        """Whether messages between two zones and these addresses arrive at all."""
        if a != b and any((a in zones) != (b in zones) for zones in self._partitions.values()):
            return False
        return not any(address in isolated for isolated in self._isolated.values() for address in addresses)

    def message_delay(self, a: int, b: int, *addresses: tuple[int, int]) -> float:
        """The delay of one message."""
        return self.latency(a, b) if self.reaches(a, b, *addresses) else inf

    def loses_response(self) -> bool:
        """Whether one response is lost."""
        return bool(self._loss_rates) and self._rng.random() < max(self._loss_rates.values())

    def partition(self, fault: str, zones: frozenset[int]) -> None:
        """Cuts zones off from all others until `repair`."""
        self._partitions[fault] = zones

    def isolate(self, fault: str, addresses: frozenset[tuple[int, int]]) -> None:
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
