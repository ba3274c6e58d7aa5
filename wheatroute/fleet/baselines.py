"""Other ways to decide, to measure the design against. Never in the product's path.

Owns plain policies behind the same border as the module: random, round robin, inverse latency, least own
outstanding, power of two choices (Mitzenmacher 2001), join the shortest queue with true state, probing by
requests in flight and latency (after Wydrowski et al., "Load is not what you should balance", 2024), hedging
after a fixed time and at once (Dean and Barroso 2013), and the top: true state of all servers, least expected
wait, and no request that cannot be in time.

They keep the rules on repeats and drains, and nothing else: no limits, no early no, no health but for
`connected`, which all share: a server whose connection was refused is left out for a second.
"""

from __future__ import annotations

from bisect import bisect
from itertools import accumulate
from math import inf
from random import Random
from typing import Any

from wheatroute.balancing.interface import Event, Idempotency, Outcome, ServerState
from wheatroute.balancing.settings import DecisionSettings
from wheatroute.fleet.nodes import Node
from wheatroute.fleet.requests import NEVER_RAN

AVOIDED = 1.0  # seconds that a server is left out after a refused connection


class Held:
    """What a policy keeps of one request."""

    __slots__ = ("kind", "stop", "attempts", "out", "ran", "over", "first")

    def __init__(self, kind: int, stop: float) -> None:
        self.kind, self.stop = kind, stop
        self.attempts: list[int] = []
        self.out = 0
        self.ran = self.over = False
        self.first = -1


class Plain:
    """Sends each request at once where `choose` says, and again where that is allowed; the base of all."""

    def __init__(self, node: Node, terms: DecisionSettings, draw: Random) -> None:
        self.node, self.terms, self.draw = node, terms, draw
        self.kinds = terms.request_classes
        self.ready: list[int] = []
        self.out: dict[int, int] = {}
        self._states: dict[int, ServerState] = {}
        self._avoid: dict[int, float] = {}
        self._held: dict[int, Held] = {}
        self.now = 0.0

    def choose(self, fit: list[int], kind: int) -> int:
        """Chooses one of the servers that may get the request."""
        raise NotImplementedError

    def learn(self, server: int, kind: int, outcome: Outcome, took: float, report: Any) -> None:
        """What an attempt's end tells."""

    def admits(self, kind: int, left: float, fit: list[int]) -> bool:
        """Whether a request with so many seconds left is taken at all."""
        return True

    def sent(self, number: int, writer: Any) -> None:
        """After a request's first attempt."""

    def timer_due(self, writer: Any) -> None:
        """A moment asked for has come."""

    def probe_ended(self, server: int, outcome: Outcome, took: float, report: Any) -> None:
        """A probe's answer."""

    def handle_events(self, now: float, events: Any, writer: Any) -> None:
        """Handles a batch of events, as `Balancer.handle_events`."""
        self.now = now
        for event, *fields in events:
            if event == Event.ARRIVED:
                number, kind, left, *_ = fields
                self._held[number] = held = Held(kind, now + left - 2 * self.terms.tick)
                if left > 2 * self.terms.tick and self.admits(kind, left, self.fit(held)):
                    self._send(number, held, writer)
                    if held.attempts and not held.over:
                        self.sent(number, writer)
                else:
                    self._end(number, held, writer)
            elif event == Event.ATTEMPT_ENDED:
                self._returned(writer, *fields)
            elif event == Event.SERVERS_LISTED:
                entries, whole = fields
                if whole:
                    self._states.clear()
                for entry in entries:
                    self._states[entry[0]] = entry[4]
                self.ready = sorted(one for one, state in self._states.items() if state == ServerState.LIVE)
            elif event == Event.CLIENT_LEFT:
                self._close(fields[0], writer)
            elif event == Event.TIMER_DUE:
                self.timer_due(writer)
            elif event == Event.PROBE_ENDED:
                self.probe_ended(*fields)

    def fit(self, held: Held) -> list[int]:
        """The servers that may get an attempt of this request."""
        avoid = self._avoid
        group = self._group(held)
        fit = [one for one in self.ready if one not in held.attempts and avoid.get(one, 0.0) <= self.now]
        if group is not None:
            fit = [one for one in fit if self._group_of(one, held.kind) == group]
        return fit

    def _group_of(self, server: int, kind: int) -> int:
        place, group = self.node.servers[server], int(self.kinds[kind].deduplication_group)
        return (0, place.zone, place.cell)[group]

    def _group(self, held: Held) -> int | None:
        if (held.ran or held.out) and self.kinds[held.kind].idempotency == Idempotency.KEYED:
            return self._group_of(held.first, held.kind)
        return None

    def _send(self, number: int, held: Held, writer: Any) -> bool:
        fit = self.fit(held)
        if not fit or len(held.attempts) >= self.terms.max_attempts or self.now >= held.stop:
            self._end(number, held, writer)
            return False
        server = self.choose(fit, held.kind)
        held.attempts.append(server)
        if not held.ran and not held.out:
            held.first = server
        held.out += 1
        self.out[server] = self.out.get(server, 0) + 1
        writer.attempt(number, server, held.stop - self.now)
        return True

    def hedge(self, number: int, writer: Any) -> None:
        """One more attempt of a safe request that is still out."""
        held = self._held.get(number)
        if held is None or held.over or not held.out or len(held.attempts) >= self.terms.max_attempts:
            return
        if (
            self.kinds[held.kind].idempotency == Idempotency.IDEMPOTENT
            and self.terms.can_hedge
            and self.fit(held)
        ):
            self._send(number, held, writer)

    def _returned(
        self,
        writer: Any,
        number: int,
        n: int,
        server: int,
        outcome: Outcome,
        took: float,
        finished: bool,
        report: Any,
    ) -> None:
        held = self._held.get(number)
        if held is None:
            return
        held.out -= 1
        self.out[server] -= 1
        self.learn(server, held.kind, outcome, took, report)
        if outcome == Outcome.UNCONNECTED:
            self._avoid[server] = self.now + AVOIDED
        held.ran = held.ran or outcome not in NEVER_RAN
        if finished or outcome == Outcome.SERVED:
            self._close(number, writer)
        elif not held.over and not held.out:
            effect = self.kinds[held.kind].idempotency
            again = not held.ran or effect == Idempotency.IDEMPOTENT
            if again and outcome != Outcome.TIMED_OUT:
                self._send(number, held, writer)
            else:
                self._end(number, held, writer)
        if held.over and not held.out:
            self._held.pop(number, None)

    def _end(self, number: int, held: Held, writer: Any) -> None:
        kind = self.kinds[held.kind]
        if not (held.ran or held.out) or kind.idempotency == Idempotency.IDEMPOTENT:
            writer.reject(number, 0.0)
        else:
            writer.fail(number)
        self._close(number, writer)

    def _close(self, number: int, writer: Any) -> None:
        held = self._held.get(number)
        if held is None:
            return
        if not held.over:
            held.over = True
            if held.out and self.terms.can_cancel:
                for n in range(len(held.attempts)):
                    writer.cancel(number, n)
        if not held.out:
            self._held.pop(number, None)


class AnyServer(Plain):
    """Any server."""

    def choose(self, fit: list[int], kind: int) -> int:
        """A uniformly random server."""
        return fit[int(self.draw.random() * len(fit))]


class RoundRobin(Plain):
    """One after the other, from a place of its own."""

    def __init__(self, *told: Any) -> None:
        super().__init__(*told)
        self._at = int(self.draw.random() * 1_000_000)

    def choose(self, fit: list[int], kind: int) -> int:
        """The next server in turn."""
        self._at += 1
        return fit[self._at % len(fit)]


class InverseLatency(Plain):
    """By weights inverse to smoothed latency."""

    def __init__(self, *told: Any) -> None:
        super().__init__(*told)
        self._latency: dict[int, float] = {}
        self._mean: dict[int, float] = {}

    def learn(self, server: int, kind: int, outcome: Outcome, took: float, report: Any) -> None:
        """Smooths the latency of a server, in multiples of its class's mean."""
        if outcome in (Outcome.SERVED, Outcome.TIMED_OUT):
            mean = self._mean[kind] = self._mean.get(kind, took) * 0.95 + took * 0.05
            share = took / mean if mean else 1.0
            self._latency[server] = self._latency.get(server, share) * 0.8 + share * 0.2

    def choose(self, fit: list[int], kind: int) -> int:
        """A server with a probability inverse to its smoothed latency."""
        known = [self._latency[one] for one in fit if one in self._latency]
        usual = sum(known) / len(known) if known else 1.0
        weights = list(accumulate(1.0 / max(1e-3, self._latency.get(one, usual)) for one in fit))
        return fit[bisect(weights, self.draw.random() * weights[-1])]


class LeastOut(Plain):
    """Least of its own outstanding, ties by chance."""

    def choose(self, fit: list[int], kind: int) -> int:
        """The server with the fewest attempts of this node in flight."""
        return min(fit, key=lambda one: (self.out.get(one, 0), self.draw.random()))


class TwoChoices(Plain):
    """The one of two with less of its own outstanding."""

    def choose(self, fit: list[int], kind: int) -> int:
        """The better of two random servers by attempts of this node in flight."""
        a, b = (fit[int(self.draw.random() * len(fit))] for _ in range(2))
        return min(a, b, key=lambda one: self.out.get(one, 0))


class ShortestQueue(Plain):
    """Least held by the servers' true state, over their speed; dead and hung ones are seen."""

    def burden(self, server: int) -> float:
        """The true work at a server for each core, weighted by its speed; infinite for one that is down."""
        place = self.node.servers[server]
        pace = place.current_speed() if place.is_alive else 0.0
        return (place.held + 1) / (place.cores * pace) if pace > 0.0 else inf

    def choose(self, fit: list[int], kind: int) -> int:
        """The server with the least true work."""
        return min(fit, key=lambda one: (self.burden(one), self.draw.random()))


class TwoTrueChoices(ShortestQueue):
    """Power of two choices by true state (the policy of the mean-field results)."""

    def choose(self, fit: list[int], kind: int) -> int:
        """The better of two random servers by true work."""
        a, b = (fit[int(self.draw.random() * len(fit))] for _ in range(2))
        return min(a, b, key=self.burden)


class Top(ShortestQueue):
    """True state, and no request that cannot be in time while others can: about the best there is."""

    def admits(self, kind: int, left: float, fit: list[int]) -> bool:
        """Whether the least laden server can answer in time, by the true work."""
        if not fit:
            return False
        best = min(map(self.burden, fit))
        return best * self.node.mean_call_work_s(kind) < self.kinds[kind].target_latency


class Probing(Plain):
    """Probes kept in a pool: the least latency of those with few in flight, else the fewest in flight."""

    POOL, RATE, OLD, HOT = 16, 3.0, 1.0, 0.84

    def __init__(self, *told: Any) -> None:
        super().__init__(*told)
        self._pool: list[tuple[float, int, float, float]] = []  # when, server, in flight, latency
        self._seen: list[float] = []

    def probe_ended(self, server: int, outcome: Outcome, took: float, report: Any) -> None:
        """Adds the answer to a probe to the pool."""
        if outcome == Outcome.SERVED and report:
            self._pool.append((self.now, server, report["held"], report["latency"]))
            self._seen = (self._seen + [report["held"]])[-100:]
            if len(self._pool) > self.POOL:
                self._pool.pop(0)

    def sent(self, number: int, writer: Any) -> None:
        """Sends probes beside the attempt."""
        for _ in range(int(self.RATE)):
            if self.ready:
                writer.probe(self.ready[int(self.draw.random() * len(self.ready))])

    def choose(self, fit: list[int], kind: int) -> int:
        """The server by the probe pool's rule: the quickest that is not hot, else the least laden."""
        open_to = set(fit)
        pool = [one for one in self._pool if self.now - one[0] < self.OLD and one[1] in open_to]
        if len(pool) < 2:
            return fit[int(self.draw.random() * len(fit))]
        limit = sorted(self._seen)[min(len(self._seen) - 1, int(len(self._seen) * self.HOT))]
        cold = [one for one in pool if one[2] <= limit]
        best = min(cold, key=lambda one: one[3]) if cold else min(pool, key=lambda one: one[2])
        self._pool.remove(best)
        # what it is sent now it holds too, for those that look at it next
        self._pool = [
            (when, server, held + (server == best[1]), latency) for when, server, held, latency in self._pool
        ]
        return best[1]


class Hedging(AnyServer):
    """Any server, and a hedge to another after a fixed time."""

    AFTER = 0.5  # of the target latency

    def __init__(self, *told: Any) -> None:
        super().__init__(*told)
        self._due: list[tuple[float, int]] = []

    def sent(self, number: int, writer: Any) -> None:
        """Sets the hedge timer of an idempotent request."""
        kind = self.kinds[self._held[number].kind]
        if kind.idempotency == Idempotency.IDEMPOTENT:
            moment = self.now + self.AFTER * kind.target_latency
            self._due.append((moment, number))
            writer.wake_at(moment)

    def timer_due(self, writer: Any) -> None:
        """Sends the hedges that are due."""
        due = [number for moment, number in self._due if moment <= self.now + 1e-9]
        self._due = [one for one in self._due if one[0] > self.now + 1e-9]
        for number in due:
            self.hedge(number, writer)


class HedgingAll(AnyServer):
    """Two of everything that is safe."""

    def sent(self, number: int, writer: Any) -> None:
        """Sends the second attempt at once."""
        self.hedge(number, writer)


BASELINES: dict[str, type[Plain]] = {
    "random": AnyServer,
    "round_robin": RoundRobin,
    "inverse_latency": InverseLatency,
    "least_out": LeastOut,
    "two_choices": TwoChoices,
    "shortest_queue": ShortestQueue,
    "two_true_choices": TwoTrueChoices,
    "probing": Probing,
    "hedging": Hedging,
    "hedging_all": HedgingAll,
    "top": Top,
}
