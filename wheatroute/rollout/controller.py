"""The rollout controller: reads all statuses, analyses the nodes' figures and appends the next step.

Any number of controllers may run at the same time, since each step is a record that the store appends only
once. All state that a successor needs is in the store, so a controller may die at any time. Stale figures are
ignored, and no step is appended until all records have been read. Does I/O through the rollout store.
"""

from __future__ import annotations

import secrets
import time
from typing import Any

import trio

from wheatroute.agreement.errors import HistoryError, VersionStoreError
from wheatroute.agreement.version_store import MAX_RECORDS_PER_READ, VersionStore
from wheatroute.rollout.controller_order import ControllerOrder
from wheatroute.rollout.next_step import Observations, next_step
from wheatroute.rollout.progress import Phase, RolloutProgress, SupervisorStatuses
from wheatroute.rollout.records import StageStep, Step, step_fields
from wheatroute.rollout.stage_watch import MAX_FINDINGS, Figures, StageWatch
from wheatroute.rollout.statuses import (
    ControllerStatus,
    FailedProgram,
    controller_key,
    controller_statuses,
    node_figures,
    supervisor_statuses,
)

TURN_INTERVAL_S = 0.25
STORE_TIMEOUT_S = 2.0
# Fields of a step that are logged, by their stored keys.
LOGGED_FIELDS = ("kind", "stage", "reason", "how")


class Controller:
    """One of the rollout controllers of an installation."""

    def __init__(self, store: VersionStore, log: Any) -> None:
        self._store, self._log = store, log
        self.progress = RolloutProgress()
        self.incarnation = secrets.token_hex(6)
        self._watch = StageWatch(self.progress)
        self._order = ControllerOrder(self.incarnation)
        self._record_read_at = 0.0  # when the last record was read; monotonic seconds
        self._heartbeat = 0

    async def run(self) -> None:
        """Takes a turn every `TURN_INTERVAL_S` until cancelled; failures of the store are logged."""
        while True:
            try:
                with trio.fail_after(STORE_TIMEOUT_S):
                    await self.take_turn(time.monotonic())
            except (VersionStoreError, HistoryError, trio.TooSlowError) as error:
                self._log.warning(
                    "store-access-failed", error=str(error) or "no response from the store in time"
                )
            await trio.sleep(TURN_INTERVAL_S)

    async def take_turn(self, now: float) -> None:
        """Reads all records and statuses; appends the next step if this controller is the acting one.

        `now` is in monotonic seconds. Raises `VersionStoreError` or `HistoryError`.
        """
        if not await self._read_progress(now):
            return
        statuses = await self._store.statuses()
        supervisors = supervisor_statuses(statuses)
        figures = self._watch.live_figures(node_figures(statuses), now)
        if self.progress.plan is None or not self.progress.is_running:
            return
        self._watch.add_interval(supervisors, figures, now)
        verdict, evidence = self._watch.verdict()
        is_first = self._order.is_first(controller_statuses(statuses))
        observations = Observations(
            supervisors=supervisors,
            watched_s=self._watch.watched_s(now),
            since_record_s=now - self._record_read_at,
            verdict=verdict,
            evidence=evidence,
            failure=self._failure(supervisors, figures),
            has_baseline=self._watch.has_baseline(),
        )
        step = next_step(self.progress, observations)
        if self._order.expired_keys:
            await self._store.remove_statuses(self._order.expired_keys)
        if step is not None and is_first:
            await self._append(step)

    async def _read_progress(self, now: float) -> bool:
        """Writes this controller's status and reads new records; returns whether all have been read."""
        self._heartbeat += 1
        status = ControllerStatus(
            incarnation=self.incarnation,
            heartbeat=self._heartbeat,
            findings=self._watch.findings[:MAX_FINDINGS],
            applied_record=self.progress.head,
        )
        documents = await self._store.exchange(
            controller_key(self.incarnation),
            status.to_stored(),
            self.progress.head,
            self.progress.head_digest,
        )
        for document in documents:
            self._watch.begin_phase(self.progress.apply(document).step)
            self._record_read_at = now
        return len(documents) < MAX_RECORDS_PER_READ

    async def _append(self, step: Step) -> None:
        if isinstance(step, StageStep):
            step = self._watch.with_baseline(step)
        if await self._store.append(self.progress.encode(step)):
            fields = step_fields(step)
            self._log.info("step-appended", **{key: fields[key] for key in LOGGED_FIELDS if key in fields})

    def _failure(self, supervisors: SupervisorStatuses, figures: Figures) -> str:
        """Returns a failure of the new program that is enough for a rollback; empty if there is none.

        Such a failure needs no statistics.
        """
        plan, progress = self.progress.plan, self.progress
        if plan is None or progress.phase == Phase.ROLLING_BACK:
            return ""
        for name, status in supervisors.items():
            if FailedProgram(progress.number, plan.new) in status.failed:
                return f"{name}: {status.last_error or plan.new + ' failed'}"
        for name, reported in figures.items():
            is_new = reported.process.program == plan.new and progress.target(name) == plan.new
            if is_new and reported.requests.lost:
                return f"{name}: {reported.requests.lost} requests lost by {plan.new}"
        return ""
