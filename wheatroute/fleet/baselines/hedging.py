"""Random choice with hedged requests: J. Dean and L. Barroso, "The Tail at Scale", 2013. No I/O."""

from __future__ import annotations

from random import Random
from typing import NamedTuple

from wheatroute.balancing.interface import CommandWriter, Idempotency
from wheatroute.balancing.settings import DecisionSettings
from wheatroute.fleet.baselines.oblivious import RandomChoice
from wheatroute.fleet.nodes import Node

HEDGE_DELAY = 0.5  # as a fraction of the target latency
ROUNDING_S = 1e-9  # tolerance for rounding errors in times


class HedgeTimer(NamedTuple):
    """The time at which a request is hedged, and the number of the request."""

    due_at: float
    number: int


class DelayedHedging(RandomChoice):
    """Chooses at random and hedges to another server after a fixed fraction of the target latency."""

    def __init__(self, node: Node, settings: DecisionSettings, rng: Random) -> None:
        super().__init__(node, settings, rng)
        self._timers: list[HedgeTimer] = []

    def first_attempt_sent(self, number: int, writer: CommandWriter) -> None:
        """Sets the hedge timer of an idempotent request."""
        request_class = self.request_classes[self._pending[number].class_number]
        if request_class.idempotency == Idempotency.IDEMPOTENT:
            due_at = self.now + HEDGE_DELAY * request_class.target_latency
            self._timers.append(HedgeTimer(due_at, number))
            writer.wake_at(due_at)

    def timer_due(self, writer: CommandWriter) -> None:
        """Sends the hedges that are due."""
        now = self.now + ROUNDING_S
        due = [timer for timer in self._timers if timer.due_at <= now]
        self._timers = [timer for timer in self._timers if timer.due_at > now]
        for timer in due:
            self.hedge(timer.number, writer)


class ImmediateHedging(RandomChoice):
    """Sends two attempts of every idempotent request to random servers immediately."""

    def first_attempt_sent(self, number: int, writer: CommandWriter) -> None:
        """Sends the second attempt."""
        self.hedge(number, writer)
