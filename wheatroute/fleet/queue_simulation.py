"""Simulated servers without a network under Poisson arrivals, to compare with `closed_forms.py`. No I/O."""

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

UNBOUNDED = 10**6  # number of jobs that no run reaches
MAX_TAIL_LENGTH = 64  # number of queue lengths in `QueueStatistics.tail`
ARRIVALS_PER_SAMPLE = 8  # queue lengths are sampled once per this number of arrivals
WARMUP_DIVISOR = 10  # the first 1 / WARMUP_DIVISOR of the jobs don't count
END_AT = 1e12  # time that is later than the end of all jobs


@dataclass(frozen=True, slots=True)
class QueueStatistics:
    """Holds the results of a run."""

    mean_time_s: float  # mean time of a job in the system
    rejected: float  # fraction of the arrivals that were rejected
    tail: list[float]  # fraction of the servers that hold at least 0, 1, 2, ... jobs, sampled at arrivals


class TimedJobOwner:
    """Owner of a job; records how long the job was in the system."""

    def __init__(self, engine: Engine, times: list[float] | None) -> None:
        self._engine = engine
        self._times = times  # None: the job doesn't count
        self._arrived_at = engine.now

    def stage_done(self, job: Job) -> None:
        """Does nothing, because jobs have one stage."""

    def job_done(self, job: Job, outcome: AttemptOutcome) -> None:
        """Records the time that the job was in the system."""
        if self._times is not None:
            self._times.append(self._engine.now - self._arrived_at)

    def cancelled(self, job: Job) -> None:
        """Does nothing, because no job is cancelled."""

    def server_died(self, job: Job) -> None:
        """Does nothing, because servers don't die here."""


class QueueSimulation:
    """Simulates identical servers and the jobs that arrive at them."""

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
        self._work = work  # maps a uniform random number to seconds of work
        self._jobs = jobs
        self._choose = choose  # None: servers are chosen at random
        self._arrived = 0
        self._warmup_jobs = jobs // WARMUP_DIVISOR
        self._times: list[float] = []
        # by number of jobs: how many sampled servers held at least that many jobs
        self._tail = [0] * MAX_TAIL_LENGTH
        self._sampled_servers = 0
        self._rejected = 0

    def run(self) -> QueueStatistics:
        """Simulates all arrivals until their jobs have ended."""
        self._engine.call_later(0.0, self._arrive)
        self._engine.run(END_AT)
        return QueueStatistics(
            sum(self._times) / len(self._times),
            self._rejected / (self._jobs - self._warmup_jobs),
            [count / max(1, self._sampled_servers) for count in self._tail],
        )

    def _arrive(self) -> None:
        self._arrived += 1
        is_counted = self._arrived > self._warmup_jobs
        if is_counted and self._arrived % ARRIVALS_PER_SAMPLE == 0:
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
        self._sampled_servers += len(self._servers)
        for server in self._servers:
            for length in range(min(MAX_TAIL_LENGTH - 1, server.held_jobs) + 1):
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
    queue_capacity: int = UNBOUNDED,
    choose: Callable[[list[Server]], Server] | None = None,
) -> QueueStatistics:
    """Simulates Poisson arrivals at identical servers; the mean work of a job is 1 s."""
    engine = Engine()
    rng = stream(seed, "queues")
    # `model_copy` skips the validation, because the bounds of plans don't apply here.
    tier = Tier(name="queue", servers=1).model_copy(
        update={"discipline": discipline, "slots_per_core": UNBOUNDED, "queue_per_core": queue_capacity}
    )
    model = ServerModel(name="one", cores=cores)
    identical_servers = [
        Server(engine, Placement(0, i, 0, 0, 0), tier, model, 1.0, rng) for i in range(servers)
    ]
    for server in identical_servers:
        server.queue_capacity = queue_capacity
    work = distribution(distribution_name, 1.0, cv)
    rate = load * cores * servers
    return QueueSimulation(identical_servers, engine, rng, rate, work, jobs, choose).run()
