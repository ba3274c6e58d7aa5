"""Collects the events of a node that happen at the same time into one batch. No I/O."""

from __future__ import annotations

from typing import Any, Protocol

from wheatroute.balancing.interface import CommandWriter, EventBatch, EventFields
from wheatroute.fleet.engine import Engine


class DecisionMaker(Protocol):
    """Handles the events of one node: the decision module (`Balancer`) or a baseline policy."""

    def handle_events(self, now: float, events: EventBatch, writer: CommandWriter) -> None:
        """Handles a batch of events in the same way as `Balancer.handle_events`."""


class EventBatcher:
    """Collects events and passes them to the decision maker after all calls that are due at the same time."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine
        self._events: list[EventFields] = []
        self._is_scheduled = False
        self._is_closed = False
        self._decision_maker: DecisionMaker | None = None
        self._writer: CommandWriter | None = None

    def attach(self, decision_maker: DecisionMaker, writer: CommandWriter) -> None:
        """Sets the decision maker that handles the events and the writer that executes its commands."""
        self._decision_maker = decision_maker
        self._writer = writer

    def close(self) -> None:
        """Drops all further events, because the node has ended."""
        self._is_closed = True

    def add(self, *event: Any) -> None:
        """Adds an event, an `Event` followed by its fields as listed in `wheatroute.balancing.interface`."""
        if self._is_closed:
            return
        self._events.append(event)
        if not self._is_scheduled:
            self._is_scheduled = True
            self._engine.call_at(self._engine.now, self._handle_batch)

    def _handle_batch(self) -> None:
        self._is_scheduled = False
        if self._is_closed or self._decision_maker is None or self._writer is None:
            return
        events = self._events
        self._events = []
        self._decision_maker.handle_events(self._engine.now, events, self._writer)
