"""Collects what has come in, calls `Balancer.round` with it, and is the writer of its decisions.

Owns the module, the numbers of commands and the clock of the rounds. Nothing else touches the module. It
must never lose a round or enter one twice, and decides nothing: a command that the module should have
answered by its hard stop is terminated then, which is logged as a mistake.
"""

import random
import time
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any, Protocol

import trio

from wheatroute.decide import Balancer
from wheatroute.interface import Event, Outcome, Report
from wheatroute.net.exchange import BOUNCED, TERMINATED, Answer, Exchange, Relay

_OFFSET = time.time() - time.monotonic()


def now() -> float:
    """Unix time that never goes back: start times in the list are on the same clock."""
    return time.monotonic() + _OFFSET


class ServerSide(Protocol):
    """What a writer needs of the servers' side."""

    def start(self, exchange: Exchange, relay: Relay) -> None: ...

    def probe(self, server: int) -> None: ...

    def shut_idle(self, server: int) -> None: ...


class ListSide(Protocol):
    """What a writer needs of the list's side."""

    def watch(self, enable: bool) -> None: ...

    def fetch(self) -> None: ...


class Rounds:
    """The module's only caller, and its `Writer`."""

    def __init__(self, terms: dict[str, Any], seed: str, log: Any) -> None:
        self._balancer = Balancer(terms, random.Random(seed))
        self._most_relays, self._log = terms["most_relays"], log
        self._held: dict[int, Exchange] = {}
        self._taken = 0
        self._events: list[tuple[Any, ...]] = []
        self._spent: list[int] = []
        self._wakes: list[float] = []
        self._stops: list[tuple[float, int]] = []  # hard stops of commands
        self._stirred = trio.Event()
        self.servers: ServerSide
        self.discovery: ListSide

    @property
    def held(self) -> int:
        """Commands not answered yet."""
        return sum(1 for exchange in self._held.values() if not exchange.over)

    # what comes in

    def happened(self, *event: Any) -> None:
        self._events.append(event)
        self._stirred.set()

    def arrived(self, exchange: Exchange) -> None:
        exchange.number, self._taken = self._taken, self._taken + 1
        exchange.hard_stop = now() + exchange.left
        self._held[exchange.number] = exchange
        heappush(self._stops, (exchange.hard_stop, exchange.number))
        self.happened(Event.ARRIVED, exchange.number, exchange.kind, exchange.left, exchange.customer,
                      exchange.repeated)

    def left(self, exchange: Exchange) -> None:
        if exchange.abandon():
            self._forget(exchange)
            self.happened(Event.LEFT, exchange.number)

    def returned(self, exchange: Exchange, relay: Relay, outcome: Outcome, report: Report | None) -> None:
        exchange.out -= 1
        self._forget(exchange)
        self.happened(Event.RETURNED, exchange.number, relay.n, relay.server, outcome, now() - relay.sent,
                      exchange.over, report)

    # rounds

    async def run(self) -> None:
        while True:
            with trio.move_on_after(max(0.0, self._next() - now())):
                await self._stirred.wait()
            self._stirred = trio.Event()
            self.round(now())

    def _next(self) -> float:
        moments = [heap[0] for heap in (self._wakes,) if heap] + [one[0] for one in self._stops[:1]]
        return min(moments, default=now() + 3600.0)

    def round(self, moment: float) -> None:
        """One round with all that came in since the last."""
        events, self._events = self._events, []
        while self._wakes and self._wakes[0] <= moment:
            heappop(self._wakes)
            events.append((Event.WOKEN,))
        if events:
            self._guarded(lambda: self._balancer.round(moment, events, self))
        self._end_overdue(moment)
        for number in self._spent:
            self._held.pop(number, None)
        self._spent.clear()

    def _guarded(self, call: Callable[[], None]) -> None:
        """Guards against a mistake in the module: the place is logged, the node and what it holds go on."""
        try:
            call()
        except Exception:
            self._log.exception("fault")
            heappush(self._wakes, now() + 0.25)  # else nothing would stir the module if it lost its timer

    def _end_overdue(self, moment: float) -> None:
        """Guards against a command that the module forgot: its caller is answered all the same."""
        while self._stops and self._stops[0][0] <= moment:
            exchange = self._held.get(heappop(self._stops)[1])
            if exchange is not None and exchange.settle(Answer(TERMINATED)):
                self._log.warning("overdue", command=exchange.number, relays=len(exchange.relays))
                self._forget(exchange)
                self.happened(Event.LEFT, exchange.number)

    def _forget(self, exchange: Exchange) -> None:
        """Lets go of a command that is over with no relay out, after the round: a decision may name it."""
        if exchange.over and exchange.out <= 0:
            self._spent.append(exchange.number)

    # the writer

    def relay(self, command: int, server: int, time_out: float) -> None:
        exchange = self._held[command]
        moment = now()
        longest = exchange.hard_stop - moment
        time_out = min(time_out, longest) if time_out else longest
        relay = Relay(server, len(exchange.relays), moment, time_out)
        exchange.relays.append(relay)
        exchange.out += 1
        if exchange.over or time_out <= 0.0 or len(exchange.relays) > self._most_relays:
            self.returned(exchange, relay, Outcome.MOOT, None)
        else:
            self.servers.start(exchange, relay)

    def withdraw(self, command: int, n: int) -> None:
        exchange = self._held.get(command)
        if exchange is not None and n < len(exchange.relays):
            exchange.relays[n].withdrawn = True
            exchange.relays[n].scope.cancel()

    def bounce(self, command: int, stay_away: float) -> None:
        self._end(command, Answer(BOUNCED, stay_away=stay_away))

    def terminate(self, command: int) -> None:
        self._end(command, Answer(TERMINATED))

    def _end(self, command: int, answer: Answer) -> None:
        exchange = self._held.get(command)
        if exchange is not None and exchange.settle(answer):
            self._forget(exchange)

    def wake(self, moment: float) -> None:
        heappush(self._wakes, moment)

    def sound(self, server: int) -> None:
        self.servers.probe(server)

    def watch(self, enable: bool) -> None:
        self.discovery.watch(enable)

    def fetch(self) -> None:
        self.discovery.fetch()

    def close(self, server: int) -> None:
        self.servers.shut_idle(server)

    def log(self, text: str) -> None:
        self._log.info("decisions", text=text)
