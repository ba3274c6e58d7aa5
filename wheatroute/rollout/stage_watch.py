"""What one controller has seen of both sides in the present phase of a rollout. No I/O."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping

import msgspec

from wheatroute.rollout.canary_analysis import CanaryAnalysis, DifferenceSequence, Tally, Verdict
from wheatroute.rollout.figures import RELATIVE_METRICS
from wheatroute.rollout.figures_watch import FiguresWatch
from wheatroute.rollout.progress import Phase, RolloutProgress, SupervisorStatuses
from wheatroute.rollout.records import HoldStep, PassStep, ResumeStep, StageStep, StartStep, Step
from wheatroute.rollout.statuses import NodeFigures

THRESHOLD_RATIO = 0.25  # part of the time before a stage in which the slow thresholds are measured
MAX_FINDINGS = 20  # written into a status or a record

Figures = Mapping[str, NodeFigures]  # by node


class StageWatch:
    """Analyses the figures of a phase; `progress` is the controller's, which applies the records."""

    def __init__(self, progress: RolloutProgress) -> None:
        self._progress = progress
        self._figures = FiguresWatch()
        self._analysis: CanaryAnalysis | None = None
        self._watched_since = 0.0  # when it began to watch this phase; 0 before
        self.findings: list[str] = []

    def watched_s(self, now: float) -> float:
        """Return for how long this phase has been watched."""
        return now - self._watched_since if self._watched_since else 0.0

    def live_figures(self, reported: list[NodeFigures], now: float) -> dict[str, NodeFigures]:
        """Return by node the figures of the process that serves, without those that are stale."""
        return self._figures.live_figures(reported, now)

    def with_baseline(self, step: StageStep) -> StageStep:
        """Return a step with what was measured before the stage, for a controller that continues."""
        if self._analysis is None:
            return step
        return msgspec.structs.replace(
            step,
            baseline=self._analysis.baseline_to_stored(),
            slow_thresholds=dict(self._figures.thresholds),
        )

    def begin_phase(self, step: Step) -> None:
        """Start to watch anew, as a step says."""
        if self._progress.plan is None or isinstance(step, HoldStep):
            return
        if isinstance(step, StartStep | PassStep | ResumeStep):
            self._analysis, self._watched_since, self.findings = self._new_analysis(), 0.0, []
            self._figures.begin_stage()
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
            self._figures.thresholds = dict(step.slow_thresholds)
        self._analysis, self._watched_since = analysis, 0.0

    def _new_analysis(self) -> CanaryAnalysis:
        plan = self._progress.plan
        assert plan is not None
        # a controller that takes over begins a new analysis: half of the risk is left for that
        return CanaryAnalysis(plan.margins, plan.risk / (2.0 * len(plan.stages)), RELATIVE_METRICS)

    def _sides(self) -> tuple[set[str], set[str]]:
        """Return the nodes of the present or next stage, and those without the change beside them."""
        progress, plan = self._progress, self._progress.plan
        assert plan is not None
        stage = progress.stage + (progress.phase == Phase.BEFORE_STAGE)
        if stage >= len(plan.stages):
            return set(), set()
        unchanged = {name for later in plan.stages[stage + 1 :] for name in later.nodes}
        return set(plan.stages[stage].nodes), unchanged

    def add_interval(self, supervisors: SupervisorStatuses, figures: Figures, now: float) -> None:
        """Add what both sides did since the last turn to the analysis."""
        progress, plan = self._progress, self._progress.plan
        if progress.phase == Phase.BEFORE_STAGE and plan is not None:
            is_over = self._watched_since and now - self._watched_since >= THRESHOLD_RATIO * plan.baseline_s
            self._figures.measure_thresholds(figures.values(), bool(is_over))
        new_nodes, old_nodes = self._sides()
        sites = {name: status.site for name, status in supervisors.items()}
        tallies = self._figures.tallies_since_last(figures, sites, old_nodes)
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

    def verdict(self) -> tuple[Verdict, list[str]]:
        """Return the verdict on the present stage, with a line for each finding."""
        plan = self._progress.plan
        if self._analysis is None or plan is None or self._progress.phase != Phase.IN_STAGE:
            return Verdict.UNSURE, []
        verdict, findings = self._analysis.verdict(frozenset(plan.required_metrics))
        self.findings = [finding.line for finding in findings]
        return verdict, self.findings[:MAX_FINDINGS]

    def has_baseline(self) -> bool:
        """Whether enough was seen before the next stage for a verdict on it."""
        plan, analysis = self._progress.plan, self._analysis
        if plan is None or analysis is None:
            return False
        return analysis.has_baseline(frozenset(plan.required_metrics))


def _sum_tallies(tallies: Mapping[str, Mapping[str, Tally]], nodes: set[str]) -> dict[str, Tally]:
    sums: dict[str, Tally] = defaultdict(Tally)
    for name in nodes & tallies.keys():
        for metric, tally in tallies[name].items():
            sums[metric] += tally
    return dict(sums)
