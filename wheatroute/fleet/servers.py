"""Simulated servers: admission, slots and queue, speed, start and end of their processes. No I/O.

A server executes the work that it is given and never decides where work goes. Of a request it knows only the
work of each stage of the job; the owner of the job makes the calls to the next tier between the stages.
"""

from __future__ import annotations

from collections import deque
from math import log2
from random import Random
from typing import NamedTuple

from wheatroute.balancing.interface import AttemptOutcome
from wheatroute.fleet.collapse import CollapseMonitor
from wheatroute.fleet.engine import Engine
from wheatroute.fleet.jobs import Job, JobState
from wheatroute.fleet.load_reports import LoadReporter
from wheatroute.fleet.network import Address
from wheatroute.fleet.plan import ServerModel, Tier
from wheatroute.fleet.processor import Processor
from wheatroute.fleet.server_speed import ServerSpeed

# Interval between updates of what changes with time alone: warm-up, collapse and recovery.
UPDATE_INTERVAL_S = 0.25
ERROR_DELAY_S = 0.001  # from the acceptance of a job that fails immediately to its error


class Placement(NamedTuple):
    """Identifies a server and where it runs."""

    depth: int  # index of its tier
    number: int  # index in its tier
    zone: int
    model: int  # index into `Tier.models`
    cell: int


class Server:
    """One server; `incarnation` counts its processes, to recognize jobs and connections of earlier ones."""

    def __init__(
        self,
        engine: Engine,
        placement: Placement,
        tier: Tier,
        model: ServerModel,
        speed: float,  # of a core when warmed up and without faults
        rng: Random,
    ) -> None:
        self.depth, self.number, self.zone, self.model, self.cell = placement
        self.address = Address(self.depth, self.number)
        self.tier = tier
        self.cores = model.cores
        self.slots = model.cores if tier.discipline == "in_turn" else model.cores * tier.slots_per_core
        self.queue_capacity = model.cores * tier.queue_per_core
        self.max_connections = model.cores * tier.max_connections_per_core
        self.incarnation = 0
        self.is_alive = True
        self.open_connections = 0
        self.held_jobs = 0  # number of jobs in service, queued or blocked on a call
        self.in_service = 0  # number of slots in use
        self.error_rate = 0.0  # fraction of jobs that fail immediately, set by a fault
        self.collapse = CollapseMonitor(tier.collapse, model.cores, engine.now)
        self.reporter = LoadReporter(rng)
        self._engine = engine
        self._rng = rng
        self._speed = ServerSpeed(tier, speed)
        self._processor = Processor(engine, model.cores, self._stage_ended)
        self._queue: deque[Job] = deque()
        self._jobs: dict[Job, None] = {}  # used as an ordered set

    # jobs

    def accept(self, job: Job) -> bool:
        """Accepts a job; returns False, and never runs the job, if all slots and the queue are full."""
        if self.in_service >= self.slots and len(self._queue) >= self.queue_capacity:
            return False
        self._observe_load()
        job.incarnation = self.incarnation
        job.accepted_at = self._engine.now
        self._jobs[job] = None
        self.held_jobs += 1
        if self.error_rate and self._rng.random() < self.error_rate:
            self._engine.call_later(ERROR_DELAY_S, self._fail_immediately, job)
        elif self.in_service < self.slots:
            self.in_service += 1
            self._run(job)
        else:
            job.state = JobState.QUEUED
            self._queue.append(job)
        return True

    def add_background_work(self, work_s: float) -> None:
        """Adds work that belongs to no request, such as a handshake; it slows down the jobs in service."""
        if self.is_alive and work_s:
            self._run(Job([work_s], None))

    def run_next_stage(self, job: Job) -> None:
        """Starts the next stage of a job, after the call between the two stages was served."""
        if self._holds(job):
            job.stage += 1
            self._run(job)

    def fail(self, job: Job) -> None:
        """Ends a job with an error: a call between its stages was not served, or its deadline has passed."""
        if self._holds(job):
            self._end(job)
            self.reporter.count_failed()
            if job.owner is not None:
                job.owner.job_done(job, AttemptOutcome.ERROR)

    def cancel(self, job: Job) -> None:
        """Stops a job whose client no longer waits, if the tier can cancel jobs in its state."""
        if not self._holds(job):
            return
        cancellable = self.tier.cancellable
        if cancellable == "none" or cancellable == "waiting" and job.state != JobState.QUEUED:
            return
        self._end(job)
        if job.owner is not None:
            job.owner.cancelled(job)

    def _holds(self, job: Job) -> bool:
        return job.state != JobState.ENDED and job.incarnation == self.incarnation

    def _fail_immediately(self, job: Job) -> None:
        if self._holds(job):
            self.in_service += 1
            self.fail(job)

    def _run(self, job: Job) -> None:
        self._processor.add(job)
        self._reschedule()

    def _end(self, job: Job) -> None:
        """Removes a job and starts queued jobs in the free slots."""
        self._observe_load()
        state = job.state
        self._jobs.pop(job, None)
        if state == JobState.RUNNING:
            self._processor.remove(job)
        job.state = JobState.ENDED
        if job.owner is not None:
            self.held_jobs -= 1
            if state == JobState.QUEUED:
                self._queue.remove(job)
            else:
                self.in_service -= 1
                self._start_queued()
        self._reschedule()

    def _start_queued(self) -> None:
        while self._queue and self.in_service < self.slots:
            self.in_service += 1
            self._run(self._queue.popleft())

    def _stage_ended(self, job: Job) -> None:
        if job.stage + 1 < len(job.stages):
            self._processor.remove(job)
            self._reschedule()
            if job.owner is not None:
                job.owner.stage_done(job)
            return
        self._end(job)
        if job.owner is not None:
            self.reporter.count_served()
            job.owner.job_done(job, AttemptOutcome.SERVED)

    # speed

    @property
    def started_at(self) -> float:
        """When its process started; 0 means long ago."""
        return self._speed.started_at

    @property
    def is_hanging(self) -> bool:
        """Whether a fault makes it answer nothing."""
        return self._speed.is_hanging

    def current_speed(self) -> float:
        """Returns the current speed of a core, including warm-up, faults and collapse; 0 while it hangs."""
        return self._speed.current(self._engine.now) / self.collapse.slowdown

    def warmup_share(self) -> float:
        """Returns the fraction of its full speed that the server has reached since its start."""
        return self._speed.warmup_share(self._engine.now)

    def capacity(self) -> float:
        """Returns the seconds of work per second that it does when warmed up and without faults."""
        return self.cores * self._speed.base

    def set_fault_factor(self, fault: str, factor: float) -> None:
        """Sets the factor of a fault on the speed; 1 ends the fault."""
        self._processor.advance()
        self._speed.set_fault_factor(fault, factor)
        self._reschedule()

    def update(self) -> None:
        """Applies the changes that come with time alone: warm-up, collapse and recovery."""
        if not self.is_alive:
            return
        self._observe_load()
        self.collapse.update(self._engine.now)
        self._processor.advance()
        self._reschedule()

    def start_reports(self, delay_s: float) -> None:
        """Refreshes the load report after a delay, and then once every report interval."""
        self._engine.call_later(delay_s, self._refresh_report)

    def _refresh_report(self) -> None:
        plan = self.tier.reports
        if plan is not None:
            self.reporter.refresh(self.held_jobs, plan)
            self._engine.call_later(plan.interval_s, self._refresh_report)

    def _observe_load(self) -> None:
        self.collapse.observe(self._engine.now, self.held_jobs, self._processor.running)

    def _reschedule(self) -> None:
        self._processor.reschedule(self.current_speed(), self._thrash_slowdown())

    def _thrash_slowdown(self) -> float:
        """Returns the factor by which all work takes longer because of too many requests in service.

        It is 1 up to the threshold.
        """
        excess = self.in_service / self.cores / self.tier.thrash_threshold
        return 1.0 + self.tier.thrash * log2(excess) if excess > 1.0 else 1.0

    # processes

    def die(self) -> list[Job]:
        """Ends the process and returns the jobs that it held, in the order in which they were accepted."""
        self._processor.advance()
        lost = sorted(self._jobs, key=lambda job: (job.accepted_at, job.virtual_end))
        for job in lost:
            job.state = JobState.ENDED
        self._jobs.clear()
        self._queue.clear()
        self._processor.clear()
        self.in_service = self.held_jobs = self.open_connections = 0
        self.is_alive = False
        self.incarnation += 1
        self.collapse.process_ended()
        self._speed.process_ended()
        self._reschedule()
        return lost

    def start(self) -> None:
        """Starts a new process, which begins cold."""
        self.is_alive = True
        self._speed.process_started(self._engine.now)
        self._processor.restart()
        self.collapse.process_started(self._engine.now)
