"""Watches both sides of a rollout, new and old nodes, in the current phase for one controller. No I/O."""

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

# Fraction of `Plan.baseline_s`, the time before a stage, in which the thresholds of slow requests are
# measured.
THRESHOLD_RATIO = 0.25
# Most findings that are written into a status or a record.
MAX_FINDINGS = 20

# Figures by node.
Figures = Mapping[str, NodeFigures]


class StageWatch:
    """Feeds the nodes' figures of the current phase into the canary analysis of the stage.

    `progress` is shared with the controller, which applies the records to it.
    """

    def __init__(self, progress: RolloutProgress) -> None:
        self._progress = progress
        self._figures = FiguresWatch()
        self._analysis: CanaryAnalysis | None = None
        # Monotonic time of the first interval of this phase that was added to the analysis; 0 if none was.
        self._watched_since = 0.0
        self.findings: list[str] = []

    def watched_s(self, now: float) -> float:
        """Returns for how many seconds this phase has been watched."""
        return now - self._watched_since if self._watched_since else 0.0

    def live_figures(self, reported: list[NodeFigures], now: float) -> dict[str, NodeFigures]:
        """Returns the figures of each node's serving process, by node and without stale ones."""
        return self._figures.live_figures(reported, now)

    def with_baseline(self, step: StageStep) -> StageStep:
        """Returns the step with the baseline and thresholds, for a controller that takes over later."""
        if self._analysis is None:
            return step
        return msgspec.structs.replace(
            step,
            baseline=self._analysis.baseline_to_stored(),
            slow_thresholds=dict(self._figures.thresholds),
        )

    def begin_phase(self, step: Step) -> None:
        """Starts a new analysis if the step begins a phase that needs one; a hold keeps the current one."""
        if self._progress.plan is None or isinstance(step, HoldStep):
            return
        if isinstance(step, StartStep | PassStep | ResumeStep):
            self._analysis, self._watched_since, self.findings = self._new_analysis(), 0.0, []
            self._figures.begin_stage()
        elif isinstance(step, StageStep):
            self._begin_stage(step)

    def _begin_stage(self, step: StageStep) -> None:
        """Starts the analysis of a stage from the baseline that the controller stored with the step."""
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
        # A controller that takes over analyses the stage anew, so half of the risk is reserved for that.
        return CanaryAnalysis(plan.margins, plan.risk / (2.0 * len(plan.stages)), RELATIVE_METRICS)

    def _sides(self) -> tuple[set[str], set[str]]:
        """Returns the new nodes and the old nodes.

        The new ones are those of the current stage, or of the next one if no stage is in progress; the old
        ones are those of later stages.
        """
        progress, plan = self._progress, self._progress.plan
        assert plan is not None
        stage = progress.stage + (progress.phase == Phase.BEFORE_STAGE)
        if stage >= len(plan.stages):
            return set(), set()
        unchanged = {name for later in plan.stages[stage + 1 :] for name in later.nodes}
        return set(plan.stages[stage].nodes), unchanged

    def add_interval(self, supervisors: SupervisorStatuses, figures: Figures, now: float) -> None:
        """Adds what both sides did since the last call to the analysis.

        Nothing is added while nodes of a stage are still changing, or while figures of a new node are
        missing.
        """
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
        if is_in_stage and not progress.all_nodes_on_target(supervisors):
            return
        if not all(name in figures for name in new_nodes):
            return
        self._watched_since = self._watched_since or now
        new, old = _sum_tallies(tallies, new_nodes), _sum_tallies(tallies, old_nodes)
        if not old_nodes:
            # The last stage has no unchanged nodes, so its nodes are compared with their own baseline.
            old = self._baseline_tallies(new) if is_in_stage else new
        if new and old:
            self._analysis.add_interval(new, old, is_in_stage)

    def _baseline_tallies(self, new: dict[str, Tally]) -> dict[str, Tally]:
        """Returns the tallies that the nodes of the last stage would have at their means from before it."""
        assert self._analysis is not None
        means = {metric: sequence.new.mean for metric, sequence in self._analysis.before.items()}
        return {
            metric: Tally(tally.total * means[metric], tally.total)
            for metric, tally in new.items()
            if metric in means
        }

    def verdict(self) -> tuple[Verdict, list[str]]:
        """Returns the verdict on the current stage with a line per finding; UNSURE outside of a stage."""
        plan = self._progress.plan
        if self._analysis is None or plan is None or self._progress.phase != Phase.IN_STAGE:
            return Verdict.UNSURE, []
        verdict, findings = self._analysis.verdict(frozenset(plan.required_metrics))
        self.findings = [finding.line for finding in findings]
        return verdict, self.findings[:MAX_FINDINGS]

    def has_baseline(self) -> bool:
        """Returns whether there is enough data from before the next stage for a verdict on it."""
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
