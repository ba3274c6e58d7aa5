"""Errors of rollouts; those of the store and of operators' commands are in `agreement.errors`. No I/O."""

from __future__ import annotations

from wheatroute.agreement.errors import HistoryError


class RolloutError(Exception):
    """Base class of all errors of this package."""


class PlanError(RolloutError):
    """The plan is invalid or cannot be read; the message has a line for each error."""


class SupervisorSettingsError(RolloutError):
    """The settings of a supervisor are invalid or cannot be read; the message has a line for each error."""


class StepNotAllowedError(RolloutError, HistoryError):
    """A step is not allowed in the current state of the rollout; `reason` says why not."""

    def __init__(self, number: int, reason: str) -> None:
        super().__init__(f"record {number}: {reason}")
        self.reason = reason
