"""What an operator sees of the last rollout: its phase, and what each node runs. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import msgspec

from wheatroute.agreement.member_status import StoredStatus
from wheatroute.rollout.progress import RolloutProgress
from wheatroute.rollout.statuses import SupervisorStatus, controller_statuses, supervisor_statuses


class NodeState(msgspec.Struct, frozen=True, kw_only=True):
    """What a node of the plan runs; the keys are those of `--json`."""

    name: str
    stage: str
    target: str | None  # the program that it is to run
    program: str = msgspec.field(name="runs", default="")
    is_changing: bool = msgspec.field(name="changing", default=False)
    trouble: str = "no supervisor"
    crashes: int = 0


class RolloutStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The last rollout; the keys are those of `--json`."""

    rollout: int  # number; 0 for none
    name: str
    phase: str
    stage: str
    reason: str
    nodes: list[NodeState]
    findings: list[str]

    def to_document(self) -> dict[str, Any]:
        """Returns what `--json` prints."""
        document: dict[str, Any] = msgspec.to_builtins(self)
        return document


def rollout_status(progress: RolloutProgress, documents: list[StoredStatus]) -> RolloutStatus:
    """Returns the status of the last rollout from its progress and all statuses in the store."""
    supervisors = supervisor_statuses(documents)
    plan = progress.plan
    return RolloutStatus(
        rollout=progress.number,
        name=plan.name if plan else "",
        phase=str(progress.phase),
        stage=plan.stages[progress.stage].name if plan and progress.stage >= 0 else "",
        reason=progress.reason,
        nodes=[
            _node_state(name, stage.name, progress.target(name), supervisors.get(name))
            for stage in (plan.stages if plan else ())
            for name in stage.nodes
        ],
        findings=_findings(progress, documents),
    )


def _node_state(name: str, stage: str, target: str | None, supervisor: SupervisorStatus | None) -> NodeState:
    if supervisor is None:
        return NodeState(name=name, stage=stage, target=target)
    return NodeState(
        name=name,
        stage=stage,
        target=target,
        program=supervisor.program,
        is_changing=supervisor.is_changing,
        trouble=supervisor.last_error,
        crashes=supervisor.crashes,
    )


def _findings(progress: RolloutProgress, documents: Iterable[StoredStatus]) -> list[str]:
    """Returns the findings of a controller; one that died may have left findings on an earlier record."""
    for controller in controller_statuses(documents):
        if controller.findings and controller.applied_record == progress.head:
            return controller.findings
    return []
