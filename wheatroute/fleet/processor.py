"""The cores of a simulated server, shared equally by the jobs in service (processor sharing). No I/O.

The implementation uses virtual time: all jobs in service advance at the same rate, so the job with the lowest
virtual end finishes next. The arrival or completion of a job costs one heap operation, however many jobs are
in service.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush

from wheatroute.fleet.engine import Engine, ScheduledCall
from wheatroute.fleet.jobs import Job, JobState


class Processor:
    """Serves stages of jobs and calls `on_stage_end` with each job whose stage is done.

    `reschedule` must be called after each change of the jobs in service or of the speed.
    """

    def __init__(self, engine: Engine, cores: int, on_stage_end: Callable[[Job], None]) -> None:
        self.cores = cores
        self.running = 0  # number of jobs in service
        self._engine = engine
        self._on_stage_end = on_stage_end
        self._virtual_time = 0.0  # seconds of work that a job in service since the start would have received
        self._rate = 0.0  # seconds of virtual time per second
        self._updated_at = engine.now
        self._ends: list[tuple[float, int, Job]] = []  # heap by virtual end; may contain stopped jobs
        self._sequence = 0
        self._next_end: ScheduledCall | None = None

    def advance(self) -> None:
        """Advances virtual time to now; must be called before the rate changes."""
        now = self._engine.now
        self._virtual_time += (now - self._updated_at) * self._rate
        self._updated_at = now

    def add(self, job: Job) -> None:
        """Starts the current stage of a job."""
        self.advance()
        self.running += 1
        job.state = JobState.RUNNING
        job.virtual_end = self._virtual_time + job.stages[job.stage]
        self._sequence += 1
        heappush(self._ends, (job.virtual_end, self._sequence, job))

    def remove(self, job: Job) -> None:
        """Removes a job from service, whether or not its stage is done."""
        self.advance()
        job.state = JobState.BLOCKED
        self.running -= 1

    def clear(self) -> None:
        """Removes all jobs without changing their states, which the caller must set."""
        self._ends.clear()
        self.running = 0

    def restart(self) -> None:
        """Resumes when the server's process starts again; no virtual time passes without a process."""
        self._updated_at = self._engine.now

    def reschedule(self, core_speed: float, slowdown: float) -> None:
        """Sets the rate from a core's speed and a factor on durations, and schedules the next stage end."""
        ends = self._ends
        while ends and ends[0][2].state != JobState.RUNNING:
            heappop(ends)
        self._engine.cancel(self._next_end)
        self._next_end = None
        if not self.running:
            self._rate = 0.0
            return
        core_share = min(1.0, self.cores / self.running)
        self._rate = core_share * core_speed / slowdown
        if self._rate > 0.0:
            remaining_s = max(0.0, ends[0][0] - self._virtual_time) / self._rate
            self._next_end = self._engine.call_later(remaining_s, self._stage_ends, ends[0][2])

    def _stage_ends(self, job: Job) -> None:
        self._next_end = None
        self.advance()
        heappop(self._ends)
        self._on_stage_end(job)
