"""The status of the last rollout for operators: its phase, and the program of each node. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import msgspec

from wheatroute.agreement.member_status import StoredStatus
from wheatroute.rollout.progress import RolloutProgress
from wheatroute.rollout.statuses import SupervisorStatus, controller_statuses, supervisor_statuses


class NodeRolloutStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The program of a node in the plan and the state of its change; the keys are those of `--json`."""

    name: str
    stage: str  # name of its stage
    target: str | None  # program that the node is to run
    program: str = msgspec.field(name="runs", default="")  # program that the node runs; "" for none
    is_changing: bool = msgspec.field(name="changing", default=False)
    last_error: str = msgspec.field(name="trouble", default="no supervisor")
    crashes: int = 0


class RolloutStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The status of the last rollout; the keys are those of `--json`."""

    rollout: int  # number of the rollout; 0 if there is none
    name: str
    phase: str
    stage: str
    reason: str
    nodes: list[NodeRolloutStatus]
    findings: list[str]

    def to_document(self) -> dict[str, Any]:
        """Returns the document that `--json` prints."""
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
            _node_status(name, stage.name, progress.target(name), supervisors.get(name))
            for stage in (plan.stages if plan else ())
            for name in stage.nodes
        ],
        findings=_findings(progress, documents),
    )


def _node_status(
    name: str, stage: str, target: str | None, supervisor: SupervisorStatus | None
) -> NodeRolloutStatus:
    if supervisor is None:
        return NodeRolloutStatus(name=name, stage=stage, target=target)
    return NodeRolloutStatus(
        name=name,
        stage=stage,
        target=target,
        program=supervisor.program,
        is_changing=supervisor.is_changing,
        last_error=supervisor.last_error,
        crashes=supervisor.crashes,
    )


def _findings(progress: RolloutProgress, documents: Iterable[StoredStatus]) -> list[str]:
    """Returns the findings of a controller that has applied the last record.

    Others are skipped, since a controller that died may have left findings on an earlier record.
    """
    for controller in controller_statuses(documents):
        if controller.findings and controller.applied_record == progress.head:
            return controller.findings
    return []
