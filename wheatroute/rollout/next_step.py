"""Decides the next step of a rollout from its progress and what a controller has observed. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from wheatroute.rollout.canary_analysis import Verdict
from wheatroute.rollout.plan import Plan
from wheatroute.rollout.progress import Phase, RolloutProgress, StepKind, SupervisorStatuses


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


def next_step(progress: RolloutProgress, seen: Observations) -> dict[str, Any] | None:
    """Return the record that comes next, or None if none does yet."""
    plan = progress.plan
    if plan is None or progress.phase in (Phase.NONE, Phase.ENDED, Phase.HELD):
        return None
    if progress.phase == Phase.ROLLING_BACK:
        failed = progress.nodes_not_rolled_back(seen.supervisors)
        if failed is None:
            return None
        return progress.next_record(StepKind.END, how="taken back", mixed=failed)
    if seen.failure:
        return progress.next_record(StepKind.ROLL_BACK, reason=seen.failure, evidence=[])
    if progress.phase == Phase.BEFORE_STAGE:
        return _before_stage(progress, plan, seen)
    return _in_stage(progress, plan, seen)


def _in_stage(progress: RolloutProgress, plan: Plan, seen: Observations) -> dict[str, Any] | None:
    stage = plan.stages[progress.stage]
    if not progress.is_changed(seen.supervisors):
        return _while_changing(progress, plan, seen)
    if seen.verdict == Verdict.WORSE:
        return progress.next_record(StepKind.ROLL_BACK, reason=seen.evidence[0], evidence=seen.evidence)
    if seen.watched_s < stage.least:
        return None
    if seen.verdict == Verdict.NOT_WORSE:
        return progress.next_record(StepKind.PASS, stage=progress.stage, evidence=seen.evidence)
    if seen.watched_s < stage.most:
        return None
    if plan.unsure == "go":
        return progress.next_record(StepKind.PASS, stage=progress.stage, evidence=seen.evidence)
    return _unsure(progress, plan, f"not enough seen in {stage.most:g} s", seen.evidence)


def _while_changing(progress: RolloutProgress, plan: Plan, seen: Observations) -> dict[str, Any] | None:
    stage = plan.stages[progress.stage]
    if seen.since_record_s <= plan.patience * (2.0 + len(stage.nodes) / plan.away):
        return None
    late = [
        name
        for name in stage.nodes
        if name not in seen.supervisors or seen.supervisors[name]["runs"] != plan.new
    ]
    reason = f"not changed in time: {', '.join(late)}"
    return progress.next_record(StepKind.ROLL_BACK, reason=reason, evidence=[])


def _before_stage(progress: RolloutProgress, plan: Plan, seen: Observations) -> dict[str, Any] | None:
    stage = progress.stage
    if stage >= 0 and plan.stages[stage].ask and progress.resumed_after_stage < stage:
        reason = f"a person is asked after {plan.stages[stage].name}"
        return progress.next_record(StepKind.HOLD, reason=reason, evidence=[])
    if stage + 1 == len(plan.stages):
        return progress.next_record(StepKind.END, how="done")
    if seen.watched_s < plan.before:
        return None
    if seen.has_baseline or progress.resumed_without_baseline == stage:
        return progress.next_record(StepKind.STAGE, stage=stage + 1)
    # a stage that began without a baseline could never have a verdict, however long it were watched
    max_watched_s = plan.before + plan.stages[stage + 1].most
    if seen.watched_s < max_watched_s:
        return None
    if plan.unsure == "go":
        return progress.next_record(StepKind.STAGE, stage=stage + 1)
    reason = f"not enough seen before the stage in {max_watched_s:g} s"
    return _unsure(progress, plan, reason, []) | {"unseen": True}


def _unsure(progress: RolloutProgress, plan: Plan, reason: str, evidence: list[str]) -> dict[str, Any]:
    kind = StepKind.HOLD if plan.unsure == "hold" else StepKind.ROLL_BACK
    return progress.next_record(kind, reason=reason, evidence=evidence)
