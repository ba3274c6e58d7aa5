"""The controller of rollouts: reads all statuses, analyses the figures, appends the next step.

Any number of controllers may run: a step is a record that the store appends once, and a controller that dies
leaves nothing that another needs but the store. Stale figures don't count, and no step is appended to a
progress that was not read to its end. Does I/O through the rollout store.
"""

from __future__ import annotations

import secrets
import time
from collections import defaultdict
from collections.abc import Mapping
from typing import Any

import msgspec
import trio

from wheatroute.agreement.errors import HistoryError, VersionStoreError
from wheatroute.agreement.version_store import MAX_RECORDS_PER_READ, VersionStore
from wheatroute.rollout.canary_analysis import CanaryAnalysis, DifferenceSequence, Tally, Verdict
from wheatroute.rollout.figures import RELATIVE_METRICS
from wheatroute.rollout.figures_watch import FiguresWatch
from wheatroute.rollout.next_step import Observations, next_step
from wheatroute.rollout.progress import Phase, RolloutProgress, SupervisorStatuses
from wheatroute.rollout.records import (
    HoldStep,
    PassStep,
    ResumeStep,
    StageStep,
    StartStep,
    Step,
    step_fields,
)
from wheatroute.rollout.statuses import (
    ControllerStatus,
    FailedProgram,
    NodeFigures,
    controller_statuses,
    node_figures,
    supervisor_statuses,
)

TURN_INTERVAL_S = 0.25
STORE_TIMEOUT_S = 2.0
EXPIRED_TURNS = 40  # without a heartbeat of a controller, after which its status is removed
TAKEOVER_TURNS = 4  # without a heartbeat of the controllers before it, after which the next one acts
THRESHOLD_RATIO = 0.25  # part of the time before a stage in which the slow thresholds are measured
MAX_FINDINGS = 20  # written into a status or a record
LOGGED_FIELDS = ("kind", "stage", "reason", "how")  # of a step, by their stored keys

Figures = Mapping[str, NodeFigures]  # by node


def status_key(incarnation: str) -> str:
    """Return the key of a controller's status in the store."""
    return f"controller.{incarnation}"


class Controller:
    """One of the controllers of an installation."""

    def __init__(self, store: VersionStore, log: Any) -> None:
        self._store, self._log = store, log
        self.progress = RolloutProgress()
        self.incarnation = secrets.token_hex(6)
        self._watch = FiguresWatch()
        self._analysis: CanaryAnalysis | None = None
        self._watched_since = 0.0  # when it began to watch this phase; 0 before
        self._record_read_at = 0.0
        self._heartbeat = 0
        self._others: dict[str, tuple[int, int]] = {}  # by incarnation: heartbeat, and turns without another
        self._expired_keys: list[str] = []  # statuses of controllers that have ended
        self.findings: list[str] = []

    async def run(self) -> None:
        """Take turns until cancelled."""
        while True:
            try:
                with trio.fail_after(STORE_TIMEOUT_S):
                    await self.take_turn(time.monotonic())
            except (VersionStoreError, HistoryError, trio.TooSlowError) as error:
                self._log.warning("place", trouble=str(error) or "does not answer")
            await trio.sleep(TURN_INTERVAL_S)

    async def take_turn(self, now: float) -> None:
        """Read everything; append the next step if there is one and this controller is the first."""
        if not await self._read_progress(now):
            return
        statuses = await self._store.statuses()
        supervisors = supervisor_statuses(statuses)
        figures = self._watch.live_figures(node_figures(statuses), now)
        if self.progress.plan is None or not self.progress.is_running:
            return
        self._add_interval(supervisors, figures, now)
        verdict, evidence = self._verdict()
        is_first = self._is_first(controller_statuses(statuses))
        observations = Observations(
            supervisors=supervisors,
            watched_s=now - self._watched_since if self._watched_since else 0.0,
            since_record_s=now - self._record_read_at,
            verdict=verdict,
            evidence=evidence,
            failure=self._failure(supervisors, figures),
            has_baseline=self._has_baseline(),
        )
        step = next_step(self.progress, observations)
        if self._expired_keys:
            await self._store.remove_statuses(self._expired_keys)
        if step is not None and is_first:
            await self._append(step)

    async def _read_progress(self, now: float) -> bool:
        """Write the own status and read new records; returns whether these were all."""
        self._heartbeat += 1
        status = ControllerStatus(
            incarnation=self.incarnation,
            heartbeat=self._heartbeat,
            findings=self.findings[:MAX_FINDINGS],
            applied_record=self.progress.head,
        )
        documents = await self._store.exchange(
            status_key(self.incarnation),
            status.to_stored(),
            self.progress.head,
            self.progress.head_digest,
        )
        for document in documents:
            self._begin_phase(self.progress.apply(document).step, now)
        return len(documents) < MAX_RECORDS_PER_READ

    async def _append(self, step: Step) -> None:
        if isinstance(step, StageStep) and self._analysis is not None:
            baseline = self._analysis.baseline_to_stored()
            thresholds = dict(self._watch.thresholds)
            step = msgspec.structs.replace(step, baseline=baseline, slow_thresholds=thresholds)
        if await self._store.append(self.progress.encode(step)):
            fields = step_fields(step)
            self._log.info("step", **{key: fields[key] for key in LOGGED_FIELDS if key in fields})

    def _is_first(self, statuses: list[ControllerStatus]) -> bool:
        """Whether this controller is the first of the live ones.

        Only so that not all of them append: the store appends a step once in any case.
        """
        others = {}
        for status in statuses:
            heartbeat, turns = self._others.get(status.incarnation, (-1, 0))
            is_same = heartbeat == status.heartbeat
            others[status.incarnation] = (heartbeat, turns + 1) if is_same else (status.heartbeat, 0)
        self._others = others
        self._expired_keys = [
            status_key(incarnation) for incarnation, (_, turns) in others.items() if turns >= EXPIRED_TURNS
        ]
        live = [incarnation for incarnation, (_, turns) in others.items() if turns < TAKEOVER_TURNS]
        return self.incarnation <= min(live, default=self.incarnation)

    def _begin_phase(self, step: Step, now: float) -> None:
        """Start to watch anew, as a step says."""
        self._record_read_at = now
        if self.progress.plan is None or isinstance(step, HoldStep):
            return
        if isinstance(step, StartStep | PassStep | ResumeStep):
            self._analysis, self._watched_since, self.findings = self._new_analysis(), 0.0, []
            self._watch.begin_stage()
        elif isinstance(step, StageStep):
            self._begin_stage(step)

    def _begin_stage(self, step: StageStep) -> None:
        """Continue from what the controller that took the step had measured."""
        analysis = self._new_analysis()
        baseline = step.baseline or {}
        analysis.before = {
            metric: DifferenceSequence.from_stored(values) for metric, values in baseline.items()
        }
        if step.slow_thresholds:
            self._watch.thresholds = dict(step.slow_thresholds)
        self._analysis, self._watched_since = analysis, 0.0

    def _new_analysis(self) -> CanaryAnalysis:
        plan = self.progress.plan
        assert plan is not None
        # a controller that takes over begins a new analysis: half of the risk is left for that
        return CanaryAnalysis(plan.margins, plan.risk / (2.0 * len(plan.stages)), RELATIVE_METRICS)

    def _sides(self) -> tuple[set[str], set[str]]:
        """Return the nodes of the present or next stage, and those without the change beside them."""
        progress, plan = self.progress, self.progress.plan
        assert plan is not None
        stage = progress.stage + (progress.phase == Phase.BEFORE_STAGE)
        if stage >= len(plan.stages):
            return set(), set()
        unchanged = {name for later in plan.stages[stage + 1 :] for name in later.nodes}
        return set(plan.stages[stage].nodes), unchanged

    def _add_interval(self, supervisors: SupervisorStatuses, figures: Figures, now: float) -> None:
        """Add what both sides did since the last turn to the analysis."""
        progress, plan = self.progress, self.progress.plan
        if progress.phase == Phase.BEFORE_STAGE and plan is not None:
            is_over = self._watched_since and now - self._watched_since >= THRESHOLD_RATIO * plan.before
            self._watch.measure_thresholds(figures.values(), bool(is_over))
        new_nodes, old_nodes = self._sides()
        sites = {name: status.site for name, status in supervisors.items()}
        tallies = self._watch.tallies_since_last(figures, sites, old_nodes)
        if self._analysis is None or progress.phase not in (Phase.BEFORE_STAGE, Phase.IN_STAGE):
            return
        is_in_stage = progress.phase == Phase.IN_STAGE
        if is_in_stage and not progress.is_changed(supervisors):
            return
        if not all(name in figures for name in new_nodes):
            return
        self._watched_since = self._watched_since or now
        new, old = _sum_tallies(tallies, new_nodes), _sum_tallies(tallies, old_nodes)
        if not old_nodes:
            # the last stage has no unchanged nodes: it is compared with what its nodes did before
            old = self._baseline_tallies(new) if is_in_stage else new
        if new and old:
            self._analysis.add_interval(new, old, is_in_stage)

    def _baseline_tallies(self, new: dict[str, Tally]) -> dict[str, Tally]:
        """Return what the nodes of the last stage would have done by their means from before it."""
        assert self._analysis is not None
        means = {metric: sequence.new.mean for metric, sequence in self._analysis.before.items()}
        return {
            metric: Tally(tally.total * means[metric], tally.total)
            for metric, tally in new.items()
            if metric in means
        }

    def _verdict(self) -> tuple[Verdict, list[str]]:
        plan = self.progress.plan
        if self._analysis is None or plan is None or self.progress.phase != Phase.IN_STAGE:
            return Verdict.UNSURE, []
        verdict, findings = self._analysis.verdict(frozenset(plan.watched))
        self.findings = [finding.line for finding in findings]
        return verdict, self.findings[:MAX_FINDINGS]

    def _has_baseline(self) -> bool:
        plan, analysis = self.progress.plan, self._analysis
        return analysis is not None and plan is not None and analysis.has_baseline(frozenset(plan.watched))

    def _failure(self, supervisors: SupervisorStatuses, figures: Figures) -> str:
        """Return what stops a rollout without statistics: a failure of the new program at a node."""
        plan, progress = self.progress.plan, self.progress
        if plan is None or progress.phase == Phase.ROLLING_BACK:
            return ""
        for name, status in supervisors.items():
            if FailedProgram(progress.number, plan.new) in status.failed:
                return f"{name}: {status.trouble or plan.new + ' failed'}"
        for name, reported in figures.items():
            is_new = reported.process.program == plan.new and progress.target(name) == plan.new
            if is_new and reported.requests.lost:
                return f"{name}: {reported.requests.lost} requests lost by {plan.new}"
        return ""


def _sum_tallies(tallies: Mapping[str, Mapping[str, Tally]], nodes: set[str]) -> dict[str, Tally]:
    sums: dict[str, Tally] = defaultdict(Tally)
    for name in nodes & tallies.keys():
        for metric, tally in tallies[name].items():
            sums[metric] += tally
    return dict(sums)
