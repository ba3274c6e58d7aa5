"""What an operator does with rollouts: start, read, hold, resume, roll back. Behind `wheatroute rollout`.

A rollout is not started if some supervisor lacks a program of its plan, and a step whose result is unknown is
reported as that. Does I/O through the rollout store.
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
    """Reads all records."""
    progress = RolloutProgress()
    await read_records(store, progress)
    return progress


async def supervisor_statuses(store: VersionStore) -> dict[str, SupervisorStatus]:
    """Returns the supervisors' statuses by node."""
    return statuses.supervisor_statuses(await store.statuses())


async def start(store: VersionStore, plan: Plan, why: str) -> int:
    """Starts a rollout; returns its number.

    Raises `InvalidInputError` unless each node of the plan has a supervisor with both programs, and runs the
    old one.
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
            errors.append(f"{name}: no supervisor has told of itself")
            continue
        supervisor = supervisors[name]
        missing = [program for program in (plan.old, plan.new) if program not in supervisor.programs]
        if missing:
            errors.append(f"{name}: has no program {', '.join(missing)}")
        elif supervisor.program != plan.old:
            errors.append(f"{name}: runs {supervisor.program or 'nothing'}, not {plan.old}")
    return errors


async def hold(store: VersionStore, reason: str) -> int:
    """Holds the rollout; returns the number of the record."""
    step = HoldStep(reason=reason, author=getpass.getuser(), unix_time=time.time())
    return await _append(store, step)


async def resume(store: VersionStore) -> int:
    """Resumes a held rollout; returns the number of the record."""
    return await _append(store, ResumeStep(author=getpass.getuser(), unix_time=time.time()))


async def roll_back(store: VersionStore, reason: str) -> int:
    """Roll back; returns the number of the record."""
    step = RollBackStep(reason=reason, author=getpass.getuser(), unix_time=time.time())
    return await _append(store, step)


async def _append(store: VersionStore, step: Step) -> int:
    """Appends a step once, also if the answer is lost; raises `ConflictError` if it is not allowed now."""
    doubt = ""
    for _ in range(MAX_APPEND_ATTEMPTS):
        try:
            progress = await read_progress(store)
            if doubt and any(record.step.unix_time == step.unix_time for record in progress.records):
                return progress.head
            document = progress.encode(step)
            try:
                record = progress.apply(document)
            except StepNotAllowedError as error:
                raise ConflictError(error.reason) from error
            if await store.append(document):
                return record.number
        except VersionStoreError as error:
            doubt = str(error)
            await trio.sleep(RETRY_INTERVAL_S)
    if doubt:
        raise StoreUnavailableError(f"not known whether it was added: {doubt}")
    raise StoreUnavailableError("others were ahead")


async def read_status(store: VersionStore) -> RolloutStatus:
    """Returns the last rollout with its nodes and findings."""
    progress = await read_progress(store)
    return rollout_status(progress, await store.statuses())
