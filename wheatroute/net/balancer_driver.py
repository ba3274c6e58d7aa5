"""Drives the decision module: collects events, passes them to the balancer and executes its commands.

Holds the balancer, the open exchanges and the timers. Invariants: only the driver calls the balancer, and
never reentrantly; every event is handled once, in the order in which it was added. The driver makes no
decisions, with one exception: if the balancer has not completed an exchange by its deadline plus
`answer_slack_s`, the driver fails and logs it. All socket I/O is done by the objects that the driver is given
(`AttemptSender`, `DiscoveryClient`, `PeerSender`).
"""

import random
from collections.abc import Mapping, Sequence
from heapq import heappop, heappush
from math import inf
from typing import Any, Protocol

import trio

from wheatroute.balancing.interface import AttemptOutcome, EarlierAttempt, Event, Report
from wheatroute.balancing.settings import DecisionSettings
from wheatroute.decide import Balancer
from wheatroute.net.clock import now
from wheatroute.net.event_loop_lag import EventLoopLag
from wheatroute.net.exchange import FAILED_STATUS, REJECTED_STATUS, Attempt, Exchange, Response
from wheatroute.net.log import Logger

# Delay until the next event batch after the balancer has raised an exception: its timer may have been lost.
RETRY_AFTER_FAULT_S = 0.25


class AttemptSender(Protocol):
    """The interface to the servers that the driver needs."""

    def start_attempt(self, exchange: Exchange, attempt: Attempt) -> None:
        """Sends an attempt; its outcome must be passed to `BalancerDriver.finish_attempt`."""

    def probe(self, server: int) -> None:
        """Checks a server's health; the outcome must be added as a `PROBE_ENDED` event."""

    def close_idle(self, server: int) -> None:
        """Closes all idle connections to a server."""


class DiscoveryClient(Protocol):
    """The interface to service discovery that the driver needs."""

    def watch(self, enable: bool) -> None:
        """Starts or stops watching the list of servers for changes."""

    def fetch(self) -> None:
        """Requests the full list of servers once."""


class PeerSender(Protocol):
    """The interface to the other nodes that the driver needs."""

    def send_loads(self, loads: Mapping[int, float]) -> None:
        """Sends the loads of servers, by server number, to all other nodes."""


class BalancerDriver:
    """Calls the balancer with events and, as its `CommandWriter`, executes the commands that it issues."""

    def __init__(self, settings: DecisionSettings, seed: str, log: Logger) -> None:
        self.event_loop_lag = EventLoopLag()
        self._balancer = Balancer(settings, random.Random(seed))
        self._max_attempts = settings.max_attempts
        self._answer_slack_s = settings.answer_slack_s
        self._log = log
        # By exchange number. An exchange stays until it is complete and has no attempt in flight.
        self._exchanges: dict[int, Exchange] = {}
        self._next_number = 0
        self._events: list[tuple[Any, ...]] = []
        # Numbers of exchanges that are removed after the current batch.
        self._finished: list[int] = []
        # Heap of the times at which the balancer wants to be called.
        self._wakeups: list[float] = []
        # Heap of (time at which an exchange is failed, exchange number).
        self._overdue_times: list[tuple[float, int]] = []
        self._has_events = trio.Event()
        self._timer, self._timer_at = trio.CancelScope(), inf
        self.upstream: AttemptSender
        self.discovery: DiscoveryClient
        # None unless the settings name other nodes.
        self.peers: PeerSender | None = None

    # Methods that add events for the balancer.

    def add_event(self, *event: Any) -> None:
        """Adds an event for the next batch."""
        self._events.append(event)
        self._has_events.set()

    def add_request(self, exchange: Exchange, earlier: Sequence[EarlierAttempt] = ()) -> None:
        """Assigns a number and a deadline to a new exchange and adds an `ARRIVED` event for it.

        `earlier` holds attempts that the client made itself; they count as the first attempts of the
        exchange.
        """
        exchange.number, self._next_number = self._next_number, self._next_number + 1
        exchange.deadline = now() + exchange.time_left_s
        if earlier:
            exchange.attempts = [
                Attempt(server, number, sent_at, 0.0) for number, (server, sent_at, _) in enumerate(earlier)
            ]
        self._exchanges[exchange.number] = exchange
        heappush(self._overdue_times, (exchange.deadline + self._answer_slack_s, exchange.number))
        self.add_event(
            Event.ARRIVED,
            exchange.number,
            exchange.request_class,
            exchange.time_left_s,
            exchange.tenant,
            exchange.is_client_retry,
            earlier,
            exchange.work_hint,
        )

    def abandon_request(self, exchange: Exchange) -> None:
        """Ends an exchange whose client has disconnected and adds a `CLIENT_LEFT` event for it."""
        if exchange.abandon():
            self._forget_if_finished(exchange)
            self.add_event(Event.CLIENT_LEFT, exchange.number)

    def finish_attempt(
        self, exchange: Exchange, attempt: Attempt, outcome: AttemptOutcome, report: Report | None
    ) -> None:
        """Adds an `ATTEMPT_ENDED` event; `report` is the load report in the response, None if it had none."""
        exchange.attempts_in_flight -= 1
        self._forget_if_finished(exchange)
        self.add_event(
            Event.ATTEMPT_ENDED,
            exchange.number,
            attempt.number,
            attempt.server,
            outcome,
            now() - attempt.sent_at,
            exchange.is_complete,
            report,
        )

    def update_settings(self, settings: DecisionSettings, applies_to_pending: bool) -> None:
        """Applies new settings before any pending event is handled.

        If `applies_to_pending` is set, they apply to pending requests too, and retries and hedges that have
        not been written yet are withdrawn.
        """
        for exchange in self._exchanges.values() if applies_to_pending else ():
            for attempt in exchange.attempts[1:]:
                attempt.is_withdrawn = True
        self._max_attempts = settings.max_attempts
        self._answer_slack_s = settings.answer_slack_s
        # Several updates in one batch keep their order, so that the balancer ends with the last one.
        earlier_updates = sum(event[0] == Event.SETTINGS_CHANGED for event in self._events)
        self._events.insert(earlier_updates, (Event.SETTINGS_CHANGED, settings, applies_to_pending))
        self._has_events.set()

    # Batches of events and timers.

    async def run(self) -> None:
        """Handles events as they are added and timers as they expire, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_timer)
            while True:
                await self._has_events.wait()
                self._has_events = trio.Event()
                self.handle_events(now())
                self._set_timer()

    def handle_events_now(self) -> None:
        """Handles all pending events immediately, so that new settings apply to every later decision."""
        self.handle_events(now())
        self._set_timer()

    async def _run_timer(self) -> None:
        """Starts a batch when the timer expires.

        It is a separate task because most batches are started by an event, not by the timer.
        """
        while True:
            with self._timer:
                await trio.sleep_forever()
            self._timer, self._timer_at = trio.CancelScope(), inf
            self._has_events.set()

    def _set_timer(self) -> None:
        overdue_times = self._overdue_times
        while overdue_times and self._is_complete(overdue_times[0][1]):
            heappop(overdue_times)
        moment = min(
            self._wakeups[0] if self._wakeups else inf,
            overdue_times[0][0] if overdue_times else inf,
        )
        if moment != self._timer_at:
            self._timer_at = moment
            self._timer.deadline = trio.current_time() + moment - now()

    def _is_complete(self, number: int) -> bool:
        exchange = self._exchanges.get(number)
        return exchange is None or exchange.is_complete

    def handle_events(self, moment: float) -> None:
        """Calls the balancer with all events that were added since the last call.

        `moment` is the current time on the clock of `clock.now`.
        """
        self._fail_overdue(moment)
        events, self._events = self._events, []
        while self._wakeups and self._wakeups[0] <= moment:
            heappop(self._wakeups)
            events.append((Event.TIMER_DUE,))
        if events:
            try:
                self._balancer.handle_events(moment, events, self)
            except Exception:
                # An error in the balancer must not terminate the node or the exchanges that it holds.
                self._log.exception("unhandled-exception")
                heappush(self._wakeups, moment + RETRY_AFTER_FAULT_S)
        for number in self._finished:
            self._exchanges.pop(number, None)
        self._finished.clear()

    def _fail_overdue(self, moment: float) -> None:
        """Fails exchanges that the balancer has not completed in time, so that every client gets a response.

        Runs before the batch of events is handled. The exchange is removed after that batch, so the batch
        must include the `CLIENT_LEFT` event.
        """
        while self._overdue_times and self._overdue_times[0][0] <= moment:
            exchange = self._exchanges.get(heappop(self._overdue_times)[1])
            if exchange is not None and exchange.complete(Response(FAILED_STATUS)):
                self._log.warning("request-overdue", request=exchange.number, attempts=len(exchange.attempts))
                self._forget_if_finished(exchange)
                self.add_event(Event.CLIENT_LEFT, exchange.number)

    def _forget_if_finished(self, exchange: Exchange) -> None:
        """Schedules an exchange for removal after the batch if it is complete and has no attempt in flight.

        It is not removed at once because commands of the current batch may still refer to it.
        """
        if exchange.is_complete and exchange.attempts_in_flight <= 0:
            self._finished.append(exchange.number)

    # Commands of the balancer.

    def attempt(self, request: int, server: int, timeout_s: float) -> None:
        """See `CommandWriter.attempt`.

        An attempt that can no longer contribute to the response is not sent: its outcome is
        `AttemptOutcome.MOOT`.
        """
        exchange = self._exchanges[request]
        moment = now()
        max_timeout_s = exchange.deadline - moment
        timeout_s = min(timeout_s, max_timeout_s) if timeout_s else max_timeout_s
        attempt = Attempt(server, len(exchange.attempts), moment, timeout_s)
        exchange.attempts.append(attempt)
        exchange.attempts_in_flight += 1
        if exchange.is_complete or timeout_s <= 0.0 or len(exchange.attempts) > self._max_attempts:
            self.finish_attempt(exchange, attempt, AttemptOutcome.MOOT, None)
        else:
            self.upstream.start_attempt(exchange, attempt)

    def cancel(self, request: int, n: int) -> None:
        """See `CommandWriter.cancel`."""
        exchange = self._exchanges.get(request)
        if exchange is not None and n < len(exchange.attempts):
            exchange.attempts[n].is_withdrawn = True
            exchange.attempts[n].scope.cancel()

    def reject(self, request: int, retry_after_s: float) -> None:
        """See `CommandWriter.reject`."""
        self._complete(request, Response(REJECTED_STATUS, retry_after_s=retry_after_s))

    def fail(self, request: int) -> None:
        """See `CommandWriter.fail`."""
        self._complete(request, Response(FAILED_STATUS))

    def _complete(self, request: int, response: Response) -> None:
        exchange = self._exchanges.get(request)
        if exchange is not None and exchange.complete(response):
            self._forget_if_finished(exchange)

    def wake_at(self, moment: float) -> None:
        """See `CommandWriter.wake_at`."""
        heappush(self._wakeups, moment)

    def probe(self, server: int) -> None:
        """See `CommandWriter.probe`."""
        self.upstream.probe(server)

    def send_loads(self, loads: Mapping[int, float]) -> None:
        """See `CommandWriter.send_loads`."""
        if self.peers is not None:
            self.peers.send_loads(loads)

    def watch(self, enable: bool) -> None:
        """See `CommandWriter.watch`."""
        self.discovery.watch(enable)

    def fetch(self) -> None:
        """See `CommandWriter.fetch`."""
        self.discovery.fetch()

    def close(self, server: int) -> None:
        """See `CommandWriter.close`."""
        self.upstream.close_idle(server)

    def log(self, text: str) -> None:
        """See `CommandWriter.log`."""
        self._log.info("balancer-notice", text=text)
