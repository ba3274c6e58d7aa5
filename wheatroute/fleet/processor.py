"""The cores of an emulated server, shared equally by the jobs in service (processor sharing). No I/O.

Kept by virtual time: all jobs in service advance alike, so the one with the least virtual end is the next to
be done, and an arrival or an end costs one step on a heap, however many are in service.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush

from wheatroute.fleet.engine import Engine, ScheduledCall
from wheatroute.fleet.jobs import Job, JobState


class Processor:
    """Serves stages of jobs; `on_stage_end` is called with each job whose stage is done.

    After each change of the jobs in service or of the speed, `reschedule` has to be called.
    """

    def __init__(self, engine: Engine, cores: int, on_stage_end: Callable[[Job], None]) -> None:
        self.cores = cores
        self.running = 0  # jobs in service
        self._engine = engine
        self._on_stage_end = on_stage_end
        self._virtual_time = 0.0  # work that each job in service has received since the start, in seconds
        self._rate = 0.0  # of virtual time, per second
        self._updated_at = engine.now
        self._ends: list[tuple[float, int, Job]] = []  # heap by virtual end; jobs that stopped stay in it
        self._sequence = 0
        self._next_end: ScheduledCall | None = None

    def advance(self) -> None:
        """Brings virtual time up to now; to be called before the rate changes."""
        now = self._engine.now
        self._virtual_time += (now - self._updated_at) * self._rate
        self._updated_at = now

    def add(self, job: Job) -> None:
        """Begins the job's present stage."""
        self.advance()
        self.running += 1
        job.state = JobState.RUNNING
        job.virtual_end = self._virtual_time + job.stages[job.stage]
        self._sequence += 1
        heappush(self._ends, (job.virtual_end, self._sequence, job))

    def remove(self, job: Job) -> None:
        """Takes a job out of service, whether its stage is done or not."""
        self.advance()
        job.state = JobState.BLOCKED
        self.running -= 1

    def clear(self) -> None:
        """Forgets all jobs; their states are the caller's to set."""
        self._ends.clear()
        self.running = 0

    def restart(self) -> None:
        """Begins again after a time without a process."""
        self._updated_at = self._engine.now

    def reschedule(self, core_speed: float, slowdown: float) -> None:
        """Sets the rate by a core's speed and a factor on durations, and when the next stage ends."""
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
