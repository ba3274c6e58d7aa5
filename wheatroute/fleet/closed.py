"""Closed forms of queueing, and the servers alone under the load that they are about.

Owns what the emulator is checked against: M/M/1 and M/G/1 waits (Pollaczek and Khinchine), M/M/c by Erlang's
second formula, processor sharing, the loss of M/M/c/K, and the mean-field tail of two choices (Mitzenmacher
2001, Vvedenskaya and others 1996). It builds no fleet: servers, an engine and arrivals are all there is.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from math import factorial

from wheatroute.balancing.interface import Outcome
from wheatroute.fleet.distributions import distribution
from wheatroute.fleet.engine import Engine
from wheatroute.fleet.jobs import Job
from wheatroute.fleet.plan import ServerModel, Tier
from wheatroute.fleet.random_streams import stream
from wheatroute.fleet.servers import Placement, Server


def mm1(load: float, work: float) -> float:
    """Mean time in M/M/1, and in M/G/1 with processor sharing, whatever the law of the work; seconds."""
    return work / (1.0 - load)


def mg1(load: float, work: float, cv: float) -> float:
    """Mean time in M/G/1, first come first served."""
    return work + load * work * (1.0 + cv * cv) / 2 / (1.0 - load)


def erlang_c(load: float, cores: int) -> float:
    """The share of arrivals that wait in M/M/c; `load` is that of each core."""
    offered = load * cores
    last = offered**cores / factorial(cores) / (1.0 - load)
    return last / (sum(offered**k / factorial(k) for k in range(cores)) + last)


def mmc(load: float, work: float, cores: int) -> float:
    """Mean time in M/M/c."""
    return work + erlang_c(load, cores) * work / cores / (1.0 - load)


def mmck(load: float, cores: int, most: int) -> float:
    """The share of arrivals turned away by M/M/c/K, which holds `most` at the most."""
    offered = load * cores
    weights = [
        offered**k / factorial(k) if k <= cores else offered**k / factorial(cores) / cores ** (k - cores)
        for k in range(most + 1)
    ]
    return weights[-1] / sum(weights)


def two_choices_tail(load: float, length: int) -> float:
    """The share of servers that hold at least `length`, of very many queues fed by the better of two."""
    return load ** (2**length - 1)


@dataclass(frozen=True, slots=True)
class Seen:
    """What a run of queues had."""

    time: float  # mean seconds in the system
    lost: float  # share turned away
    tail: list[float]  # share of servers that hold at least 0, 1, 2, ... as arrivals see it


class TimedJob:
    """Owner of a job that notes how long it was in the system."""

    def __init__(self, engine: Engine, times: list[float] | None) -> None:
        self._engine = engine
        self._times = times  # None: a job that does not count
        self._arrived_at = engine.now

    def stage_done(self, job: Job) -> None:
        """Jobs have one stage."""

    def job_done(self, job: Job, outcome: Outcome) -> None:
        """Notes the time."""
        if self._times is not None:
            self._times.append(self._engine.now - self._arrived_at)

    def cancelled(self, job: Job) -> None:
        """Nothing is cancelled here."""

    def server_died(self, job: Job) -> None:
        """Servers don't end here."""


def queues(
    servers: int,
    cores: int,
    discipline: str,
    load: float,
    name: str,
    cv: float,
    jobs: int,
    seed: int,
    room: int = 10**6,
    choose: Callable[[list[Server]], Server] | None = None,
) -> Seen:
    """Poisson arrivals at `servers` alike, works of mean 1 s."""
    engine, draw = Engine(), stream(seed, "queues")
    # not validated: bounds of plans are no bounds here
    tier = Tier(name="queue", servers=1).model_copy(
        update={"discipline": discipline, "slots_per_core": 10**6, "queue_per_core": room}
    )
    model = ServerModel(name="one", cores=cores)
    all_of_them = [Server(engine, Placement(0, i, 0, 0, 0), tier, model, 1.0, draw) for i in range(servers)]
    for server in all_of_them:
        server.queue_capacity = room
    work, rate, started, skip = distribution(name, 1.0, cv), load * cores * servers, 0, jobs // 10
    times: list[float] = []
    tail, looks, lost = [0] * 64, 0, 0

    def arrive() -> None:
        nonlocal started, lost, looks
        started += 1
        counted = started > skip
        if counted and started % 8 == 0:
            looks += len(all_of_them)
            for server in all_of_them:
                for length in range(min(63, server.held) + 1):
                    tail[length] += 1
        server = choose(all_of_them) if choose else all_of_them[int(draw.random() * servers)]

        owner = TimedJob(engine, times if counted else None)
        if not server.accept(Job([work(draw.random())], owner)):
            lost += counted
        if started < jobs:
            engine.call_later(draw.expovariate(rate), arrive)

    engine.call_later(0.0, arrive)
    engine.run(1e12)
    return Seen(sum(times) / len(times), lost / (jobs - skip), [one / max(1, looks) for one in tail])
