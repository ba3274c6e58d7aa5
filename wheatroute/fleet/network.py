"""Paths between places: how long a message takes, and whether it comes at all.

Owns latency, loss and partitions. It knows places by zone and by a name of their own, and nothing of what is
sent. It must never be asked twice for one message: each draw is a message.
"""

from __future__ import annotations

from math import inf, log
from random import Random

from wheatroute.fleet.plan import Network


class Paths:
    """Latency in seconds one way; `inf` for a message that never comes."""

    def __init__(self, network: Network, chance: Random) -> None:
        self._network, self._chance = network, chance
        self._cut: dict[str, frozenset[int]] = {}  # by fault: zones cut off from all others
        self._mute: dict[str, frozenset[tuple[int, int]]] = {}  # by fault: places that nothing comes from
        self._loss: dict[str, float] = {}  # by fault: share of answers lost

    def latency(self, a: int, b: int) -> float:
        network = self._network
        base = network.inside if a == b else network.between
        if not network.jitter:
            return base
        return base * (1.0 - network.jitter / 2 - network.jitter / 2 * log(1.0 - self._chance.random()))

    def reaches(self, a: int, b: int, *places: tuple[int, int]) -> bool:
        """Whether zones and places can hear of each other at all."""
        if a != b and any((a in zones) != (b in zones) for zones in self._cut.values()):
            return False
        return not any(place in mute for mute in self._mute.values() for place in places)

    def message(self, a: int, b: int, *places: tuple[int, int]) -> float:
        """How long this message takes."""
        return self.latency(a, b) if self.reaches(a, b, *places) else inf

    def loses(self) -> bool:
        """Whether an answer is lost on a path that forgets."""
        return bool(self._loss) and self._chance.random() < max(self._loss.values())

    def cut(self, fault: str, zones: frozenset[int]) -> None:
        self._cut[fault] = zones

    def mute(self, fault: str, places: frozenset[tuple[int, int]]) -> None:
        self._mute[fault] = places

    def lose(self, fault: str, share: float) -> None:
        self._loss[fault] = share

    def mend(self, fault: str) -> None:
        for kept in (self._cut, self._mute, self._loss):
            kept.pop(fault, None)  # type: ignore[attr-defined]
