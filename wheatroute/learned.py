"""What a node knows by its own requests: servers, latencies, idle connections, how much it may have out."""

from __future__ import annotations

from math import inf, log2, sqrt
from random import Random

from wheatroute.balancing.settings import RequestClass
from wheatroute.quantiles import Window

WINDOW = 10.0  # seconds of own latencies behind the hedge timer
RESOLVE = 1.0  # the split and the timer are solved anew this often, seconds
MARGIN = 0.1  # the hedge timer stands this share above the p95
SAMPLES = 20  # no hedge before this many latencies
PRIOR = 2.0  # latencies that a server's model stands for beside the server's own
DOUBT = 2.0  # to which this many standard errors of the stay are added: uneven work makes it a rough figure
ALL_SLOW = 1.5  # no hedges while the last second's median is this multiple of the window's
GROWTH = 0.2  # the limit's growth a beat while it binds, times how far attempts are from staying long
START = 3.0  # attempts a node may have out at first, in shares of a server for each node of the tier
FLOOR = 4.0  # and at the least, alike
BUSY = 1.0  # nor less than this multiple of what the highest rate holds at the shortest stay
MOST = 2.0  # nor, beyond its start, more than this multiple, and two thirds of it among many nodes
IDLE_STEPS = 7  # how long a connection was idle, in doublings of half a second
OFTEN = 3.0  # times as many lost as on busy connections: those idle for as long are not trusted
RECALL = 0.97  # what is left of a remembered peak after a second without a higher one


class Request:
    """One request: its times, and the account of its attempts that rules one and two are kept by."""

    __slots__ = (
        "number",
        "kind",
        "rules",
        "target",
        "give_up",
        "value",
        "servers",
        "out",
        "may",
        "group",
        "since",
        "over",
        "hedged",
        "queued",
        "idle",
        "opened",
        "share",
        "part",
        "size",
    )

    def __init__(
        self, number: int, kind: int, rules: RequestClass, target: float, give_up: float, value: float
    ) -> None:
        self.number, self.kind, self.rules, self.target = number, kind, rules, target
        self.give_up, self.value = give_up, value
        self.servers: list[int] = []  # by attempt
        self.idle: list[int] = []  # by attempt: how long its connection may have been idle, in steps
        self.opened: list[bool] = []  # by attempt: it needed a new connection
        self.out: set[int] = set()  # attempts without an outcome; only sorted() or min() of it is used
        self.may = 0  # attempts that came back and may have run
        self.group = -1  # the first attempt that may have run decides where repeats may go
        self.since = inf  # and from when its repeat window counts
        self.over = self.hedged = self.queued = False
        self.share = -1  # the tenant whose share it used
        self.size = 1.0  # hinted work over its request class's mean


class Servers:
    """What this node knows of each server, in parallel arrays under the server's number."""

    def __init__(self) -> None:
        self.ready: list[bool] = []
        self.zone: list[int] = []
        self.model: list[int] = []
        self.cell: list[int] = []
        self.born: list[float] = []
        self.latency: list[float] = []  # smoothed, in multiples of the request class's mean; 0: not heard
        self.weight: list[float] = []  # how many latencies stand behind it
        self.noted: list[float] = []  # when the last of them came
        self.held: list[int] = []  # this node's attempts out
        self.told: list[float] = []  # requests of all nodes that it holds, as its last report has it
        self.told_at: list[float] = []
        self.errors: list[float] = []  # smoothed share of errors
        self.heard: list[float] = []  # last answer that shows it works
        self.used: list[float] = []  # last answer: since then its connection is idle
        self.barred: list[float] = []  # no ordinary attempts before a trial after this moment succeeds
        self.spare: list[int] = []  # attempts that fit on connections already open
        self.no_new: list[float] = []  # a new connection failed: none is tried before this moment
        self.wait_new: list[float] = []  # how long that lasts the next time
        self.misses: list[int] = []  # connections that failed or broke since the last answer
        self.penalty: list[float] = []  # how long the next bar lasts
        self.trial: list[bool] = []  # a trial attempt is out
        self.credit: list[float] = []  # attempts a cold server may get now
        self.full: list[float] = []  # turned an attempt away as full: nothing new before this moment
        self.carried: list[float] = []  # attempts served a second, smoothed
        self.served: list[int] = []  # attempts served since the last beat
        self.out: list[dict[tuple[int, int], float]] = []  # attempts out and when sent, oldest first

    def extend(self, count: int) -> None:
        """Makes room for numbers below count."""
        unknown = {"heard": -inf, "used": -inf, "told_at": -inf, "ready": False, "trial": False}
        for _ in range(count - len(self.ready)):
            for name, figures in vars(self).items():
                figures.append({} if name == "out" else unknown.get(name, 0))

    def recent(self, server: int, now: float) -> float:
        """What is left of a server's latencies by now."""
        return 1.0 / (1.0 + (now - self.noted[server]) / WINDOW)

    def expected(self, members: list[int], now: float, usual: float) -> list[float]:
        """The latency of each: its own, leaning on its model's and all members' while little is heard.

        Guards against a split that tells a slow model late or shuns a server for one heavy request; and, as
        an attempt still out counts once it is out for longer, against learning of a jam by time-outs only.
        """
        own, heard = [], {}  # by server, and by model: weight, weighted sum
        for s in members:
            weight = self.weight[s] * self.recent(s, now)
            total = weight * self.latency[s]
            age = (now - next(iter(self.out[s].values()))) / usual if self.out[s] and usual else 0.0
            if age * (PRIOR + weight) > PRIOR + total:
                weight, total = weight + 1.0, total + age
            own.append((weight, total))
            count, mass = heard.get(self.model[s], (0.0, 0.0))
            heard[self.model[s]] = (count + weight, mass + total)
        count, mass = (sum(column) for column in zip((0.0, 0.0), *heard.values(), strict=True))
        mean = (PRIOR + mass) / (PRIOR + count)
        means = {model: (PRIOR * mean + mass) / (PRIOR + count) for model, (count, mass) in heard.items()}
        return [
            (PRIOR * means[self.model[s]] + total) / (PRIOR + weight)
            for s, (weight, total) in zip(members, own, strict=True)
        ]

    def forget(self, server: int, born: float) -> None:
        """A process that started anew, or under a used number, has nothing in common with the one before."""
        for figures in (
            self.latency,
            self.weight,
            self.errors,
            self.told,
            self.barred,
            self.penalty,
            self.spare,
            self.misses,
            self.no_new,
            self.wait_new,
            self.carried,
        ):
            figures[server] = 0
        self.born[server], self.trial[server] = born, False
        self.heard[server] = self.used[server] = self.told_at[server] = -inf


class Pace:
    """This node's latencies to the tier over the window, and what follows from them."""

    def __init__(self) -> None:
        self.window = Window(WINDOW)  # latencies, also in multiples of their class's mean
        self.mean: list[float] = []  # smoothed latency of each request class
        self.least = inf  # of those known
        self.p95, self.timer = 0.0, inf
        self.median = 0.0  # of the window, in multiples of the class's mean
        self.latest = 0.0  # the same of the last second
        self.spread = 1.0  # standard deviation over mean of the latencies within a class
        self.seen: list[float] = []
        self.work: list[float] = []  # smoothed hints of each request class

    def extend(self, kinds: int) -> None:
        for figures in (self.mean, self.seen, self.work):
            figures.extend([0.0] * (kinds - len(figures)))

    def size(self, kind: int, work: float) -> float:
        """A request's hinted work in multiples of its class's mean; 1 without a hint.

        Guards against a server that looks slow for one heavy request where its weight is known beforehand.
        """
        if work <= 0.0:
            return 1.0
        self.work[kind] += (work - self.work[kind]) / (SAMPLES if self.work[kind] else 1.0)
        return work / self.work[kind]

    def add(self, now: float, kind: int, took: float, served: bool, size: float) -> float:
        """Takes one latency in; returns it in multiples of its request class's mean, for a usual size."""
        mean, raw = self.mean[kind], took
        took /= size
        if served:
            # slow to move, so that it speaks of the class and not of the moment
            self.seen[kind] = min(self.seen[kind] + 1, 5 * SAMPLES)
            self.mean[kind] = mean = mean + (took - mean) / self.seen[kind]
            self.least = min((one for one in self.mean if one), default=inf)
        share = took / mean if mean else 1.0
        self.window.add(now, raw, share)
        return share

    def beat(self, now: float) -> None:
        shares = self.window.shares_since(now - RESOLVE)
        self.latest = shares[len(shares) // 2] if len(shares) >= SAMPLES // 4 else 0.0

    def resolve(self, now: float) -> None:
        window = self.window
        window.settle(now)
        if not window.count:
            self.timer = inf
            return
        self.p95, self.median = window.latency(0.95), window.share(0.5)
        self.timer = self.p95 * (1.0 + MARGIN) if window.count >= SAMPLES else inf
        self.spread = window.spread()

    @property
    def all_slow(self) -> bool:
        """Guards against hedges when the whole tier slows: the lagging p95 would then send them all."""
        return self.latest > ALL_SLOW * self.median > 0.0


class Idleness:
    """Whether attempts get lost on connections that were idle for long.

    Guards against paths that forget an idle connection without a word: an attempt on it is never answered,
    though the server is well and answers what comes on busy or new connections.
    """

    def __init__(self) -> None:
        self.good, self.lost = [0.0] * IDLE_STEPS, [0.0] * IDLE_STEPS
        self.stale = inf  # connections idle for this long are not trusted

    def step(self, idle: float) -> int:
        return 0 if idle < RESOLVE / 2 else min(IDLE_STEPS - 1, int(log2(2 * idle / RESOLVE)) + 1)

    def resolve(self) -> None:
        """Finds the shortest idleness from which on attempts get lost far more often than on busy ones."""
        base = (self.lost[0] + 1.0) / (self.good[0] + self.lost[0] + SAMPLES)
        self.stale = inf
        for i in range(1, IDLE_STEPS):
            lost, good = sum(self.lost[i:]), sum(self.good[i:])
            here = self.lost[i] / (self.lost[i] + self.good[i] + 1.0)
            if lost >= 3.0 and lost / (lost + good) > OFTEN * base and here > base:
                self.stale = RESOLVE / 2 * 2 ** (i - 1)
                break
        self.good = [RECALL * one for one in self.good]
        self.lost = [RECALL * one for one in self.lost]


class Ring:
    """The servers that this node keeps to: their split, and the limit of what it may have out there."""

    def __init__(self) -> None:
        self.servers: list[int] = []
        self.bounds: list[float] = []  # running sum of the split
        self.share: dict[int, float] = {}
        self.expected: dict[int, float] = {}  # latencies, in multiples of the request class's mean
        self.slow: list[int] = []
        self.open = 1.0  # share of the servers kept to that is not barred
        self.told = 0.0  # requests that a server here holds in the mean, by recent reports
        self.fair = 1.0  # servers here for each node that sends to them
        self.out = 0
        self.served = 0  # since the last beat
        self.level = self.rate = 0.0  # attempts out, and served a second, smoothed alike
        self.peak = 0.0  # highest rate of late
        self.best = 0.0  # shortest stay of late
        self.limit = inf  # attempts this node may have out here, in fractions
        self.room = 0  # the limit as a whole number, by chance up or down

    def beat(self, step: float, spread: float, longer: float, chance: Random) -> None:
        """Follows how long attempts stay out: what is out over what gets served a second.

        Unlike the latency of those that came back, it also speaks of those that did not.
        """
        fair, part = self.fair, min(1.0, 1.0 / self.fair)
        start = START * fair * (1.0 + part)
        if self.limit == inf:
            # nothing is known at the start, when a node may wake up in the middle of a rush
            self.limit = start
        # guards against many nodes that each round up what they may have out; a node with a small part of
        # the traffic meets its requests in clusters, and needs room for the deviation of their number, but
        # not for good. And what barred servers would hold is not heaped on the others
        limit = self.limit * self.open
        spare = max(0.0, 1.0 - self.level / limit)
        self.room = int(limit + 2.0 * spare * sqrt(limit) * part + chance.random())
        weight = min(0.25, max(step / WINDOW, self.rate * step / SAMPLES))
        self.rate += (self.served / step - self.rate) * weight
        self.served = 0
        self.level += (self.out - self.level) * weight
        self.peak = max(self.rate, self.peak * RECALL**step)
        if self.rate * WINDOW < SAMPLES or not self.level:
            return
        stay = self.level / self.rate
        if not self.best or stay < self.best:
            self.best += (stay - self.best) * 0.25 if self.best else stay
        else:
            # slowly: a jam of half a minute must not pass for the usual
            self.best += (stay - self.best) * step / (30 * WINDOW)
        crowded = 1.0 + longer + DOUBT * spread / sqrt(self.rate * step / weight)
        full = self.best * self.peak
        self._adapt(stay / self.best / crowded, max(FLOOR * fair, BUSY * full), fair)
        self.limit = min(self.limit, max(start, MOST * full / (1.0 + part / 2)))

    def _adapt(self, crowding: float, floor: float, fair: float) -> None:
        """Keeps what is out where attempts stay little longer than the shortest stay.

        Guards against servers that turn slow for long once too much waits in them: what they cannot take
        waits here, where it can still be sorted, or be turned away unharmed. Never less than what keeps
        every server at work, shortest stay times highest rate: else a slowness that all servers share
        would be answered by ever less.
        """
        if crowding > 1.0:
            self.limit = max(floor, min(self.limit, self.out) * max(0.8, 1.0 / crowding))
        elif self.out > 0.7 * self.limit:
            growth = max(0.5 * min(1.0, fair), GROWTH * (1.0 - crowding) * self.limit)
            self.limit = max(floor, self.limit + growth)
