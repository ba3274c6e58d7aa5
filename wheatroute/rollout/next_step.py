"""Decides the next step of a rollout from its progress and what a controller has observed. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from wheatroute.rollout.canary_analysis import Verdict
from wheatroute.rollout.plan import Plan
from wheatroute.rollout.progress import Phase, RolloutProgress, SupervisorStatuses
from wheatroute.rollout.records import EndStep, HoldStep, PassStep, RollBackStep, StageStep, Step, StepKind

# A stage has one change timeout for each group of nodes that change together, and this many in addition.
EXTRA_CHANGE_TIMEOUTS = 2.0


@dataclass(frozen=True)
class Observations:
    """What a controller has observed in the current phase."""

    supervisors: SupervisorStatuses
    # In a stage, how long its nodes have served with the new program; before a stage, how long both sides
    # have been watched.
    watched_s: float
    since_record_s: float  # time since the last record was read
    verdict: Verdict
    evidence: list[str]  # a line for each finding
    # A failure of the new program that needs no statistics, such as a crash or a lost request; "" if none.
    failure: str
    has_baseline: bool  # whether there is enough data from before the stage for a verdict on it


def next_step(progress: RolloutProgress, observations: Observations) -> Step | None:
    """Returns the next step of the rollout, or None if there is nothing to do yet."""
    plan = progress.plan
    if plan is None or progress.phase in (Phase.NONE, Phase.ENDED, Phase.HELD):
        return None
    if progress.phase == Phase.ROLLING_BACK:
        failed = progress.nodes_not_rolled_back(observations.supervisors)
        if failed is None:
            return None
        return EndStep(outcome="taken back", failed_nodes=failed)
    if observations.failure:
        return RollBackStep(reason=observations.failure, evidence=[])
    if progress.phase == Phase.BEFORE_STAGE:
        return _step_before_stage(progress, plan, observations)
    return _step_in_stage(progress, plan, observations)


def _step_in_stage(progress: RolloutProgress, plan: Plan, observations: Observations) -> Step | None:
    stage = plan.stages[progress.stage]
    if not progress.all_nodes_on_target(observations.supervisors):
        return _step_while_changing(progress, plan, observations)
    if observations.verdict == Verdict.WORSE:
        return RollBackStep(reason=observations.evidence[0], evidence=observations.evidence)
    if observations.watched_s < stage.min_watched_s:
        return None
    if observations.verdict == Verdict.NOT_WORSE:
        return PassStep(stage=progress.stage, evidence=observations.evidence)
    if observations.watched_s < stage.max_watched_s:
        return None
    if plan.step_when_unsure == StepKind.RESUME:
        return PassStep(stage=progress.stage, evidence=observations.evidence)
    reason = f"not enough data for a verdict in {stage.max_watched_s:g} s"
    if plan.step_when_unsure == StepKind.HOLD:
        return HoldStep(reason=reason, evidence=observations.evidence)
    return RollBackStep(reason=reason, evidence=observations.evidence)


def _step_while_changing(progress: RolloutProgress, plan: Plan, observations: Observations) -> Step | None:
    """Returns a rollback if the nodes of the stage have not changed in time."""
    stage = plan.stages[progress.stage]
    groups = len(stage.nodes) / plan.max_changing
    if observations.since_record_s <= plan.change_timeout_s * (EXTRA_CHANGE_TIMEOUTS + groups):
        return None
    late = [
        name
        for name in stage.nodes
        if name not in observations.supervisors or observations.supervisors[name].program != plan.new
    ]
    reason = f"nodes not changed in time: {', '.join(late)}"
    return RollBackStep(reason=reason, evidence=[])


def _step_before_stage(progress: RolloutProgress, plan: Plan, observations: Observations) -> Step | None:
    stage = progress.stage
    if stage >= 0 and plan.stages[stage].is_held_after and progress.resumed_after_stage < stage:
        reason = f"the plan requires an operator to resume after stage {plan.stages[stage].name}"
        return HoldStep(reason=reason, evidence=[])
    if stage + 1 == len(plan.stages):
        return EndStep(outcome="done")
    if observations.watched_s < plan.baseline_s:
        return None
    if observations.has_baseline or progress.resumed_without_baseline == stage:
        return StageStep(stage=stage + 1)
    # A stage that begins without a baseline can never have a verdict, however long it is watched.
    max_watched_s = plan.baseline_s + plan.stages[stage + 1].max_watched_s
    if observations.watched_s < max_watched_s:
        return None
    if plan.step_when_unsure == StepKind.RESUME:
        return StageStep(stage=stage + 1)
    reason = f"not enough data for a baseline before the stage in {max_watched_s:g} s"
    if plan.step_when_unsure == StepKind.HOLD:
        return HoldStep(reason=reason, evidence=[], is_baseline_missing=True)
    return RollBackStep(reason=reason, evidence=[], is_baseline_missing=True)
