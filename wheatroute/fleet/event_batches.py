"""Event batches of a node: what happens at one moment is handled by the decisions together. No I/O."""

from __future__ import annotations

from typing import Any, Protocol

from wheatroute.balancing.interface import CommandWriter, EventBatch, EventFields
from wheatroute.fleet.engine import Engine


class DecisionMaker(Protocol):
    """The decision module, or a baseline in its place."""

    def handle_events(self, now: float, events: EventBatch, writer: CommandWriter) -> None:
        """Handles a batch of events, as `Balancer.handle_events`."""


class EventBatcher:
    """Collects events, and hands them to the decisions after all calls of the present moment."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine
        self._events: list[EventFields] = []
        self._is_due = False
        self._is_closed = False
        self._decisions: DecisionMaker | None = None
        self._writer: CommandWriter | None = None

    def attach(self, decisions: DecisionMaker, writer: CommandWriter) -> None:
        """Sets who handles the events, and who takes the commands."""
        self._decisions = decisions
        self._writer = writer

    def close(self) -> None:
        """The node has ended: events are dropped."""
        self._is_closed = True

    def add(self, *event: Any) -> None:
        """Adds an event, with its fields as in `wheatroute.balancing.interface`."""
        if self._is_closed:
            return
        self._events.append(event)
        if not self._is_due:
            self._is_due = True
            self._engine.call_at(self._engine.now, self._handle)

    def _handle(self) -> None:
        self._is_due = False
        if self._is_closed or self._decisions is None or self._writer is None:
            return
        events = self._events
        self._events = []
        self._decisions.handle_events(self._engine.now, events, self._writer)
