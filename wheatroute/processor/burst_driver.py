"""A driver of the decision module that handles bursts: all messages of one read form one event batch.

A batch is handled without waking another task, and all of its responses are written together.
"""

from __future__ import annotations

from typing import Any

from wheatroute.balancing.settings import DecisionSettings
from wheatroute.decide import Balancer
from wheatroute.grpc.session import Session
from wheatroute.net.balancer_driver import BalancerDriver
from wheatroute.net.clock import now
from wheatroute.net.log import Logger


class BurstDriver(BalancerDriver):
    """Handles the events of a burst when it ends, and events outside a burst as the base class does."""

    def __init__(self, settings: DecisionSettings, seed: str, log: Logger) -> None:
        super().__init__(settings, seed, log)
        self._is_in_burst = False
        self._sessions_to_flush: set[Session] = set()

    @property
    def balancer(self) -> Balancer:
        """The balancer that decides for all streams."""
        return self._balancer

    def add_event(self, *event: Any) -> None:
        """Adds an event; outside a burst, it wakes the task that handles events."""
        self._events.append(event)
        if not self._is_in_burst:
            self._has_events.set()

    def begin_burst(self) -> None:
        """Defers events until `finish_burst`, which must be called before the task awaits anything."""
        self._is_in_burst = True

    def finish_burst(self) -> None:
        """Handles the events of a burst and the events that result from them."""
        self._is_in_burst = True
        while self._events:
            self.handle_events(now())
        self._is_in_burst = False
        self._set_timer()

    def schedule_flush(self, session: Session) -> None:
        """Schedules the data of a session to be written after the current batch."""
        self._sessions_to_flush.add(session)

    def handle_events(self, moment: float) -> None:
        """Handles a batch at the time `moment` (`net.clock`), then flushes the scheduled sessions."""
        super().handle_events(moment)
        for session in self._sessions_to_flush:
            session.flush()
        self._sessions_to_flush.clear()
