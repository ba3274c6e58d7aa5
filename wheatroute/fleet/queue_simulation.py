"""Emulated servers alone under Poisson arrivals, to be compared with `closed_forms.py`. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from wheatroute.balancing.interface import AttemptOutcome
from wheatroute.fleet.distributions import distribution
from wheatroute.fleet.engine import Engine
from wheatroute.fleet.jobs import Job
from wheatroute.fleet.plan import ServerModel, Tier
from wheatroute.fleet.random_streams import stream
from wheatroute.fleet.servers import Placement, Server

NO_BOUND = 10**6  # jobs; never reached
MAX_LENGTH = 64  # of a tail
SAMPLE_EVERY = 8  # arrivals
WARMUP_FRACTION = 10  # one of so many jobs comes before the figures begin
END = 1e12  # moment after all jobs have ended


@dataclass(frozen=True, slots=True)
class QueueFigures:
    """What a run of queues had."""

    mean_time_s: float  # in the system
    rejected: float  # fraction of the arrivals
    tail: list[float]  # fraction of the servers that hold at least 0, 1, 2, ... jobs, as arrivals see it


class TimedJobOwner:
    """Owner of a job that notes how long it was in the system."""

    def __init__(self, engine: Engine, times: list[float] | None) -> None:
        self._engine = engine
        self._times = times  # None: a job that doesn't count
        self._arrived_at = engine.now

    def stage_done(self, job: Job) -> None:
        """Jobs have one stage."""

    def job_done(self, job: Job, outcome: AttemptOutcome) -> None:
        """Notes the time."""
        if self._times is not None:
            self._times.append(self._engine.now - self._arrived_at)

    def cancelled(self, job: Job) -> None:
        """Nothing is cancelled here."""

    def server_died(self, job: Job) -> None:
        """Servers don't end here."""


class QueueSimulation:
    """Servers that are alike, and the jobs that arrive at them."""

    def __init__(
        self,
        servers: list[Server],
        engine: Engine,
        rng: Random,
        rate: float,
        work: Callable[[float], float],
        jobs: int,
        choose: Callable[[list[Server]], Server] | None,
    ) -> None:
        self._servers = servers
        self._engine = engine
        self._rng = rng
        self._rate = rate  # arrivals per second
        self._work = work  # from a uniform draw to seconds
        self._jobs = jobs
        self._choose = choose  # None: at random
        self._arrived = 0
        self._warmup_jobs = jobs // WARMUP_FRACTION
        self._times: list[float] = []
        self._tail = [0] * MAX_LENGTH
        self._sampled = 0  # servers
        self._rejected = 0

    def run(self) -> QueueFigures:
        """Plays all arrivals to their end."""
        self._engine.call_later(0.0, self._arrive)
        self._engine.run(END)
        return QueueFigures(
            sum(self._times) / len(self._times),
            self._rejected / (self._jobs - self._warmup_jobs),
            [count / max(1, self._sampled) for count in self._tail],
        )

    def _arrive(self) -> None:
        self._arrived += 1
        is_counted = self._arrived > self._warmup_jobs
        if is_counted and self._arrived % SAMPLE_EVERY == 0:
            self._sample_lengths()
        server = self._choose_server()
        owner = TimedJobOwner(self._engine, self._times if is_counted else None)
        if not server.accept(Job([self._work(self._rng.random())], owner)):
            self._rejected += is_counted
        if self._arrived < self._jobs:
            self._engine.call_later(self._rng.expovariate(self._rate), self._arrive)

    def _choose_server(self) -> Server:
        if self._choose is not None:
            return self._choose(self._servers)
        return self._servers[int(self._rng.random() * len(self._servers))]

    def _sample_lengths(self) -> None:
        self._sampled += len(self._servers)
        for server in self._servers:
            for length in range(min(MAX_LENGTH - 1, server.held_jobs) + 1):
                self._tail[length] += 1


def simulate_queues(
    servers: int,
    cores: int,
    discipline: str,
    load: float,
    distribution_name: str,
    cv: float,
    jobs: int,
    seed: int,
    queue_capacity: int = NO_BOUND,
    choose: Callable[[list[Server]], Server] | None = None,
) -> QueueFigures:
    """Plays Poisson arrivals at servers that are alike; the work of a job has a mean of 1 s."""
    engine = Engine()
    rng = stream(seed, "queues")
    # not validated: the bounds of plans don't apply here
    tier = Tier(name="queue", servers=1).model_copy(
        update={"discipline": discipline, "slots_per_core": NO_BOUND, "queue_per_core": queue_capacity}
    )
    model = ServerModel(name="one", cores=cores)
    alike = [Server(engine, Placement(0, i, 0, 0, 0), tier, model, 1.0, rng) for i in range(servers)]
    for server in alike:
        server.queue_capacity = queue_capacity
    work = distribution(distribution_name, 1.0, cv)
    rate = load * cores * servers
    return QueueSimulation(alike, engine, rng, rate, work, jobs, choose).run()
