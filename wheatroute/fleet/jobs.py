"""Jobs: the work of one attempt at one server, in stages with calls to the next tier between them. No I/O."""

from __future__ import annotations

from enum import IntEnum
from typing import Protocol

from wheatroute.balancing.interface import AttemptOutcome


class JobState(IntEnum):
    """Where a job is at its server."""

    BLOCKED = 0  # not accepted yet, or a call between two stages is in flight
    QUEUED = 1  # waits for a slot
    RUNNING = 2  # a stage is in service
    ENDED = 3


class JobOwner(Protocol):
    """Hears what becomes of a job."""

    def stage_done(self, job: Job) -> None:
        """A stage other than the last is done; answered by `Server.run_next_stage` or `Server.fail`."""

    def job_done(self, job: Job, outcome: AttemptOutcome) -> None:
        """The job is served, or ended with an error."""

    def cancelled(self, job: Job) -> None:
        """The job was stopped, as nobody waits for it."""

    def server_died(self, job: Job) -> None:
        """The process that held the job has ended."""


class Job:
    """One attempt's work at one server."""

    __slots__ = ("stages", "stage", "owner", "state", "virtual_end", "incarnation", "accepted_at")

    def __init__(self, stages: list[float], owner: JobOwner | None) -> None:
        self.stages = stages  # work of each, in seconds on a core of speed 1
        self.stage = 0  # the one in service, or the last that was
        self.owner = owner  # None: background work of the server itself
        self.state = JobState.BLOCKED
        self.virtual_end = 0.0  # of the stage in service, in the processor's virtual time
        self.incarnation = 0  # of the server when it accepted the job
        self.accepted_at = 0.0

    @property
    def is_ended(self) -> bool:
        """Whether it is served, failed, cancelled or lost."""
        return self.state == JobState.ENDED
