"""Jobs: the work of one attempt at one server, in stages with calls to the next tier between them. No I/O."""

from __future__ import annotations

from enum import IntEnum
from typing import Protocol

from wheatroute.balancing.interface import AttemptOutcome


class JobState(IntEnum):
    """State of a job at its server."""

    BLOCKED = 0  # not accepted yet, or a call between two stages is in flight
    QUEUED = 1  # waiting for a slot
    RUNNING = 2  # a stage is in service
    ENDED = 3


class JobOwner(Protocol):
    """Is notified of the progress and the end of a job."""

    def stage_done(self, job: Job) -> None:
        """Is called when a stage other than the last is done.

        The owner must then call `Server.run_next_stage` or `Server.fail`, immediately or later.
        """

    def job_done(self, job: Job, outcome: AttemptOutcome) -> None:
        """Is called when the job was served or ended with an error."""

    def cancelled(self, job: Job) -> None:
        """Is called when the job was stopped because its client no longer waits."""

    def server_died(self, job: Job) -> None:
        """Is called when the server process that held the job has ended."""


class Job:
    """Holds the work of one attempt at one server, or background work of the server."""

    __slots__ = ("stages", "stage", "owner", "state", "virtual_end", "incarnation", "accepted_at")

    def __init__(self, stages: list[float], owner: JobOwner | None) -> None:
        self.stages = stages  # work of each stage, in seconds on a core of speed 1
        self.stage = 0  # index of the stage that is or was last in service
        self.owner = owner  # None for background work of the server itself
        self.state = JobState.BLOCKED
        self.virtual_end = 0.0  # end of the stage in service, in the processor's virtual time
        self.incarnation = 0  # of the server when it accepted the job
        self.accepted_at = 0.0

    @property
    def is_ended(self) -> bool:
        """Whether the job was served, failed, cancelled or lost."""
        return self.state == JobState.ENDED
