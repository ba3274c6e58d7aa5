"""Servers in virtual time: cores shared or taken in turn, queues, cold starts, collapse, and what faults do.

Owns how work gets done. It must never decide where work goes, and knows nothing of requests but how much work
each part of one is: what happens between parts (calls to the tier below) is told by `Job.part_done`.

Processor sharing is kept by virtual work: each job in work gets the same, so that the job with the least
virtual end is the next to be done, and an arrival or an end costs one step on a heap whatever is in work.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from heapq import heappop, heappush
from math import exp, inf, log2, sqrt
from random import Random
from typing import Any

from wheatroute.balancing.interface import Outcome
from wheatroute.fleet.engine import Engine
from wheatroute.fleet.plan import ServerModel, Tier

IN_STEP = 0.25  # seconds between looks at what changes by itself: warmth, collapse, rest


class Job:
    """One attempt's work at one server: parts of work, with a call to the tier below between two parts."""

    __slots__ = (
        "parts",
        "at",
        "server",
        "end",
        "over",
        "working",
        "waiting",
        "part_done",
        "done",
        "life",
        "taken",
        "owner",
        "call",
    )

    def __init__(
        self,
        parts: list[float],
        part_done: Callable[[Job], None],
        done: Callable[[Job, Outcome], None],
        owner: Any = None,
    ) -> None:
        self.owner = owner  # whose work it is
        self.call: Any = None  # to the tier below, while it is out
        self.parts = parts  # seconds of work on a core of speed 1
        self.at = 0  # the part in work or done last
        self.part_done = part_done  # told after every part but the last; calls `Server.resume` or `fail`
        self.done = done
        self.end = 0.0  # in virtual work, while a part is in work
        self.over = self.working = self.waiting = False
        self.life = 0  # the server's, when it took the job
        self.taken = 0.0


class Server:
    """One server; `life` counts its processes."""

    def __init__(
        self,
        engine: Engine,
        number: int,
        tier: Tier,
        model: ServerModel,
        place: tuple[int, int, int, int],
        speed: float,
        chance: Random,
    ) -> None:
        self.engine, self.number, self.tier, self._chance = engine, number, tier, chance
        self.depth, self.zone, self.model, self.cell = place
        self.place = (self.depth, number)
        self.cores, self.speed = model.cores, speed
        self.slots = model.cores if tier.discipline == "in_turn" else model.cores * tier.slots_per_core
        self.room = model.cores * tier.queue_per_core
        self.most_connections = model.cores * tier.max_connections_per_core
        self.life, self.alive, self.draining = 0, True, False
        self.born = 0.0  # 0: long ago
        self.connections = 0
        self.held = 0  # in work, waiting, or waiting for the tier below
        self.in_work = 0  # slots taken
        self.done_work = 0.0
        self.factors: dict[str, float] = {}  # what faults make of its speed
        self.errors = 0.0  # share of requests that fail at once
        self.collapsed = -inf  # since when
        self.collapses = 0
        self.reported = (0.0, 0.0, 0.0)  # held, served a second, share of errors, as last told
        self._running = 0
        self._virtual, self._since, self._rate = 0.0, engine.now, 0.0
        self._ends: list[tuple[float, int, Job]] = []
        self._sequence = 0
        self._waiting: deque[Job] = deque()
        self._next: list[Any] | None = None
        self._crowd = 0.0  # what it holds, smoothed over the collapse's span
        self._busy, self._crowd_at = 0.0, engine.now
        self._finished = self._failed = 0
        self.jobs: set[Job] = set()

    # work

    def take(self, job: Job) -> bool:
        """Takes a job on; False where it is full, draining or over its queue: then it never runs."""
        if self.draining or self.in_work >= self.slots and len(self._waiting) >= self.room:
            return False
        self._note()
        job.life, job.taken = self.life, self.engine.now
        self.jobs.add(job)
        self.held += 1
        if self.errors and self._chance.random() < self.errors:
            self.engine.after(0.001, self._fail_at_once, job)
        elif self.in_work < self.slots:
            self.in_work += 1
            self._work(job)
        else:
            job.waiting = True
            self._waiting.append(job)
        return True

    def charge(self, work: float) -> None:
        """Work that belongs to no request, such as a handshake: it slows what is in work."""
        if self.alive and work:
            job = Job([work], lambda job: None, lambda job, outcome: None)
            job.life = -1
            self._work(job)

    def resume(self, job: Job) -> None:
        """The call between two parts was served: the next part begins."""
        if not job.over and job.life == self.life:
            job.at += 1
            self._work(job)

    def fail(self, job: Job) -> None:
        """The call between two parts was not served, or the work is no use: the job ends with an error."""
        if not job.over and job.life == self.life:
            self._end(job)
            self._failed += 1
            job.done(job, Outcome.ERROR)

    def cancel(self, job: Job) -> bool:
        """Nobody waits for the job any more; returns whether it was stopped."""
        if job.over or job.life != self.life:
            return False
        stops = self.tier.cancellable
        if stops == "none" or stops == "waiting" and not job.waiting:
            return False
        self._end(job)
        return True

    def _fail_at_once(self, job: Job) -> None:
        if not job.over and job.life == self.life:
            self.in_work += 1
            self.fail(job)

    def _work(self, job: Job) -> None:
        self._settle()
        self._running += 1
        job.working = True
        job.end = self._virtual + job.parts[job.at]
        self._sequence += 1
        heappush(self._ends, (job.end, self._sequence, job))
        self._plan()

    def _stop(self, job: Job) -> None:
        self._settle()
        job.working = False
        self._running -= 1

    def _end(self, job: Job) -> None:
        self._note()
        job.over = True
        self.jobs.discard(job)
        if job.working:
            self._stop(job)
        if job.life == -1:
            self._plan()
            return
        self.held -= 1
        if job.waiting:
            job.waiting = False
            self._waiting.remove(job)
        else:
            self.in_work -= 1
            while self._waiting and self.in_work < self.slots:
                self.in_work += 1
                first = self._waiting.popleft()
                first.waiting = False
                self._work(first)
        self._plan()

    def _settle(self) -> None:
        now = self.engine.now
        gone = (now - self._since) * self._rate
        self._virtual += gone
        self.done_work += gone * self._running
        self._since = now

    def _plan(self) -> None:
        """Sets the rate of work and when the next part ends."""
        ends = self._ends
        while ends and not ends[0][2].working:
            heappop(ends)
        self.engine.cancel(self._next)
        self._next = None
        if not self._running:
            self._rate = 0.0
            return
        share = min(1.0, self.cores / self._running)
        crowd = self.in_work / self.cores / self.tier.thrash_threshold
        drag = 1.0 + self.tier.thrash * log2(crowd) if crowd > 1.0 else 1.0
        self._rate = share * self.pace() / drag
        if self._rate > 0.0:
            left = max(0.0, ends[0][0] - self._virtual) / self._rate
            self._next = self.engine.after(left, self._part_ends, ends[0][2])

    def _part_ends(self, job: Job) -> None:
        self._next = None
        self._settle()
        heappop(self._ends)
        if job.at + 1 < len(job.parts):
            self._stop(job)
            self._plan()
            job.part_done(job)
            return
        self._end(job)
        if job.life >= 0:
            self._finished += 1
        job.done(job, Outcome.SERVED)

    # speed

    def pace(self) -> float:
        """Speed of a core by now."""
        pace = self.speed * self.warmth()
        for factor in self.factors.values():
            pace *= factor
        if self.collapsed > -inf and self.tier.collapse is not None:
            pace /= self.tier.collapse.slowdown
        return pace

    def warmth(self) -> float:
        """The share of its speed that it has after a start."""
        if not self.born:
            return 1.0
        part = (self.engine.now - self.born) / (self.tier.warmup_s or 1.0)
        return (
            1.0
            if part >= 1.0
            else self.tier.warmup_initial_share + (1.0 - self.tier.warmup_initial_share) * part
        )

    def capacity(self) -> float:
        """Work a second that it can do when warm, whatever ails it."""
        return self.cores * self.speed

    def change(self, fault: str, factor: float) -> None:
        """A fault begins (a factor on its speed) or ends (1)."""
        self._settle()
        if factor == 1.0:
            self.factors.pop(fault, None)
        else:
            self.factors[fault] = factor
        self._plan()

    def look(self) -> None:
        """What changes by itself: warmth, collapse and its end."""
        if not self.alive:
            return
        self._note()
        collapse = self.tier.collapse
        if collapse is not None:
            if self.collapsed == -inf:
                if self._crowd > self.cores + collapse.threshold * sqrt(self.cores):
                    self.collapsed, self._busy = self.engine.now, 1.0
                    self.collapses += 1
            elif (
                self._busy < collapse.recovery_utilization
                and self.engine.now - self.collapsed > collapse.recovery_window_s
                or self.engine.now - self.collapsed > collapse.max_duration_s
            ):
                self.collapsed = -inf
        self._settle()
        self._plan()

    def _note(self) -> None:
        """Smooths what it holds and how busy it is, up to now."""
        collapse, now = self.tier.collapse, self.engine.now
        if collapse is None:
            return
        gone = now - self._crowd_at
        self._crowd += (self.held - self._crowd) * (1.0 - exp(-gone / collapse.window_s))
        busy = min(1.0, self._running / self.cores)
        self._busy += (busy - self._busy) * (1.0 - exp(-gone / collapse.recovery_window_s))
        self._crowd_at = now

    def refresh(self, every: float, noise: float) -> None:
        """What the next answers will tell of its load."""
        wobble = 1.0 + noise * (2.0 * self._chance.random() - 1.0)
        ended = self._finished + self._failed
        self.reported = (max(0.0, self.held * wobble), self._finished / every, self._failed / max(1, ended))
        self._finished = self._failed = 0

    # life

    def die(self) -> list[Job]:
        """The process is gone, with all it held; returns that."""
        self._settle()
        lost = sorted((job for job in self.jobs if not job.over), key=lambda job: (job.taken, job.end))
        for job in lost:
            job.over, job.working, job.waiting = True, False, False
        self.jobs.clear()
        self._ends.clear()
        self._waiting.clear()
        self._running = self.in_work = self.held = self.connections = 0
        self.alive, self.life = False, self.life + 1
        self.collapsed, self._crowd = -inf, 0.0
        self.factors.clear()
        self._plan()
        return lost

    def start(self) -> None:
        """A new process, cold."""
        self.alive, self.draining, self.born = True, False, self.engine.now
        self._crowd_at = self._since = self.engine.now
        self._busy = 0.0
