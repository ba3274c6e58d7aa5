"""Drives the decision module: collects events, calls the balancer with them, executes its commands.

Holds the balancer, the open exchanges and the timers. Invariants: only the driver calls the balancer, and
never from within a call; every event is handled once, in the order in which it was added. It decides
nothing, with one exception: an exchange that the balancer has not completed by its deadline and some slack
is failed and logged. Sockets belong to the sides that it is given (`AttemptSender`, `ServerList`,
`PeerSender`).
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

# until the next batch after an exception, in which the balancer may have lost its timer
RETRY_AFTER_FAULT_S = 0.25


class AttemptSender(Protocol):
    """What the driver needs of the side that talks to servers."""

    def start_attempt(self, exchange: Exchange, attempt: Attempt) -> None:
        """Sends an attempt; its outcome goes to `BalancerDriver.finish_attempt`."""

    def probe(self, server: int) -> None:
        """Checks a server's health; the outcome is added as an event."""

    def close_idle(self, server: int) -> None:
        """Closes idle connections to a server."""


class ServerList(Protocol):
    """What the driver needs of the side that knows the list of servers."""

    def watch(self, enable: bool) -> None:
        """Starts or ends the watch for changes."""

    def fetch(self) -> None:
        """Asks for the full list once."""


class PeerSender(Protocol):
    """What the driver needs of the side that talks to the other nodes."""

    def send_loads(self, loads: Mapping[int, float]) -> None:
        """Sends the loads of servers to all other nodes."""


class BalancerDriver:
    """The balancer's only caller, and the `CommandWriter` of its commands."""

    def __init__(self, settings: DecisionSettings, seed: str, log: Logger) -> None:
        self.event_loop_lag = EventLoopLag()
        self._balancer = Balancer(settings, random.Random(seed))
        self._max_attempts = settings.max_attempts
        self._answer_slack_s = settings.answer_slack_s
        self._log = log
        self._exchanges: dict[int, Exchange] = {}  # by number, until complete with no attempt in flight
        self._next_number = 0
        self._events: list[tuple[Any, ...]] = []
        self._finished: list[int] = []  # exchanges to be forgotten after the current batch
        self._wakeups: list[float] = []
        self._overdue_times: list[tuple[float, int]] = []  # by exchange
        self._has_events = trio.Event()
        self._timer, self._timer_at = trio.CancelScope(), inf
        self.upstream: AttemptSender
        self.discovery: ServerList
        self.peers: PeerSender | None = None  # None unless the settings name other nodes

    # events

    def add_event(self, *event: Any) -> None:
        """Adds an event for the next batch."""
        self._events.append(event)
        self._has_events.set()

    def add_request(self, exchange: Exchange, earlier: Sequence[EarlierAttempt] = ()) -> None:
        """Numbers a new exchange, sets its deadline and adds it as an event.

        `earlier` are attempts that the client made by itself: they count as the first of the exchange.
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
        """Ends an exchange whose client has gone, and adds that as an event."""
        if exchange.abandon():
            self._forget_if_finished(exchange)
            self.add_event(Event.CLIENT_LEFT, exchange.number)

    def finish_attempt(
        self, exchange: Exchange, attempt: Attempt, outcome: AttemptOutcome, report: Report | None
    ) -> None:
        """Adds the outcome of an attempt as an event, with the load report of its response if it had one."""
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
        """Puts other settings before all events not handled yet.

        Where they are binding, further attempts that have not been written are withdrawn.
        """
        for exchange in self._exchanges.values() if applies_to_pending else ():
            for attempt in exchange.attempts[1:]:
                attempt.is_withdrawn = True
        self._max_attempts = settings.max_attempts
        self._answer_slack_s = settings.answer_slack_s
        # of several updates in one batch the balancer must end with the last one
        earlier_updates = sum(event[0] == Event.SETTINGS_CHANGED for event in self._events)
        self._events.insert(earlier_updates, (Event.SETTINGS_CHANGED, settings, applies_to_pending))
        self._has_events.set()

    # event batches

    async def run(self) -> None:
        """Handles events as they are added, and timers as they expire."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_timer)
            while True:
                await self._has_events.wait()
                self._has_events = trio.Event()
                self.handle_events(now())
                self._set_timer()

    def handle_events_now(self) -> None:
        """Handles all events at once, so that the balancer decides by new settings from here on."""
        self.handle_events(now())
        self._set_timer()

    async def _run_timer(self) -> None:
        """Starts a batch when something is due. A task of its own, as most batches need no timer."""
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
        """Calls the balancer with all events that were added since the last call."""
        self._fail_overdue(moment)
        events, self._events = self._events, []
        while self._wakeups and self._wakeups[0] <= moment:
            heappop(self._wakeups)
            events.append((Event.TIMER_DUE,))
        if events:
            try:
                self._balancer.handle_events(moment, events, self)
            except Exception:
                # a fault of the balancer must not end the node or the exchanges that it holds
                self._log.exception("fault")
                heappush(self._wakeups, moment + RETRY_AFTER_FAULT_S)
        for number in self._finished:
            self._exchanges.pop(number, None)
        self._finished.clear()

    def _fail_overdue(self, moment: float) -> None:
        """Fails exchanges that the balancer has not completed in time, so that every client gets a response.

        This comes before the batch: the balancer hears of it in the batch after which the exchange is
        forgotten.
        """
        while self._overdue_times and self._overdue_times[0][0] <= moment:
            exchange = self._exchanges.get(heappop(self._overdue_times)[1])
            if exchange is not None and exchange.complete(Response(FAILED_STATUS)):
                self._log.warning("overdue", request=exchange.number, attempts=len(exchange.attempts))
                self._forget_if_finished(exchange)
                self.add_event(Event.CLIENT_LEFT, exchange.number)

    def _forget_if_finished(self, exchange: Exchange) -> None:
        """Marks a complete exchange without attempts in flight; the current batch may still name it."""
        if exchange.is_complete and exchange.attempts_in_flight <= 0:
            self._finished.append(exchange.number)

    # commands of the balancer

    def attempt(self, request: int, server: int, timeout_s: float) -> None:
        """See `CommandWriter.attempt`; one that could not count any more is returned as moot."""
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
        self._log.info("decisions", text=text)
