"""The operator's actions on rollouts: start, read, hold, resume, roll back. Used by `wheatroute rollout`.

A rollout is not started if any supervisor lacks a program of the plan. A step whose result is unknown is
reported as such. Does I/O through the rollout store.
"""

from __future__ import annotations

import getpass
import time

import trio

from wheatroute.agreement.directory_store import DirectoryStore
from wheatroute.agreement.errors import (
    ConflictError,
    InvalidInputError,
    StoreUnavailableError,
    VersionStoreError,
)
from wheatroute.agreement.operator import MAX_APPEND_ATTEMPTS, read_records
from wheatroute.agreement.version_store import VersionStore
from wheatroute.rollout import statuses
from wheatroute.rollout.errors import StepNotAllowedError
from wheatroute.rollout.plan import Plan
from wheatroute.rollout.progress import RolloutProgress
from wheatroute.rollout.records import HoldStep, ResumeStep, RollBackStep, StartStep, Step
from wheatroute.rollout.rollout_status import RolloutStatus, rollout_status
from wheatroute.rollout.statuses import SupervisorStatus

RETRY_INTERVAL_S = 0.1


async def read_progress(store: VersionStore) -> RolloutProgress:
    """Returns the state after all records in the store."""
    progress = RolloutProgress()
    await read_records(store, progress)
    return progress


async def supervisor_statuses(store: VersionStore) -> dict[str, SupervisorStatus]:
    """Returns the supervisors' statuses by node."""
    return statuses.supervisor_statuses(await store.statuses())


async def start(store: VersionStore, plan: Plan, why: str) -> int:
    """Starts a rollout and returns its number.

    Raises `InvalidInputError` unless each node of the plan has a supervisor with both programs and runs the
    old one, and `ConflictError` if another rollout is running.
    """
    if isinstance(store, DirectoryStore):
        store.create()
    errors = _start_errors(plan, await supervisor_statuses(store))
    if errors:
        raise InvalidInputError("\n".join(errors))
    return await _append(
        store,
        StartStep(plan=plan.model_dump(), author=getpass.getuser(), unix_time=time.time(), reason=why),
    )


def _start_errors(plan: Plan, supervisors: dict[str, SupervisorStatus]) -> list[str]:
    errors = []
    for name in [name for stage in plan.stages for name in stage.nodes]:
        if name not in supervisors:
            errors.append(f"{name}: no supervisor has reported a status")
            continue
        supervisor = supervisors[name]
        missing = [program for program in (plan.old, plan.new) if program not in supervisor.programs]
        if missing:
            errors.append(f"{name}: its supervisor has no program {', '.join(missing)}")
        elif supervisor.program != plan.old:
            errors.append(f"{name}: runs {supervisor.program or 'nothing'}, not {plan.old}")
    return errors


async def hold(store: VersionStore, reason: str) -> int:
    """Holds the running rollout; returns the number of the record."""
    step = HoldStep(reason=reason, author=getpass.getuser(), unix_time=time.time())
    return await _append(store, step)


async def resume(store: VersionStore) -> int:
    """Resumes a held rollout; returns the number of the record."""
    return await _append(store, ResumeStep(author=getpass.getuser(), unix_time=time.time()))


async def roll_back(store: VersionStore, reason: str) -> int:
    """Rolls back the running rollout; returns the number of the record."""
    step = RollBackStep(reason=reason, author=getpass.getuser(), unix_time=time.time())
    return await _append(store, step)


async def _append(store: VersionStore, step: Step) -> int:
    """Appends a step exactly once, even if a response of the store is lost; returns the number of its record.

    If a response was lost, returns the number of the last record instead, which may be a later one. Raises
    `ConflictError` if the step is not allowed now, and `StoreUnavailableError` if it could not be appended or
    the result is unknown.
    """
    last_error = ""
    for _ in range(MAX_APPEND_ATTEMPTS):
        try:
            progress = await read_progress(store)
            if last_error and any(record.step.unix_time == step.unix_time for record in progress.records):
                return progress.head
            document = progress.encode(step)
            try:
                record = progress.apply(document)
            except StepNotAllowedError as error:
                raise ConflictError(error.reason) from error
            if await store.append(document):
                return record.number
        except VersionStoreError as error:
            last_error = str(error)
            await trio.sleep(RETRY_INTERVAL_S)
    if last_error:
        raise StoreUnavailableError(f"unknown whether the step was appended: {last_error}")
    raise StoreUnavailableError("the step was not appended: other records were appended first")


async def read_status(store: VersionStore) -> RolloutStatus:
    """Returns the status of the last rollout, with its nodes and findings."""
    progress = await read_progress(store)
    return rollout_status(progress, await store.statuses())
