"""Collects what has come in, calls `Balancer.round` with it, and is the writer of its decisions.

Owns the module, the numbers of requests and the clock of the rounds. Nothing else touches the module. It
must never lose a round or enter one twice, and decides nothing: a request that the module should have
answered by its deadline is failed inside the slack after it, which is logged as a mistake.
"""

import random
import time
from collections.abc import Mapping
from heapq import heappop, heappush
from math import inf
from typing import Any, Protocol

import trio

from wheatroute.balancing.interface import Event, Outcome, Report
from wheatroute.balancing.settings import DecisionSettings
from wheatroute.decide import Balancer
from wheatroute.net.exchange import FAILED, REFUSED, Answer, Attempt, Exchange

SHORTEST_WAIT = 0.0005  # seconds; a wait for sockets that took less found them ready

RETRY = 0.25  # seconds until the next round after a mistake in the module, which may have lost its timer

_OFFSET = time.time() - time.monotonic()


def now() -> float:
    """Unix time that never goes back: start times in the list are on the same clock."""
    return time.monotonic() + _OFFSET


class Passes(trio.abc.Instrument):
    """How long ago something that is seen now may have come in, at the most.

    Guards against answers after a deadline from a node that was held up: a client's time counts from its
    last byte, which may have lain unread since the pass of the event loop before this one.
    """

    def __init__(self) -> None:
        self.count = 0
        self._began = self._before = self._since = time.monotonic()

    def before_io_wait(self, timeout: float) -> None:
        self._before = time.monotonic()

    def after_io_wait(self, timeout: float) -> None:
        self.count += 1
        moment = time.monotonic()
        # it came during the wait if there was one, else after the wait before it
        waited = moment - self._before > SHORTEST_WAIT
        self._since, self._began = moment if waited else self._began, moment

    @property
    def lag(self) -> float:
        return time.monotonic() - self._since


class ServerSide(Protocol):
    """What a writer needs of the servers' side."""

    def start(self, exchange: Exchange, attempt: Attempt) -> None: ...

    def probe(self, server: int) -> None: ...

    def shut_idle(self, server: int) -> None: ...


class ListSide(Protocol):
    """What a writer needs of the list's side."""

    def watch(self, enable: bool) -> None: ...

    def fetch(self) -> None: ...


class PeerSide(Protocol):
    """What a writer needs of the other nodes' side."""

    def send_loads(self, figures: Mapping[int, float]) -> None: ...


class Rounds:
    """The module's only caller, and its `Writer`."""

    def __init__(self, terms: DecisionSettings, seed: str, log: Any) -> None:
        self.passes = Passes()
        self._balancer = Balancer(terms, random.Random(seed))
        self._most_attempts, self._slack, self._log = terms.max_attempts, terms.answer_slack_s, log
        self._held: dict[int, Exchange] = {}
        self._taken = 0
        self._events: list[tuple[Any, ...]] = []
        self._spent: list[int] = []
        self._wakes: list[float] = []
        self._stops: list[tuple[float, int]] = []  # when requests are overdue
        self._stirred = trio.Event()
        self._alarm, self._alarm_at = trio.CancelScope(), inf
        self.servers: ServerSide
        self.discovery: ListSide
        self.peers: PeerSide | None = None  # off unless the configuration names them

    @property
    def held(self) -> int:
        """Requests not answered yet."""
        return sum(1 for exchange in self._held.values() if not exchange.over)

    # what comes in

    def happened(self, *event: Any) -> None:
        self._events.append(event)
        self._stirred.set()

    def arrived(self, exchange: Exchange) -> None:
        exchange.number, self._taken = self._taken, self._taken + 1
        exchange.deadline = now() + exchange.left
        self._held[exchange.number] = exchange
        heappush(self._stops, (exchange.deadline + self._slack, exchange.number))
        self.happened(
            Event.ARRIVED,
            exchange.number,
            exchange.kind,
            exchange.left,
            exchange.tenant,
            exchange.repeated,
            (),
            exchange.work,
        )

    def left(self, exchange: Exchange) -> None:
        if exchange.abandon():
            self._forget(exchange)
            self.happened(Event.CLIENT_LEFT, exchange.number)

    def returned(self, exchange: Exchange, attempt: Attempt, outcome: Outcome, report: Report | None) -> None:
        exchange.out -= 1
        self._forget(exchange)
        self.happened(
            Event.ATTEMPT_ENDED,
            exchange.number,
            attempt.n,
            attempt.server,
            outcome,
            now() - attempt.sent,
            exchange.over,
            report,
        )

    def agree(self, terms: DecisionSettings, binding: bool) -> None:
        """Other terms before all else is decided; where they bind, no repeat not yet written goes out."""
        for exchange in self._held.values() if binding else ():
            for attempt in exchange.attempts[1:]:
                attempt.withdrawn = True
        self._most_attempts, self._slack = terms.max_attempts, terms.answer_slack_s
        # guards against two of them in one pass taken the wrong way round: the last one stands
        earlier = sum(event[0] == Event.SETTINGS_CHANGED for event in self._events)
        self._events.insert(earlier, (Event.SETTINGS_CHANGED, terms, binding))
        self._stirred.set()

    def settle(self) -> None:
        """A round now, so that what was agreed is what the module decides by from here on."""
        self.round(now())
        self._set_alarm()

    # rounds

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._ring)
            while True:
                await self._stirred.wait()
                self._stirred = trio.Event()
                self.round(now())
                self._set_alarm()

    async def _ring(self) -> None:
        """Stirs the rounds when something is due. A task of its own: most rounds need no timer of theirs."""
        while True:
            with self._alarm:
                await trio.sleep_forever()
            self._alarm, self._alarm_at = trio.CancelScope(), inf
            self._stirred.set()

    def _set_alarm(self) -> None:
        stops = self._stops
        while stops and self._is_over(stops[0][1]):
            heappop(stops)
        moment = min(self._wakes[0] if self._wakes else inf, stops[0][0] if stops else inf)
        if moment != self._alarm_at:
            self._alarm_at = moment
            self._alarm.deadline = trio.current_time() + moment - now()

    def _is_over(self, number: int) -> bool:
        exchange = self._held.get(number)
        return exchange is None or exchange.over

    def round(self, moment: float) -> None:
        """One round with all that came in since the last."""
        self._end_overdue(moment)
        events, self._events = self._events, []
        while self._wakes and self._wakes[0] <= moment:
            heappop(self._wakes)
            events.append((Event.TIMER_DUE,))
        if events:
            try:
                self._balancer.handle_events(moment, events, self)
            except Exception:
                # guards against a mistake in the module: it is logged, the node and what it holds go on
                self._log.exception("fault")
                heappush(self._wakes, moment + RETRY)
        for number in self._spent:
            self._held.pop(number, None)
        self._spent.clear()

    def _end_overdue(self, moment: float) -> None:
        """Guards against a request that the module forgot: its client is answered all the same.

        Before the round: the module hears of it in the same round in which the request is let go of.
        """
        while self._stops and self._stops[0][0] <= moment:
            exchange = self._held.get(heappop(self._stops)[1])
            if exchange is not None and exchange.settle(Answer(FAILED)):
                self._log.warning("overdue", request=exchange.number, attempts=len(exchange.attempts))
                self._forget(exchange)
                self.happened(Event.CLIENT_LEFT, exchange.number)

    def _forget(self, exchange: Exchange) -> None:
        """Lets go of a request that is over with no attempt out, after the round: a decision may name it."""
        if exchange.over and exchange.out <= 0:
            self._spent.append(exchange.number)

    # the writer

    def attempt(self, request: int, server: int, time_out: float) -> None:
        exchange = self._held[request]
        moment = now()
        longest = exchange.deadline - moment
        time_out = min(time_out, longest) if time_out else longest
        attempt = Attempt(server, len(exchange.attempts), moment, time_out)
        exchange.attempts.append(attempt)
        exchange.out += 1
        if exchange.over or time_out <= 0.0 or len(exchange.attempts) > self._most_attempts:
            self.returned(exchange, attempt, Outcome.MOOT, None)
        else:
            self.servers.start(exchange, attempt)

    def cancel(self, request: int, n: int) -> None:
        exchange = self._held.get(request)
        if exchange is not None and n < len(exchange.attempts):
            exchange.attempts[n].withdrawn = True
            exchange.attempts[n].scope.cancel()

    def reject(self, request: int, stay_away: float) -> None:
        self._end(request, Answer(REFUSED, stay_away=stay_away))

    def fail(self, request: int) -> None:
        self._end(request, Answer(FAILED))

    def _end(self, request: int, answer: Answer) -> None:
        exchange = self._held.get(request)
        if exchange is not None and exchange.settle(answer):
            self._forget(exchange)

    def wake_at(self, moment: float) -> None:
        heappush(self._wakes, moment)

    def probe(self, server: int) -> None:
        self.servers.probe(server)

    def send_loads(self, figures: Mapping[int, float]) -> None:
        if self.peers is not None:
            self.peers.tell(figures)

    def watch(self, enable: bool) -> None:
        self.discovery.watch(enable)

    def fetch(self) -> None:
        self.discovery.fetch()

    def close(self, server: int) -> None:
        self.servers.shut_idle(server)

    def log(self, text: str) -> None:
        self._log.info("decisions", text=text)
