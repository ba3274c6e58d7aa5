"""Decides the next step of a rollout from its progress and what a controller has observed. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from wheatroute.rollout.canary_analysis import Verdict
from wheatroute.rollout.plan import Plan
from wheatroute.rollout.progress import Phase, RolloutProgress, SupervisorStatuses
from wheatroute.rollout.records import EndStep, HoldStep, PassStep, RollBackStep, StageStep, Step, StepKind

FREE_CHANGE_TIMEOUTS = 2.0  # for a stage to change, besides one for each group of nodes


@dataclass(frozen=True)
class Observations:
    """What a controller has observed in the present phase."""

    supervisors: SupervisorStatuses
    watched_s: float  # how long this stage's nodes have served changed, or both sides before it
    since_record_s: float  # since the last record
    verdict: Verdict
    evidence: list[str]
    failure: str  # a crash or a lost request of a new process, which needs no statistics
    has_baseline: bool  # whether enough was seen before the stage for a verdict on it


def next_step(progress: RolloutProgress, seen: Observations) -> Step | None:
    """Return the step that comes next, or None if none does yet."""
    plan = progress.plan
    if plan is None or progress.phase in (Phase.NONE, Phase.ENDED, Phase.HELD):
        return None
    if progress.phase == Phase.ROLLING_BACK:
        failed = progress.nodes_not_rolled_back(seen.supervisors)
        if failed is None:
            return None
        return EndStep(outcome="taken back", failed_nodes=failed)
    if seen.failure:
        return RollBackStep(reason=seen.failure, evidence=[])
    if progress.phase == Phase.BEFORE_STAGE:
        return _before_stage(progress, plan, seen)
    return _in_stage(progress, plan, seen)


def _in_stage(progress: RolloutProgress, plan: Plan, seen: Observations) -> Step | None:
    stage = plan.stages[progress.stage]
    if not progress.is_changed(seen.supervisors):
        return _while_changing(progress, plan, seen)
    if seen.verdict == Verdict.WORSE:
        return RollBackStep(reason=seen.evidence[0], evidence=seen.evidence)
    if seen.watched_s < stage.min_watched_s:
        return None
    if seen.verdict == Verdict.NOT_WORSE:
        return PassStep(stage=progress.stage, evidence=seen.evidence)
    if seen.watched_s < stage.max_watched_s:
        return None
    if plan.step_when_unsure == StepKind.RESUME:
        return PassStep(stage=progress.stage, evidence=seen.evidence)
    reason = f"not enough seen in {stage.max_watched_s:g} s"
    if plan.step_when_unsure == StepKind.HOLD:
        return HoldStep(reason=reason, evidence=seen.evidence)
    return RollBackStep(reason=reason, evidence=seen.evidence)


def _while_changing(progress: RolloutProgress, plan: Plan, seen: Observations) -> Step | None:
    stage = plan.stages[progress.stage]
    groups = len(stage.nodes) / plan.max_changing
    if seen.since_record_s <= plan.change_timeout_s * (FREE_CHANGE_TIMEOUTS + groups):
        return None
    late = [
        name
        for name in stage.nodes
        if name not in seen.supervisors or seen.supervisors[name].program != plan.new
    ]
    reason = f"not changed in time: {', '.join(late)}"
    return RollBackStep(reason=reason, evidence=[])


def _before_stage(progress: RolloutProgress, plan: Plan, seen: Observations) -> Step | None:
    stage = progress.stage
    if stage >= 0 and plan.stages[stage].is_held_after and progress.resumed_after_stage < stage:
        reason = f"a person is asked after {plan.stages[stage].name}"
        return HoldStep(reason=reason, evidence=[])
    if stage + 1 == len(plan.stages):
        return EndStep(outcome="done")
    if seen.watched_s < plan.baseline_s:
        return None
    if seen.has_baseline or progress.resumed_without_baseline == stage:
        return StageStep(stage=stage + 1)
    # a stage that began without a baseline could never have a verdict, however long it were watched
    max_watched_s = plan.baseline_s + plan.stages[stage + 1].max_watched_s
    if seen.watched_s < max_watched_s:
        return None
    if plan.step_when_unsure == StepKind.RESUME:
        return StageStep(stage=stage + 1)
    reason = f"not enough seen before the stage in {max_watched_s:g} s"
    if plan.step_when_unsure == StepKind.HOLD:
        return HoldStep(reason=reason, evidence=[], is_baseline_missing=True)
    return RollBackStep(reason=reason, evidence=[], is_baseline_missing=True)
